"""Guards against waits without hope and refusals without reason."""

import unittest

from dandelionlead.admission import fairness
from dandelionlead.admission import overload
from dandelionlead.core import errors


def served(rate):
    """Returns an estimator that saw `rate` units/s for 20 s until now=20."""
    result = overload.Overload()
    for tick in range(200):
        result.started(rate / 10, tick / 10)
    return result


def waiting(team, deadline, units=10):
    return fairness.Waiting(team, units, 0, deadline, 20.0)


class OverloadTest(unittest.TestCase):
    def test_the_estimate_follows_the_rate(self):
        self.assertAlmostEqual(served(100).wait_s(500, 20.0), 5.0, delta=0.3)

    def test_an_idle_entry_refuses_nothing(self):
        queue = fairness.FairQueue()
        for estimator in (overload.Overload(), served(1)):
            item = waiting("t", 20.5)
            self.assertIsNone(estimator.refusal(queue, item, 20.0))

    def test_hopeless_requests_are_refused_as_not_run_with_retry_after(self):
        queue = fairness.FairQueue()
        for _ in range(100):
            queue.push(waiting("t", 60.0), 20.0)
        failure = served(100).refusal(queue, waiting("t", 25.0), 20.0)
        self.assertEqual(failure.run, errors.Run.NOT_RUN)
        self.assertAlmostEqual(failure.retry_after_s, 5.0, delta=1.0)
        self.assertIsNone(served(100).refusal(queue, waiting("t", 40.0), 20.0))

    def test_a_flood_is_refused_as_over_share_and_others_are_not(self):
        queue = fairness.FairQueue()
        for _ in range(200):
            queue.push(waiting("large", 60.0), 20.0)
        for _ in range(10):
            queue.push(waiting("small", 60.0), 20.0)
        estimator = served(100)
        large = estimator.refusal(queue, waiting("large", 25.0), 20.0)
        small = estimator.refusal(queue, waiting("small", 25.0), 20.0)
        self.assertEqual(large.kind, errors.Kind.OVER_SHARE)
        self.assertIsNone(small)

    def test_a_route_that_overtakes_is_not_refused_by_its_units(self):
        # Guards against refusing short requests that would run in time.
        queue = fairness.FairQueue()
        for _ in range(100):
            queue.push(waiting("t", 60.0), 20.0)
        estimator = served(100)
        for _ in range(20):
            item = waiting("t", 60.0)
            item.route = "short"
            estimator.refusal(queue, item, 20.0)
            estimator.started(10, 20.5, item=item)
        item = waiting("t", 25.0)
        item.route = "short"
        self.assertIsNone(estimator.refusal(queue, item, 20.5))
        other = estimator.refusal(queue, waiting("t", 25.0), 20.5)
        self.assertIsNotNone(other)

    def test_what_missed_its_deadline_is_shed(self):
        queue = fairness.FairQueue()
        queue.push(waiting("t", 21.0), 20.0)
        queue.push(waiting("t", 30.0), 20.0)
        ((item, failure),) = served(100).shed(queue, 22.0)
        self.assertEqual(item.deadline, 21.0)
        self.assertEqual(failure.kind, errors.Kind.DEADLINE_EXCEEDED)
        self.assertEqual(len(queue), 1)


if __name__ == "__main__":
    unittest.main()
