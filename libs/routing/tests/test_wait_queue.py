"""Guards against an overload in which every run is late.

Load pattern: two of three zones are closed, so that long runs need a fifth more
engine memory than is left. Also covers calls while the last open endpoint is
down and a zone was closed very recently.
"""

from __future__ import annotations

import random
import unittest

from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits
from dandelionlead.routing import wait_queue

_SERVICE = model.Service("s", 10, 0.0, None)


def _create_entry(
    arrived_s: float, *, priority: int = 1, caller_timeout_s: float = 39.0
) -> wait_queue.QueueEntry:
    call = calls.Call(
        "r",
        b"POST",
        b"/",
        "h",
        "/",
        [],
        arrived_s=arrived_s,
        caller_deadline_s=arrived_s + caller_timeout_s,
    )
    route = model.Route(
        "r",
        "h",
        "/",
        model.CallKind.STREAMING,
        (),
        timeout_s=60.0,
        latency_objective_s=1.8,
        priority=priority,
    )
    admitted = calls.AdmittedCall(call, route, None, _SERVICE, 1)
    return wait_queue.QueueEntry(admitted, 0.5, arrived_s, 0.2)


class QueueTest(unittest.TestCase):
    """Late calls are sent before those that can still be on time."""

    def setUp(self) -> None:
        self.queue = wait_queue.WaitQueue()
        self.earlier = _create_entry(10.0)
        self.later = _create_entry(11.0)
        self.queue.add(self.later)
        self.queue.add(self.earlier)

    def test_earlier_call_is_sent_first_while_all_are_on_time(self) -> None:
        self.assertTrue(self.queue.is_next(self.earlier, 11.1))
        self.assertFalse(self.queue.is_next(self.later, 11.1))

    def test_late_calls_come_after_calls_on_time(self) -> None:
        self.assertTrue(self.queue.is_next(self.later, 11.5))
        self.assertFalse(self.queue.is_next(self.earlier, 11.5))

    def test_late_calls_are_sent_when_no_other_call_waits(self) -> None:
        self.queue.discard(self.later)
        self.assertTrue(self.queue.is_next(self.earlier, 14.0))

    def test_urgent_calls_come_first(self) -> None:
        urgent = _create_entry(11.2, priority=0)
        self.queue.add(urgent)
        self.assertTrue(self.queue.is_next(urgent, 11.25))

    def test_the_wait_leaves_time_for_another_attempt(self) -> None:
        table = ((39.0, 7.8), (6.0, 1.2), (0.5, 0.3), (0.1, 0.1))
        for caller_timeout_s, wait_s in table:
            entry = _create_entry(10.0, caller_timeout_s=caller_timeout_s)
            with self.subTest(caller_timeout_s=caller_timeout_s):
                self.assertAlmostEqual(entry.reject_at_s - 10.0, wait_s)


class ClosingZoneTest(unittest.TestCase):
    """Calls are rejected although a recently closed zone has endpoints."""

    def setUp(self) -> None:
        self.view = routing_view.RoutingView()
        for name, zone in (("open", "a"), ("closing", "b")):
            self.view.set_endpoint(
                model.Endpoint(name, "s", "10.0.0.1", 1, zone)
            )
        self.view.closed_zones = {"b": 100.0}
        self.scheduler = scheduling.Scheduler(
            self.view,
            scheduling.ClusterMembership("n", "a", lambda: ["n"]),
            shared_limits.RetryBudget(0.2, 50, 10),
            random.Random(1),
        )

    def _choose(self, now_s: float, **options: object) -> str:
        chosen = self.scheduler.choose_endpoint(_SERVICE, 0, now_s, **options)
        return chosen.endpoint_id if chosen else ""

    def test_closing_zone_is_used_only_for_the_grace_period(self) -> None:
        self.assertEqual(self._choose(101.0), "open")
        excluded_ids = {"open"}
        self.assertEqual(
            self._choose(101.0, excluded_ids=excluded_ids), "closing"
        )
        self.assertEqual(self._choose(102.5, excluded_ids=excluded_ids), "")

    def test_closing_zone_is_used_if_the_open_endpoint_is_down(self) -> None:
        self.scheduler.health_tracker.record_unreachable("open", 101.0)
        self.assertEqual(self._choose(101.1), "closing")
        self.scheduler.health_tracker.record_unreachable("open", 103.0)
        self.assertEqual(self._choose(103.1), "open")


if __name__ == "__main__":
    unittest.main()
