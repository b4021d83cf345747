"""Assigns to each process how often it reads the endpoints from the store.

Each process computes its own duty from its peers' heartbeats, without
coordination. Two processes read often and a few more read occasionally. All
others read rarely and receive changes from their peers, so that the number of
frequent reads does not grow with the number of processes. A process whose reads
have failed for a short time is left out of the ranking, so that the processes
next in rank take over within about a second.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.core import hashing

# A process whose last successful read is older than this is left out of the
# ranking. The heartbeat interval is added to this limit, because the time in a
# heartbeat is up to one interval old.
_MAX_READ_AGE_S = 1.0
# Number of processes whose duty is not `IDLE` while reads succeed, if there are
# that many processes.
READER_COUNT = 12
# Key of the rendezvous hash that ranks the processes.
_HASH_KEY = "endpoints"


class Duty(enum.Enum):
    """How often a process reads, from the most to the least often.

    Attributes:
        PRIMARY: Duty of the process that ranks first. Other processes receive
            the changes that it reads.
        SECONDARY: Duty of the process that ranks second. Other processes
            receive the changes that it reads, too.
        STANDBY: Duty of the other processes among the first `READER_COUNT` in
            rank.
        IDLE: Duty of all further processes.
    """

    PRIMARY = "first"
    SECONDARY = "second"
    STANDBY = "standby"
    IDLE = "idle"

    @property
    def reads_for_all(self) -> bool:
        """Whether other processes rely on the reads of this one."""
        return self in (Duty.PRIMARY, Duty.SECONDARY)


class Candidate:
    """A process that may be assigned to read the store for all processes.

    Attributes:
        name: Node name of the process.
        last_read_ago_s: Seconds since its last successful read of the
            endpoints; negative if it has not read them yet.
    """

    __slots__ = ("name", "last_read_ago_s")

    def __init__(self, name: str, last_read_ago_s: float) -> None:
        self.name = name
        self.last_read_ago_s = last_read_ago_s

    def has_recent_read(self, heartbeat_interval_s: float) -> bool:
        """Returns whether the last successful read of the process is recent.

        Args:
            heartbeat_interval_s: Interval between its heartbeats in seconds.
        """
        return (
            0 <= self.last_read_ago_s <= _MAX_READ_AGE_S + heartbeat_interval_s
        )


def compute_duty(
    own_name: str, peers: Iterable[Candidate], heartbeat_interval_s: float
) -> Duty:
    """Returns the duty of this process.

    Args:
        own_name: Node name of this process. It is always ranked, so that this
            process keeps trying to read when its own reads fail.
        peers: The other live processes.
        heartbeat_interval_s: Interval between the heartbeats of each process,
            in seconds.
    """
    candidates = list(peers)
    names = [peer.name for peer in candidates]
    names_with_recent_read = [
        peer.name
        for peer in candidates
        if peer.has_recent_read(heartbeat_interval_s)
    ]
    # If no peer has a recent read, all peers are ranked, so that only two
    # processes keep trying to read often.
    rank = _compute_rank(own_name, names_with_recent_read or names)
    if rank < 2:
        return (Duty.PRIMARY, Duty.SECONDARY)[rank]
    is_reader = _compute_rank(own_name, names) < READER_COUNT
    return Duty.STANDBY if is_reader else Duty.IDLE


def _compute_rank(own_name: str, other_names: list[str]) -> int:
    """Returns the rank of this process among the others, from 0."""
    return hashing.rank_candidates(_HASH_KEY, [own_name, *other_names]).index(
        own_name
    )
