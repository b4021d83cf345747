"""Lease on a row of the table service, for duties of a single process.

Nobody trusts another process's clock. A holder counts its lease from before
it sent the write. Another process waits until it has seen the same row version
for the lease time and a margin, counted from after it read that version.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from dandelionlead.platform import api

if TYPE_CHECKING:
    from typing import Any

    from dandelionlead.core import errors

KEY = api.Key("lease", "steward")
LEASE_S = 10.0
RENEW_EVERY_S = 3.0
# Longest time that one order to an endpoint may take to send.
SEND_LIMIT_S = 5.0
# Covers clocks whose rates differ by up to 5%.
MARGIN_S = 1.0


class LeaseKeeper:
    """Takes, renews and gives up one lease.

    The row is {holder, fence, write}: `fence` rises with each acquisition,
    `write` identifies the write, so that a lost answer can be settled.
    """

    def __init__(
        self,
        table: api.TableService,
        holder: str,
        clock: Callable[[], float],
        *,
        key: api.Key = KEY,
    ) -> None:
        """Starts without the lease.

        Args:
            table: The table service.
            holder: Unique for each life of a process, such as its name and
                its start time.
            clock: Seconds of a clock that counts pauses.
            key: Row of the lease.
        """
        self._table = table
        self._holder = holder
        self._clock = clock
        self._key = key
        self._writes = 0
        self._sent: dict[str, tuple[float, int]] = {}
        self._version = 0
        self._fence = 0
        self._until = -math.inf
        self._renew_at = -math.inf
        self._acquired_at = math.inf
        self._seen_version = -1
        self._seen_at = math.inf

    @property
    def fence(self) -> int:
        """Fencing number of the latest acquisition; 0 before the first."""
        return self._fence

    def holds(self, now: float) -> bool:
        """Whether this process holds the lease."""
        return now < self._until

    def may_send(self, now: float, *, checks_fencing: bool) -> bool:
        """Whether an order may be sent; ask immediately before each send.

        Args:
            now: Present time.
            checks_fencing: Whether the endpoint refuses old fencing numbers.
                To one that does not, a new holder sends nothing before the
                longest send of the holder before it is over.
        """
        if now + SEND_LIMIT_S > self._until:
            return False
        wait_s = 0.0 if checks_fencing else SEND_LIMIT_S + MARGIN_S
        return now >= self._acquired_at + wait_s

    def step(self) -> None:
        """Renews or tries to take the lease; call it once a second."""
        now = self._clock()
        if not self.holds(now):
            self._lose()
            self._watch()
        elif now >= self._renew_at:
            self._write(self._version, self._fence)

    def release(self) -> None:
        """Gives the lease up; no order may be under way."""
        held = self.holds(self._clock())
        self._lose()
        if held:
            value = {"holder": "", "fence": self._fence, "write": ""}
            self._table.transact([api.Write(self._key, self._version, value)])

    def _lose(self) -> None:
        self._until = -math.inf
        self._acquired_at = math.inf

    def _watch(self) -> None:
        rows = self._read()
        if rows is None:
            return
        row = rows[0]
        now = self._clock()
        version = 0 if row is None else row.version
        if version != self._seen_version:
            self._seen_version = version
            self._seen_at = now
        value: dict[str, Any] = {} if row is None else row.value
        holder = value.get("holder", "")
        over = now - self._seen_at >= LEASE_S + MARGIN_S
        # A row that names this process proves that no other holds the lease.
        if over or holder in ("", self._holder):
            fence = max(self._fence, value.get("fence", 0)) + 1
            self._write(version, fence)

    def _write(self, version: int, fence: int) -> None:
        self._writes += 1
        write = f"{self._holder}:{self._writes}"
        sent_at = self._clock()
        self._sent[write] = (sent_at, fence)
        value = {"holder": self._holder, "fence": fence, "write": write}
        outcome = self._table.transact([api.Write(self._key, version, value)])
        if isinstance(outcome, api.Committed):
            self._take(outcome.versions[0], write)
        elif not isinstance(outcome, api.Unavailable):
            self._settle()

    def _settle(self) -> None:
        """Reads back after an answer that was lost or told of a conflict."""
        rows = self._read()
        if rows is None or rows[0] is None:
            return
        row = rows[0]
        write = row.value.get("write", "")
        if write in self._sent:
            self._take(row.version, write)
        elif row.version != self._version:
            self._lose()

    def _take(self, version: int, write: str) -> None:
        sent_at, fence = self._sent[write]
        self._sent = {write: (sent_at, fence)}
        self._version = version
        self._until = sent_at + LEASE_S
        self._renew_at = sent_at + RENEW_EVERY_S
        if fence != self._fence or self._acquired_at == math.inf:
            self._acquired_at = self._clock()
        self._fence = fence

    def _read(self) -> list[api.Row | None] | None:
        rows: list[api.Row | None] | errors.Failure
        rows = self._table.read([self._key])
        return rows if isinstance(rows, list) else None
