"""Migrates the runs of a terminating engine to other engines, one at a time.

A migration follows the pre-copy scheme of live migration: it copies the KV
cache while the run continues, copies what was generated meanwhile, and then
requests a final copy that stops the run. The relay resumes the run from it.

All copies share the network link of the terminating engine. If all runs were
copied at once, all copies would be complete only with the last one, often
after the engine has ended. Therefore the processes take turns, in an order
that each of them computes alike, and each migrates one run at a time.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import eventlet
import eventlet.event

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import hashing
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# A copy that took no longer than this leaves little for the final copy to
# transfer.
FINAL_COPY_THRESHOLD_S = 0.06
# After this time from the termination notice, a run that has a copy is stopped
# and migrated without further copies, since the engine may end soon.
LATEST_STOP_S = 1.4
COPY_TIMEOUT_S = 2.0
# Longest wait for the response that says that the final copy is complete.
FINAL_COPY_TIMEOUT_S = 1.0
# A process waits for its turn at most this long for each run of the processes
# before it, and at most MAX_TURN_WAIT_S in total.
TURN_WAIT_PER_RUN_S = 0.35
MAX_TURN_WAIT_S = 1.0
# Repeatable runs are mostly short. They get this time from the termination
# notice to end before they are migrated.
REPEATABLE_RUN_GRACE_S = 0.7
_RETRY_PAUSE_S = 0.02
_FREE_LIMIT_S = 0.5
# Placement cost of a target in another availability zone, where a copy
# occupies the link for twice as long.
_OTHER_ZONE_COST = 0.4


class Evacuation:
    """Migrates this process's runs away from one terminating engine.

    Attributes:
        source: The terminating engine.
        notice_s: Instant of the termination notice, in seconds.
    """

    def __init__(
        self,
        source: model.Endpoint,
        sender: sending.Sender,
        codec: platform_codec.PlatformCodec,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
        on_queue_empty: Callable[[Evacuation], None],
    ) -> None:
        """Creates an evacuation without runs.

        Args:
            source: The terminating engine.
            sender: Sends control requests.
            codec: Translates control requests to the platform's form.
            scheduler: Chooses the engines that receive the runs.
            view: Holds which engines terminate.
            log: Receives one line for each copy and each stop of a run.
            on_queue_empty: Called each time that the queue has become empty.
        """
        self.source = source
        self.notice_s = clock.boottime()
        self._sender = sender
        self._dialect = codec
        self._placement = scheduler
        self._view = view
        self._log = log
        self._on_queue_empty = on_queue_empty
        self._queue: collections.deque[runs.Run] = collections.deque()
        self._is_working = False

    def enqueue(self, run: runs.Run) -> None:
        """Queues a run; runs that cannot start anew come first."""
        run.is_migration_queued = True
        if run.admitted.route.is_repeatable:
            self._queue.append(run)
        else:
            self._queue.appendleft(run)
        if not self._is_working:
            self._is_working = True
            eventlet.spawn_n(self._migrate_queued_runs)

    def free_copy(self, handle: str) -> None:
        """Asks the engine in the background to free an unused copy.

        Args:
            handle: Names the copy at the engine.
        """
        eventlet.spawn_n(self._free_copy, handle)

    def _migrate_queued_runs(self) -> None:
        """Migrates the queued runs until none is left."""
        self._await_turn()
        while self._queue:
            run = self._queue.popleft()
            if self._is_at_source(run) and run.admitted.route.is_repeatable:
                left_s = REPEATABLE_RUN_GRACE_S - self._since_notice_s()
                eventlet.sleep(max(0.0, left_s))
            if not self._is_at_source(run):
                continue
            if self._migrate(run):
                self._placement.load_tracker.mark_saved(run.reservation)
            elif self._is_at_source(run):
                self._queue.append(run)
                eventlet.sleep(_RETRY_PAUSE_S)
        self._is_working = False
        self._on_queue_empty(self)

    def _await_turn(self) -> None:
        """Waits until the processes before this one have migrated their runs.

        The wait is limited by `TURN_WAIT_PER_RUN_S` and `MAX_TURN_WAIT_S`.
        """
        initial_count = self._count_runs_before()
        limit_s = min(MAX_TURN_WAIT_S, initial_count * TURN_WAIT_PER_RUN_S)
        while self._since_notice_s() < limit_s and self._count_runs_before():
            eventlet.sleep(_RETRY_PAUSE_S)

    def _count_runs_before(self) -> int:
        """Returns the number of runs that other processes migrate first."""
        own_name = self._placement.name
        unsaved_by_peer = (
            self._placement.load_tracker.count_unsaved_runs_by_peer(
                self.source.endpoint_id, clock.boottime()
            )
        )
        ranked = hashing.rank_candidates(
            self.source.endpoint_id, [own_name, *unsaved_by_peer]
        )
        peers_before = ranked[: ranked.index(own_name)]
        return sum(unsaved_by_peer[peer] for peer in peers_before)

    def _since_notice_s(self) -> float:
        """Returns the seconds since the termination notice."""
        return clock.boottime() - self.notice_s

    def _is_at_source(self, run: runs.Run) -> bool:
        """Returns whether a run has not ended and is at the source engine."""
        return run.is_active and run.endpoint is self.source

    def _migrate(self, run: runs.Run) -> bool:
        """Copies a run's KV cache repeatedly, then stops the run.

        Returns:
            False if no engine can receive the run now, so that the migration
            has to be tried again.
        """
        rejecting_ids: set[str] = {self.source.endpoint_id}
        copies = 0
        while self._is_at_source(run):
            if (
                run.memory_copy is not None
                and self._since_notice_s() > LATEST_STOP_S
            ):
                break
            if not self._set_target(run, rejecting_ids):
                return False
            took_s = self._copy(run, rejecting_ids)
            copies += took_s is not None
            if took_s is not None and took_s <= FINAL_COPY_THRESHOLD_S:
                break
        if self._is_at_source(run):
            self._stop(run, copies)
        return True

    def _set_target(self, run: runs.Run, rejecting_ids: set[str]) -> bool:
        """Sets the engine that receives a run, and adds the run to its load.

        The present target is kept while it can receive work.

        Args:
            run: The run.
            rejecting_ids: Ids of engines that must not be chosen.

        Returns:
            Whether an engine can receive the run.
        """
        target = run.copy_target
        if target is not None:
            is_unusable = self._view.is_leaving(
                target.endpoint_id
            ) or not self._view.is_zone_usable(target, clock.boottime())
            if not is_unusable and target.endpoint_id not in rejecting_ids:
                return True
            self._drop_copy(run)
        endpoint = self._placement.choose_endpoint(
            run.admitted.service,
            run.memory_tokens,
            clock.boottime(),
            excluded=rejecting_ids,
            max_fill=1.0,
            preferred_zone=self.source.availability_zone,
            other_zone_cost=_OTHER_ZONE_COST,
        )
        if endpoint is None:
            return False
        run.copy_target = endpoint
        run.copy_reservation = self._placement.load_tracker.reserve(
            endpoint.endpoint_id, run.memory_tokens, 0
        )
        return True

    def _drop_copy(self, run: runs.Run) -> None:
        """Removes a run's copy and frees it at the engine."""
        copy = run.memory_copy
        run.drop_copy(self._placement.load_tracker)
        if copy is not None:
            self.free_copy(copy.handle)

    def _copy(self, run: runs.Run, rejecting_ids: set[str]) -> float | None:
        """Copies a run's KV cache once to its target while the run continues.

        Args:
            run: The run; gets the copy.
            rejecting_ids: Gets the id of the target if that answers with
                status 503, which means that it has no room.

        Returns:
            Duration in seconds; None if the copy failed or came too late.
        """
        target = run.copy_target
        started_s = clock.boottime()
        message = self._dialect.encode_copy_request(
            self.source, target, run.request_id, stops_source=False
        )
        result = self._sender.send_control_request(
            self.source, message, COPY_TIMEOUT_S
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
        copy = self._dialect.decode_copy_response(body)
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
            rejecting_ids.add(target.endpoint_id)
            run.drop_copy(self._placement.load_tracker)
        eventlet.sleep(_RETRY_PAUSE_S)
        return None

    def _stop(self, run: runs.Run, copies: int) -> None:
        """Requests the final copy of a run, which stops the run.

        Sets `run.stop_event`, on which the relay waits before it resumes the
        run.

        Args:
            run: The run.
            copies: Number of copies made before, for the log.
        """
        stopped = run.stop_event = eventlet.event.Event()
        requested_s = clock.boottime()
        target = run.copy_target
        message = self._dialect.encode_copy_request(
            self.source, target, run.request_id, stops_source=True
        )
        result = self._sender.send_control_request(
            self.source, message, FINAL_COPY_TIMEOUT_S
        )
        status = 0
        if not isinstance(result, errors.Failure):
            status, body = result
            copy = self._dialect.decode_copy_response(body)
            if copy is not None:
                self._set_copy(run, copy)
        stop_s = clock.boottime() - requested_s
        self._log_event(
            run,
            "run_stopped",
            target,
            status=status,
            copies=copies,
            stop_ms=int(stop_s * 1e3),
            since_notice_ms=int(self._since_notice_s() * 1e3),
        )
        stopped.send(status)

    def _set_copy(self, run: runs.Run, copy: calls.MemoryCopy) -> None:
        """Sets a run's newest copy unless the run ended or was resumed."""
        if self._is_at_source(run):
            run.memory_copy = copy

    def _free_copy(self, handle: str) -> None:
        """Asks the source engine to free a copy; logs a failure."""
        message = self._dialect.encode_free_copy_request(self.source, handle)
        result = self._sender.send_control_request(
            self.source, message, _FREE_LIMIT_S
        )
        if isinstance(result, errors.Failure):
            self._log.event(
                "copy_not_freed",
                endpoint=self.source.endpoint_id,
                reason=result.reason,
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
