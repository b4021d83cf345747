"""The faults of a soak run."""

from __future__ import annotations

import signal
import subprocess
from collections.abc import Collection

import eventlet
import soak_cuts
import soak_proxy
import soak_system
import soak_workers

from dandelionlead.core import clock

# Low, since most requests are rejected while the key is revoked.
_REVOKE_PROBABILITY = 0.3
# Seconds for which all engines begin no run in a stop under full engines.
_FULL_ENGINES_S = 9.0
# Time from the early end of one engine to the next, and until it starts again.
_ENGINE_END_PAUSE_RANGE_S = (0.3, 2.0)
_ENGINE_RESTART_RANGE_S = (1.0, 3.0)
# Time from one engine that leaves to the next. Its streams are slowed down, so
# that they outlast its notice.
_LEAVE_PAUSE_RANGE_S = (0.3, 1.5)
_LEAVING_EVENT_INTERVAL_RANGE_S = (0.05, 0.12)
# High, since a run that can be copied is migrated and ends elsewhere.
_REJECT_COPIES_PROBABILITY = 0.8
# How an engine announces that it leaves, beside the header of its responses.
_LEAVING_NOTICES = ("draining", "removed", "header alone")
# Low, since most new starts have a new id.
_SAME_ID_PROBABILITY = 0.2
# What the address of an engine does after its process has ended.
_ACCEPTANCES_AFTER_END = (
    soak_proxy.Acceptance.REFUSE,
    soak_proxy.Acceptance.CLOSE,
    soak_proxy.Acceptance.SILENT,
    soak_proxy.Acceptance.RESET,
)
# Time from the end of one cut of paths to the start of the next.
_CUT_PAUSE_RANGE_S = (0.5, 2.0)
_CUT_DURATION_RANGE_S = (6.0, 10.0)
# Services to which paths are cut; those to all are cut most often.
_CUT_SERVICES = (
    ("engines", "plain"),
    ("engines", "plain"),
    ("engines",),
    ("plain",),
)
# Kinds of requests by the service that they need.
_KINDS_BY_SERVICE = {
    "engines": ("draft", "check"),
    "plain": ("order", "stock"),
}


class SoakFaults(soak_system.SoakSystem):
    """Injects random faults into the system."""

    def inject_fault(self) -> None:
        """Starts one random fault."""
        fault = self._rng.choice(_FAULTS)
        self.observations.add_fault(fault.__name__.strip("_"))
        fault(self)

    def end_engines(self, deadline_s: float) -> None:
        """Ends processes of engines one after another until a deadline.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
        """
        while clock.boottime() < deadline_s:
            self._end_engine()
            eventlet.sleep(self._rng.uniform(*_ENGINE_END_PAUSE_RANGE_S))

    def _end_engine(self) -> None:
        """Ends an engine so that its streams look complete; restarts it."""
        engines = self._list_engines()
        if len(engines) < 2:
            return
        worker = self._rng.choice([*engines, *self._leaving_engines])
        acceptance = self._rng.choice(_ACCEPTANCES_AFTER_END)
        # The last chunk of an engine that leaves is its own word.
        must_end_chunks = not worker.is_leaving and self._rng.random() < 0.5
        if worker.is_leaving:
            self._leaving_engines.remove(worker)
        else:
            self._workers.remove(worker)
        ends = worker.end_process(acceptance, must_end_chunks=must_end_chunks)
        self.observations.early_ends.update(ends)
        self.observations.add_fault(
            f"end_engine {worker.worker_id}: {acceptance.value}"
        )
        duration_s = self._rng.uniform(*_ENGINE_RESTART_RANGE_S)
        eventlet.spawn_after(duration_s, self._restart_engine, worker)

    def _restart_engine(self, worker: soak_workers.SoakWorker) -> None:
        worker_id = worker.worker_id
        if self._rng.random() >= _SAME_ID_PROBABILITY:
            if self._store.has_row("servers", worker_id):
                self._store.delete_row("servers", worker_id)
            self._worker_count += 1
            worker_id = f"w{self._worker_count}"
        worker.start_process(worker_id)
        self._list_worker(worker)

    def leave_engines(self, deadline_s: float) -> None:
        """Makes engines leave one after another until a deadline.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
        """
        while clock.boottime() < deadline_s:
            self._make_engine_leave()
            if self._rng.random() < 0.5:
                self._resend_configuration()
            eventlet.sleep(self._rng.uniform(*_LEAVE_PAUSE_RANGE_S))

    def _make_engine_leave(self) -> None:
        """Makes an engine leave; another one has its address later."""
        engines = self._list_engines()
        if len(engines) < 2:
            return
        # An idle engine would exit without having ended a stream.
        busy_engines = [worker for worker in engines if worker.is_busy]
        worker = self._rng.choice(busy_engines or engines)
        self._workers.remove(worker)
        self._leaving_engines.append(worker)
        notice = self._rng.choice(_LEAVING_NOTICES)
        acceptance = self._rng.choice(_ACCEPTANCES_AFTER_END)
        worker.rejects_copies = self._rng.random() < _REJECT_COPIES_PROBABILITY
        worker.event_interval_s = self._rng.uniform(
            *_LEAVING_EVENT_INTERVAL_RANGE_S
        )
        if notice == "draining":
            entry = worker.make_entry("draining")
            self._store.put_row("servers", worker.worker_id, entry)
        elif notice == "removed":
            self._store.delete_row("servers", worker.worker_id)
        self.observations.add_fault(
            f"leave {worker.worker_id}: {notice}, then {acceptance.value}"
        )
        worker.leave(
            acceptance,
            self.observations.leaving_ends.record_end,
            lambda: self._record_exit(worker),
            has_row_notice=notice != "header alone",
        )

    def _record_exit(self, worker: soak_workers.SoakWorker) -> None:
        self._leaving_engines.remove(worker)
        self.observations.leaving_ends.engine_count += 1
        self.observations.add_fault(f"exit {worker.worker_id}")
        duration_s = self._rng.uniform(*_ENGINE_RESTART_RANGE_S)
        eventlet.spawn_after(duration_s, self._restart_engine, worker)

    def _list_engines(self) -> list[soak_workers.SoakWorker]:
        return [
            worker for worker in self._workers if worker.service == "engines"
        ]

    def cut_paths(self, deadline_s: float) -> None:
        """Cuts entries from workers, once after the other, until a deadline.

        Callers, the store and other entries still reach these entries.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
        """
        while True:
            eventlet.sleep(self._rng.uniform(*_CUT_PAUSE_RANGE_S))
            duration_s = self._rng.uniform(*_CUT_DURATION_RANGE_S)
            if clock.boottime() + duration_s > deadline_s:
                return
            cut = self._cut_some_paths()
            eventlet.sleep(duration_s)
            cut.ended_s = clock.boottime()
            self._set_cuts({}, ())

    def _cut_some_paths(self) -> soak_cuts.CutPaths:
        """Cuts some entries from all workers or from those of one service."""
        entry_count = self._rng.choice((1, 2))
        hosts = self._rng.sample(list(self._path_ports), entry_count)
        services = self._rng.choice(_CUT_SERVICES)
        way = self._rng.choice(list(soak_proxy.Cut))
        self._set_cuts(
            {self._path_ports[host]: way for host in hosts}, services
        )
        kinds = [
            kind for service in services for kind in _KINDS_BY_SERVICE[service]
        ]
        description = (
            f"{', '.join(hosts)} cut from {', '.join(services)}: {way.value}"
        )
        self.observations.add_fault(description)
        cut = soak_cuts.CutPaths(hosts, kinds, description, clock.boottime())
        self.observations.cuts.append(cut)
        return cut

    def _set_cuts(
        self, cuts: dict[int, soak_proxy.Cut], services: Collection[str]
    ) -> None:
        self._cuts, self._cut_services = cuts, services
        for worker in self._workers:
            self._apply_cuts(worker)

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
        self._mark_disturbed(soak_system.TERMINATION_TIMEOUT_S)
        eventlet.spawn_n(self._restart_entry, host, entry)

    def _terminate_entry_with_full_engines(self) -> None:
        """Stops an entry while no engine begins a run for longer than it."""
        engines = self._list_engines()
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
        """Sets a worker to draining; replaces it `RECLAIM_NOTICE_S` later."""
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
            soak_system.RECLAIM_NOTICE_S, self._remove_reclaimed_worker, worker
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
        zone = self._rng.choice(soak_system.ZONES)
        self._zone_closed_at_s[zone] = clock.boottime()
        self._store.put_row("op", f"evacuate/{zone}", {"zone": zone})
        eventlet.spawn_after(self._rng.uniform(3.0, 9.0), self._open_zone, zone)

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


# Faults to choose from; those listed twice are chosen twice as often.
_FAULTS = (
    SoakFaults._kill_entry,
    SoakFaults._terminate_entry,
    SoakFaults._terminate_entry_with_full_engines,
    SoakFaults._write_odd_entry,
    SoakFaults._suspend_entry,
    SoakFaults._disturb_store_connections,
    SoakFaults._make_store_fail,
    SoakFaults._make_worker_misbehave,
    SoakFaults._make_worker_misbehave,
    SoakFaults._disturb_worker_connections,
    SoakFaults._disturb_worker_connections,
    SoakFaults._reclaim_worker,
    SoakFaults._reclaim_worker,
    SoakFaults._crash_worker,
    SoakFaults._close_zone,
    SoakFaults._revoke_key,
    SoakFaults._resend_configuration,
)
