"""Guards against an error kind without an answer or a false answer."""

import unittest

from dandelionlead.core import errors


class AnswersTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(errors.Kind), set(errors.ANSWERS))

    def test_failure_is_false_and_carries_its_run_state(self):
        cases = [
            (errors.Kind.STALE_RULES, errors.Run.NOT_RUN),
            (errors.Kind.GENERATION_LOST, errors.Run.RAN),
            (errors.Kind.OUTCOME_UNKNOWN, errors.Run.UNKNOWN),
        ]
        for kind, run in cases:
            with self.subTest(kind=kind):
                failure = errors.Failure(kind, "reason")
                self.assertFalse(failure)
                self.assertEqual(failure.run, run)


if __name__ == "__main__":
    unittest.main()
