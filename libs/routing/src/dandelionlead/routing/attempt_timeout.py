"""Computes how long an attempt waits before another endpoint is tried."""

from __future__ import annotations

from dandelionlead.routing import calls
from dandelionlead.routing import model

# An idempotent call without a response is sent to another endpoint after its
# latency objective times this factor, but not before the minimum wait.
_OBJECTIVE_FACTOR = 2.5
_MIN_WAIT_S = 0.15
# A resumable stream without its first event is sent to another engine after the
# early fraction of its latency objective, so that it can still be on time, if
# the first event was expected before that. Otherwise it is sent to another
# engine after its latency objective times the late factor.
_STREAM_EARLY_FRACTION = 0.55
_STREAM_LATE_FACTOR = 1.7
# Upper estimate of the time to the first event, as a multiple of the mean.
_FIRST_EVENT_MARGIN = 1.6


def compute_attempt_deadline_s(
    admitted: calls.AdmittedCall,
    previous_attempts: int,
    expected_first_event_s: float,
    now_s: float,
) -> float:
    """Returns the time in seconds until which an attempt waits.

    The attempt waits for the response to an idempotent call, or for the first
    event of a stream. If the call may not run on another endpoint, the attempt
    waits until the deadline of the call.

    Args:
        admitted: The call.
        previous_attempts: Number of earlier attempts that may have run the
            call.
        expected_first_event_s: Expected seconds from sending to the first
            event.
        now_s: Time in seconds at which the call is sent.
    """
    route = admitted.route
    if not route.is_repeatable or previous_attempts + 1 >= route.max_attempts:
        return admitted.deadline_s
    if route.kind is model.CallKind.STREAMING:
        wait_s = _compute_stream_wait_s(
            route.latency_objective_s, expected_first_event_s
        )
    else:
        wait_s = max(_MIN_WAIT_S, _OBJECTIVE_FACTOR * route.latency_objective_s)
    return min(admitted.deadline_s, now_s + wait_s)


def _compute_stream_wait_s(
    latency_objective_s: float, expected_first_event_s: float
) -> float:
    """Returns the seconds to wait for the first event of a stream."""
    early_s = _STREAM_EARLY_FRACTION * latency_objective_s
    if _FIRST_EVENT_MARGIN * expected_first_event_s < early_s:
        return early_s
    return _STREAM_LATE_FACTOR * latency_objective_s
