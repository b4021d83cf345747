"""Refusals to callers, and the line and the numbers of each finished call."""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.gateway import dialect
from dandelionlead.gateway import relay
from dandelionlead.http import callers
from dandelionlead.routing import calls
from dandelionlead.routing import view


class Accounts:
    """Writes what became of each call."""

    def __init__(
        self,
        words: dialect.Dialect,
        known: view.View,
        log: events.Log,
        numbers: metrics.Registry,
    ) -> None:
        self._words = words
        self._view = known
        self._log = log
        self._metrics = numbers

    def refuse(
        self, reply: callers.Reply, failure: errors.Failure, request_id: str
    ) -> None:
        """Answers a call that no endpoint answered."""
        status = errors.ANSWERS[failure.kind].status
        headers = self._words.failure_headers(failure, request_id)
        reply.whole(status, headers, callers.problem(failure))

    def generation(self, call: calls.Call, ended: relay.Outcome) -> None:
        """Counts how a generation ended."""
        end = "complete" if ended.complete else "torn"
        self._metrics.count("generations_total", end=end)
        self._metrics.record("event_gap_seconds", ended.longest_gap_s)
        if ended.first_s:
            first_s = ended.first_s - call.arrived_s
            self._metrics.record("first_event_seconds", first_s)
        if ended.moves:
            self._metrics.count("moves_total", amount=ended.moves)

    def call(
        self,
        call: calls.Call,
        admitted: calls.Admitted | None,
        failure: errors.Failure | None,
        status: int,
        endpoint_id: str,
        **fields: object,
    ) -> None:
        """Writes the line of a finished call."""
        took_s = clock.boottime() - call.arrived_s
        if failure is not None:
            status = status or errors.ANSWERS[failure.kind].status
            fields["kind"] = failure.kind.value
            fields["run"] = failure.run.value
            fields["reason"] = failure.reason
        route = admitted.route.name if admitted else ""
        configuration = self._view.configuration
        version = configuration.version if configuration else -1
        outcome = "answered" if failure is None else failure.kind.value
        self._metrics.count("calls_total", outcome=outcome)
        self._metrics.record("call_seconds", took_s)
        self._metrics.count("tries_total", amount=fields.get("tries", 0))
        self._log.event(
            "call",
            req=call.request_id,
            route=route,
            cfg=admitted.configuration_version if admitted else version,
            status=status,
            endpoint=endpoint_id,
            took_ms=int(took_s * 1e3),
            **fields,
        )
