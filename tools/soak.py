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
import signal
import sys
import tempfile
import warnings

# Eventlet is deprecated; docs/style.md explains why this project uses it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))
sys.path.insert(0, str(_ROOT / "tools"))

import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import harness  # noqa: E402
import soak_evidence  # noqa: E402
import soak_faults  # noqa: E402
import soak_system  # noqa: E402
import soak_workers  # noqa: E402

from dandelionlead.core import clock  # noqa: E402

_EVIDENCE_FOLDER = _ROOT / "build" / "soak"
_CALLER_COUNT = 10
# Callers that connect to listed addresses only, while paths are cut.
_LIST_CALLER_COUNT = 24
# Time from one first try of a caller to its next, whether it is over or not:
# otherwise, tries that fail at once would outnumber those that are served.
_FIRST_TRY_PAUSE_RANGE_S = (0.5, 1.0)
# Times for which callers keep a list of addresses: some three times as long.
_LIST_AGES_S = (2.0, 2.0, 6.0)
_START_TIMEOUT_S = 20.0
_RECOVERY_TIMEOUT_S = 15.0
# Guaranteed limits on the time from a change in the store to its effect.
_ZONE_CLOSE_LIMIT_S = 5.0
_WORKER_LEAVE_LIMIT_S = 2.0
_KEY_REVOKE_LIMIT_S = 2.0
# Time from the end of a disturbance until the time limits are checked again.
_SETTLING_S = 3.0
# Time from the start of one fault to the start of the next.
_PAUSE_RANGE_S = (0.2, 1.2)
# Times that callers of streams allow; the last one ends after a process that
# stops. Callers of other requests allow the first one.
_DEADLINES_MS = (3_000, 3_000, 12_000)
# Time without an answer, at a process that stops, that counts as a loss.
_LOSS_SLACK_S = 0.4
# Start of the path of the requests, by kind of request.
_PATH_PREFIXES = {
    "order": "/order/",
    "stock": "/stock/",
    "draft": "/stream/draft/",
    "check": "/stream/check/",
}


class Soak(soak_faults.SoakFaults):
    """One soak run with its callers, faults and checks."""

    def run(self, duration_s: float) -> None:
        """Injects faults, then waits until the system has recovered.

        Args:
            duration_s: Seconds for which faults are injected.
        """
        for zone in soak_system.ZONES:
            for service in ("engines", "engines", "engines", "plain"):
                self._add_worker(service, zone)
        for _ in range(self._entry_count):
            self._add_entry()
        self._wait_until(
            self._are_all_entries_ready,
            _START_TIMEOUT_S,
            "all entries are ready",
        )
        for _ in range(_CALLER_COUNT):
            eventlet.spawn_n(self._send_requests)
        deadline_s = clock.boottime() + duration_s
        eventlet.spawn_n(self.end_engines, deadline_s)
        eventlet.spawn_n(self.leave_engines, deadline_s)
        if self._has_paths:
            eventlet.spawn_n(self.cut_paths, deadline_s)
            for _ in range(_LIST_CALLER_COUNT):
                eventlet.spawn_n(self._send_first_tries)
        while clock.boottime() < deadline_s:
            self.inject_fault()
            eventlet.sleep(self._rng.uniform(*_PAUSE_RANGE_S))
        eventlet.sleep(
            soak_system.FAULT_DURATION_RANGE_S[1] + soak_system.RECLAIM_NOTICE_S
        )
        self._remove_faults()
        self._wait_until(
            self._is_every_path_served,
            _RECOVERY_TIMEOUT_S,
            "every entry serves every path",
        )
        self._is_sending = False
        self._terminate_entries()
        self.observations.check_cuts()
        self.observations.check_runs()
        self.observations.check_logs(self._folder)

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

    def _send_requests(self) -> None:
        while self._is_sending:
            hosts = list(self._entries)
            if hosts:
                self._send_request(self._rng.choice(hosts))
            eventlet.sleep(self._rng.uniform(0.02, 0.2))

    def _send_first_tries(self) -> None:
        """Sends requests to listed entries and counts first tries."""
        hosts: list[str] = []
        listed_until_s = 0.0
        while self._is_sending:
            if clock.boottime() > listed_until_s:
                hosts = self._read_listed_hosts() or hosts
                list_age_s = self._rng.choice(_LIST_AGES_S)
                listed_until_s = clock.boottime() + list_age_s
            if hosts:
                host = self._rng.choice(hosts)
                eventlet.spawn_n(self._send_first_try, host)
            eventlet.sleep(self._rng.uniform(*_FIRST_TRY_PAUSE_RANGE_S))

    def _read_listed_hosts(self) -> list[str]:
        """Returns the hosts that a random entry lists; none if it fails."""
        host = self._choose_host()
        with (
            eventlet.Timeout(1.0, False),
            contextlib.suppress(ConnectionError, ValueError, KeyError),
        ):
            addresses = harness.list_addresses_at(host or "")
            return [address.partition(":")[0] for address in addresses]
        return []

    def _send_first_try(self, host: str) -> None:
        kind = self._rng.choice(list(_PATH_PREFIXES))
        sent_at_s = clock.boottime()
        was_in_touch = self._is_in_touch(host, sent_at_s)
        is_served = self._send_request(host, kind) == 200
        if was_in_touch and self._is_in_touch(host, sent_at_s):
            self.observations.record_first_try(
                host, kind, sent_at_s, is_served=is_served
            )

    def _is_in_touch(self, host: str, sent_at_s: float) -> bool:
        """Returns whether an entry runs and reaches the store for some time."""
        return (
            host in self._entries
            and self._broken_at_s[host] + _SETTLING_S < sent_at_s
            and self._store_proxies[host].mode == "pass"
        )

    def _send_request(self, host: str, kind: str = "") -> int:
        """Sends a request to an entry and checks the response.

        Args:
            host: IP address of the entry.
            kind: Kind of the request, a key of `_PATH_PREFIXES`; random if
                empty.

        Returns:
            The HTTP status; 0 if there was no complete response.
        """
        kind = kind or self._rng.choice(list(_PATH_PREFIXES))
        sent_at_s = clock.boottime()
        deadline_ms = _DEADLINES_MS[0]
        if "/stream/" in _PATH_PREFIXES[kind]:
            deadline_ms = self._rng.choice(_DEADLINES_MS)
        try:
            pending_request = harness.ClientRequest(
                (host, 8740),
                # Requests that are alike would be refused once engines have
                # ended several times while they ran one.
                _PATH_PREFIXES[kind] + str(next(self._request_numbers)),
                body=b"of " + kind.encode(),
                deadline_ms=deadline_ms,
            )
        except ConnectionError:
            return 0
        request_id = pending_request.request_id
        self.observations.limit_runs(kind, request_id)
        response = pending_request.read_response()
        self.observations.record_response(
            kind, request_id, response, soak_system.EVENT_COUNT
        )
        self._check_answer_at_stop(host, request_id, sent_at_s, response)
        broken_at_s = self._broken_at_s.get(host, float("-inf"))
        self.observations.check_cut(
            request_id,
            response,
            sent_at_s + deadline_ms / 1e3,
            soak_system.EVENT_COUNT,
            is_entry_broken=broken_at_s >= sent_at_s,
            last_broken_s=max(self._broken_at_s.values()),
        )
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

    def _are_all_entries_ready(self) -> bool:
        return all(harness.is_ready(host) for host in self._entries)

    def _is_every_path_served(self) -> bool:
        return self._are_all_entries_ready() and all(
            self._send_request(host, kind) == 200
            for host in list(self._entries)
            for kind in _PATH_PREFIXES
        )

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


_app = cyclopts.App(name="soak", help=__doc__, version_flags=())


@_app.default
def run(
    *,
    seed: int = 1,
    minutes: float = 1.0,
    logs: pathlib.Path | None = None,
    keep: pathlib.Path = _EVIDENCE_FOLDER,
    entries: int = 4,
    cuts: bool = False,
) -> int:
    """Performs one soak run; the exit code is 1 if a guarantee was violated.

    Violations leave a folder with their texts, the faults and the logs.

    Args:
        seed: Seed of the faults, their times and the requests.
        minutes: Minutes for which faults are injected.
        logs: Directory for the logs of the entries; without it, the logs are
            deleted at the end.
        keep: Directory for the folders that violations leave.
        entries: Number of entries. With more of them, more are undisturbed
            while others are cut from workers.
        cuts: Whether entries are cut from workers for seconds. Off by default:
            KNOWN-RED.txt has a seed that fails.
    """
    with tempfile.TemporaryDirectory() as folder:
        log_folder = pathlib.Path(folder)
        if logs is not None:
            log_folder = logs
            log_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(
            seed,
            log_folder,
            entry_count=entries,
            has_paths=cuts,
        )
        try:
            soak.run(minutes * 60)
        finally:
            soak.kill_entries()
            evidence_folder = _keep_evidence(seed, soak, log_folder, keep)
    for (kind, status), count in sorted(
        soak.observations.response_counts.items()
    ):
        print(f"{kind} {status}: {count}")
    for cut in soak.observations.cuts:
        print(f"cut: {cut}")
    print(f"leaving engines: {soak.observations.leaving_ends}")
    print(
        f"ended early: {len(soak.observations.early_ends)}, of these complete"
        f" at their callers: {soak.observations.early_complete_count}"
    )
    for text in soak.observations.violations:
        print(f"violation: {text}")
    if evidence_folder is not None:
        print(f"evidence: {evidence_folder}")
    print(
        f"soak seed {seed}: {len(soak.observations.violations)} "
        "guarantees violated"
    )
    return 1 if soak.observations.violations else 0


def _keep_evidence(
    seed: int, soak: Soak, log_folder: pathlib.Path, keep: pathlib.Path
) -> pathlib.Path | None:
    """Keeps the evidence of violations; returns None if there are none."""
    observations = soak.observations
    if not observations.violations:
        return None
    return soak_evidence.keep(
        seed,
        observations.violations,
        observations.fault_lines,
        log_folder,
        keep,
    )


if __name__ == "__main__":
    sys.exit(_app(result_action="return_value"))
