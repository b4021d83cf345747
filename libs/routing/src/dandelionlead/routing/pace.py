"""How fast engines read prompts, learnt from first events."""

from __future__ import annotations

# Before anything was learnt; engines that also generate read this many.
_FIRST_TOKENS_PER_S = 7_000.0
_SLOWEST_TOKENS_PER_S = 500.0
_FASTEST_TOKENS_PER_S = 100_000.0
_WEIGHT = 0.05
# Shorter prompts tell more of the network than of the engine.
_LEAST_TOKENS = 500


class PrefillPace:
    """Moving average over all engines of the deployment.

    Attributes:
        tokens_per_s: Prompt tokens that an engine reads in a second.
    """

    __slots__ = ("tokens_per_s",)

    def __init__(self) -> None:
        self.tokens_per_s = _FIRST_TOKENS_PER_S

    def saw(self, tokens: int, first_event_s: float) -> None:
        """Takes the time to a first event.

        Args:
            tokens: Prompt tokens that the engine had to read until then, those
                of requests before it included.
            first_event_s: Seconds from sending to the first event.
        """
        if tokens < _LEAST_TOKENS or first_event_s <= 0:
            return
        pace = tokens / first_event_s
        pace = min(_FASTEST_TOKENS_PER_S, max(_SLOWEST_TOKENS_PER_S, pace))
        self.tokens_per_s += _WEIGHT * (pace - self.tokens_per_s)

    def expected_s(self, tokens: int) -> float:
        """Returns the seconds until so many prompt tokens are read."""
        return tokens / self.tokens_per_s
