"""Limits what the peers of one process together make it hold.

All listeners and clients of a process share one `Intake`. It counts the
connections of callers and the bytes of requests and responses that connections
hold, as they arrive: those of callers, and the bodies that endpoints and the
store send. When a limit is reached, it closes the connections that hold the
most for the longest time, and so makes room for the others. What these hold is
free when their greenlets have ended; the others wait for that.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from dandelionlead.core import clock
from dandelionlead.http import caller_accounts
from dandelionlead.http import intake_memory
from dandelionlead.http import response_account
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
# Share of the memory for callers that connections take by themselves before the
# oldest ones are closed.
_MAX_CONNECTION_SHARE = 0.5


class Intake(intake_memory.IntakeMemory):
    """Connections of all peers of one process, and the bytes they hold.

    Attributes:
        pacer: Spaces the parsing of request bodies.
    """

    __slots__ = ("pacer", "_max_connections", "_callers", "_response_accounts")

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
        super().__init__(int(memory_bytes * _MEMORY_SHARE))
        self.pacer = turn_pacer.TurnPacer()
        self._max_connections = max(
            1,
            int((max_descriptors - _RESERVED_DESCRIPTORS) * _DESCRIPTOR_SHARE),
        )
        self._callers = caller_accounts.CallerRegistry()
        self._response_accounts: set[response_account.ResponseAccount] = set()

    @property
    def connection_count(self) -> int:
        """Number of connections of callers that are open."""
        return self._callers.connection_count

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
    ) -> caller_accounts.CallerAccount | None:
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
        account = caller_accounts.CallerAccount(
            self, self._callers, host, evict
        )
        self._callers.add(account)
        self.held_bytes += account.held_bytes
        if self.held_bytes > self._max_bytes:
            self._make_room(account, intake_memory.CONNECTION_BYTES)
        return account

    def open_response(
        self, evict: Callable[[], None]
    ) -> response_account.ResponseAccount:
        """Returns the account of a response body that begins to arrive.

        Args:
            evict: Drops what has arrived, and ends the reading of the body.
        """
        account = response_account.ResponseAccount(
            self, self._response_accounts, evict
        )
        self._response_accounts.add(account)
        return account

    def _make_room(
        self, account: intake_memory.Account, byte_count: int
    ) -> bool:
        """Closes one connection for the growth of another.

        It is the one that has held the most bytes for the longest time. If
        connections by themselves take most of the memory, it is the oldest one
        that waits.
        """
        connection_bytes = (
            intake_memory.CONNECTION_BYTES * self.connection_count
        )
        if connection_bytes > self._max_bytes * _MAX_CONNECTION_SHARE:
            return self._evict_oldest(account)
        now_s = clock.boottime()
        victim = account
        largest = account.compute_weight(now_s, byte_count)
        for other in itertools.chain(self._response_accounts, self._callers):
            weight = other.compute_weight(now_s)
            if weight > largest and other is not account:
                victim, largest = other, weight
        if victim is account:
            return False
        victim.evict()
        return True

    def _evict_oldest(
        self, excluded: intake_memory.Account | None = None
    ) -> bool:
        """Closes one connection that waits; returns whether there was one."""
        oldest = self._callers.find_oldest_waiting(clock.boottime(), excluded)
        if oldest is None:
            return False
        oldest.evict()
        return True
