"""Guards against bad versions that stay and good ones that are taken back.

The full operating curve is measured by tools/bench_rollout.py; this is a
seeded part of it, with the false alarm rate at its bound.
"""

import pathlib
import random
import sys
import unittest

from dandelionlead.rollout import evidence
from dandelionlead.rollout import judge

_TOOLS = pathlib.Path(__file__).resolve().parents[3] / "tools"
sys.path.insert(0, str(_TOOLS))

import bench_rollout  # noqa: E402

GOOD_RUNS = 30
BAD_RUNS = 8


class OperatingCurveTest(unittest.TestCase):
    def test_good_versions_are_done_by_the_deadline(self):
        results = [bench_rollout.run(seed, "good") for seed in range(GOOD_RUNS)]
        bad = sum(item["bad"] for item in results)
        done = sum(item["state"] == "done" for item in results)
        # At the stated 1%, two or more of 30 have a probability below 4%.
        self.assertLessEqual(bad, 1, results)
        self.assertGreaterEqual(done, GOOD_RUNS - 2, results)

    def test_bad_versions_are_taken_back(self):
        limits_s = {
            "fails_at_once": 60,
            "fails_3pct": 600,
            "slow_1.5x": 300,
            "fails_one_route": 90,
            "fails_later": 0.3 * bench_rollout.DEADLINE_S + 60,
        }
        for scenario, limit_s in limits_s.items():
            with self.subTest(scenario=scenario):
                for seed in range(BAD_RUNS):
                    result = bench_rollout.run(seed, scenario)
                    self.assertTrue(result["bad"], result)
                    self.assertLessEqual(result["at_s"], limit_s)


class SequentialJudgeTest(unittest.TestCase):
    def test_looks_with_one_version_only_are_kept(self):
        tested = judge.SequentialJudge()
        for _ in range(8):
            tested.look(evidence.Sample(1, 1), evidence.Sample())
            found = tested.look(evidence.Sample(), evidence.Sample(20, 0))
        self.assertEqual(found.finding, judge.Finding.BAD)

    def test_failures_of_one_moment_do_not_condemn_a_version(self):
        tested = judge.SequentialJudge()
        rng = random.Random(1)
        for look in range(200):
            # One endpoint dies with twelve requests.
            failures = 12 if look == 100 else 0
            new = evidence.Sample(13, failures)
            old = evidence.Sample(100, rng.random() < 0.2)
            found = tested.look(new, old)
            self.assertNotEqual(found.finding, judge.Finding.BAD)
        self.assertEqual(found.finding, judge.Finding.GOOD)

    def test_bad_is_final(self):
        tested = judge.SequentialJudge()
        for _ in range(10):
            tested.look(evidence.Sample(5, 5), evidence.Sample(50, 0))
        for _ in range(100):
            found = tested.look(evidence.Sample(50, 0), evidence.Sample(50, 0))
        self.assertEqual(found.finding, judge.Finding.BAD)


if __name__ == "__main__":
    unittest.main()
