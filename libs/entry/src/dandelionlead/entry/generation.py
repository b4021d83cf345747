"""Requests for generations: placement, dispatch, relay and resumption."""

from __future__ import annotations

import functools
import json
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.admission import generation_ids
from dandelionlead.admission import lengths
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.entry import placement
from dandelionlead.entry import problems
from dandelionlead.streams import checks
from dandelionlead.streams import relay
from dandelionlead.streams import tokens

if TYPE_CHECKING:
    from dandelionlead.config import model
    from dandelionlead.core import events
    from dandelionlead.core import metrics
    from dandelionlead.entry import capacity
    from dandelionlead.entry import engine_client
    from dandelionlead.entry import generation_input
    from dandelionlead.entry import outcomes
    from dandelionlead.entry import routing_view

# A generation without a reader is kept this long for its caller to come back.
RESUME_WINDOW_S = 15.0
# Resume tokens outlive the longest generation; the engine decides on the rest.
TOKEN_LIFETIME_S = 3600.0
# An engine sends the headers of its answer before the first token.
# Some send them only with it; five silences of 2 s are the same bound.
FIRST_ANSWER_S = 10.0
# Back-off between two connections to one endpoint.
_PAUSE_S = 0.1
_HANDOVER = b"event: handover\ndata: {}\n\n"


class Call:
    """One request for a generation, after all checks.

    Attributes:
        request_id: Id of the request.
        team: The caller's team.
        route: Its route.
        path: HTTP path, which is the engine's as well.
        wanted: The checked fields of the body.
        body: The body for the engine; always asks for a stream.
        arrived_at: Time on `clock.boottime()`.
        deadline: Time on the same clock by which it must be dispatched.
        fingerprint: Identity of model and prompt.
        tried: Endpoints on which it has failed.
        failed_at: Time of the last failure.
    """

    __slots__ = (
        "request_id",
        "team",
        "route",
        "path",
        "wanted",
        "body",
        "arrived_at",
        "deadline",
        "fingerprint",
        "tried",
        "failed_at",
    )

    def __init__(
        self,
        *,
        request_id: str,
        team: model.Team,
        route: model.Route,
        path: str,
        wanted: generation_input.GenerationInput,
        body: dict[str, Any],
        arrived_at: float,
        deadline: float,
        fingerprint: str,
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.route = route
        self.path = path
        self.wanted = wanted
        self.body = json.dumps({**body, "stream": True}).encode()
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.tried: set[str] = set()
        self.failed_at = 0.0


class Stream:
    """A generation whose first events have arrived.

    Attributes:
        generation_id: The generation.
        resume_token: Token that the caller needs to resume.
        chunks: Whole events, the first ones included; ends with an error
            event if the generation is lost.
    """

    __slots__ = ("generation_id", "resume_token", "chunks")

    def __init__(
        self, generation_id: str, resume_token: str, chunks: Iterator[bytes]
    ) -> None:
        self.generation_id = generation_id
        self.resume_token = resume_token
        self.chunks = chunks


class _EngineSource(relay.Source):
    """Attaches to one generation at one address."""

    def __init__(
        self,
        engines: engine_client.EngineClient,
        address: str,
        generation_id: str,
    ) -> None:
        self._engines = engines
        self._address = address
        self._generation_id = generation_id

    def attach(self, after: int) -> relay.Reader | errors.Failure:
        return self._engines.attach(self._address, self._generation_id, after)


class Generations:
    """Runs generations on engines for callers."""

    def __init__(
        self,
        engines: engine_client.EngineClient,
        source: capacity.Capacity,
        queue: placement.Placement,
        view: routing_view.RoutingView,
        results: outcomes.Outcomes,
        signer: tokens.Signer,
        log: events.Log,
        registry: metrics.Registry,
        may_dispatch: Any,
    ) -> None:
        self._engines = engines
        self._capacity = source
        self._queue = queue
        self._view = view
        self._results = results
        self._signer = signer
        self._log = log
        self._metrics = registry
        self._may_dispatch = may_dispatch
        self._handing_over = False
        self.open_streams = 0

    def hand_over(self) -> None:
        """Ends all streams after their next events, for resumption elsewhere.

        Their generations go on; nothing is cancelled before the resume window
        is over.
        """
        self._handing_over = True

    def pass_on(
        self, relayed: relay.Relay, chunks: Iterator[bytes], request_id: str
    ) -> Iterator[bytes]:
        """Yields the events of a relay and why it ends early, if it does."""
        for chunk in chunks:
            yield chunk
            if self._handing_over and not relayed.finished:
                yield _HANDOVER
                return
        if relayed.failure is not None:
            yield problems.error_event(relayed.failure, request_id=request_id)

    def start(self, call: Call) -> Stream | errors.Failure:
        """Starts a generation and returns once its first events are here.

        Another endpoint is tried only while nothing has reached the caller.
        """
        self._view.first_try()
        attempt = 0
        while True:
            attempt += 1
            result = self._try_once(call)
            if isinstance(result, Stream) and not call.wanted.stream:
                result = _collected(result)
            if not isinstance(result, errors.Failure):
                return result
            self._log.event(
                "generation_failed",
                req=call.request_id,
                attempt=attempt,
                kind=result.kind.value,
                reason=result.reason,
            )
            pause_s = self._view.retry_pause_s(result, attempt)
            if pause_s is None or clock.boottime() + pause_s > call.deadline:
                return result
            eventlet.sleep(pause_s)

    def resume(
        self,
        token: tokens.ResumeToken,
        text: str,
        endpoint: model.Endpoint,
        position: int,
        request_id: str,
    ) -> Stream | errors.Failure:
        """Takes up a stream after a position that the caller has."""
        source = _EngineSource(
            self._engines, endpoint.address, token.generation_id
        )
        relayed = relay.Relay(
            token.generation_id, source, position=position, pause=_pause
        )
        lease = self._capacity.pool.adopt(
            endpoint.name,
            self._capacity.pool.incarnation(endpoint.name),
            token.generation_id,
            token.units,
        )
        # The token holds the units that were reserved, not how they came about.
        work = lengths.Work(token.route, token.team, token.units, 1)
        running = placement.Running(work, lease, lambda: 0)
        self._queue.started(endpoint.name, running)
        chunks = relayed.chunks()
        first = next(chunks, b"")
        if not first and relayed.failure is not None:
            self._release(endpoint.name, running)
            return relayed.failure
        self._log.event(
            "stream_resumed",
            req=request_id,
            generation=token.generation_id,
            endpoint=endpoint.name,
            position=position,
        )
        ended = functools.partial(self._release, endpoint.name, running)
        tail = self._resumed(relayed, first, chunks, ended, request_id)
        return Stream(token.generation_id, text, tail)

    def _try_once(self, call: Call) -> Stream | errors.Failure:
        work = lengths.Work(
            call.route.name,
            call.team.name,
            call.wanted.prompt_tokens,
            call.wanted.max_tokens,
        )
        wish = placement.Wish(
            call.request_id,
            call.wanted.model,
            work,
            lambda: self._view.candidates(call),
            alone=self._view.runs_alone(call.fingerprint),
        )
        queued_at = clock.boottime()
        placed = self._place(wish, call)
        if isinstance(placed, errors.Failure):
            return placed
        self._metrics.record(
            "dandelion_queue_seconds", clock.boottime() - queued_at
        )
        attempt = _Attempt(self, call, placed, work)
        return attempt.run()

    def _place(
        self, wish: placement.Wish, call: Call
    ) -> placement.Placed | errors.Failure:
        """Waits for an endpoint that the rules in force still allow."""
        while True:
            placed = self._queue.wait(
                wish, call.team.name, call.route.priority, call.deadline
            )
            if isinstance(placed, errors.Failure):
                return placed
            if self._view.is_open(placed.endpoint.name):
                return placed
            # The rules changed since the request was placed.
            self._capacity.pool.release(placed.lease, clock.boottime())
            wish.reset()

    def _resumed(
        self,
        relayed: relay.Relay,
        first: bytes,
        chunks: Iterator[bytes],
        ended: Callable[[], None],
        request_id: str,
    ) -> Iterator[bytes]:
        self.open_streams += 1
        try:
            if first:
                yield first
            yield from self.pass_on(relayed, chunks, request_id)
        finally:
            self.open_streams -= 1
            if relayed.finished or relayed.failure is not None:
                ended()
            else:
                eventlet.spawn_after(RESUME_WINDOW_S, ended)
            self._log.event(
                "stream_end",
                req=request_id,
                finished=relayed.finished,
                position=relayed.position,
                faults=len(relayed.faults),
            )

    def _release(self, endpoint: str, running: placement.Running) -> None:
        self._queue.ended(endpoint, running)
        self._capacity.pool.release(running.lease, clock.boottime())


class _Attempt:
    """One generation on one endpoint."""

    def __init__(
        self,
        owner: Generations,
        call: Call,
        placed: placement.Placed,
        work: lengths.Work,
    ) -> None:
        self._owner = owner
        self._call = call
        self._placed = placed
        self._endpoint = placed.endpoint
        self._started_at = 0.0
        self._version = ""
        self._relayed: relay.Relay | None = None
        self._running = placement.Running(work, placed.lease, self._position)
        self._generation_id = generation_ids.make(
            uuid.uuid4().hex, placed.lease.units
        )
        placed.lease.generation_id = self._generation_id

    def run(self) -> Stream | errors.Failure:
        owner, call = self._owner, self._call
        # The process may have been paused since the request was placed.
        if not owner._may_dispatch():
            self._release()
            return errors.Failure(
                errors.Kind.STALE_RULES,
                "the configuration could not be confirmed before dispatch",
            )
        self._started_at = clock.boottime()
        owner._queue.started(self._endpoint.name, self._running)
        owner._view.begin(self._endpoint.name, self._generation_id, call)
        owner._log.event(
            "dispatch",
            req=call.request_id,
            endpoint=self._endpoint.name,
            generation=self._generation_id,
            units=self._placed.lease.units,
        )
        started = owner._engines.start(
            self._endpoint.address,
            call.path,
            call.body,
            request_id=call.request_id,
            generation_id=self._generation_id,
            route=call.route.name,
            priority=call.route.priority,
            first_answer_s=FIRST_ANSWER_S,
        )
        if isinstance(started, errors.Failure):
            self._failed(started, nothing_ran=_never_ran(started))
            return started
        self._version = started.version
        if not owner._capacity.pool.confirm(
            self._placed.lease, started.engine_start
        ):
            owner._log.event(
                "endpoint_restarted",
                req=call.request_id,
                endpoint=self._endpoint.name,
                incarnation=started.engine_start,
            )
        return self._relay(started.reader)

    def _relay(self, reader: relay.Reader) -> Stream | errors.Failure:
        owner, call = self._owner, self._call
        source = _EngineSource(
            owner._engines, self._endpoint.address, self._generation_id
        )
        relayed = relay.Relay(self._generation_id, source, pause=_pause)
        self._relayed = relayed
        chunks = relayed.chunks(reader)
        first = next(chunks, b"")
        if not first:
            reason = (
                relayed.failure.reason
                if relayed.failure
                else "the endpoint sent no event"
            )
            failure = errors.Failure(errors.Kind.GENERATION_LOST, reason)
            self._failed(failure, nothing_ran=False)
            return failure
        first_token_s = clock.boottime() - self._started_at
        owner._capacity.note_first_token(self._endpoint.name, first_token_s)
        token = tokens.ResumeToken(
            request_id=call.request_id,
            generation_id=self._generation_id,
            endpoint=self._endpoint.name,
            team=call.team.name,
            route=call.route.name,
            units=self._placed.lease.units,
            expires_unix_s=clock.unix_time() + TOKEN_LIFETIME_S,
        )
        tail = self._chunks(relayed, first, chunks, first_token_s)
        return Stream(self._generation_id, owner._signer.sign(token), tail)

    def _chunks(
        self,
        relayed: relay.Relay,
        first: bytes,
        chunks: Iterator[bytes],
        first_token_s: float,
    ) -> Iterator[bytes]:
        owner, call = self._owner, self._call
        owner.open_streams += 1
        try:
            yield first
            yield from owner.pass_on(relayed, chunks, call.request_id)
        finally:
            owner.open_streams -= 1
            self._end(relayed, first_token_s)

    def _end(self, relayed: relay.Relay, first_token_s: float) -> None:
        owner, call = self._owner, self._call
        duration_s = clock.boottime() - self._started_at
        owner._log.event(
            "stream_end",
            req=call.request_id,
            finished=relayed.finished,
            position=relayed.position,
            faults=len(relayed.faults),
            first_token_s=first_token_s,
            duration_s=duration_s,
        )
        if relayed.finished:
            owner._queue.lengths.observe(
                call.route.name, call.team.name, relayed.position - 1
            )
            self._finish_ok(relayed.position, first_token_s, duration_s)
        elif relayed.failure is not None:
            self._failed(relayed.failure, nothing_ran=False)
        else:
            # The caller has gone and may resume at another entry.
            owner._view.left(self._endpoint.name, self._generation_id)
            self._leave_running()

    def _finish_ok(
        self, position: int, first_token_s: float, duration_s: float
    ) -> None:
        owner, call = self._owner, self._call
        gap_s = (duration_s - first_token_s) / max(1, position - 1)
        owner._results.succeeded(
            call, self._endpoint, self._version, first_token_s, gap_s
        )
        owner._view.ended_well(self._endpoint.name, self._generation_id)
        self._release()

    def _failed(self, failure: errors.Failure, *, nothing_ran: bool) -> None:
        owner, call = self._owner, self._call
        name = self._endpoint.name
        call.tried.add(name)
        call.failed_at = clock.boottime()
        owner._capacity.note_failed(name)
        owner._results.failed(call, self._endpoint, self._version, failure)
        incarnation = self._placed.lease.incarnation
        owner._view.failed(
            self._endpoint, self._generation_id, incarnation, failure
        )
        if nothing_ran:
            self._release()
        else:
            eventlet.spawn_n(self._cancel)

    def _cancel(self) -> None:
        """Cancels the generation; its units stay in use if that fails."""
        owner = self._owner
        confirmed = owner._engines.cancel(
            self._endpoint.address, self._generation_id
        )
        owner._log.event(
            "generation_cancelled",
            req=self._call.request_id,
            endpoint=self._endpoint.name,
            generation=self._generation_id,
            confirmed=confirmed,
        )
        if confirmed:
            self._release()
        else:
            self._leave_running()

    def _leave_running(self) -> None:
        eventlet.spawn_after(RESUME_WINDOW_S, self._release)

    def _position(self) -> int:
        return self._relayed.position if self._relayed is not None else 0

    def _release(self) -> None:
        self._owner._release(self._endpoint.name, self._running)


def _collected(stream: Stream) -> Stream | errors.Failure:
    """Returns the stream with all its events, or why it has no end."""
    data = b"".join(stream.chunks)
    if not data.endswith(checks.LAST_EVENT_END):
        return errors.Failure(
            errors.Kind.GENERATION_LOST,
            "the endpoint lost the generation before its end",
        )
    return Stream(stream.generation_id, stream.resume_token, iter([data]))


def _never_ran(failure: errors.Failure) -> bool:
    return failure.kind in (
        errors.Kind.ENDPOINT_UNREACHABLE,
        errors.Kind.OVERLOADED,
    )


def _pause(attempt: int) -> None:
    eventlet.sleep(_PAUSE_S * attempt)
