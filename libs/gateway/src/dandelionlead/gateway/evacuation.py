"""Migrates the runs of a leaving engine to other engines, one at a time.

A migration follows the pre-copy scheme of live migration: it copies the KV
cache while the run continues, copies what was generated meanwhile, and then
requests a final copy that stops the run. The relay resumes the run from the
final copy.

All copies share the network link of the leaving engine. If all runs were copied
at once, all copies would complete at about the same time, often after the
engine has stopped. Therefore the processes take turns, in an order that every
process computes in the same way, and each migrates one run at a time.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import hashing
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import run_stopping
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# The final copy is requested after a copy that took no longer than this, since
# little is left to transfer then.
FINAL_COPY_THRESHOLD_S = 0.06
# Once this time has passed since the leaving notice, a run that has a copy is
# stopped with the final copy whatever is left to transfer, since the engine may
# stop soon.
FORCED_STOP_DELAY_S = 1.4
COPY_TIMEOUT_S = 2.0
# A process waits for its turn at most this long for each unsaved run of the
# processes ranked before it, and at most MAX_TURN_WAIT_S in total.
TURN_WAIT_PER_RUN_S = 0.35
MAX_TURN_WAIT_S = 1.0
# Repeatable runs are mostly short. They get this time from the leaving notice
# to end before they are migrated.
REPEATABLE_RUN_GRACE_S = 0.7
_RETRY_PAUSE_S = 0.02
# Added to the scheduler's cost of a target in another availability zone, since
# a copy to it occupies the link for twice as long.
_OTHER_ZONE_COST = 0.4


class Evacuation:
    """Migrates this process's runs away from one leaving engine.

    Attributes:
        source: The leaving engine.
        created_s: Instant at which the evacuation was created, in seconds. The
            leaving notice counts as received then.
    """

    def __init__(
        self,
        source: model.Endpoint,
        sender: sending.Sender,
        codec: platform_codec.PlatformCodec,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
        run_stopper: run_stopping.RunStopper,
        on_queue_empty: Callable[[Evacuation], None],
    ) -> None:
        """Creates an evacuation without runs.

        Args:
            source: The leaving engine.
            sender: Sends control requests.
            codec: Encodes control requests for the platform.
            scheduler: Chooses the engines that receive the runs.
            view: Holds which engines are leaving.
            log: Receives one line for each copy of a run.
            run_stopper: Stops runs, and frees copies that are not used.
            on_queue_empty: Called with the evacuation whenever its queue has
                become empty.
        """
        self.source = source
        self.created_s = clock.boottime()
        self._sender = sender
        self._codec = codec
        self._scheduler = scheduler
        self._view = view
        self._log = log
        self._run_stopper = run_stopper
        self._on_queue_empty = on_queue_empty
        self._queue: collections.deque[runs.Run] = collections.deque()
        self._is_worker_running = False

    def enqueue(self, run: runs.Run) -> None:
        """Queues a run for migration; puts non-repeatable runs first."""
        run.is_migration_queued = True
        if run.admitted.route.is_repeatable:
            self._queue.append(run)
        else:
            self._queue.appendleft(run)
        if not self._is_worker_running:
            self._is_worker_running = True
            eventlet.spawn_n(self._migrate_queued_runs)

    def _migrate_queued_runs(self) -> None:
        """Migrates the queued runs, in order, until the queue is empty."""
        self._await_turn()
        while self._queue:
            run = self._queue.popleft()
            if self._is_at_source(run) and run.admitted.route.is_repeatable:
                remaining_s = REPEATABLE_RUN_GRACE_S - self._since_notice_s()
                eventlet.sleep(max(0.0, remaining_s))
            if not self._is_at_source(run):
                continue
            if self._migrate(run):
                self._scheduler.load_tracker.mark_saved(run.reservation)
            elif self._is_at_source(run):
                self._queue.append(run)
                eventlet.sleep(_RETRY_PAUSE_S)
        self._is_worker_running = False
        self._on_queue_empty(self)

    def _await_turn(self) -> None:
        """Waits while processes ranked before this one have unsaved runs.

        The wait is limited by `TURN_WAIT_PER_RUN_S` and `MAX_TURN_WAIT_S`.
        """
        initial_count = self._count_runs_before()
        max_wait_s = min(MAX_TURN_WAIT_S, initial_count * TURN_WAIT_PER_RUN_S)
        while self._since_notice_s() < max_wait_s and self._count_runs_before():
            eventlet.sleep(_RETRY_PAUSE_S)

    def _count_runs_before(self) -> int:
        """Counts the unsaved runs of the processes ranked before this one."""
        own_name = self._scheduler.name
        unsaved_by_peer = (
            self._scheduler.load_tracker.count_unsaved_runs_by_peer(
                self.source.endpoint_id, clock.boottime()
            )
        )
        ranked = hashing.rank_candidates(
            self.source.endpoint_id, [own_name, *unsaved_by_peer]
        )
        peers_before = ranked[: ranked.index(own_name)]
        return sum(unsaved_by_peer[peer] for peer in peers_before)

    def _since_notice_s(self) -> float:
        """Returns the seconds since the leaving notice."""
        return clock.boottime() - self.created_s

    def _is_at_source(self, run: runs.Run) -> bool:
        """Returns whether a run is still active on the source engine."""
        return run.is_active and self.source.is_same_start(run.endpoint)

    def _migrate(self, run: runs.Run) -> bool:
        """Copies a run's KV cache repeatedly, then stops it with a final copy.

        Returns:
            False if no engine can receive the run now, so that the migration
            has to be retried; else True.
        """
        excluded_ids: set[str] = {self.source.endpoint_id}
        copy_count = 0
        while self._is_at_source(run):
            if (
                run.memory_copy is not None
                and self._since_notice_s() > FORCED_STOP_DELAY_S
            ):
                break
            if not self._set_target(run, excluded_ids):
                return False
            took_s = self._copy(run, excluded_ids)
            copy_count += took_s is not None
            if took_s is not None and took_s <= FINAL_COPY_THRESHOLD_S:
                break
        if self._is_at_source(run):
            self._stop(run, copy_count)
        return True

    def _set_target(self, run: runs.Run, excluded_ids: set[str]) -> bool:
        """Chooses the engine that receives a run, and adds the run to its load.

        The present target is kept while it can be used.

        Args:
            run: The run.
            excluded_ids: Ids of engines that must not be chosen.

        Returns:
            Whether an engine can receive the run.
        """
        target = run.copy_target
        if target is not None:
            is_unusable = self._view.is_leaving(
                target.endpoint_id
            ) or not self._view.is_in_usable_zone(target, clock.boottime())
            if not is_unusable and target.endpoint_id not in excluded_ids:
                return True
            self._drop_copy(run)
        endpoint = self._scheduler.choose_endpoint(
            run.admitted.service,
            run.memory_tokens,
            clock.boottime(),
            excluded_ids=excluded_ids,
            max_fill=1.0,
            preferred_zone=self.source.availability_zone,
            other_zone_cost=_OTHER_ZONE_COST,
        )
        if endpoint is None:
            return False
        run.copy_target = endpoint
        run.copy_reservation = self._scheduler.load_tracker.reserve(
            endpoint.endpoint_id, run.memory_tokens, 0
        )
        return True

    def _drop_copy(self, run: runs.Run) -> None:
        """Removes a run's copy and requests that the source engine frees it."""
        copy = run.memory_copy
        run.clear_copy(self._scheduler.load_tracker)
        if copy is not None:
            self._run_stopper.free_copy(self.source, copy.handle)

    def _copy(self, run: runs.Run, excluded_ids: set[str]) -> float | None:
        """Copies a run's KV cache once to its target while the run continues.

        Args:
            run: The run; its `memory_copy` is set if the copy succeeds.
            excluded_ids: The id of the target is added if the response has
                status 503, which means that the target has no room.

        Returns:
            Duration in seconds; None if the copy failed, or if the run ended,
            left the source engine or lost its target before the response
            arrived.
        """
        target = run.copy_target
        started_s = clock.boottime()
        request = self._codec.encode_copy_request(
            self.source, target, run.request_id, stops_source=False
        )
        result = self._sender.send_control_request(
            self.source, request, COPY_TIMEOUT_S
        )
        if not self._is_at_source(run):
            took_ms = int((clock.boottime() - started_s) * 1e3)
            self._log_event(run, "copy_too_late", target, took_ms=took_ms)
            return None
        if isinstance(result, errors.Failure):
            self._log_event(run, "copy_failed", target, reason=result.reason)
            eventlet.sleep(_RETRY_PAUSE_S)
            return None
        status, body = result
        copy = self._codec.decode_copy_response(body)
        if run.copy_target is not target:
            self._log_event(run, "copy_given_up", target, status=status)
            if copy is not None:
                self._run_stopper.free_copy(self.source, copy.handle)
            return None
        if status == 200 and copy is not None:
            run.memory_copy = copy
            took_s = clock.boottime() - started_s
            self._log_event(
                run,
                "run_copied",
                target,
                took_ms=int(took_s * 1e3),
                tokens=run.memory_tokens,
                far=target.availability_zone != self.source.availability_zone,
            )
            return took_s
        self._log_event(run, "copy_refused", target, status=status)
        if status == 503:
            excluded_ids.add(target.endpoint_id)
            run.clear_copy(self._scheduler.load_tracker)
        eventlet.sleep(_RETRY_PAUSE_S)
        return None

    def _stop(self, run: runs.Run, copy_count: int) -> None:
        """Stops a run with its final copy; the relay then resumes it.

        Args:
            run: The run.
            copy_count: Number of copies made before, for the log.
        """
        self._run_stopper.stop(
            run,
            run.copy_target,
            copies=copy_count,
            since_notice_ms=int(self._since_notice_s() * 1e3),
        )

    def _log_event(
        self,
        run: runs.Run,
        event: str,
        target: model.Endpoint | None,
        **fields: object,
    ) -> None:
        """Logs an event of a run's migration from the source to a target."""
        self._log.event(
            event,
            req=run.request_id,
            source=self.source.endpoint_id,
            target=target.endpoint_id if target else "",
            **fields,
        )
