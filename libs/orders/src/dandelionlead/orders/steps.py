"""Order of steps that runs an order at most once, without doing any of them.

A procedure is a generator. It yields one step (`Read`, `Commit`, `Send`,
`Sleep`) and is resumed with the step's result, so that the runner does the
steps with real services and a test can stop between any two of them.

Rules that the procedures keep:

- Only a procedure whose own `started` row is confirmed yields `Send`, once.
- A commit without an answer may take effect at any later moment. It is settled
  by a row that shows it, or by another committed write of the same row, which
  makes the condition of the late one false for ever.
- `not_run` is told after a `not_run` row was committed, and before any record
  only if the caller states that this is its first try of the key: without the
  row, nobody knows whether an earlier call ran.
- A caller may number its tries of a key (1, 2, ...). A `not_run` row keeps the
  highest number, and no call with this or a lower number starts the order any
  more: an earlier call that is still on its way somewhere cannot make a
  `not_run` untrue that a later call was told.
- An attempt that gave up never sends. What it could not record is handed over
  as a repair, which is a procedure as well.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Sequence
from typing import Any

from dandelionlead.core import errors
from dandelionlead.orders import record
from dandelionlead.platform import api

# Each try reads the row or writes it; with these pauses a caller waits at most
# 0.35 s for a table service that does not answer, besides the calls' own time.
SETTLE_TRIES = 4
SETTLE_PAUSE_S = 0.05
# Rounds in which other attempts may change the row under this one.
_ROUNDS_LIMIT = 8
# Waiting for another attempt: 2 reads a second for each waiting caller.
WAIT_FIRST_S = 0.05
WAIT_LONGEST_S = 0.5
# A repair outlasts the outages of minutes that the platform has.
REPAIR_FOR_S = 600.0
REPAIR_PAUSE_FIRST_S = 0.2
REPAIR_PAUSE_LONGEST_S = 10.0


class Order:
    """One call that may run at most once.

    Attributes:
        team: Team that sends it.
        route: Route of the service.
        idempotency_key: The caller's key.
        body: Body, as received.
        deadline_s: Latest time of sending, on the clock of the runner.
        request_id: Request id, for the record and the log.
        try_number: Number of this try as the caller counts its tries of the
            key, from 1; 0 if it does not say.
        call: Whatever `send` needs (path, headers); not looked at here.
    """

    __slots__ = (
        "team",
        "route",
        "idempotency_key",
        "body",
        "deadline_s",
        "request_id",
        "try_number",
        "call",
    )

    def __init__(
        self,
        team: str,
        route: str,
        idempotency_key: str,
        body: bytes,
        *,
        deadline_s: float,
        request_id: str = "",
        try_number: int = 0,
        call: Any = None,
    ) -> None:
        self.team = team
        self.route = route
        self.idempotency_key = idempotency_key
        self.body = body
        self.deadline_s = deadline_s
        self.request_id = request_id
        self.try_number = try_number
        self.call = call

    @property
    def key(self) -> api.Key:
        """The key of the order's row."""
        return record.key(self.team, self.route, self.idempotency_key)

    @property
    def body_sha256(self) -> str:
        """The digest of the body, in hexadecimal."""
        return hashlib.sha256(self.body).hexdigest()


class NotSent:
    """No byte of the call has left, and none will."""

    __slots__ = ("kind", "reason")

    def __init__(
        self,
        reason: str,
        *,
        kind: errors.Kind = errors.Kind.ENDPOINT_UNREACHABLE,
    ) -> None:
        self.kind = kind
        self.reason = reason


class Answered:
    """The service's whole answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = list(headers)
        self.body = body


class Lost:
    """The call was sent, at least in part, and has no whole answer."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Sent = NotSent | Answered | Lost


class Read:
    """Step: read the row; the result is a row, None or a failure."""

    __slots__ = ("key",)

    def __init__(self, key: api.Key) -> None:
        self.key = key


class Commit:
    """Step: commit one write; the result is its outcome."""

    __slots__ = ("write",)

    def __init__(self, write: api.Write) -> None:
        self.write = write


class Send:
    """Step: send the call once; the result is `Sent`."""

    __slots__ = ("order", "attempt")

    def __init__(self, order: Order, attempt: str) -> None:
        self.order = order
        self.attempt = attempt


class Sleep:
    """Step: wait; there is no result."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


Step = Read | Commit | Send | Sleep
Repair = Generator[Step, Any, bool]


class Result:
    """End of a procedure.

    Attributes:
        reply: What the caller is told.
        repair: Procedure that still has to record the end, or None.
    """

    __slots__ = ("reply", "repair")

    def __init__(
        self,
        reply: record.Answer | errors.Failure,
        repair: Repair | None = None,
    ) -> None:
        self.reply = reply
        self.repair = repair


class Attempt:
    """One attempt of one entry at one order.

    Args:
        order: The order.
        attempt: Id of this attempt; unique over all entries and time.
        entry: Name of the entry.
        clock: Clock that also counts while the machine sleeps, in seconds.
        unix_time: Seconds since the epoch, for the record.
    """

    def __init__(
        self,
        order: Order,
        attempt: str,
        *,
        entry: str,
        clock: Callable[[], float],
        unix_time: Callable[[], float],
    ) -> None:
        self._order = order
        self._key = order.key
        self._body = order.body_sha256
        self._attempt = attempt
        self._entry = entry
        self._clock = clock
        self._unix_time = unix_time
        # Highest try number in the row that this attempt starts from.
        self._row_try_number = 0

    def run(self) -> Generator[Step, Any, Result]:
        """Runs the order at most once and ends with a `Result`."""
        if self._late():
            return self._unrecorded(
                errors.Kind.DEADLINE_EXCEEDED, "The deadline passed on arrival."
            )
        version = 0
        for number in range(_ROUNDS_LIMIT):
            outcome = yield self._write(record.State.STARTED, version)
            if isinstance(outcome, api.Committed):
                return (yield from self._hold(outcome.versions[0]))
            if isinstance(outcome, api.Unavailable) and number:
                return self._unknown(outcome.reason)
            if isinstance(outcome, api.Unavailable):
                return self._unrecorded(
                    errors.Kind.PLATFORM_UNAVAILABLE, outcome.reason
                )
            if isinstance(outcome, api.OutcomeUnknown):
                settled = yield from self._settle(version)
                if isinstance(settled, Result):
                    return settled
            found = yield from self._look()
            if isinstance(found, Result):
                return found
            version = found
        return self._unknown("Other calls with this key changed its record.")

    def record_late_answer(self, answered: Answered) -> Repair:
        """Records an answer that came after the call was counted as lost."""
        return self._record_end(
            record.State.DONE, _answer(answered), self._clock() + REPAIR_FOR_S
        )

    def _hold(self, version: int) -> Generator[Step, Any, Result]:
        """Goes on after this attempt's `started` row is confirmed."""
        if self._late():
            return (
                yield from self._withdraw(
                    version,
                    errors.Kind.DEADLINE_EXCEEDED,
                    "The deadline passed before the call was sent.",
                )
            )
        sent = yield Send(self._order, self._attempt)
        if isinstance(sent, NotSent):
            return (yield from self._withdraw(version, sent.kind, sent.reason))
        if isinstance(sent, Answered):
            answer = _answer(sent)
            return (
                yield from self._end(version, record.State.DONE, answer, answer)
            )
        failure = errors.Failure(errors.Kind.OUTCOME_UNKNOWN, sent.reason)
        return (
            yield from self._end(version, record.State.UNKNOWN, None, failure)
        )

    def _end(
        self,
        version: int,
        state: record.State,
        answer: record.Answer | None,
        reply: record.Answer | errors.Failure,
    ) -> Generator[Step, Any, Result]:
        """Records the end with one try; the caller does not wait for more."""
        outcome = yield self._write(state, version, answer)
        if isinstance(outcome, api.Committed):
            return Result(reply)
        ends_at = self._clock() + REPAIR_FOR_S
        return Result(reply, self._record_end(state, answer, ends_at))

    def _withdraw(
        self, version: int, kind: errors.Kind, reason: str
    ) -> Generator[Step, Any, Result]:
        """Writes `not_run` over this attempt's `started`; nothing was sent."""
        outcome = yield self._write(record.State.NOT_RUN, version)
        if isinstance(outcome, api.Committed):
            return Result(_not_run(kind, reason))
        settled = yield from self._settle(version, not_run_as=(kind, reason))
        if isinstance(settled, Result):
            return settled
        # The row moved on from this attempt's `not_run` to another attempt.
        found = yield from self._look()
        if isinstance(found, Result):
            return found
        return Result(_not_run(kind, reason))

    def _settle(
        self,
        version: int,
        *,
        not_run_as: tuple[errors.Kind, str] | None = None,
    ) -> Generator[Step, Any, Result | None]:
        """Settles a write on condition of `version` that got no answer.

        Args:
            version: Version that the unanswered write requires.
            not_run_as: Failure to tell after `not_run`, if this attempt will
                not send; None if it may go on with its `started` row.

        Returns:
            A result, or None if another attempt holds the row, so that none
            of this attempt's writes can take effect any more.
        """
        kind, reason = not_run_as or (
            errors.Kind.PLATFORM_UNAVAILABLE,
            "The start of the order could not be confirmed in time.",
        )
        for number in range(SETTLE_TRIES):
            if number:
                yield Sleep(SETTLE_PAUSE_S * 2 ** (number - 1))
            row = yield Read(self._key)
            if isinstance(row, errors.Failure):
                continue
            rec = record.from_row(row.value) if row else None
            mine = rec is not None and rec.attempt == self._attempt
            if mine and rec.state is record.State.NOT_RUN:
                return Result(_not_run(kind, reason))
            if mine and not_run_as is None:
                return (yield from self._hold(row.version))
            if not mine and (row.version if row else 0) != version:
                return None
            outcome = yield self._write(
                record.State.NOT_RUN, row.version if row else 0
            )
            if isinstance(outcome, api.Committed):
                return Result(_not_run(kind, reason))
        ends_at = self._clock() + REPAIR_FOR_S
        return self._unknown(
            "The order was not sent, but this could not be recorded; it is "
            "not known whether an earlier call with this key ran.",
            self._record_not_run(version, ends_at),
        )

    def _look(self) -> Generator[Step, Any, Result | int]:
        """Finds what another attempt recorded, and waits for it to end.

        Returns:
            What the caller is told, or the version of a row (0: absent) on
            which this attempt may start. No write of this attempt is open.
        """
        pause_s = WAIT_FIRST_S
        while True:
            row = yield Read(self._key)
            if isinstance(row, errors.Failure):
                if self._late():
                    return self._unknown(row.reason)
            elif row is None:
                if self._late():
                    return self._unknown("The record is gone.")
                return 0
            else:
                rec = record.from_row(row.value)
                reply = self._reply(rec)
                if reply is not None:
                    return Result(reply)
                if rec.state is record.State.NOT_RUN:
                    if self._late():
                        return self._unknown("The deadline passed.")
                    self._row_try_number = rec.try_number
                    return row.version
                if self._late():
                    return Result(
                        errors.Failure(
                            errors.Kind.ORDER_IN_PROGRESS,
                            "Another call with this key was started and has "
                            "not ended.",
                        )
                    )
            left_s = self._order.deadline_s - self._clock()
            yield Sleep(max(0.0, min(pause_s, left_s)))
            pause_s = min(WAIT_LONGEST_S, pause_s * 2)

    def _reply(
        self, rec: record.Record | None
    ) -> record.Answer | errors.Failure | None:
        """Returns what a row already says for this call; None if nothing."""
        if rec is None:
            return errors.Failure(
                errors.Kind.OUTCOME_UNKNOWN, "The record is not readable."
            )
        if rec.body_sha256 != self._body:
            return errors.Failure(
                errors.Kind.KEY_REUSED,
                "The idempotency key was used with another body.",
            )
        if rec.state is record.State.NOT_RUN:
            if 0 < self._order.try_number <= rec.try_number:
                return errors.Failure(
                    errors.Kind.CONFLICT,
                    "A later call with this key was told that the order did "
                    "not run.",
                )
            return None
        if rec.state is record.State.DONE and rec.answer is not None:
            return rec.answer
        if rec.state in (record.State.UNKNOWN, record.State.DONE):
            return errors.Failure(
                errors.Kind.OUTCOME_UNKNOWN,
                f"Attempt {rec.attempt} sent the order and got no answer.",
            )
        return None

    def _record_end(
        self, state: record.State, answer: record.Answer | None, ends_at: float
    ) -> Repair:
        """Records `done` or `unknown` after the call was sent."""
        for pause_s in _repair_pauses():
            row = yield Read(self._key)
            if not isinstance(row, errors.Failure):
                rec = record.from_row(row.value) if row else None
                if rec is None or rec.attempt != self._attempt:
                    return False
                if rec.state in (state, record.State.DONE):
                    return True
                outcome = yield self._write(state, row.version, answer)
                if isinstance(outcome, api.Committed):
                    return True
            if self._clock() >= ends_at:
                return False
            yield Sleep(pause_s)
        return False

    def _record_not_run(self, version: int, ends_at: float) -> Repair:
        """Records `not_run` for an attempt that sent nothing and gave up."""
        for pause_s in _repair_pauses():
            row = yield Read(self._key)
            if not isinstance(row, errors.Failure):
                rec = record.from_row(row.value) if row else None
                mine = rec is not None and rec.attempt == self._attempt
                if mine and rec.state is record.State.NOT_RUN:
                    return True
                if not mine and (row.version if row else 0) != version:
                    return True
                outcome = yield self._write(
                    record.State.NOT_RUN, row.version if row else 0
                )
                if isinstance(outcome, api.Committed):
                    return True
            if self._clock() >= ends_at:
                return False
            yield Sleep(pause_s)
        return False

    def _write(
        self,
        state: record.State,
        version: int,
        answer: record.Answer | None = None,
    ) -> Commit:
        rec = record.Record(
            state,
            self._attempt,
            self._body,
            entry=self._entry,
            request_id=self._order.request_id,
            at_unix_s=self._unix_time(),
            try_number=max(self._order.try_number, self._row_try_number),
            answer=answer,
        )
        return Commit(api.Write(self._key, version, record.to_row(rec)))

    def _late(self) -> bool:
        return self._clock() >= self._order.deadline_s

    def _unrecorded(self, kind: errors.Kind, reason: str) -> Result:
        """Ends an attempt that has no write open and read no row."""
        if self._order.try_number == 1:
            return Result(_not_run(kind, reason))
        return self._unknown(
            "This call was not sent, but whether an earlier call with its key "
            f"ran is not known: {reason}"
        )

    def _unknown(self, reason: str, repair: Repair | None = None) -> Result:
        failure = errors.Failure(errors.Kind.OUTCOME_UNKNOWN, reason)
        return Result(failure, repair)


def _answer(answered: Answered) -> record.Answer:
    return record.Answer(answered.status, answered.headers, answered.body)


def _not_run(kind: errors.Kind, reason: str) -> errors.Failure:
    failure = errors.Failure(kind, reason)
    if failure.run is errors.Run.NOT_RUN:
        return failure
    return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, reason)


def _repair_pauses() -> Generator[float, None, None]:
    pause_s = REPAIR_PAUSE_FIRST_S
    while True:
        yield pause_s
        pause_s = min(REPAIR_PAUSE_LONGEST_S, pause_s * 2)
