"""A deployment of real processes and a caller's view of it, for tests."""

from __future__ import annotations

import http.client
import json
import pathlib
import re
import threading
import time
import unittest
from typing import Any

import json5
import urllib3

from dandelionlead.standins import deployment

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_EVENT_ID = re.compile(rb"^id: ([^:\n]+):(\d+)$", re.MULTILINE)
CHAT = "/v1/chat/completions"
HTTP_ERROR = urllib3.exceptions.HTTPError
# `dandelionctl apply`: accepted by all; accepted, but not confirmed by all.
APPLIED = (0, 6)


def operators(*endpoints: str) -> dict[str, Any]:
    """Returns the Haddad example with only these endpoints."""
    text = (_ROOT / "examples/haddad/operators.jsonc").read_text()
    plain = json5.loads(text)
    plain["endpoints"] = {name: plain["endpoints"][name] for name in endpoints}
    return plain


def key_of(team: str) -> dict[str, str]:
    """Returns the header that identifies a team."""
    return {"Authorization": f"Bearer {deployment.API_KEY_PREFIX}{team}"}


def pool(timeout_s: float = 30.0) -> urllib3.PoolManager:
    """Returns an HTTP client that repeats nothing."""
    return urllib3.PoolManager(retries=False, timeout=timeout_s, maxsize=64)


def event_ids(data: bytes) -> list[tuple[str, int]]:
    """Returns generation and position of each event."""
    return [
        (generation.decode(), int(position))
        for generation, position in _EVENT_ID.findall(data)
    ]


class Reply:
    """What a caller heard; status 0 if the connection ended without it."""

    __slots__ = ("status", "headers", "body", "sent_at", "heard_at")

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.sent_at = 0.0
        self.heard_at = 0.0

    @property
    def problem(self) -> dict[str, Any]:
        """The problem object, or an empty one."""
        kind = self.headers.get("Content-Type", "")
        if not kind.startswith("application/problem+json"):
            return {}
        return json.loads(self.body)

    @property
    def kind(self) -> str:
        """Kind of the error; empty for other answers."""
        return self.problem.get("kind", "")

    @property
    def run(self) -> str:
        """Whether the call ran, as the caller was told."""
        if not self.status:
            return "unknown"
        return self.problem.get("run", "ran")

    def __repr__(self) -> str:
        return f"<{self.status} {self.kind} {self.run} {self.body[:200]!r}>"


class ProcessCase(unittest.TestCase):
    """Starts one deployment for all tests of a class.

    Attributes:
        ENDPOINTS: Endpoints of the example to start.
        ENTRIES: Number of entries.
        ENGINE_FLAGS: Further flags of the engines.
    """

    ENDPOINTS: tuple[str, ...] = ("quotation-1", "order-stock-1")
    ENTRIES = 3
    ENGINE_FLAGS: dict[str, str] = {}

    @classmethod
    def setUpClass(cls) -> None:
        cls.deploy = deployment.Deployment(cls.operators())
        cls.addClassCleanup(cls.deploy.close)
        cls.http = pool()
        cls.deploy.start_platform()
        cls.deploy.start_endpoints(**cls.ENGINE_FLAGS)
        for number in range(1, cls.ENTRIES + 1):
            cls.deploy.start_entry(f"entry-{number}", "amman-a")
        code, output = cls.deploy.apply()
        if code not in APPLIED:
            raise AssertionError(f"apply ended with {code}: {output}")
        cls.deploy.wait_ready()

    @classmethod
    def operators(cls) -> dict[str, Any]:
        """Returns the operators' file of this class."""
        return operators(*cls.ENDPOINTS)

    def url(self, entry: str, path: str) -> str:
        """Returns the address of a path at an entry."""
        return f"http://{self.deploy.entries[entry]}{path}"

    def endpoint(self, name: str) -> str:
        """Returns the address of an endpoint."""
        return self.deploy.operators["endpoints"][name]["address"]

    def endpoint_json(self, name: str, path: str) -> dict[str, Any]:
        """Returns what a stand-in shows about itself."""
        _, body = self.deploy.ask("GET", f"http://{self.endpoint(name)}{path}")
        return json.loads(body)

    def send(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Reply:
        """Sends one request on a connection of its own."""
        sent_at = time.monotonic()
        given = key_of("bath-houses") | {"Connection": "close"}
        try:
            resp = self.http.request(
                method,
                url,
                body=body,
                headers=given | (headers or {}),
                timeout=timeout_s,
            )
            reply = Reply(resp.status, resp.headers, resp.data)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            reply = Reply(0, {}, repr(exc).encode())
        reply.sent_at = sent_at
        reply.heard_at = time.monotonic()
        return reply

    def chat(self, entry: str, text: str, tokens: int) -> Reply:
        """Asks an entry for a generation without streaming."""
        body = {
            "model": "quote-writer",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 400,
            "standin_tokens": tokens,
        }
        return self.send(
            "POST", self.url(entry, CHAT), body=json.dumps(body).encode()
        )

    def load(self, callers: int, tokens: int) -> tuple[list[Reply], Any]:
        """Starts callers; returns their replies and a function that stops."""
        stop = threading.Event()
        replies: list[Reply] = []

        def caller(number: int) -> None:
            entry = f"entry-{number % self.ENTRIES + 1}"
            count = 0
            while not stop.is_set():
                count += 1
                text = f"Draft {number}-{count}. " + "cedar bucket " * 20
                reply = self.chat(entry, text, tokens)
                replies.append(reply)
                if reply.status != 200:
                    time.sleep(0.1)

        pending = [self.in_thread(caller, n) for n in range(callers)]
        self.addCleanup(stop.set)

        def end() -> None:
            stop.set()
            for result in pending:
                result()

        return replies, end

    def in_thread(self, function: Any, *args: Any, **kwargs: Any) -> Any:
        """Starts a function; the returned function waits for its result."""
        results: list[Any] = []

        def target() -> None:
            results.append(function(*args, **kwargs))

        thread = threading.Thread(target=target, daemon=True)
        thread.start()

        def result() -> Any:
            thread.join(60)
            self.assertTrue(results, f"{function} did not end or failed")
            return results[0]

        return result

    def eventually(self, check: Any, within_s: float, message: str) -> None:
        """Waits until a check holds, and fails after `within_s`."""
        ends_at = time.monotonic() + within_s
        while not check():
            if time.monotonic() > ends_at:
                self.fail(f"not within {within_s} s: {message}")
            time.sleep(0.02)

    def restart_entry(self, name: str) -> None:
        """Starts an entry again that was killed, and waits until it serves."""
        self.deploy.wait_end(name, 10)
        self.deploy.start_entry(name, "amman-a")
        self.deploy.wait_ready(name)


class Stream:
    """A caller's side of one event stream, on a connection of its own."""

    def __init__(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> None:
        self._conn = http.client.HTTPConnection(address, timeout=timeout_s)
        data = None if body is None else json.dumps(body)
        given = key_of("bath-houses") | (headers or {})
        self._conn.request(method, path, body=data, headers=given)
        self._resp = self._conn.getresponse()
        self.status = self._resp.status
        self.headers = self._resp.headers
        self.data = b""

    @property
    def ids(self) -> list[tuple[str, int]]:
        """Generation and position of each event so far."""
        return event_ids(self.data)

    @property
    def whole_events(self) -> bytes:
        """All bytes up to the last event boundary."""
        return self.data[: self.data.rfind(b"\n\n") + 2]

    def read_events(self, count: int) -> None:
        """Reads until this number of events has arrived."""
        while len(self.ids) < count:
            chunk = self._resp.read1(4096)
            if not chunk:
                return
            self.data += chunk

    def read_all(self) -> bytes:
        """Reads to the end, or to the end of the connection."""
        try:
            while chunk := self._resp.read1(65536):
                self.data += chunk
        except (OSError, http.client.HTTPException):
            pass
        return self.data

    def close(self) -> None:
        """Closes the connection, as a caller that leaves."""
        self._resp.close()
        self._conn.close()
