"""Supervises the runs of a process: backups, and moves after notices."""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.gateway import attempt
from dandelionlead.gateway import dialect
from dandelionlead.gateway import evacuation
from dandelionlead.gateway import runs
from dandelionlead.routing import model
from dandelionlead.routing import placement
from dandelionlead.routing import view

# A copy that grows in another zone takes twice the links' time.
_FAR_COST = 0.2


class RunSupervisor:
    """Runs by engine, and the evacuations under way."""

    def __init__(
        self,
        sender: attempt.Sender,
        words: dialect.Dialect,
        places: placement.Placement,
        known: view.View,
        log: events.Log,
    ) -> None:
        self._sender = sender
        self._words = words
        self._places = places
        self._view = known
        self._log = log
        self._runs: dict[str, set[runs.Run]] = {}
        self._evacuations: dict[str, evacuation.Evacuation] = {}
        known.notices.append(self.notice)
        known.closings.append(self.zone_closed)

    def add(self, run: runs.Run) -> None:
        """Takes over a run; moves it at once if its engine leaves."""
        self._runs.setdefault(run.endpoint.endpoint_id, set()).add(run)
        backup = run.backup_at
        if backup is not None and not self._is_usable(backup):
            self.drop_backup(run)
        self._expose(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._move(run)

    def remove(self, run: runs.Run) -> None:
        """Gives up a run at its present engine."""
        found = self._runs.get(run.endpoint.endpoint_id)
        if found is not None:
            found.discard(run)
            if not found:
                del self._runs[run.endpoint.endpoint_id]

    def notice(self, endpoint_id: str) -> None:
        """Moves all runs of an engine that leaves, and forgets its copies."""
        found = list(self._runs.get(endpoint_id, ()))
        self._log.event(
            "endpoint_leaves",
            endpoint=endpoint_id,
            runs=len(found),
            backed_up=sum(run.backup_at is not None for run in found),
        )
        for run in found:
            self._move(run)
        self._lose_backups(lambda backup: backup.endpoint_id == endpoint_id)

    def zone_closed(self, zone: str) -> None:
        """Forgets backups in a zone that may get no more requests."""
        self._lose_backups(lambda backup: backup.availability_zone == zone)

    def may_go_on_at(self, endpoint: model.Endpoint) -> bool:
        """Whether a run may be sent to an engine that has its memory."""
        return self._view.takes_work(endpoint, clock.boottime())

    def back_up(self, run: runs.Run) -> None:
        """Chooses an engine that keeps a copy of a run as it grows."""
        engine = run.admitted.service.engine
        policy = self._places.policy
        if engine is None or not engine.backups or not policy.backups:
            return
        if run.admitted.route.repeatable:
            return
        now_s = clock.boottime()
        service = run.admitted.service
        if self._places.mean_fill(service, now_s) > policy.backup_mean_fill:
            return
        unsaved = self._places.loads.unsaved(run.endpoint.endpoint_id, now_s)
        crowded = unsaved >= policy.movable_runs
        found = self._places.choose(
            service,
            run.tokens,
            now_s,
            excluded={run.endpoint.endpoint_id},
            fill=policy.crowded_backup_fill if crowded else policy.backup_fill,
            near=run.endpoint.availability_zone,
            far_cost=_FAR_COST,
        )
        if found is None:
            return
        run.backup_at = found
        run.backup_ticket = self._places.loads.begin(
            found.endpoint_id, run.tokens, 0, runs=0
        )

    def drop_backup(self, run: runs.Run) -> None:
        """Forgets the backup of a run."""
        run.backup_at = None
        if run.backup_ticket is not None:
            self._places.loads.end(run.backup_ticket)
            run.backup_ticket = None

    def drop_copy(self, run: runs.Run) -> None:
        """Forgets the copy of a run that will not be used, and frees it."""
        copy = run.copy
        run.forget_copy(self._places.loads)
        found = self._evacuations.get(run.endpoint.endpoint_id)
        if copy is not None and found is not None:
            found.free(copy.handle)

    def _is_usable(self, backup: model.Endpoint) -> bool:
        """Whether an engine can take a run over when it comes to that."""
        if self._view.is_leaving(backup.endpoint_id):
            return False
        return backup.availability_zone not in self._view.closed_zones

    def _expose(self, run: runs.Run) -> None:
        """Tells the peers of a run that would be lost with its engine."""
        if run.backup_at is None and not run.admitted.route.repeatable:
            self._places.loads.expose(run.ticket)

    def _lose_backups(self, lost: Callable[[model.Endpoint], bool]) -> None:
        """Forgets the backups at engines for which `lost` holds."""
        for found in list(self._runs.values()):
            for run in found:
                if run.backup_at is not None and lost(run.backup_at):
                    self._lose_backup(run)

    def _lose_backup(self, run: runs.Run) -> None:
        self.drop_backup(run)
        self._expose(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._move(run)

    def _move(self, run: runs.Run) -> None:
        if run.moving or not run.active or run.backup_at is not None:
            return
        engine = run.admitted.service.engine
        if engine is not None and engine.moves and self._places.policy.moves:
            self._evacuation(run).add(run)

    def _evacuation(self, run: runs.Run) -> evacuation.Evacuation:
        endpoint_id = run.endpoint.endpoint_id
        found = self._evacuations.get(endpoint_id)
        if found is None:
            found = evacuation.Evacuation(
                run.endpoint,
                self._sender,
                self._words,
                self._places,
                self._view,
                self._log,
                self._ended,
            )
            self._evacuations[endpoint_id] = found
        return found

    def _ended(self, done: evacuation.Evacuation) -> None:
        """Forgets an evacuation once its engine can have no more runs."""
        eventlet.spawn_after(
            evacuation.STOP_LIMIT_S, self._forget, done.source.endpoint_id
        )

    def _forget(self, endpoint_id: str) -> None:
        if endpoint_id not in self._runs:
            self._evacuations.pop(endpoint_id, None)
