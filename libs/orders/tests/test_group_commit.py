"""Guards against a write that gets another write's outcome, or none."""

import collections
import threading
import unittest

from dandelionlead.core import errors
from dandelionlead.orders import group_commit
from dandelionlead.platform import api


class Table(api.TableService):
    def __init__(self, outcomes=()):
        self.outcomes = list(outcomes)
        self.groups = []
        self.rows = {}

    def read(self, keys):
        if self.rows is None:
            return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "outage")
        return [self.rows.get(key.key) for key in keys]

    def transact(self, ops):
        self.groups.append([op.key.key for op in ops])
        if self.outcomes:
            outcome = self.outcomes.pop(0)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome
        return api.Committed([op.if_version + 1 for op in ops])


def _write(key, version=0):
    return api.Write(api.Key("orders", key), version, {"key": key})


class CommitTogetherTest(unittest.TestCase):
    def test_conflicts_are_answered_alone_and_the_rest_is_tried_again(self):
        table = Table([api.Conflict([1])])
        outcomes = group_commit.commit_together(
            table, [_write("a"), _write("b", 4), _write("c", 6)]
        )
        self.assertIsInstance(outcomes[1], api.Conflict)
        self.assertEqual(outcomes[0].versions, [1])
        self.assertEqual(outcomes[2].versions, [7])
        self.assertEqual(table.groups, [["a", "b", "c"], ["a", "c"]])

    def test_unknown_outcome_is_settled_for_each_write(self):
        for unknown in (api.OutcomeUnknown("lost"), OSError("reset")):
            with self.subTest(unknown=unknown):
                table = Table([unknown])
                table.rows = {
                    "a": api.Row(3, {"key": "a"}),
                    "b": api.Row(1, {"key": "other"}),
                }
                outcomes = group_commit.commit_together(
                    table, [_write("a"), _write("b"), _write("c")]
                )
                self.assertEqual(outcomes[0].versions, [3])
                self.assertIsInstance(outcomes[1], api.OutcomeUnknown)
                self.assertIsInstance(outcomes[2], api.OutcomeUnknown)

    def test_conflict_without_an_index_ends(self):
        table = Table([api.Conflict([])] * 5)
        outcomes = group_commit.commit_together(table, [_write("a")] * 2)
        self.assertIsInstance(outcomes[0], api.Unavailable)
        self.assertEqual(len(table.groups), 2)


class GroupCommitterTest(unittest.TestCase):
    def test_many_callers_share_transactions_and_get_their_own_outcome(self):
        table = Table()
        committer = group_commit.GroupCommitter(table, group_wait_s=0.05)
        self.addCleanup(committer.close, timeout_s=2)
        outcomes = {}

        def commit(number):
            write = _write(f"k{number % 60}", number)
            outcomes[number] = committer.commit(write)

        threads = [
            threading.Thread(target=commit, args=(number,))
            for number in range(120)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        versions = {number: out.versions for number, out in outcomes.items()}
        self.assertEqual(versions, {n: [n + 1] for n in range(120)})
        self.assertLess(len(table.groups), 30)
        for group in table.groups:
            self.assertLessEqual(max(collections.Counter(group).values()), 1)

    def test_wait_is_bounded_while_the_table_hangs(self):
        hang = threading.Event()
        self.addCleanup(hang.set)
        table = Table()
        table.transact = lambda ops: (hang.wait(10), api.Conflict([0]))[1]
        committer = group_commit.GroupCommitter(
            table, workers=1, answer_wait_s=0.1
        )
        taken = committer.commit(_write("a"))
        waiting = committer.commit(_write("b"))
        self.assertIsInstance(taken, api.OutcomeUnknown)
        self.assertIsInstance(waiting, api.Unavailable)


if __name__ == "__main__":
    unittest.main()
