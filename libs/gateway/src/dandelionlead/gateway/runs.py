"""Generations that are being relayed, and their move to another engine.

A run moves in steps: its memory is copied while it goes on, again and again
until a copy has little left to bring; then the last copy stops it, and the
relay continues at the other engine. All steps are control requests to the
engine that runs it.
"""

from __future__ import annotations

import eventlet
import eventlet.event

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt
from dandelionlead.gateway import calls
from dandelionlead.gateway import dialect
from dandelionlead.gateway import loads
from dandelionlead.gateway import model
from dandelionlead.gateway import placement
from dandelionlead.gateway import view

# A copy that took no longer leaves little for the last one to bring.
QUICK_COPY_S = 0.06
# After this time from the notice the run is stopped and moved as it is,
# since the engine may be gone soon.
LATEST_STOP_S = 1.5
COPY_LIMIT_S = 2.0
# Longest wait for the word that the last copy is complete.
STOP_LIMIT_S = 1.0
# Backups leave this part of an engine's memory to new requests.
BACKUP_FILL = 0.65
_PAUSE_S = 0.03
_FREE_LIMIT_S = 0.5


class Run:
    """One generation on its way to the caller.

    Attributes:
        admitted: The call.
        endpoint: The engine that runs it.
        ticket: Its share of that engine's load.
        tokens: Engine memory that it will take at its end.
        moving: Whether a move is under way.
        copy: The newest copy of its memory.
        copy_at: The engine that holds the copy.
        copy_ticket: The copy's share of that engine's load.
        stopped: Receives a `calls.Copy` or a failure once the last copy was
            asked for; None before.
        moves: Times that it has moved.
        active: Whether it has not ended.
        backup_at: The engine that keeps a growing copy of its memory.
        backup_ticket: The backup's share of that engine's load.
        sent_s: When it was sent to its first engine.
        queued_tokens: Prompt tokens that the engine had to read for it then.
    """

    __slots__ = (
        "admitted",
        "endpoint",
        "ticket",
        "tokens",
        "moving",
        "copy",
        "copy_at",
        "copy_ticket",
        "stopped",
        "moves",
        "active",
        "backup_at",
        "backup_ticket",
        "sent_s",
        "queued_tokens",
    )

    def __init__(
        self,
        admitted: calls.Admitted,
        endpoint: model.Endpoint,
        ticket: loads.Ticket,
        tokens: int,
    ) -> None:
        self.admitted = admitted
        self.endpoint = endpoint
        self.ticket = ticket
        self.tokens = tokens
        self.moving = False
        self.copy: calls.Copy | None = None
        self.copy_at: model.Endpoint | None = None
        self.copy_ticket: loads.Ticket | None = None
        self.stopped: eventlet.event.Event | None = None
        self.moves = 0
        self.active = True
        self.backup_at: model.Endpoint | None = None
        self.backup_ticket: loads.Ticket | None = None
        self.sent_s = 0.0
        self.queued_tokens = 0

    @property
    def request_id(self) -> str:
        """The id of the caller's attempt."""
        return self.admitted.call.request_id


class Mover:
    """Moves runs away from engines that leave."""

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
        self._runs: dict[str, set[Run]] = {}
        known.notices.append(self.notice)

    def add(self, run: Run) -> None:
        """Takes a run into care; moves it at once if its engine leaves."""
        self._runs.setdefault(run.endpoint.endpoint_id, set()).add(run)
        backup = run.backup_at
        if backup is not None and self._view.is_leaving(backup.endpoint_id):
            self.drop_backup(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._begin(run)

    def remove(self, run: Run) -> None:
        """Ends the care for a run at its present engine."""
        found = self._runs.get(run.endpoint.endpoint_id)
        if found is not None:
            found.discard(run)
            if not found:
                del self._runs[run.endpoint.endpoint_id]

    def engines(self) -> list[str]:
        """Returns the ids of engines that have runs of this process."""
        return list(self._runs)

    def count(self) -> int:
        """Returns the number of runs."""
        return sum(len(found) for found in self._runs.values())

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
            self._begin(run)
        for runs in list(self._runs.values()):
            for run in runs:
                self._lose_backup(run, endpoint_id)

    def back_up(self, run: Run) -> None:
        """Chooses an engine that keeps a copy of a run as it grows."""
        engine = run.admitted.service.engine
        if engine is None or not engine.backups:
            return
        if run.admitted.route.repeatable:
            return
        found = self._places.choose(
            run.admitted.service,
            run.tokens,
            clock.boottime(),
            excluded={run.endpoint.endpoint_id},
            fill=BACKUP_FILL,
        )
        if found is None:
            return
        run.backup_at = found
        run.backup_ticket = self._places.loads.begin(
            found.endpoint_id, run.tokens, 0, runs=0
        )

    def drop_backup(self, run: Run) -> None:
        """Forgets the backup of a run."""
        run.backup_at = None
        if run.backup_ticket is not None:
            self._places.loads.end(run.backup_ticket)
            run.backup_ticket = None

    def drop_copy(self, run: Run, *, free: bool) -> None:
        """Forgets the copy of a run; `free` asks the source to free it."""
        copy, run.copy = run.copy, None
        run.copy_at = None
        if run.copy_ticket is not None:
            self._places.loads.end(run.copy_ticket)
            run.copy_ticket = None
        if copy is not None and free:
            eventlet.spawn_n(self._free, run.endpoint, copy.handle)

    def _lose_backup(self, run: Run, endpoint_id: str) -> None:
        backup = run.backup_at
        if backup is None or backup.endpoint_id != endpoint_id:
            return
        self.drop_backup(run)
        if self._view.is_leaving(run.endpoint.endpoint_id):
            self._begin(run)

    def _begin(self, run: Run) -> None:
        engine = run.admitted.service.engine
        if run.moving or not run.active or engine is None or not engine.moves:
            return
        if run.backup_at is not None:
            return
        run.moving = True
        eventlet.spawn_n(self._move, run, run.endpoint)

    def _move(self, run: Run, source: model.Endpoint) -> None:
        started_s = clock.boottime()
        refused: set[str] = {source.endpoint_id}
        copies = 0
        while self._still(run, source):
            since_s = clock.boottime() - started_s
            if run.copy is not None and since_s > LATEST_STOP_S:
                break
            if not self._aim(run, refused):
                if since_s > LATEST_STOP_S:
                    break
                refused = {source.endpoint_id}
                eventlet.sleep(_PAUSE_S)
                continue
            took_s = self._copy(run, source, refused)
            copies += took_s is not None
            if took_s is not None and took_s <= QUICK_COPY_S:
                break
        if self._still(run, source) and run.copy is not None:
            self._stop(run, source, started_s, copies)
        elif run.endpoint is source:
            run.moving = False

    def _still(self, run: Run, source: model.Endpoint) -> bool:
        return run.active and run.endpoint is source

    def _aim(self, run: Run, refused: set[str]) -> bool:
        """Sets the engine that takes the run; returns whether there is one."""
        present = run.copy_at
        if present is not None:
            unusable = self._view.is_leaving(present.endpoint_id)
            if not unusable and present.endpoint_id not in refused:
                return True
            self.drop_copy(run, free=True)
        found = self._places.choose(
            run.admitted.service,
            run.tokens,
            clock.boottime(),
            excluded=refused,
            fill=1.0,
            near=run.endpoint.availability_zone,
        )
        if found is None:
            return False
        run.copy_at = found
        run.copy_ticket = self._places.loads.begin(
            found.endpoint_id, run.tokens, 0
        )
        return True

    def _copy(
        self, run: Run, source: model.Endpoint, refused: set[str]
    ) -> float | None:
        """Copies once; returns the seconds that it took, None if it failed."""
        target = run.copy_at
        started_s = clock.boottime()
        message = self._words.copy_run(
            source, target, run.request_id, stop=False
        )
        result = self._sender.control(source, message, COPY_LIMIT_S)
        took_s = clock.boottime() - started_s
        if not self._still(run, source):
            return None
        if isinstance(result, errors.Failure):
            self._say(run, "copy_failed", target, reason=result.reason)
            eventlet.sleep(_PAUSE_S)
            return None
        status, body = result
        copy = self._words.read_copy(body)
        if status == 200 and copy is not None:
            run.copy = copy
            return took_s
        self._say(run, "copy_refused", target, status=status)
        if status == 503:
            refused.add(target.endpoint_id)
            self.drop_copy(run, free=False)
        eventlet.sleep(_PAUSE_S)
        return None

    def _stop(
        self, run: Run, source: model.Endpoint, started_s: float, copies: int
    ) -> None:
        """Asks for the last copy, which stops the run."""
        run.stopped = eventlet.event.Event()
        stopped = run.stopped
        asked_s = clock.boottime()
        target = run.copy_at
        message = self._words.copy_run(
            source, target, run.request_id, stop=True
        )
        result = self._sender.control(source, message, STOP_LIMIT_S)
        now_s = clock.boottime()
        status = 0
        if not isinstance(result, errors.Failure):
            status, body = result
            copy = self._words.read_copy(body)
            if copy is not None:
                run.copy = copy
        self._say(
            run,
            "run_stopped",
            target,
            status=status,
            copies=copies,
            stop_ms=int((now_s - asked_s) * 1e3),
            since_notice_ms=int((now_s - started_s) * 1e3),
        )
        stopped.send(status)

    def _free(self, source: model.Endpoint, handle: str) -> None:
        message = self._words.free_copy(source, handle)
        result = self._sender.control(source, message, _FREE_LIMIT_S)
        if isinstance(result, errors.Failure):
            self._log.event(
                "copy_not_freed",
                endpoint=source.endpoint_id,
                reason=result.reason,
            )

    def _say(
        self,
        run: Run,
        event: str,
        target: model.Endpoint | None,
        **fields: object,
    ) -> None:
        self._log.event(
            event,
            req=run.request_id,
            source=run.endpoint.endpoint_id,
            target=target.endpoint_id if target else "",
            **fields,
        )
