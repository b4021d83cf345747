"""Limits what the peers of one process together make it hold.

All listeners and clients of a process share one `Intake`. It counts the
connections of callers and the bytes of requests and responses that connections
hold, as they arrive: those of callers, and the bodies that endpoints and the
store send. When a limit is reached, it closes the connections that hold the
most for the longest time, and so makes room for the others. What these hold is
free when their greenlets have ended; the others wait for that.
"""

from __future__ import annotations

import abc
import itertools
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.http import turn_pacer

# Memory for callers if the settings do not state the memory of the machine.
_DEFAULT_MEMORY_BYTES = 128 * 1_048_576
_DEFAULT_MAX_DESCRIPTORS = 4_096
# Share of the memory that all peers may make the process hold.
_MEMORY_SHARE = 0.25
# Descriptors that connections to endpoints, the store, peers and files need.
_RESERVED_DESCRIPTORS = 200
_DESCRIPTOR_SHARE = 0.5
# Room for some requests of the largest legal size, on the smallest machine.
_MIN_LARGEST_REQUESTS = 2
# Memory of a connection beside what it has received: socket, greenlet, parser.
CONNECTION_BYTES = 24_576
# Share of the memory for callers that connections take by themselves before the
# oldest ones are closed.
_MAX_CONNECTION_SHARE = 0.5
# Memory of a header field beside its text.
FIELD_BYTES = 320
# Added to the age of a request, so that a new one counts by its size.
_MIN_AGE_S = 0.1
# Seconds for which a connection waits until those that make room have ended,
# and the pause between two looks.
_LEAVING_TIMEOUT_S = 1.0
_LEAVING_POLL_S = 0.002


class IntakeFullError(Exception):
    """Raised if a connection must not hold more bytes; its request ends."""


class IntakeCounts:
    """What an intake refused since the counts were last taken.

    Attributes:
        refused_connections: Connections that were closed when they came.
        refused_requests: Requests that were refused for lack of memory.
        evicted_connections: Connections that were closed to make room.
        cut_responses: Responses of endpoints or the store that were cut off to
            make room.
    """

    __slots__ = (
        "refused_connections",
        "refused_requests",
        "evicted_connections",
        "cut_responses",
    )

    def __init__(self) -> None:
        self.refused_connections = 0
        self.refused_requests = 0
        self.evicted_connections = 0
        self.cut_responses = 0

    def is_zero(self) -> bool:
        """Returns whether nothing was refused."""
        return not (
            self.refused_connections
            or self.refused_requests
            or self.evicted_connections
            or self.cut_responses
        )


class Account(abc.ABC):
    """What one connection holds.

    Attributes:
        held_bytes: Bytes that the connection holds.
        is_evicted: Whether the connection was closed to make room.
    """

    __slots__ = ("held_bytes", "is_evicted", "_intake", "_evict")

    # Bytes that do not count when it is chosen which connection makes room.
    OWN_BYTES = 0

    def __init__(self, intake: Intake, evict: Callable[[], None]) -> None:
        self.held_bytes = self.OWN_BYTES
        self.is_evicted = False
        self._intake = intake
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
        self._intake.set_held(self, self.OWN_BYTES + byte_count)
        if byte_count > CONNECTION_BYTES and not self._intake.has_room():
            self._wait_for_room()

    def close(self) -> None:
        """Releases all that the connection holds; may be called twice."""
        self._intake.close(self)

    def evict(self) -> None:
        """Closes the connection to make room for others.

        Its owner calls `close` when what it holds is free.
        """
        self.is_evicted = True
        self._intake.start_leaving(self)
        self.note_eviction(self._intake.counts)
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
        while not self._intake.has_room():
            if clock.boottime() >= deadline_s:
                self.note_refusal(self._intake.counts)
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
    def note_eviction(self, counts: IntakeCounts) -> None:
        """Counts that the connection was closed to make room."""

    @abc.abstractmethod
    def note_refusal(self, counts: IntakeCounts) -> None:
        """Counts that the connection may not hold more."""


class CallerAccount(Account):
    """What one connection of a caller holds.

    Attributes:
        host: IP address of the caller.
        served_count: Requests of the connection that were read completely.
    """

    __slots__ = ("host", "served_count", "_waiting_since_s")

    OWN_BYTES = CONNECTION_BYTES

    def __init__(
        self, intake: Intake, host: str, evict: Callable[[], None]
    ) -> None:
        super().__init__(intake, evict)
        self.host = host
        self.served_count = 0
        self._waiting_since_s: float | None = None

    @property
    def waits_for_caller(self) -> bool:
        """Whether the connection waits for its caller to send or to read."""
        return self._waiting_since_s is not None

    def start_waiting(self) -> None:
        """Records that the connection waits for its caller from now on."""
        self._waiting_since_s = clock.boottime()

    def stop_waiting(self) -> None:
        """Records that the process has what it needs from the caller."""
        self._waiting_since_s = None

    def release(self) -> None:
        """Releases what the connection holds beside its own memory."""
        if not self.is_evicted:
            self._intake.set_held(self, CONNECTION_BYTES)

    def start_write(self, byte_count: int) -> None:
        """Counts a part of a response while the caller has not read it."""
        if not self.is_evicted:
            self.start_waiting()
            self._intake.add_response(self, byte_count)

    def end_write(self, byte_count: int) -> None:
        """Ends what `start_write` began."""
        if not self.is_evicted:
            self.stop_waiting()
            self._intake.add_response(self, -byte_count)

    def remove(self) -> bool:
        """Removes the account from the intake; returns whether it was there."""
        return self._intake.remove_caller(self)

    def compute_age_s(self, now_s: float) -> float:
        """Returns for how long the connection has waited for its caller."""
        if self._waiting_since_s is None:
            return 0.0
        return now_s - self._waiting_since_s + _MIN_AGE_S

    def note_eviction(self, counts: IntakeCounts) -> None:
        """Counts that the connection was closed to make room."""
        counts.evicted_connections += 1

    def note_refusal(self, counts: IntakeCounts) -> None:
        """Counts that a request of the connection was refused."""
        counts.refused_requests += 1


class ResponseAccount(Account):
    """What one response body holds that an endpoint or the store sends."""

    __slots__ = ("_opened_s",)

    def __init__(self, intake: Intake, evict: Callable[[], None]) -> None:
        super().__init__(intake, evict)
        self._opened_s = clock.boottime()

    def remove(self) -> bool:
        """Removes the account from the intake; returns whether it was there."""
        return self._intake.remove_response(self)

    def compute_age_s(self, now_s: float) -> float:
        """Returns for how long the body has been arriving."""
        return now_s - self._opened_s + _MIN_AGE_S

    def note_eviction(self, counts: IntakeCounts) -> None:
        """Counts that the response was cut off."""
        counts.cut_responses += 1

    def note_refusal(self, counts: IntakeCounts) -> None:
        """Counts that the response was cut off."""
        counts.cut_responses += 1


class Intake:
    """Connections of all peers of one process, and the bytes they hold.

    Attributes:
        pacer: Spaces the parsing of request bodies.
        held_bytes: Bytes that all connections hold.
        leaving_bytes: Bytes of those that were closed to make room and have not
            ended yet.
        counts: What was refused since `take_counts` was last called.
    """

    __slots__ = (
        "pacer",
        "held_bytes",
        "leaving_bytes",
        "counts",
        "_max_bytes",
        "_max_connections",
        "_accounts",
        "_response_accounts",
        "_leaving_accounts",
    )

    def __init__(
        self,
        memory_bytes: int = _DEFAULT_MEMORY_BYTES,
        max_descriptors: int = _DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        """Creates an intake without connections.

        Args:
            memory_bytes: Memory that the process may take.
            max_descriptors: Descriptors that the process may open.
        """
        self.pacer = turn_pacer.TurnPacer()
        self.held_bytes = 0
        self.leaving_bytes = 0
        self.counts = IntakeCounts()
        self._max_bytes = int(memory_bytes * _MEMORY_SHARE)
        self._max_connections = max(
            1,
            int((max_descriptors - _RESERVED_DESCRIPTORS) * _DESCRIPTOR_SHARE),
        )
        # Accounts of each caller, by IP address.
        self._accounts: dict[str, set[CallerAccount]] = {}
        self._response_accounts: set[ResponseAccount] = set()
        self._leaving_accounts: set[Account] = set()

    @property
    def connection_count(self) -> int:
        """Number of connections of callers that are open."""
        return sum(len(accounts) for accounts in self._accounts.values())

    @property
    def response_bytes(self) -> int:
        """Bytes of the bodies that endpoints and the store send."""
        return sum(account.held_bytes for account in self._response_accounts)

    def allow_request_size(self, max_body_bytes: int) -> None:
        """Makes sure that requests of the largest legal size have room."""
        self._max_bytes = max(
            self._max_bytes, _MIN_LARGEST_REQUESTS * max_body_bytes
        )

    def open_account(
        self, host: str, evict: Callable[[], None]
    ) -> CallerAccount | None:
        """Returns the account of a new connection, or None to refuse it.

        At the limit, a connection that waits for its caller makes room: one of
        the caller with the most connections.

        Args:
            host: IP address of the caller.
            evict: Closes the connection.
        """
        is_full = self.connection_count >= self._max_connections
        if is_full and not self._evict_oldest():
            self.counts.refused_connections += 1
            return None
        account = CallerAccount(self, host, evict)
        self._accounts.setdefault(host, set()).add(account)
        self.held_bytes += account.held_bytes
        if self.held_bytes > self._max_bytes:
            self._make_room(account, CONNECTION_BYTES)
        return account

    def open_response(self, evict: Callable[[], None]) -> ResponseAccount:
        """Returns the account of a response body that begins to arrive.

        Args:
            evict: Drops what has arrived, and ends the reading of the body.
        """
        account = ResponseAccount(self, evict)
        self._response_accounts.add(account)
        return account

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

    def remove_caller(self, account: CallerAccount) -> bool:
        """Removes an account of a caller; returns whether it was there."""
        accounts = self._accounts.get(account.host)
        if accounts is None or account not in accounts:
            return False
        accounts.discard(account)
        if not accounts:
            del self._accounts[account.host]
        return True

    def remove_response(self, account: ResponseAccount) -> bool:
        """Removes an account of a body; returns whether it was there."""
        if account not in self._response_accounts:
            return False
        self._response_accounts.discard(account)
        return True

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

    def add_response(self, account: CallerAccount, byte_count: int) -> None:
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

    def take_counts(self) -> IntakeCounts:
        """Returns what was refused since the last call."""
        counts = self.counts
        self.counts = IntakeCounts()
        return counts

    def _remove(self, account: Account) -> bool:
        """Removes an account with its bytes; returns whether it was there."""
        is_present = account.remove()
        if is_present:
            self.held_bytes -= account.held_bytes
        return is_present

    def _make_room(self, account: Account, byte_count: int) -> bool:
        """Closes one connection for the growth of another.

        It is the one that has held the most bytes for the longest time. If
        connections by themselves take most of the memory, it is the oldest one
        that waits.

        Args:
            account: The account that grows.
            byte_count: Bytes that it would hold.

        Returns:
            Whether a connection was closed; False if the one that grows is the
            one to make room.
        """
        connection_bytes = CONNECTION_BYTES * self.connection_count
        if connection_bytes > self._max_bytes * _MAX_CONNECTION_SHARE:
            return self._evict_oldest(account)
        now_s = clock.boottime()
        victim = account
        largest = account.compute_weight(now_s, byte_count)
        for other in itertools.chain(
            self._response_accounts, *self._accounts.values()
        ):
            weight = other.compute_weight(now_s)
            if weight > largest and other is not account:
                victim, largest = other, weight
        if victim is account:
            return False
        victim.evict()
        return True

    def _evict_oldest(self, excluded: Account | None = None) -> bool:
        """Closes one connection that waits; returns whether there was one.

        It belongs to the caller with the most connections. Connections that
        have not brought a whole request yet go first.
        """
        now_s = clock.boottime()
        for accounts in sorted(self._accounts.values(), key=len, reverse=True):
            waiting = [
                account
                for account in accounts
                if account.waits_for_caller and account is not excluded
            ]
            if waiting:
                oldest = max(
                    waiting,
                    key=lambda account: (
                        not account.served_count,
                        account.compute_age_s(now_s),
                    ),
                )
                oldest.evict()
                return True
        return False
