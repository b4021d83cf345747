"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.parse

import http_messages

# Time that the store takes for an answer, as on the users' sheets.
_ANSWER_S = 0.004


class PlatformStore:
    """Rows in tables, with one counter of versions; answers are linearizable.

    Attributes:
        address: IP address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._version = 100
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[str, str, bytes | None, int]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        await asyncio.start_server(self._serve, *self.address)

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator or a worker does."""
        self._set(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Removes a row; does nothing if there is none."""
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._note((table, key, None, self._version))

    def _set(self, table: str, key: str, value: bytes) -> None:
        self._version += 1
        self._rows[table, key] = (value, self._version)
        self._note((table, key, value, self._version))

    def _note(self, change: tuple[str, str, bytes | None, int]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http_messages.read_request(reader)
                if request is None:
                    break
                status, fields = await self._answer(request)
                await asyncio.sleep(_ANSWER_S)
                writer.write(
                    http_messages.make_response(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(fields).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: http_messages.Message
    ) -> tuple[int, dict[str, object]]:
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/rows-get":
            return 200, self._page(
                [
                    _make_row(table, key, value, version)
                    for (table, key), (value, version) in sorted(
                        self._rows.items()
                    )
                    if table == query["table"] and key >= query.get("from", "")
                ]
            )
        if url.path == "/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/rows-tx":
            return self._write(json.loads(request.body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        since = int(query["since-rev"])
        end_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1e3
        while True:
            rows = [
                _make_row(*change)
                for change in self._changes
                if change[0] == query["table"] and change[3] > since
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return self._page(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _page(self, rows: list[dict[str, object]]) -> dict[str, object]:
        return {
            "rows": rows,
            "has-more": False,
            "schema-version": self._version,
            "now-ms": int(time.monotonic() * 1e3),
        }

    def _write(
        self, fields: dict[str, list[dict]]
    ) -> tuple[int, dict[str, object]]:
        for item in [*fields["set-keys"], *fields["remove"]]:
            if item["table"] in ("op", "servers"):
                return 403, {}
        for item in fields["expected-rev"]:
            stored = self._rows.get((item["table"], item["key"]), (b"", 0))
            if stored[1] != item["schema-version"]:
                return 412, {"rows": []}
        for item in fields["set-keys"]:
            value = base64.b64decode(item["value"])
            self._set(item["table"], item["key"], value)
        return 200, {"schema-version": self._version, "now-ms": 0}


def _make_row(
    table: str, key: str, value: bytes | None, version: int
) -> dict[str, object]:
    row = {"table": table, "part": "", "key": key, "schema-version": version}
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}
