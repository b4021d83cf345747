"""Copies tables from peers that know newer ones."""

from __future__ import annotations

import eventlet

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peers
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events

# News of peers are copied at most this often.
NEWS_PAUSE_S = 0.15
# A process that cannot read the store asks its peers this often.
ASK_PAUSE_S = 0.7
_COPY_LIMIT_S = 0.8


class Copier:
    """One copy at a time, with a pause after each."""

    def __init__(
        self, tables: mirror.Mirror, sockets: peers.Peers, log: events.Log
    ) -> None:
        self._tables = tables
        self._peers = sockets
        self._log = log
        self._copied_s = 0.0

    def copy_soon(self, host: str, pause_s: float) -> None:
        """Copies from a peer, unless that was done a moment ago."""
        now_s = clock.boottime()
        if now_s - self._copied_s >= pause_s:
            self._copied_s = now_s
            eventlet.spawn_n(self._copy, host)

    def _copy(self, host: str) -> None:
        now_s = clock.boottime()
        versions = {
            name: table.version for name, table in self._tables.tables.items()
        }
        copied = self._peers.copy(host, versions, _COPY_LIMIT_S)
        if isinstance(copied, errors.Failure):
            self._log.event("copy_from_peer_failed", reason=copied.reason)
            return
        for table in copied.tables:
            self._take(table, now_s)

    def _take(self, table: ttypes.Table, asked_s: float) -> None:
        confirmed_s = asked_s - table.confirmed_ms_ago / 1e3
        rows = [
            mirror.Row(row.key, row.value, row.version) for row in table.rows
        ]
        take = self._tables.replace if table.whole else self._tables.change
        take(table.name, rows, table.version, confirmed_s)
