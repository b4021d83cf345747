"""Which processes read the platform's store often, on behalf of all.

Each process decides alone from its peers' heartbeats. Two read often; a
process whose reads have not succeeded for a moment does not count, so that the
next ones take over within about a second.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.core import hashing

# A reader whose last success is older than this is passed over.
FRESH_S = 1.0
_DUTY = "endpoints"


class Duty(enum.Enum):
    """How often a process reads."""

    FIRST = "first"
    SECOND = "second"
    OTHER = "other"


class Candidate:
    """A process that may read for all.

    Attributes:
        name: Its name.
        confirmed_ago_s: Seconds since its last read that succeeded.
    """

    __slots__ = ("name", "confirmed_ago_s")

    def __init__(self, name: str, confirmed_ago_s: float) -> None:
        self.name = name
        self.confirmed_ago_s = confirmed_ago_s

    def is_fresh(self) -> bool:
        """Whether its reads succeed."""
        return 0 <= self.confirmed_ago_s <= FRESH_S


def duty(own_name: str, peers: Iterable[Candidate]) -> Duty:
    """Returns the duty of a process.

    Args:
        own_name: Its name; it counts as a candidate in any case, so that a
            process whose own reads fail still tries.
        peers: The other live processes.
    """
    found = list(peers)
    names = [peer.name for peer in found if peer.is_fresh()]
    if not names:
        # Nobody can read; the work that is left is shared all the same.
        names = [peer.name for peer in found]
    ranked = hashing.rank(_DUTY, [own_name, *names])
    place = ranked.index(own_name)
    return (Duty.FIRST, Duty.SECOND, Duty.OTHER)[min(place, 2)]
