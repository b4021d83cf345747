"""Tracks this process's runs, assigns their backups and starts migrations.

Non-repeatable runs get a backup, a continuously updated copy of their KV cache
on a second engine. When a leaving notice arrives for an engine, its runs
without a backup are migrated by an evacuation.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.gateway import evacuation
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import run_stopping
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# Added to the scheduler's cost of a backup in another availability zone, since
# its updates occupy the links for twice as long.
_OTHER_ZONE_COST = 0.2


class RunSupervisor:
    """Holds this process's runs by engine, and the evacuations in progress.

    Args:
        sender: Sends control requests.
        codec: Encodes control requests for the platform.
        scheduler: Chooses engines for backups and migrations.
        view: Holds which engines are leaving and which availability zones are
            closed; the supervisor adds its callbacks to the view's listeners.
        log: Receives one line for each leaving notice.

    Attributes:
        run_stopper: Stops runs, and frees copies that are not used.
    """

    def __init__(
        self,
        sender: sending.Sender,
        codec: platform_codec.PlatformCodec,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
    ) -> None:
        self._sender = sender
        self._codec = codec
        self._scheduler = scheduler
        self._view = view
        self._log = log
        self.run_stopper = run_stopping.RunStopper(
            sender, codec, scheduler, log
        )
        self._runs: dict[str, set[runs.Run]] = {}
        # Evacuations by the incarnation of their engine.
        self._evacuations: dict[str, evacuation.Evacuation] = {}
        view.leaving_listeners.append(self.handle_leaving_notice)
        view.zone_closed_listeners.append(self.handle_zone_closed)

    def register(self, run: runs.Run) -> None:
        """Registers a run at its engine.

        Drops the run's backup if the engine that holds it cannot be used any
        more. Queues the run for migration if its own engine is leaving.
        """
        self._runs.setdefault(run.endpoint.endpoint_id, set()).add(run)
        backup_engine = run.backup_engine
        if backup_engine is not None and not self._is_usable(backup_engine):
            self.drop_backup(run)
        self._mark_unsaved(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._queue_migration(run)

    def unregister(self, run: runs.Run) -> None:
        """Unregisters a run from its present engine."""
        engine_runs = self._runs.get(run.endpoint.endpoint_id)
        if engine_runs is not None:
            engine_runs.discard(run)
            if not engine_runs:
                del self._runs[run.endpoint.endpoint_id]

    def handle_leaving_notice(self, endpoint_id: str) -> None:
        """Handles a leaving notice.

        Queues the engine's runs without a backup for migration, and drops the
        backups that the engine holds.

        Args:
            endpoint_id: Id of the leaving endpoint.
        """
        engine_runs = list(self._runs.get(endpoint_id, ()))
        self._log.event(
            "endpoint_leaves",
            endpoint=endpoint_id,
            runs=len(engine_runs),
            backed_up=sum(run.backup_engine is not None for run in engine_runs),
        )
        for run in engine_runs:
            self._queue_migration(run)
        self._drop_backups_where(
            lambda backup_engine: backup_engine.endpoint_id == endpoint_id
        )

    def handle_zone_closed(self, zone: str) -> None:
        """Drops the backups in an availability zone that was closed.

        Args:
            zone: Name of the zone, which must receive no more work.
        """
        self._drop_backups_where(
            lambda backup_engine: backup_engine.availability_zone == zone
        )

    def can_resume_at(self, endpoint: model.Endpoint) -> bool:
        """Returns whether a run may resume at an engine now.

        Args:
            endpoint: An engine that holds the run's KV cache.
        """
        now_s = clock.boottime()
        return self._view.is_in_usable_zone(
            endpoint, now_s
        ) and self._scheduler.endpoint_limits.try_resume(
            endpoint.endpoint_id, now_s
        )

    def assign_backup(self, run: runs.Run) -> None:
        """Chooses the engine that keeps a backup of a run.

        Sets `run.backup_engine` and `run.backup_reservation`. Leaves them unset
        if the service or the policy allows no backups, if the run is
        repeatable, if the engines' mean fill exceeds the policy's limit, or if
        no engine has room. Engines accept backups up to `backup_fill`, or up to
        `crowded_backup_fill` if the run's engine has at least `movable_runs`
        runs without a backup.
        """
        engine = run.admitted.service.engine
        policy = self._scheduler.operator_policy
        if engine is None or not engine.supports_backups or not policy.backups:
            return
        if run.admitted.route.is_repeatable:
            return
        now_s = clock.boottime()
        service = run.admitted.service
        if (
            self._scheduler.compute_mean_fill(service, now_s)
            > policy.backup_mean_fill
        ):
            return
        unsaved_count = self._scheduler.load_tracker.count_unsaved_runs(
            run.endpoint.endpoint_id, now_s
        )
        is_crowded = unsaved_count >= policy.movable_runs
        endpoint = self._scheduler.choose_endpoint(
            service,
            run.memory_tokens,
            now_s,
            excluded_ids={run.endpoint.endpoint_id},
            max_fill=(
                policy.crowded_backup_fill if is_crowded else policy.backup_fill
            ),
            preferred_zone=run.endpoint.availability_zone,
            other_zone_cost=_OTHER_ZONE_COST,
        )
        if endpoint is None:
            return
        run.backup_engine = endpoint
        run.backup_reservation = self._scheduler.load_tracker.reserve(
            endpoint.endpoint_id, run.memory_tokens, 0, runs=0
        )

    def drop_backup(self, run: runs.Run) -> None:
        """Removes a run's backup and its share of the backup engine's load."""
        run.backup_engine = None
        if run.backup_reservation is not None:
            self._scheduler.load_tracker.release(run.backup_reservation)
            run.backup_reservation = None

    def drop_copy(self, run: runs.Run) -> None:
        """Removes a run's unused copy; requests that its source frees it."""
        copy = run.memory_copy
        run.clear_copy(self._scheduler.load_tracker)
        if copy is not None:
            self.run_stopper.free_copy(run.endpoint, copy.handle)

    def _is_usable(self, backup_engine: model.Endpoint) -> bool:
        """Returns whether an engine may keep the backups that it holds."""
        if self._view.is_leaving(backup_engine.endpoint_id):
            return False
        return backup_engine.availability_zone not in self._view.closed_zones

    def _mark_unsaved(self, run: runs.Run) -> None:
        """Marks a run as unsaved if it is lost when its engine stops.

        The peers are told the number of such runs with the loads.
        Repeatable runs and runs with a backup are not marked.
        """
        if run.backup_engine is None and not run.admitted.route.is_repeatable:
            self._scheduler.load_tracker.mark_unsaved(run.reservation)

    def _drop_backups_where(
        self, is_lost: Callable[[model.Endpoint], bool]
    ) -> None:
        """Drops the backups on engines for which `is_lost` returns true."""
        for engine_runs in list(self._runs.values()):
            for run in engine_runs:
                if run.backup_engine is not None and is_lost(run.backup_engine):
                    self._handle_lost_backup(run)

    def _handle_lost_backup(self, run: runs.Run) -> None:
        """Drops a run's backup; migrates the run if its engine is leaving."""
        self.drop_backup(run)
        self._mark_unsaved(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._queue_migration(run)

    def _queue_migration(self, run: runs.Run) -> None:
        """Queues a run for migration.

        Does nothing if the run is already queued, has ended or has a backup,
        or if its service or the policy allows no migration.
        """
        if (
            run.is_migration_queued
            or not run.is_active
            or run.backup_engine is not None
        ):
            return
        engine = run.admitted.service.engine
        if (
            engine is not None
            and engine.supports_migration
            and self._scheduler.operator_policy.moves
        ):
            self._get_or_create_evacuation(run).enqueue(run)

    def _get_or_create_evacuation(self, run: runs.Run) -> evacuation.Evacuation:
        """Returns the evacuation of a run's engine; creates it if missing."""
        incarnation = run.endpoint.incarnation
        engine_evacuation = self._evacuations.get(incarnation)
        if engine_evacuation is None:
            engine_evacuation = evacuation.Evacuation(
                run.endpoint,
                self._sender,
                self._codec,
                self._scheduler,
                self._view,
                self._log,
                self.run_stopper,
                self._schedule_removal,
            )
            self._evacuations[incarnation] = engine_evacuation
        return engine_evacuation

    def _schedule_removal(
        self, finished_evacuation: evacuation.Evacuation
    ) -> None:
        """Removes an evacuation after `run_stopping.FINAL_COPY_TIMEOUT_S`.

        By then, this process normally has no more runs on the engine.
        """
        eventlet.spawn_after(
            run_stopping.FINAL_COPY_TIMEOUT_S,
            self._remove_evacuation,
            finished_evacuation.source,
        )

    def _remove_evacuation(self, source: model.Endpoint) -> None:
        """Removes an engine's evacuation unless runs are registered there."""
        engine_runs = self._runs.get(source.endpoint_id, ())
        if not any(source.is_same_start(run.endpoint) for run in engine_runs):
            self._evacuations.pop(source.incarnation, None)
