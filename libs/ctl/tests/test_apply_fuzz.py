"""Guards against false answers of `apply` when operators race and calls fail.

Several operators run `apply.run` in greenlets. Each call to the table stops
its greenlet, and a rule decides when the call is served and with which fault.
The oracle is the list of writes that took effect on the head row.
"""

import unittest

import greenlet
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.core import errors
from dandelionlead.ctl import apply
from dandelionlead.platform import api

_OK = "ok"
_OUTAGE = "outage"
_LOST_REQUEST = "lost request"
_LOST_ANSWER = "lost answer"
_LATE = "late commit"
# A read is lost by an outage only; the other faults are those of writes.
_FAULTS = (_OUTAGE, _LOST_REQUEST, _LOST_ANSWER, _LATE)
_CALL_S = 0.05
_LIMIT_S = 2.0
_MAX_OPERATORS = 3


class Objects(api.ObjectStore):
    def __init__(self):
        self.content = {}
        self.failing = 0

    def put(self, data):
        if self._fails():
            return _unavailable()
        digest = apply.config_parts.digest(data)
        self.content[digest] = data
        return digest

    def get(self, digest):
        if self._fails() or digest not in self.content:
            return _unavailable()
        return self.content[digest]

    def _fails(self):
        self.failing = max(0, self.failing - 1)
        return self.failing > 0


class HeadRows:
    """Head and version row; `effects` lists (version, apply id) of writes."""

    def __init__(self):
        self.rows = {}
        self.effects = []

    def read(self, keys):
        return [self.rows.get(key) for key in keys]

    def versions(self):
        """Returns the versions that the rows name; one if they agree."""
        keys = [apply.HEAD_KEY, apply.VERSION_KEY]
        return {row.value["version"] if row else 0 for row in self.read(keys)}

    def write(self, ops):
        failed = [
            index
            for index, op in enumerate(ops)
            if self._version(op.key) != op.if_version
        ]
        if failed:
            return api.Conflict(failed)
        for op in ops:
            self.rows[op.key] = api.Row(op.if_version + 1, op.value)
        value = self.rows[apply.HEAD_KEY].value
        self.effects.append((value["version"], value["apply_id"]))
        return api.Committed([op.if_version + 1 for op in ops])

    def _version(self, key):
        row = self.rows.get(key)
        return row.version if row else 0


class Operator(api.TableService):
    """One run of `apply`; `pending` is the call that waits to be served."""

    def __init__(self, number, objects, parts, if_version):
        self.apply_id = f"op-{number}"
        self.pending = None
        self.result = None
        self.write_faults = 0
        self.failed = False
        self._time_s = 0.0
        self._hub = greenlet.getcurrent()
        self._thread = greenlet.greenlet(self._run)
        self._args = (parts, objects, if_version)
        self._thread.switch()

    def serve(self, answer):
        self.pending = None
        self._thread.switch(answer)

    def read(self, keys):
        return self._call("read", keys)

    def transact(self, ops):
        return self._call("transact", ops)

    def _call(self, name, op):
        self._time_s += _CALL_S
        self.pending = (name, op)
        return self._hub.switch()

    def _wait(self, seconds):
        self._time_s += seconds

    def _run(self):
        parts, objects, if_version = self._args
        timing = apply.Timing(lambda: self._time_s, self._wait, _LIMIT_S)
        self.result = apply.run(
            parts,
            self,
            objects,
            timing,
            apply_id=self.apply_id,
            if_version=if_version,
        )


class ApplyMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.head = HeadRows()
        self.objects = Objects()
        self.operators = []
        self.late = []

    def _active(self):
        return [item for item in self.operators if item.result is None]

    def _pick(self, index):
        active = self._active()
        return active[index % len(active)]

    @stateful.precondition(lambda self: len(self._active()) < _MAX_OPERATORS)
    @stateful.rule(
        content=st.integers(0, 9),
        if_version=st.one_of(st.none(), st.integers(0, 3)),
        failing=st.integers(0, 4),
    )
    def start(self, content, if_version, failing):
        self.objects.failing = failing
        parts = {"models": b"%d" % content, "teams/00": b"same"}
        number = len(self.operators)
        self.operators.append(Operator(number, self.objects, parts, if_version))

    @stateful.precondition(lambda self: self._active())
    @stateful.rule(index=st.integers(0, 9))
    def serve(self, index):
        self._serve(self._pick(index), _OK)

    @stateful.precondition(lambda self: self._active())
    @stateful.rule(index=st.integers(0, 9), fault=st.sampled_from(_FAULTS))
    def serve_with_fault(self, index, fault):
        self._serve(self._pick(index), fault)

    @stateful.precondition(lambda self: self._active())
    @stateful.rule(index=st.integers(0, 9), fault=st.sampled_from(_FAULTS))
    def fail_all_attempts(self, index, fault):
        operator = self._pick(index)
        while operator.result is None:
            self._serve(operator, fault)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=st.integers(0, 9))
    def land(self, index):
        self.head.write(self.late.pop(index % len(self.late)))

    def _serve(self, operator, fault):
        name, op = operator.pending
        operator.failed |= fault != _OK
        if name == "read":
            lost = fault == _OUTAGE
            operator.serve(_unavailable() if lost else self.head.read(op))
            return
        operator.write_faults += fault not in (_OK, _OUTAGE)
        operator.serve(self._transact(op, fault))

    def _transact(self, op, fault):
        if fault == _OUTAGE:
            return api.Unavailable("out of service")
        if fault == _LATE:
            self.late.append(op)
        if fault in (_LATE, _LOST_REQUEST):
            return api.OutcomeUnknown("timed out")
        outcome = self.head.write(op)
        if fault == _LOST_ANSWER:
            return api.OutcomeUnknown("answer lost")
        return outcome

    @stateful.invariant()
    def version_row_agrees_with_the_head(self):
        assert len(self.head.versions()) == 1, self.head.versions()

    @stateful.invariant()
    def versions_rise_by_one_with_one_winner_each(self):
        versions = [version for version, _ in self.head.effects]
        assert versions == list(range(1, len(versions) + 1)), versions
        winners = [winner for _, winner in self.head.effects]
        assert len(set(winners)) == len(winners), winners

    @stateful.invariant()
    def answers_are_true(self):
        for operator in self.operators:
            if operator.result is not None:
                self._check(operator, operator.result)

    def _check(self, operator, result):
        effects = self.head.effects
        wrote = [v for v, winner in effects if winner == operator.apply_id]
        if isinstance(result, apply.Accepted):
            claimed = (result.head.version, result.head.apply_id)
            assert claimed in effects, claimed
            if result.changed:
                assert wrote == [result.head.version], (wrote, claimed)
            assert max(self.head.versions()) >= result.head.version
            assert result.superseded_by <= len(effects)
        elif isinstance(result, apply.Refused):
            assert not wrote, f"{operator.apply_id} refused, wrote {wrote}"
            if result.winner_id:
                claimed = (result.winner_version, result.winner_id)
                assert claimed in effects, claimed
        else:
            assert operator.write_faults, "unknown without a lost answer"

    def teardown(self):
        for operator in self.operators:
            failed_before = operator.failed
            while operator.result is None:
                self._serve(operator, _OK)
            if not failed_before and not self.objects.failing:
                assert not isinstance(operator.result, apply.Unknown)
        while self.late:
            self.head.write(self.late.pop())
        self.versions_rise_by_one_with_one_winner_each()
        self.answers_are_true()


def _unavailable():
    return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "out of service")


class ApplyFuzzTest(unittest.TestCase):
    def test_answers_are_true_under_faults_and_races(self):
        stateful.run_state_machine_as_test(
            ApplyMachine,
            settings=hypothesis.settings(stateful_step_count=40),
        )


if __name__ == "__main__":
    unittest.main()
