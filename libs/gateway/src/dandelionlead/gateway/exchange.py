"""Serves one admitted call: tries endpoints until one responds.

An exchange chooses an endpoint, sends the call, and either forwards the
response or tries another endpoint. If no endpoint responds, the caller gets an
error response that states whether the call may have run.
"""

from __future__ import annotations

import contextlib

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt_limit
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import call_relay
from dandelionlead.gateway import call_reporting
from dandelionlead.gateway import crash_detection
from dandelionlead.gateway import endpoint_finder
from dandelionlead.gateway import held_response
from dandelionlead.gateway import open_calls
from dandelionlead.gateway import relay
from dandelionlead.gateway import relayed_call
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.gateway import serving
from dandelionlead.gateway import supervisor
from dandelionlead.http import intake
from dandelionlead.http import server
from dandelionlead.routing import attempt_timeout
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# Limit on the number of endpoints that one call is sent to.
_MAX_ATTEMPTS = 5
# Seconds for `Retry-After` of a rejection: a retry can succeed once another
# request has ended and freed capacity.
_RETRY_AFTER_PLAIN_S = 0.1
_RETRY_AFTER_STREAM_S = 1.5
# Failures of attempts after which a peer may get the call, if this process has
# lost its paths to the service meanwhile.
_RELAYED_FAILURES = frozenset(
    {
        errors.Kind.ENDPOINT_UNREACHABLE,
        errors.Kind.ENDPOINT_FAILED,
        errors.Kind.ENDPOINT_SILENT,
        errors.Kind.NO_ENDPOINT,
    }
)


class Dependencies:
    """Components that all calls of one process share.

    Attributes:
        scheduler: Chooses endpoints and tracks their load and health.
        sender: Sends calls and control requests to endpoints.
        run_supervisor: Assigns backups to runs and migrates runs.
        view: Holds the configuration and the endpoints in force.
        log: Receives one line for each routing decision.
        call_reporter: Writes error responses, and the log line and metrics of
            each finished call.
        serving_state: Decides which calls this process can finish.
        crash_detector: Checks whether an endpoint crashed after a connection to
            it broke.
        endpoint_finder: Chooses endpoints for calls; queues generations until
            an engine has room.
        memory: Counts the bodies that calls hold.
        call_relay: Passes calls on to peers; None if this process never does.
    """

    __slots__ = (
        "scheduler",
        "sender",
        "run_supervisor",
        "view",
        "log",
        "call_reporter",
        "serving_state",
        "crash_detector",
        "endpoint_finder",
        "memory",
        "call_relay",
    )

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        sender: sending.Sender,
        run_supervisor: supervisor.RunSupervisor,
        view: routing_view.RoutingView,
        log: events.Log,
        call_reporter: call_reporting.CallReporter,
        serving_state: serving.ServingState,
        memory: intake.Intake | None = None,
        passes_on: call_relay.CallRelay | None = None,
    ) -> None:
        self.scheduler = scheduler
        self.sender = sender
        self.run_supervisor = run_supervisor
        self.view = view
        self.log = log
        self.call_reporter = call_reporter
        self.serving_state = serving_state
        self.crash_detector = crash_detection.CrashDetector(
            scheduler, view, log, sender.find_absence
        )
        self.endpoint_finder = endpoint_finder.EndpointFinder(
            scheduler, serving_state
        )
        self.memory = memory or intake.Intake()
        self.call_relay = passes_on


class Exchange:
    """One admitted call and the response that its caller gets.

    Args:
        deps: Components that all calls share.
        admitted: The call with its route, team and service.
        response_writer: Writes the response to the caller.
        origin: Which peer has passed the call on; None for a caller's call.

    Attributes:
        progress: Which endpoints may have run the call, and what the caller
            received.
    """

    def __init__(
        self,
        deps: Dependencies,
        admitted: calls.AdmittedCall,
        response_writer: server.ResponseWriter,
        origin: calls.RelayOrigin | None = None,
    ) -> None:
        self.progress = call_progress.CallProgress(
            admitted, response_writer, deps.call_reporter.note_begun
        )
        self._deps = deps
        self._admitted = admitted
        self._call = admitted.call
        self._response_writer = response_writer
        self._failure: errors.Failure | None = None
        self._status = 0
        self._outcome: relay.Outcome | None = None
        self._origin = origin
        self._relayed_call: relayed_call.RelayedCall | None = None
        # Remains false if `_try_endpoints` raises because the caller
        # disconnected or an internal error occurred.
        self._is_finished = False
        # An error response that is held back for a retry.
        self._held_response = held_response.HeldResponse(deps.memory)
        self._crashes = crash_detection.RequestCrashes(
            deps.crash_detector, deps.scheduler, admitted
        )

    def serve(self) -> None:
        """Sends the call to endpoints and writes the caller's response.

        The caller gets an endpoint's response, or else an error response of
        this process. An endpoint's error response that was held back for a
        retry is forwarded if no later attempt succeeds.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        try:
            self._serve()
        finally:
            self._held_response.drop()

    def _serve(self) -> None:
        """Sends the call to endpoints and writes the caller's response."""
        try:
            is_response_complete = self._try_endpoints()
        except open_calls.ProcessStoppingError:
            is_response_complete = False
            self._failure = self._make_interruption_failure()
        self._is_finished = True
        if is_response_complete:
            self._failure = None
        elif (
            self._held_response.head is not None
            and not self._response_writer.has_started
        ):
            head, body = self._held_response.head, self._held_response.body
            self._status = head.status
            self._failure = None
            self._response_writer.send_buffered_response(
                head.status, head.headers, body
            )
        else:
            self._failure = self._make_final_failure()
            if not self._response_writer.has_started:
                self._status = errors.ANSWERS[self._failure.kind].status
                self._deps.call_reporter.send_error_response(
                    self._response_writer, self._failure, self._call.request_id
                )

    def record_result(self) -> None:
        """Writes the log line and the metrics of the call, however it ended."""
        failure = self._failure
        fields: dict[str, object] = {}
        if not self._is_finished:
            fields["caller"] = "gone"
        if self._origin is not None:
            fields["from"] = self._origin.node
        if self._relayed_call is not None:
            fields["via"] = self._relayed_call.node
            self._status = self._relayed_call.status or self._status
        outcome = self._outcome
        if outcome is not None:
            self._deps.call_reporter.record_generation(self._call, outcome)
            fields["events"] = outcome.event_count
            fields["complete"] = outcome.is_complete
            if outcome.ended_with_connection:
                fields["end"] = "connection"
            fields["gap_ms"] = int(outcome.longest_gap_s * 1e3)
            fields["moves"] = outcome.resumption_count
            first_event_delay_s = max(
                0.0, outcome.first_event_s - self._call.arrived_s
            )
            fields["first_ms"] = int(first_event_delay_s * 1e3)
            self.progress.endpoint_id = (
                outcome.last_endpoint_id or self.progress.endpoint_id
            )
            if failure is None and not outcome.is_complete:
                failure = outcome.failure
        self._deps.call_reporter.record_call(
            self._call,
            self._admitted,
            failure,
            self._status,
            self.progress.endpoint_id,
            tries=len(self.progress.tried_ids),
            **fields,
        )

    def _try_endpoints(self) -> bool:
        """Tries endpoints in turn; returns whether a response was completed.

        A process that is cut off from the service passes the call on instead.
        """
        if self._is_out_of_reach():
            return False
        if self._should_relay():
            return self._relay_to_peer()
        scheduler = self._deps.scheduler
        scheduler.count_request(self._admitted, clock.boottime())
        for _ in range(_MAX_ATTEMPTS):
            if self._is_quarantined() or self._is_stopped():
                return False
            if self._try_next_endpoint():
                return True
            if self._may_relay_after_failure() and self._should_relay():
                return self._relay_to_peer()
            if not self._may_try_again():
                break
        if self._may_relay_after_failure() and self._await_relay():
            return self._relay_to_peer()
        return False

    def _is_out_of_reach(self) -> bool:
        """Records the failure and returns True if a peer's call must go back.

        A call is passed on once: the peer that sent it looks for another one.
        """
        passes_on = self._deps.call_relay
        service_name = self._admitted.service.name
        if (
            self._origin is None
            or passes_on is None
            or not passes_on.is_cut_off(service_name)
        ):
            return False
        self._failure = errors.Failure(
            errors.Kind.ENDPOINT_UNREACHABLE,
            f"this process does not reach the service {service_name} either",
        )
        return True

    def _should_relay(self) -> bool:
        """Returns whether the call is passed on to a peer.

        Waits for the answer if an attempt at an endpoint would likely fail.
        """
        passes_on = self._deps.call_relay
        if self._origin is not None or passes_on is None:
            return False
        service_name = self._admitted.service.name
        if passes_on.should_relay(service_name):
            return True
        return passes_on.peers.is_unreached(service_name) and (
            self._await_relay()
        )

    def _await_relay(self) -> bool:
        """Returns whether the call is passed on, once that is known.

        The first calls after a cut fail before the peers have said that they
        reach the service.
        """
        passes_on = self._deps.call_relay
        return (
            self._origin is None
            and passes_on is not None
            and passes_on.await_relay(
                self._admitted.service.name, self._admitted.deadline_s
            )
        )

    def _may_relay_after_failure(self) -> bool:
        """Returns whether a peer may run the call after a failed attempt."""
        failure = self._failure
        return (
            failure is not None
            and failure.kind in _RELAYED_FAILURES
            and not self._response_writer.has_started
            and self.progress.may_run_again
            and clock.boottime() < self._admitted.deadline_s
        )

    def _relay_to_peer(self) -> bool:
        """Passes the call on; returns whether a response was completed."""
        self._relayed_call = relayed_call.RelayedCall(
            self._deps.call_relay,
            self._admitted,
            self._response_writer,
            self.progress,
            self._retry_after_s(),
        )
        if self._relayed_call.forward():
            return True
        self._failure = self._relayed_call.failure
        return False

    def _is_quarantined(self) -> bool:
        """Records the failure and returns True if the call must not be sent."""
        failure = self._crashes.find_failure()
        if failure is None:
            return False
        self._failure = failure
        return True

    def _is_stopped(self) -> bool:
        """Records the failure and returns True if the call must be refused.

        That is the case if no endpoint may have run the call and this process
        stops before the call may end.
        """
        if self.progress.phase is not call_progress.Phase.WAITING:
            return False
        failure = self._deps.serving_state.find_stop_failure(self._admitted)
        if failure is None:
            return False
        self._failure = failure
        return True

    def _try_next_endpoint(self) -> bool:
        """Tries one more endpoint; returns whether a response was completed."""
        deps = self._deps
        admitted = self._admitted
        if clock.boottime() >= admitted.deadline_s:
            return False
        memory_tokens = self._call.estimate_memory_tokens()
        endpoint = deps.endpoint_finder.find(
            admitted, memory_tokens, self.progress.tried_ids
        )
        now_s = clock.boottime()
        if endpoint is None:
            if self._is_stopped():
                return False
            if self._failure is None:
                self._failure = self._make_no_endpoint_failure()
            return False
        # Further endpoints may have crashed while the call waited for room.
        if self._is_quarantined():
            return False
        if self.progress.tried_ids and not deps.scheduler.try_consume_retry(
            admitted.service.name, now_s
        ):
            return False
        run = self._register_run(endpoint, memory_tokens, now_s)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._release_run, run)
            response = self._send_run(run)
            if isinstance(response, errors.Failure):
                self._record_failure(run, response)
                return False
            cleanup.callback(response.close)
            if self._record_rejection(response):
                return False
            if self._is_stream(response):
                # From here on the relay releases the run.
                cleanup.pop_all()
                return self._relay_stream(run, response)
            return self._forward_response(run, response)

    def _register_run(
        self, endpoint: model.Endpoint, memory_tokens: int, now_s: float
    ) -> runs.Run:
        """Creates a run and adds it to the load of its endpoint.

        Also chooses the engine that keeps the run's backup, if any.

        Args:
            endpoint: Endpoint that the call is about to be sent to.
            memory_tokens: KV cache tokens that the run occupies when it ends; 0
                for a plain service.
            now_s: Present instant, in seconds.
        """
        deps = self._deps
        self.progress.begin_attempt(endpoint)
        is_in_own_zone = deps.scheduler.is_in_own_zone(endpoint)
        if memory_tokens:
            deps.log.event(
                "attempt",
                req=self._call.request_id,
                endpoint=endpoint.endpoint_id,
                load=deps.scheduler.format_load(endpoint, now_s),
                tokens=memory_tokens,
                zone="own" if is_in_own_zone else "other",
            )
        deps.call_reporter.count_attempt(is_in_own_zone=is_in_own_zone)
        deps.scheduler.count_sent(endpoint, now_s)
        reservation = deps.scheduler.load_tracker.reserve(
            endpoint.endpoint_id, memory_tokens, self._call.prompt_tokens
        )
        run = runs.Run(self._admitted, endpoint, reservation, memory_tokens)
        run.sent_s = now_s
        run.prefill_backlog_tokens = deps.scheduler.get_unread_prompt_tokens(
            endpoint, now_s
        )
        deps.run_supervisor.assign_backup(run)
        return run

    def _send_run(
        self, run: runs.Run
    ) -> sending.EndpointResponse | errors.Failure:
        """Sends the call to the run's endpoint and reads the response head."""
        expected_s = self._deps.scheduler.estimate_read_s(
            run.endpoint.endpoint_id, run.prefill_backlog_tokens, run.sent_s
        )
        return self._deps.sender.send_call(
            self._admitted,
            run.endpoint,
            attempt_timeout.compute_attempt_deadline_s(
                self._admitted,
                self.progress.possible_run_count,
                expected_s,
                run.sent_s,
            ),
            backup_engine=run.backup_engine,
        )

    def _release_run(self, run: runs.Run) -> None:
        """Removes the load and backup of a run that no relay has taken over."""
        self._deps.scheduler.load_tracker.release(run.reservation)
        self._deps.run_supervisor.drop_backup(run)

    def _is_stream(self, response: sending.EndpointResponse) -> bool:
        """Returns whether the response is a stream of events to relay."""
        is_streaming = self._admitted.route.kind is model.CallKind.STREAMING
        return is_streaming and response.head.status == 200

    def _record_failure(self, run: runs.Run, failure: errors.Failure) -> None:
        """Records a failed attempt in the log and the endpoint's statistics."""
        deps = self._deps
        endpoint = run.endpoint
        now_s = clock.boottime()
        if failure.kind is errors.Kind.ENDPOINT_SILENT:
            # The route's timeout may be too short for the call. Therefore the
            # endpoint counts as failing but not as unreachable.
            deps.scheduler.health_tracker.record_response(
                endpoint.endpoint_id, now_s, failed=True
            )
            deps.scheduler.endpoint_paces.measure_silence(
                endpoint.endpoint_id,
                run.prefill_backlog_tokens,
                now_s - run.sent_s,
                now_s,
            )
        elif failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            deps.scheduler.health_tracker.record_unreachable(
                endpoint.endpoint_id, now_s
            )
        else:
            deps.scheduler.health_tracker.record_unreachable(
                endpoint.endpoint_id, now_s
            )
            self._crashes.record_broken_connection(endpoint)
        self._failure = failure
        if failure.run_state is not errors.RunState.NOT_RUN:
            self._record_begun_if_plain(run)
        self.progress.end_attempt(failure.run_state)
        took_s = now_s - run.sent_s
        if failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            deps.crash_detector.confirm_failure(
                endpoint,
                lambda: self._record_lost_endpoint(endpoint, took_s),
            )
        elif not deps.scheduler.is_unreached(endpoint.service, now_s):
            deps.scheduler.record_broken_call(
                endpoint, self._admitted.route.name, took_s
            )
        deps.log.event(
            "attempt_failed",
            req=self._call.request_id,
            endpoint=endpoint.endpoint_id,
            kind=failure.kind.value,
            reason=failure.reason,
        )

    def _record_lost_endpoint(
        self, endpoint: model.Endpoint, took_s: float
    ) -> None:
        """Records that an endpoint takes no connections, from any process."""
        scheduler = self._deps.scheduler
        scheduler.record_endpoint_lost(endpoint, clock.boottime())
        scheduler.record_broken_call(
            endpoint, self._admitted.route.name, took_s
        )

    def _record_begun_if_plain(self, run: runs.Run) -> None:
        """Records that an endpoint of a plain service has run the call.

        A generation begins with its first event, which the relay records.
        """
        if self._admitted.route.kind is not model.CallKind.STREAMING:
            self.progress.record_begun(run.sent_s)

    def _record_rejection(self, response: sending.EndpointResponse) -> bool:
        """Records the response as a rejection if it is one.

        Returns:
            Whether the response states that the endpoint did not run the
            call.
        """
        head = response.head
        if not head.states_not_run:
            return False
        self.progress.end_attempt(errors.RunState.NOT_RUN)
        deps = self._deps
        now_s = clock.boottime()
        endpoint_id = response.endpoint.endpoint_id
        if head.is_other_instance:
            deps.view.remove_endpoint(endpoint_id)
        body = response.conn.read_body(
            min(self._admitted.deadline_s, now_s + 0.2), sending.MAX_BODY_BYTES
        )
        if isinstance(body, bytes):
            deps.sender.return_conn(response)
        self._failure = errors.Failure(
            errors.Kind.OVERLOADED,
            f"the endpoint rejected the call with status {head.status}",
            retry_after_s=self._retry_after_s(),
        )
        deps.log.event(
            "attempt_refused",
            req=self._call.request_id,
            endpoint=endpoint_id,
            status=head.status,
        )
        return True

    def _relay_stream(
        self, run: runs.Run, response: sending.EndpointResponse
    ) -> bool:
        """Relays a stream to the caller; returns whether it is complete."""
        deps = self._deps
        stream_relay = relay.Relay(
            deps.sender,
            deps.scheduler,
            deps.run_supervisor,
            deps.log,
            run,
            self._response_writer,
            self._crashes,
            self.progress,
            attempt_limit.AttemptLimit(
                self.progress, deps.view, deps.sender.find_absence
            ),
        )
        self._status = response.head.status
        self._outcome = stream_relay.outcome
        outcome = stream_relay.forward_stream(response)
        now_s = clock.boottime()
        first_event_delay_s = max(
            0.0, (outcome.first_event_s or now_s) - run.sent_s
        )
        route_name = self._admitted.route.name
        if outcome.is_complete:
            deps.scheduler.record_outcome(
                response.endpoint, route_name, first_event_delay_s, failed=False
            )
            deps.scheduler.health_tracker.record_response(
                run.endpoint.endpoint_id, now_s, failed=False
            )
            self._crashes.record_completed()
            return True
        deps.scheduler.record_broken_call(
            response.endpoint, route_name, first_event_delay_s
        )
        self._failure = outcome.failure
        self.progress.end_attempt(errors.RunState.RAN)
        if (
            outcome.event_count
            and outcome.failure.kind is errors.Kind.ENDPOINT_FAILED
        ):
            self._crashes.record_broken_connection(run.endpoint)
        return False

    def _forward_response(
        self, run: runs.Run, response: sending.EndpointResponse
    ) -> bool:
        """Forwards a complete response, or holds it back for a retry.

        Returns:
            Whether the response was sent to the caller. False if the body
            could not be read, or if an error response is held back for another
            attempt.
        """
        deps = self._deps
        admitted = self._admitted
        endpoint_id = run.endpoint.endpoint_id
        body = response.conn.receive_body(
            admitted.deadline_s, sending.MAX_BODY_BYTES
        )
        broken = (
            body
            if isinstance(body, errors.Failure)
            else deps.sender.find_broken_end(response, admitted)
        )
        now_s = clock.boottime()
        self._record_begun_if_plain(run)
        self.progress.end_attempt(errors.RunState.RAN)
        if broken is not None:
            deps.scheduler.health_tracker.record_unreachable(endpoint_id, now_s)
            self._failure = broken
            return False
        head = response.head
        deps.sender.return_conn(response)
        is_failed = head.status >= 500
        deps.scheduler.health_tracker.record_response(
            endpoint_id, now_s, failed=is_failed
        )
        self._crashes.record_completed()
        took_s = now_s - run.sent_s
        deps.scheduler.record_outcome(
            run.endpoint, admitted.route.name, took_s, failed=is_failed
        )
        if (
            is_failed
            and self._should_retry_error_response(now_s)
            and self._held_response.try_keep(head, body)
        ):
            self._failure = errors.Failure(
                errors.Kind.ENDPOINT_FAILED,
                f"the endpoint returned status {head.status}",
            )
            return False
        self._status = head.status
        self._response_writer.send_buffered_response(
            head.status, head.headers, body
        )
        return True

    def _should_retry_error_response(self, now_s: float) -> bool:
        """Returns whether to retry after an endpoint's error response.

        The call must be repeatable, have attempts left and at least a quarter
        of the route's latency objective until its deadline, and another
        endpoint must be able to take it.
        """
        admitted = self._admitted
        route = admitted.route
        if (
            not route.is_repeatable
            or self.progress.possible_run_count >= route.max_attempts
        ):
            return False
        if admitted.deadline_s - now_s < route.latency_objective_s / 4:
            return False
        scheduler = self._deps.scheduler
        endpoint = scheduler.choose_endpoint(
            admitted.service, 0, now_s, excluded_ids=self.progress.tried_ids
        )
        return endpoint is not None

    def _may_try_again(self) -> bool:
        """Returns whether a failed attempt may be followed by another one."""
        if self._response_writer.has_started:
            return False
        failure = self._failure
        if failure is None or failure.kind is errors.Kind.NO_ENDPOINT:
            return False
        if failure.run_state is errors.RunState.NOT_RUN:
            return True
        return self.progress.may_run_again

    def _make_interruption_failure(self) -> errors.Failure:
        """Returns the failure for a call without a response at the stop."""
        if self.progress.phase is call_progress.Phase.WAITING:
            return self._deps.serving_state.make_stop_failure()
        return errors.Failure(
            errors.Kind.OUTCOME_UNKNOWN,
            "this process ended before the endpoint responded",
        )

    def _make_no_endpoint_failure(self) -> errors.Failure:
        """Returns the failure for a call that no endpoint can take."""
        return errors.Failure(
            errors.Kind.NO_ENDPOINT,
            "no endpoint of the service can take the call",
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        """Returns the seconds for `Retry-After`.

        They depend on the kind of the route, and on when an endpoint takes
        another request if all of them have named limits.
        """
        admitted = self._admitted
        wait_s = self._deps.scheduler.compute_limit_wait_s(
            admitted.service.name, clock.boottime()
        )
        if admitted.route.kind is model.CallKind.STREAMING:
            return max(wait_s, _RETRY_AFTER_STREAM_S)
        return max(wait_s, _RETRY_AFTER_PLAIN_S)

    def _make_final_failure(self) -> errors.Failure:
        """Returns the failure for the caller's error response.

        A failure that states that the call did not run is replaced by
        `ENDPOINT_FAILED` if any endpoint may have run it.
        """
        failure = self._failure
        if failure is None:
            return errors.Failure(
                errors.Kind.DEADLINE_EXCEEDED,
                "the deadline passed before the call was sent to an endpoint",
            )
        if (
            self.progress.possible_run_count
            and failure.run_state is errors.RunState.NOT_RUN
        ):
            return errors.Failure(errors.Kind.ENDPOINT_FAILED, failure.reason)
        if failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            return errors.Failure(
                failure.kind,
                failure.reason,
                retry_after_s=self._retry_after_s(),
            )
        return failure
