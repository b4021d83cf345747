"""Ledgers of the endpoints that this process owns now."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.admission import limits
from dandelionlead.admission import ownership
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.daemon import convert
from dandelionlead.daemon import peer_handler
from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable

    from dandelionlead.config import model
    from dandelionlead.core import events
    from dandelionlead.entry import engine_client

# Fine enough for the 0.25 s between urgent reads of the load.
TICK_S = 0.1
# A new ledger has no delegations before its members echo its first stamp, so
# it is dropped only when nobody has called it for several report periods.
_IDLE_S = 5.0


class Owners(peer_handler.EndpointOwner):
    """Answers `acquire` and `report`, and reads the load of endpoints.

    Args:
        name: Name of this process with its incarnation, unique for ever.
        find: Returns an endpoint of the configuration in force, or None.
        engines: Reads loads and cancels generations.
        log: Event log.
        saw_incarnation: Called with endpoint and incarnation of each report.
    """

    def __init__(
        self,
        name: str,
        find: Callable[[str], model.Endpoint | None],
        engines: engine_client.EngineClient,
        log: events.Log,
        saw_incarnation: Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._find = find
        self._engines = engines
        self._log = log
        self._saw_incarnation = saw_incarnation
        self._ledgers: dict[str, ownership.OwnerLedger] = {}
        self._called_at: dict[str, float] = {}
        self._created = 0

    def acquire(self, req: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Answers a member that asks for units."""
        now = clock.boottime()
        ledger = self._ledger(req.endpoint)
        if ledger is None:
            return ttypes.AcquireReply(
                refused_reason=f"Endpoint {req.endpoint} is not configured.",
                status=peer_handler.no_status(req.endpoint),
            )
        ledger.delegate(
            req.member,
            req.delegate_for_s or 0.0,
            now,
            part=req.part or 0.0,
            stamp=req.stamp or "",
        )
        self._apply_state(req.endpoint, ledger)
        grant = ledger.acquire(
            req.member,
            req.units or 0,
            req.incarnation or "",
            now,
            least_units=req.least_units or None,
        )
        status = convert.status_to_wire(ledger.status(now))
        if isinstance(grant, errors.Failure):
            return ttypes.AcquireReply(
                refused_reason=grant.reason, status=status
            )
        return ttypes.AcquireReply(
            grant=convert.grant_to_wire(grant), refused_reason="", status=status
        )

    def report(self, req: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Takes in what a member has at work on endpoints."""
        now = clock.boottime()
        answers = []
        for item in req.endpoints or []:
            ledger = self._ledger(item.endpoint)
            if ledger is None:
                answers.append(peer_handler.no_status(item.endpoint))
                continue
            ledger.delegate(
                req.member,
                item.delegate_for_s or 0.0,
                now,
                part=item.part or 0.0,
                stamp=item.stamp or "",
            )
            ledger.report(
                req.member,
                item.incarnation or "",
                item.units_in_use or 0,
                item.generations or [],
                item.first_token_s or [],
                bool(item.failed),
                now,
                units_open=item.units_open or 0,
                stamp=item.covered_stamp or "",
            )
            self._apply_state(item.endpoint, ledger)
            answers.append(convert.status_to_wire(ledger.status(now)))
        return ttypes.ReportReply(endpoints=answers)

    def run(self) -> None:
        """Reads loads and cancels abandoned generations, for ever."""
        while True:
            eventlet.sleep(TICK_S)
            self.tick(clock.boottime())

    def tick(self, now: float) -> None:
        """Does what the ledgers ask for now."""
        for name, ledger in list(self._ledgers.items()):
            endpoint = self._find(name)
            idle = now - self._called_at[name] > _IDLE_S
            if endpoint is None or (idle and ledger.is_idle(now)):
                del self._ledgers[name]
                continue
            actions = ledger.tick(now)
            if actions.read_load:
                eventlet.spawn_n(self._read_load, endpoint, ledger)
            for generation_id in actions.cancel:
                eventlet.spawn_n(self._cancel, endpoint, generation_id)

    def dump(self) -> dict[str, Any]:
        """Returns the state of each owned endpoint."""
        now = clock.boottime()
        states = {}
        for name, ledger in self._ledgers.items():
            status = ledger.status(now)
            states[name] = {
                field: getattr(status, field) for field in status.__slots__
            }
        return states

    def _ledger(self, name: str) -> ownership.OwnerLedger | None:
        endpoint = self._find(name)
        if endpoint is None:
            return None
        self._called_at[name] = clock.boottime()
        ledger = self._ledgers.get(name)
        if ledger is None:
            self._created += 1
            ledger = ownership.OwnerLedger(
                name,
                f"{self._name}-{self._created}",
                limits.FirstTokenRamp(endpoint.memory_tokens),
            )
            self._ledgers[name] = ledger
        return ledger

    def _apply_state(self, name: str, ledger: ownership.OwnerLedger) -> None:
        endpoint = self._find(name)
        if endpoint is not None and endpoint.state != "active":
            ledger.stop_accepting(f"it is {endpoint.state}")
        else:
            ledger.accept()

    def _read_load(
        self, endpoint: model.Endpoint, ledger: ownership.OwnerLedger
    ) -> None:
        asked_at = clock.boottime()
        plain = self._engines.load(endpoint.address)
        if isinstance(plain, errors.Failure):
            self._log.event(
                "load_not_read", endpoint=endpoint.name, reason=plain.reason
            )
            return
        report = _load_report(plain, asked_at)
        if report is None:
            self._log.event(
                "load_not_read",
                endpoint=endpoint.name,
                reason="the report has another format",
            )
            return
        ledger.load_report(report, clock.boottime())
        self._saw_incarnation(endpoint.name, report.incarnation)

    def _cancel(self, endpoint: model.Endpoint, generation_id: str) -> None:
        confirmed = self._engines.cancel(endpoint.address, generation_id)
        self._log.event(
            "generation_cancelled",
            endpoint=endpoint.name,
            generation=generation_id,
            confirmed=confirmed,
            reason="no reader within the resume window",
        )


def _load_report(
    plain: dict[str, Any], asked_at: float
) -> ownership.LoadReport | None:
    try:
        generations = [
            ownership.Generation(
                str(item["id"]),
                attached=bool(item["attached"]),
                detached_s=float(item.get("detached_s") or 0.0),
            )
            for item in plain["generations"]
        ]
        return ownership.LoadReport(
            str(plain["engine_start"]),
            generations,
            memory_total=int(plain["memory_total"]),
            reported_s_ago=float(plain.get("reported_s_ago") or 0.0),
            asked_at=asked_at,
            draining=bool(plain.get("draining")),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
