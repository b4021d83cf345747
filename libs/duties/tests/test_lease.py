"""Guards against two holders of one duty, and tokens that do not rise."""

from __future__ import annotations

import unittest

import fake_records
import hypothesis
from hypothesis import strategies

from dandelionlead.duties import lease

_DURATION_S = 3.0
_STEP_S = 0.25


class LeaseTest(unittest.TestCase):
    """Guards single failures."""

    def setUp(self) -> None:
        self.store = fake_records.FakeRecords()
        self.first = self.make_lease("a/1")
        self.second = self.make_lease("b/1")

    def make_lease(self, holder: str) -> lease.Lease:
        return lease.Lease(self.store, "duty", holder, _DURATION_S)

    def acquire_patiently(
        self, candidate: lease.Lease, from_s: float, to_s: float
    ) -> float | None:
        """Tries in steps; returns when the lease was acquired, or None."""
        now_s = from_s
        while now_s <= to_s:
            if candidate.acquire(now_s):
                return now_s
            now_s += _STEP_S
        return None

    def test_new_duty_is_taken_after_the_time_of_a_lease(self) -> None:
        self.assertEqual(self.acquire_patiently(self.first, 0.0, 9.0), 3.0)
        self.assertIsNotNone(self.first.get_token(4.0))
        self.assertIsNone(self.first.get_token(6.0))

    def test_second_process_waits_until_the_first_cannot_act(self) -> None:
        self.acquire_patiently(self.first, 0.0, 9.0)
        token = self.first.get_token(3.0)
        taken_s = self.acquire_patiently(self.second, 3.25, 20.0)
        self.assertIsNone(self.first.get_token(taken_s))
        self.assertGreater(self.second.get_token(taken_s), token)
        self.assertFalse(self.first.acquire(taken_s + 0.5))

    def test_holder_renews_at_once_and_gets_a_later_token(self) -> None:
        self.acquire_patiently(self.first, 0.0, 9.0)
        token = self.first.get_token(3.0)
        self.assertTrue(self.first.acquire(8.0))
        self.assertGreater(self.first.get_token(8.0), token)

    def test_holder_that_was_paused_does_not_act(self) -> None:
        self.acquire_patiently(self.first, 0.0, 9.0)
        self.acquire_patiently(self.second, 3.25, 20.0)
        self.assertIsNone(self.first.get_token(20.0))

    def test_lost_answer_is_settled_by_reading(self) -> None:
        self.store.loses_answers = True
        self.assertEqual(self.acquire_patiently(self.first, 0.0, 9.0), 3.0)
        self.assertIsNotNone(self.first.get_token(3.5))

    def test_late_write_makes_nobody_a_holder(self) -> None:
        self.acquire_patiently(self.second, 0.0, 9.0)
        self.assertIsNone(self.acquire_patiently(self.first, 3.25, 6.0))
        self.store.delays_writes = True
        self.assertFalse(self.first.acquire(6.5))
        self.store.apply_late_writes()
        self.assertIsNone(self.first.get_token(6.75))
        # The second one finds a record that is not its own, and waits.
        self.assertFalse(self.second.acquire(7.0))

    def test_token_rises_over_a_restoration(self) -> None:
        self.acquire_patiently(self.first, 0.0, 9.0)
        number = self.store.number
        self.assertTrue(self.first.acquire(5.0))
        token = self.first.get_token(5.0)
        self.store.restore(number)
        taken_s = self.acquire_patiently(self.second, 5.5, 20.0)
        self.assertGreaterEqual(taken_s, 8.5)
        self.assertGreater(self.second.get_token(taken_s), token)

    def test_fenced_holder_waits_for_a_lease(self) -> None:
        self.acquire_patiently(self.first, 0.0, 9.0)
        self.first.drop(3.1)
        self.assertIsNone(self.first.get_token(3.1))
        self.assertFalse(self.first.acquire(6.0))
        self.assertTrue(self.first.acquire(6.2))

    def test_store_that_is_down_gives_no_lease(self) -> None:
        self.store.is_down = True
        self.assertIsNone(self.acquire_patiently(self.first, 0.0, 9.0))


class LeaseFuzzTest(unittest.TestCase):
    """Guards against two holders at one moment, in any order of events."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.floats(0.05, 4.0),
                strategies.sampled_from(
                    ("acquire", "acquire", "acquire", "lose", "delay", "late")
                ),
            ),
            max_size=40,
        )
    )
    def test_one_holder_and_rising_tokens(
        self, steps: list[tuple[int, float, str]]
    ) -> None:
        store = fake_records.FakeRecords()
        leases = [
            lease.Lease(store, "duty", f"p{number}/1", _DURATION_S)
            for number in range(3)
        ]
        now_s = 0.0
        used: dict[int, int] = {}
        for number, pause_s, action in steps:
            now_s += pause_s
            store.loses_answers = action == "lose"
            store.delays_writes = action == "delay"
            if action == "late":
                store.apply_late_writes()
            leases[number].acquire(now_s)
            holders = [
                (index, token)
                for index, item in enumerate(leases)
                if (token := item.get_token(now_s)) is not None
            ]
            self.assertLessEqual(len(holders), 1)
            for index, token in holders:
                self.assertEqual(used.setdefault(token, index), index)
                self.assertGreaterEqual(token, max(used))


if __name__ == "__main__":
    unittest.main()
