"""Calls to plain services: repeatable ones, and orders at most once."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

import eventlet
import urllib3

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.orders import record
from dandelionlead.orders import runner
from dandelionlead.orders import steps

if TYPE_CHECKING:
    from collections.abc import Callable

    from dandelionlead.config import model
    from dandelionlead.core import events
    from dandelionlead.daemon import rules
    from dandelionlead.entry import routing_view

CONNECT_TIMEOUT_S = 1.0
# Calls that wait for a full endpoint look again this often.
_FULL_PAUSE_S = 0.01
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Headers of an answer that belong to one connection.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "date",
        "server",
        "x-request-id",
    }
)


class ServiceCall:
    """One call to a plain service, after all checks.

    Attributes:
        request_id: Id of the request.
        team: The caller's team.
        route: Its route.
        method: HTTP method.
        path: Path with the query, as the caller sent it.
        headers: Headers for the service.
        body: Body, as received.
        deadline: Time on `clock.boottime()` by which it must be sent.
        key: Idempotency key; empty on repeatable routes without one.
        try_number: Number of this try as the caller counts; 0 if unknown.
    """

    __slots__ = (
        "request_id",
        "team",
        "route",
        "method",
        "path",
        "headers",
        "body",
        "deadline",
        "key",
        "try_number",
    )

    def __init__(
        self,
        *,
        request_id: str,
        team: model.Team,
        route: model.Route,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
        key: str,
        try_number: int,
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.key = key
        self.try_number = try_number


class Services:
    """Sends calls to the endpoints of plain services.

    Each connection carries one call and is closed after it, so that a late
    answer can never be taken for that of another call.
    """

    def __init__(
        self,
        current: Callable[[], rules.Rules | None],
        may_dispatch: Callable[[], bool],
        entries: Callable[[], int],
        view: routing_view.RoutingView,
        log: events.Log,
    ) -> None:
        self._current = current
        self._may_dispatch = may_dispatch
        self._entries = entries
        self._view = view
        self._log = log
        self._rng = random.Random()
        self._in_use: dict[str, int] = {}
        self._http = urllib3.PoolManager(num_pools=64, maxsize=1, retries=False)
        self._orders: runner.OrderRunner | None = None

    def use_orders(self, orders: runner.OrderRunner) -> None:
        """Sets the runner of calls that may not be repeated."""
        self._orders = orders

    def call(self, call: ServiceCall) -> record.Answer | errors.Failure:
        """Runs a call and returns the service's answer."""
        if not call.route.repeatable:
            return self._run_order(call)
        self._view.first_try()
        attempt = 0
        while True:
            attempt += 1
            result = self._send_repeatable(call)
            if not isinstance(result, errors.Failure):
                return result
            pause_s = self._view.retry_pause_s(result, attempt, repeatable=True)
            if pause_s is None or clock.boottime() + pause_s > call.deadline:
                return result
            eventlet.sleep(pause_s)

    def send_order(self, order: steps.Order, attempt: str) -> steps.Sent:
        """Sends an order once; called by the order runner."""
        call: ServiceCall = order.call
        tried: set[str] = set()
        sent: steps.Sent = steps.NotSent(
            "no endpoint takes the order now", kind=errors.Kind.NO_ENDPOINT
        )
        while True:
            endpoint = self._pick(call, tried)
            if endpoint is None:
                return sent
            tried.add(endpoint.name)
            if not self._may_dispatch():
                return steps.NotSent(
                    "the configuration could not be confirmed before sending",
                    kind=errors.Kind.STALE_RULES,
                )
            sent = self._send(call, endpoint, attempt)
            # Nothing has left this process, so another endpoint may be tried.
            if not isinstance(sent, steps.NotSent):
                return sent

    def _run_order(self, call: ServiceCall) -> record.Answer | errors.Failure:
        order = steps.Order(
            call.team.name,
            call.route.name,
            call.key,
            call.body,
            deadline_s=call.deadline,
            request_id=call.request_id,
            try_number=call.try_number,
            call=call,
        )
        return self._orders.run(order)

    def _send_repeatable(
        self, call: ServiceCall
    ) -> record.Answer | errors.Failure:
        endpoint = self._pick(call, set())
        if endpoint is None:
            return errors.Failure(
                errors.Kind.NO_ENDPOINT,
                f"no endpoint of {call.route.service} takes work now",
            )
        if not self._may_dispatch():
            return errors.Failure(
                errors.Kind.STALE_RULES,
                "the configuration could not be confirmed before dispatch",
            )
        sent = self._send(call, endpoint, "")
        if isinstance(sent, steps.Answered):
            return record.Answer(sent.status, sent.headers, sent.body)
        if isinstance(sent, steps.NotSent):
            return errors.Failure(sent.kind, sent.reason)
        return errors.Failure(errors.Kind.ENDPOINT_FAILED, sent.reason)

    def _pick(
        self, call: ServiceCall, tried: set[str]
    ) -> model.Endpoint | None:
        """Returns an endpoint; waits while all that may do are at the limit."""
        while True:
            usable = self._usable(call, tried)
            free = [item for item in usable if not self._is_full(item)]
            if free:
                self._rng.shuffle(free)
                return min(free, key=lambda item: self._used(item.name))
            if not usable or clock.boottime() + _FULL_PAUSE_S > call.deadline:
                return None
            eventlet.sleep(_FULL_PAUSE_S)

    def _usable(
        self, call: ServiceCall, tried: set[str]
    ) -> list[model.Endpoint]:
        current = self._current()
        if current is None:
            return []
        found = current.service_endpoints(call.route.service)
        return self._view.healthy(
            [item for item in found if item.name not in tried]
        )

    def _is_full(self, item: model.Endpoint) -> bool:
        # Entries share an endpoint's limit equally, at least one call each.
        share = item.max_concurrent // max(1, self._entries())
        return self._used(item.name) >= max(1, share)

    def _used(self, name: str) -> int:
        return self._in_use.get(name, 0)

    def _send(
        self, call: ServiceCall, endpoint: model.Endpoint, attempt: str
    ) -> steps.Sent:
        self._in_use[endpoint.name] = self._used(endpoint.name) + 1
        self._log.event(
            "dispatch",
            req=call.request_id,
            endpoint=endpoint.name,
            route=call.route.name,
            attempt=attempt,
        )
        sent: steps.Sent = steps.Lost(
            f"no whole answer within {call.route.timeout_s:g} s"
        )
        try:
            with eventlet.Timeout(call.route.timeout_s, False):
                sent = self._exchange(call, endpoint)
        finally:
            self._in_use[endpoint.name] -= 1
        failed = not isinstance(sent, steps.Answered)
        self._view.service_result(
            endpoint.name,
            connected=not isinstance(sent, steps.NotSent),
            answered=not failed,
        )
        fields: dict[str, Any] = {"outcome": type(sent).__name__.lower()}
        if failed:
            fields["reason"] = sent.reason
        else:
            fields["status"] = sent.status
        self._log.event(
            "service_answer",
            req=call.request_id,
            endpoint=endpoint.name,
            **fields,
        )
        return sent

    def _exchange(
        self, call: ServiceCall, endpoint: model.Endpoint
    ) -> steps.Sent:
        try:
            resp = self._http.request(
                call.method,
                f"http://{endpoint.address}{call.path}",
                headers={**call.headers, "Connection": "close"},
                body=call.body,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=call.route.timeout_s
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return steps.NotSent(f"{endpoint.name} is not reachable: {exc}")
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return steps.Lost(f"{endpoint.name} gave no answer: {exc}")
        try:
            return self._whole(call, endpoint, resp)
        finally:
            resp.close()

    def _whole(
        self,
        call: ServiceCall,
        endpoint: model.Endpoint,
        resp: urllib3.BaseHTTPResponse,
    ) -> steps.Sent:
        echoed = resp.headers.get("X-Request-Id")
        if echoed != call.request_id:
            return steps.Lost(
                f"{endpoint.name} sent the answer of request {echoed}"
            )
        try:
            body = resp.read(MAX_ANSWER_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return steps.Lost(f"{endpoint.name} cut its answer short: {exc}")
        if len(body) > MAX_ANSWER_BYTES:
            return steps.Lost(
                f"the answer of {endpoint.name} is over {MAX_ANSWER_BYTES} B"
            )
        headers = [
            (name, value)
            for name, value in resp.headers.items()
            if name.lower() not in _HOP_HEADERS
        ]
        return steps.Answered(resp.status, headers, body)
