"""Guards against error kinds without a response or with a wrong run state.

A caller retries a call that did not run. With a wrong run state a call runs
twice, or is lost.
"""

import unittest

from dandelionlead.core import errors


class AnswersTest(unittest.TestCase):
    """The table `ANSWERS`, and failures that refer to it."""

    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(errors.Kind), set(errors.ANSWERS))

    def test_failure_is_false_and_has_the_run_state_of_its_kind(self):
        cases = [
            (errors.Kind.STALE_RULES, errors.RunState.NOT_RUN),
            (errors.Kind.GENERATION_LOST, errors.RunState.RAN),
            (errors.Kind.OUTCOME_UNKNOWN, errors.RunState.UNKNOWN),
        ]
        for kind, run_state in cases:
            with self.subTest(kind=kind):
                failure = errors.Failure(kind, "reason")
                self.assertFalse(failure)
                self.assertEqual(failure.run_state, run_state)


if __name__ == "__main__":
    unittest.main()
