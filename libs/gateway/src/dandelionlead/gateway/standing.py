"""Whether this process may take work, and whether callers should come."""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.routing import calls
from dandelionlead.routing import view

# A process that hears neither the platform nor a peer that does keeps on with
# what it knows for so long. An outage of the platform that hits all does not
# count: the peers say so.
STALE_LIMIT_S = 10.0
# What a generation takes on an engine with many others.
_FIRST_EVENT_S = 0.6
_SECONDS_PER_TOKEN = 0.012


class Standing:
    """State of one process.

    Attributes:
        stopping: Whether it was told to stop.
        stop_s: When it ends at the latest; only while stopping.
        alone: Whether it hears no peer.
    """

    __slots__ = ("stopping", "stop_s", "alone")

    def __init__(self) -> None:
        self.stopping = False
        self.stop_s = float("inf")
        self.alone = False

    def can_finish(self, call: calls.Call, now_s: float) -> bool:
        """Whether a call can be expected to end before this process does."""
        tokens = call.expected_tokens() - call.prompt_tokens
        expected_s = _FIRST_EVENT_S + tokens * _SECONDS_PER_TOKEN
        return now_s + expected_s < self.stop_s

    def refusal(self, now_s: float, known: view.View) -> errors.Failure | None:
        """Returns why no call may be taken now, or None."""
        if known.configuration is None:
            return errors.Failure(
                errors.Kind.NOT_READY,
                "no configuration is known yet",
                retry_after_s=0.3,
            )
        if self.alone and now_s - known.confirmed_s > STALE_LIMIT_S:
            return errors.Failure(
                errors.Kind.STALE_RULES,
                "neither the platform nor a peer can be reached",
                retry_after_s=0.5,
            )
        return None

    def ready(self, now_s: float, known: view.View) -> bool:
        """Whether callers should come here."""
        if self.stopping or not known.endpoints:
            return False
        return self.refusal(now_s, known) is None
