"""Relays one generation to its caller, over all engines that run it."""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt
from dandelionlead.gateway import runs
from dandelionlead.gateway import supervisor
from dandelionlead.http import callers
from dandelionlead.http import channel
from dandelionlead.http import sse
from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import placement

# A run whose memory lies elsewhere goes on there after a pause of so many
# times its usual one, within these limits. The lower one keeps the whole gap
# under what callers take for a stall.
SILENCE_PAUSES = 3.0
SHORTEST_SILENCE_S = 0.12
LONGEST_SILENCE_S = 0.8
_PAUSE_WEIGHT = 0.1
# The response to the last copy and the end of the stream come apart by little.
_STOP_WAIT_S = 1.0
_RESUME_LIMIT_S = 1.5
_MAX_CONTINUATIONS = 12


class Outcome:
    """How a relayed generation ended.

    Attributes:
        complete: Whether the caller got its end.
        failure: Why not; None if it did.
        events: Events that were passed on.
        first_s: Instant of the first event; 0 without one.
        longest_gap_s: Longest time between two writes.
        moves: Times that it went on at another engine.
        last_endpoint: Id of the engine that had it last.
    """

    __slots__ = (
        "complete",
        "failure",
        "events",
        "first_s",
        "longest_gap_s",
        "moves",
        "last_endpoint",
    )

    def __init__(self) -> None:
        self.complete = False
        self.failure: errors.Failure | None = None
        self.events = 0
        self.first_s = 0.0
        self.longest_gap_s = 0.0
        self.moves = 0
        self.last_endpoint = ""


class Relay:
    """One generation from its first engine's response to its end."""

    def __init__(
        self,
        sender: attempt.Sender,
        places: placement.Placement,
        run_supervisor: supervisor.RunSupervisor,
        log: events.Log,
        run: runs.Run,
        reply: callers.Reply,
    ) -> None:
        self._sender = sender
        self._places = places
        self._supervisor = run_supervisor
        self._log = log
        self._run = run
        self._reply = reply
        self._splitter = sse.EventSplitter(run.admitted.call.resume_after)
        self._resumed = False
        self._failed: set[str] = set()
        self._wrote_s = 0.0
        self._pause_s = SHORTEST_SILENCE_S / SILENCE_PAUSES
        self.outcome = Outcome()

    def pump(self, started: attempt.Started) -> Outcome:
        """Passes events on up to the end; a torn answer is left torn."""
        run = self._run
        run.active = True
        head = started.answer
        current: attempt.Started | None = started
        self._supervisor.add(run)
        try:
            while current is not None:
                failure = self._pass_on(current, head)
                done, current = current, None
                if failure is None:
                    self._sender.finish(done)
                    self.outcome.complete = True
                    return self.outcome
                done.close()
                kept = self._kept()
                current = self._continue(failure)
                if current is None and self._reply.started:
                    self._say_lost(done.endpoint, failure, kept)
            return self.outcome
        finally:
            if current is not None:
                current.close()
            self._close()

    def _close(self) -> None:
        run = self._run
        run.active = False
        self._supervisor.remove(run)
        self._supervisor.drop_copy(run)
        self._supervisor.drop_backup(run)
        self._places.loads.end(run.ticket)
        self.outcome.events = self._splitter.events
        self.outcome.moves = run.moves
        self.outcome.last_endpoint = run.endpoint.endpoint_id

    def _kept(self) -> str:
        """Returns where the run's memory is besides its engine."""
        run = self._run
        if run.copy is not None:
            return f"copy at {run.copy_at.endpoint_id}"
        if run.backup_at is not None:
            return f"backup at {run.backup_at.endpoint_id}"
        return "nowhere"

    def _say_lost(
        self, source: model.Endpoint, failure: errors.Failure, kept: str
    ) -> None:
        """Says why a caller's answer breaks off.

        Args:
            source: The engine that broke off.
            failure: What it did.
            kept: Where else the run's memory was then.
        """
        run = self._run
        self._log.event(
            "run_lost",
            req=run.request_id,
            endpoint=source.endpoint_id,
            memory=kept,
            moving=run.moving,
            moves=run.moves,
            kind=failure.kind.value,
            reason=failure.reason,
        )

    def _pass_on(
        self, current: attempt.Started, head: calls.AnswerHead
    ) -> errors.Failure | None:
        """Passes on what one engine sends; returns why it broke off."""
        while True:
            data = self._read(current)
            if isinstance(data, errors.Failure):
                return data
            if data is channel.END:
                self._begin(head)
                if self._splitter.tail:
                    self._reply.send(self._splitter.tail)
                self._reply.end()
                return None
            before = self._splitter.last_id
            whole = self._splitter.feed(data)
            if not whole:
                continue
            if self._resumed and not self._follows(whole, before):
                return errors.Failure(
                    errors.Kind.GENERATION_LOST,
                    "the continuation does not follow the last event",
                )
            self._begin(head)
            self._write(whole)

    def _follows(self, whole: bytes, before: int) -> bool:
        """Whether a continuation begins after the last event, once."""
        self._resumed = False
        found = sse.first_id(whole)
        return found is None or found == before + 1

    def _begin(self, head: calls.AnswerHead) -> None:
        if not self._reply.started:
            self.outcome.first_s = clock.boottime()
            self._wrote_s = self.outcome.first_s
            run = self._run
            self._places.loads.prefilled(run.ticket)
            if not run.moves:
                first_s = self.outcome.first_s - run.sent_s
                self._places.pace.saw(run.queued_tokens, first_s)
            self._reply.start(head.status, head.headers)

    def _write(self, whole: bytes) -> None:
        now_s = clock.boottime()
        gap_s = now_s - self._wrote_s
        self.outcome.longest_gap_s = max(self.outcome.longest_gap_s, gap_s)
        self._wrote_s = now_s
        self._pause_s += _PAUSE_WEIGHT * (gap_s - self._pause_s)
        self._reply.send(whole)

    def _read(
        self, current: attempt.Started
    ) -> bytes | channel.End | errors.Failure:
        """Reads on; leaves a silent engine if a copy is elsewhere."""
        run = self._run
        until_s = run.admitted.until_s
        while True:
            saved = run.copy is not None or run.backup_at is not None
            saved = saved and self._reply.started
            limit_s = self._silence_s() if saved else LONGEST_SILENCE_S
            now_s = clock.boottime()
            data = current.conn.read(min(until_s, now_s + limit_s))
            silent = (
                isinstance(data, errors.Failure)
                and data.kind is errors.Kind.ENDPOINT_SILENT
            )
            if not silent or saved or clock.boottime() >= until_s:
                return data

    def _silence_s(self) -> float:
        """Returns the pause after which an engine is taken to be gone."""
        pause_s = SILENCE_PAUSES * self._pause_s
        return min(LONGEST_SILENCE_S, max(SHORTEST_SILENCE_S, pause_s))

    def _continue(self, failure: errors.Failure) -> attempt.Started | None:
        """Goes on at another engine after a break; None if that is not to be.

        Sets the outcome's failure in that case.
        """
        run = self._run
        self.outcome.failure = failure
        if clock.boottime() >= run.admitted.until_s:
            return None
        self._splitter.drop_tail()
        self._failed.add(run.endpoint.endpoint_id)
        if run.stopped is not None:
            self._await_stop()
        elif failure.kind is not errors.Kind.ENDPOINT_SILENT:
            now_s = clock.boottime()
            self._places.health.unreachable(run.endpoint.endpoint_id, now_s)
        for _ in range(_MAX_CONTINUATIONS):
            if run.moves >= _MAX_CONTINUATIONS:
                return None
            started = (
                self._resume_from_copy()
                or self._resume_from_backup()
                or self._resume_anew()
            )
            if started is not None or not self._may_go_on():
                return started
        return None

    def _await_stop(self) -> None:
        """Waits for the word on the last copy."""
        with eventlet.Timeout(_STOP_WAIT_S, False):
            self._run.stopped.wait()

    def _may_go_on(self) -> bool:
        if clock.boottime() >= self._run.admitted.until_s:
            return False
        return self._run.admitted.route.resumable

    def _resume_from_copy(self) -> attempt.Started | None:
        run = self._run
        copy, target, source = run.copy, run.copy_at, run.endpoint
        if copy is None or target is None:
            return None
        resumption = calls.Resumption(
            source.address, copy.handle, self._splitter.last_id
        )
        ticket, run.copy_ticket = run.copy_ticket, None
        run.copy = run.copy_at = None
        stopped = run.stopped is not None
        started = None
        if self._supervisor.may_go_on_at(target):
            started = self._resume_at(target, resumption, ticket)
        else:
            self._places.loads.end(ticket)
        if (
            started is None
            and stopped
            and self._supervisor.may_go_on_at(source)
        ):
            # A run that was stopped for a move can go on where it was.
            ticket = self._places.loads.begin(source.endpoint_id, run.tokens, 0)
            started = self._resume_at(source, resumption, ticket)
        return started

    def _resume_from_backup(self) -> attempt.Started | None:
        """Goes on at the engine that keeps the run's growing copy."""
        run = self._run
        target = run.backup_at
        if target is None:
            return None
        resumption = calls.Resumption(
            target.address, run.request_id, self._splitter.last_id
        )
        self._supervisor.drop_backup(run)
        if not self._supervisor.may_go_on_at(target):
            return None
        ticket = self._places.loads.begin(target.endpoint_id, run.tokens, 0)
        return self._resume_at(target, resumption, ticket)

    def _resume_anew(self) -> attempt.Started | None:
        """Starts a new run after the last event, where that is allowed."""
        run = self._run
        admitted = run.admitted
        now_s = clock.boottime()
        if not admitted.route.resumable:
            return None
        if run.moves + 1 >= admitted.route.max_attempts + len(self._failed):
            return None
        target = self._places.choose(
            admitted.service, run.tokens, now_s, excluded=self._failed
        )
        service = admitted.service.name
        if target is None or not self._places.may_resend(service, now_s):
            return None
        resumption = calls.Resumption(None, "", self._splitter.last_id)
        ticket = self._places.loads.begin(
            target.endpoint_id, run.tokens, admitted.call.prompt_tokens
        )
        return self._resume_at(target, resumption, ticket)

    def _resume_at(
        self,
        target: model.Endpoint,
        resumption: calls.Resumption,
        ticket: loads.Ticket,
    ) -> attempt.Started | None:
        run = self._run
        self._supervisor.remove(run)
        self._supervisor.drop_backup(run)
        self._places.loads.end(run.ticket)
        run.endpoint, run.ticket = target, ticket
        run.moving, run.stopped = False, None
        run.moves += 1
        began_s = clock.boottime()
        until_s = min(run.admitted.until_s, began_s + _RESUME_LIMIT_S)
        self._places.sent(target, began_s)
        self._supervisor.back_up(run)
        started = self._sender.start(
            run.admitted,
            target,
            until_s,
            resumption=resumption,
            backup=run.backup_at,
        )
        failure = None
        if isinstance(started, errors.Failure):
            failure = started.reason
        elif started.answer.status != 200:
            failure = f"status {started.answer.status}"
            started.close()
        self._log.event(
            "run_resumed" if failure is None else "resume_failed",
            req=run.request_id,
            endpoint=target.endpoint_id,
            after=resumption.after,
            from_copy=resumption.holder is not None,
            took_ms=int((clock.boottime() - began_s) * 1e3),
            reason=failure or "",
        )
        if failure is not None:
            self._failed.add(target.endpoint_id)
            return None
        self._resumed = self._splitter.events > 0
        self._supervisor.add(run)
        return started
