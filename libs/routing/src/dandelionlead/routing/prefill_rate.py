"""Estimates the rate at which engines read prompts.

The estimate is based on the times from sending a request to its first event.
"""

from __future__ import annotations

# Initial estimate: the rate of an engine that also generates output.
_INITIAL_TOKENS_PER_S = 7_000.0
# Bounds of a single measurement.
_MIN_TOKENS_PER_S = 500.0
_MAX_TOKENS_PER_S = 100_000.0
# Weight of a new measurement in the moving average.
_MEASUREMENT_WEIGHT = 0.05
# Measurements with fewer prompt tokens are ignored, because the network
# dominates their duration.
_MIN_MEASURED_TOKENS = 500


class PrefillRate:
    """Moving average of the prompt reading rate of all engines.

    Attributes:
        tokens_per_s: Prompt tokens that an engine reads per second.
    """

    __slots__ = ("tokens_per_s",)

    def __init__(self) -> None:
        self.tokens_per_s = _INITIAL_TOKENS_PER_S

    def add_measurement(self, tokens: int, first_event_s: float) -> None:
        """Updates the average with the time to a first event.

        Args:
            tokens: Prompt tokens that the engine had to read before the event,
                including those of requests that were queued earlier.
            first_event_s: Seconds from sending the request to the event.
        """
        if tokens < _MIN_MEASURED_TOKENS or first_event_s <= 0:
            return
        rate = tokens / first_event_s
        rate = min(_MAX_TOKENS_PER_S, max(_MIN_TOKENS_PER_S, rate))
        self.tokens_per_s += _MEASUREMENT_WEIGHT * (rate - self.tokens_per_s)

    def estimate_s(self, tokens: int) -> float:
        """Returns the expected time in seconds to read some prompt tokens."""
        return tokens / self.tokens_per_s
