"""Guards against reservations that ignore what a generation has shown."""

import random
import unittest

from dandelionlead.admission import generation_ids
from dandelionlead.admission import lengths


def learned(route, team, values):
    result = lengths.Lengths()
    for value in values:
        result.observe(route, team, value)
    return result


class LengthsTest(unittest.TestCase):
    def test_remaining_is_conditional_on_what_was_generated(self):
        rng = random.Random(1)
        short = [rng.randint(15, 25) for _ in range(500)]
        long = [rng.randint(900, 1100) for _ in range(500)]
        known = learned("r", "t", short + long)
        at_start = known.remaining("r", "t", 0, 4096).mean
        later = known.remaining("r", "t", 100, 4096).mean
        self.assertAlmostEqual(at_start, 510, delta=60)
        self.assertAlmostEqual(later, 900, delta=120)

    def test_max_tokens_bounds_the_remaining_length(self):
        known = learned("r", "t", [2000] * 200)
        for generated in (0, 50, 99):
            left = known.remaining("r", "t", generated, 100)
            self.assertLessEqual(left.mean, 100 - generated)

    def test_a_new_team_uses_the_route_and_a_new_route_the_prior(self):
        known = learned("r", "t", [40] * 1000)
        new_team = known.remaining("r", "other", 0, 8192).mean
        new_route = known.remaining("other", "t", 0, 8192).mean
        self.assertLess(new_team, 80)
        self.assertGreater(new_route, 300)

    def test_a_change_of_lengths_is_learned(self):
        known = learned("r", "t", [1000] * 5000 + [50] * 3000)
        self.assertLess(known.quantile("r", "t", 0, 0.5), 64)

    def test_quantiles_follow_the_data(self):
        rng = random.Random(2)
        values = [rng.lognormvariate(5, 1) for _ in range(2000)]
        known = learned("r", "t", [int(value) for value in values])
        values.sort()
        for quantile in (0.5, 0.9):
            exact = values[int(quantile * len(values))]
            got = known.quantile("r", "t", 0, quantile)
            self.assertLess(abs(got - exact) / exact, 0.3)


class ReservationTest(unittest.TestCase):
    def test_the_peak_covers_equal_generations_and_no_more(self):
        # Generations that end one after the other do not peak together.
        known = learned("r", "t", [1000] * 3000)
        policy = lengths.ByLength(known, k=0.0)
        running = [
            lengths.Work("r", "t", 100, 8192, generated)
            for generated in range(0, 1000, 100)
        ]
        finals = lengths.BySumOfLengths(known, k=0.0).reserve(running)
        held = sum(100 + work.generated for work in running)
        peak = policy.reserve(running)
        self.assertGreater(peak, held)
        self.assertLess(peak, 0.8 * finals)

    def test_every_policy_needs_at_least_one_unit_more(self):
        known = lengths.Lengths()
        work = lengths.Work("r", "t", 10, 100)
        policies = [
            lengths.ByLength(known),
            lengths.BySumOfLengths(known),
            lengths.ByCount(50),
            lengths.ByMaxTokens(),
            lengths.ByReportedLoad(),
        ]
        for policy in policies:
            with self.subTest(policy=type(policy).__name__):
                plan = policy.plan([work])
                self.assertGreaterEqual(plan.needed(work), 1)
                self.assertEqual(
                    plan.with_new(work).units, policy.reserve([work, work])
                )


class GenerationIdsTest(unittest.TestCase):
    def test_units_survive_in_the_id_and_others_have_none(self):
        made = generation_ids.make("a.b-7", 512)
        self.assertEqual(generation_ids.units(made), 512)
        for foreign in ("", "abc", "abc.", "abc.-5", "abc.5x"):
            self.assertIsNone(generation_ids.units(foreign))


if __name__ == "__main__":
    unittest.main()
