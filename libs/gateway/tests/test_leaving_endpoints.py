"""Guards against the exit of a leaving endpoint that counts as a failure.

An endpoint that was asked to leave closes its connections and accepts no more
once it has ended its work, or when its time is up. That says nothing about its
version, nor about the requests that it ran.
"""

from __future__ import annotations

import random
import unittest

import engine_fakes
import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import metrics
from dandelionlead.gateway import call_reporting
from dandelionlead.gateway import crash_detection
from dandelionlead.gateway import exchange
from dandelionlead.gateway import serving
from dandelionlead.gateway import supervisor
from dandelionlead.routing import calls
from dandelionlead.routing import crashes
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits

_SERVICE = model.Service(
    "engines", 100, 0.0, model.EngineSpec(8, 30_000, True, False)
)
_ROUTE = model.Route(
    "draft",
    "h",
    "/draft/",
    model.CallKind.STREAMING,
    (model.Target("engines", 1.0),),
    timeout_s=10.0,
    latency_objective_s=1.0,
)
_NEW_VERSION = "v2"
_EVENT_COUNT = 8


class _LeavingCase(unittest.TestCase):
    """One process and one engine, which runs a version that is on trial."""

    def setUp(self) -> None:
        self.view = routing_view.RoutingView()
        self.endpoint = model.Endpoint(
            "e0", "engines", "10.0.0.1", 1, "a", version=_NEW_VERSION
        )
        self.view.set_endpoint(self.endpoint)
        order = model.RolloutOrder("engines", _NEW_VERSION, 60.0)
        self.view.rollouts.start(order, 1, clock.boottime())
        self.scheduler = scheduling.Scheduler(
            self.view,
            scheduling.ClusterMembership("n", "a", lambda: ["n"]),
            shared_limits.RetryBudget(0.2, 50, 10),
            random.Random(3),
        )
        self.log = engine_fakes.FakeLog()

    def make_admitted_call(self, request_id: str) -> calls.AdmittedCall:
        """Returns a call whose deadline is five seconds away."""
        now_s = clock.boottime()
        call = calls.Call(
            request_id,
            b"POST",
            b"/draft/1",
            "h",
            "/draft/1",
            [],
            arrived_s=now_s,
            caller_deadline_s=now_s + 5.0,
            prompt_tokens=100,
            max_output_tokens=40,
        )
        return calls.AdmittedCall(call, _ROUTE, None, _SERVICE, 1)

    def make_exchange(
        self, sender: engine_fakes.FakeSender
    ) -> exchange.Exchange:
        """Returns the exchange of a call with id `r`, whose caller is new."""
        self.writer = engine_fakes.FakeResponseWriter()
        codec = engine_fakes.FakeCodec({})
        deps = exchange.Dependencies(
            self.scheduler,
            sender,
            supervisor.RunSupervisor(
                sender, codec, self.scheduler, self.view, self.log
            ),
            self.view,
            self.log,
            call_reporting.CallReporter(
                codec, self.view, self.log, metrics.Registry({})
            ),
            serving.ServingState(),
        )
        return exchange.Exchange(
            deps, self.make_admitted_call("r"), self.writer
        )


class RolloutTest(_LeavingCase):
    """Guards against a sound version that is rolled back as its engines leave.

    Engines of both versions are replaced during a rollout. What they cut off
    counted as failures of their version.
    """

    def test_calls_that_a_leaving_engine_cuts_do_not_count(self) -> None:
        # What is known of the engine before it ends, whether it ends before it
        # has begun the call, whether its streams have no end mark; the number
        # of failures of its version.
        cases = (
            ("leaving notice", False, False, 0),
            ("leaving notice", False, True, 0),
            ("leaving notice", True, False, 0),
            ("nothing", False, False, 1),
            ("nothing", False, True, 1),
            ("nothing", True, False, 1),
            # The entry of an engine that has crashed is removed, too.
            ("entry removed", False, False, 1),
        )
        for known, is_queued, has_no_end_mark, failure_count in cases:
            with self.subTest(known, queued=is_queued, no_mark=has_no_end_mark):
                self.setUp()
                engine = engine_fakes.FakeEngine(self.endpoint)
                engine.sends_length = not has_no_end_mark
                if is_queued:
                    engine.busy_until_s = clock.boottime() + 5.0
                sender = engine_fakes.FakeSender(
                    {"e0": engine}, {"r": _EVENT_COUNT}
                )
                serving_thread = eventlet.spawn(
                    self.make_exchange(sender).serve
                )
                eventlet.sleep(0.25)
                if known == "leaving notice":
                    self.view.mark_leaving("e0")
                elif known == "entry removed":
                    self.view.remove_endpoint("e0")
                engine.is_gone = True
                serving_thread.wait()
                counts = self.view.rollouts.get("engines").sum_counts(new=True)
                self.assertEqual(counts.sent_count, 1)
                self.assertEqual(counts.failure_count, failure_count)
                self.assertEqual(counts.ended_count, failure_count)


class CrashTest(_LeavingCase):
    """Guards against requests that are refused although no endpoint crashed.

    Order of events: connections to an endpoint break while it ends, the notice
    that it leaves arrives, and then a check finds that it is gone.
    """

    def find_absence(self, *_: object) -> errors.Failure:
        """Returns the failure of an endpoint at whose address nothing is."""
        return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")

    def test_late_notice_shows_that_an_endpoint_has_not_crashed(self) -> None:
        # What arrives after the connection broke; whether the request is
        # refused after that has happened at some starts of the endpoint.
        for news, is_refused in (
            ("leaving notice", False),
            ("nothing", True),
            ("entry removed", True),
        ):
            with self.subTest(news):
                self.setUp()
                detector = crash_detection.CrashDetector(
                    self.scheduler, self.view, self.log, self.find_absence
                )
                request_crashes = crash_detection.RequestCrashes(
                    detector, self.scheduler, self.make_admitted_call("r")
                )
                for started_unix_ms in range(1, crashes.CRASH_LIMIT + 1):
                    endpoint = model.Endpoint(
                        "e0",
                        "engines",
                        "10.0.0.1",
                        1,
                        "a",
                        started_unix_ms=started_unix_ms,
                    )
                    self.view.set_endpoint(endpoint)
                    request_crashes.record_broken_connection(endpoint)
                    if news == "leaving notice":
                        self.view.mark_leaving("e0")
                    elif news == "entry removed":
                        self.view.remove_endpoint("e0")
                    eventlet.sleep(0.7)
                failure = request_crashes.find_failure()
                self.assertEqual(failure is not None, is_refused)
                self.assertEqual(
                    "endpoint_crashed" in self.log.names, is_refused
                )


class _ExitingSender(engine_fakes.FakeSender):
    """Lets an engine exit with its last run.

    A request for a final copy arrives at the engine as the run ends, and is not
    answered any more.
    """

    def send_control_request(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, bool],
        timeout_s: float,
        **options: object,
    ) -> tuple[int, bytes] | errors.Failure:
        """Copies a run; breaks the connection if the run is to be stopped."""
        request_id, _, stops_source = request
        engine = self._engines[endpoint.endpoint_id]
        if engine.is_gone:
            return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "gone")
        if not stops_source:
            return 200, b"copied"
        while not engine.runs[request_id].is_over:
            eventlet.sleep(0.01)
        engine.is_gone = True
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED, "the connection was reset"
        )


class LastRunTest(_LeavingCase):
    """Guards against a whole answer that is cut as its engine exits.

    The engine ends its last run by itself while the final copy of the run is
    requested, and exits without a response.
    """

    def test_stream_that_ended_during_its_final_copy_is_whole(self) -> None:
        leaving = engine_fakes.FakeEngine(self.endpoint)
        target = model.Endpoint("e1", "engines", "10.0.0.2", 1, "a")
        engines = {"e0": leaving, "e1": engine_fakes.FakeEngine(target)}
        sender = _ExitingSender(engines, {"r": _EVENT_COUNT})
        serving_thread = eventlet.spawn(self.make_exchange(sender).serve)
        eventlet.sleep(0.35)
        self.view.set_endpoint(target)
        self.view.mark_leaving("e0")
        serving_thread.wait()
        self.assertIn("run_stopped", self.log.names)
        numbers = range(1, _EVENT_COUNT + 1)
        self.assertEqual(
            self.writer.body, b"".join(map(engine_fakes.make_event, numbers))
        )
        self.assertTrue(self.writer.has_ended)


if __name__ == "__main__":
    unittest.main()
