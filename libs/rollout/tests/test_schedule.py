"""Guards against shares that rise unjudged and rollouts that never end."""

import random
import unittest

from dandelionlead.rollout import schedule
from dandelionlead.rollout import verdicts


class ScheduleTest(unittest.TestCase):
    def test_every_rollout_ends_by_its_deadline(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                self._run(random.Random(seed))

    def _run(self, rng):
        deadline = rng.choice((30, 200, 3600, 100_000))
        plan = schedule.Schedule(0, deadline)
        good_at = rng.uniform(0, 1.2 * deadline)
        bad_at = rng.choice((rng.uniform(0, deadline), 2 * deadline))
        rate = rng.choice((0, 1, 50))
        state = plan.begin()
        now = 0.0
        while state.state == "under_way":
            now += deadline / 1000
            before = state
            state = plan.next(
                state,
                now,
                bad="fails" if now >= bad_at else "",
                good=now >= good_at,
                requests=int(rate * (now - state.step_at)),
            )
            if now < good_at:
                self.assertLessEqual(state.share, schedule.MAX_UNJUDGED_SHARE)
            if now >= bad_at:
                self.assertEqual(state.state, "rolled_back")
            if state.state == "under_way":
                self.assertGreaterEqual(state.share, before.share)
        self.assertLessEqual(now, deadline)
        self.assertEqual(state.share, float(state.state == "done"))
        time_left_s = deadline - good_at
        needed_s = schedule.SHORTEST_STEP_S * len(schedule.STEPS)
        if bad_at > deadline and time_left_s > needed_s + deadline / 500:
            self.assertEqual(state.state, "done", state.reason)

    def test_thin_evidence_holds_a_step(self):
        plan = schedule.Schedule(0, 10_000)
        state = schedule.State(0.1, "under_way", "", True, 100)
        self.assertIs(plan.next(state, 200, requests=10), state)
        self.assertEqual(plan.next(state, 200, requests=200).share, 0.25)


class VerdictBookTest(unittest.TestCase):
    def test_first_verdict_is_final_and_no_row_raises_the_share(self):
        book = verdicts.VerdictBook()
        self.assertEqual(book.share("r", 0.25), 0.25)
        first = verdicts.Verdict("m", "2", "r", "fails")
        self.assertEqual(book.merge([first]), [first])
        self.assertFalse(book.add(verdicts.Verdict("m", "2", "r", "slow")))
        self.assertEqual(book.share("r", 0.5), 0.0)
        self.assertEqual(book.get("r").reason, "fails")
        self.assertEqual(book.share("other", 0.5), 0.5)


if __name__ == "__main__":
    unittest.main()
