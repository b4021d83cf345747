"""Guards against work that is spread evenly over engines of different speed.

The load: prompts in a number that engines read in time only if the slow ones
get fewer of them. Engines take 0.7 to 1.7 times the mean time, some 2.5 times
that for moments. Each of 60 processes measures an engine about once a minute.
"""

from __future__ import annotations

import random
import unittest

from dandelionlead.routing import endpoint_pace
from dandelionlead.routing import endpoint_selection
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import zone_share

_SERVICE = model.Service(
    "engines", 200, 25.0, model.EngineSpec(24, 34_000, True, True)
)
_MEAN_US = 100


def _report(
    paces: endpoint_pace.EndpointPaces,
    slowness: dict[str, float],
    *,
    rounds: int,
    start_s: float = 0.0,
) -> float:
    """Reports measurements of many peers; returns the time of the last one."""
    now_s = start_s
    for number in range(rounds):
        for endpoint_id, factor in slowness.items():
            now_s += 0.03
            paces.add_peer_measurement(
                f"peer-{number}-{start_s}",
                endpoint_id,
                endpoint_pace.Measurement(1, int(factor * _MEAN_US)),
                now_s,
            )
    return now_s


class EndpointPacesTest(unittest.TestCase):
    """Guards the estimate itself."""

    def test_slowness_follows_measurements_of_peers(self) -> None:
        paces = endpoint_pace.EndpointPaces()
        factors = {"fast": 0.7, "mean": 1.0, "slow": 1.7}
        now_s = _report(paces, factors, rounds=8)
        found = {key: paces.compute_slowness(key, now_s) for key in factors}
        self.assertLess(found["fast"], 0.75)
        self.assertGreater(found["slow"], 1.45)
        self.assertLess(found["mean"], found["slow"])

    def test_moment_of_slowness_is_forgotten(self) -> None:
        paces = endpoint_pace.EndpointPaces()
        factors = {f"e{number}": 1.0 for number in range(9)}
        now_s = _report(paces, factors | {"slow": 2.5}, rounds=3)
        self.assertGreater(paces.compute_slowness("slow", now_s), 1.6)
        now_s = _report(paces, factors, rounds=10, start_s=now_s + 15.0)
        self.assertLess(paces.compute_slowness("slow", now_s), 1.2)

    def test_single_odd_measurement_changes_little(self) -> None:
        paces = endpoint_pace.EndpointPaces()
        factors = {f"e{number}": 1.0 for number in range(9)}
        now_s = _report(paces, factors, rounds=6)
        paces.add_peer_measurement(
            "lying", "e0", endpoint_pace.Measurement(1, 10**9), now_s
        )
        self.assertLess(paces.compute_slowness("e0", now_s), 2.0)
        for key in ("e1", "e5"):
            self.assertGreater(paces.compute_slowness(key, now_s), 0.75)

    def test_measurement_counts_once(self) -> None:
        once, often = (endpoint_pace.EndpointPaces() for _ in range(2))
        for paces, times in ((once, 1), (often, 50)):
            now_s = _report(paces, {"a": 1.0, "b": 1.0}, rounds=3)
            for _ in range(times):
                paces.add_peer_measurement(
                    "peer", "b", endpoint_pace.Measurement(7, 400), now_s
                )
        self.assertEqual(
            once.compute_slowness("b", now_s),
            often.compute_slowness("b", now_s),
        )

    def test_unknown_engine_and_disabled_paces_count_as_mean(self) -> None:
        cases = ((True, "new", 1.0), (False, "slow", 1.0))
        for is_enabled, endpoint_id, expected in cases:
            with self.subTest(is_enabled=is_enabled):
                paces = endpoint_pace.EndpointPaces(is_enabled=is_enabled)
                now_s = _report(paces, {"slow": 3.0, "fast": 0.5}, rounds=5)
                self.assertEqual(
                    paces.compute_slowness(endpoint_id, now_s), expected
                )

    def test_measurements_of_removed_engines_are_forgotten(self) -> None:
        paces = endpoint_pace.EndpointPaces()
        now_s = _report(paces, {"gone": 3.0, "stays": 1.0}, rounds=5)
        paces.retain({"stays"})
        self.assertEqual(paces.compute_slowness("gone", now_s), 1.0)


class ChoiceTest(unittest.TestCase):
    """Guards the choice: a slow engine is tried, but not flooded."""

    def test_slow_engine_gets_work_once_the_others_are_loaded(self) -> None:
        tracker = loads.LoadTracker()
        chosen: list[str] = []
        rng = random.Random(3)
        for _ in range(12):
            candidates = [
                endpoint_selection.Candidate(
                    model.Endpoint(name, "engines", "10.0.0.1", 1, "a"),
                    tracker.sum_load(name, 0.0),
                    0.0,
                    False,
                    slowness,
                )
                for name, slowness in (("slow", 2.5), ("x", 0.8), ("y", 0.8))
            ]
            endpoint = endpoint_selection.choose_cheapest(
                candidates,
                _SERVICE,
                "a",
                endpoint_selection.Work(3_800, 3_000),
                rng,
                zone_share.make_step(0.03),
            )
            chosen.append(endpoint.endpoint_id)
            tracker.reserve(endpoint.endpoint_id, 3_800, 3_000)
        self.assertNotIn("slow", chosen[:2])
        self.assertIn("slow", chosen)
        self.assertLess(chosen.count("slow"), 4)


class StaleLoadsTest(unittest.TestCase):
    """Guards against many processes that all take the cheapest engine.

    The load: 30 engines, and 8 prompts from 8 processes that have not heard of
    each other's yet.
    """

    def test_prompts_that_do_not_know_of_each_other_spread(self) -> None:
        rng = random.Random(11)
        most = []
        for _ in range(40):
            candidates = [
                endpoint_selection.Candidate(
                    model.Endpoint(f"e{number}", "engines", "10.0.0.1", 1, "a"),
                    # One engine has just started, the others hold some runs.
                    loads.Load(min(number, 3), 3_500 * min(number, 2)),
                    0.0,
                    False,
                )
                for number in range(30)
            ]
            chosen = [
                endpoint_selection.choose_cheapest(
                    candidates,
                    _SERVICE,
                    "a",
                    endpoint_selection.Work(3_800, 3_000),
                    rng,
                    zone_share.make_step(0.03),
                    process_count=72,
                ).endpoint_id
                for _ in range(8)
            ]
            most.append(max(chosen.count(name) for name in set(chosen)))
        self.assertLess(sum(most) / len(most), 4)


if __name__ == "__main__":
    unittest.main()
