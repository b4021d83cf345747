"""Guards against limits that each process keeps but all together exceed.

Oracles: the operator's limits, counted over all processes: retries in a window,
requests per second to a cold endpoint and calls to a new version.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.core import hashing
from dandelionlead.routing import model
from dandelionlead.routing import rollout_counts
from dandelionlead.routing import rollout_registry
from dandelionlead.routing import shared_limits

_RATIO, _EXTRA, _WINDOW_S = 0.2, 50, 10.0
_COLD_OVERSHOOT, _COLD_SLACK = 1.5, 5
_EXPOSED_SHARE, _EXPOSED_EXTRA = 0.1, 50
_steps_s = strategies.floats(0.0, 0.4)


class RetryFuzz(unittest.TestCase):
    """The retries of all processes together exceed the retry budget."""

    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.lists(
            strategies.tuples(
                _steps_s, strategies.integers(0, 8), strategies.booleans()
            ),
            max_size=400,
        ),
    )
    def test_all_processes_stay_within_the_budget(
        self, count: int, calls: list[tuple[float, int, bool]]
    ) -> None:
        budgets = [
            shared_limits.RetryBudget(_RATIO, _EXTRA, _WINDOW_S)
            for _ in range(count)
        ]
        request_times: list[float] = []
        retry_times: list[float] = []
        now_s = 0.0
        for step_s, process, fails in calls:
            now_s += step_s
            retry_budget = budgets[process % count]
            retry_budget.count_request("s", now_s)
            request_times.append(now_s)
            # Every attempt fails, so that only the budget limits the retries.
            while fails and retry_budget.try_consume("s", now_s, count):
                retry_times.append(now_s)
            begin_s = now_s - _WINDOW_S
            retries = sum(at_s >= begin_s for at_s in retry_times)
            requests = sum(at_s >= begin_s for at_s in request_times)
            self.assertLessEqual(retries, _RATIO * requests + _EXTRA)


class ColdFuzz(unittest.TestCase):
    """All processes together overload an endpoint that has just started."""

    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.integers(1, 40),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 0.1), strategies.integers(0, 8)
            ),
            max_size=400,
        ),
    )
    def test_request_rate_of_a_cold_endpoint_stays_within_the_limit(
        self, count: int, per_s: int, calls: list[tuple[float, int]]
    ) -> None:
        names = [f"n{number}" for number in range(count)]
        ranked = hashing.rank_candidates("e", names)
        limits = [shared_limits.ColdRateLimit() for _ in names]
        sent_times: list[float] = []
        now_s = 0.0
        for step_s, process in calls:
            now_s += step_s
            number = process % count
            rank = ranked.index(names[number])
            if limits[number].allows("e", per_s, now_s, rank, count):
                limits[number].count_request("e", now_s)
                sent_times.append(now_s)
            recent = sum(at_s > now_s - 1.0 for at_s in sent_times)
            self.assertLessEqual(recent, per_s * _COLD_OVERSHOOT + _COLD_SLACK)


class ExposureFuzz(unittest.TestCase):
    """All processes together send too many calls to a new version."""

    ENDPOINTS = tuple(
        model.Endpoint(f"e{n}", "s", "10.0.0.1", n, "a", version=version)
        for n, version in enumerate(("v1", "v1", "v2", "v2"))
    )

    @hypothesis.given(
        strategies.integers(1, 9),
        strategies.integers(0, 2**32),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 8), strategies.integers(0, 8)
            ),
            max_size=500,
        ),
    )
    def test_calls_to_the_new_version_stay_within_the_limit(
        self, count: int, seed: int, calls: list[tuple[int, int]]
    ) -> None:
        rng = random.Random(seed)
        registries = [rollout_registry.RolloutRegistry() for _ in range(count)]
        for registry in registries:
            registry.start(model.RolloutOrder("s", "v2", 60.0), 7, 0.0)
        new_calls = 0
        for index, (process, sender) in enumerate(calls):
            registry = registries[process % count]
            target = rng.choice(
                registry.filter_endpoints("s", self.ENDPOINTS, rng, index / 20)
            )
            registry.count_sent(target)
            new_calls += target.version == "v2"
            # Only one process sends its counts after each call, so that the
            # counts of the others are out of date.
            own_counts = registries[sender % count].get("s").own_counts
            for other in registries:
                if other is not registries[sender % count]:
                    counts = {
                        is_new: _copy(n) for is_new, n in own_counts.items()
                    }
                    other.get("s").replace_peer_counts(
                        str(sender % count), counts
                    )
            limit = _EXPOSED_SHARE * (index + 1) + _EXPOSED_EXTRA
            self.assertLessEqual(new_calls, limit)


def _copy(count: rollout_counts.CallCounts) -> rollout_counts.CallCounts:
    return rollout_counts.CallCounts(
        count.sent_count, count.ended_count, count.failure_count, count.total_s
    )


if __name__ == "__main__":
    unittest.main()
