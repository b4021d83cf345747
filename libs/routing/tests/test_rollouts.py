"""Guards against a bad version that gets more than a small share of the calls.

Load pattern: seven processes share a service of twenty calls a second while a
version is rolled out that is good, fails at once, fails later, or is slow.
"""

from __future__ import annotations

import random
import unittest

from dandelionlead.routing import model
from dandelionlead.routing import rollouts

_PROCESSES = 7
_RATE_PER_S = 20
_DURATION_S = 12.0


def _endpoint(number: int, version: str) -> model.Endpoint:
    return model.Endpoint(
        f"e{number}", "s", "10.0.0.1", number, "a", version=version
    )


_ENDPOINTS = [_endpoint(number, "v1") for number in range(4)]
_ENDPOINTS += [_endpoint(number, "v2") for number in range(4, 8)]


class _Fleet:
    """Processes that tell each other their counts a moment later."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        order = model.RolloutOrder("s", "v2", _DURATION_S)
        self.books = [rollouts.Rollouts() for _ in range(_PROCESSES)]
        for book in self.books:
            book.order(order, 100, 0.0)
        self.new = self.all = 0
        self.ended_s = 0.0

    def play(self, failing: object, slow: float = 1.0) -> rollouts.State:
        """Plays the whole time; `failing` tells the new version's share."""
        for step in range(int(_DURATION_S * _RATE_PER_S)):
            now_s = step / _RATE_PER_S
            book = self.books[step % _PROCESSES]
            target = self.rng.choice(
                book.usable("s", _ENDPOINTS, self.rng, now_s)
            )
            is_new = target.version == "v2"
            self.all += 1
            self.new += is_new
            share = failing(now_s) if is_new else 0.01
            seconds = 0.02 * (slow if is_new else 1.0)
            book.sent(target)
            book.answered(target, seconds, failed=self.rng.random() < share)
            if step % 10 == 0:
                self._tell()
            state = self.books[0].get("s").judge(now_s)
            if state is not rollouts.State.RUNNING:
                self.ended_s = now_s
                return state
        return rollouts.State.RUNNING

    def _tell(self) -> None:
        for number, book in enumerate(self.books):
            for other in self.books:
                if other is not book:
                    other.get("s").hear(str(number), dict(book.get("s").own))


class JudgeTest(unittest.TestCase):
    """Good versions are completed in time, bad ones taken back in time."""

    TABLE = (
        ("good", lambda _: 0.01, 1.0, rollouts.State.COMPLETED),
        ("fails at once", lambda _: 0.5, 1.0, rollouts.State.ROLLED_BACK),
        ("always fails", lambda _: 1.0, 1.0, rollouts.State.ROLLED_BACK),
        (
            "fails later",
            lambda now_s: 0.5 if now_s > 5.0 else 0.01,
            1.0,
            rollouts.State.ROLLED_BACK,
        ),
        ("slow", lambda _: 0.01, 6.0, rollouts.State.ROLLED_BACK),
    )

    def test_table(self) -> None:
        for name, failing, slow, expected in self.TABLE:
            right = 0
            for seed in range(20):
                fleet = _Fleet(seed)
                right += fleet.play(failing, slow) is expected
                # The operator's bound: a tenth of the calls, and 50.
                self.assertLessEqual(fleet.new, 0.1 * fleet.all + 50)
                self.assertLess(fleet.ended_s, _DURATION_S)
            with self.subTest(name):
                self.assertGreaterEqual(right, 19)

    def test_too_little_evidence_is_taken_back(self) -> None:
        rollout = rollouts.Rollout(
            model.RolloutOrder("s", "v2", 10.0), 1, 100.0
        )
        self.assertEqual(rollout.judge(101.0), rollouts.State.RUNNING)
        self.assertEqual(rollout.judge(109.0), rollouts.State.ROLLED_BACK)


class UseTest(unittest.TestCase):
    """Calls go to a version after its verdict, or to none."""

    def setUp(self) -> None:
        self.book = rollouts.Rollouts()
        self.rng = random.Random(1)
        order = model.RolloutOrder("s", "v2", 10.0)
        self.book.order(order, 100, 0.0)

    def _versions(self) -> set[str]:
        return {
            item.version
            for _ in range(50)
            for item in self.book.usable("s", _ENDPOINTS, self.rng, 10.0)
        }

    def test_verdicts(self) -> None:
        self.assertEqual(self._versions(), {"v1", "v2"})
        self.assertTrue(self.book.settle("s", 100, rollouts.State.ROLLED_BACK))
        self.assertEqual(self._versions(), {"v1"})

    def test_completed(self) -> None:
        self.book.settle("s", 100, rollouts.State.COMPLETED)
        self.assertEqual(self._versions(), {"v2"})

    def test_a_verdict_is_final(self) -> None:
        self.book.settle("s", 100, rollouts.State.ROLLED_BACK)
        self.assertFalse(self.book.settle("s", 100, rollouts.State.COMPLETED))
        self.assertEqual(self._versions(), {"v1"})

    def test_a_verdict_on_another_order_says_nothing(self) -> None:
        self.assertFalse(self.book.settle("s", 99, rollouts.State.ROLLED_BACK))

    def test_a_new_order_starts_anew(self) -> None:
        self.book.settle("s", 100, rollouts.State.ROLLED_BACK)
        order = model.RolloutOrder("s", "v2", 10.0)
        self.book.order(order, 100, 5.0)
        self.assertEqual(self._versions(), {"v1"})
        self.book.order(order, 120, 5.0)
        self.assertEqual(self._versions(), {"v1", "v2"})

    def test_services_without_an_order_are_left_alone(self) -> None:
        self.book.drop("s")
        found = self.book.usable("s", _ENDPOINTS, self.rng, 10.0)
        self.assertEqual(len(found), 8)


if __name__ == "__main__":
    unittest.main()
