"""Data path of one real entry: cost of tokens, streams and requests."""

from __future__ import annotations

import json
import pathlib
import selectors
import socket
import time

import json5

from capacity import common
from dandelionlead.standins import deployment

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_TOKEN_S = 0.063
_MEMORY_TOKENS = 8_000_000
_SETTLE_S = 3.0
_OPEN_LIMIT_S = 60.0
_LONGEST = 8_000
_KEY = deployment.API_KEY_PREFIX + "bath-houses"


class Callers:
    """Open streams, read by one loop that counts events and gaps."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self.streams: list[_Stream] = []
        self.events = 0
        self.chunks = 0
        self.gaps: list[float] = []

    def open(
        self,
        address: str,
        tokens: int,
        *,
        model: str = "quote-writer",
        key: str = _KEY,
    ) -> _Stream:
        """Sends one request for a stream of `tokens` tokens."""
        stream = _Stream(address, tokens, model, key)
        self.streams.append(stream)
        self._selector.register(stream.conn, selectors.EVENT_READ, stream)
        return stream

    def run(self, seconds: float) -> None:
        """Reads what arrives for some seconds."""
        ends_at = time.monotonic() + seconds
        while (left_s := ends_at - time.monotonic()) > 0:
            for key, _ in self._selector.select(left_s):
                self._read(key.data)

    def run_until_all_started(self) -> None:
        """Reads until each stream has had an event."""
        ends_at = time.monotonic() + _OPEN_LIMIT_S
        while not all(stream.events for stream in self.streams):
            if time.monotonic() > ends_at:
                waiting = [s for s in self.streams if not s.events]
                raise RuntimeError(
                    f"{len(waiting)} streams did not start: {waiting[0].head!r}"
                )
            self.run(0.1)

    def reset(self) -> None:
        """Starts counting again."""
        self.events = self.chunks = 0
        self.gaps = []

    def close(self) -> None:
        """Closes all streams."""
        for stream in self.streams:
            stream.conn.close()
        self.streams = []

    def _read(self, stream: _Stream) -> None:
        data = stream.conn.recv(65536)
        now = time.perf_counter()
        if not data:
            self._selector.unregister(stream.conn)
            stream.conn.close()
            stream.ended = True
            return
        if not stream.events:
            stream.head += data
        events = data.count(b"data: ")
        if not events:
            return
        # Each write of the entry is one chunk with two line ends.
        self.chunks += data.count(b"\r\n") // 2
        self.events += events
        stream.events += events
        if stream.last_at:
            self.gaps.append(now - stream.last_at)
            self.gaps += [0.0] * (events - 1)
        stream.last_at = now


class _Stream:
    __slots__ = ("conn", "events", "last_at", "head", "ended")

    def __init__(self, address: str, tokens: int, model: str, key: str) -> None:
        host, _, port = address.rpartition(":")
        self.conn = socket.create_connection((host, int(port)))
        body = json.dumps(
            {
                "model": model,
                "messages": [{"role": "user", "content": "A cedar bucket."}],
                "max_tokens": tokens,
                "standin_tokens": tokens,
                "stream": True,
            }
        )
        self.conn.sendall(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {key}\r\nConnection: close\r\n"
            "X-Request-Id: r\r\nX-Generation-Id: "
            f"{time.perf_counter_ns():x}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        self.conn.setblocking(False)
        self.events = 0
        self.last_at = 0.0
        self.head = b""
        self.ended = False


def start(
    engines: int, *, teams: int = 0, step_s: float = _TOKEN_S
) -> deployment.Deployment:
    """Starts platform, engines and one entry that is ready."""
    deploy = deployment.Deployment(_operators(engines, teams))
    deploy.start_platform()
    deploy.start_endpoints(
        step_s=str(step_s), step_s_per_running="0", max_running="600"
    )
    deploy.start_entry("entry-1", "amman-a")
    code, output = deploy.apply()
    if code:
        deploy.close()
        raise RuntimeError(f"apply ended with {code}: {output}")
    deploy.wait_ready()
    return deploy


def pid_of(deploy: deployment.Deployment, name: str) -> int:
    """Returns the process id of a process of a deployment."""
    return deploy._processes[name].pid


def measure_streams(
    sizes: list[int], seconds: float, engines: int, direct: bool
) -> None:
    """Opens more and more streams on one entry and measures each stage.

    Args:
        sizes: Numbers of open streams, rising.
        seconds: Length of each measurement.
        engines: Engine processes.
        direct: Whether callers connect to the engines, without the entry, for
            the gaps that the engines and the callers themselves cause.
    """
    with start(engines) as deploy:
        pid = pid_of(deploy, "entry-1")
        time.sleep(10.0)
        idle = processor_share(pid, seconds)
        memory = [(0, common.memory_kb(pid)["Private"])]
        rows = []
        callers = Callers()
        targets = [deploy.entries["entry-1"]]
        if direct:
            endpoints = deploy.operators["endpoints"].values()
            targets = [
                item["address"]
                for item in endpoints
                if item["kind"] == "engine"
            ]
        for size in sizes:
            while len(callers.streams) < size:
                callers.open(
                    targets[len(callers.streams) % len(targets)], _LONGEST
                )
                callers.run(0.02)
            callers.run_until_all_started()
            callers.run(_SETTLE_S)
            callers.reset()
            before, at = common.processor_s(pid), time.monotonic()
            callers.run(seconds)
            spent_s = time.monotonic() - at
            used = (common.processor_s(pid) - before) / spent_s
            memory.append((size, common.memory_kb(pid)["Private"]))
            rows.append(_row(size, callers, used, idle, spent_s, memory[-1][1]))
        callers.close()
    common.show(
        f"{'engines alone' if direct else 'one entry'}, {engines} engines, "
        f"token every {_TOKEN_S * 1e3:g} ms, {seconds:g} s each; "
        f"entry without streams {idle:.2%} of a core, "
        f"{memory[0][1]} KB private",
        (
            "streams",
            "events/s",
            "events/write",
            "core %",
            "us/event",
            "us/write",
            "gap p50 ms",
            "p95",
            "p99",
            "most",
            "private KB",
        ),
        rows,
    )
    if not direct:
        slope, _ = common.line_fit([r[1] for r in rows], [r[3] for r in rows])
        print(f"  slope: {slope * 1e4:.1f} us of processor per event")
        slope, _ = common.line_fit(*zip(*memory, strict=True))
        print(f"  slope: {slope:.1f} KB of private memory per open stream")


def measure_requests(rates: list[float], seconds: float, engines: int) -> None:
    """Measures short streamed requests at several rates on one entry."""
    with start(engines, step_s=0.02) as deploy:
        pid = pid_of(deploy, "entry-1")
        time.sleep(10.0)
        rows = []
        for tokens in (2, 20):
            for rate in (0.0, *rates):
                used, done, events = paced(
                    deploy.entries["entry-1"], pid, rate, seconds, tokens
                )
                rows.append((tokens, rate, done / seconds, events, used * 100))
    common.show(
        f"short streamed requests through one entry, {seconds:g} s each",
        ("tokens", "rate/s", "ended/s", "events/s", "core %"),
        rows,
    )
    for tokens in (2, 20):
        mine = [row for row in rows if row[0] == tokens]
        slope, _ = common.line_fit([r[2] for r in mine], [r[4] for r in mine])
        print(
            f"  slope: {slope * 10:.2f} ms of processor per request with "
            f"{tokens} tokens"
        )


def paced(
    address: str,
    pid: int,
    rate: float,
    seconds: float,
    tokens: int,
    **fields: str,
) -> tuple[float, int, float]:
    """Sends requests at a rate to an entry.

    Returns:
        Part of a core that the entry used, requests that ended whole, and
        events a second.
    """
    callers = Callers()
    before, at = common.processor_s(pid), time.monotonic()
    ends_at = at + seconds
    next_at = at
    while (now := time.monotonic()) < ends_at:
        if rate and now >= next_at:
            callers.open(address, tokens, **fields)
            next_at += 1 / rate
        callers.run(min(0.2, max(0.0, next_at - now)) if rate else 0.2)
    used = (common.processor_s(pid) - before) / seconds
    callers.run(1.0)
    done = sum(
        stream.ended and stream.events == tokens + 1
        for stream in callers.streams
    )
    events = callers.events / seconds
    callers.close()
    return used, done, events


def _row(
    size: int,
    callers: Callers,
    used: float,
    idle: float,
    spent_s: float,
    memory: int,
) -> tuple:
    gaps = [gap * 1e3 for gap in callers.gaps]
    return (
        size,
        callers.events / spent_s,
        callers.events / max(1, callers.chunks),
        used * 100,
        (used - idle) * spent_s / callers.events * 1e6,
        (used - idle) * spent_s / max(1, callers.chunks) * 1e6,
        common.quantile(gaps, 0.5),
        common.quantile(gaps, 0.95),
        common.quantile(gaps, 0.99),
        max(gaps),
        memory,
    )


def processor_share(pid: int, seconds: float) -> float:
    """Returns the part of a core that a process uses over some seconds."""
    before, at = common.processor_s(pid), time.monotonic()
    time.sleep(seconds)
    return (common.processor_s(pid) - before) / (time.monotonic() - at)


def _operators(engines: int, teams: int) -> dict:
    text = (_ROOT / "examples/haddad/operators.jsonc").read_text()
    plain = json5.loads(text)
    pattern = plain["endpoints"]["quotation-1"]
    service = plain["endpoints"]["order-stock-1"]
    plain["endpoints"] = {
        f"quotation-{number}": {**pattern, "memory_tokens": _MEMORY_TOKENS}
        for number in range(1, engines + 1)
    }
    plain["endpoints"]["order-stock-1"] = service
    plain["teams"]["bath-houses"]["max_concurrent"] = 10_000
    for number in range(teams):
        plain["teams"][f"team-{number:05}"] = {
            "key_digests": [f"{number:064x}"]
        }
    return plain
