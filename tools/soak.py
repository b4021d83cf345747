"""Plays random faults against real entry processes and checks the promises.

Entries are processes of their own on loopback addresses; store, engines and
workers are stand-ins in this process, reached through proxies that delay, cut,
reset and silence. Faults come in series and overlap. What callers and workers
saw is checked at the end. Ends only processes that it started.
"""

from __future__ import annotations

import contextlib
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import warnings
from collections.abc import Callable

# docs/style.md says why eventlet is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))

import bed  # noqa: E402
import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import eventlet.green.socket as green_socket  # noqa: E402
import standins  # noqa: E402

from dandelionlead.core import clock  # noqa: E402
from dandelionlead.http import callers  # noqa: E402

_ENTRIES = 4
_CALLERS = 10
_ZONES = ("z-a", "z-b")
_EVENTS = 40
_START_LIMIT_S = 20.0
_RECOVERY_LIMIT_S = 15.0
_TERM_LIMIT_S = 10.0
# Bounds of the promises, from an order to its effect.
_ZONE_BOUND_S = 5.0
_LEAVING_BOUND_S = 2.0
_KEY_BOUND_S = 2.0
# An entry counts as undisturbed so long after its last fault.
_STABLE_S = 3.0
_PAUSES_S = (0.2, 1.2)
_FAULT_S = (0.3, 3.0)
_NOTICE_S = 1.5
# Most calls are refused while the key is away, so that it rarely is.
_REVOKE_PART = 0.3
_NOT_RUN = (408, 421, 429, 503)
_MOST_RUNS = {"order": 1, "stock": 2}
_PATHS = {
    "order": "/order/1",
    "stock": "/stock/1",
    "draft": "/stream/draft/1",
    "check": "/stream/check/1",
}


class Proxy:
    """Passes bytes between callers of an address and its target.

    Attributes:
        mode: `pass`, `delay`, `refuse`, `silent` (takes bytes and passes none
            on) or `reset` (closes connections at once).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = (bed.next_ip(), target[1])
        self.mode = "pass"
        self._target = target
        self._sock = eventlet.listen(self.address)
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            conn, _ = self._sock.accept()
            if self.mode in ("refuse", "reset"):
                conn.close()
                continue
            try:
                other = green_socket.create_connection(self._target)
            except OSError:
                conn.close()
                continue
            eventlet.spawn_n(self._join, conn, other)

    def _join(
        self, first: green_socket.GreenSocket, second: green_socket.GreenSocket
    ) -> None:
        back = eventlet.spawn(self._pump, second, first)
        self._pump(first, second)
        back.wait()
        first.close()
        second.close()

    def _pump(
        self,
        source: green_socket.GreenSocket,
        target: green_socket.GreenSocket,
    ) -> None:
        silent = False
        try:
            while data := source.recv(65_536):
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    eventlet.sleep(0.2)
                # A connection that lost bytes once stays silent for good.
                silent = silent or self.mode == "silent"
                if not silent:
                    target.sendall(data)
        except OSError:
            pass  # Either end may be gone; both are shut below.
        finally:
            for sock in (source, target):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class Seen:
    """What callers and workers saw.

    Attributes:
        broken: Promises that were broken, one line each.
        answers: Calls by kind and status.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.answers: dict[tuple[str, int], int] = {}
        self.runs: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.limits: dict[str, int] = {}

    def check_runs(self) -> None:
        """Compares what ran with what callers were told."""
        for request_id, status in self.refused.items():
            if self.runs.get(request_id):
                self.broken.append(f"{request_id} got {status} but ran")
        for request_id, most in self.limits.items():
            ran = self.runs.get(request_id, 0)
            if ran > most:
                self.broken.append(f"{request_id} ran {ran} times, of {most}")


class SoakWorker(standins.Worker):
    """A worker that tells the soak of each request that reaches it."""

    def __init__(
        self,
        place: Soak,
        service: str,
        zone: str,
        number: int,
    ) -> None:
        self.place = place
        self.zone = zone
        self.left_s = float("inf")
        super().__init__((bed.next_ip(), 9000), f"w{number}", service)
        self.events = _EVENTS
        self.proxy = Proxy(self.address)
        standins.PEERS[f"{self.proxy.address[0]}:9000"] = self

    def entry(self, state: str = "ready", **fields: object) -> dict:
        """Returns its entry in the list of workers."""
        address = f"{self.proxy.address[0]}:9000"
        given = {"address": address, "zone": self.zone}
        return super().entry(state, **(given | fields))

    def _answer(
        self,
        request: callers.Request,
        request_id: str,
        headers: dict[str, str],
        reply: callers.Reply,
    ) -> None:
        self.place.reached(self, request_id)
        super()._answer(request, request_id, headers, reply)


class Soak:
    """One run.

    Args:
        seed: Decides the faults and their times.
        folder: Takes settings and logs of the entries.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seen = Seen()
        self._rng = random.Random(seed)
        self._folder = folder
        self._store = standins.Store((bed.next_ip(), 8742))
        self._store.put("op", "config", bed.configuration())
        self._version = 7
        self._workers: list[SoakWorker] = []
        self._entries: dict[str, subprocess.Popen] = {}
        self._gates: dict[str, Proxy] = {}
        self._disturbed_s = 0.0
        self._closed_s: dict[str, float] = {}
        self._revoked_s = float("inf")
        self._calling = True
        self._number = 0

    def run(self, seconds: float) -> None:
        """Plays faults for so long, then waits for the recovery."""
        for zone in _ZONES:
            for service in ("engines", "engines", "plain"):
                self._add_worker(service, zone)
        for _ in range(_ENTRIES):
            self._add_entry()
        self._await(self._all_ready, _START_LIMIT_S, "entries start")
        for _ in range(_CALLERS):
            eventlet.spawn_n(self._call_forever)
        until_s = clock.boottime() + seconds
        while clock.boottime() < until_s:
            self._rng.choice(_FAULTS)(self)
            eventlet.sleep(self._rng.uniform(*_PAUSES_S))
        eventlet.sleep(_FAULT_S[1] + _NOTICE_S)
        self._heal()
        self._await(self._serves_all, _RECOVERY_LIMIT_S, "all kinds served")
        self._calling = False
        self._stop_all()
        self.seen.check_runs()

    def end(self) -> None:
        """Ends processes that are left."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGCONT)
            entry.kill()
            entry.wait()

    def reached(self, worker: SoakWorker, request_id: str) -> None:
        """Notes a request at a worker, and checks whether it may be there."""
        self.seen.runs[request_id] = self.seen.runs.get(request_id, 0) + 1
        now_s = clock.boottime()
        if now_s - self._disturbed_s < _STABLE_S:
            return
        closed_s = self._closed_s.get(worker.zone, now_s)
        if now_s - closed_s > _ZONE_BOUND_S:
            self._break(f"{request_id} reached the closed {worker.zone}")
        if now_s - worker.left_s > _LEAVING_BOUND_S:
            self._break(f"{request_id} reached {worker.worker_id}, which left")

    def _break(self, text: str) -> None:
        self.seen.broken.append(text)

    def _await(
        self, done: Callable[[], bool], limit_s: float, what: str
    ) -> None:
        until_s = clock.boottime() + limit_s
        while not done():
            if clock.boottime() > until_s:
                self._break(f"not within {limit_s:g} s: {what}")
                return
            eventlet.sleep(0.1)

    # Callers.

    def _call_forever(self) -> None:
        while self._calling:
            hosts = list(self._entries)
            if hosts:
                self._call(self._rng.choice(hosts))
            eventlet.sleep(self._rng.uniform(0.02, 0.2))

    def _call(self, host: str, kind: str = "") -> int:
        kind = kind or self._rng.choice(list(_PATHS))
        asked_s = clock.boottime()
        try:
            asking = bed.Asking(
                (host, 8740), _PATHS[kind], body=b"of " + kind.encode()
            )
        except ConnectionError:
            return 0
        request_id = asking.request_id
        if kind in _MOST_RUNS:
            self.seen.limits[request_id] = _MOST_RUNS[kind]
        answer = asking.result()
        key = (kind, answer.status)
        self.seen.answers[key] = self.seen.answers.get(key, 0) + 1
        if answer.status in _NOT_RUN:
            self.seen.refused[request_id] = answer.status
        self._check(kind, request_id, answer)
        revoked = asked_s - self._revoked_s > _KEY_BOUND_S
        stable = asked_s - self._disturbed_s > _STABLE_S
        if revoked and stable and answer.status == 200:
            self._break(f"{request_id} was served with a key taken away")
        return answer.status if answer.whole else 0

    def _check(self, kind: str, request_id: str, answer: bed.Answer) -> None:
        if answer.status != 200:
            return
        if kind in _MOST_RUNS:
            own = b"whole of " + kind.encode()
            if answer.whole and answer.body != own:
                self._break(f"{request_id} got {answer.body!r}")
            return
        stream = b"".join(
            b"id: %d\ndata: t%d\n\n" % (number, number)
            for number in range(1, _EVENTS + 1)
        )
        if answer.whole and answer.body != stream:
            self._break(f"{request_id} got a whole stream of other events")
        if not stream.startswith(answer.body):
            self._break(f"{request_id} got events out of order")

    # Parts.

    def _add_worker(self, service: str, zone: str) -> None:
        self._number += 1
        worker = SoakWorker(self, service, zone, self._number)
        self._workers.append(worker)
        self._store.put("servers", worker.worker_id, worker.entry())

    def _add_entry(self, host: str = "") -> None:
        if not host:
            host = bed.next_ip()
            self._gates[host] = Proxy(self._store.address)
        gate = self._gates[host].address
        self._entries[host] = bed.start_program(host, gate, self._folder)

    def _all_ready(self) -> bool:
        return all(bed.is_ready(host) for host in self._entries)

    def _serves_all(self) -> bool:
        return self._all_ready() and all(
            self._call(host, kind) == 200
            for host in list(self._entries)
            for kind in _PATHS
        )

    def _disturb(self, seconds: float) -> None:
        """Notes that entries are not themselves for so long."""
        until_s = clock.boottime() + seconds
        self._disturbed_s = max(self._disturbed_s, until_s)

    def _for_a_while(self, undo: Callable[[], None]) -> float:
        seconds = self._rng.uniform(*_FAULT_S)
        eventlet.spawn_after(seconds, undo)
        return seconds

    def _any_entry(self) -> str | None:
        return self._rng.choice(list(self._entries) or [None])

    def _any_worker(self) -> SoakWorker:
        return self._rng.choice(self._workers)

    def _heal(self) -> None:
        for proxy in self._gates.values():
            proxy.mode = "pass"
        for worker in self._workers:
            worker.behave, worker.proxy.mode = "ok", "pass"
        for zone in list(self._closed_s):
            self._open_zone(zone)

    def _stop_all(self) -> None:
        for entry in self._entries.values():
            entry.send_signal(signal.SIGTERM)
        for host, entry in list(self._entries.items()):
            self._await_end(host, entry)

    def _await_end(self, host: str, entry: subprocess.Popen) -> None:
        ended = lambda: entry.poll() is not None  # noqa: E731
        self._await(ended, _TERM_LIMIT_S, f"{host} ends after SIGTERM")
        if entry.poll() not in (None, 0):
            self._break(f"{host} ended with {entry.poll()}")

    # Faults.

    def _kill_entry(self) -> None:
        host = self._any_entry()
        if host is None or len(self._entries) < 2:
            return
        entry = self._entries.pop(host)
        entry.kill()
        entry.wait()
        self._disturb(self._for_a_while(lambda: self._add_entry(host)) + 3.0)

    def _term_entry(self) -> None:
        host = self._any_entry()
        if host is None or len(self._entries) < 2:
            return
        entry = self._entries.pop(host)
        entry.send_signal(signal.SIGTERM)
        self._disturb(_TERM_LIMIT_S)
        eventlet.spawn_n(self._replace, host, entry)

    def _replace(self, host: str, entry: subprocess.Popen) -> None:
        self._await_end(host, entry)
        if entry.poll() is None:
            entry.kill()
            entry.wait()
        self._add_entry(host)

    def _freeze_entry(self) -> None:
        host = self._any_entry()
        if host is None:
            return
        entry = self._entries[host]
        entry.send_signal(signal.SIGSTOP)
        wake = lambda: entry.send_signal(signal.SIGCONT)  # noqa: E731
        self._disturb(self._for_a_while(wake))

    def _cut_store(self) -> None:
        """Disturbs the way to the store, of one entry or of all."""
        hosts = list(self._gates)
        chosen = hosts if self._rng.random() < 0.3 else hosts[:1]
        self._rng.shuffle(hosts)
        mode = self._rng.choice(("delay", "refuse", "silent", "reset"))
        for host in chosen:
            self._gates[host].mode = mode

        def undo() -> None:
            for host in chosen:
                self._gates[host].mode = "pass"

        self._disturb(self._for_a_while(undo))

    def _disturb_store(self) -> None:
        self._store.forget_history = True
        self._store.refuse = self._rng.choice((0, 429, 503))

        def undo() -> None:
            self._store.refuse = 0

        self._disturb(self._for_a_while(undo))

    def _misbehave(self) -> None:
        worker = self._any_worker()
        modes = ("cut", "error", "unsigned", "refuse", "other", "slow")
        worker.behave = self._rng.choice(modes)

        def undo() -> None:
            worker.behave = "ok"

        self._for_a_while(undo)

    def _disturb_link(self) -> None:
        worker = self._any_worker()
        worker.proxy.mode = self._rng.choice(
            ("delay", "refuse", "silent", "reset")
        )

        def undo() -> None:
            worker.proxy.mode = "pass"

        self._for_a_while(undo)

    def _reclaim(self) -> None:
        """Takes a worker away after a notice; another one comes."""
        worker = self._any_worker()
        services = [item.service for item in self._workers]
        if services.count(worker.service) < 2:
            return
        self._workers.remove(worker)
        worker.left_s = clock.boottime()
        self._store.put("servers", worker.worker_id, worker.entry("draining"))
        eventlet.spawn_after(_NOTICE_S, self._take_away, worker)

    def _take_away(self, worker: SoakWorker) -> None:
        worker.proxy.mode = "reset"
        self._store.drop("servers", worker.worker_id)
        self._add_worker(worker.service, worker.zone)

    def _crash_worker(self) -> None:
        worker = self._any_worker()
        self._workers.remove(worker)
        worker.proxy.mode = "reset"
        self._add_worker(worker.service, worker.zone)
        drop = self._store.drop
        eventlet.spawn_after(1.0, drop, "servers", worker.worker_id)

    def _close_zone(self) -> None:
        if self._closed_s:
            return
        zone = self._rng.choice(_ZONES)
        self._closed_s[zone] = clock.boottime()
        self._store.put("op", f"evacuate/{zone}", {"zone": zone})
        eventlet.spawn_after(self._rng.uniform(3.0, 9.0), self._open_zone, zone)

    def _open_zone(self, zone: str) -> None:
        if self._closed_s.pop(zone, None) is not None:
            self._store.drop("op", f"evacuate/{zone}")

    def _revoke(self) -> None:
        is_rare = self._rng.random() < _REVOKE_PART
        if not is_rare or self._revoked_s < float("inf"):
            return
        self._configure(tenants=[])
        self._revoked_s = clock.boottime()
        eventlet.spawn_after(self._rng.uniform(2.5, 4.0), self._restore_key)

    def _restore_key(self) -> None:
        self._revoked_s = float("inf")
        self._configure()

    def _reconfigure(self) -> None:
        """Sends a new version with the same content."""
        if self._revoked_s == float("inf"):
            self._configure()

    def _configure(self, **fields: object) -> None:
        self._version += 1
        content = bed.configuration(self._version, **fields)
        self._store.put("op", "config", content)


_FAULTS = (
    Soak._kill_entry,
    Soak._term_entry,
    Soak._freeze_entry,
    Soak._cut_store,
    Soak._disturb_store,
    Soak._misbehave,
    Soak._misbehave,
    Soak._disturb_link,
    Soak._disturb_link,
    Soak._reclaim,
    Soak._reclaim,
    Soak._crash_worker,
    Soak._close_zone,
    Soak._revoke,
    Soak._reconfigure,
)

_app = cyclopts.App(name="soak", help=__doc__, version_flags=())


@_app.default
def run(
    *,
    seed: int = 1,
    minutes: float = 1.0,
    logs: pathlib.Path | None = None,
) -> int:
    """Plays one run; the exit code is 1 if a promise was broken.

    Args:
        seed: Decides the faults and their times.
        minutes: How long faults are played.
        logs: Takes the logs of the entries; they are dropped without it.
    """
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder)
        if logs is not None:
            place = logs
            place.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, place)
        try:
            soak.run(minutes * 60)
        finally:
            soak.end()
    for (kind, status), count in sorted(soak.seen.answers.items()):
        print(f"{kind} {status}: {count}")
    for text in soak.seen.broken:
        print(f"broken: {text}")
    print(f"soak seed {seed}: {len(soak.seen.broken)} promises broken")
    return 1 if soak.seen.broken else 0


if __name__ == "__main__":
    sys.exit(_app(result_action="return_value"))
