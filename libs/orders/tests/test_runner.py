"""Guards against an order that runs twice, or is told a false outcome."""

import time
import unittest

from dandelionlead.core import errors
from dandelionlead.orders import group_commit
from dandelionlead.orders import record
from dandelionlead.orders import runner
from dandelionlead.orders import steps
from dandelionlead.platform import api


class Table(api.TableService):
    """Table with a queue of faults: none, lost, unavailable, late."""

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.late = []
        self.read_faults = 0

    def read(self, keys):
        if self.read_faults:
            self.read_faults -= 1
            return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "outage")
        return [self.rows.get(key) for key in keys]

    def transact(self, ops):
        fault = self.faults.pop(0) if self.faults else None
        if fault == "unavailable":
            return api.Unavailable("outage")
        if fault == "late":
            self.late.append(list(ops))
            return api.OutcomeUnknown("late")
        outcome = self.apply(ops)
        if fault == "lost":
            return api.OutcomeUnknown("lost")
        return outcome

    def apply(self, ops):
        versions = [
            self.rows[op.key].version if op.key in self.rows else 0
            for op in ops
        ]
        failed = [i for i, op in enumerate(ops) if versions[i] != op.if_version]
        if failed:
            return api.Conflict(failed)
        for op, version in zip(ops, versions, strict=True):
            self.rows[op.key] = api.Row(version + 1, op.value)
        return api.Committed([version + 1 for version in versions])


class RunnerTest(unittest.TestCase):
    def setUp(self):
        self.table = Table()
        self.now = 0.0
        self.sent = []
        self.reply = steps.Answered(200, [("Content-Type", "a/b")], b"ok")
        committer = group_commit.GroupCommitter(self.table, workers=1)
        self.addCleanup(committer.close, timeout_s=2)
        self.runner = runner.OrderRunner(
            committer, self.table, self.send, lambda: self.now, sleep=self.sleep
        )
        self.addCleanup(self.runner.close)

    def send(self, order, attempt):
        self.sent.append(attempt)
        return self.reply

    def sleep(self, seconds):
        self.now += seconds

    def order(self, body=b"{}", deadline_s=10.0, try_number=0):
        return steps.Order(
            "t", "r", "k", body, deadline_s=deadline_s, try_number=try_number
        )

    def state(self):
        rec = record.from_row(self.table.rows[self.order().key].value)
        return rec.state

    def test_done_is_replayed_and_not_run_again(self):
        first = self.runner.run(self.order())
        second = self.runner.run(self.order())
        self.assertEqual((first.status, first.replayed), (200, False))
        self.assertEqual((second.body, second.replayed), (b"ok", True))
        self.assertEqual(len(self.sent), 1)

    def test_other_body_is_refused_in_every_state(self):
        for reply in (
            steps.Answered(200, [], b""),
            steps.Lost("cut"),
            steps.NotSent("refused"),
        ):
            with self.subTest(reply=reply):
                self.table.rows.clear()
                self.reply = reply
                self.runner.run(self.order())
                failure = self.runner.run(self.order(body=b"[]"))
                self.assertEqual(failure.kind, errors.Kind.KEY_REUSED)

    def test_lost_answer_is_unknown_and_never_run_again(self):
        self.reply = steps.Lost("cut")
        for _ in range(2):
            failure = self.runner.run(self.order())
            self.assertEqual(failure.kind, errors.Kind.OUTCOME_UNKNOWN)
        self.assertEqual(len(self.sent), 1)

    def test_not_sent_may_be_started_again(self):
        self.reply = steps.NotSent("refused")
        failure = self.runner.run(self.order())
        self.assertEqual(failure.run, errors.Run.NOT_RUN)
        self.reply = steps.Answered(200, [], b"")
        self.assertEqual(self.runner.run(self.order()).status, 200)

    def test_late_start_is_settled_before_not_run_is_told(self):
        self.table.faults = ["late"]
        failure = self.runner.run(self.order())
        self.assertEqual(failure.kind, errors.Kind.PLATFORM_UNAVAILABLE)
        outcome = self.table.apply(self.table.late[0])
        self.assertIsInstance(outcome, api.Conflict)
        self.assertEqual(self.state(), record.State.NOT_RUN)

    def test_start_with_lost_answer_goes_on(self):
        self.table.faults = ["lost"]
        self.assertEqual(self.runner.run(self.order()).status, 200)

    def test_deadline_passed_between_commit_and_send_is_not_run(self):
        apply = self.table.apply

        def slow(ops):
            self.now += 20
            return apply(ops)

        self.table.apply = slow
        failure = self.runner.run(self.order())
        self.assertEqual(failure.kind, errors.Kind.DEADLINE_EXCEEDED)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.state(), record.State.NOT_RUN)

    def test_outage_before_the_record_is_not_run_only_on_a_first_try(self):
        for try_number, run in ((0, "unknown"), (1, "not_run"), (2, "unknown")):
            with self.subTest(try_number=try_number):
                self.table.faults = ["unavailable"]
                order = self.order(try_number=try_number)
                failure = self.runner.run(order)
                self.assertEqual(failure.run.value, run)

    def test_earlier_try_cannot_start_after_a_later_one_was_not_run(self):
        self.reply = steps.NotSent("refused")
        self.runner.run(self.order(try_number=2))
        failure = self.runner.run(self.order(try_number=1))
        self.assertEqual(failure.kind, errors.Kind.CONFLICT)
        self.assertEqual(len(self.sent), 1)

    def test_end_that_could_not_be_recorded_is_recorded_later(self):
        self.table.faults = [None, "unavailable"]
        self.assertEqual(self.runner.run(self.order()).status, 200)
        ends_at = time.monotonic() + 5
        while self.runner.pending_repairs() and time.monotonic() < ends_at:
            time.sleep(0.01)
        self.assertEqual(self.state(), record.State.DONE)

    def test_late_answer_turns_unknown_into_done(self):
        self.reply = steps.Lost("cut")
        self.runner.run(self.order())
        answered = steps.Answered(201, [], b"late")
        self.runner.late_answer(self.order(), self.sent[0], answered)
        ends_at = time.monotonic() + 5
        while self.runner.pending_repairs() and time.monotonic() < ends_at:
            time.sleep(0.01)
        self.assertEqual(self.runner.run(self.order()).body, b"late")

    def test_large_answer_is_recorded_as_a_digest(self):
        body = b"x" * (record.ANSWER_BYTES_LIMIT + 1)
        self.reply = steps.Answered(200, [], body)
        self.assertEqual(self.runner.run(self.order()).body, body)
        again = self.runner.run(self.order())
        self.assertEqual(
            (again.omitted, again.body, again.size), (True, b"", len(body))
        )

    def test_started_by_another_is_in_progress(self):
        rec = record.Record(
            record.State.STARTED, "other", self.order().body_sha256
        )
        self.table.rows[self.order().key] = api.Row(1, record.to_row(rec))
        failure = self.runner.run(self.order())
        self.assertEqual(failure.kind, errors.Kind.ORDER_IN_PROGRESS)
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()
