"""Checks whether the body of a response that has ended is complete.

A process that crashes ends its responses in order: the kernel closes its
connections, and its HTTP server or a forwarder before it may even send a last
chunk. That something accepts a connection at its address proves nothing: a
forwarder, an inherited listening socket and a paused process accept too.
Therefore the endpoint itself is asked, after the end of the body.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.routing import calls

# Longest time for one answer, and for the whole check.
ANSWER_TIMEOUT_S = 0.5
_MAX_CHECK_S = 1.5
# Requests that may fail. The first one may take a pooled connection, which the
# endpoint may have dropped; one that opens a connection may be lost, or be
# reset by an endpoint that has too many.
_MAX_FAILED_REQUESTS = 3
_RETRY_PAUSE_S = 0.05
# Reports are some hundred milliseconds old, and may still list a run.
_STALE_REPORT_PAUSE_S = 0.1


class _Evidence(enum.Enum):
    """What one answer, or its absence, shows about a response."""

    COMPLETE = "the endpoint has ended the run"
    TRUNCATED = "the endpoint goes on with the run"
    RUNNING = "the endpoint still lists the run"
    OTHER_START = "another endpoint or a later start has the address"
    GONE = "the endpoint does not answer for itself"
    SILENT = "the endpoint is silent"


class EndedResponse:
    """A response whose body has ended.

    Attributes:
        request_id: Id of the call.
        event_count: Number of events that have arrived, for a stream; None for
            any other body.
        has_end_mark: Whether the body itself marked its end.
    """

    __slots__ = ("request_id", "event_count", "has_end_mark")

    def __init__(
        self, request_id: str, event_count: int | None, *, has_end_mark: bool
    ) -> None:
        self.request_id = request_id
        self.event_count = event_count
        self.has_end_mark = has_end_mark


def find_broken_end(
    response: EndedResponse,
    request_status: Callable[[bool], calls.EndpointStatus | errors.Failure],
    log: events.Log,
    endpoint_id: str,
) -> errors.Failure | None:
    """Returns why a body that has ended may be incomplete, or None.

    A body without an end mark is complete only if its endpoint answers for
    itself and has ended the run. One with an end mark is complete unless
    something shows that its endpoint is gone or goes on with the run: silence
    alone does not.

    Args:
        response: The response.
        request_status: Requests the endpoint's status within
            `ANSWER_TIMEOUT_S`; over a new connection if the argument is true.
        log: Receives one line.
        endpoint_id: Id of the endpoint, for the log.
    """
    started_s = clock.boottime()
    evidence, request_count = _collect_evidence(response, request_status)
    is_complete = evidence is _Evidence.COMPLETE or (
        response.has_end_mark
        and evidence in (_Evidence.SILENT, _Evidence.RUNNING)
    )
    log.event(
        "end_checked",
        req=response.request_id,
        endpoint=endpoint_id,
        complete=is_complete,
        end="mark" if response.has_end_mark else "connection",
        requests=request_count,
        took_ms=int((clock.boottime() - started_s) * 1e3),
        reason=evidence.value,
    )
    if is_complete:
        return None
    return errors.Failure(
        errors.Kind.ENDPOINT_FAILED,
        f"the body ended, and then: {evidence.value}",
    )


def _collect_evidence(
    response: EndedResponse,
    request_status: Callable[[bool], calls.EndpointStatus | errors.Failure],
) -> tuple[_Evidence, int]:
    """Requests the endpoint's status until the answer is clear.

    Returns:
        The last evidence and the number of requests.
    """
    deadline_s = clock.boottime() + _MAX_CHECK_S
    request_count = failed_count = 0
    while True:
        asked_s = clock.boottime()
        status = request_status(failed_count > 0)
        request_count += 1
        if isinstance(status, errors.Failure):
            is_silent = clock.boottime() - asked_s >= ANSWER_TIMEOUT_S
            evidence = _Evidence.SILENT if is_silent else _Evidence.GONE
        else:
            evidence = _judge(response, status)
        pause_s = _STALE_REPORT_PAUSE_S
        if evidence in (_Evidence.SILENT, _Evidence.GONE):
            failed_count += 1
            pause_s = _RETRY_PAUSE_S
        elif evidence is not _Evidence.RUNNING:
            return evidence, request_count
        if (
            failed_count >= _MAX_FAILED_REQUESTS
            or clock.boottime() + pause_s >= deadline_s
        ):
            return evidence, request_count
        eventlet.sleep(pause_s)


def _judge(response: EndedResponse, status: calls.EndpointStatus) -> _Evidence:
    """Returns what an endpoint's status shows about a response."""
    if status.origin is calls.StatusOrigin.OTHER:
        return _Evidence.OTHER_START
    if status.origin is calls.StatusOrigin.UNKNOWN:
        return _Evidence.GONE
    if status.event_count is None or response.event_count is None:
        return _Evidence.COMPLETE
    if status.event_count > response.event_count:
        return _Evidence.TRUNCATED
    return _Evidence.RUNNING
