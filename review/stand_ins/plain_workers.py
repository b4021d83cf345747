"""Stand-in of a worker of a plain service, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import http_messages
import platform_store

_SLOTS = 6
_QUEUE = 24
_BEAT_S = 1.2


class PlainWorker:
    """One worker; it runs each request for the same time.

    Attributes:
        worker_id: Its id in the store.
        service: Name of its service.
        address: IP address and port.
        zone: Its zone.
        run_paths: Paths of the requests that it has begun to run, by their id.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: tuple[str, int],
        zone: str,
        work_s: float,
        store: platform_store.PlatformStore,
        record: Callable[..., None],
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.address = address
        self.zone = zone
        self.run_paths: dict[str, str] = {}
        self._work_s = work_s
        self._store = store
        self._record = record
        self._born = int(time.time() * 1e3)
        self._sequence = 0
        self._slots = asyncio.Semaphore(_SLOTS)
        self._waiting_count = 0
        self._beat_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to listen, and to write its entry to the store."""
        await asyncio.start_server(self._serve, *self.address)
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._store.put(
                "servers",
                self.worker_id,
                {
                    "service": self.service,
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": _SLOTS,
                    "state": "ready",
                    "cold-left-ms": 0,
                    "sequence": self._sequence,
                    "born": self._born,
                },
            )
            await asyncio.sleep(_BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http_messages.read_request(reader)
                if request is None:
                    break
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: http_messages.Message) -> bytes:
        path = request.start[1]
        request_id = request.headers.get("x-dandelionlead-request-id", "")
        own = {"X-Dandelionlead-Request-Id": request_id}
        expected = request.headers.get("x-dandelionlead-expect-instance")
        if expected is not None and expected != self.worker_id:
            own["X-Dandelionlead-Instance-Id"] = self.worker_id
            return http_messages.make_response(421, own)
        if self._waiting_count >= _QUEUE:
            own["X-Dandelionlead-Not-Executed"] = "1"
            return http_messages.make_response(503, own)
        self._waiting_count += 1
        async with self._slots:
            self._waiting_count -= 1
            self.run_paths[request_id] = path
            self._record(
                "worker",
                f"{self.worker_id} of service {self.service}",
                f"runs id={request_id} {path}",
            )
            await asyncio.sleep(self._work_s)
        own["X-Dandelionlead-Response-Signature"] = f"sig-{request_id}"
        own["Keep-Alive"] = "timeout=5"
        body = f"{self.service} did {path}".encode()
        return http_messages.make_response(200, own, body)
