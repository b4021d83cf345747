"""Stand-in of a model worker, as PROTOCOL.md describes it.

The figures are those of the users' sheets: memory, time of a prompt token, of
an event and of a move. A move takes the links of both workers, one after
another, and twice as long between zones. Nothing is drawn at random.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from collections.abc import Callable

import http_messages
import platform_store

KV_TOKENS = 34_281
SLOTS = 24
KV_BYTES = 18_432
LINK_MBPS = 2_700.0
TOKENS_PER_EVENT = 4
EVENT_S = 0.042
# Requests that wait for memory, as PROTOCOL.md says of all workers.
QUEUE = 8
PROMPT_TOKENS_PER_S = 14_000.0
BEAT_S = 1.2


class _Run:
    """One request that the worker runs, or a run that a final move stopped.

    Attributes:
        request_id: Id of the request.
        tokens: Tokens in memory.
        event_count: Number of the last event that was made.
        is_stopped: Whether a final move has stopped the run.
        is_moving: Whether a move of the run is in progress.
        copied_tokens: Tokens that were copied, by target address.
    """

    __slots__ = (
        "request_id",
        "tokens",
        "event_count",
        "is_stopped",
        "is_moving",
        "copied_tokens",
    )

    def __init__(self, request_id: str, tokens: int, event_count: int) -> None:
        self.request_id = request_id
        self.tokens = tokens
        self.event_count = event_count
        self.is_stopped = False
        self.is_moving = False
        self.copied_tokens: dict[str, int] = {}


class Engine:
    """One model worker.

    Attributes:
        engine_id: Its id in the store.
        address: IP address and port.
        answer_count: Answers to requests that it has begun.
        run_ids: Ids of the requests that it runs.
        begun_ids: Ids of all requests that it has begun to run.
        chooses_fault: Called for each run; returns `broken` if the answer is
            to break off inside its second event, `lost` if the channel is to
            be reset after the run in place of an answer, or an empty text.
        chooses_unframed: Called with a request for each run; returns whether
            the answer has neither a length nor chunks.
    """

    by_address: dict[str, Engine] = {}

    def __init__(
        self,
        engine_id: str,
        address: tuple[str, int],
        zone: str,
        store: platform_store.PlatformStore,
        record: Callable[..., None],
    ) -> None:
        self.engine_id = engine_id
        self.address = address
        self.zone = zone
        self.answer_count = 0
        self.begun_ids: set[str] = set()
        self.chooses_fault: Callable[[], str] = lambda: ""
        self.chooses_unframed: Callable[[http_messages.Message], bool] = (
            lambda _: False
        )
        self._store = store
        self._record = record
        self._state = "ready"
        self._sequence = 0
        self._born = int(time.time() * 1e3)
        self._runs: dict[str, _Run] = {}
        # Memory copies by handle: tokens and number of the last event.
        self._copies: dict[str, tuple[int, int]] = {}
        self._link_free_s = 0.0
        self._waiting_count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat_task: asyncio.Task | None = None
        Engine.by_address[f"{address[0]}:{address[1]}"] = self

    @property
    def run_ids(self) -> list[str]:
        """Ids of the requests that the worker runs."""
        return [run.request_id for run in self._list_active()]

    async def start(self) -> None:
        """Starts to listen, and to write its entry to the store."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=http_messages.MAX_HEAD_BYTES
        )
        self._beat_task = asyncio.create_task(self._beat())

    def drain(self) -> None:
        """Reports that the worker is about to leave; it serves on."""
        self._state = "draining"
        self._write_entry()
        self._record("engine", self.engine_id, "reports draining")

    def leave(self) -> None:
        """Ends the worker: its channels are reset, its entry is removed."""
        self._record("engine", self.engine_id, "is gone")
        self._server.close()
        self._beat_task.cancel()
        for writer in list(self._writers):
            _reset(writer)
        self._store.remove("servers", self.engine_id)

    def count_used_tokens(self) -> int:
        """Returns the memory in use by runs and by copies."""
        return sum(run.tokens for run in self._runs.values()) + sum(
            tokens for tokens, _ in self._copies.values()
        )

    def _list_active(self) -> list[_Run]:
        return [run for run in self._runs.values() if not run.is_stopped]

    async def _beat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(BEAT_S)

    def _write_entry(self) -> None:
        self._sequence += 1
        self._store.put(
            "servers",
            self.engine_id,
            {
                "service": "engines",
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": self._state,
                "cold-left-ms": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http_messages.read_request(reader)
                if request is None:
                    break
                if not await self._handle(request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: http_messages.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the channel stays open."""
        method, path = request.start[0], request.start[1]
        if path == "/report":
            writer.write(_make_json(200, self._make_report()))
        elif path == "/health":
            status = 200 if self._state == "ready" else 503
            headers = {"X-Dandelionlead-Instance-Id": self.engine_id}
            writer.write(http_messages.make_response(status, headers))
        elif method == "POST" and path == "/kv-move":
            writer.write(await self._move(json.loads(request.body)))
        elif method == "DELETE" and path.startswith("/kv-handle/"):
            handle = path.rpartition("/")[2]
            for engine in Engine.by_address.values():
                engine._copies.pop(handle, None)
            writer.write(_make_json(200, {}))
        else:
            return await self._run(request, reader, writer)
        return True

    def _make_report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(self._list_active()),
            "kv-used": self.count_used_tokens(),
            "kv-total": KV_TOKENS,
            "sessions": len(self._copies),
            "state": self._state,
        }

    async def _move(self, fields: dict[str, object]) -> bytes:
        """Carries out a `/kv-move` and returns the answer."""
        run = self._runs.get(fields["id"])
        if run is None or run.is_stopped:
            return _make_json(404, {})
        if run.is_moving:
            return _make_json(409, {})
        is_last = bool(fields.get("last"))
        handle = f"h-{run.request_id}"
        target = Engine.by_address[fields["target"]]
        run.is_moving = True
        if is_last:
            # The run stops first, and its stream is closed without its end.
            run.is_stopped = True
        try:
            status = await self._copy(run, handle, target)
        finally:
            run.is_moving = False
        self._record(
            "engine",
            self.engine_id,
            f"kv-move id={run.request_id} last={is_last} status={status}",
        )
        if status != 200 and not is_last:
            return _make_json(status, {})
        return _make_json(
            status, {"session": handle, "created": run.event_count}
        )

    async def _copy(self, run: _Run, handle: str, target: Engine) -> int:
        """Copies what is new; returns 200, or 503 if there is no room."""
        key = target.engine_id
        known = target._copies.get(handle, (0, 0))[0]
        if run.copied_tokens.get(key, 0) != known:
            run.copied_tokens[key] = known
        new_tokens = run.tokens - known
        if target.count_used_tokens() + new_tokens > KV_TOKENS:
            return 503
        target._copies[handle] = (run.tokens, run.event_count)
        run.copied_tokens[key] = run.tokens
        tokens, event_count = run.tokens, run.event_count
        seconds = new_tokens * KV_BYTES * 8 / (LINK_MBPS * 1e6)
        if target.zone != self.zone:
            seconds *= 2
        begin_s = max(time.monotonic(), self._link_free_s, target._link_free_s)
        end_s = begin_s + seconds
        self._link_free_s = target._link_free_s = end_s
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        if handle in target._copies:
            target._copies[handle] = (tokens, event_count)
        return 200

    async def _run(
        self,
        request: http_messages.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a generation; returns whether the channel stays open."""
        headers = request.headers
        request_id = headers.get("x-dandelionlead-request-id", "")
        expected = headers.get("x-dandelionlead-expect-instance")
        own = {"X-Dandelionlead-Request-Id": request_id}
        if expected is not None and expected != self.engine_id:
            own["X-Dandelionlead-Instance-Id"] = self.engine_id
            writer.write(http_messages.make_response(421, own))
            return True
        fields = json.loads(request.body)
        prompt_tokens = int(
            headers["x-dandelionlead-token-usage"].split(",")[0]
        )
        first = int(headers.get("last-event-id", "0")) + 1
        tokens = prompt_tokens + TOKENS_PER_EVENT * (first - 1)
        if "kv-from" in headers:
            if not self._take_copy(headers["kv-from"].partition("/")[2]):
                own["X-Dandelionlead-Not-Executed"] = "1"
                writer.write(http_messages.make_response(503, own))
                return True
            prompt_s = 0.0
        else:
            prompt_s = prompt_tokens / PROMPT_TOKENS_PER_S
            if not await self._await_room(request, tokens, reader):
                own["X-Dandelionlead-Not-Executed"] = "1"
                writer.write(http_messages.make_response(503, own))
                return True
        run = self._runs[request_id] = _Run(request_id, tokens, first - 1)
        self.answer_count += 1
        self.begun_ids.add(request_id)
        is_unframed = self.chooses_unframed(request)
        fault = self.chooses_fault()
        self._record(
            "engine",
            self.engine_id,
            f"runs id={request_id} from={first} of={fields['events']}"
            f" unframed={is_unframed} fault={fault or 'none'}",
        )
        own["X-Dandelionlead-Response-Signature"] = f"sig-{request_id}"
        own["X-Dandelionlead-Weight-Versions"] = "1"
        own["Content-Type"] = "text/event-stream"
        left = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            is_whole = await self._send_events(
                run,
                own,
                is_unframed,
                fault,
                first,
                fields["events"],
                prompt_s,
                left,
                writer,
            )
        finally:
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await left
            if not run.is_stopped:
                del self._runs[request_id]
        return is_whole and not is_unframed

    async def _await_room(
        self,
        request: http_messages.Message,
        tokens: int,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Queues a request until it has room; returns whether it may run.

        It may not if the queue is full or its time limit passes.

        Raises:
            ConnectionResetError: Its channel was closed.
        """
        if self._has_room(tokens):
            return True
        if self._waiting_count >= QUEUE:
            return False
        request_id = request.headers["x-dandelionlead-request-id"]
        self._record("engine", self.engine_id, "queues", request_id)
        deadline_ms = request.headers["x-dandelionlead-deadline-ms"]
        end_s = time.monotonic() + int(deadline_ms) / 1e3
        left = asyncio.create_task(reader.read(1))
        self._waiting_count += 1
        try:
            while time.monotonic() < end_s:
                if left.done():
                    self._record(
                        "engine",
                        self.engine_id,
                        f"drops {request_id} from its queue: channel closed",
                    )
                    raise ConnectionResetError
                if self._has_room(tokens):
                    return True
                await asyncio.sleep(0.01)
            return False
        finally:
            self._waiting_count -= 1
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await left

    def _has_room(self, tokens: int) -> bool:
        return (
            self.count_used_tokens() + tokens <= KV_TOKENS
            and len(self._list_active()) < SLOTS
        )

    def _take_copy(self, handle: str) -> bool:
        """Uses a copy that lies here, or the memory of a stopped run."""
        if self._copies.pop(handle, None) is not None:
            return True
        run = self._runs.get(handle.removeprefix("h-"))
        return run is not None and run.is_stopped

    async def _send_events(
        self,
        run: _Run,
        headers: dict[str, str],
        is_unframed: bool,
        fault: str,
        first: int,
        event_count: int,
        prompt_s: float,
        left: asyncio.Task[bytes],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends the events; returns whether the stream is whole.

        The run is dropped when its channel closes, which ends `left`.
        """
        await asyncio.sleep(prompt_s)
        if is_unframed:
            headers["Connection"] = "close"
        else:
            headers["Transfer-Encoding"] = "chunked"
        for number in range(first, event_count + 1):
            await asyncio.sleep(EVENT_S)
            if left.done():
                raise ConnectionResetError
            if run.is_stopped:
                self._record(
                    "engine",
                    self.engine_id,
                    f"stops id={run.request_id} after={run.event_count}"
                    f" of={event_count}",
                )
                return False
            data = make_event(run.request_id, number)
            if not is_unframed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            if number == first:
                data = http_messages.make_head(200, headers) + data
            elif fault == "broken":
                writer.write(data[: len(data) // 2])
                return False
            if fault == "lost":
                data = b""
            writer.write(data)
            await writer.drain()
            run.event_count = number
            run.tokens += TOKENS_PER_EVENT
        if fault == "lost":
            _reset(writer)
            raise ConnectionResetError
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
        return True


def make_event(request_id: str, number: int) -> bytes:
    """Returns an event of the generation of a request."""
    return b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a channel by a reset, also where nothing is left to be sent."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def _make_json(status: int, fields: dict[str, object]) -> bytes:
    return http_messages.make_response(
        status,
        {"Content-Type": "application/json"},
        json.dumps(fields).encode(),
    )
