"""The system of a soak run: its entries, workers, store and their state."""

from __future__ import annotations

import abc
import itertools
import pathlib
import random
import signal
import subprocess
from collections.abc import Callable
from collections.abc import Collection

import eventlet
import fakes
import harness
import soak_observations
import soak_proxy
import soak_workers

from dandelionlead.core import clock

EVENT_COUNT = 40
ZONES = ("z-a", "z-b")
# Time from the draining state of a reclaimed worker until it is unreachable.
RECLAIM_NOTICE_S = 1.5
TERMINATION_TIMEOUT_S = 10.0
FAULT_DURATION_RANGE_S = (0.3, 3.0)
_PATH_PROGRAM = pathlib.Path(__file__).resolve().parent / "soak_entry.py"
_ROUTE_TIMEOUT_MS = 12_000


class SoakSystem(abc.ABC):
    """Starts and ends the parts of the system, and knows their disturbances.

    Args:
        seed: Seed of the faults, their times and the requests.
        folder: Directory for the settings and logs of the entries.
        entry_count: Number of entries.
        has_paths: Whether each entry reaches the workers by a path of its own,
            which can be cut.

    Attributes:
        observations: Results of requests, and violations of guarantees.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        entry_count: int,
        has_paths: bool = False,
    ) -> None:
        self.observations = soak_observations.Observations()
        self._rng = random.Random(seed)
        self._folder = folder
        self._store = fakes.FakeStore((harness.next_ip(), 8742))
        self._store.put_row("op", "config", _make_configuration(7))
        self._configuration_version = 7
        self._workers: list[soak_workers.SoakWorker] = []
        self._leaving_engines: list[soak_workers.SoakWorker] = []
        self._entries: dict[str, subprocess.Popen] = {}
        self._store_proxies: dict[str, soak_proxy.FaultProxy] = {}
        self._disturbed_until_s = 0.0
        self._zone_closed_at_s: dict[str, float] = {}
        self._key_revoked_at_s = float("inf")
        # Port of each entry's path to the workers, by the entry's IP address.
        self._path_ports: dict[str, int] = {}
        self._unused_path_ports = itertools.count(soak_workers.PORT + 1)
        self._entry_count = entry_count
        self._has_paths = has_paths
        # Paths that are cut at present, and the services that they lead to.
        self._cuts: dict[int, soak_proxy.Cut] = {}
        self._cut_services: Collection[str] = ()
        self._is_sending = True
        self._request_numbers = itertools.count(1)
        self._worker_count = 0
        # Times of the last SIGTERM to each entry that has not started again,
        # and of the last end or continuation of each entry that was killed or
        # suspended; infinite while it is suspended.
        self._stopped_at_s: dict[str, float] = {}
        self._broken_at_s: dict[str, float] = {}

    @abc.abstractmethod
    def record_arrival(
        self, worker: soak_workers.SoakWorker, request_id: str, target: bytes
    ) -> None:
        """Records a request that reached a worker.

        Args:
            worker: The worker.
            request_id: Request id of the caller's attempt.
            target: Target of the request.
        """

    def kill_entries(self) -> None:
        """Kills the entry processes that are still running."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGCONT)
            entry.kill()
            entry.wait()

    def _record_violation(self, text: str) -> None:
        self.observations.add_violation(text)

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

    def _add_worker(self, service: str, zone: str) -> None:
        self._worker_count += 1
        worker = soak_workers.SoakWorker(
            self.record_arrival,
            service,
            zone,
            self._worker_count,
            EVENT_COUNT,
            self._entry_count if self._has_paths else 0,
        )
        self._list_worker(worker)

    def _list_worker(self, worker: soak_workers.SoakWorker) -> None:
        """Adds a worker that has started to the list of workers."""
        self._workers.append(worker)
        self._apply_cuts(worker)
        self._store.put_row("servers", worker.worker_id, worker.make_entry())

    def _apply_cuts(self, worker: soak_workers.SoakWorker) -> None:
        is_cut = worker.service in self._cut_services
        worker.proxy.set_cuts(self._cuts if is_cut else {})

    def _add_entry(self, host: str = "") -> None:
        if not host:
            host = harness.next_ip()
            self._store_proxies[host] = soak_proxy.FaultProxy(
                self._store.address
            )
            self._path_ports[host] = next(self._unused_path_ports)
        store_address = self._store_proxies[host].address
        self._broken_at_s[host] = clock.boottime()
        options: dict[str, object] = {}
        if self._has_paths:
            options["program"] = (
                str(_PATH_PROGRAM),
                str(self._path_ports[host]),
            )
        self._entries[host] = harness.start_entry_program(
            host, store_address, self._folder, **options
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
        duration_s = self._rng.uniform(*FAULT_DURATION_RANGE_S)
        eventlet.spawn_after(duration_s, undo)
        return duration_s

    def _choose_host(self) -> str | None:
        """Returns the IP address of a random entry, or None if none runs."""
        return self._rng.choice(list(self._entries) or [None])

    def _choose_worker(self) -> soak_workers.SoakWorker:
        return self._rng.choice(self._workers)

    def _wait_for_exit(self, host: str, entry: subprocess.Popen) -> None:
        has_exited = lambda: entry.poll() is not None  # noqa: E731
        self._wait_until(
            has_exited, TERMINATION_TIMEOUT_S, f"{host} exits after SIGTERM"
        )
        if entry.poll() not in (None, 0):
            self._record_violation(f"{host} exited with code {entry.poll()}")

    def _open_zone(self, zone: str) -> None:
        if self._zone_closed_at_s.pop(zone, None) is not None:
            self._store.delete_row("op", f"evacuate/{zone}")

    def _put_configuration(self, **fields: object) -> None:
        self._configuration_version += 1
        configuration = _make_configuration(
            self._configuration_version, **fields
        )
        self._store.put_row("op", "config", configuration)


def _make_configuration(version: int, **fields: object) -> dict[str, object]:
    """Returns a configuration whose streams may outlast a planned stop."""
    configuration = harness.make_configuration(version, **fields)
    for route in configuration["routes"]:
        if route["kind"] == "streaming":
            route["timeout-ms"] = _ROUTE_TIMEOUT_MS
    return configuration
