"""Guards against transactions that apply in part, twice, or never.

The oracle keeps rows in a dict and late transactions in a list.
"""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.platform import api
from dandelionlead.standins import platform_core

_NAMES = st.sampled_from("abc")
_OPS = st.lists(
    st.tuples(_NAMES, st.integers(-1, 3), st.none() | st.integers(0, 9)),
    min_size=1,
    max_size=3,
    unique_by=lambda op: op[0],
)


class TablesMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.platform = platform_core.Platform()
        self.now = 100.0
        # Row name -> (version, value); a deleted row keeps its version.
        self.rows = {}
        self.late = []

    @stateful.rule(
        ops=_OPS,
        fault=st.sampled_from(["", "answer", "request"]),
        late_s=st.sampled_from([0.0, 1.0, 3.0]),
    )
    def transact(self, ops, fault, late_s):
        ops = [self._resolved(op) for op in ops]
        self._set_faults(fault, late_s)
        outcome = self.platform.tables.transact(_writes(ops), self.now)
        self._deliver()
        if fault == "request":
            self.assert_lost(outcome)
        elif fault == "answer" and late_s > 0:
            self.assert_lost(outcome)
            self.late.append((self.now + late_s, ops))
        else:
            expected = self._apply(ops)
            if fault:
                self.assert_lost(outcome)
            elif isinstance(outcome, api.Conflict):
                assert ("conflict", outcome.failed) == expected
            else:
                assert ("commit", outcome.versions) == expected

    @stateful.rule(ops=_OPS)
    def row_named_twice_is_refused(self, ops):
        name, _, value = ops[0]
        twice = _writes([(name, 0, value), (name, 0, value)])
        try:
            self.platform.tables.transact(twice, self.now)
        except ValueError:
            self._deliver()
            return
        raise AssertionError("A row named twice was accepted.")

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 5.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def rows_agree(self):
        names = list("abc")
        keys = [api.Key("t", name) for name in names]
        found = self.platform.tables.read(keys, self.now)
        self._deliver()
        for name, row in zip(names, found, strict=True):
            version, value = self.rows.get(name, (0, None))
            if value is None:
                assert row is None
            else:
                assert (row.version, row.value) == (version, {"v": value})
                # The caller's copy is not the stored row.
                row.value["v"] = "changed"

    def assert_lost(self, outcome):
        assert isinstance(outcome, platform_core.Lost)

    def _set_faults(self, fault, late_s):
        self.platform.faults.update(
            {
                "lose_answers": int(fault == "answer"),
                "lose_requests": int(fault == "request"),
                "late_commit_s": late_s,
            }
        )

    def _resolved(self, op):
        name, if_version, value = op
        # -1 stands for the present version, so that commits are common.
        if if_version == -1:
            if_version = self._version(name)
        return name, if_version, value

    def _version(self, name):
        version, value = self.rows.get(name, (0, None))
        return version if value is not None else 0

    def _apply(self, ops):
        failed = [
            index
            for index, (name, if_version, _) in enumerate(ops)
            if self._version(name) != if_version
        ]
        if failed:
            return "conflict", failed
        versions = []
        for name, _, value in ops:
            version = self.rows.get(name, (0, None))[0]
            if value is not None:
                version += 1
            self.rows[name] = (version, value)
            versions.append(version if value is not None else 0)
        return "commit", versions

    def _deliver(self):
        due = [item for item in self.late if item[0] <= self.now]
        self.late = [item for item in self.late if item[0] > self.now]
        for _, ops in sorted(due, key=lambda item: item[0]):
            self._apply(ops)


def _writes(ops):
    return [
        api.Write(
            api.Key("t", name),
            if_version,
            None if value is None else {"v": value},
        )
        for name, if_version, value in ops
    ]


TablesFuzzTest = TablesMachine.TestCase

if __name__ == "__main__":
    unittest.main()
