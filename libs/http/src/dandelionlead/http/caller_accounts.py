"""Counts what connections of callers hold, and finds the oldest of them."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from collections.abc import Iterator

from dandelionlead.core import clock
from dandelionlead.http import intake_counts
from dandelionlead.http import intake_memory


class CallerAccount(intake_memory.Account):
    """What one connection of a caller holds.

    Attributes:
        host: IP address of the caller.
        served_count: Requests of the connection that were read completely.
    """

    __slots__ = ("host", "served_count", "_registry", "_waiting_since_s")

    OWN_BYTES = intake_memory.CONNECTION_BYTES

    def __init__(
        self,
        memory: intake_memory.IntakeMemory,
        registry: CallerRegistry,
        host: str,
        evict: Callable[[], None],
    ) -> None:
        super().__init__(memory, evict)
        self.host = host
        self.served_count = 0
        self._registry = registry
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
            self._memory.set_held(self, intake_memory.CONNECTION_BYTES)

    def start_write(self, byte_count: int) -> None:
        """Counts a part of a response while the caller has not read it."""
        if not self.is_evicted:
            self.start_waiting()
            self._memory.add_response(self, byte_count)

    def end_write(self, byte_count: int) -> None:
        """Ends what `start_write` began."""
        if not self.is_evicted:
            self.stop_waiting()
            self._memory.add_response(self, -byte_count)

    def remove(self) -> bool:
        """Removes the account; returns whether the registry had it."""
        return self._registry.remove(self)

    def compute_age_s(self, now_s: float) -> float:
        """Returns for how long the connection has waited for its caller."""
        if self._waiting_since_s is None:
            return 0.0
        return now_s - self._waiting_since_s + intake_memory.MIN_AGE_S

    def note_eviction(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that the connection was closed to make room."""
        counts.evicted_connections += 1

    def note_refusal(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that a request of the connection was refused."""
        counts.refused_requests += 1


class CallerRegistry:
    """The accounts of all open connections of callers."""

    __slots__ = ("_accounts",)

    def __init__(self) -> None:
        # Accounts of each caller, by IP address.
        self._accounts: dict[str, set[CallerAccount]] = {}

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return sum(len(accounts) for accounts in self._accounts.values())

    def add(self, account: CallerAccount) -> None:
        """Adds the account of a new connection."""
        self._accounts.setdefault(account.host, set()).add(account)

    def remove(self, account: CallerAccount) -> bool:
        """Removes an account; returns whether it was there."""
        accounts = self._accounts.get(account.host)
        if accounts is None or account not in accounts:
            return False
        accounts.discard(account)
        if not accounts:
            del self._accounts[account.host]
        return True

    def __iter__(self) -> Iterator[CallerAccount]:
        """Yields the accounts of all connections."""
        return itertools.chain(*self._accounts.values())

    def find_oldest_waiting(
        self, now_s: float, excluded: intake_memory.Account | None = None
    ) -> CallerAccount | None:
        """Returns the connection that has waited longest; None if none waits.

        It belongs to the caller with the most connections. Connections that
        have not brought a whole request yet go first.

        Args:
            now_s: Present instant, in seconds.
            excluded: An account that is not returned.
        """
        for accounts in sorted(self._accounts.values(), key=len, reverse=True):
            waiting = [
                account
                for account in accounts
                if account.waits_for_caller and account is not excluded
            ]
            if waiting:
                return max(
                    waiting,
                    key=lambda account: (
                        not account.served_count,
                        account.compute_age_s(now_s),
                    ),
                )
        return None
