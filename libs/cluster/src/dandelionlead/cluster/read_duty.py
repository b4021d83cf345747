"""Assigns to each process how often it reads the endpoints from the store.

Each process computes its own duty from its peers' heartbeats, without
coordination. Two processes read often, a few more read now and then, and all
others receive changes from their peers, so that the number of reads does not
grow with the number of processes. A process whose reads have not succeeded for
a short time is left out of the ranking, so that the next processes take over
within about a second.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.core import hashing

# A process whose last successful read is older is left out of the ranking. The
# heartbeat interval is added, because the time in a heartbeat is up to one
# interval old.
_MAX_READ_AGE_S = 1.0
# Number of processes that read at least now and then, if there are that many.
READER_COUNT = 12
# Key of the rendezvous hash that ranks the processes.
_HASH_KEY = "endpoints"


class Duty(enum.Enum):
    """How often a process reads, from the most to the least often."""

    PRIMARY = "first"
    SECONDARY = "second"
    STANDBY = "standby"
    IDLE = "idle"

    @property
    def reads_for_all(self) -> bool:
        """Whether other processes rely on the reads of this one."""
        return self in (Duty.PRIMARY, Duty.SECONDARY)


class Candidate:
    """A process that may read on behalf of all.

    Attributes:
        name: Its node name.
        last_read_ago_s: Seconds since its last successful read; negative if
            it has not read yet.
    """

    __slots__ = ("name", "last_read_ago_s")

    def __init__(self, name: str, confirmed_ago_s: float) -> None:
        self.name = name
        self.last_read_ago_s = confirmed_ago_s

    def has_recent_read(self, heartbeat_s: float) -> bool:
        """Whether its last successful read is recent.

        Args:
            heartbeat_s: Interval between its heartbeats in seconds.
        """
        return 0 <= self.last_read_ago_s <= _MAX_READ_AGE_S + heartbeat_s


def compute_duty(
    own_name: str, peers: Iterable[Candidate], heartbeat_s: float
) -> Duty:
    """Returns the duty of a process.

    Args:
        own_name: Its node name. It is always ranked, so that a process whose
            own reads fail keeps trying.
        peers: The other live processes.
        heartbeat_s: Interval between the heartbeats of each of them, in
            seconds.
    """
    candidates = list(peers)
    names = [peer.name for peer in candidates]
    fresh_names = [
        peer.name for peer in candidates if peer.has_recent_read(heartbeat_s)
    ]
    # If no peer can read, the attempts are still divided among all of them.
    rank = _compute_rank(own_name, fresh_names or names)
    if rank < 2:
        return (Duty.PRIMARY, Duty.SECONDARY)[rank]
    is_reader = _compute_rank(own_name, names) < READER_COUNT
    return Duty.STANDBY if is_reader else Duty.IDLE


def _compute_rank(own_name: str, other_names: list[str]) -> int:
    """Returns the rank of a process among others, from 0."""
    return hashing.rank_candidates(_HASH_KEY, [own_name, *other_names]).index(
        own_name
    )
