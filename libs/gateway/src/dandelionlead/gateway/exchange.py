"""One call from its admission to an endpoint's answer or a true refusal."""

from __future__ import annotations

import contextlib

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import accounting
from dandelionlead.gateway import attempt
from dandelionlead.gateway import crash_check
from dandelionlead.gateway import relay
from dandelionlead.gateway import rooms
from dandelionlead.gateway import runs
from dandelionlead.gateway import supervisor
from dandelionlead.http import callers
from dandelionlead.routing import calls
from dandelionlead.routing import crashes
from dandelionlead.routing import model
from dandelionlead.routing import patience
from dandelionlead.routing import placement
from dandelionlead.routing import view

# Endpoints that one call is offered to before it is refused.
_MAX_OFFERS = 5
# Callers come back after a refusal once work has ended somewhere.
_RETRY_AFTER_PLAIN_S = 0.1
_RETRY_AFTER_STREAM_S = 1.5


class Parts:
    """What the calls of one process share.

    Attributes:
        places: Chooses endpoints.
        sender: Sends calls.
        run_supervisor: Backs runs up and moves them.
        known: Orders and endpoints.
        log: Gets a line for each decision.
        accounts: Writes the line of a finished call, and refusals.
        crash_check: Looks after endpoints whose connection broke off.
        rooms: Finds endpoints.
    """

    __slots__ = (
        "places",
        "sender",
        "run_supervisor",
        "known",
        "log",
        "accounts",
        "crash_check",
        "rooms",
    )

    def __init__(
        self,
        places: placement.Placement,
        sender: attempt.Sender,
        run_supervisor: supervisor.RunSupervisor,
        known: view.View,
        log: events.Log,
        accounts: accounting.Accounts,
    ) -> None:
        self.places = places
        self.sender = sender
        self.run_supervisor = run_supervisor
        self.known = known
        self.log = log
        self.accounts = accounts
        self.crash_check = crash_check.CrashCheck(places, known, log)
        self.rooms = rooms.Rooms(places)


class Exchange:
    """One call from its admission to its answer."""

    def __init__(
        self,
        parts: Parts,
        admitted: calls.Admitted,
        reply: callers.Reply,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._call = admitted.call
        self._reply = reply
        self._tried: set[str] = set()
        self._ran = 0
        self._last = ""
        self._failure: errors.Failure | None = None
        self._status = 0
        self._outcome: relay.Outcome | None = None
        self._answered = False
        self._kept: tuple[calls.AnswerHead, bytes] | None = None
        self._print = crashes.fingerprint(admitted)

    def run(self) -> None:
        """Serves the call: an endpoint's answer, or a true refusal."""
        settled = self._offer_around()
        self._answered = True
        if settled:
            self._failure = None
        elif self._kept is not None and not self._reply.started:
            answer, body = self._kept
            self._status = answer.status
            self._failure = None
            self._reply.whole(answer.status, answer.headers, body)
        else:
            self._failure = self._final_failure()
            if not self._reply.started:
                self._parts.accounts.refuse(
                    self._reply, self._failure, self._call.request_id
                )

    def close(self) -> None:
        """Writes the line of the call, however it ended."""
        failure = self._failure
        fields: dict[str, object] = {}
        if not self._answered:
            fields["caller"] = "gone"
        outcome = self._outcome
        if outcome is not None:
            self._parts.accounts.generation(self._call, outcome)
            fields["events"] = outcome.events
            fields["complete"] = outcome.complete
            fields["gap_ms"] = int(outcome.longest_gap_s * 1e3)
            fields["moves"] = outcome.moves
            first_s = max(0.0, outcome.first_s - self._call.arrived_s)
            fields["first_ms"] = int(first_s * 1e3)
            self._last = outcome.last_endpoint or self._last
            if failure is None and not outcome.complete:
                failure = outcome.failure
        self._parts.accounts.call(
            self._call,
            self._admitted,
            failure,
            self._status,
            self._last,
            tries=len(self._tried),
            **fields,
        )

    def _offer_around(self) -> bool:
        """Offers the call until it is settled or no endpoint is left."""
        places = self._parts.places
        places.first(self._admitted, clock.boottime())
        for _ in range(_MAX_OFFERS):
            if places.crashes.refused(self._print, clock.boottime()):
                self._failure = errors.Failure(
                    errors.Kind.REQUEST_QUARANTINED,
                    "endpoints that ran this request crashed",
                )
                return False
            if self._offer():
                return True
            if not self._may_offer_again():
                return False
        return False

    def _offer(self) -> bool:
        """Sends the call to one endpoint; returns whether it is settled."""
        parts = self._parts
        admitted = self._admitted
        if clock.boottime() >= admitted.until_s:
            return False
        tokens = self._call.expected_tokens()
        endpoint = parts.rooms.find(admitted, tokens, self._tried)
        now_s = clock.boottime()
        if endpoint is None:
            if self._failure is None:
                self._failure = self._no_endpoint()
            return False
        if self._tried and not parts.places.may_resend(
            admitted.service.name, now_s
        ):
            return False
        run = self._begin(endpoint, tokens, now_s)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._drop, run)
            started = self._start(run)
            if isinstance(started, errors.Failure):
                self._note_failure(run, started)
                return False
            cleanup.callback(started.close)
            if self._refused(started):
                return False
            if self._is_stream(started):
                cleanup.pop_all()  # The relay takes over.
                return self._relay(run, started)
            return self._pass_whole(run, started)

    def _begin(
        self, endpoint: model.Endpoint, tokens: int, now_s: float
    ) -> runs.Run:
        """Counts a send that is about to happen."""
        parts = self._parts
        self._tried.add(endpoint.endpoint_id)
        self._last = endpoint.endpoint_id
        if tokens:
            parts.log.event(
                "attempt",
                req=self._call.request_id,
                endpoint=endpoint.endpoint_id,
                load=parts.places.describe(endpoint, now_s),
                tokens=tokens,
            )
        parts.places.sent(endpoint, now_s)
        ticket = parts.places.loads.begin(
            endpoint.endpoint_id, tokens, self._call.prompt_tokens
        )
        run = runs.Run(self._admitted, endpoint, ticket, tokens)
        run.sent_s = now_s
        run.queued_tokens = parts.places.backlog(endpoint, now_s)
        parts.run_supervisor.back_up(run)
        return run

    def _start(self, run: runs.Run) -> attempt.Started | errors.Failure:
        expected_s = self._parts.places.pace.expected_s(run.queued_tokens)
        return self._parts.sender.start(
            self._admitted,
            run.endpoint,
            patience.until_s(self._admitted, self._ran, expected_s, run.sent_s),
            backup=run.backup_at,
        )

    def _drop(self, run: runs.Run) -> None:
        """Takes a run off the books that no relay took over."""
        self._parts.places.loads.end(run.ticket)
        self._parts.run_supervisor.drop_backup(run)

    def _is_stream(self, started: attempt.Started) -> bool:
        streams = self._admitted.route.kind is model.CallKind.STREAMING
        return streams and started.answer.status == 200

    def _note_failure(self, run: runs.Run, failure: errors.Failure) -> None:
        parts = self._parts
        endpoint = run.endpoint
        now_s = clock.boottime()
        if failure.kind is errors.Kind.ENDPOINT_SILENT:
            # The route's own time may be shorter than the work.
            parts.places.health.answered(
                endpoint.endpoint_id, now_s, failed=True
            )
        elif failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            parts.places.unreachable(endpoint, now_s)
        else:
            parts.places.health.unreachable(endpoint.endpoint_id, now_s)
            parts.crash_check.broke_off(self._print, endpoint)
        self._failure = failure
        self._ran += failure.run is not errors.Run.NOT_RUN
        took_s = now_s - run.sent_s
        parts.places.ended(endpoint, took_s, failed=True)
        parts.log.event(
            "attempt_failed",
            req=self._call.request_id,
            endpoint=endpoint.endpoint_id,
            kind=failure.kind.value,
            reason=failure.reason,
        )

    def _refused(self, started: attempt.Started) -> bool:
        """Whether the endpoint said that it did not run the call."""
        answer = started.answer
        if not answer.not_run:
            return False
        parts = self._parts
        now_s = clock.boottime()
        endpoint_id = started.endpoint.endpoint_id
        if answer.other_instance:
            parts.known.drop_endpoint(endpoint_id)
        body = started.conn.read_all(
            min(self._admitted.until_s, now_s + 0.2), attempt.MAX_BODY_BYTES
        )
        if isinstance(body, bytes):
            parts.sender.finish(started)
        self._failure = errors.Failure(
            errors.Kind.OVERLOADED,
            f"the endpoint refused with {answer.status}",
            retry_after_s=self._retry_after_s(),
        )
        parts.log.event(
            "attempt_refused",
            req=self._call.request_id,
            endpoint=endpoint_id,
            status=answer.status,
        )
        return True

    def _relay(self, run: runs.Run, started: attempt.Started) -> bool:
        parts = self._parts
        relayed = relay.Relay(
            parts.sender,
            parts.places,
            parts.run_supervisor,
            parts.log,
            run,
            self._reply,
        )
        self._status = started.answer.status
        self._outcome = relayed.outcome
        outcome = relayed.pump(started)
        now_s = clock.boottime()
        first_s = max(0.0, (outcome.first_s or now_s) - run.sent_s)
        parts.places.ended(
            started.endpoint, first_s, failed=not outcome.complete
        )
        if outcome.complete:
            parts.places.health.answered(
                run.endpoint.endpoint_id, now_s, failed=False
            )
            parts.places.crashes.ended_well(self._print, now_s)
            return True
        self._failure = outcome.failure
        self._ran += 1
        if outcome.failure.kind is errors.Kind.ENDPOINT_FAILED:
            parts.crash_check.broke_off(self._print, run.endpoint)
        return False

    def _pass_whole(self, run: runs.Run, started: attempt.Started) -> bool:
        """Passes a whole answer on, or keeps it back for another try."""
        parts = self._parts
        admitted = self._admitted
        endpoint_id = run.endpoint.endpoint_id
        body = started.conn.read_all(admitted.until_s, attempt.MAX_BODY_BYTES)
        now_s = clock.boottime()
        self._ran += 1
        if isinstance(body, errors.Failure):
            parts.places.health.unreachable(endpoint_id, now_s)
            self._failure = body
            return False
        answer = started.answer
        parts.sender.finish(started)
        failed = answer.status >= 500
        parts.places.health.answered(endpoint_id, now_s, failed=failed)
        parts.places.crashes.ended_well(self._print, now_s)
        took_s = now_s - run.sent_s
        parts.places.ended(run.endpoint, took_s, failed=failed)
        if failed and self._worth_another(now_s):
            self._kept = (answer, body)
            self._failure = errors.Failure(
                errors.Kind.ENDPOINT_FAILED, f"status {answer.status}"
            )
            return False
        self._status = answer.status
        self._reply.whole(answer.status, answer.headers, body)
        return True

    def _worth_another(self, now_s: float) -> bool:
        admitted = self._admitted
        route = admitted.route
        if not route.repeatable or self._ran >= route.max_attempts:
            return False
        if admitted.until_s - now_s < route.objective_s / 4:
            return False
        places = self._parts.places
        other = places.choose(admitted.service, 0, now_s, excluded=self._tried)
        return other is not None

    def _may_offer_again(self) -> bool:
        """Whether another endpoint may get the call after a failure."""
        if self._reply.started:
            return False
        failure = self._failure
        if failure is None or failure.kind is errors.Kind.NO_ENDPOINT:
            return False
        if failure.run is errors.Run.NOT_RUN:
            return True
        route = self._admitted.route
        return route.repeatable and self._ran < route.max_attempts

    def _no_endpoint(self) -> errors.Failure:
        return errors.Failure(
            errors.Kind.NO_ENDPOINT,
            "no endpoint of the service can take the call",
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        if self._admitted.route.kind is model.CallKind.STREAMING:
            return _RETRY_AFTER_STREAM_S
        return _RETRY_AFTER_PLAIN_S

    def _final_failure(self) -> errors.Failure:
        """Returns the failure that the caller is told of, a true one."""
        failure = self._failure
        if failure is None:
            return errors.Failure(
                errors.Kind.DEADLINE_EXCEEDED, "no time was left"
            )
        if self._ran and failure.run is errors.Run.NOT_RUN:
            return errors.Failure(errors.Kind.ENDPOINT_FAILED, failure.reason)
        if failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            return errors.Failure(
                failure.kind,
                failure.reason,
                retry_after_s=self._retry_after_s(),
            )
        return failure
