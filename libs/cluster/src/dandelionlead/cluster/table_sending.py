"""Builds the responses to peers that copy tables from this process.

Rows can be large: the configuration of a large deployment takes hundreds of
kilobytes, and all peers copy it at about the same time. Large values are
compressed, and only a few large copies are sent at a time, so that the first
ones arrive early and their receivers can send copies in turn.
"""

from __future__ import annotations

import contextlib
import zlib
from collections.abc import Iterator

from dandelionlead.cluster import mirror
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock

# Smaller values are sent uncompressed.
_MIN_COMPRESSED_BYTES = 1_024
_COMPRESSION_LEVEL = 6
# Copies whose values take more than this count as large.
_LARGE_COPY_BYTES = 8_192
# Maximum number of large copies that are sent at the same time.
_MAX_LARGE_COPIES = 4
# Maximum number of compressed values that are kept.
_MAX_CACHED_VALUES = 64
# Largest age that fits into the i32 field of the message.
_MAX_AGE_MS = 1e9


class TableSender:
    """Builds copies of the local tables for peers.

    Args:
        table_mirror: Mirror whose tables are copied.
    """

    def __init__(self, table_mirror: mirror.Mirror) -> None:
        self._table_mirror = table_mirror
        self._large_copy_count = 0
        # Compressed values and the versions of their rows, by name of the table
        # and key.
        self._compressed: dict[tuple[str, str], tuple[int, bytes]] = {}

    @contextlib.contextmanager
    def open_response(
        self, req: ttypes.CopyRequest
    ) -> Iterator[ttypes.CopyResponse]:
        """Builds the response to a request; the context lasts until it is sent.

        The response states that this process is busy, and has no tables, if the
        copy is large and the maximum number of large copies is being sent.

        Args:
            req: The peer's request.
        """
        tables = self._build_tables(req)
        size_bytes = sum(
            len(row.value or b"") for table in tables for row in table.rows
        )
        is_large = size_bytes > _LARGE_COPY_BYTES
        if is_large and self._large_copy_count >= _MAX_LARGE_COPIES:
            yield ttypes.CopyResponse([], is_busy=True)
            return
        self._large_copy_count += is_large
        try:
            yield ttypes.CopyResponse(tables, is_busy=False)
        finally:
            self._large_copy_count -= is_large

    def _build_tables(self, req: ttypes.CopyRequest) -> list[ttypes.Table]:
        """Builds the tables of the response to a copy request.

        A requested table is left out if this process does not hold it, or holds
        an older version of it than the peer. If both hold the same version, the
        message contains no rows, only the time since the store was last
        confirmed to hold no newer version.
        """
        now_s = clock.boottime()
        tables = []
        for name, known_version in req.known_versions.items():
            table = self._table_mirror.tables.get(name)
            if table is None or table.version < known_version:
                continue
            # The age is infinite if the table was never confirmed.
            confirmed_ms_ago = int(
                min(_MAX_AGE_MS, (now_s - table.last_confirmed_s) * 1e3)
            )
            changed = table.changes_since(known_version)
            is_whole = changed is None
            sent_rows = table.list_confirmed_rows() if is_whole else changed
            rows = [
                self._build_row(name, row, bool(req.accepts_compression))
                for row in sent_rows
            ]
            tables.append(
                ttypes.Table(
                    name, table.version, rows, confirmed_ms_ago, is_whole
                )
            )
        return tables

    def _build_row(
        self, table_name: str, row: mirror.Row, may_compress: bool
    ) -> ttypes.Row:
        value = row.value
        if (
            not may_compress
            or value is None
            or len(value) < _MIN_COMPRESSED_BYTES
        ):
            return ttypes.Row(row.key, value, row.version, is_compressed=False)
        cached = self._compressed.get((table_name, row.key))
        if cached is None or cached[0] != row.version:
            if len(self._compressed) >= _MAX_CACHED_VALUES:
                self._compressed.clear()
            cached = (row.version, zlib.compress(value, _COMPRESSION_LEVEL))
            self._compressed[table_name, row.key] = cached
        return ttypes.Row(row.key, cached[1], row.version, is_compressed=True)
