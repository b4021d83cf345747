"""Which processes read the platform's store often, on behalf of all.

Each process decides alone from its peers' heartbeats. Two read often, a few
more now and then; a process whose reads have not succeeded for a moment does
not count, so that the next ones take over within about a second. All others
learn from their peers, so that the calls to the store do not grow with the
number of processes.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.core import hashing

# A reader whose last success is older is passed over; a heartbeat's pause is
# added, since its word is as old as that.
_FRESH_S = 1.0
# Processes that read at all while there are enough of them.
READERS = 12
_DUTY = "endpoints"


class Duty(enum.Enum):
    """How often a process reads."""

    FIRST = "first"
    SECOND = "second"
    STANDBY = "standby"
    IDLE = "idle"

    @property
    def reads_for_all(self) -> bool:
        """Whether the peers rely on this process."""
        return self in (Duty.FIRST, Duty.SECOND)


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

    def is_fresh(self, heartbeat_s: float) -> bool:
        """Whether its reads succeed, as far as its heartbeats tell."""
        return 0 <= self.confirmed_ago_s <= _FRESH_S + heartbeat_s


def duty(own_name: str, peers: Iterable[Candidate], heartbeat_s: float) -> Duty:
    """Returns the duty of a process.

    Args:
        own_name: Its name; it counts as a candidate in any case, so that a
            process whose own reads fail still tries.
        peers: The other live processes.
        heartbeat_s: Pause between the heartbeats of each of them.
    """
    found = list(peers)
    names = [peer.name for peer in found]
    fresh = [peer.name for peer in found if peer.is_fresh(heartbeat_s)]
    # If nobody can read, the work that is left is shared all the same.
    place = _place(own_name, fresh or names)
    if place < 2:
        return (Duty.FIRST, Duty.SECOND)[place]
    is_reader = _place(own_name, names) < READERS
    return Duty.STANDBY if is_reader else Duty.IDLE


def _place(own_name: str, others: list[str]) -> int:
    return hashing.rank(_DUTY, [own_name, *others]).index(own_name)
