"""Guards against the loss of generations that could have been migrated.

Failure: every few seconds one of six engines stops less than two seconds after
its leaving notice, while long generations run on all engines. A generation is
lost if its KV cache is not on another engine when its engine stops.
"""

from __future__ import annotations

import random
import unittest

import eventlet
import eventlet.event
import virtual_time

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import hashing
from dandelionlead.gateway import attempt_limit
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import crash_detection
from dandelionlead.gateway import evacuation
from dandelionlead.gateway import relay
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.gateway import supervisor
from dandelionlead.http import client
from dandelionlead.http import link_activity
from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits

virtual_time.install()

_SERVICE = model.Service(
    "engines", 100, 0.0, model.EngineSpec(24, 30_000, True, True)
)
_ROUTE = model.Route(
    "drafts",
    "h",
    "/",
    model.CallKind.STREAMING,
    (model.Target("engines", 1.0),),
)


_UNREACHABLE = errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")


def _describe(point: calls.ResumePoint) -> tuple[object, str, int]:
    """Returns what tells two points of resumption apart."""
    return point.handle_address, point.handle, point.last_event_id


class _FakeCodec:
    """Encodes control requests as tuples.

    A copy request is (source id, target id, whether the source stops the run).
    """

    def encode_copy_request(self, source, target, request_id, *, stops_source):
        return source.endpoint_id, target.endpoint_id, stops_source

    def decode_copy_response(self, body):
        return calls.MemoryCopy("handle") if body else None

    def encode_free_copy_request(self, source, handle):
        return source.endpoint_id, "free", handle


class _FakeSender:
    """Records control requests; returns 503 for copies to full engines."""

    def __init__(self, full_ids: set[str]) -> None:
        self.requests: list[tuple] = []
        self.full_ids = full_ids
        self.activity = link_activity.LinkActivity()
        self.call_count = 0
        # Whether engines accept no connection once their bodies have ended.
        self.crashed_id = ""
        # Seconds until the response to a call, its status and its connection.
        self.resumed = (0.0, 503, _FakeConn())
        # Seconds until the response to a request for a final copy, and this
        # response; None to treat it like that to any other copy.
        self.final_copy: tuple[float, object] | None = None
        # Points at which calls that were sent resume their runs.
        self.resume_points: list[calls.ResumePoint] = []

    def send_call(self, admitted, endpoint, head_deadline_s, **options):
        self.call_count += 1
        self.resume_points.append(options.get("resumption"))
        delay_s, status, conn = self.resumed
        eventlet.sleep(delay_s)
        head = calls.EndpointResponseHead(status, [])
        return sending.EndpointResponse(endpoint, conn, head)

    def send_control_request(self, endpoint, request, timeout_s, **_):
        self.requests.append(request)
        if self.final_copy is not None and request[2] is True:
            delay_s, response = self.final_copy
            eventlet.sleep(delay_s)
            return response
        eventlet.sleep(0.01)
        if request[1] in self.full_ids:
            return 503, b""
        return 200, b"copied"

    def find_broken_end(self, response, *_, **__):
        if response.endpoint.endpoint_id != self.crashed_id:
            return None
        return errors.Failure(errors.Kind.ENDPOINT_FAILED, "refused")

    def return_conn(self, response):
        response.is_pooled = True


class _FakeConn:
    """Returns the parts of a response body, and then its end."""

    def __init__(self, *parts: bytes) -> None:
        self._parts = [*parts, client.BODY_END]
        self.is_closed = False
        self.on_silence = lambda: None

    def read_body_part(self, deadline_s):
        part = self._parts.pop(0)
        if isinstance(part, errors.Failure):
            self.on_silence()
        return part

    def close(self):
        self.is_closed = True


class _SlowConn(_FakeConn):
    """Returns each part after a pause, which is longer than a silence.

    Args:
        pause_s: Seconds before each part.
        *parts: The parts.
    """

    def __init__(self, pause_s: float, *parts: bytes) -> None:
        super().__init__(*parts)
        self._pause_s = pause_s
        self._ready_s = clock.boottime() + pause_s

    def read_body_part(self, deadline_s):
        eventlet.sleep(
            max(0.0, min(self._ready_s, deadline_s) - clock.boottime())
        )
        if clock.boottime() < self._ready_s:
            return errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")
        self._ready_s = clock.boottime() + self._pause_s
        return super().read_body_part(deadline_s)


class _DrippingConn:
    """Returns one event, and then one byte of the next one now and then.

    Attributes:
        interval_s: Seconds between the bytes.
    """

    def __init__(self, first_event: bytes, interval_s: float) -> None:
        self._first_event = first_event
        self.interval_s = interval_s
        self.is_closed = False

    def read_body_part(self, deadline_s):
        if self._first_event:
            part, self._first_event = self._first_event, b""
            return part
        wait_s = deadline_s - clock.boottime()
        eventlet.sleep(max(0.0, min(self.interval_s, wait_s)))
        if self.interval_s >= wait_s:
            return errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")
        return b":"

    def close(self):
        self.is_closed = True


class _FakeResponseWriter:
    """Records the response to the caller."""

    def __init__(self) -> None:
        self.has_started = False
        self.has_ended = False
        self.body = b""

    def start_response(self, status, headers):
        self.has_started = True

    def send_data(self, data):
        self.body += data

    def end_response(self):
        self.has_ended = True


class _SupervisorCase(unittest.TestCase):
    def setUp(self) -> None:
        self.view = routing_view.RoutingView()
        for number in range(4):
            self.view.set_endpoint(
                model.Endpoint(f"e{number}", "engines", "10.0.0.1", number, "a")
            )
        membership = scheduling.ClusterMembership("n", "a", lambda: ["n"])
        self.scheduler = scheduling.Scheduler(
            self.view,
            membership,
            shared_limits.RetryBudget(0.2, 50, 10),
            random.Random(3),
        )
        self.sender = _FakeSender(set())
        self.supervisor = supervisor.RunSupervisor(
            self.sender,
            _FakeCodec(),
            self.scheduler,
            self.view,
            events.Log("test"),
        )

    def start_run(
        self,
        endpoint_id: str,
        tokens: int = 4_000,
        route: model.Route = _ROUTE,
    ) -> runs.Run:
        call = calls.Call(
            "r",
            b"POST",
            b"/",
            "h",
            "/",
            [],
            caller_deadline_s=1e9,
            prompt_tokens=9,
        )
        admitted = calls.AdmittedCall(call, route, None, _SERVICE, 1)
        reservation = self.scheduler.load_tracker.reserve(
            endpoint_id, tokens, 0
        )
        endpoint = self.view.endpoints[endpoint_id]
        run = runs.Run(admitted, endpoint, reservation, tokens)
        self.supervisor.register(run)
        return run


class NoticeTest(_SupervisorCase):
    """Guards against runs that stay on an engine after its leaving notice.

    After the leaving notice, the run must be copied and then stopped with a
    final copy.
    """

    def test_run_is_copied_and_then_stopped(self) -> None:
        run = self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.1)
        self.assertEqual(
            [request[2] for request in self.sender.requests], [False, True]
        )
        self.assertNotEqual(run.copy_target.endpoint_id, "e0")
        self.assertTrue(run.stop_event.ready())

    def test_runs_from_before_and_after_a_new_entry_are_moved(self) -> None:
        """Each heartbeat of an engine brings a new entry of the same start.

        Only the runs that had been sent between the same two heartbeats as the
        first queued one were moved; the others were lost with their engine.
        """
        migrated_runs = []
        for _ in range(3):
            migrated_runs.append(self.start_run("e0"))
            entry = model.Endpoint("e0", "engines", "10.0.0.1", 0, "a")
            self.view.set_endpoint(entry)
        self.view.mark_leaving("e0")
        eventlet.sleep(0.2)
        for run in migrated_runs:
            self.assertIsNotNone(run.stop_event)

    def test_runs_of_a_second_start_are_moved(self) -> None:
        """An engine may start again under its id, and leave again."""
        self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.1)
        entry = model.Endpoint(
            "e0", "engines", "10.0.0.1", 0, "a", started_unix_ms=5
        )
        self.view.set_endpoint(entry)
        run = self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.2)
        self.assertIsNotNone(run.stop_event)

    def test_engines_without_room_are_skipped(self) -> None:
        self.sender.full_ids = {"e1", "e2"}
        run = self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.3)
        self.assertEqual(run.copy_target.endpoint_id, "e3")

    def test_run_on_a_leaving_engine_migrates_at_once(self) -> None:
        endpoint = self.view.endpoints["e0"]
        self.view.mark_leaving("e0")
        self.view.endpoints["e0"] = endpoint
        self.start_run("e0")
        eventlet.sleep(0.1)
        self.assertTrue(self.sender.requests)

    def test_ended_run_is_not_copied(self) -> None:
        run = self.start_run("e0")
        self.supervisor.unregister(run)
        run.is_active = False
        self.view.mark_leaving("e0")
        eventlet.sleep(0.05)
        self.assertEqual(self.sender.requests, [])

    def test_runs_of_one_engine_are_spread_over_targets(self) -> None:
        migrated_runs = [self.start_run("e0", 9_000) for _ in range(3)]
        self.view.mark_leaving("e0")
        eventlet.sleep(0.2)
        targets = {run.copy_target.endpoint_id for run in migrated_runs}
        self.assertEqual(len(targets), 3)


class LateCopyTest(_SupervisorCase):
    """Guards against a copy that ends after the relay has given it up.

    Order of events: a second copy of a run is in progress; the engine is
    silent, so that the relay tries to resume the run from the first copy, fails
    and goes back to the engine. The second copy had no target any more, and the
    final copy raised, which ended all migrations from that engine.
    """

    def test_copy_that_was_given_up_is_not_used(self) -> None:
        requests = []

        def respond(endpoint, request, timeout_s, **_):
            requests.append(request)
            if len(requests) == 1:
                eventlet.sleep(evacuation.FINAL_COPY_THRESHOLD_S + 0.02)
            elif len(requests) == 2:
                next(
                    run for run in migrated_runs if run.copy_target is not None
                ).clear_copy(self.scheduler.load_tracker)
            else:
                eventlet.sleep(0.01)
            return 200, b"copied"

        self.sender.send_control_request = respond
        migrated_runs = [self.start_run("e0"), self.start_run("e0")]
        self.view.mark_leaving("e0")
        eventlet.sleep(0.5)
        for run in migrated_runs:
            self.assertIsNotNone(run.stop_event)
            self.assertIs(run.stop_event.wait(1.0), runs.StopResult.STOPPED)
        # The copy that was given up is freed at its source.
        self.assertIn(("e0", "free", "handle"), requests)


class BackupTest(_SupervisorCase):
    """Guards against unusable backups and backups that take room from calls.

    A backup cannot be used on a leaving engine or in a closed zone.
    """

    def test_backup_is_in_the_availability_zone_of_the_run(self) -> None:
        """A backup in another zone takes bandwidth that migrations need.

        The process is in zone a; the run and one free engine are in zone b.
        """
        for number in range(2):
            near = model.Endpoint(f"n{number}", "engines", "10.0.0.2", 1, "b")
            self.view.set_endpoint(near)
        run = self.start_run("n0")
        self.supervisor.assign_backup(run)
        self.assertEqual(run.backup_engine.endpoint_id, "n1")

    def test_engine_in_the_zone_without_room_is_skipped(self) -> None:
        for number in range(2):
            near = model.Endpoint(f"n{number}", "engines", "10.0.0.2", 1, "b")
            self.view.set_endpoint(near)
        self.scheduler.load_tracker.reserve("n1", 18_000, 0)
        run = self.start_run("n0")
        self.supervisor.assign_backup(run)
        self.assertNotEqual(run.backup_engine.endpoint_id, "n1")

    def test_run_with_a_backup_is_not_migrated(self) -> None:
        run = self.start_run("e0")
        self.supervisor.assign_backup(run)
        self.view.mark_leaving("e0")
        eventlet.sleep(0.05)
        self.assertEqual(self.sender.requests, [])

    def test_run_migrates_when_its_engine_and_backup_engine_leave(self) -> None:
        for backup_is_first in (True, False):
            with self.subTest(backup_is_first=backup_is_first):
                self.setUp()
                run = self.start_run("e0")
                self.supervisor.assign_backup(run)
                leaving_ids = ["e0", run.backup_engine.endpoint_id]
                if backup_is_first:
                    leaving_ids.reverse()
                for endpoint_id in leaving_ids:
                    self.view.mark_leaving(endpoint_id)
                eventlet.sleep(0.1)
                self.assertIsNone(run.backup_engine)
                self.assertTrue(self.sender.requests)

    def test_backup_engine_leaves_before_the_first_event(self) -> None:
        call = calls.Call("r", b"POST", b"/", "h", "/", [], prompt_tokens=9)
        admitted = calls.AdmittedCall(call, _ROUTE, None, _SERVICE, 1)
        reservation = self.scheduler.load_tracker.reserve("e0", 4_000, 0)
        endpoint = self.view.endpoints["e0"]
        run = runs.Run(admitted, endpoint, reservation, 4_000)
        self.supervisor.assign_backup(run)
        self.view.mark_leaving(run.backup_engine.endpoint_id)
        self.supervisor.register(run)
        self.assertIsNone(run.backup_engine)

    def test_backup_in_a_closed_zone_is_not_used(self) -> None:
        far = model.Endpoint("far", "engines", "10.0.0.1", 9, "b")
        self.view.set_endpoint(far)
        for number in range(1, 4):
            self.scheduler.load_tracker.reserve(f"e{number}", 17_000, 0)
        run = self.start_run("e0")
        self.supervisor.assign_backup(run)
        self.assertEqual(run.backup_engine.endpoint_id, "far")
        now_s = clock.boottime()
        self.assertTrue(self.supervisor.can_resume_at(far))
        self.view.close_zone("b", now_s)
        self.assertIsNone(run.backup_engine)
        self.assertEqual(
            self.scheduler.load_tracker.count_unsaved_runs("e0", now_s), 1
        )
        self.view.closed_zones = {
            "b": now_s - routing_view.ZONE_CLOSING_GRACE_S
        }
        self.assertFalse(self.supervisor.can_resume_at(far))
        self.view.open_zone("b")
        self.assertTrue(self.supervisor.can_resume_at(far))

    def test_no_backup_without_room(self) -> None:
        for number in range(1, 4):
            self.scheduler.load_tracker.reserve(f"e{number}", 17_000, 0)
        run = self.start_run("e0")
        self.supervisor.assign_backup(run)
        self.assertIsNone(run.backup_engine)

    def test_no_backup_while_the_mean_fill_is_high(self) -> None:
        """Backups would take KV cache that queued calls are waiting for.

        One engine was just added and is empty; the others are full of long
        runs, and more calls arrive than all engines can run.
        """
        for number in range(3):
            self.scheduler.load_tracker.reserve(f"e{number}", 28_000, 0)
        run = self.start_run("e0", 2_000)
        self.supervisor.assign_backup(run)
        self.assertIsNone(run.backup_engine)

    def test_load_of_a_dropped_backup_is_removed(self) -> None:
        run = self.start_run("e0")
        self.supervisor.assign_backup(run)
        self.supervisor.drop_backup(run)
        self.supervisor.unregister(run)
        self.scheduler.load_tracker.release(run.reservation)
        self.assertEqual(self.scheduler.load_tracker.get_own_loads(), {})


class TurnTest(_SupervisorCase):
    """Guards against concurrent copies of many runs that all complete too late.

    All copies of an engine's runs share its network link, so that concurrent
    copies complete only after the engine has stopped.
    """

    def test_runs_of_this_process_migrate_one_at_a_time(self) -> None:
        for _ in range(3):
            self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.2)
        stop_flags = [request[2] for request in self.sender.requests]
        self.assertEqual(stop_flags, [False, True] * 3)

    def test_process_waits_for_the_processes_ranked_before_it(self) -> None:
        peer_names = [f"p{number}" for number in range(6)]
        ranked = hashing.rank_candidates("e0", ["n", *peer_names])
        peers_before = ranked[: ranked.index("n")]
        self.assertTrue(
            peers_before, "no process is ranked before the tested one"
        )
        now_s = clock.boottime()
        unsaved_loads = {"e0": loads.Load(1, 4_000, 0, 1)}
        for peer in peer_names:
            self.scheduler.load_tracker.replace_peer_loads(
                peer, unsaved_loads, now_s + 3.0
            )
        self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.1)
        self.assertEqual(self.sender.requests, [])
        for peer in peers_before:
            self.scheduler.load_tracker.replace_peer_loads(
                peer, {}, now_s + 3.0
            )
        eventlet.sleep(0.1)
        self.assertEqual(len(self.sender.requests), 2)

    def test_wait_for_other_processes_is_limited(self) -> None:
        now_s = clock.boottime()
        for number in range(6):
            unsaved_loads = {"e0": loads.Load(9, 9_000, 0, 9)}
            self.scheduler.load_tracker.replace_peer_loads(
                f"p{number}", unsaved_loads, now_s + 3.0
            )
        self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(evacuation.MAX_TURN_WAIT_S + 0.2)
        self.assertEqual(len(self.sender.requests), 2)

    def test_engines_in_the_zone_of_the_source_are_preferred(self) -> None:
        far = model.Endpoint("far", "engines", "10.0.0.1", 9, "b")
        self.view.set_endpoint(far)
        for number in range(1, 4):
            self.scheduler.load_tracker.reserve(f"e{number}", 9_000, 0)
        run = self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.1)
        self.assertNotEqual(run.copy_target.endpoint_id, "far")

    def test_repeatable_runs_get_time_to_end(self) -> None:
        resumable_route = model.Route(
            "checks",
            "h",
            "/",
            model.CallKind.STREAMING,
            (model.Target("engines", 1.0),),
            resumable=True,
        )
        run = self.start_run("e0", route=resumable_route)
        self.view.mark_leaving("e0")
        eventlet.sleep(0.2)
        self.assertEqual(self.sender.requests, [])
        run.is_active = False
        eventlet.sleep(evacuation.REPEATABLE_RUN_GRACE_S)
        self.assertEqual(self.sender.requests, [])


def _find_refusal(*_: object) -> errors.Failure:
    """Returns the failure of an endpoint at whose address nothing listens."""
    return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")


class _RelayCase(_SupervisorCase):
    # Ids of engines that accept no connections.
    unreachable_ids: frozenset[str] = frozenset()

    def _find_connect_failure(
        self, endpoint: model.Endpoint, *_: object
    ) -> errors.Failure | None:
        if endpoint.endpoint_id not in self.unreachable_ids:
            return None
        return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "unreachable")

    def relay(
        self,
        run: runs.Run,
        writer: _FakeResponseWriter,
        conn: _FakeConn,
        *,
        ends_with_connection: bool = False,
    ) -> relay.Outcome:
        """Relays a stream to its end; returns the outcome."""
        log = events.Log("test")
        progress = call_progress.CallProgress(run.admitted, writer)
        limit = attempt_limit.AttemptLimit(
            progress,
            self.view,
            self._find_connect_failure,
        )
        detector = crash_detection.CrashDetector(
            self.scheduler, self.view, log, _find_refusal
        )
        stream_relay = relay.Relay(
            self.sender,
            self.scheduler,
            self.supervisor,
            log,
            run,
            writer,
            crash_detection.RequestCrashes(
                detector, self.scheduler, run.admitted
            ),
            progress,
            limit,
        )
        head = calls.EndpointResponseHead(
            200, [], ends_with_connection=ends_with_connection
        )
        return stream_relay.forward_stream(
            sending.EndpointResponse(run.endpoint, conn, head)
        )


class SilentEngineTest(_RelayCase):
    """Guards against the loss of a run whose engine was only silent.

    Load pattern: a large row of the store fills the link of the process for
    half a second, so that the streams of live engines arrive late. The engines
    cannot be reached meanwhile. Backups are not complete yet, or have no room.
    """

    SILENCE = errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")

    def setUp(self) -> None:
        super().setUp()
        self.sender.final_copy = (0.0, _UNREACHABLE)

    def _start_run_with_backup(self) -> runs.Run:
        run = self.start_run("e0")
        run.admitted.deadline_s = clock.boottime() + 5.0
        run.backup_engine = self.view.endpoints["e1"]
        return run

    def test_run_continues_where_it_can(self) -> None:
        rest = b"id: 2\ndata: b\n\n"
        # Seconds until the backup engine responds, its status, whether the run
        # continues at its source, whether it is complete.
        cases = (
            (0.0, 503, True, True),
            (0.2, 503, True, True),
            (0.0, 200, False, True),
            (0.2, 200, False, True),
            # The source must not work on the run any more when the other
            # engine has had time to begin.
            (0.6, 503, False, False),
            (0.6, 200, False, True),
        )
        for delay_s, status, is_at_source, is_complete in cases:
            with self.subTest(delay_s=delay_s, status=status):
                run = self._start_run_with_backup()
                # The silence begins inside an event.
                source = _FakeConn(
                    b"id: 1\ndata: a\n\nid: 2\n", self.SILENCE, rest[6:]
                )
                self.sender.resumed = (delay_s, status, _FakeConn(rest))
                writer = _FakeResponseWriter()
                outcome = self.relay(run, writer, source)
                self.assertEqual(outcome.is_complete, is_complete)
                self.assertEqual(outcome.last_endpoint_id == "e0", is_at_source)
                self.assertEqual(source.is_closed, not is_at_source)
                body = b"id: 1\ndata: a\n\n" + (rest if is_complete else b"")
                self.assertEqual(writer.body, body)
                now_s = clock.boottime()
                for number in range(4):
                    load = self.scheduler.load_tracker.sum_load(
                        f"e{number}", now_s
                    )
                    self.assertEqual(load.runs, 0)

    def test_silence_while_a_large_body_arrives_does_not_count(self) -> None:
        rest = b"id: 2\ndata: b\n\n"
        for byte_count, is_resumed in ((500_000, False), (1_000, True)):
            with self.subTest(byte_count=byte_count):
                # The large body of the case before arrived earlier.
                eventlet.sleep(1.0)
                run = self._start_run_with_backup()
                source = _FakeConn(
                    b"id: 1\ndata: a\n\n", self.SILENCE, self.SILENCE, rest
                )
                source.on_silence = lambda size=byte_count: (
                    self.sender.activity.record_part(size)
                )
                self.sender.call_count = 0
                outcome = self.relay(run, _FakeResponseWriter(), source)
                self.assertTrue(outcome.is_complete)
                self.assertEqual(self.sender.call_count > 0, is_resumed)


class TwoEnginesTest(_RelayCase):
    """Guards against two engines that work on one run.

    Review case 9: a run that was preempted for half a second went on at the
    engine with its backup, and its first engine, which does not drop a run
    whose connection closes, worked on it to its end.
    """

    EVENT = b"id: 1\ndata: a\n\n"
    REST = b"id: 2\ndata: b\n\n"
    BACKUP = calls.ResumePoint(("10.0.0.1", 1), "r", 1)
    COPY = calls.ResumePoint(("10.0.0.1", 0), "handle", 1)
    # Seconds until the engine responds to the request to stop the run, its
    # response, where the run goes on if the engine is silent, and where if it
    # has closed the connection; None for where it is.
    CASES = (
        # It has no such run now: a run that was preempted goes on there.
        (0.0, (404, b""), None, BACKUP),
        (0.0, (409, b""), None, BACKUP),
        # The same, said late by an engine on a busy machine.
        (0.45, (404, b""), None, BACKUP),
        # It does not say whether it has stopped the run.
        (0.0, (500, b""), None, BACKUP),
        (0.0, (503, b""), None, BACKUP),
        (0.0, errors.Failure(errors.Kind.ENDPOINT_FAILED, "-"), None, BACKUP),
        # It has stopped the run.
        (0.0, (200, b"copied"), COPY, COPY),
        (0.0, (503, b"copied"), COPY, COPY),
        # It has stopped the run, and the final copy takes long.
        (0.9, (200, b"copied"), BACKUP, BACKUP),
        # Another instance has its address; it accepts no connection.
        (0.0, (421, b""), BACKUP, BACKUP),
        (0.0, _UNREACHABLE, BACKUP, BACKUP),
    )

    def play(
        self, failure: errors.Failure, delay_s: float, response: object
    ) -> relay.Outcome:
        """Relays a run with a backup whose engine fails after one event."""
        self.setUp()
        run = self.start_run("e0")
        run.admitted.deadline_s = clock.boottime() + 5.0
        run.backup_engine = self.view.endpoints["e1"]
        self.sender.final_copy = (delay_s, response)
        self.sender.resumed = (0.0, 200, _FakeConn(self.REST))
        writer = _FakeResponseWriter()
        outcome = self.relay(
            run, writer, _FakeConn(self.EVENT, failure, self.REST)
        )
        self.assertTrue(outcome.is_complete)
        self.assertEqual(writer.body, self.EVENT + self.REST)
        return outcome

    def test_run_goes_on_elsewhere_only_if_its_engine_has_it_no_more(
        self,
    ) -> None:
        silent = errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")
        broken = errors.Failure(errors.Kind.ENDPOINT_FAILED, "closed")
        for delay_s, response, after_silence, after_break in self.CASES:
            for failure, point in (
                (silent, after_silence),
                (broken, after_break),
            ):
                with self.subTest(failure.kind, response=response):
                    outcome = self.play(failure, delay_s, response)
                    points = [] if point is None else [point]
                    self.assertEqual(
                        [_describe(item) for item in self.sender.resume_points],
                        [_describe(item) for item in points],
                    )
                    endpoint_id = "e0" if point is None else "e1"
                    self.assertEqual(outcome.last_endpoint_id, endpoint_id)

    def test_copy_that_comes_too_late_is_freed(self) -> None:
        silent = errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")
        self.play(silent, 0.8, (200, b"copied"))
        eventlet.sleep(0.3)
        self.assertIn(("e0", "free", "handle"), self.sender.requests)


class StalledEngineTest(_RelayCase):
    """Guards against streams that stall, and against slow ones that are cut.

    An engine that sends a byte now and then has not made progress: only whole
    events count.
    """

    def test_stalled_stream_is_resumed_or_ends_at_its_deadline(self) -> None:
        rest = b"id: 2\ndata: b\n\n"
        # Seconds between bytes, whether there is a backup.
        for interval_s, has_backup in (
            (0.002, True),
            (0.1, True),
            (0.1, False),
        ):
            with self.subTest(interval_s=interval_s, has_backup=has_backup):
                run = self.start_run("e0")
                run.admitted.deadline_s = clock.boottime() + 2.0
                if has_backup:
                    run.backup_engine = self.view.endpoints["e1"]
                source = _DrippingConn(b"id: 1\ndata: a\n\n", interval_s)
                self.sender.resumed = (0.0, 200, _FakeConn(rest))
                started_s = clock.boottime()
                outcome = self.relay(run, _FakeResponseWriter(), source)
                took_s = clock.boottime() - started_s
                self.assertEqual(outcome.is_complete, has_backup)
                self.assertTrue(source.is_closed)
                self.assertLess(took_s, 1.0 if has_backup else 2.2)

    def test_slow_stream_that_makes_progress_is_not_cut(self) -> None:
        run = self.start_run("e0")
        run.admitted.deadline_s = clock.boottime() + 5.0
        parts = [b"id: %d\ndata: a\n\n" % number for number in range(1, 4)]
        outcome = self.relay(run, _FakeResponseWriter(), _SlowConn(1.0, *parts))
        self.assertTrue(outcome.is_complete)
        self.assertEqual(self.sender.call_count, 0)


class StoppedStreamTest(_RelayCase):
    """Guards against a stream that was stopped for its migration.

    A stream that ends with its connection looks complete then, although the
    rest of it comes from another engine. Review case 1: the engine was gone
    before it responded to the request for the final copy, and the caller got
    200 of 300 events as a complete answer.
    """

    def test_stream_is_complete_only_if_it_was_not_stopped(self) -> None:
        result = runs.StopResult
        # What the request for the final copy has shown, seconds until it is
        # known, whether the body ends with its connection, whether the stream
        # is complete.
        cases = (
            (result.STOPPED, 0.02, True, False),
            (result.NOT_STOPPED, 0.02, True, True),
            (result.UNKNOWN, 0.02, True, False),
            (result.UNKNOWN, 0.0, True, False),
            (result.STOPPED, 1.2, True, False),
            (result.NOT_STOPPED, 1.2, True, False),
            (result.UNREACHABLE, 0.02, True, False),
            # The HTTP server of an engine may end a stopped stream in order.
            (result.STOPPED, 0.02, False, False),
            (result.STOPPED, 1.2, False, False),
            (result.UNKNOWN, 0.02, False, False),
            (result.NOT_STOPPED, 0.02, False, True),
            (result.UNREACHABLE, 0.02, False, True),
        )
        for stop_result, delay_s, ends_with_connection, is_complete in cases:
            with self.subTest(
                stop_result, delay_s=delay_s, ends=ends_with_connection
            ):
                run = self.start_run("e0")
                run.stop_event = eventlet.event.Event()
                eventlet.spawn_after(delay_s, run.stop_event.send, stop_result)
                writer = _FakeResponseWriter()
                outcome = self.relay(
                    run,
                    writer,
                    _FakeConn(b"id: 1\ndata: a\n\n"),
                    ends_with_connection=ends_with_connection,
                )
                self.assertEqual(outcome.is_complete, is_complete)
                self.assertEqual(writer.has_ended, is_complete)
                self.assertEqual(writer.body, b"id: 1\ndata: a\n\n")

    def test_response_to_the_final_copy_shows_whether_the_run_stopped(
        self,
    ) -> None:
        result = runs.StopResult
        failure = errors.Failure(errors.Kind.ENDPOINT_FAILED, "gone")
        cases = (
            ((200, b"copied"), result.STOPPED),
            # The engine stopped the run, and has no room for it elsewhere.
            ((503, b"copied"), result.STOPPED),
            ((503, b""), result.UNKNOWN),
            # The run had ended before; another copy of it is in progress.
            ((404, b""), result.NOT_STOPPED),
            ((409, b""), result.NOT_STOPPED),
            ((500, b""), result.UNKNOWN),
            (failure, result.UNKNOWN),
        )
        for response, stop_result in cases:
            with self.subTest(response=response):
                self.setUp()
                responses = [(200, b"copied"), response]
                self.sender.send_control_request = (
                    lambda *_, responses=responses, **__: responses.pop(0)
                )
                run = self.start_run("e0")
                self.view.mark_leaving("e0")
                eventlet.sleep(0.05)
                self.assertIs(run.stop_event.wait(1.0), stop_result)

    def test_stream_goes_on_from_the_copy_if_its_engine_is_gone(self) -> None:
        run = self.start_run("e0")
        run.admitted.deadline_s = clock.boottime() + 5.0
        run.memory_copy = calls.MemoryCopy("handle")
        run.copy_target = self.view.endpoints["e1"]
        run.copy_reservation = self.scheduler.load_tracker.reserve(
            "e1", run.memory_tokens, 0
        )
        run.stop_event = eventlet.event.Event()
        run.stop_event.send(runs.StopResult.UNKNOWN)
        rest = b"id: 2\ndata: b\n\n"
        self.sender.resumed = (0.0, 200, _FakeConn(rest))
        writer = _FakeResponseWriter()
        outcome = self.relay(
            run,
            writer,
            _FakeConn(b"id: 1\ndata: a\n\n"),
            ends_with_connection=True,
        )
        self.assertTrue(outcome.is_complete)
        self.assertEqual(outcome.last_endpoint_id, "e1")
        self.assertEqual(writer.body, b"id: 1\ndata: a\n\n" + rest)


class CrashedEngineTest(_RelayCase):
    """Guards against a stream of a crashed engine that looks complete (ORDER).

    Review case 8: the kernel closes the connections of a killed process in
    order, so that a stream without a length ends as a whole one does. Callers
    got 7, 20 or 31 of 60 events as complete.
    """

    EVENT = b"id: 1\ndata: a\n\n"
    REST = b"id: 2\ndata: b\n\n"

    def test_stream_is_complete_only_if_its_engine_lives(self) -> None:
        # Whether the engine has crashed, whether the body ends with its
        # connection, whether a backup exists; whether the caller's stream is
        # complete, and its events.
        cases = (
            (False, True, False, True, self.EVENT),
            (False, False, False, True, self.EVENT),
            (True, False, False, False, self.EVENT),
            (True, False, True, True, self.EVENT + self.REST),
            (True, True, False, False, self.EVENT),
            (True, True, True, True, self.EVENT + self.REST),
        )
        for crashed, ends, has_backup, is_complete, body in cases:
            with self.subTest(crashed=crashed, ends=ends, backup=has_backup):
                self.setUp()
                self.sender.crashed_id = "e0" if crashed else ""
                self.sender.resumed = (0.0, 200, _FakeConn(self.REST))
                run = self.start_run("e0")
                run.admitted.deadline_s = clock.boottime() + 5.0
                if has_backup:
                    run.backup_engine = self.view.endpoints["e1"]
                writer = _FakeResponseWriter()
                outcome = self.relay(
                    run,
                    writer,
                    _FakeConn(self.EVENT),
                    ends_with_connection=ends,
                )
                self.assertEqual(outcome.is_complete, is_complete)
                self.assertEqual(writer.has_ended, is_complete)
                self.assertEqual(writer.body, body)


class AttemptLimitTest(_RelayCase):
    """Guards against a generation that runs on more engines than its route.

    Review case 5: each engine that broke a stream off raised the limit. Load
    pattern: engines that live break off or lose a few of their answers.
    """

    ROUTE = model.Route(
        "checks",
        "h",
        "/",
        model.CallKind.STREAMING,
        (model.Target("engines", 1.0),),
        resumable=True,
        max_attempts=2,
    )

    def test_stream_runs_on_as_many_engines_as_its_route_allows(self) -> None:
        # Engines that take no connections, that leave, number of new runs.
        cases = (
            ((), (), 1),
            (("e0",), (), 2),
            ((), ("e0",), 2),
            (("e0", "e1", "e2", "e3"), (), 3),
        )
        for unreachable_ids, leaving_ids, new_run_count in cases:
            with self.subTest(unreachable=unreachable_ids, leaving=leaving_ids):
                self.setUp()
                self.unreachable_ids = frozenset(unreachable_ids)
                for endpoint_id in leaving_ids:
                    self.view.mark_leaving(endpoint_id)
                targets = []

                def send(admitted, endpoint, *_, targets=targets, **__):
                    targets.append(endpoint.endpoint_id)
                    number = len(targets) + 1
                    event = b"id: %d\ndata: a\n\nid:" % number
                    head = calls.EndpointResponseHead(200, [])
                    return sending.EndpointResponse(
                        endpoint, _FakeConn(event), head
                    )

                self.sender.send_call = send
                run = self.start_run("e0", route=self.ROUTE)
                run.admitted.deadline_s = clock.boottime() + 5.0
                outcome = self.relay(
                    run,
                    _FakeResponseWriter(),
                    _FakeConn(b"id: 1\ndata: a\n\nid:"),
                )
                self.assertFalse(outcome.is_complete)
                self.assertEqual(len(targets), new_run_count)

    def test_engines_that_rejected_the_call_do_not_count(self) -> None:
        rejected_ids = []

        def send(admitted, endpoint, *_, **__):
            is_rejected = len(rejected_ids) < 2
            rest = b"id: 2\ndata: b\n\n"
            if is_rejected:
                rejected_ids.append(endpoint.endpoint_id)
            head = calls.EndpointResponseHead(
                503 if is_rejected else 200, [], states_not_run=is_rejected
            )
            return sending.EndpointResponse(endpoint, _FakeConn(rest), head)

        self.sender.send_call = send
        run = self.start_run("e0", route=self.ROUTE)
        run.admitted.deadline_s = clock.boottime() + 5.0
        outcome = self.relay(
            run, _FakeResponseWriter(), _FakeConn(b"id: 1\ndata: a\n\nid:")
        )
        self.assertTrue(outcome.is_complete)
        self.assertEqual(len(rejected_ids), 2)


class FailureTest(_SupervisorCase):
    """Guards against a busy loop while all copy requests to an engine fail.

    During a busy loop, `eventlet.sleep` in the test would not return.
    """

    def test_failed_copies_do_not_block_the_process(self) -> None:
        failure = errors.Failure(errors.Kind.ENDPOINT_FAILED, "gone")
        self.sender.send_control_request = lambda *_, **__: failure
        self.start_run("e0")
        self.view.mark_leaving("e0")
        eventlet.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
