"""Checks with an endpoint whether it lives and has ended a run.

A process that crashes ends its responses in order: the kernel closes its
connections, and its HTTP server or a forwarder before it may even send a last
chunk. That something accepts a connection at its address proves nothing: a
forwarder, an inherited listening socket and a paused process accept too.
Therefore the endpoint itself is asked.

An endpoint that leaves also closes the connection and answers no further
request, since it exits with its last run. Its silence shows nothing, and the
end that it has marked counts.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.http import client
from dandelionlead.routing import calls

# Longest time for the first answer, over a connection of the pool, and for all
# answers.
FIRST_ANSWER_TIMEOUT_S = 0.5
_MAX_CHECK_S = 1.5
# Longest time for an answer if the marked end counts without one. A part of a
# stream that arrives later than this after its endpoint sent it counts as late.
_MAX_SILENCE_AFTER_MARK_S = 0.12
# Pauses after requests that failed: an endpoint closes connections beyond its
# limit and has room again shortly after.
_FAILED_PAUSES_S = (0.05, 0.1, 0.2, 0.4)
# Connections that are refused in a row from which no further one is tried:
# nothing listens for a dead process.
_MAX_REFUSED = 2
# Share of a timeout after which it has passed: timers are rounded.
_TIMER_PRECISION = 0.99
# Reports are some hundred milliseconds old, and may still list a run.
_STALE_REPORT_PAUSE_S = 0.1


class Evidence(enum.Enum):
    """What an endpoint's answers, or their absence, show.

    Attributes:
        ENDED: It answers for itself and has ended the run.
        TRUNCATED: It has made more events than have arrived.
        RUNNING: It still lists the run.
        OTHER_START: Another endpoint or a later start has its address.
        GONE: Something accepts connections, but nothing answers in its name.
        REFUSED: Nothing accepts connections at its address.
        SILENT: No answer arrived in time.
    """

    ENDED = "the endpoint has ended the run"
    TRUNCATED = "the endpoint has made more events"
    RUNNING = "the endpoint still lists the run"
    OTHER_START = "another endpoint or a later start has the address"
    GONE = "the endpoint does not answer for itself"
    REFUSED = "the endpoint refuses connections"
    SILENT = "the endpoint is silent"


# What shows that an endpoint has ended. It is expected of one that was leaving.
ABSENT = frozenset({Evidence.OTHER_START, Evidence.GONE, Evidence.REFUSED})
# What shows that an endpoint has not ended the run, or not with this body.
_REFUTING = frozenset({Evidence.TRUNCATED, Evidence.RUNNING})
# Evidence that another request may change.
_RETRIED = frozenset({Evidence.GONE, Evidence.REFUSED, Evidence.SILENT})
# Evidence with which the marked end of a leaving endpoint counts: the endpoint
# exits with its last run.
_EXPECTED_IF_LEAVING = frozenset(Evidence) - _REFUTING
_CONFIRMING = frozenset({Evidence.ENDED})

# Requests an endpoint's status within some seconds; over a new connection if
# the first argument is true.
StatusRequester = Callable[[bool, float], calls.EndpointStatus | errors.Failure]


class EndedResponse:
    """A response whose body has ended.

    Attributes:
        request_id: Id of the call.
        event_count: Number of events that have arrived, for a stream; None for
            any other body.
        has_end_mark: Whether the body itself marked its end.
        is_leaving: Whether the endpoint had announced before the check that it
            leaves.
        is_close_announced: Whether the head of the response announced that the
            endpoint closes the connection after it.
    """

    __slots__ = (
        "request_id",
        "event_count",
        "has_end_mark",
        "is_leaving",
        "is_close_announced",
    )

    def __init__(
        self,
        request_id: str,
        event_count: int | None,
        *,
        has_end_mark: bool,
        is_leaving: bool = False,
        is_close_announced: bool = False,
    ) -> None:
        self.request_id = request_id
        self.event_count = event_count
        self.has_end_mark = has_end_mark
        self.is_leaving = is_leaving
        self.is_close_announced = is_close_announced

    @property
    def sufficient_evidence(self) -> frozenset[Evidence]:
        """The evidence with which the response counts as complete.

        An end that a leaving endpoint has marked counts unless the endpoint
        refutes it: silence after an expected exit is evidence for neither side.
        Any other end needs the endpoint's own statement.
        """
        if self.has_end_mark and self.is_leaving:
            return _EXPECTED_IF_LEAVING
        return _CONFIRMING


def find_broken_end(
    response: EndedResponse,
    request_status: StatusRequester,
    deadline_s: float,
    log: events.Log,
    endpoint_id: str,
) -> errors.Failure | None:
    """Returns why a body that has ended may be incomplete, or None.

    Args:
        response: The response.
        request_status: Requests the endpoint's status.
        deadline_s: Deadline of the call, in seconds.
        log: Receives one line.
        endpoint_id: Id of the endpoint, for the log.
    """
    started_s = clock.boottime()
    evidence, request_count = collect_evidence(
        request_status,
        deadline_s,
        response.event_count,
        sufficient=response.sufficient_evidence,
    )
    is_complete = evidence in response.sufficient_evidence
    log.event(
        "end_checked",
        req=response.request_id,
        endpoint=endpoint_id,
        complete=is_complete,
        end="mark" if response.has_end_mark else "connection",
        leaving=response.is_leaving,
        close_announced=response.is_close_announced,
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


def collect_evidence(
    request_status: StatusRequester,
    deadline_s: float,
    event_count: int | None = None,
    *,
    sufficient: frozenset[Evidence] = _CONFIRMING,
) -> tuple[Evidence, int]:
    """Requests an endpoint's status until the answers are clear.

    Args:
        request_status: Requests the endpoint's status.
        deadline_s: Latest end of the check, in seconds; it also ends after
            `_MAX_CHECK_S`.
        event_count: Number of events of the run that have arrived; None if it
            does not matter whether the endpoint lists a run.
        sufficient: Evidence after which no further request is made. If it
            includes silence, all requests use new connections, and those
            without an answer end after `_MAX_SILENCE_AFTER_MARK_S`.

    Returns:
        The last evidence and the number of requests.
    """
    started_s = clock.boottime()
    deadline_s = min(deadline_s, started_s + _MAX_CHECK_S)
    may_be_silent = Evidence.SILENT in sufficient
    silence_deadline_s = deadline_s
    if may_be_silent:
        silence_deadline_s = min(
            deadline_s, started_s + _MAX_SILENCE_AFTER_MARK_S
        )
    evidence = Evidence.SILENT
    request_count = failed_count = refused_count = 0
    while True:
        is_running = evidence is Evidence.RUNNING
        limit_s = deadline_s if is_running else silence_deadline_s
        timeout_s = limit_s - clock.boottime()
        if timeout_s <= 0:
            return evidence, request_count
        if not failed_count:
            timeout_s = min(timeout_s, FIRST_ANSWER_TIMEOUT_S)
        asked_s = clock.boottime()
        status = request_status(may_be_silent or failed_count > 0, timeout_s)
        request_count += 1
        # Opening a connection has a shorter limit than later answers.
        is_silent = clock.boottime() - asked_s >= _TIMER_PRECISION * min(
            timeout_s, FIRST_ANSWER_TIMEOUT_S
        )
        evidence = _judge(status, event_count, is_silent=is_silent)
        is_refused = evidence is Evidence.REFUSED
        refused_count = refused_count + 1 if is_refused else 0
        # An endpoint at its connection limit has room again shortly after.
        if evidence in sufficient and evidence is not Evidence.GONE:
            return evidence, request_count
        if evidence is Evidence.RUNNING:
            pause_s = _STALE_REPORT_PAUSE_S
        elif evidence not in _RETRIED or (
            failed_count == len(_FAILED_PAUSES_S)
            or refused_count == _MAX_REFUSED
        ):
            return evidence, request_count
        else:
            pause_s = _FAILED_PAUSES_S[failed_count]
            failed_count += 1
        eventlet.sleep(min(pause_s, max(0.0, limit_s - clock.boottime())))


def _judge(
    status: calls.EndpointStatus | errors.Failure,
    event_count: int | None,
    *,
    is_silent: bool,
) -> Evidence:
    """Returns what one answer, or its absence, shows.

    Args:
        status: The answer, or why there is none.
        event_count: Number of events of the run that have arrived, or None.
        is_silent: Whether the time for the answer has passed.
    """
    if isinstance(status, client.RefusedFailure):
        return Evidence.REFUSED
    if isinstance(status, errors.Failure):
        return Evidence.SILENT if is_silent else Evidence.GONE
    if status.origin is calls.StatusOrigin.OTHER:
        return Evidence.OTHER_START
    if status.origin is calls.StatusOrigin.UNKNOWN:
        return Evidence.GONE
    if status.event_count is None or event_count is None:
        return Evidence.ENDED
    if status.event_count > event_count:
        return Evidence.TRUNCATED
    return Evidence.RUNNING
