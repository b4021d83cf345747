"""Guards against error kinds without a response or with a wrong run state.

Callers retry a call if the response states that no endpoint ran it. With a
wrong run state a call is run twice, or is lost because it is not retried.
"""

import unittest

from dandelionlead.core import errors


class AnswersTest(unittest.TestCase):
    """The table `ANSWERS`, and failures that refer to it."""

    def test_every_kind_has_a_response(self):
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
