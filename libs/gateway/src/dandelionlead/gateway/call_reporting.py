"""Writes error responses, and the log line and metrics of finished calls."""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import relay
from dandelionlead.http import server
from dandelionlead.routing import calls
from dandelionlead.routing import routing_view


class CallReporter:
    """Reports the outcome of each call to its caller, log and metrics.

    Args:
        codec: Converts failures to headers of the platform.
        view: Holds the configuration in force.
        log: Receives one line for each finished call.
        metrics_registry: Receives the metrics.

    Attributes:
        begun_listener: Called when an endpoint has begun to run a call, with
            the name of the team and the time in Unix seconds.
    """

    def __init__(
        self,
        codec: platform_codec.PlatformCodec,
        view: routing_view.RoutingView,
        log: events.Log,
        metrics_registry: metrics.Registry,
    ) -> None:
        self._codec = codec
        self._view = view
        self._log = log
        self._metrics_registry = metrics_registry
        self.begun_listener: Callable[[str, float], None] = _ignore_begun

    def note_begun(self, admitted: calls.AdmittedCall, began_s: float) -> None:
        """Passes on that an endpoint has begun to run a call of a team.

        Args:
            admitted: The call.
            began_s: When it began, in seconds of `clock.boottime`.
        """
        if admitted.team is not None:
            age_s = clock.boottime() - began_s
            self.begun_listener(admitted.team.name, clock.unix_time() - age_s)

    def send_error_response(
        self,
        response_writer: server.ResponseWriter,
        failure: errors.Failure,
        request_id: str,
    ) -> None:
        """Sends the error response for a failure.

        Args:
            response_writer: Writes the response to the caller.
            failure: Why no endpoint's response is forwarded.
            request_id: Id of the request; empty if the request could not be
                decoded.
        """
        status = errors.ANSWERS[failure.kind].status
        headers = self._codec.encode_failure_headers(failure, request_id)
        response_writer.send_response(
            status, headers, server.encode_failure(failure)
        )

    def count_attempt(self, *, is_in_own_zone: bool) -> None:
        """Counts a call that is sent to an endpoint, by availability zone."""
        zone = "own" if is_in_own_zone else "other"
        self._metrics_registry.count("attempts_total", zone=zone)

    def record_generation(
        self, call: calls.Call, outcome: relay.Outcome
    ) -> None:
        """Updates the metrics of generations after one has ended.

        Args:
            call: The call that requested the generation.
            outcome: Progress and end of the generation.
        """
        end_label = "complete" if outcome.is_complete else "torn"
        self._metrics_registry.count("generations_total", end=end_label)
        self._metrics_registry.record_duration(
            "event_gap_seconds", outcome.longest_gap_s
        )
        if outcome.first_event_s:
            first_event_delay_s = outcome.first_event_s - call.arrived_s
            self._metrics_registry.record_duration(
                "first_event_seconds", first_event_delay_s
            )
        if outcome.resumption_count:
            self._metrics_registry.count(
                "moves_total", amount=outcome.resumption_count
            )

    def record_call(
        self,
        call: calls.Call,
        admitted: calls.AdmittedCall | None,
        failure: errors.Failure | None,
        status: int,
        endpoint_id: str,
        **fields: object,
    ) -> None:
        """Writes the log line and updates the metrics of a finished call.

        Args:
            call: The call.
            admitted: The call with its route; None if it was not admitted.
            failure: Why the call failed; None if a response was forwarded.
            status: HTTP status that was sent to the caller; 0 to use the status
                of the failure.
            endpoint_id: Last endpoint that the call was sent to, or empty.
            **fields: Further fields of the log line.
        """
        took_s = clock.boottime() - call.arrived_s
        if failure is not None:
            status = status or errors.ANSWERS[failure.kind].status
            fields["kind"] = failure.kind.value
            fields["run"] = failure.run_state.value
            fields["reason"] = failure.reason
        route_name = admitted.route.name if admitted else ""
        configuration = self._view.configuration
        version = configuration.version if configuration else -1
        outcome_label = "answered" if failure is None else failure.kind.value
        self._metrics_registry.count("calls_total", outcome=outcome_label)
        self._metrics_registry.record_duration("call_seconds", took_s)
        self._metrics_registry.count(
            "tries_total", amount=fields.get("tries", 0)
        )
        self._log.event(
            "call",
            req=call.request_id,
            route=route_name,
            cfg=admitted.configuration_version if admitted else version,
            status=status,
            endpoint=endpoint_id,
            took_ms=int(took_s * 1e3),
            **fields,
        )


def _ignore_begun(_: str, __: float) -> None:
    """Does nothing; the default listener for runs that have begun."""
