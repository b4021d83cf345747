"""Counts and limits the bytes that the connections of a process hold.

Each connection has an account. What a connection that was closed to make room
holds is free when its greenlet has ended; the others wait for that.
"""

from __future__ import annotations

import abc
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.http import intake_counts

# Memory of a connection beside what it has received: socket, greenlet, parser.
CONNECTION_BYTES = 24_576
# Added to the age of a request, so that a new one counts by its size.
MIN_AGE_S = 0.1
# Seconds for which a connection waits until those that make room have ended,
# and the pause between two looks.
_LEAVING_TIMEOUT_S = 1.0
_LEAVING_POLL_S = 0.002


class IntakeFullError(Exception):
    """Raised if a connection must not hold more bytes; its request ends."""


class Account(abc.ABC):
    """What one connection holds.

    Attributes:
        held_bytes: Bytes that the connection holds.
        is_evicted: Whether the connection was closed to make room.
    """

    __slots__ = ("held_bytes", "is_evicted", "_memory", "_evict")

    # Bytes that do not count when it is chosen which connection makes room.
    OWN_BYTES = 0

    def __init__(self, memory: IntakeMemory, evict: Callable[[], None]) -> None:
        self.held_bytes = self.OWN_BYTES
        self.is_evicted = False
        self._memory = memory
        self._evict = evict

    def hold(self, byte_count: int) -> None:
        """Sets how many bytes the connection holds beside its own memory.

        Waits until those that were closed to make room have ended, unless the
        connection holds no more than its own memory again.

        Raises:
            IntakeFullError: The connection was evicted, or there is no room
                for it.
        """
        self._check_not_evicted()
        self._memory.set_held(self, self.OWN_BYTES + byte_count)
        if byte_count > CONNECTION_BYTES and not self._memory.has_room():
            self._wait_for_room()

    def close(self) -> None:
        """Releases all that the connection holds; may be called twice."""
        self._memory.close(self)

    def evict(self) -> None:
        """Closes the connection to make room for others.

        Its owner calls `close` when what it holds is free.
        """
        self.is_evicted = True
        self._memory.start_leaving(self)
        self.note_eviction(self._memory.counts)
        self._evict()

    def _check_not_evicted(self) -> None:
        if self.is_evicted:
            raise IntakeFullError("the connection was closed to make room")

    def _wait_for_room(self) -> None:
        """Waits for those that make room.

        Raises:
            IntakeFullError: The connection was evicted meanwhile, or the others
                have not ended in time.
        """
        deadline_s = clock.boottime() + _LEAVING_TIMEOUT_S
        while not self._memory.has_room():
            if clock.boottime() >= deadline_s:
                self.note_refusal(self._memory.counts)
                raise IntakeFullError("connections hold too much memory")
            eventlet.sleep(_LEAVING_POLL_S)
            self._check_not_evicted()

    def compute_weight(
        self, now_s: float, byte_count: int | None = None
    ) -> float:
        """Returns the weight by which it is chosen to make room.

        Args:
            now_s: Present instant, in seconds.
            byte_count: Bytes that it would hold; None for those it holds.
        """
        if byte_count is None:
            byte_count = self.held_bytes
        return (byte_count - self.OWN_BYTES) * self.compute_age_s(now_s)

    @abc.abstractmethod
    def remove(self) -> bool:
        """Removes the account from the intake; returns whether it was there."""

    @abc.abstractmethod
    def compute_age_s(self, now_s: float) -> float:
        """Returns for how long the connection has waited for its peer."""

    @abc.abstractmethod
    def note_eviction(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that the connection was closed to make room."""

    @abc.abstractmethod
    def note_refusal(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that the connection may not hold more."""


class IntakeMemory(abc.ABC):
    """The bytes that all accounts hold, and the limit on them.

    Attributes:
        held_bytes: Bytes that all connections hold.
        leaving_bytes: Bytes of those that were closed to make room and have not
            ended yet.
        counts: What was refused since `take_counts` was last called.
    """

    __slots__ = (
        "held_bytes",
        "leaving_bytes",
        "counts",
        "_max_bytes",
        "_leaving_accounts",
    )

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self.leaving_bytes = 0
        self.counts = intake_counts.IntakeCounts()
        self._max_bytes = max_bytes
        self._leaving_accounts: set[Account] = set()

    def has_room(self) -> bool:
        """Returns whether nobody has to wait for those that make room."""
        return self.held_bytes + self.leaving_bytes <= self._max_bytes or (
            not self._leaving_accounts
        )

    def start_leaving(self, account: Account) -> None:
        """Takes an account off those that make room; it has not ended yet."""
        if self._remove(account):
            self._leaving_accounts.add(account)
            self.leaving_bytes += account.held_bytes

    def close(self, account: Account) -> None:
        """Removes an account; a second call has no effect."""
        if account in self._leaving_accounts:
            self._leaving_accounts.discard(account)
            self.leaving_bytes -= account.held_bytes
        else:
            self._remove(account)

    def set_held(self, account: Account, byte_count: int) -> None:
        """Sets how many bytes an account holds.

        If that exceeds the limit, the connections that have held the most for
        the longest time make room.

        Raises:
            IntakeFullError: The connection itself is the one to make room, or
                no other can.
        """
        growth = byte_count - account.held_bytes
        while growth > 0 and self.held_bytes + growth > self._max_bytes:
            if not self._make_room(account, byte_count):
                account.note_refusal(self.counts)
                raise IntakeFullError("connections hold too much memory")
        self.held_bytes += growth
        account.held_bytes = byte_count

    def add_response(self, account: Account, byte_count: int) -> None:
        """Counts bytes of a response that a caller has yet to read.

        The endpoint has already made the response, so that it is not refused;
        other connections make room for it.

        Args:
            account: Account of the connection.
            byte_count: Bytes; negative for bytes that need no memory any more.
        """
        self.held_bytes += byte_count
        account.held_bytes += byte_count
        while self.held_bytes > self._max_bytes:
            if not self._make_room(account, account.held_bytes):
                return

    def take_counts(self) -> intake_counts.IntakeCounts:
        """Returns what was refused since the last call."""
        counts = self.counts
        self.counts = intake_counts.IntakeCounts()
        return counts

    def _remove(self, account: Account) -> bool:
        """Removes an account with its bytes; returns whether it was there."""
        is_present = account.remove()
        if is_present:
            self.held_bytes -= account.held_bytes
        return is_present

    @abc.abstractmethod
    def _make_room(self, account: Account, byte_count: int) -> bool:
        """Closes one connection for the growth of another.

        Args:
            account: The account that grows.
            byte_count: Bytes that it would hold.

        Returns:
            Whether a connection was closed; False if the one that grows is the
            one to make room.
        """
