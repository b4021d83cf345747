"""Decides which processes read the platform's store, for all of them.

Each process computes its own duty from what it knows of the others, without
coordination. Few processes read; all others learn from these what has changed.
Who can not read the store says so, and the process next in rank takes over.

The calls to the store must stay few also while it serves nobody, and all
processes find that out at about the same time. Therefore a process does not try
because its own last read failed, but because of its rank. While no process has
read for some time, a few that are drawn anew each second try as well, so that
one of them finds that the store serves it.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.core import hashing

# Number of processes that read the orders, if there are that many.
READER_COUNT = 3
# Number of processes that try beside them while nobody has read for long.
EXTRA_READER_COUNT = 2
# Time after which a process that could not read the store is assumed to be able
# to read it again.
RETRY_AFTER_S = 10.0
# Keys of the rendezvous hashes that rank the readers and the extra ones.
_HASH_KEY = "endpoints"
_EXTRA_HASH_KEY = "extra"


class Duty(enum.Enum):
    """How often a process reads, from the most to the least often.

    Attributes:
        PRIMARY: Duty of the process that ranks first, and of all that try while
            nobody has read for long.
        SECONDARY: Duty of the process that ranks second.
        STANDBY: Duty of the other processes among the first `READER_COUNT`.
        IDLE: Duty of all further processes, which do not read.
    """

    PRIMARY = "first"
    SECONDARY = "second"
    STANDBY = "standby"
    IDLE = "idle"

    @property
    def reads_for_all(self) -> bool:
        """Whether other processes rely on the reads of this one."""
        return self in (Duty.PRIMARY, Duty.SECONDARY)


class StoreAccess:
    """Whether this process can read the store.

    Attributes:
        failed_s: Time of the last failed read since the last success, in
            seconds of `clock.boottime`; minus infinity if there is none.
    """

    __slots__ = ("failed_s",)

    def __init__(self) -> None:
        self.failed_s = float("-inf")

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the next read is expected to succeed."""
        return now_s - self.failed_s > RETRY_AFTER_S


def compute_rank(own_name: str, other_names: Iterable[str]) -> int:
    """Returns the rank of this process among others, from 0."""
    return _compute_rank(_HASH_KEY, own_name, other_names)


def compute_duty(
    own_name: str,
    live_names: Iterable[str],
    reader_names: Iterable[str],
    *,
    can_read: bool,
    unread_s: float,
    max_unread_s: float,
) -> Duty:
    """Returns the duty of this process for one table.

    Args:
        own_name: Node name of this process.
        live_names: Names of the other live processes.
        reader_names: Names of those that can read the store.
        can_read: Whether this process can read the store, as far as is known.
        unread_s: Seconds since any process has read the table, as far as this
            one knows.
        max_unread_s: Seconds without a read after which further processes try.
    """
    readers = list(reader_names)
    others = list(live_names)
    if can_read or not readers:
        rank = compute_rank(own_name, readers if can_read else others)
        if rank < READER_COUNT:
            duties = (Duty.PRIMARY, Duty.SECONDARY, Duty.STANDBY)
            return duties[min(rank, 2)]
    if unread_s > max_unread_s:
        # All processes know about the same time, so that they draw alike.
        key = f"{_EXTRA_HASH_KEY}/{int(min(unread_s, 1e6))}"
        if _compute_rank(key, own_name, others) < EXTRA_READER_COUNT:
            return Duty.PRIMARY
    return Duty.IDLE


def _compute_rank(key: str, own_name: str, other_names: Iterable[str]) -> int:
    """Returns the rank of this process among the others, from 0."""
    own = (-hashing.compute_weight(key, own_name), own_name)
    return sum(
        (-hashing.compute_weight(key, name), name) < own for name in other_names
    )
