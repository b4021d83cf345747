"""Tests the probes of endpoints after a connection has failed.

Guards against a lost path that is noticed late, or only once a call comes, and
against probes that take up the workers' connections in large systems.
"""

from __future__ import annotations

import random
import time
import unittest

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.core import metrics
from dandelionlead.gateway import connection_pool
from dandelionlead.gateway import reach_probing
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits

_SERVICE = "engines"


class _FakeConn:
    """Connection that does nothing."""

    def close(self) -> None:
        """Does nothing."""


class ReachProberTest(unittest.TestCase):
    """Guards against too many probes, and against too few."""

    def start(self, endpoint_count: int) -> None:
        """Creates a prober without failures."""
        self.view = routing_view.RoutingView()
        for number in range(endpoint_count):
            self.view.set_endpoint(
                model.Endpoint(f"e{number}", _SERVICE, "10.0.0.1", 1, "a")
            )
        self.scheduler = scheduling.Scheduler(
            self.view,
            scheduling.ClusterMembership("own", "a", lambda: ["own"]),
            shared_limits.RetryBudget(0.1, 10, 10),
            random.Random(1),
        )
        self.pool = connection_pool.ConnectionPool(lambda _: 10)
        self.pool.connector = self._connect
        self.failing = True
        self.attempt_count = 0
        self.statement_count = 0
        registry = metrics.Registry({})
        log = events.Log("test")
        self.prober = reach_probing.ReachProber(
            self.scheduler,
            self.view,
            self.pool,
            lambda: ["own", "peer"],
            self._count_statement,
            log,
            registry,
            guards.LoopGuard(log, registry),
            random.Random(1),
        )

    def _connect(
        self, _address: object, _timeout_s: float, _memory: object
    ) -> _FakeConn | errors.Failure:
        self.attempt_count += 1
        if self.failing:
            return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")
        return _FakeConn()

    def _count_statement(self) -> None:
        self.statement_count += 1

    def try_endpoint(self, endpoint_id: str) -> None:
        """Opens a connection, as for a call."""
        self.pool.try_connect(self.view.endpoints[endpoint_id], 0.5)

    def state_peer(
        self, *, reached: bool = False, doubts: bool = False
    ) -> None:
        """Applies a statement of the peer."""
        tracker = self.scheduler.reach_tracker
        tracker.replace_peer_reach(
            "peer", {_SERVICE: 0.0} if reached else {}, clock.boottime()
        )
        tracker.replace_peer_doubts("peer", [_SERVICE] if doubts else [])
        tracker.peer_listener()

    def test_probes_are_bounded_in_large_systems(self) -> None:
        for endpoint_count, max_attempts in ((1, 6), (9, 20), (3_600, 20)):
            with self.subTest(endpoint_count=endpoint_count):
                self.start(endpoint_count)
                self.try_endpoint("e0")
                started_s = time.process_time()
                eventlet.sleep(1.7)
                used_s = time.process_time() - started_s
                self.assertLessEqual(self.attempt_count, max_attempts)
                self.assertLess(used_s, 0.5)
                self.assertTrue(
                    self.scheduler.is_unreached(_SERVICE, clock.boottime())
                )
                self.failing = False
                eventlet.sleep(0.7)

    def test_one_failure_makes_few_connections(self) -> None:
        """Guards against probes that go on after a single worker is down."""
        self.start(9)
        self.try_endpoint("e0")
        self.failing = False
        eventlet.sleep(1.0)
        self.assertLessEqual(self.attempt_count, 4)
        self.assertEqual(self.statement_count, 0)

    def test_cut_and_recovery_are_noticed_without_calls(self) -> None:
        self.start(9)
        self.try_endpoint("e0")
        eventlet.sleep(0.7)
        self.state_peer(reached=True)
        statements = self.scheduler.reach_statements
        self.assertTrue(statements.is_cut_off_from(_SERVICE))
        self.failing = False
        eventlet.sleep(0.6)
        self.assertFalse(statements.is_cut_off_from(_SERVICE))

    def test_peer_that_lost_its_paths_is_answered(self) -> None:
        """Guards against an old connection that is stated as an answer."""
        self.start(9)
        self.failing = False
        self.try_endpoint("e0")
        eventlet.sleep(0.05)
        asked_s = clock.boottime()
        self.state_peer(doubts=True)
        eventlet.sleep(0.1)
        (statement,) = self.scheduler.reach_statements.list_all()
        self.assertGreaterEqual(statement.reached_s, asked_s)
        self.assertFalse(statement.is_unreached)
        self.state_peer()
        eventlet.sleep(0.4)
        self.assertEqual(self.scheduler.reach_statements.list_all(), [])
        before = self.attempt_count
        eventlet.sleep(1.0)
        self.assertEqual(self.attempt_count, before)


if __name__ == "__main__":
    unittest.main()
