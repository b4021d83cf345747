"""Guards against shares that rise unjudged and verdicts that are undone.

Two stewards, one of which may have lost its lease without knowing it, write
rows that change in between. The oracle is the sequence of rows.
"""

import types
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.platform import api
from dandelionlead.steward import driver

START_S = 1_000_000.0
DEADLINE_S = 600.0
UNJUDGED = 0.05


def _model(number):
    return types.SimpleNamespace(
        name="m",
        current="1",
        next=f"{number}",
        deadline=f"{number}",
        deadline_unix_s=START_S + DEADLINE_S * (number - 1),
        max_unjudged_share=UNJUDGED,
    )


class DriverMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = START_S
        self.row = None
        self.rows = []
        self.item = _model(2)
        self.fences = [1, 2]
        self.requests = 0
        self.good = False
        self.bad = ""
        self.ever_good = False
        self.planned = [None, None]

    @stateful.rule(seconds=st.sampled_from((1, 20, 100, 700)))
    def wait(self, seconds):
        self.now += seconds
        self.requests += seconds

    @stateful.rule(good=st.booleans())
    def judge(self, good):
        self.good = good and not self.bad
        self.ever_good = self.ever_good or self.good

    @stateful.rule(fails=st.integers(0, 9))
    def find_bad(self, fails):
        if not fails:
            self.bad = "fails"
            self.good = False

    @stateful.rule()
    def next_rollout(self):
        self.item = _model(int(self.item.next) + 1)
        self.requests = 0
        self.good = self.ever_good = False
        self.bad = ""
        self.rows = []
        self.planned = [None, None]

    @stateful.rule(which=st.sampled_from((0, 1)))
    def acquire(self, which):
        self.fences[which] = max(self.fences) + 1

    @stateful.rule(which=st.sampled_from((0, 1)))
    def plan(self, which):
        """A steward reads the row and decides; it writes later."""
        found = driver.Evidence(
            bad=self.bad, good=self.good, requests=self.requests
        )
        self.planned[which] = driver.decide(
            self.item,
            self.row,
            found,
            fence=self.fences[which],
            now_unix_s=self.now,
        )

    @stateful.rule(which=st.sampled_from((0, 1)))
    def write(self, which):
        planned, self.planned[which] = self.planned[which], None
        version = 0 if self.row is None else self.row.version
        if planned is None or planned.if_version != version:
            return
        before = self.row
        self.row = api.Row(version + 1, planned.value)
        self.check(before, self.row.value)

    def check(self, before, value):
        assert 0 <= value["share"] <= 1
        if not self.ever_good:
            assert value["share"] <= UNJUDGED, value
        if before is None:
            return
        assert value["fence"] >= before.value["fence"], "an older holder wrote"
        if before.value["rollout_id"] == value["rollout_id"]:
            assert before.value["state"] == "under_way", "undone"
            fell = value["share"] < before.value["share"]
            assert fell == (value["state"] == "rolled_back")

    @stateful.rule(which=st.sampled_from((0, 1)), seconds=st.integers(1, 80))
    def step(self, which, seconds):
        self.wait(seconds)
        self.plan(which)
        self.write(which)

    @stateful.rule()
    def drive_to_the_end(self):
        """One holder ends every rollout by its deadline."""
        self.acquire(0)
        while self.now < self.item.deadline_unix_s:
            self.now += 1
            self.requests += 1
            self.plan(0)
            self.write(0)
        self.plan(0)
        self.write(0)
        self.now += 1
        self.plan(0)
        self.write(0)
        assert self.row.value["state"] != "under_way", self.row.value


DriverFuzz = DriverMachine.TestCase

if __name__ == "__main__":
    unittest.main()
