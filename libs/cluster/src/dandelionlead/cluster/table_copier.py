"""Copies tables from peers into the local mirror, at a limited rate."""

from __future__ import annotations

import eventlet

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peer_transport
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events

# Shortest time between the starts of two copies if the second one is started
# because a peer's heartbeat lists a newer version.
MIN_UPDATE_PAUSE_S = 0.15
# Shortest time between the starts of two copies while this process cannot read
# the store itself.
STORE_OUTAGE_PAUSE_S = 0.7
_COPY_TIMEOUT_S = 0.8


class TableCopier:
    """Copies tables in the background, with a minimum pause between copies.

    Args:
        table_mirror: Mirror that the copies are applied to.
        transport: Sends the requests for copies to peers.
        log: Receives an event for each copy that fails.
    """

    def __init__(
        self,
        table_mirror: mirror.Mirror,
        transport: peer_transport.PeerTransport,
        log: events.Log,
    ) -> None:
        self._table_mirror = table_mirror
        self._transport = transport
        self._log = log
        self._last_copy_start_s = 0.0

    def start_copy(self, host: str, min_pause_s: float) -> None:
        """Starts a copy of all tables unless the last one started too recently.

        Args:
            host: Host of the peer to copy from.
            min_pause_s: No copy is started within this many seconds after the
                start of the last one.
        """
        now_s = clock.boottime()
        if now_s - self._last_copy_start_s >= min_pause_s:
            self._last_copy_start_s = now_s
            eventlet.spawn_n(self._copy, host)

    def _copy(self, host: str) -> None:
        """Requests all tables from a peer and applies those it sends."""
        requested_s = clock.boottime()
        known_versions = {
            name: table.version
            for name, table in self._table_mirror.tables.items()
        }
        resp = self._transport.request_tables(
            host, known_versions, _COPY_TIMEOUT_S
        )
        if isinstance(resp, errors.Failure):
            self._log.event("copy_from_peer_failed", reason=resp.reason)
            return
        for table in resp.tables:
            self._apply_table(table, requested_s)

    def _apply_table(self, table: ttypes.Table, requested_s: float) -> None:
        """Applies a copied table to the mirror.

        The message states how long ago the store last confirmed the peer's
        table as current. This age is subtracted from the time of the request
        rather than from the time of the response, so that the computed time is
        never later than the actual confirmation.

        Args:
            table: The copied table.
            requested_s: Time at which the copy was requested, in seconds of
                `clock.boottime`.
        """
        confirmed_s = requested_s - table.confirmed_ms_ago / 1e3
        rows = [
            mirror.Row(row.key, row.value, row.version) for row in table.rows
        ]
        apply_rows = (
            self._table_mirror.replace_table
            if table.whole
            else self._table_mirror.apply_changes
        )
        apply_rows(table.name, rows, table.version, confirmed_s)
