"""Starts a small deployment on loopback, for the demo and for process tests."""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import urllib3

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 10.0
_POLL_S = 0.05
_FIRST_PORT = 20_000
_PORTS = 12_000
# API key of a team in the example files: this and the team's name.
API_KEY_PREFIX = "example-key-"


class Deployment:
    """Processes of one deployment; end them with `close`.

    Attributes:
        folder: Folder with settings files and one log file a process.
        entries: Addresses for callers by the name of the entry.
        controls: Control addresses by the name of the process.
        platform: Address of the platform stand-in.
        operators: Content of the operators' file, as plain data.
    """

    def __init__(self, operators: dict[str, Any]) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="dandelion-"))
        self.entries: dict[str, str] = {}
        self.controls: dict[str, str] = {}
        self.platform = free_address()
        self.operators = operators
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._peer_key = secrets.token_hex(32)
        self._resume_key = secrets.token_hex(32)
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start_platform(self) -> None:
        """Starts the platform stand-in."""
        self._start("platform", "standin-platform", f"--listen={self.platform}")
        self.wait_http("platform", f"http://{self.platform}/counts")

    def start_endpoints(self, **flags: str) -> None:
        """Starts a stand-in for each endpoint and sets its address.

        Args:
            **flags: Further flags of engines, by name with underscores.
        """
        for name, item in self.operators["endpoints"].items():
            item["address"] = free_address()
            if item["kind"] == "engine":
                self.start_engine(name, **flags)
            else:
                self._start(
                    name, "standin-service", f"--listen={item['address']}"
                )
        for name, item in self.operators["endpoints"].items():
            probe = "load" if item["kind"] == "engine" else "counts"
            self.wait_http(name, f"http://{item['address']}/{probe}")

    def start_engine(self, name: str, **flags: str) -> None:
        """Starts the stand-in of one engine at its configured address."""
        item = self.operators["endpoints"][name]
        given = {
            "listen": item["address"],
            "version": item["version"],
            "memory_total": str(item["memory_tokens"]),
            **flags,
        }
        self._start(name, "standin-engine", *_as_flags(given))

    def start_entry(
        self, name: str, availability_zone: str, **settings: Any
    ) -> None:
        """Starts an entry; `settings` go into its settings file."""
        path = self._write_settings(name, "entry", availability_zone, settings)
        self._start(name, "entry", str(path))
        self.register(name, availability_zone)

    def start_steward(self, name: str, availability_zone: str) -> None:
        """Starts a steward."""
        path = self._write_settings(name, "steward", availability_zone, {})
        self._start(name, "steward", str(path))
        self.register(name, availability_zone)

    def register(
        self, name: str, availability_zone: str, state: str = "live"
    ) -> None:
        """Puts a process on the platform's list of instances."""
        row = {
            "http": self.entries.get(name, ""),
            "control": self.controls[name],
            "availability_zone": availability_zone,
            "state": state,
        }
        self.ask("PUT", f"http://{self.platform}/instances/{name}", row)

    def faults(self, address: str, **faults: Any) -> None:
        """Sets faults of a stand-in."""
        status, body = self.ask("POST", f"http://{address}/faults", faults)
        if status not in (200, 204):
            raise RuntimeError(f"faults were refused: {body!r}")

    def apply(self) -> tuple[int, dict[str, Any]]:
        """Applies the operators' file; returns exit code and JSON output."""
        path = self.folder / "operators.jsonc"
        path.write_text(json.dumps(self.operators, indent=1))
        return self.ctl("apply", str(path))

    def ctl(self, *args: str) -> tuple[int, dict[str, Any]]:
        """Runs `dandelionctl` with `--json`; returns exit code and output."""
        settings = self.folder / "operator.jsonc"
        if not settings.exists():
            plain = {
                "name": "operator",
                "role": "operator",
                "platform": f"http://{self.platform}",
                "peer_key": self._peer_key,
            }
            settings.write_text(json.dumps(plain))
        done = subprocess.run(
            [
                _program("dandelionctl"),
                *args,
                "--json",
                f"--settings={settings}",
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        try:
            return done.returncode, json.loads(done.stdout)
        except ValueError:
            return done.returncode, {"output": done.stdout + done.stderr}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process of this deployment."""
        self._processes[name].send_signal(number)

    def wait_end(self, name: str, timeout_s: float) -> int:
        """Waits for the end of a process; returns its exit code."""
        return self._processes[name].wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Whether a process has not ended."""
        return self._processes[name].poll() is None

    def wait_ready(self, *names: str) -> None:
        """Waits until entries are ready for callers."""
        for name in names or tuple(self.entries):
            self.wait_http(name, f"http://{self.entries[name]}/readyz")

    def wait_http(self, name: str, url: str) -> None:
        """Waits until a process answers 200."""
        ends_at = time.monotonic() + _START_TIMEOUT_S
        last = ""
        while time.monotonic() < ends_at:
            if not self.is_running(name):
                break
            try:
                status, body = self.ask("GET", url)
                if status == 200:
                    return
                last = repr(body[:300])
            except urllib3.exceptions.HTTPError as exc:
                last = str(exc)
            time.sleep(_POLL_S)
        raise RuntimeError(f"{name} is not ready: {last}; {self.log(name)}")

    def ask(
        self,
        method: str,
        url: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends one request; returns status and body."""
        body = None if value is None else json.dumps(value).encode()
        resp = self._http.request(method, url, body=body, headers=headers)
        return resp.status, resp.data

    def state(self, name: str) -> dict[str, Any]:
        """Returns the state dump of an entry."""
        _, body = self.ask("GET", f"http://{self.entries[name]}/statez")
        return json.loads(body)

    def log(self, name: str) -> str:
        """Returns the end of a process's log."""
        path = self.folder / f"{name}.log"
        return path.read_text()[-4000:] if path.exists() else ""

    def events(self, name: str, event: str) -> list[str]:
        """Returns the log lines of one event of a process."""
        text = (self.folder / f"{name}.log").read_text()
        return [
            line for line in text.splitlines() if f" event={event} " in line
        ]

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for proc in self._processes.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self._processes.values():
            proc.wait(_STOP_TIMEOUT_S)
        if os.environ.get("DANDELION_KEEP_LOGS"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _start(self, name: str, program: str, *args: str) -> None:
        path = self.folder / f"{name}.log"
        with path.open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [_program(f"dandelion-{program}"), *args],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def _write_settings(
        self,
        name: str,
        role: str,
        availability_zone: str,
        settings: dict[str, Any],
    ) -> pathlib.Path:
        self.controls.setdefault(name, free_address())
        plain = {
            "name": name,
            "role": role,
            "availability_zone": availability_zone,
            "control_address": self.controls[name],
            "platform": f"http://{self.platform}",
            "peer_key": self._peer_key,
            **settings,
        }
        if role == "entry":
            self.entries.setdefault(name, free_address())
            plain["http_address"] = self.entries[name]
            plain["resume_keys"] = [self._resume_key]
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(plain))
        return path


def free_address() -> str:
    """Returns a loopback address whose port was free just now.

    The ports are below those that the system gives to outgoing connections,
    so that none of these takes the port meanwhile.
    """
    while True:
        port = secrets.randbelow(_PORTS) + _FIRST_PORT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def _program(name: str) -> str:
    return str(pathlib.Path(sys.executable).parent / name)


def _as_flags(given: dict[str, str]) -> list[str]:
    return [
        f"--{name.replace('_', '-')}={value}" for name, value in given.items()
    ]
