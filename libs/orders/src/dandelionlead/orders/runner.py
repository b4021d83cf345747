"""Runs orders at most once with real services; `steps` decides what to do."""

from __future__ import annotations

import heapq
import itertools
import threading
import time
import uuid
from collections.abc import Callable
from typing import Any

from dandelionlead.core import clock as core_clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.orders import group_commit
from dandelionlead.orders import record
from dandelionlead.orders import steps
from dandelionlead.platform import api

# Ends that wait to be recorded. At 40 orders a second of one entry this covers
# 100 s of an outage; what does not fit stays `started`, which is never run.
REPAIRS_LIMIT = 4096
# A repair blocks its worker for the time-outs of the table client.
REPAIR_WORKERS = 4

SendFunction = Callable[[steps.Order, str], steps.Sent]


class OrderRunner:
    """Runs orders of one entry.

    Args:
        committer: Commits records in groups.
        table: Reads records.
        send: Sends a call once (order, attempt id) and says what became of it.
            It must bound its own time. An exception counts as `Lost`.
        clock: Clock of the orders' deadlines, in seconds.
        entry: Name of the entry, for the record.
        log: Receives one event for each order and each repair that is given up.
        sleep: Waits a number of seconds.
        repairs_limit: Ends that may wait to be recorded.
    """

    def __init__(
        self,
        committer: group_commit.GroupCommitter,
        table: api.TableService,
        send: SendFunction,
        clock: Callable[[], float] = core_clock.boottime,
        *,
        entry: str = "",
        log: events.Log | None = None,
        sleep: Callable[[float], None] = time.sleep,
        repairs_limit: int = REPAIRS_LIMIT,
    ) -> None:
        self._committer = committer
        self._table = table
        self._send = send
        self._clock = clock
        self._entry = entry
        self._log = log
        self._sleep = sleep
        self._repairs = _Repairs(self, repairs_limit)

    def run(self, order: steps.Order) -> record.Answer | errors.Failure:
        """Runs an order at most once and returns what the caller is told.

        Returns:
            The service's answer, now or as recorded earlier, or a failure
            whose `run` is true. Blocks until the order's deadline, the end of
            `send`, and a bounded time for recording the end.
        """
        attempt = uuid.uuid4().hex
        procedure = self._attempt(order, attempt).run()
        result = self._drive(procedure)
        if result.repair is not None:
            self._repair(order, attempt, result.repair)
        self._report("order_end", order, attempt, result.reply)
        return result.reply

    def late_answer(
        self, order: steps.Order, attempt: str, answered: steps.Answered
    ) -> None:
        """Records an answer that came after `send` had reported `Lost`.

        Later callers with the same key get this answer.
        """
        maker = self._attempt(order, attempt)
        self._repair(order, attempt, maker.record_late_answer(answered))

    def pending_repairs(self) -> int:
        """Returns how many ends still wait to be recorded."""
        return self._repairs.pending()

    def close(self) -> None:
        """Gives up all repairs and ends their workers."""
        self._repairs.close()

    def perform(self, step: steps.Step) -> Any:
        """Does one step with the real services and returns its result."""
        if isinstance(step, steps.Read):
            return self._read(step.key)
        if isinstance(step, steps.Commit):
            return self._committer.commit(step.write)
        if isinstance(step, steps.Send):
            return self._send_once(step)
        self._sleep(step.seconds)
        return None

    def _attempt(self, order: steps.Order, attempt: str) -> steps.Attempt:
        return steps.Attempt(
            order,
            attempt,
            entry=self._entry,
            clock=self._clock,
            unix_time=core_clock.unix_time,
        )

    def _drive(self, procedure: Any) -> steps.Result:
        outcome = None
        while True:
            try:
                step = procedure.send(outcome)
            except StopIteration as end:
                return end.value
            outcome = self.perform(step)

    def _read(self, key: api.Key) -> api.Row | errors.Failure | None:
        try:
            rows = self._table.read([key])
        except Exception as exc:
            return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, repr(exc))
        return rows if isinstance(rows, errors.Failure) else rows[0]

    def _send_once(self, step: steps.Send) -> steps.Sent:
        try:
            return self._send(step.order, step.attempt)
        except Exception as exc:
            # The call may have left before the error.
            return steps.Lost(f"Sending the call failed: {exc!r}.")

    def _repair(
        self, order: steps.Order, attempt: str, repair: steps.Repair
    ) -> None:
        def ended(recorded: bool) -> None:
            if not recorded and self._log is not None:
                self._log.event(
                    "order_end_not_recorded",
                    req=order.request_id,
                    attempt=attempt,
                    key=order.key.key,
                )

        if not self._repairs.add(repair, ended):
            ended(False)

    def _report(
        self,
        name: str,
        order: steps.Order,
        attempt: str,
        reply: record.Answer | errors.Failure,
    ) -> None:
        if self._log is None:
            return
        fields: dict[str, object] = {"attempt": attempt, "key": order.key.key}
        if isinstance(reply, errors.Failure):
            fields |= {
                "kind": reply.kind.value,
                "run": reply.run.value,
                "reason": reply.reason,
            }
        else:
            fields |= {"status": reply.status, "replayed": reply.replayed}
        self._log.event(name, req=order.request_id, **fields)


class _Repairs:
    """Drives repairs in the background, each until its own bound."""

    def __init__(self, runner: OrderRunner, limit: int) -> None:
        self._runner = runner
        self._limit = limit
        self._changed = threading.Condition()
        # Due time, tie-breaker, repair, what to call at its end.
        self._waiting: list[
            tuple[float, int, steps.Repair, Callable[[bool], None]]
        ] = []
        self._numbers = itertools.count()
        self._pending = 0
        self._closed = False
        self._workers: list[threading.Thread] = []

    def add(self, repair: steps.Repair, ended: Callable[[bool], None]) -> bool:
        """Takes a repair over; false if too many wait."""
        with self._changed:
            if self._closed or self._pending >= self._limit:
                return False
            self._pending += 1
            self._push(0.0, repair, ended)
            if len(self._workers) < min(REPAIR_WORKERS, self._pending):
                worker = threading.Thread(target=self._work, daemon=True)
                self._workers.append(worker)
                worker.start()
        return True

    def pending(self) -> int:
        """Returns the number of repairs that have not ended."""
        return self._pending

    def close(self) -> None:
        """Ends the workers; repairs that wait are given up."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _push(
        self,
        delay_s: float,
        repair: steps.Repair,
        ended: Callable[[bool], None],
    ) -> None:
        due = time.monotonic() + delay_s
        entry = (due, next(self._numbers), repair, ended)
        heapq.heappush(self._waiting, entry)
        self._changed.notify()

    def _work(self) -> None:
        while True:
            with self._changed:
                entry = self._take()
            if entry is None:
                return
            _, _, repair, ended = entry
            pause_s = self._advance(repair, ended)
            with self._changed:
                if pause_s is None:
                    self._pending -= 1
                else:
                    self._push(pause_s, repair, ended)

    def _take(
        self,
    ) -> tuple[float, int, steps.Repair, Callable[[bool], None]] | None:
        while not self._closed:
            if not self._waiting:
                self._changed.wait()
                continue
            left_s = self._waiting[0][0] - time.monotonic()
            if left_s <= 0:
                return heapq.heappop(self._waiting)
            self._changed.wait(left_s)
        return None

    def _advance(
        self, repair: steps.Repair, ended: Callable[[bool], None]
    ) -> float | None:
        """Does steps up to the next pause; None at the end."""
        outcome = None
        while True:
            try:
                step = repair.send(outcome)
            except StopIteration as end:
                ended(bool(end.value))
                return None
            except Exception:
                # One faulty record must not end the worker of all others.
                ended(False)
                return None
            if isinstance(step, steps.Sleep):
                return step.seconds
            outcome = self._runner.perform(step)
