"""Guards against an order that runs twice and against a false `not_run`.

Several entries run procedures step by step; a step may fail, take effect late,
lose its answer, or be the last one of an entry that dies or freezes. The oracle
is the service's own list of calls.
"""

import itertools
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.core import errors
from dandelionlead.orders import group_commit
from dandelionlead.orders import steps
from dandelionlead.platform import api

NUMBERED = ("n0", "n1")
KEYS = (*NUMBERED, "p0")
BODIES = (b"a", b"b")
COMMIT_FAULTS = ("ok", "ok", "ok", "lost", "late", "unavailable")
READABLE = (True, True, True, False)
FREEZES = (False, False, False, False, True)
SENDS = ("ok", "ok", "not_sent", "lost_after_run", "lost_before_run")


class Table(api.TableService):
    def __init__(self):
        self.rows = {}
        self.late = []
        self.fault = "ok"
        self.readable = True

    def read(self, keys):
        if not self.readable:
            return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "outage")
        return [self.rows.get(key) for key in keys]

    def transact(self, ops):
        fault = self.fault
        if fault == "unavailable":
            return api.Unavailable("outage")
        if fault == "late":
            self.late.append(list(ops))
            return api.OutcomeUnknown("late")
        outcome = self.apply(ops)
        return api.OutcomeUnknown("lost") if fault == "lost" else outcome

    def apply(self, ops):
        now = [self.rows.get(op.key, api.Row(0, {})).version for op in ops]
        failed = [i for i, op in enumerate(ops) if now[i] != op.if_version]
        if failed:
            return api.Conflict(failed)
        for op, version in zip(ops, now, strict=True):
            self.rows[op.key] = api.Row(version + 1, dict(op.value))
        return api.Committed([version + 1 for version in now])


class Call:
    """One call of a caller at one entry, with the step it stands before."""

    def __init__(self, key, body, number, attempt, maker, procedure):
        self.key, self.body, self.number = key, body, number
        self.attempt, self.maker = attempt, maker
        self.procedure = procedure
        self.step = next(procedure)
        self.result = None
        self.performed = False
        self.reply = None


class OrdersMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.table = Table()
        self.now = 0.0
        self.ids = itertools.count(1)
        self.numbers = dict.fromkeys(KEYS, 0)
        self.calls = []
        self.repairs = []
        self.killed = set()
        self.mortal = ()
        self.outage = False
        # The oracle: what the service saw, and what callers were told.
        self.runs = {}
        self.may_have_run = dict.fromkeys(KEYS, 0)
        self.not_run_up_to = dict.fromkeys(KEYS, 0)
        self.refused = set()
        self.lost = []

    @stateful.initialize(mortal=st.sampled_from(((), ("n0",), KEYS)))
    def choose_mortal(self, mortal):
        self.mortal = mortal

    @stateful.rule(
        key=st.sampled_from(KEYS),
        body=st.sampled_from((*BODIES[:1] * 3, *BODIES)),
        lasts_s=st.sampled_from((0.0, 0.3, 5.0, 60.0, 60.0)),
    )
    def call(self, key, body, lasts_s):
        self.numbers[key] += 1
        number = self.numbers[key] if key in NUMBERED else 0
        self.start(key, body, number, lasts_s)

    def start(self, key, body, number, lasts_s):
        order = steps.Order(
            "team",
            "route",
            key,
            body,
            deadline_s=self.now + lasts_s,
            try_number=number,
        )
        attempt = f"a{next(self.ids)}"
        maker = steps.Attempt(
            order,
            attempt,
            entry="e",
            clock=lambda: self.now,
            unix_time=lambda: self.now,
        )
        procedure = maker.run()
        try:
            call = Call(key, body, number, attempt, maker, procedure)
        except StopIteration as end:
            self.tell(key, body, number, attempt, end.value)
            return end.value.reply
        self.calls.append(call)
        return call

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        data=st.data(),
        count=st.sampled_from((1, 1, 2, 4, 10)),
        sent=st.sampled_from(SENDS),
    )
    def advance(self, data, count, sent):
        call = data.draw(st.sampled_from(self.calls))
        for _ in range(count):
            if not call.performed:
                self.table.fault = data.draw(st.sampled_from(COMMIT_FAULTS))
                self.table.readable = data.draw(st.sampled_from(READABLE))
                if self.outage:
                    self.table.readable = False
                call.result = self.perform(call.step, call, sent)
                call.performed = True
            if data.draw(st.sampled_from(FREEZES)):
                return
            self.deliver(call)
            if call not in self.calls:
                return

    @stateful.precondition(lambda self: len(self.calls) > 1)
    @stateful.rule(fault=st.sampled_from(COMMIT_FAULTS), readable=st.booleans())
    def advance_group(self, fault, readable):
        group = {}
        for call in self.calls:
            if isinstance(call.step, steps.Commit) and not call.performed:
                group.setdefault(call.step.write.key, call)
        self.table.fault, self.table.readable = fault, readable
        calls = list(group.values())
        outcomes = group_commit.commit_together(
            self.table, [call.step.write for call in calls]
        )
        for call, outcome in zip(calls, outcomes, strict=True):
            call.result, call.performed = outcome, True
            self.deliver(call)

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(data=st.data())
    def kill(self, data):
        call = data.draw(st.sampled_from(self.calls))
        if call.key in self.mortal:
            self.calls.remove(call)
            self.killed.add(call.key)

    @stateful.precondition(lambda self: self.table.late)
    @stateful.rule(data=st.data())
    def take_effect_late(self, data):
        at = data.draw(st.integers(0, len(self.table.late) - 1))
        self.table.apply(self.table.late.pop(at))

    @stateful.precondition(lambda self: self.repairs)
    @stateful.rule(
        data=st.data(),
        fault=st.sampled_from(COMMIT_FAULTS),
        readable=st.booleans(),
    )
    def advance_repair(self, data, fault, readable):
        repair = data.draw(st.sampled_from(self.repairs))
        self.table.fault, self.table.readable = fault, readable
        self.move_repair(repair)

    @stateful.precondition(lambda self: self.lost)
    @stateful.rule(data=st.data())
    def late_answer(self, data):
        call = data.draw(st.sampled_from(self.lost))
        self.lost.remove(call)
        answered = steps.Answered(200, [], self.runs[call.key][2])
        self.add_repair(call.maker.record_late_answer(answered))

    @stateful.rule(seconds=st.sampled_from((0.1, 0.3, 1.0)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule()
    def start_or_end_outage(self):
        self.outage = not self.outage

    def perform(self, step, call, sent):
        if isinstance(step, steps.Read):
            rows = self.table.read([step.key])
            return rows if isinstance(rows, errors.Failure) else rows[0]
        if isinstance(step, steps.Commit):
            return group_commit.commit_together(self.table, [step.write])[0]
        if isinstance(step, steps.Sleep):
            self.now += step.seconds
            return None
        return self.send(call, sent)

    def send(self, call, sent):
        if sent == "not_sent":
            return steps.NotSent("refused")
        self.may_have_run[call.key] += 1
        assert self.may_have_run[call.key] == 1, "the order was sent twice"
        assert (call.key, call.body) not in self.refused, "refused body sent"
        if call.number:
            assert call.number > self.not_run_up_to[call.key], (
                "the order runs although a call with this or a higher number "
                "was told `not_run`"
            )
        if sent == "lost_before_run":
            return steps.Lost("cut")
        assert call.key not in self.runs, "the order ran twice"
        body = f"answer {next(self.ids)}".encode()
        self.runs[call.key] = (call.body, call, body)
        if sent == "lost_after_run":
            self.lost.append(call)
            return steps.Lost("cut")
        return steps.Answered(200, [], body)

    def deliver(self, call):
        call.performed = False
        try:
            call.step = call.procedure.send(call.result)
        except StopIteration as end:
            self.calls.remove(call)
            call.reply = end.value.reply
            self.tell(call.key, call.body, call.number, call.attempt, end.value)

    def tell(self, key, body, number, attempt, result):
        if result.repair is not None:
            self.add_repair(result.repair)
        reply = result.reply
        run = self.runs.get(key)
        if not isinstance(reply, errors.Failure):
            assert run is not None, "an answer without a run"
            assert (run[0], run[2]) == (body, reply.body), "a foreign answer"
        elif reply.kind is errors.Kind.KEY_REUSED:
            self.refused.add((key, body))
            assert run is None or run[0] != body, "the refused body ran"
        elif reply.run is errors.Run.NOT_RUN:
            if run is not None:
                assert run[1].attempt != attempt, "`not_run` of a run attempt"
                assert not number or run[1].number > number, "a false `not_run`"
            self.not_run_up_to[key] = max(self.not_run_up_to[key], number)
        else:
            assert reply.run is errors.Run.UNKNOWN

    def add_repair(self, repair):
        entry = [repair, next(repair)]
        self.repairs.append(entry)

    def move_repair(self, entry):
        result = self.perform(entry[1], None, None)
        try:
            entry[1] = entry[0].send(result)
        except StopIteration:
            self.repairs.remove(entry)

    def teardown(self):
        """Without faults, every key that nobody died with can be run."""
        self.table.fault, self.table.readable = "ok", True
        # The newest call first, so that an older one meets its `not_run`.
        for call in reversed(list(self.calls)):
            newest = call is self.calls[-1] and len(self.calls) > 1
            sent = "not_sent" if newest else "ok"
            while call in self.calls:
                if not call.performed:
                    call.result = self.perform(call.step, call, sent)
                self.deliver(call)
        while self.table.late:
            self.table.apply(self.table.late.pop())
        while self.repairs:
            self.move_repair(self.repairs[0])
        for key in set(KEYS) - self.killed:
            self.finish(key)

    def finish(self, key):
        for body in BODIES:
            self.numbers[key] += 1
            number = self.numbers[key] if key in NUMBERED else 0
            call = self.start(key, body, number, 60.0)
            while call in self.calls:
                call.result = self.perform(call.step, call, "ok")
                self.deliver(call)
            kind = getattr(call.reply, "kind", None)
            assert kind is not errors.Kind.ORDER_IN_PROGRESS, "stuck"
        assert self.may_have_run[key], "the order can never be run"


OrdersMachine.TestCase.settings = hypothesis.settings(stateful_step_count=100)
OrdersTest = OrdersMachine.TestCase


if __name__ == "__main__":
    unittest.main()
