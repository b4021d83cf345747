"""Guards against calls that end in a way that is not true, or not at all.

A state machine interleaves calls, queues, silence, leaving and lost engines,
final copies and the stop of the process, in simulated time. Each call must end
with the whole answer, with a refusal that is true and prompt, with an error, or
with an answer that is visibly cut short. The reviewed cases 1 (a stopped stream
that looked complete), 2 (no answer to a queued call at a stop), 3 (a call that
a stopping process took too late) and 9 (two engines that work on one run) are
orders of events like these.
"""

from __future__ import annotations

import contextlib
import random
import unittest

import engine_fakes
import eventlet
import eventlet.hubs
import hypothesis
import virtual_time
from hypothesis import stateful
from hypothesis import strategies

from dandelionlead.core import metrics
from dandelionlead.gateway import call_reporting
from dandelionlead.gateway import exchange
from dandelionlead.gateway import gateway
from dandelionlead.gateway import open_calls
from dandelionlead.gateway import serving
from dandelionlead.gateway import shutdown
from dandelionlead.gateway import supervisor
from dandelionlead.http import disconnect_watcher
from dandelionlead.http import limits
from dandelionlead.http import request_reader
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling
from dandelionlead.routing import shared_limits

_HUB = virtual_time.install()
_GRACE_S = 8.0
_ENGINE_COUNT = 3
# A refusal because of a stop must arrive within this time.
_PROMPT_S = 0.2
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Three prompts of this size fill an engine.
_PROMPT_TOKENS = 8_000
_SERVICE = model.Service(
    "engines", 100, 0.0, model.EngineSpec(8, 30_000, True, True)
)
_engine_numbers = strategies.integers(0, _ENGINE_COUNT - 1)


def _make_route(prefix: str, **options: object) -> model.Route:
    return model.Route(
        prefix,
        "h",
        f"/{prefix}/",
        model.CallKind.STREAMING,
        (model.Target("engines", 1.0),),
        timeout_s=60.0,
        latency_objective_s=1.5,
        **options,
    )


_ROUTES = (
    _make_route("draft"),
    _make_route("check", resumable=True, max_attempts=2),
)


class _SentCall:
    """A call that a caller has sent, and what the caller must get.

    Attributes:
        request_id: Id of the call.
        is_repeatable: Whether it may run more than once.
        deadline_s: Time in seconds at which the caller stops waiting.
        event_count: Number of events of its generation.
        writer: What the caller has received.
        refuse_by_s: Time in seconds by which it must be refused, because the
            process stops; None if it need not be.
        thread: The green thread that serves it.
        has_caller: Whether its caller is still connected.
    """

    def __init__(
        self,
        request_id: str,
        is_repeatable: bool,
        deadline_s: float,
        event_count: int,
    ) -> None:
        self.request_id = request_id
        self.is_repeatable = is_repeatable
        self.deadline_s = deadline_s
        self.event_count = event_count
        self.writer = engine_fakes.FakeResponseWriter()
        self.refuse_by_s: float | None = None
        self.thread: eventlet.greenthread.GreenThread | None = None
        self.has_caller = True

    def make_whole_body(self) -> bytes:
        """Returns the body of the whole answer."""
        numbers = range(1, self.event_count + 1)
        return b"".join(map(engine_fakes.make_event, numbers))


class CallEndsMachine(stateful.RuleBasedStateMachine):
    """One process, its engines and its callers."""

    def __init__(self) -> None:
        super().__init__()
        self.view = routing_view.RoutingView()
        self.view.apply_configuration(
            model.Configuration(
                1,
                _ROUTES,
                {"engines": _SERVICE},
                limits.RequestLimits(),
                None,
            )
        )
        self.engines: dict[str, engine_fakes.FakeEngine] = {}
        for number in range(_ENGINE_COUNT):
            endpoint = model.Endpoint(
                f"e{number}", "engines", "10.0.0.1", number + 1, "a"
            )
            self.view.set_endpoint(endpoint)
            self.engines[endpoint.endpoint_id] = engine_fakes.FakeEngine(
                endpoint
            )
        self.sent_calls: list[_SentCall] = []
        self.prepared_calls: dict[bytes, calls.Call] = {}
        self.event_counts: dict[str, int] = {}
        self.log = engine_fakes.FakeLog()
        self.serving_state = serving.ServingState()
        self.open_calls = open_calls.OpenCalls(self.log)
        self.listener = engine_fakes.FakeListener()
        self.shutdown = shutdown.Shutdown(
            self.serving_state, self.open_calls, self.listener, self.log
        )
        self.gateway = self._make_gateway()
        self.stop_thread: eventlet.greenthread.GreenThread | None = None

    def _make_gateway(self) -> gateway.Gateway:
        rng = random.Random(3)
        scheduler = scheduling.Scheduler(
            self.view,
            scheduling.ClusterMembership("n", "a", lambda: ["n"]),
            shared_limits.RetryBudget(0.2, 50, 10),
            rng,
        )
        self.sender = engine_fakes.FakeSender(self.engines, self.event_counts)
        codec = engine_fakes.FakeCodec(self.prepared_calls)
        deps = exchange.Dependencies(
            scheduler,
            self.sender,
            supervisor.RunSupervisor(
                self.sender, codec, scheduler, self.view, self.log
            ),
            self.view,
            self.log,
            call_reporting.CallReporter(
                codec, self.view, self.log, metrics.Registry({})
            ),
            self.serving_state,
        )
        return gateway.Gateway(
            codec, deps, self.serving_state, self.open_calls, rng
        )

    @stateful.rule(
        route=strategies.sampled_from(_ROUTES),
        time_s=strategies.sampled_from((2.0, 6.0, 39.0)),
        event_count=strategies.integers(1, 60),
        count=strategies.integers(1, 4),
    )
    def send(
        self, route: model.Route, time_s: float, event_count: int, count: int
    ) -> None:
        """Callers send calls of one kind."""
        if not self.listener.is_accepting:
            return
        for _ in range(count):
            self._send(route, time_s, event_count)
        eventlet.sleep(0)

    def _send(
        self, route: model.Route, time_s: float, event_count: int
    ) -> None:
        request_id = f"r{len(self.sent_calls)}"
        target = f"{route.path_prefix}{request_id}"
        call = calls.Call(
            request_id,
            b"POST",
            target.encode(),
            "h",
            target,
            [],
            arrived_s=_HUB.now_s,
            caller_deadline_s=_HUB.now_s + time_s,
            prompt_tokens=_PROMPT_TOKENS,
            max_output_tokens=40,
        )
        self.prepared_calls[target.encode()] = call
        self.event_counts[request_id] = event_count
        sent_call = _SentCall(
            request_id, route.resumable, call.caller_deadline_s, event_count
        )
        stop_deadline_s = self.serving_state.stop_deadline_s
        if call.caller_deadline_s >= stop_deadline_s:
            sent_call.refuse_by_s = _HUB.now_s + _PROMPT_S
        self.sent_calls.append(sent_call)
        sent_call.thread = eventlet.spawn(self._serve, call, sent_call)
        self.listener.connections.add(sent_call.thread)

    def _serve(self, call: calls.Call, sent_call: _SentCall) -> None:
        request = request_reader.Request(
            call.method, call.target, [], b"", call.arrived_s
        )
        try:
            with contextlib.suppress(
                disconnect_watcher.CallerDisconnectedError
            ):
                self.gateway.handle(request, sent_call.writer)
        finally:
            self.listener.connections.discard(eventlet.getcurrent())

    @stateful.rule(seconds=strategies.floats(0.02, 3.0))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        eventlet.sleep(seconds)

    @stateful.rule(
        number=_engine_numbers, seconds=strategies.sampled_from((1.0, 20.0))
    )
    def fill(self, number: int, seconds: float) -> None:
        """An engine begins no run for some time."""
        self._get_engine(number).busy_until_s = _HUB.now_s + seconds

    @stateful.rule(number=_engine_numbers, seconds=strategies.floats(0.2, 3.0))
    def silence(self, number: int, seconds: float) -> None:
        """The runs of an engine send nothing for some time."""
        self._get_engine(number).silent_until_s = _HUB.now_s + seconds

    @stateful.rule(number=_engine_numbers, seconds=strategies.floats(0.2, 3.0))
    def preempt(self, number: int, seconds: float) -> None:
        """An engine preempts its runs, and drops none from now on."""
        engine = self._get_engine(number)
        engine.silent_until_s = _HUB.now_s + seconds
        engine.final_copy = "unknown"
        engine.drops = False

    @stateful.rule(
        number=_engine_numbers,
        sends_length=strategies.booleans(),
        rejects=strategies.booleans(),
        copy=strategies.sampled_from(("answered", "refused", "late")),
        final_copy=strategies.sampled_from(
            ("answered", "refused", "late", "lost", "unknown")
        ),
        drops=strategies.booleans(),
    )
    def change_engine(
        self,
        number: int,
        sends_length: bool,
        rejects: bool,
        copy: str,
        final_copy: str,
        drops: bool,
    ) -> None:
        """An engine behaves in another way from now on."""
        engine = self._get_engine(number)
        if not engine.runs:
            engine.sends_length = sends_length
        engine.rejects = rejects
        engine.copy = copy
        engine.final_copy = final_copy
        engine.drops = drops

    @stateful.rule(number=_engine_numbers)
    def renew_entry(self, number: int) -> None:
        """An engine renews its heartbeat, which brings a new entry."""
        old = self._get_engine(number).endpoint
        self.view.set_endpoint(
            model.Endpoint(
                old.endpoint_id,
                old.service,
                old.host,
                old.port,
                old.availability_zone,
                started_unix_ms=old.started_unix_ms,
            )
        )

    @stateful.rule(number=strategies.integers(0, 100))
    def disconnect(self, number: int) -> None:
        """A caller closes its connection."""
        waiting = [
            sent_call
            for sent_call in self.sent_calls
            if sent_call.thread in self.listener.connections
        ]
        if not waiting:
            return
        sent_call = waiting[number % len(waiting)]
        sent_call.has_caller = False
        eventlet.hubs.get_hub().schedule_call_global(
            0, self._throw_disconnect, sent_call.thread
        )
        eventlet.sleep(0)

    def _throw_disconnect(
        self, thread: eventlet.greenthread.GreenThread
    ) -> None:
        if thread in self.listener.connections:
            thread.throw(disconnect_watcher.CallerDisconnectedError("gone"))

    @stateful.rule(number=_engine_numbers)
    def announce_leaving(self, number: int) -> None:
        """An engine says that it is leaving."""
        self.view.mark_leaving(f"e{number}")

    @stateful.rule(number=_engine_numbers)
    def lose(self, number: int) -> None:
        """An engine ends."""
        self._get_engine(number).is_gone = True

    @stateful.precondition(lambda self: self.stop_thread is None)
    @stateful.rule()
    def stop(self) -> None:
        """The process gets SIGTERM."""
        self.shutdown.request(_GRACE_S)
        sent_ids = self.sender.sent_ids
        for sent_call in self.sent_calls:
            if (
                sent_call.request_id not in sent_ids
                and not sent_call.writer.has_started
                and sent_call.deadline_s >= self.serving_state.stop_deadline_s
            ):
                sent_call.refuse_by_s = _HUB.now_s + _PROMPT_S
        self.stop_thread = eventlet.spawn(self.shutdown.run)
        eventlet.sleep(0)

    def teardown(self) -> None:
        """Stops the process and checks how each call has ended."""
        if self.stop_thread is None:
            self.stop()
        self.stop_thread.wait()
        for thread in list(self.listener.connections):
            thread.kill()
        assert "fault" not in self.log.names
        assert not self.sender.overlaps, "two engines work on a run"
        for sent_call in self.sent_calls:
            self._check_end(sent_call)

    def _check_end(self, sent_call: _SentCall) -> None:
        """Asserts that a caller got an end that is true and in time."""
        if not sent_call.has_caller:
            return
        writer = sent_call.writer
        begun_count = sum(
            engine.begun_ids.count(sent_call.request_id)
            for engine in self.engines.values()
        )
        assert writer.has_started, "a caller got no answer"
        if writer.status == 200:
            whole_body = sent_call.make_whole_body()
            assert whole_body.startswith(writer.body), "events are wrong"
            if writer.has_ended:
                assert writer.body == whole_body, "a part looks complete"
        else:
            assert writer.has_ended, "an error response is cut short"
        if writer.status in _NOT_RUN_STATUSES:
            assert not begun_count, "a refused call has run"
        if not sent_call.is_repeatable:
            assert begun_count <= 1, "a call has run twice"
        if sent_call.refuse_by_s is not None:
            assert writer.status in _NOT_RUN_STATUSES, "a call came too late"
            assert writer.ended_s <= sent_call.refuse_by_s, "a late refusal"

    def _get_engine(self, number: int) -> engine_fakes.FakeEngine:
        return self.engines[f"e{number}"]


class CallEndsFuzz(unittest.TestCase):
    """Runs the state machine."""

    def test_each_call_has_a_true_end(self) -> None:
        stateful.run_state_machine_as_test(
            CallEndsMachine,
            settings=hypothesis.settings(stateful_step_count=30),
        )


if __name__ == "__main__":
    unittest.main()
