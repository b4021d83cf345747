"""Moves the runs of an engine that leaves, one after another.

Copies share the engine's link. Were all runs copied at once, all would be
complete only when the last one is, often after the engine has gone. So the
processes take turns, in an order that each of them computes alike, and each
moves one run at a time: a copy while the run goes on, another one of what was
generated meanwhile, and a last one that stops the run.
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
from dandelionlead.gateway import attempt
from dandelionlead.gateway import dialect
from dandelionlead.gateway import runs
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import placement
from dandelionlead.routing import view

# A copy that took no longer leaves little for the last one to bring.
QUICK_COPY_S = 0.06
# After this time from the notice a run is stopped and moved as it is, since
# the engine may be gone soon.
LATEST_STOP_S = 1.4
COPY_LIMIT_S = 2.0
# Longest wait for the word that the last copy is complete.
STOP_LIMIT_S = 1.0
# A process waits for its turn no longer than this for each run before its
# own, and no longer than the second in all.
TURN_S = 0.35
LONGEST_TURN_S = 1.0
# A run that may be resumed is mostly short; it is moved if it still runs then.
SHORT_RUN_WAIT_S = 0.7
_PAUSE_S = 0.02
_FREE_LIMIT_S = 0.5
# A copy between zones takes the link for twice as long.
_FAR_COST = 0.4


class Evacuation:
    """The runs of this process on one engine that leaves."""

    def __init__(
        self,
        source: model.Endpoint,
        sender: attempt.Sender,
        words: dialect.Dialect,
        places: placement.Placement,
        known: view.View,
        log: events.Log,
        ended: Callable[[Evacuation], None],
    ) -> None:
        """Starts without runs.

        Args:
            source: The engine.
            sender: Sends control requests.
            words: Their form.
            places: Chooses the engines that take the runs.
            known: Tells which engines leave.
            log: Gets a line for each step that fails, and for each stop.
            ended: Called when no run is left.
        """
        self.source = source
        self.started_s = clock.boottime()
        self._sender = sender
        self._words = words
        self._places = places
        self._view = known
        self._log = log
        self._ended = ended
        self._queue: collections.deque[runs.Run] = collections.deque()
        self._busy = False

    def add(self, run: runs.Run) -> None:
        """Puts a run in the queue; those that cannot start anew first."""
        run.moving = True
        if run.admitted.route.repeatable:
            self._queue.append(run)
        else:
            self._queue.appendleft(run)
        if not self._busy:
            self._busy = True
            eventlet.spawn_n(self._work)

    def free(self, handle: str) -> None:
        """Frees a copy that will not be used."""
        eventlet.spawn_n(self._free, handle)

    def _work(self) -> None:
        self._await_turn()
        while self._queue:
            run = self._queue.popleft()
            if self._still(run) and run.admitted.route.repeatable:
                left_s = SHORT_RUN_WAIT_S - self._since_s()
                eventlet.sleep(max(0.0, left_s))
            if not self._still(run):
                continue
            if self._move(run):
                self._places.loads.save(run.ticket)
            elif self._still(run):
                self._queue.append(run)
                eventlet.sleep(_PAUSE_S)
        self._busy = False
        self._ended(self)

    def _await_turn(self) -> None:
        """Waits until the processes before this one have moved their runs."""
        first = self._runs_before()
        limit_s = min(LONGEST_TURN_S, first * TURN_S)
        while self._since_s() < limit_s and self._runs_before():
            eventlet.sleep(_PAUSE_S)

    def _runs_before(self) -> int:
        """Returns the runs that other processes move first."""
        own = self._places.name
        waiting = self._places.loads.unsaved_of_peers(
            self.source.endpoint_id, clock.boottime()
        )
        ranked = hashing.rank(self.source.endpoint_id, [own, *waiting])
        before = ranked[: ranked.index(own)]
        return sum(waiting[peer] for peer in before)

    def _since_s(self) -> float:
        return clock.boottime() - self.started_s

    def _still(self, run: runs.Run) -> bool:
        return run.active and run.endpoint is self.source

    def _move(self, run: runs.Run) -> bool:
        """Moves one run; returns whether it need not be tried again."""
        refused: set[str] = {self.source.endpoint_id}
        copies = 0
        while self._still(run):
            if run.copy is not None and self._since_s() > LATEST_STOP_S:
                break
            if not self._aim(run, refused):
                return False
            took_s = self._copy(run, refused)
            copies += took_s is not None
            if took_s is not None and took_s <= QUICK_COPY_S:
                break
        if self._still(run):
            self._stop(run, copies)
        return True

    def _aim(self, run: runs.Run, refused: set[str]) -> bool:
        """Sets the engine that takes the run; returns whether there is one."""
        present = run.copy_at
        if present is not None:
            unusable = self._view.is_leaving(
                present.endpoint_id
            ) or not self._view.takes_work(present, clock.boottime())
            if not unusable and present.endpoint_id not in refused:
                return True
            self._drop(run)
        found = self._places.choose(
            run.admitted.service,
            run.tokens,
            clock.boottime(),
            excluded=refused,
            fill=1.0,
            near=self.source.availability_zone,
            far_cost=_FAR_COST,
        )
        if found is None:
            return False
        run.copy_at = found
        run.copy_ticket = self._places.loads.begin(
            found.endpoint_id, run.tokens, 0
        )
        return True

    def _drop(self, run: runs.Run) -> None:
        copy = run.copy
        run.forget_copy(self._places.loads)
        if copy is not None:
            self.free(copy.handle)

    def _copy(self, run: runs.Run, refused: set[str]) -> float | None:
        """Copies once; returns the seconds that it took, None if it failed."""
        target = run.copy_at
        started_s = clock.boottime()
        message = self._words.copy_run(
            self.source, target, run.request_id, stop=False
        )
        result = self._sender.control(self.source, message, COPY_LIMIT_S)
        if not self._still(run):
            took_ms = int((clock.boottime() - started_s) * 1e3)
            self._say(run, "copy_too_late", target, took_ms=took_ms)
            return None
        if isinstance(result, errors.Failure):
            self._say(run, "copy_failed", target, reason=result.reason)
            eventlet.sleep(_PAUSE_S)
            return None
        status, body = result
        copy = self._words.read_copy(body)
        if status == 200 and copy is not None:
            run.copy = copy
            took_s = clock.boottime() - started_s
            self._say(
                run,
                "run_copied",
                target,
                took_ms=int(took_s * 1e3),
                tokens=run.tokens,
                far=target.availability_zone != self.source.availability_zone,
            )
            return took_s
        self._say(run, "copy_refused", target, status=status)
        if status == 503:
            refused.add(target.endpoint_id)
            run.forget_copy(self._places.loads)
        eventlet.sleep(_PAUSE_S)
        return None

    def _stop(self, run: runs.Run, copies: int) -> None:
        """Asks for the last copy, which stops the run."""
        stopped = run.stopped = eventlet.event.Event()
        asked_s = clock.boottime()
        target = run.copy_at
        message = self._words.copy_run(
            self.source, target, run.request_id, stop=True
        )
        result = self._sender.control(self.source, message, STOP_LIMIT_S)
        status = 0
        if not isinstance(result, errors.Failure):
            status, body = result
            copy = self._words.read_copy(body)
            if copy is not None:
                self._take(run, copy)
        stop_s = clock.boottime() - asked_s
        self._say(
            run,
            "run_stopped",
            target,
            status=status,
            copies=copies,
            stop_ms=int(stop_s * 1e3),
            since_notice_ms=int(self._since_s() * 1e3),
        )
        stopped.send(status)

    def _take(self, run: runs.Run, copy: calls.Copy) -> None:
        if self._still(run):
            run.copy = copy

    def _free(self, handle: str) -> None:
        message = self._words.free_copy(self.source, handle)
        result = self._sender.control(self.source, message, _FREE_LIMIT_S)
        if isinstance(result, errors.Failure):
            self._log.event(
                "copy_not_freed",
                endpoint=self.source.endpoint_id,
                reason=result.reason,
            )

    def _say(
        self,
        run: runs.Run,
        event: str,
        target: model.Endpoint | None,
        **fields: object,
    ) -> None:
        self._log.event(
            event,
            req=run.request_id,
            source=self.source.endpoint_id,
            target=target.endpoint_id if target else "",
            **fields,
        )
