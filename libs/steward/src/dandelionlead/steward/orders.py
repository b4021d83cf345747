"""Orders to engines: brings the version that runs to the configured one."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TYPE_CHECKING

import eventlet
import urllib3

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.rollout import lease

if TYPE_CHECKING:
    from dandelionlead.config import model
    from dandelionlead.core import events

_CONNECT_S = 1.0
# An engine that did not follow an order is ordered again after this time;
# loading weights takes minutes, and the weight store limits its rate.
ORDER_AGAIN_S = 60.0
# Engines compared in one second: 3,600 are compared within three minutes.
CHECKS_PER_STEP = 20


class Orders:
    """Compares engines with the configuration and orders what differs.

    Args:
        keeper: The lease.
        log: Event log.
    """

    def __init__(self, keeper: lease.LeaseKeeper, log: events.Log) -> None:
        self._lease = keeper
        self._log = log
        self._next = 0
        self._ordered_at: dict[str, float] = {}
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=_CONNECT_S, read=_CONNECT_S),
        )

    def step(self, engines: Iterable[model.Endpoint]) -> None:
        """Compares the next engines and sends the orders that are due."""
        ordered = sorted(engines, key=lambda item: item.name)
        if not ordered:
            return
        count = min(CHECKS_PER_STEP, len(ordered))
        for offset in range(count):
            item = ordered[(self._next + offset) % len(ordered)]
            self._compare(item)
        self._next = (self._next + count) % len(ordered)

    def _compare(self, item: model.Endpoint) -> None:
        running = self._running_version(item)
        if not running or running == item.version:
            self._ordered_at.pop(item.name, None)
            return
        now = clock.boottime()
        if now - self._ordered_at.get(item.name, -ORDER_AGAIN_S) < (
            ORDER_AGAIN_S
        ):
            return
        sent = self._send(item, "version", item.version)
        if sent is None:
            return
        self._ordered_at[item.name] = now
        after = self._running_version(item)
        self._log.event(
            "order_sent",
            endpoint=item.name,
            order="version",
            name=item.version,
            fence=self._lease.fence,
            status=sent,
            before=running,
            after=after or "unknown",
        )

    def _send(self, item: model.Endpoint, order: str, name: str) -> int | None:
        """Sends an order; returns the status, 0 if there was no answer."""
        body = json.dumps(
            {"order": order, "name": name, "fence": self._lease.fence}
        )
        # Right before the send: this process may have been paused.
        if not self._lease.may_send(
            clock.boottime(), checks_fencing=item.checks_fencing
        ):
            return None
        status = 0
        with eventlet.Timeout(lease.SEND_LIMIT_S, False):
            status = self._ask("POST", item, "/control", body)[0]
        return status

    def _running_version(self, item: model.Endpoint) -> str:
        status, value = self._ask("GET", item, "/load")
        return str(value.get("version", "")) if status == 200 else ""

    def _ask(
        self, method: str, item: model.Endpoint, path: str, body: str = ""
    ) -> tuple[int, dict[str, Any]]:
        try:
            resp = self._http.request(
                method,
                f"http://{item.address}{path}",
                body=body or None,
                headers={"Connection": "close"},
            )
            value = resp.json() if resp.data else {}
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            failure = errors.Failure(
                errors.Kind.ENDPOINT_UNREACHABLE, f"{item.name}: {exc}"
            )
            self._log.event(
                "endpoint_not_asked", endpoint=item.name, reason=failure.reason
            )
            return 0, {}
        return resp.status, value if isinstance(value, dict) else {}


def engines_of(
    operators: model.Operators, is_open: Callable[[model.Endpoint], bool]
) -> list[model.Endpoint]:
    """Returns the engines that may get orders: those in open zones."""
    return [
        item
        for item in operators.endpoints.values()
        if item.kind == "engine" and is_open(item)
    ]
