"""Tests which failed connections count as failures of endpoints.

Guards against a sound version that is rolled back, and sound requests that are
refused everywhere, because one process has lost its paths to the endpoints.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import crash_detection
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits

_SERVICE = "plain"
_ENDPOINT_COUNT = 3


def _find_refusal(*_: object) -> errors.Failure:
    """Returns the failure of an endpoint at whose address nothing listens."""
    return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")


class ConfirmFailureTest(unittest.TestCase):
    """Guards against failures of a process's own paths that count."""

    def setUp(self) -> None:
        self.view = routing_view.RoutingView()
        for number in range(_ENDPOINT_COUNT):
            self.view.set_endpoint(
                model.Endpoint(f"e{number}", _SERVICE, "10.0.0.1", 1, "a")
            )
        self.scheduler = scheduling.Scheduler(
            self.view,
            scheduling.ClusterMembership("own", "a", lambda: ["own"]),
            shared_limits.RetryBudget(0.1, 10, 10),
            random.Random(1),
        )
        self.detector = crash_detection.CrashDetector(
            self.scheduler, self.view, events.Log("test"), _find_refusal
        )
        self.recorded_count = 0

    def _count(self) -> None:
        self.recorded_count += 1

    def _fail_all(self) -> None:
        for endpoint_id in self.view.endpoints:
            self._fail(endpoint_id)

    def _fail(self, endpoint_id: str) -> None:
        self.scheduler.reach_tracker.record_unreached(
            endpoint_id, clock.boottime()
        )

    def _reach_other(self) -> None:
        self.scheduler.reach_tracker.record_reached("e1", clock.boottime())

    def _reach_other_before_a_failure(self) -> None:
        """Probes run beside each other: one at a further crashed endpoint."""
        self._reach_other()
        self._fail("e2")

    def _reach_at_peer(self) -> None:
        self._fail_all()
        self.scheduler.reach_tracker.replace_peer_reach(
            "peer", {_SERVICE: 0.0}, clock.boottime()
        )

    def test_only_failures_of_endpoints_count(self) -> None:
        # What is found out 0.2 s after the failure, the expected number of
        # records then, and 1.7 s after the failure.
        cases: tuple[tuple[str, Callable[[], None], int, int], ...] = (
            ("another endpoint is reached", self._reach_other, 1, 1),
            (
                "another endpoint is reached, a further one is not",
                self._reach_other_before_a_failure,
                1,
                1,
            ),
            ("peers reach the service", self._reach_at_peer, 0, 0),
            ("nobody says anything", self._fail_all, 0, 1),
        )
        for name, find_out, early_count, late_count in cases:
            with self.subTest(name):
                self.setUp()
                self._fail("e0")
                endpoint = self.view.endpoints["e0"]
                self.detector.confirm_failure(endpoint, self._count)
                eventlet.sleep(0.2)
                find_out()
                eventlet.sleep(0.2)
                self.assertEqual(self.recorded_count, early_count)
                eventlet.sleep(1.4)
                self.assertEqual(self.recorded_count, late_count)

    def test_failure_without_doubt_counts_at_once(self) -> None:
        endpoint = self.view.endpoints["e0"]
        self.detector.confirm_failure(endpoint, self._count)
        self.assertEqual(self.recorded_count, 1)


if __name__ == "__main__":
    unittest.main()
