"""Guards against bounds that single processes keep and all together break.

Oracles: the users' bounds, counted over all processes: second sends in a
window, requests a second to a cold endpoint, calls to a new version.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.core import hashing
from dandelionlead.routing import budget
from dandelionlead.routing import model
from dandelionlead.routing import rollouts

_RATIO, _EXTRA, _WINDOW_S = 0.2, 50, 10.0
_COLD_OVERSHOOT, _COLD_SLACK = 1.5, 5
_EXPOSED_SHARE, _EXPOSED_EXTRA = 0.1, 50
_steps_s = strategies.floats(0.0, 0.4)


class RetryFuzz(unittest.TestCase):
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
        books = [
            budget.RetryBudget(_RATIO, _EXTRA, _WINDOW_S) for _ in range(count)
        ]
        firsts: list[float] = []
        seconds: list[float] = []
        now_s = 0.0
        for step_s, which, fails in calls:
            now_s += step_s
            book = books[which % count]
            book.first("s", now_s)
            firsts.append(now_s)
            # Every send fails, so that the budget alone holds them back.
            while fails and book.take("s", now_s, count):
                seconds.append(now_s)
            begin_s = now_s - _WINDOW_S
            sent = sum(at_s >= begin_s for at_s in seconds)
            asked = sum(at_s >= begin_s for at_s in firsts)
            self.assertLessEqual(sent, _RATIO * asked + _EXTRA)


class ColdFuzz(unittest.TestCase):
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
    def test_no_second_has_more_than_the_endpoint_bears(
        self, count: int, per_s: int, calls: list[tuple[float, int]]
    ) -> None:
        names = [f"n{number}" for number in range(count)]
        ranked = hashing.rank("e", names)
        limits = [budget.ColdLimit() for _ in names]
        sent: list[float] = []
        now_s = 0.0
        for step_s, which in calls:
            now_s += step_s
            number = which % count
            rank = ranked.index(names[number])
            if limits[number].allows("e", per_s, now_s, rank, count):
                limits[number].sent("e", now_s)
                sent.append(now_s)
            lately = sum(at_s > now_s - 1.0 for at_s in sent)
            self.assertLessEqual(lately, per_s * _COLD_OVERSHOOT + _COLD_SLACK)


class ExposureFuzz(unittest.TestCase):
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
    def test_new_version_gets_its_share_at_most(
        self, count: int, seed: int, calls: list[tuple[int, int]]
    ) -> None:
        rng = random.Random(seed)
        books = [rollouts.Rollouts() for _ in range(count)]
        for book in books:
            book.order(model.RolloutOrder("s", "v2", 60.0), 7, 0.0)
        new = 0
        for place, (which, teller) in enumerate(calls):
            book = books[which % count]
            target = rng.choice(
                book.usable("s", self.ENDPOINTS, rng, place / 20)
            )
            book.sent(target)
            new += target.version == "v2"
            # Word spreads late, and from one process at a time.
            own = books[teller % count].get("s").own
            for other in books:
                if other is not books[teller % count]:
                    told = {key: _copy(found) for key, found in own.items()}
                    other.get("s").hear(str(teller % count), told)
            bound = _EXPOSED_SHARE * (place + 1) + _EXPOSED_EXTRA
            self.assertLessEqual(new, bound)


def _copy(count: rollouts.Count) -> rollouts.Count:
    return rollouts.Count(
        count.sent, count.answers, count.failures, count.total_s
    )


if __name__ == "__main__":
    unittest.main()
