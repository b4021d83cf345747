"""Starts entry processes beside the stand-ins, and plays their requesters."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable

import http_messages
import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "recall.example"
API_KEY = "xd9dnn2ctnfzs989anu6"
FRONT, READINESS, DIRECTORY, CONTROL = 8740, 8749, 8746, 8748
_STORE_PORT, _ENGINE_PORT, _PEER_PORT = 8742, 8080, 7200
_READY_TIMEOUT_S = 25.0
# Bounds of the sheets.
BOUNDS = {
    "stable-window-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-extra": 54,
    "ttl_max_s": 5,
}


class Answer:
    """What a requester has received.

    Attributes:
        request_id: Id of its request.
        entry: IP address of the entry process that it was sent to.
        sent_s: Seconds since the start of the script.
        ended_s: When the answer or its channel ended.
        status: HTTP status; 0 for none.
        headers: Headers of the answer.
        body: The body as far as it has arrived.
        is_complete: Whether the answer ended as HTTP/1.1 says.
        is_given_up: Whether the requester has left before.
    """

    def __init__(self, request_id: str, entry: str, sent_s: float) -> None:
        self.request_id = request_id
        self.entry = entry
        self.sent_s = sent_s
        self.ended_s = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.is_given_up = False

    def count_events(self) -> int:
        """Returns the number of whole events in the body."""
        return self.body.count(b"\n\n")


class TestBed:
    """Entry processes, store and requesters of one script.

    Attributes:
        store: Stand-in of the platform's store.
        entries: Entry processes by IP address.
        has_trouble: Whether the disruption is to be carried out.
    """

    __test__ = False

    def __init__(self, record_path: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._started_s = time.monotonic()
        self._record_file = record_path.open("w")
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = _find_free_prefix()
        self._last_octet = 1
        self._request_count = 0
        self.entries: dict[str, subprocess.Popen] = {}
        self.store = platform_store.PlatformStore((self.next_ip(), _STORE_PORT))

    def now_s(self) -> float:
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def record(self, *words: object) -> None:
        """Writes a line to the record."""
        text = " ".join(map(str, words))
        self._record_file.write(f"{self.now_s():8.3f} {text}\n")
        self._record_file.flush()

    def next_ip(self) -> str:
        """Returns a loopback address that nothing in the script uses."""
        self._last_octet += 1
        return f"{self._prefix}.{self._last_octet}"

    def next_engine_address(self) -> tuple[str, int]:
        """Returns an address for a worker."""
        return self.next_ip(), _ENGINE_PORT

    async def start_entries(self, count: int, zones: list[str]) -> list[str]:
        """Starts entry processes as the deploy file says; waits for them."""
        hosts = [self.next_ip() for _ in range(count)]
        seeds = [f"{host}:{CONTROL}" for host in hosts[:3]]
        for number, host in enumerate(hosts):
            zone = zones[number % len(zones)]
            name = f"front-{zone}-{number // len(zones) + 1}"
            self._start_entry(host, name, zone, zones, seeds)
        for host in hosts:
            await self.wait_until(
                lambda host=host: self.is_ready(host), _READY_TIMEOUT_S
            )
        return hosts

    def _start_entry(
        self,
        host: str,
        name: str,
        zone: str,
        zones: list[str],
        seeds: list[str],
    ) -> None:
        fields = {
            "node-name": name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front", "directory", "control"],
            "ip": host,
            "zone": zone,
            "region": "lima",
            "zones": dict.fromkeys(zones, "lima"),
            "listen": {
                "front": f"{host}:{FRONT}",
                "readiness": f"{host}:{READINESS}",
                "directory": f"{host}:{DIRECTORY}",
                "control": f"{host}:{CONTROL}",
            },
            "internal-ports": [_PEER_PORT, _PEER_PORT + 15],
            "seeds": seeds,
            "bootstrap": True,
            "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "provider": {
                "address": f"{self.store.address[0]}:{_STORE_PORT}",
                "form": "table",
            },
        }
        path = self._directory / f"{host}.json"
        path.write_text(json.dumps(fields))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["DANDELIONLEAD_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self._directory / f"{host}.log").open("ab")
        self.entries[host] = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record("entry", host, "started")

    def read_log(self, host: str) -> list[str]:
        """Returns what an entry process has logged."""
        path = self._directory / f"{host}.log"
        return path.read_text(errors="replace").splitlines()

    async def is_ready(self, host: str) -> bool:
        """Returns whether an entry process answers 200 to `GET /ready`."""
        status, _ = await _get(host, READINESS, "/ready")
        return status == 200

    async def resolve(self, host: str) -> list[str]:
        """Returns the entry processes that the directory names."""
        path = f"/resolve?name={HOST}&region=lima&zone=lima-a"
        status, body = await _get(host, DIRECTORY, path)
        if status != 200:
            return []
        addresses = json.loads(body)["addrs"]
        return [address.partition(":")[0] for address in addresses]

    async def wait_until(self, condition: Callable, timeout_s: float) -> None:
        """Waits until a condition, which may be a coroutine, holds."""
        end_s = time.monotonic() + timeout_s
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > end_s:
                raise CannotRunError("a condition was not met in time")
            await asyncio.sleep(0.05)

    async def send(
        self,
        host: str,
        path: str,
        fields: dict[str, object],
        *,
        deadline_ms: int,
        prompt_tokens: int,
        output_tokens: int,
        hint: int,
        give_up_gap_s: float,
    ) -> Answer:
        """Sends a generation and reads its answer to the end.

        Args:
            host: IP address of the entry process.
            path: Path of the request.
            fields: Fields of the body.
            deadline_ms: Time limit.
            prompt_tokens: Tokens of the prompt.
            output_tokens: Largest number of output tokens.
            hint: Estimate of the number of output tokens.
            give_up_gap_s: The requester leaves after a gap of this time.
        """
        lines = [
            "X-Dandelionlead-Model: m",
            f"X-Dandelionlead-Token-Usage: {prompt_tokens},{output_tokens}",
            f"X-Dandelionlead-Length-Hint: {hint}",
            f"X-Dandelionlead-Prefix-Hash: {self._request_count + 1:x}"
            f":{prompt_tokens}",
        ]
        answer = await self._exchange(
            host, path, lines, fields, deadline_ms, give_up_gap_s
        )
        self.record(
            "requester",
            answer.request_id,
            f"status={answer.status} complete={answer.is_complete}"
            f" events={answer.count_events()} of={fields['events']}"
            f" gave_up={answer.is_given_up}"
            f" waited_s={answer.ended_s - answer.sent_s:.3f}",
        )
        return answer

    async def send_plain(
        self, host: str, path: str, *, deadline_ms: int
    ) -> Answer:
        """Sends a request to a plain service and reads its answer."""
        answer = await self._exchange(
            host, path, [], {}, deadline_ms, deadline_ms / 1e3
        )
        self.record(
            "requester",
            answer.request_id,
            f"status={answer.status} complete={answer.is_complete}"
            f" body={answer.body!r}",
        )
        return answer

    async def _exchange(
        self,
        host: str,
        path: str,
        header_lines: list[str],
        fields: dict[str, object],
        deadline_ms: int,
        give_up_gap_s: float,
    ) -> Answer:
        """Sends a request on a new channel and reads the answer."""
        self._request_count += 1
        answer = Answer(f"{self._request_count:016x}", host, self.now_s())
        body = json.dumps(fields).encode()
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Dandelionlead-Request-Id: {answer.request_id}",
            *header_lines,
            f"X-Dandelionlead-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {API_KEY}",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    host, FRONT, limit=http_messages.MAX_HEAD_BYTES
                ),
                1.0,
            )
        except (OSError, TimeoutError):
            answer.ended_s = self.now_s()
            self.record("requester", answer.request_id, "no connection", host)
            return answer
        self.record("requester", answer.request_id, "sends", path, "to", host)
        writer.write(data)
        try:
            await _read_answer(answer, reader, give_up_gap_s, deadline_ms / 1e3)
        except TimeoutError:
            answer.is_given_up = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
        answer.ended_s = self.now_s()
        return answer

    def close(self) -> None:
        """Ends all processes that the script has started."""
        for process in self.entries.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.entries.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
        keep = os.environ.get("KEEP_LOGS")
        for path in self._directory.iterdir():
            if keep:
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
            path.unlink()
        self._directory.rmdir()
        self._record_file.close()


class CannotRunError(Exception):
    """The script could not be carried out."""


def run(case: Callable, directory: pathlib.Path, timeout_s: float) -> None:
    """Runs a case and ends the program with its exit code.

    Args:
        case: Coroutine function that gets a test bed; returns whether the rule
            held.
        directory: Folder of the case, which gets `record.txt`.
        timeout_s: Longest time of the case.
    """
    # A SIGTERM to the script ends what it has started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    bed = TestBed(directory / "record.txt")
    code = 2
    try:
        has_held = asyncio.run(asyncio.wait_for(case(bed), timeout_s))
        code = 0 if has_held else 1
    except Exception as exc:  # noqa: BLE001
        # Whatever fails in the script itself says nothing on the rule.
        bed.record("could not run:", repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
    finally:
        bed.record("exit code", code)
        bed.close()
    sys.exit(code)


def make_configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration, as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "huka270", "api-keys": [API_KEY], "priority": 1}],
    }


def make_route(
    name: str, prefix: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    """Returns a route with the figures of the sheets' long generations."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 39000,
        "target-latency-ms": 1800,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "target-itl-ms": 180,
    } | fields


def make_engine_service(name: str, *, backups: bool) -> dict[str, object]:
    """Returns a service of model workers with the figures of the sheets."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 282,
        "protocol": "h1",
        "tls": False,
        "cold-start-s": 1.0,
        "cold-per-s": 39.0,
        "engine": {
            "slots": 24,
            "kv-capacity-tokens": 34281,
            "kv-bytes": 18432,
            "link-mbps": 2700.0,
            "moves": True,
            "backups": backups,
            "stride": 4,
            "most": 12,
            "pin-ms": 4000.0,
            "hold-ms": 2000.0,
            "session-ttl-s": 5.0,
            "models": [{"name": "m"}],
        },
    }


def make_plain_service(name: str) -> dict[str, object]:
    """Returns a plain service with the figures of the sheets."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 110,
        "protocol": "h1",
        "tls": False,
        "cold-start-s": 0.0,
        "cold-per-s": 0.0,
    }


async def _read_answer(
    answer: Answer,
    reader: asyncio.StreamReader,
    gap_s: float,
    deadline_s: float,
) -> None:
    """Reads an answer; raises `TimeoutError` if the requester gives up."""
    end_s = time.monotonic() + deadline_s

    async def wait(part: object) -> object:
        left_s = max(0.01, end_s - time.monotonic())
        return await asyncio.wait_for(part, min(gap_s, left_s))

    head = await wait(http_messages.read_head(reader))
    if head is None:
        return
    answer.status = int(head.start[1])
    answer.headers = head.headers
    if "content-length" in head.headers:
        size = int(head.headers["content-length"])
        answer.body = await wait(reader.readexactly(size))
        answer.is_complete = True
        return
    if head.headers.get("transfer-encoding") != "chunked":
        return
    while True:
        line = await wait(reader.readline())
        if not line.endswith(b"\r\n"):
            return
        size = int(line, 16)
        data = await wait(reader.readexactly(size + 2))
        if not size:
            answer.is_complete = True
            return
        answer.body += data[:-2]


async def _get(host: str, port: int, path: str) -> tuple[int, bytes]:
    """Sends a GET request; returns status and body, or status 0."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0
        )
    except (OSError, TimeoutError):
        return 0, b""
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await asyncio.wait_for(http_messages.read_head(reader), 1.0)
        if head is None:
            return 0, b""
        size = int(head.headers.get("content-length", "0"))
        return int(head.start[1]), await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        writer.close()


def _find_free_prefix() -> str:
    """Returns the first three octets of loopback addresses not in use."""
    for number in range(250):
        prefix = f"127.{(os.getpid() + number) % 200 + 20}.77"
        if all(
            _is_free(f"{prefix}.{octet}", port)
            for octet in range(2, 20)
            for port in (
                FRONT,
                READINESS,
                DIRECTORY,
                CONTROL,
                _STORE_PORT,
                _ENGINE_PORT,
                _PEER_PORT,
            )
        ):
            return prefix
    raise CannotRunError("no free loopback addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
