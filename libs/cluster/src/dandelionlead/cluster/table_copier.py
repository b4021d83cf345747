"""Copies tables from peers into the local mirror, at a limited rate."""

from __future__ import annotations

import zlib

import eventlet

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peer_transport
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.core import store_version

# Shortest time between the starts of two copies if the second one is started
# because a peer's message names a newer version.
MIN_UPDATE_PAUSE_S = 0.15
# Largest value of a row, which a compressed value must not exceed.
_MAX_VALUE_BYTES = 8_388_608
# A second copy at the same time, from another peer, covers for a peer that has
# become unreachable. More would compete for the link of this process.
_MAX_CONCURRENT_COPIES = 2
_COPY_LIMITS = peer_transport.CopyLimits(
    idle_timeout_s=0.8, total_timeout_s=2.0
)


class TableCopier:
    """Copies tables in the background, with a minimum pause between copies.

    Args:
        table_mirror: Mirror that the copies are applied to.
        transport: Sends the requests for copies to peers.
        log: Receives an event for each copy that fails.
        metrics_registry: Counts the copies by outcome.
    """

    def __init__(
        self,
        table_mirror: mirror.Mirror,
        transport: peer_transport.PeerTransport,
        log: events.Log,
        metrics_registry: metrics.Registry,
    ) -> None:
        self._table_mirror = table_mirror
        self._transport = transport
        self._log = log
        self._metrics_registry = metrics_registry
        self._last_copy_start_s = 0.0
        self._hosts_in_copy: set[str] = set()

    def start_copy(self, host: str, min_pause_s: float) -> None:
        """Starts a copy of all tables, unless there are too many.

        No copy is started if the last one was started too recently, if one from
        this peer is in progress, or if the maximum number of copies is in
        progress. Copies that compete for a link would otherwise all exceed
        their time limits, and be started again.

        Args:
            host: Host of the peer to copy from.
            min_pause_s: No copy is started within this many seconds after the
                start of the last one.
        """
        now_s = clock.boottime()
        if now_s - self._last_copy_start_s < min_pause_s:
            return
        if host in self._hosts_in_copy:
            return
        if len(self._hosts_in_copy) >= _MAX_CONCURRENT_COPIES:
            return
        self._last_copy_start_s = now_s
        self._hosts_in_copy.add(host)
        eventlet.spawn_n(self._copy, host)

    def _copy(self, host: str) -> None:
        """Copies all tables from a peer and counts the outcome."""
        try:
            outcome = self._request_and_apply(host)
        finally:
            self._hosts_in_copy.discard(host)
        self._metrics_registry.count("table_copies_total", outcome=outcome)

    def _request_and_apply(self, host: str) -> str:
        """Requests all tables from a peer and applies those it sends.

        Returns:
            The outcome, a label of the metric: `applied`, `busy` if the peer
            sends too many copies already, or `failed`.
        """
        requested_s = clock.boottime()
        known_versions = {
            name: table.version
            for name, table in self._table_mirror.tables.items()
        }
        resp = self._transport.request_tables(
            host, known_versions, _COPY_LIMITS
        )
        if isinstance(resp, errors.Failure):
            self._log.event("copy_from_peer_failed", reason=resp.reason)
            return "failed"
        if resp.is_busy:
            return "busy"
        try:
            for table in resp.tables:
                self._apply_table(table, requested_s, host)
        except zlib.error as exc:
            self._log.event("copy_from_peer_failed", reason=repr(exc))
            return "failed"
        return "applied"

    def _apply_table(
        self, table: ttypes.Table, requested_s: float, host: str
    ) -> None:
        """Applies a copied table to the mirror, and logs one with rows.

        The message states how long ago the store last confirmed the peer's
        table as current. This age is subtracted from the time of the request
        rather than from the time of the response, so that the computed time is
        never later than the actual confirmation.

        Args:
            table: The copied table.
            requested_s: Time at which the copy was requested, in seconds of
                `clock.boottime`.
            host: Host of the peer.

        Raises:
            zlib.error: If a compressed value is corrupt.
        """
        confirmed_s = requested_s - table.confirmed_ms_ago / 1e3
        rows = [
            mirror.Row(row.key, _decode_value(row), row.version)
            for row in table.rows
        ]
        if rows:
            self._log.event(
                "copied_from_peer",
                table=table.name,
                peer=host,
                version=store_version.format_version(table.version),
                rows=len(rows),
            )
        apply_rows = (
            self._table_mirror.replace_table
            if table.whole
            else self._table_mirror.apply_changes
        )
        apply_rows(table.name, rows, table.version, confirmed_s)


def _decode_value(row: ttypes.Row) -> bytes | None:
    """Returns the value of a copied row; None if the row was deleted.

    Raises:
        zlib.error: The compressed value is corrupt, or larger than a row.
    """
    if not row.is_compressed or row.value is None:
        return row.value
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(row.value, _MAX_VALUE_BYTES)
    if not decompressor.eof:
        raise zlib.error("the value is truncated or too large")
    return value
