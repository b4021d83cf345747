"""Guards against orders that run twice and against a false `not_run`.

The oracle is the count that the service stand-in keeps for each key.
"""

import collections
import json
import random
import signal
import threading
import time

import process_case

_PATH = "/v1/services/order-stock/confirm"
_SERVICES = ("order-stock-1", "order-stock-2")
# Time limit of the route, which is the caller's deadline (docs/design.md 5.2).
_DEADLINE_S = 4
# A caller waits a little longer than the deadline for the last answer.
_CALLER_WAIT_S = _DEADLINE_S + 5
_STORM_S = 9
_STORM_CALLERS = 12


class OrdersTest(process_case.ProcessCase):
    ENDPOINTS = _SERVICES

    @classmethod
    def operators(cls):
        plain = super().operators()
        plain["routes"]["order-confirmation"]["timeout_s"] = _DEADLINE_S
        return plain

    def setUp(self):
        self.calls = collections.defaultdict(list)

    def tearDown(self):
        self.deploy.faults(self.deploy.platform, reset=True)
        for name in _SERVICES:
            self.deploy.faults(self.endpoint(name), reset=True)

    def _order(self, entry, key, body=b'{"buckets": 3}', **headers):
        given = {
            name.replace("_", "-"): str(value)
            for name, value in headers.items()
        }
        reply = self.send(
            "POST",
            self.url(entry, _PATH),
            body=body,
            headers={"Idempotency-Key": key, **given},
            timeout_s=_CALLER_WAIT_S,
        )
        self.calls[key].append(reply)
        return reply

    def _count(self, key):
        return sum(
            self.endpoint_json(name, "/counts")["keys"].get(key, 0)
            for name in _SERVICES
        )

    def _service_faults(self, **faults):
        for name in _SERVICES:
            self.deploy.faults(self.endpoint(name), **faults)

    def _wait_dispatch(self, entry, request_id):
        self.eventually(
            lambda: any(
                f"req={request_id} " in line
                for line in self.deploy.events(entry, "dispatch")
            ),
            _DEADLINE_S,
            f"{request_id} is sent by {entry}",
        )

    def _check_told(self):
        """Compares all that callers were told with the service's counts."""
        for key, replies in self.calls.items():
            count = self._count(key)
            self.assertLessEqual(count, 1, (key, replies))
            for reply in replies:
                if reply.status == 200:
                    self.assertEqual(count, 1, (key, replies))
                    answer = json.loads(reply.body)
                    self.assertEqual(answer["idempotency_key"], key)
                if reply.run != "not_run" or reply.kind == "key_reused":
                    continue
                # Other calls that were open then, or came later, may run it.
                others = [
                    other
                    for other in replies
                    if other is not reply and other.heard_at > reply.heard_at
                ]
                if not others:
                    self.assertEqual(count, 0, (key, replies))

    def test_same_order_through_all_entries_at_once(self):
        for number in range(10):
            key = f"at-once-{number}"
            barrier = threading.Barrier(3)

            def call(entry, key=key, barrier=barrier):
                barrier.wait()
                return self._order(entry, key)

            pending = [
                self.in_thread(call, f"entry-{entry}") for entry in (1, 2, 3)
            ]
            replies = [result() for result in pending]
            self.assertEqual({item.status for item in replies}, {200}, replies)
            self.assertEqual(len({item.body for item in replies}), 1, replies)
            self.assertEqual(self._count(key), 1)
        self._check_told()

    def test_entry_killed_during_the_call(self):
        self._service_faults(delay=1, delay_s=2.0)
        first = self.in_thread(
            self._order, "entry-1", "killed", X_Request_Id="killed-1"
        )
        self._wait_dispatch("entry-1", "killed-1")
        self.deploy.signal("entry-1", signal.SIGKILL)
        self.assertEqual(first().status, 0)
        self._service_faults(reset=True)
        pending = [
            self.in_thread(self._order, f"entry-{entry}", "killed")
            for entry in (2, 3)
        ]
        for result in pending:
            reply = result()
            self.assertEqual(reply.kind, "order_in_progress", reply)
            self.assertEqual(reply.run, "unknown", reply)
        self.assertEqual(self._count("killed"), 1)
        self.restart_entry("entry-1")
        self.assertEqual(self._order("entry-1", "killed").run, "unknown")
        self._check_told()

    def test_entry_frozen_past_the_deadline(self):
        # The first order is stopped while its start is being recorded, the
        # second while the service runs it.
        self._service_faults(delay=1, delay_s=1.0)
        running = self.in_thread(
            self._order, "entry-1", "frozen-in-call", X_Request_Id="frozen-2"
        )
        self._wait_dispatch("entry-1", "frozen-2")
        self._service_faults(reset=True)
        self.deploy.faults(self.deploy.platform, delay_s=0.6)
        starting = self.in_thread(
            self._order, "entry-1", "frozen-before", X_Request_Id="frozen-1"
        )
        time.sleep(0.3)
        self.deploy.signal("entry-1", signal.SIGSTOP)
        frozen_at = time.monotonic()
        try:
            self.deploy.faults(self.deploy.platform, reset=True)
            time.sleep(1)
            pending = {
                key: self.in_thread(self._order, "entry-2", key)
                for key in ("frozen-before", "frozen-in-call")
            }
            for result in pending.values():
                reply = result()
                self.assertEqual(reply.run, "unknown", reply)
            self.assertEqual(self._count("frozen-before"), 0)
            wakes_at = frozen_at + _DEADLINE_S + 1
            time.sleep(max(0.0, wakes_at - time.monotonic()))
        finally:
            self.deploy.signal("entry-1", signal.SIGCONT)
        starting()
        running()
        self.assertEqual(self._count("frozen-before"), 0)
        # The answer waits in the socket, but the time limit of the call has
        # passed too; either may be seen first.
        reply = self._order("entry-3", "frozen-in-call")
        self.assertIn(reply.run, ("ran", "unknown"), reply)
        self.assertEqual(self._count("frozen-in-call"), 1)
        self.assertEqual(self._order("entry-3", "frozen-before").status, 200)
        self.assertEqual(self._count("frozen-before"), 1)
        self.deploy.wait_ready("entry-1")
        self._check_told()

    def test_service_loses_or_spoils_its_answer(self):
        for fault in ("lose_answers", "truncate", "cross"):
            with self.subTest(fault):
                self._service_faults(reset=True, **{fault: 1})
                reply = self._order("entry-1", fault)
                self.assertEqual(reply.kind, "outcome_unknown", reply)
                self.assertEqual(reply.run, "unknown", reply)
                self._service_faults(reset=True)
                reply = self._order("entry-2", fault)
                self.assertEqual(reply.kind, "outcome_unknown", reply)
                self.assertEqual(self._count(fault), 1)
        self._check_told()

    def test_unreachable_services(self):
        self._service_faults(refuse_s=1.0)
        reply = self._order("entry-1", "refused")
        self.assertEqual(reply.run, "not_run", reply)
        self._wait_services()
        self.assertEqual(self._count("refused"), 0)
        self._ends_well("entry-2", "refused")
        self._check_told()

    def _wait_services(self):
        for name in _SERVICES:
            self.deploy.wait_http(name, f"http://{self.endpoint(name)}/counts")

    def _ends_well(self, entry, key):
        """Repeats an order that was `not_run` until the service took it."""
        replies = []

        def answered():
            replies.append(self._order(entry, key))
            return replies[-1].status == 200

        self.eventually(answered, 10, f"{key} is answered: {replies}")
        self.assertEqual(self._count(key), 1)

    def test_outage_before_the_call(self):
        self.deploy.faults(self.deploy.platform, outage=True)
        reply = self._order("entry-1", "outage-first", X_Order_Try=1)
        self.assertEqual(reply.run, "not_run", reply)
        # Without a number an earlier call may have run, so it is not known.
        reply = self._order("entry-1", "outage-unnumbered")
        self.assertEqual(reply.run, "unknown", reply)
        self.assertEqual(self._count("outage-first"), 0)
        self.assertEqual(self._count("outage-unnumbered"), 0)
        self.deploy.faults(self.deploy.platform, reset=True)
        self._ends_well("entry-2", "outage-first")
        self._ends_well("entry-3", "outage-unnumbered")
        self._check_told()

    def test_outage_during_the_call(self):
        self._service_faults(delay=1, delay_s=1.0)
        first = self.in_thread(
            self._order, "entry-1", "outage-during", X_Request_Id="during-1"
        )
        self._wait_dispatch("entry-1", "during-1")
        self.deploy.faults(self.deploy.platform, outage=True)
        reply = first()
        self.assertEqual(reply.run, "ran", reply)
        reply = self._order("entry-2", "outage-during")
        self.assertEqual(reply.run, "unknown", reply)
        self.deploy.faults(self.deploy.platform, reset=True)
        reply = self._order("entry-3", "outage-during")
        self.assertIn(reply.run, ("ran", "unknown"), reply)
        self.assertEqual(self._count("outage-during"), 1)
        self._check_told()

    def test_lost_commit_answers(self):
        cases = [
            {fault: count, "late_commit_s": late_s}
            for fault in ("lose_answers", "lose_requests")
            for count in (1, 2, 3)
            for late_s in (0.0, 1.0)
            if not (fault == "lose_requests" and late_s)
        ]
        for number, faults in enumerate(cases):
            with self.subTest(faults):
                key = f"lost-commit-{number}"
                self.deploy.faults(self.deploy.platform, reset=True, **faults)
                reply = self._order("entry-1", key, X_Order_Try=1)
                if reply.run == "not_run":
                    self.assertEqual(self._count(key), 0)
                if faults["late_commit_s"]:
                    # The late writes have had their chance after this.
                    time.sleep(faults["late_commit_s"] + 0.2)
                if reply.run == "not_run":
                    self.assertEqual(self._count(key), 0)
                self.deploy.faults(self.deploy.platform, reset=True)
                again = self._order("entry-2", key, X_Order_Try=2)
                self.assertIn(again.run, ("ran", "unknown"), again)
                if reply.run == "not_run":
                    self.assertEqual(again.status, 200, again)
                    self.assertEqual(self._count(key), 1)
        self._check_told()

    def test_key_with_another_body(self):
        self.assertEqual(self._order("entry-1", "reused").status, 200)
        reply = self._order("entry-2", "reused", b'{"buckets": 4}')
        self.assertEqual((reply.status, reply.kind), (422, "key_reused"))
        self.assertEqual(self._count("reused"), 1)
        self._check_told()

    def test_callers_repeat_while_entries_die_and_freeze(self):
        rng = random.Random(7)
        ends_at = time.monotonic() + _STORM_S
        callers = [
            self.in_thread(self._storm_caller, number, ends_at)
            for number in range(_STORM_CALLERS)
        ]
        while time.monotonic() < ends_at - 3:
            name = f"entry-{rng.randrange(1, 4)}"
            choice = rng.randrange(4)
            if choice == 0:
                self.deploy.signal(name, signal.SIGKILL)
                self.restart_entry(name)
            elif choice == 1:
                self.deploy.signal(name, signal.SIGSTOP)
                time.sleep(rng.uniform(0.5, 2.0))
                self.deploy.signal(name, signal.SIGCONT)
            elif choice == 2:
                self._service_faults(lose_answers=2, delay=2, delay_s=0.5)
            else:
                self.deploy.faults(
                    self.deploy.platform,
                    lose_answers=2,
                    lose_requests=1,
                    late_commit_s=rng.choice((0.0, 1.0)),
                )
            time.sleep(rng.uniform(0.1, 0.5))
        for caller in callers:
            caller()
        self._check_told()
        runs = [self._count(key) for key in self.calls]
        self.assertGreater(sum(runs), _STORM_CALLERS)

    def _storm_caller(self, number, ends_at):
        rng = random.Random(number)
        order = 0
        while time.monotonic() < ends_at:
            order += 1
            key = f"storm-{number}-{order}"
            for attempt in range(1, 5):
                entry = f"entry-{rng.randrange(1, 4)}"
                reply = self._order(entry, key, X_Order_Try=attempt)
                if reply.status == 200:
                    break
            time.sleep(rng.uniform(0.0, 0.05))


if __name__ == "__main__":
    import unittest

    unittest.main()
