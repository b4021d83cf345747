"""Guards against retry storms and against retries that could run twice."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from dandelionlead.core import errors
from dandelionlead.routing import retries


class RetryBudgetTest(unittest.TestCase):
    @given(
        calls=st.lists(
            st.tuples(st.booleans(), st.integers(1, 40)), max_size=40
        ),
        percent=st.integers(0, 50),
        burst=st.integers(0, 12),
        start=st.integers(0, 20),
    )
    def test_no_window_exceeds_the_budget(self, calls, percent, burst, start):
        budget = retries.RetryBudget(percent=percent, burst=burst, start=start)
        first, retried = [0], [0]
        for is_retry, count in calls:
            taken = 0
            for _ in range(count):
                if is_retry:
                    taken += budget.take()
                else:
                    budget.first_try()
            first.append(first[-1] + (0 if is_retry else count))
            retried.append(retried[-1] + taken)
        for begin, end in itertools.combinations(range(len(first)), 2):
            made = retried[end] - retried[begin]
            allowed = burst + (first[end] - first[begin]) * percent / 100
            self.assertLessEqual(made, allowed)

    def test_a_full_budget_lets_a_tenth_through(self):
        budget = retries.RetryBudget()
        made = 0
        for _ in range(1000):
            budget.first_try()
            made += budget.take()
        self.assertEqual(made, 100 + retries.START)


class MayRetryTest(unittest.TestCase):
    def test_no_forbidden_retry_for_any_kind(self):
        for kind in errors.Kind:
            run = errors.ANSWERS[kind].run
            for repeatable in (False, True):
                with self.subTest(kind=kind, repeatable=repeatable):
                    self.assertFalse(retries.may_retry(kind, True, repeatable))
                    may = retries.may_retry(kind, False, repeatable)
                    if run is not errors.Run.NOT_RUN and not repeatable:
                        self.assertFalse(may)

    def test_failures_of_one_endpoint_are_retried(self):
        cases = [
            (errors.Kind.ENDPOINT_UNREACHABLE, False, True),
            (errors.Kind.ENDPOINT_FAILED, True, True),
            (errors.Kind.ENDPOINT_FAILED, False, False),
            (errors.Kind.REQUEST_QUARANTINED, True, False),
        ]
        for kind, repeatable, expected in cases:
            with self.subTest(kind=kind):
                may = retries.may_retry(kind, False, repeatable)
                self.assertEqual(may, expected)

    @given(number=st.integers(0, 10_000), rng=st.randoms())
    def test_back_off_is_bounded(self, number, rng):
        pause_s = retries.backoff_s(number, rng)
        self.assertGreaterEqual(pause_s, retries.BACKOFF_FIRST_S / 2)
        self.assertLessEqual(pause_s, retries.BACKOFF_LONGEST_S)


if __name__ == "__main__":
    unittest.main()
