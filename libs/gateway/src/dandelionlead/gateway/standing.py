"""Whether this process may take work, and whether callers should come."""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.gateway import view

# A process that hears neither the platform nor a peer that does keeps on with
# what it knows for so long. An outage of the platform that hits all does not
# count: the peers say so.
STALE_LIMIT_S = 10.0


class Standing:
    """State of one process.

    Attributes:
        stopping: Whether it was told to stop.
        started_s: When it began.
    """

    __slots__ = ("stopping", "started_s", "alone")

    def __init__(self, started_s: float) -> None:
        self.stopping = False
        self.started_s = started_s
        self.alone = False

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
