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

import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import warnings
from collections.abc import Callable

# Eventlet is deprecated; docs/style.md explains why this project uses it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))
sys.path.insert(0, str(_ROOT / "tools"))

import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import fakes  # noqa: E402
import harness  # noqa: E402
import soak_observations  # noqa: E402
import soak_workers  # noqa: E402

from dandelionlead.core import clock  # noqa: E402

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
# Times that callers of streams allow; the last one ends after a process that
# stops. Callers of other requests allow the first one.
_DEADLINES_MS = (3_000, 3_000, 12_000)
_ROUTE_TIMEOUT_MS = 12_000
# Time without an answer, at a process that stops, that counts as a loss.
_LOSS_SLACK_S = 0.4
# Seconds for which all engines begin no run in a stop under full engines.
_FULL_ENGINES_S = 9.0
# Path of the requests, by kind of request.
_PATHS = {
    "order": "/order/1",
    "stock": "/stock/1",
    "draft": "/stream/draft/1",
    "check": "/stream/check/1",
}


class Soak:
    """One soak run with its entries, workers, callers and faults.

    Args:
        seed: Seed of the faults, their times and the requests.
        folder: Directory for the settings and logs of the entries.

    Attributes:
        observations: Results of requests, and violations of guarantees.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.observations = soak_observations.Observations()
        self._rng = random.Random(seed)
        self._folder = folder
        self._store = fakes.FakeStore((harness.next_ip(), 8742))
        self._store.put_row("op", "config", _make_configuration(7))
        self._configuration_version = 7
        self._workers: list[soak_workers.SoakWorker] = []
        self._entries: dict[str, subprocess.Popen] = {}
        self._store_proxies: dict[str, soak_workers.FaultProxy] = {}
        self._disturbed_until_s = 0.0
        self._zone_closed_at_s: dict[str, float] = {}
        self._key_revoked_at_s = float("inf")
        self._is_sending = True
        self._worker_count = 0
        # Times of the last SIGTERM to each entry that has not started again,
        # and of the last end or continuation of each entry that was killed or
        # suspended; infinite while it is suspended.
        self._stopped_at_s: dict[str, float] = {}
        self._broken_at_s: dict[str, float] = {}

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
        self.observations.check_logs(self._folder)

    def kill_entries(self) -> None:
        """Kills the entry processes that are still running."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGCONT)
            entry.kill()
            entry.wait()

    def record_arrival(
        self, worker: soak_workers.SoakWorker, request_id: str, target: bytes
    ) -> None:
        """Records a request that reached a worker.

        Checks that the worker may still receive requests: its availability zone
        is not closed and the worker is not leaving.

        Args:
            worker: The worker.
            request_id: Request id of the caller's attempt.
            target: Target of the request.
        """
        self.observations.record_run(request_id, target, worker.service)
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
        deadline_ms = _DEADLINES_MS[0]
        if "/stream/" in _PATHS[kind]:
            deadline_ms = self._rng.choice(_DEADLINES_MS)
        try:
            pending_request = harness.ClientRequest(
                (host, 8740),
                _PATHS[kind],
                body=b"of " + kind.encode(),
                deadline_ms=deadline_ms,
            )
        except ConnectionError:
            return 0
        request_id = pending_request.request_id
        self.observations.limit_runs(kind, request_id)
        response = pending_request.read_response()
        self.observations.record_response(
            kind, request_id, response, _EVENT_COUNT
        )
        self._check_answer_at_stop(host, request_id, sent_at_s, response)
        is_key_revoked = (
            sent_at_s - self._key_revoked_at_s > _KEY_REVOKE_LIMIT_S
        )
        is_undisturbed = sent_at_s - self._disturbed_until_s > _SETTLING_S
        if is_key_revoked and is_undisturbed and response.status == 200:
            self._record_violation(
                f"{request_id} was served with a revoked key"
            )
        return response.status if response.is_complete else 0

    def _check_answer_at_stop(
        self,
        host: str,
        request_id: str,
        sent_at_s: float,
        response: harness.Response,
    ) -> None:
        """Records a violation if a process that stops gave no answer.

        A request that crosses the end of the process unread is not lost, and a
        process that was killed or suspended meanwhile owes nothing.
        """
        stopped_at_s = self._stopped_at_s.get(host, float("inf"))
        waited_s = clock.boottime() - sent_at_s
        if (
            not response.status
            and waited_s > _LOSS_SLACK_S
            and stopped_at_s < clock.boottime()
            and self._broken_at_s.get(host, float("-inf")) < sent_at_s
        ):
            self._record_violation(
                f"{request_id} got no answer from {host} in a stop"
            )

    # Workers and entries, and the choice and removal of faults.

    def _add_worker(self, service: str, zone: str) -> None:
        self._worker_count += 1
        worker = soak_workers.SoakWorker(
            self.record_arrival,
            service,
            zone,
            self._worker_count,
            _EVENT_COUNT,
        )
        self._workers.append(worker)
        self._store.put_row("servers", worker.worker_id, worker.make_entry())

    def _add_entry(self, host: str = "") -> None:
        if not host:
            host = harness.next_ip()
            self._store_proxies[host] = soak_workers.FaultProxy(
                self._store.address
            )
        store_address = self._store_proxies[host].address
        self._broken_at_s[host] = clock.boottime()
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

    def _choose_worker(self) -> soak_workers.SoakWorker:
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
        self._broken_at_s[host] = float("inf")
        self._mark_disturbed(
            self._schedule_undo(lambda: self._add_entry(host)) + 3.0
        )

    def _terminate_entry(self) -> None:
        host = self._choose_host()
        if host is None or len(self._entries) < 2:
            return
        entry = self._entries.pop(host)
        self._stopped_at_s[host] = clock.boottime()
        entry.send_signal(signal.SIGTERM)
        self._mark_disturbed(_TERMINATION_TIMEOUT_S)
        eventlet.spawn_n(self._restart_entry, host, entry)

    def _terminate_entry_with_full_engines(self) -> None:
        """Stops an entry while no engine begins a run for longer than it."""
        engines = [
            worker for worker in self._workers if worker.service == "engines"
        ]
        for worker in engines:
            worker.behaviour = "silent"

        def undo() -> None:
            for worker in engines:
                if worker.behaviour == "silent":
                    worker.behaviour = "ok"

        eventlet.spawn_after(_FULL_ENGINES_S, undo)
        eventlet.spawn_after(1.0, self._terminate_entry)

    def _write_odd_entry(self) -> None:
        """Writes an entry with fields missing, or restores a worker's one."""
        worker = self._choose_worker()
        other_services = {"engines": "plain", "plain": "engines"}
        entry = worker.make_entry(service=other_services[worker.service])
        for name in ("version", "slots", "cold-left-ms", "sequence"):
            del entry[name]
        key = self._rng.choice((worker.worker_id, "odd"))
        self._store.put_row("servers", key, entry)
        self._schedule_undo(lambda: self._restore_entry(worker))

    def _restore_entry(self, worker: soak_workers.SoakWorker) -> None:
        if worker in self._workers:
            self._store.put_row(
                "servers", worker.worker_id, worker.make_entry()
            )

    def _restart_entry(self, host: str, entry: subprocess.Popen) -> None:
        self._wait_for_exit(host, entry)
        if entry.poll() is None:
            entry.kill()
            entry.wait()
        # Callers that it has cut off have noticed by then.
        eventlet.sleep(0.1)
        self._stopped_at_s.pop(host)
        self._add_entry(host)

    def _suspend_entry(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        entry = self._entries[host]
        entry.send_signal(signal.SIGSTOP)
        self._broken_at_s[host] = float("inf")

        def continue_entry() -> None:
            entry.send_signal(signal.SIGCONT)
            self._broken_at_s[host] = clock.boottime()

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

    def _remove_reclaimed_worker(self, worker: soak_workers.SoakWorker) -> None:
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
        configuration = _make_configuration(
            self._configuration_version, **fields
        )
        self._store.put_row("op", "config", configuration)


# Faults to choose from; those listed twice are chosen twice as often.
_FAULTS = (
    Soak._kill_entry,
    Soak._terminate_entry,
    Soak._terminate_entry_with_full_engines,
    Soak._write_odd_entry,
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


def _make_configuration(version: int, **fields: object) -> dict[str, object]:
    """Returns a configuration whose streams may outlast a planned stop."""
    configuration = harness.make_configuration(version, **fields)
    for route in configuration["routes"]:
        if route["kind"] == "streaming":
            route["timeout-ms"] = _ROUTE_TIMEOUT_MS
    return configuration


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
