"""How long one endpoint is waited for before another one gets the call."""

from __future__ import annotations

from dandelionlead.routing import calls
from dandelionlead.routing import model

# An idempotent call that is not answered after so many times its objective is
# sent to another endpoint.
_OBJECTIVES = 2.5
_LEAST_S = 0.15
# A stream that may be resumed is sent to another engine while it can still be
# on time there: after this part of its objective, if the first event should
# have come by then; or when it is late by this factor.
_STREAM_PART = 0.55
_STREAM_LATE_FACTOR = 1.7
# The first event is expected after so many times the mean.
_FIRST_EVENT_MARGIN = 1.6


def until_s(
    admitted: calls.Admitted, ran: int, expected_s: float, now_s: float
) -> float:
    """Returns the instant up to which an endpoint is waited for.

    Args:
        admitted: The call.
        ran: Endpoints that have run it before.
        expected_s: Seconds that an engine takes up to the first event.
        now_s: Instant at which it is sent.
    """
    route = admitted.route
    if not route.repeatable or ran + 1 >= route.max_attempts:
        return admitted.until_s
    if route.kind is model.CallKind.STREAMING:
        wait_s = _stream_wait_s(route.objective_s, expected_s)
    else:
        wait_s = max(_LEAST_S, _OBJECTIVES * route.objective_s)
    return min(admitted.until_s, now_s + wait_s)


def _stream_wait_s(objective_s: float, expected_s: float) -> float:
    soon_s = _STREAM_PART * objective_s
    if _FIRST_EVENT_MARGIN * expected_s < soon_s:
        return soon_s
    return _STREAM_LATE_FACTOR * objective_s
