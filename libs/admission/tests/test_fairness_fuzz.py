"""Guards against a queue that loses, repeats or unfairly orders requests.

The oracle is a plain list of what waits. Shares are checked over a backlog: no
two teams that always had requests waiting differ by more than two requests.
"""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.admission import fairness
from dandelionlead.core import errors

TEAMS = ("a", "b", "c")
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
LARGEST = 20
MAX_WAITING = 40


class FairnessMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.queue = fairness.FairQueue(WEIGHTS, max_waiting=MAX_WAITING)
        self.now = 0.0
        self.waiting = []
        # Units over weight that each team got since all of them had a backlog.
        self.given = dict.fromkeys(TEAMS, 0.0)

    def note_backlog(self):
        teams = {item.team for item in self.waiting}
        if teams != set(TEAMS):
            self.given = dict.fromkeys(TEAMS, 0.0)

    @stateful.rule(
        team=st.sampled_from(TEAMS),
        units=st.integers(1, LARGEST),
        priority=st.integers(0, 2),
        left=st.sampled_from((-1.0, 0.5, 5.0, 100.0)),
        count=st.integers(1, 4),
    )
    def push(self, team, units, priority, left, count):
        for _ in range(count):
            item = fairness.Waiting(
                team, units, priority, self.now + left, self.now
            )
            failure = self.queue.push(item, self.now)
            if left <= 0:
                assert failure.kind is errors.Kind.DEADLINE_EXCEEDED
            elif len(self.waiting) >= MAX_WAITING:
                assert failure.run is errors.Run.NOT_RUN
            else:
                assert failure is None
                self.waiting.append(item)

    @stateful.rule(most=st.sampled_from((5, LARGEST)), count=st.integers(1, 6))
    def pop(self, most, count):
        for _ in range(count):
            self.note_backlog()
            live = [item for item in self.waiting if self.now < item.deadline]
            item = self.queue.pop(self.now, lambda item: item.units <= most)
            firsts = [self.first(live, team) for team in TEAMS]
            fitting = [item for item in firsts if item and item.units <= most]
            if item is None:
                assert not fitting
                return
            assert item in fitting
            self.waiting.remove(item)
            self.given[item.team] += item.units / WEIGHTS[item.team]
            if most < LARGEST or len(live) < len(self.waiting) + 1:
                # Skipped and expired requests are not a backlog.
                self.given = dict.fromkeys(TEAMS, 0.0)
            spread = max(self.given.values()) - min(self.given.values())
            assert spread <= 2 * LARGEST / min(WEIGHTS.values())

    def first(self, live, team):
        own = [item for item in live if item.team == team]
        return min(
            own,
            key=lambda item: (-item.priority, item.deadline),
            default=None,
        )

    @stateful.rule(index=st.integers(0, 100))
    def remove(self, index):
        if self.waiting:
            item = self.waiting.pop(index % len(self.waiting))
            assert self.queue.remove(item)
            assert not self.queue.remove(item)

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 10.0)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule()
    def expire(self):
        late = self.queue.expired(self.now)
        expected = [item for item in self.waiting if item.deadline <= self.now]
        assert set(late) == set(expected)
        self.waiting = [item for item in self.waiting if item not in late]

    @stateful.invariant()
    def sums_agree(self):
        assert len(self.queue) == len(self.waiting)
        assert self.queue.units == sum(item.units for item in self.waiting)
        for team in TEAMS:
            own = [item for item in self.waiting if item.team == team]
            assert self.queue.waiting(team) == len(own)


class FairnessFuzz(FairnessMachine.TestCase):
    pass


class SharesTest(unittest.TestCase):
    def test_a_flood_of_one_team_does_not_delay_another(self):
        queue = fairness.FairQueue()
        for _ in range(200):
            queue.push(fairness.Waiting("large", 10, 9, 100.0, 0.0), 0.0)
        for _ in range(20):
            queue.pop(0.0)
        queue.push(fairness.Waiting("small", 10, 0, 100.0, 0.0), 0.0)
        teams = [queue.pop(0.0).team for _ in range(2)]
        self.assertIn("small", teams)

    def test_idle_time_earns_no_credit(self):
        queue = fairness.FairQueue()
        for _ in range(200):
            queue.push(fairness.Waiting("busy", 10, 0, 100.0, 0.0), 0.0)
        for _ in range(100):
            queue.pop(0.0)
        for _ in range(50):
            queue.push(fairness.Waiting("late", 10, 0, 100.0, 0.0), 0.0)
        teams = [queue.pop(0.0).team for _ in range(10)]
        self.assertAlmostEqual(teams.count("late"), 5, delta=1)

    def test_units_not_requests_are_shared(self):
        queue = fairness.FairQueue()
        for _ in range(100):
            queue.push(fairness.Waiting("long", 100, 0, 100.0, 0.0), 0.0)
            queue.push(fairness.Waiting("short", 10, 0, 100.0, 0.0), 0.0)
        teams = [queue.pop(0.0).team for _ in range(55)]
        self.assertAlmostEqual(teams.count("long"), 5, delta=1)


if __name__ == "__main__":
    unittest.main()
