"""Injects random faults into a running system and checks its guarantees.

Entries are real processes on loopback addresses. The store and the workers
(model engines and workers of a plain service) are simulated in this process;
entries reach them through proxies that delay, refuse, reset or silently drop
traffic. Faults start at random intervals and may overlap. The guarantees are
checked for each request that reaches a worker, for each response and at the end
of the run.

This program ends only processes that it has started itself.
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

# Eventlet is deprecated; docs/style.md explains why this project uses it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))

import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import eventlet.green.socket as green_socket  # noqa: E402
import fakes  # noqa: E402
import harness  # noqa: E402

from dandelionlead.core import clock  # noqa: E402
from dandelionlead.http import server  # noqa: E402

_ENTRY_COUNT = 4
_CALLER_COUNT = 10
_ZONES = ("z-a", "z-b")
_EVENT_COUNT = 40
_START_TIMEOUT_S = 20.0
_RECOVERY_TIMEOUT_S = 15.0
_TERMINATION_TIMEOUT_S = 10.0
# Guaranteed limits on the time from a change in the store to its effect.
_ZONE_CLOSE_LIMIT_S = 5.0
_WORKER_LEAVE_LIMIT_S = 2.0
_KEY_REVOKE_LIMIT_S = 2.0
# Time from the end of a disturbance until the time limits are checked again.
_SETTLING_S = 3.0
# Time from the start of one fault to the start of the next.
_PAUSE_RANGE_S = (0.2, 1.2)
_FAULT_DURATION_RANGE_S = (0.3, 3.0)
# Time from the draining state of a reclaimed worker until it is unreachable.
_RECLAIM_NOTICE_S = 1.5
# Low, since most requests are rejected while the key is revoked.
_REVOKE_PROBABILITY = 0.3
# Statuses of a response which state that the request did not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Number of times that a request may run, by kind of request.
_MAX_RUNS = {"order": 1, "stock": 2}
# Path of the requests, by kind of request.
_PATHS = {
    "order": "/order/1",
    "stock": "/stock/1",
    "draft": "/stream/draft/1",
    "check": "/stream/check/1",
}


class FaultProxy:
    """Forwards TCP connections to a target and injects network faults.

    Args:
        target: IP address and port to forward to.

    Attributes:
        address: IP address and port that the proxy listens on.
        mode: `pass` (forwards), `delay` (forwards late), `refuse` (closes new
            connections), `silent` (reads bytes and forwards none) or `reset`
            (closes all connections).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = (harness.next_ip(), target[1])
        self.mode = "pass"
        self._target = target
        self._sock = eventlet.listen(self.address)
        eventlet.spawn_n(self._accept_connections)

    def _accept_connections(self) -> None:
        while True:
            conn, _ = self._sock.accept()
            if self.mode in ("refuse", "reset"):
                conn.close()
                continue
            try:
                target_conn = green_socket.create_connection(self._target)
            except OSError:
                conn.close()
                continue
            eventlet.spawn_n(self._forward_both_ways, conn, target_conn)

    def _forward_both_ways(
        self,
        client_sock: green_socket.GreenSocket,
        target_sock: green_socket.GreenSocket,
    ) -> None:
        """Forwards bytes in both directions until both have ended."""
        backward = eventlet.spawn(self._forward, target_sock, client_sock)
        self._forward(client_sock, target_sock)
        backward.wait()
        client_sock.close()
        target_sock.close()

    def _forward(
        self,
        source: green_socket.GreenSocket,
        target: green_socket.GreenSocket,
    ) -> None:
        """Forwards bytes in one direction and applies the current mode."""
        is_silent = False
        try:
            while data := source.recv(65_536):
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    eventlet.sleep(0.2)
                # After bytes were dropped, later bytes must not be forwarded.
                is_silent = is_silent or self.mode == "silent"
                if not is_silent:
                    target.sendall(data)
        except OSError:
            pass  # One of the sockets has failed; both are shut down below.
        finally:
            for sock in (source, target):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class Observations:
    """Results of requests, as observed by callers and workers.

    Attributes:
        violations: One line for each violation of a guarantee.
        response_counts: Number of responses by kind of request and HTTP status.
        run_counts: Number of times that each request id reached a worker.
        not_run_statuses: HTTP status by request id, for each response which
            states that the request did not run.
        max_run_counts: Number of times that each request id may reach a worker;
            contains no requests for streams.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.response_counts: dict[tuple[str, int], int] = {}
        self.run_counts: dict[str, int] = {}
        self.not_run_statuses: dict[str, int] = {}
        self.max_run_counts: dict[str, int] = {}

    def check_runs(self) -> None:
        """Records a violation for each request that should not have run.

        These are requests that ran although the status of their response states
        that they did not, and requests that ran too often.
        """
        for request_id, status in self.not_run_statuses.items():
            if self.run_counts.get(request_id):
                self.violations.append(f"{request_id} got {status} but ran")
        for request_id, max_runs in self.max_run_counts.items():
            run_count = self.run_counts.get(request_id, 0)
            if run_count > max_runs:
                self.violations.append(
                    f"{request_id} ran {run_count} times, limit {max_runs}"
                )


class SoakWorker(fakes.FakeWorker):
    """A worker behind a proxy; it reports each request to the soak run.

    Attributes:
        soak: The soak run that the worker belongs to.
        zone: Availability zone.
        leaving_since_s: When the worker began to leave, in seconds of
            `clock.boottime`; infinite while it stays.
        proxy: The proxy through which entries reach the worker.
    """

    def __init__(
        self,
        soak: Soak,
        service: str,
        zone: str,
        number: int,
    ) -> None:
        self.soak = soak
        self.zone = zone
        self.leaving_since_s = float("inf")
        super().__init__((harness.next_ip(), 9000), f"w{number}", service)
        self.stream_length = _EVENT_COUNT
        self.proxy = FaultProxy(self.address)
        fakes.WORKERS_BY_ADDRESS[f"{self.proxy.address[0]}:9000"] = self

    def make_entry(self, state: str = "ready", **fields: object) -> dict:
        """Returns the value of the worker's row in the table `servers`."""
        address = f"{self.proxy.address[0]}:9000"
        proxy_fields = {"address": address, "zone": self.zone}
        return super().make_entry(state, **(proxy_fields | fields))

    def _send_response(
        self,
        request: server.Request,
        request_id: str,
        headers: dict[str, str],
        response_writer: server.ResponseWriter,
    ) -> None:
        self.soak.record_arrival(self, request_id)
        super()._send_response(request, request_id, headers, response_writer)


class Soak:
    """One soak run with its entries, workers, callers and faults.

    Args:
        seed: Seed of the faults, their times and the requests.
        folder: Directory for the settings and logs of the entries.

    Attributes:
        observations: Results of requests, and violations of guarantees.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.observations = Observations()
        self._rng = random.Random(seed)
        self._folder = folder
        self._store = fakes.FakeStore((harness.next_ip(), 8742))
        self._store.put_row("op", "config", harness.make_configuration())
        self._configuration_version = 7
        self._workers: list[SoakWorker] = []
        self._entries: dict[str, subprocess.Popen] = {}
        self._store_proxies: dict[str, FaultProxy] = {}
        self._disturbed_until_s = 0.0
        self._zone_closed_at_s: dict[str, float] = {}
        self._key_revoked_at_s = float("inf")
        self._is_sending = True
        self._worker_count = 0

    def run(self, duration_s: float) -> None:
        """Injects faults, then waits until the system has recovered.

        Args:
            duration_s: Seconds for which faults are injected.
        """
        for zone in _ZONES:
            for service in ("engines", "engines", "plain"):
                self._add_worker(service, zone)
        for _ in range(_ENTRY_COUNT):
            self._add_entry()
        self._wait_until(
            self._are_all_entries_ready,
            _START_TIMEOUT_S,
            "all entries are ready",
        )
        for _ in range(_CALLER_COUNT):
            eventlet.spawn_n(self._send_requests)
        deadline_s = clock.boottime() + duration_s
        while clock.boottime() < deadline_s:
            self._rng.choice(_FAULTS)(self)
            eventlet.sleep(self._rng.uniform(*_PAUSE_RANGE_S))
        eventlet.sleep(_FAULT_DURATION_RANGE_S[1] + _RECLAIM_NOTICE_S)
        self._remove_faults()
        self._wait_until(
            self._is_every_path_served,
            _RECOVERY_TIMEOUT_S,
            "every entry serves every path",
        )
        self._is_sending = False
        self._terminate_entries()
        self.observations.check_runs()

    def kill_entries(self) -> None:
        """Kills the entry processes that are still running."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGCONT)
            entry.kill()
            entry.wait()

    def record_arrival(self, worker: SoakWorker, request_id: str) -> None:
        """Records a request that reached a worker.

        Checks that the worker may still receive requests: its availability zone
        is not closed and the worker is not leaving.

        Args:
            worker: The worker.
            request_id: Request id of the caller's attempt.
        """
        self.observations.run_counts[request_id] = (
            self.observations.run_counts.get(request_id, 0) + 1
        )
        now_s = clock.boottime()
        if now_s - self._disturbed_until_s < _SETTLING_S:
            return
        closed_at_s = self._zone_closed_at_s.get(worker.zone, now_s)
        if now_s - closed_at_s > _ZONE_CLOSE_LIMIT_S:
            self._record_violation(
                f"{request_id} reached closed zone {worker.zone}"
            )
        if now_s - worker.leaving_since_s > _WORKER_LEAVE_LIMIT_S:
            self._record_violation(
                f"{request_id} reached leaving worker {worker.worker_id}"
            )

    def _record_violation(self, text: str) -> None:
        self.observations.violations.append(text)

    def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float, description: str
    ) -> None:
        """Waits for a condition; records a violation at the timeout."""
        deadline_s = clock.boottime() + timeout_s
        while not condition():
            if clock.boottime() > deadline_s:
                self._record_violation(
                    f"not within {timeout_s:g} s: {description}"
                )
                return
            eventlet.sleep(0.1)

    # Requests of callers.

    def _send_requests(self) -> None:
        while self._is_sending:
            hosts = list(self._entries)
            if hosts:
                self._send_request(self._rng.choice(hosts))
            eventlet.sleep(self._rng.uniform(0.02, 0.2))

    def _send_request(self, host: str, kind: str = "") -> int:
        """Sends a request to an entry and checks the response.

        Args:
            host: IP address of the entry.
            kind: Kind of the request, a key of `_PATHS`; random if empty.

        Returns:
            The HTTP status; 0 if there was no complete response.
        """
        kind = kind or self._rng.choice(list(_PATHS))
        sent_at_s = clock.boottime()
        try:
            pending_request = harness.ClientRequest(
                (host, 8740), _PATHS[kind], body=b"of " + kind.encode()
            )
        except ConnectionError:
            return 0
        request_id = pending_request.request_id
        if kind in _MAX_RUNS:
            self.observations.max_run_counts[request_id] = _MAX_RUNS[kind]
        response = pending_request.read_response()
        key = (kind, response.status)
        self.observations.response_counts[key] = (
            self.observations.response_counts.get(key, 0) + 1
        )
        if response.status in _NOT_RUN_STATUSES:
            self.observations.not_run_statuses[request_id] = response.status
        self._check_response(kind, request_id, response)
        is_key_revoked = (
            sent_at_s - self._key_revoked_at_s > _KEY_REVOKE_LIMIT_S
        )
        is_undisturbed = sent_at_s - self._disturbed_until_s > _SETTLING_S
        if is_key_revoked and is_undisturbed and response.status == 200:
            self._record_violation(
                f"{request_id} was served with a revoked key"
            )
        return response.status if response.is_complete else 0

    def _check_response(
        self, kind: str, request_id: str, response: harness.Response
    ) -> None:
        """Checks the body of a response with status 200.

        An incomplete stream must contain the start of the expected bytes; an
        incomplete body of another kind is not checked.
        """
        if response.status != 200:
            return
        if kind in _MAX_RUNS:
            expected_body = b"whole of " + kind.encode()
            if response.is_complete and response.body != expected_body:
                self._record_violation(
                    f"{request_id} got an unexpected body: {response.body!r}"
                )
            return
        expected_stream = b"".join(
            b"id: %d\ndata: t%d\n\n" % (number, number)
            for number in range(1, _EVENT_COUNT + 1)
        )
        if response.is_complete and response.body != expected_stream:
            self._record_violation(
                f"{request_id} got a complete stream of wrong events"
            )
        if not expected_stream.startswith(response.body):
            self._record_violation(
                f"{request_id} got missing, repeated or wrong events"
            )

    # Workers and entries, and the choice and removal of faults.

    def _add_worker(self, service: str, zone: str) -> None:
        self._worker_count += 1
        worker = SoakWorker(self, service, zone, self._worker_count)
        self._workers.append(worker)
        self._store.put_row("servers", worker.worker_id, worker.make_entry())

    def _add_entry(self, host: str = "") -> None:
        if not host:
            host = harness.next_ip()
            self._store_proxies[host] = FaultProxy(self._store.address)
        store_address = self._store_proxies[host].address
        self._entries[host] = harness.start_entry_program(
            host, store_address, self._folder
        )

    def _are_all_entries_ready(self) -> bool:
        return all(harness.is_ready(host) for host in self._entries)

    def _is_every_path_served(self) -> bool:
        return self._are_all_entries_ready() and all(
            self._send_request(host, kind) == 200
            for host in list(self._entries)
            for kind in _PATHS
        )

    def _mark_disturbed(self, duration_s: float) -> None:
        """Suspends the checks of the time limits.

        Args:
            duration_s: Seconds until the disturbance ends; the checks start
                again `_SETTLING_S` later.
        """
        disturbed_until_s = clock.boottime() + duration_s
        self._disturbed_until_s = max(
            self._disturbed_until_s, disturbed_until_s
        )

    def _schedule_undo(self, undo: Callable[[], None]) -> float:
        """Undoes a fault after a random time; returns this time in seconds."""
        duration_s = self._rng.uniform(*_FAULT_DURATION_RANGE_S)
        eventlet.spawn_after(duration_s, undo)
        return duration_s

    def _choose_host(self) -> str | None:
        """Returns the IP address of a random entry, or None if none runs."""
        return self._rng.choice(list(self._entries) or [None])

    def _choose_worker(self) -> SoakWorker:
        return self._rng.choice(self._workers)

    def _remove_faults(self) -> None:
        for proxy in self._store_proxies.values():
            proxy.mode = "pass"
        for worker in self._workers:
            worker.behaviour, worker.proxy.mode = "ok", "pass"
        for zone in list(self._zone_closed_at_s):
            self._open_zone(zone)

    def _terminate_entries(self) -> None:
        for entry in self._entries.values():
            entry.send_signal(signal.SIGTERM)
        for host, entry in list(self._entries.items()):
            self._wait_for_exit(host, entry)

    def _wait_for_exit(self, host: str, entry: subprocess.Popen) -> None:
        has_exited = lambda: entry.poll() is not None  # noqa: E731
        self._wait_until(
            has_exited, _TERMINATION_TIMEOUT_S, f"{host} exits after SIGTERM"
        )
        if entry.poll() not in (None, 0):
            self._record_violation(f"{host} exited with code {entry.poll()}")

    # Faults; `_FAULTS` lists all of them.

    def _kill_entry(self) -> None:
        host = self._choose_host()
        if host is None or len(self._entries) < 2:
            return
        entry = self._entries.pop(host)
        entry.kill()
        entry.wait()
        self._mark_disturbed(
            self._schedule_undo(lambda: self._add_entry(host)) + 3.0
        )

    def _terminate_entry(self) -> None:
        host = self._choose_host()
        if host is None or len(self._entries) < 2:
            return
        entry = self._entries.pop(host)
        entry.send_signal(signal.SIGTERM)
        self._mark_disturbed(_TERMINATION_TIMEOUT_S)
        eventlet.spawn_n(self._restart_entry, host, entry)

    def _restart_entry(self, host: str, entry: subprocess.Popen) -> None:
        self._wait_for_exit(host, entry)
        if entry.poll() is None:
            entry.kill()
            entry.wait()
        self._add_entry(host)

    def _suspend_entry(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        entry = self._entries[host]
        entry.send_signal(signal.SIGSTOP)
        continue_entry = lambda: entry.send_signal(signal.SIGCONT)  # noqa: E731
        self._mark_disturbed(self._schedule_undo(continue_entry))

    def _disturb_store_connections(self) -> None:
        """Disturbs the store connections of one entry or of all entries."""
        hosts = list(self._store_proxies)
        chosen_hosts = hosts if self._rng.random() < 0.3 else hosts[:1]
        self._rng.shuffle(hosts)
        mode = self._rng.choice(("delay", "refuse", "silent", "reset"))
        for host in chosen_hosts:
            self._store_proxies[host].mode = mode

        def undo() -> None:
            for host in chosen_hosts:
                self._store_proxies[host].mode = "pass"

        self._mark_disturbed(self._schedule_undo(undo))

    def _make_store_fail(self) -> None:
        self._store.discard_history_once = True
        self._store.error_status = self._rng.choice((0, 429, 503))

        def undo() -> None:
            self._store.error_status = 0

        self._mark_disturbed(self._schedule_undo(undo))

    def _make_worker_misbehave(self) -> None:
        worker = self._choose_worker()
        faults = ("cut", "error", "unsigned", "refuse", "other", "slow")
        worker.behaviour = self._rng.choice(faults)

        def undo() -> None:
            worker.behaviour = "ok"

        self._schedule_undo(undo)

    def _disturb_worker_connections(self) -> None:
        worker = self._choose_worker()
        worker.proxy.mode = self._rng.choice(
            ("delay", "refuse", "silent", "reset")
        )

        def undo() -> None:
            worker.proxy.mode = "pass"

        self._schedule_undo(undo)

    def _reclaim_worker(self) -> None:
        """Sets a worker to draining; replaces it `_RECLAIM_NOTICE_S` later."""
        worker = self._choose_worker()
        services = [other.service for other in self._workers]
        if services.count(worker.service) < 2:
            return
        self._workers.remove(worker)
        worker.leaving_since_s = clock.boottime()
        self._store.put_row(
            "servers", worker.worker_id, worker.make_entry("draining")
        )
        eventlet.spawn_after(
            _RECLAIM_NOTICE_S, self._remove_reclaimed_worker, worker
        )

    def _remove_reclaimed_worker(self, worker: SoakWorker) -> None:
        worker.proxy.mode = "reset"
        self._store.delete_row("servers", worker.worker_id)
        self._add_worker(worker.service, worker.zone)

    def _crash_worker(self) -> None:
        """Makes a worker unreachable without notice; deletes its row later."""
        worker = self._choose_worker()
        self._workers.remove(worker)
        worker.proxy.mode = "reset"
        self._add_worker(worker.service, worker.zone)
        delete_row = self._store.delete_row
        eventlet.spawn_after(1.0, delete_row, "servers", worker.worker_id)

    def _close_zone(self) -> None:
        if self._zone_closed_at_s:
            return
        zone = self._rng.choice(_ZONES)
        self._zone_closed_at_s[zone] = clock.boottime()
        self._store.put_row("op", f"evacuate/{zone}", {"zone": zone})
        eventlet.spawn_after(self._rng.uniform(3.0, 9.0), self._open_zone, zone)

    def _open_zone(self, zone: str) -> None:
        if self._zone_closed_at_s.pop(zone, None) is not None:
            self._store.delete_row("op", f"evacuate/{zone}")

    def _revoke_key(self) -> None:
        is_selected = self._rng.random() < _REVOKE_PROBABILITY
        if not is_selected or self._key_revoked_at_s < float("inf"):
            return
        self._put_configuration(tenants=[])
        self._key_revoked_at_s = clock.boottime()
        eventlet.spawn_after(self._rng.uniform(2.5, 4.0), self._restore_key)

    def _restore_key(self) -> None:
        self._key_revoked_at_s = float("inf")
        self._put_configuration()

    def _resend_configuration(self) -> None:
        """Stores the same configuration with a new version."""
        if self._key_revoked_at_s == float("inf"):
            self._put_configuration()

    def _put_configuration(self, **fields: object) -> None:
        self._configuration_version += 1
        configuration = harness.make_configuration(
            self._configuration_version, **fields
        )
        self._store.put_row("op", "config", configuration)


# Faults to choose from; those listed twice are chosen twice as often.
_FAULTS = (
    Soak._kill_entry,
    Soak._terminate_entry,
    Soak._suspend_entry,
    Soak._disturb_store_connections,
    Soak._make_store_fail,
    Soak._make_worker_misbehave,
    Soak._make_worker_misbehave,
    Soak._disturb_worker_connections,
    Soak._disturb_worker_connections,
    Soak._reclaim_worker,
    Soak._reclaim_worker,
    Soak._crash_worker,
    Soak._close_zone,
    Soak._revoke_key,
    Soak._resend_configuration,
)

_app = cyclopts.App(name="soak", help=__doc__, version_flags=())


@_app.default
def run(
    *,
    seed: int = 1,
    minutes: float = 1.0,
    logs: pathlib.Path | None = None,
) -> int:
    """Performs one soak run; the exit code is 1 if a guarantee was violated.

    Args:
        seed: Seed of the faults, their times and the requests.
        minutes: Minutes for which faults are injected.
        logs: Directory for the logs of the entries; without it, the logs are
            deleted at the end.
    """
    with tempfile.TemporaryDirectory() as folder:
        log_folder = pathlib.Path(folder)
        if logs is not None:
            log_folder = logs
            log_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, log_folder)
        try:
            soak.run(minutes * 60)
        finally:
            soak.kill_entries()
    for (kind, status), count in sorted(
        soak.observations.response_counts.items()
    ):
        print(f"{kind} {status}: {count}")
    for text in soak.observations.violations:
        print(f"violation: {text}")
    print(
        f"soak seed {seed}: {len(soak.observations.violations)} "
        "guarantees violated"
    )
    return 1 if soak.observations.violations else 0


if __name__ == "__main__":
    sys.exit(_app(result_action="return_value"))
