"""Guards against a limit that outruns a cold endpoint or never reaches it."""

import unittest

from dandelionlead.admission import limits

MEMORY = 10_000
FIRST = 500


class Cold:
    """Endpoint whose bearable load rises; first tokens are late beyond it."""

    def __init__(self, policy, request, rise):
        self.policy = policy
        self.request = request
        self.rise = rise
        self.bears = 1000.0
        self.over = []

    def run(self, seconds):
        for tick in range(seconds * 5):
            now = tick * 0.2
            self.bears = min(MEMORY, self.bears + self.rise * 0.2)
            # As many requests as fit are at work, all started just now.
            count = self.policy.limit // self.request
            work = max(1, count) * self.request
            first_s = 0.1 if work <= self.bears else 1.5
            before = self.policy.limit
            self.policy.observe([first_s] * 3, work, now + 2.0, now + 1.9)
            step = max(before, FIRST)
            self.over.append(self.policy.limit - self.bears - step)


class RampTest(unittest.TestCase):
    def test_limit_exceeds_the_bearable_load_by_one_step_at_most(self):
        for request in (100, 300, 450):
            for rise in (0, 20, 200):
                with self.subTest(request=request, rise=rise):
                    policy = limits.FirstTokenRamp(MEMORY, first_step=FIRST)
                    policy.reset(0.0)
                    cold = Cold(policy, request, rise)
                    cold.run(120)
                    self.assertLessEqual(max(cold.over), 0)
                    self.assertGreaterEqual(policy.limit, cold.bears * 0.4)

    def test_limit_reaches_memory_when_it_is_borne(self):
        policy = limits.FirstTokenRamp(MEMORY, first_step=FIRST)
        policy.reset(0.0)
        cold = Cold(policy, 100, MEMORY)
        cold.run(30)
        self.assertGreaterEqual(policy.limit, 0.9 * MEMORY)

    def test_time_and_idle_observations_raise_nothing(self):
        policy = limits.FirstTokenRamp(MEMORY, first_step=FIRST)
        policy.reset(0.0)
        for now in range(1, 1000):
            policy.observe([], FIRST, now, now - 1)
            policy.observe([0.01], FIRST // 4, now, now - 1)
        self.assertEqual(policy.limit, FIRST)

    def test_requests_granted_before_the_step_prove_nothing(self):
        policy = limits.FirstTokenRamp(MEMORY, first_step=FIRST)
        policy.reset(0.0)
        policy.observe([0.1], FIRST, 10.0, 9.0)
        self.assertEqual(policy.limit, 2 * FIRST)
        policy.observe([0.1], 2 * FIRST, 10.5, 10.05)
        self.assertEqual(policy.limit, 2 * FIRST)
        policy.observe([0.1], 2 * FIRST, 11.0, 10.5)
        self.assertEqual(policy.limit, 4 * FIRST)

    def test_a_new_incarnation_starts_at_the_first_step(self):
        policies = [
            limits.FirstTokenRamp(MEMORY, first_step=FIRST),
            limits.ClockRamp(MEMORY, first_step=FIRST),
        ]
        for policy in policies:
            with self.subTest(policy=type(policy).__name__):
                policy.resume(MEMORY, 0.0)
                self.assertEqual(policy.limit, MEMORY)
                policy.reset(1.0)
                self.assertEqual(policy.limit, FIRST)


if __name__ == "__main__":
    unittest.main()
