"""Units of engine memory that this entry gets from endpoints' owners."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.admission import grants
from dandelionlead.admission import ownership
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.daemon import convert
from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from dandelionlead.admission import parts

# A request that found no units waits at most this long before it is asked for.
ASK_PERIOD_S = 0.01
REPORT_PERIOD_S = 1.0
REPORT_TICK_S = 0.05
# An owner whose process no longer listens, or that missed this many calls in a
# row, is passed over for a time. Waiting for the members to declare it dead
# (4 s) and for the delegation (3 s) one after the other left an endpoint
# without new work for 7.2 s. Safety does not depend on this choice: the
# delegation to the old owner lapses first in any case.
MISSED_CALLS = 2
PASS_OVER_S = 10.0


class Capacity:
    """Asks owners for grants and reports what is in use.

    Args:
        name: Name of this member.
        member_part: The part of each endpoint's limit that this member carries.
        call: Calls a method of a member by name; a failure if it does not
            answer.
        live: Returns the names of the live entries, this one included.
        changed: Called when requests that wait may find units.
    """

    def __init__(
        self,
        name: str,
        member_part: parts.MemberPart,
        call: Callable[..., Any],
        live: Callable[[], list[str]],
        changed: Callable[[], None],
    ) -> None:
        self.pool = grants.GrantPool()
        # Units that the reservation policy keeps at an endpoint; set by the
        # placement, which knows how far the generations have grown.
        self.reserved: Callable[[str], int | None] = _not_planned
        self._name = name
        self._delegations = ownership.Delegations(member_part)
        self._part = member_part
        self._call = call
        self._live = live
        self._changed = changed
        self._accepts: dict[str, ownership.Status] = {}
        self._first_token_s: dict[str, list[float]] = {}
        self._failed: set[str] = set()
        # Owners that have not answered the last report.
        self._reporting: set[str] = set()
        # Endpoints without an owner that has answered; reported at each tick,
        # so that a change of owner takes no longer than it must.
        self._unsettled: set[str] = set()
        # Calls in a row that an owner missed, and until when it is passed over.
        self._missed: dict[str, int] = {}
        self._passed_over: dict[str, float] = {}

    def accepts_work(self, endpoint: str) -> bool:
        """Whether the owner said last that the endpoint takes work."""
        status = self._accepts.get(endpoint)
        return status is None or status.accepts_work

    def free_units(self, endpoint: str) -> int:
        """Returns the units that the owner said last to be free."""
        status = self._accepts.get(endpoint)
        return 0 if status is None else status.free_units

    def limit_units(self, endpoint: str) -> int:
        """Returns the endpoint's whole limit, as its owner said last."""
        status = self._accepts.get(endpoint)
        return 1 if status is None else max(1, status.limit_units)

    def note_first_token(self, endpoint: str, seconds: float) -> None:
        """Notes a measured first-token time for the next report."""
        self._first_token_s.setdefault(endpoint, []).append(seconds)

    def note_failed(self, endpoint: str) -> None:
        """Notes a refused or reset connection for the next report."""
        self._failed.add(endpoint)

    def saw_incarnation(self, endpoint: str, incarnation: str) -> None:
        """Voids the grants of an older incarnation than the one seen."""
        known = self.pool.incarnation(endpoint)
        if known and incarnation and known != incarnation:
            self.pool.void(endpoint, known)

    def ask_forever(self) -> None:
        """Asks for units whenever the pool wants some."""
        while True:
            eventlet.sleep(ASK_PERIOD_S)
            now = clock.boottime()
            for ask in self.pool.wanted(now):
                eventlet.spawn_n(self._ask, ask, now)

    def report_forever(self, endpoints: Callable[[], Iterable[str]]) -> None:
        """Reports to all owners each second, which renews delegations.

        Endpoints whose owner refused units are reported sooner, once units
        there were confirmed or released.
        """
        reported_at = float("-inf")
        while True:
            now = clock.boottime()
            if now - reported_at >= REPORT_PERIOD_S:
                reported_at = now
                self.report_once(endpoints(), now)
            else:
                due = {*self.pool.due(now), *self._unsettled}
                self.report_once(due, now)
            eventlet.sleep(REPORT_TICK_S)

    def report_once(self, endpoints: Iterable[str], now: float) -> None:
        """Reports on endpoints, without waiting for the answers.

        An owner that has not answered the last report yet is left out; what
        happened meanwhile is in the next one.
        """
        by_owner: dict[str, list[ttypes.EndpointReport]] = {}
        live = self._usable_owners()
        for name in endpoints:
            offer = self._delegations.offer(name, live, now)
            # A new owner counts a delegation only once its stamp is echoed.
            if offer is None or not offer.stamp:
                self._unsettled.add(name)
            else:
                self._unsettled.discard(name)
            if offer is not None and offer.owner not in self._reporting:
                by_owner.setdefault(offer.owner, []).append(
                    self._report(name, offer, now)
                )
        for owner, reports in by_owner.items():
            self._reporting.add(owner)
            eventlet.spawn_n(self._send_report, owner, reports)

    def dump(self) -> dict[str, Any]:
        """Returns what is known of each endpoint."""
        now = clock.boottime()
        return {
            name: {
                "unused_units": self.pool.unused(name, now),
                "incarnation": self.pool.incarnation(name),
                "accepts_work": status.accepts_work,
                "limit_units": status.limit_units,
                "reason": status.reason,
            }
            for name, status in self._accepts.items()
        }

    def _report(
        self, name: str, offer: ownership.Offer, now: float
    ) -> ttypes.EndpointReport:
        usage = self.pool.usage(name, now, reserved=self.reserved(name))
        failed = name in self._failed
        self._failed.discard(name)
        return ttypes.EndpointReport(
            endpoint=name,
            incarnation=usage.incarnation,
            units_in_use=usage.units_in_use,
            units_open=usage.units_open,
            generations=usage.generations,
            first_token_s=self._first_token_s.pop(name, []),
            failed=failed,
            part=offer.part,
            delegate_for_s=offer.for_s,
            stamp=offer.stamp,
            covered_stamp=usage.stamp,
        )

    def _send_report(
        self, owner: str, reports: list[ttypes.EndpointReport]
    ) -> None:
        req = ttypes.ReportRequest(member=self._name, endpoints=reports)
        try:
            reply = self._call_owner(owner, "report", req)
        finally:
            self._reporting.discard(owner)
        if isinstance(reply, errors.Failure):
            return
        for item in reply.endpoints or []:
            self._answered(owner, convert.status_from_wire(item))
        self._changed()

    def _ask(self, ask: grants.Ask, asked_at: float) -> None:
        offer = self._delegations.offer(
            ask.endpoint, self._usable_owners(), asked_at
        )
        if offer is None:
            self.pool.refused(ask.endpoint, asked_at, clock.boottime())
            return
        req = ttypes.AcquireRequest(
            member=self._name,
            endpoint=ask.endpoint,
            incarnation=ask.incarnation,
            units=ask.units,
            least_units=ask.least_units,
            part=offer.part,
            delegate_for_s=offer.for_s,
            stamp=offer.stamp,
        )
        reply = self._call_owner(offer.owner, "acquire", req)
        now = clock.boottime()
        if isinstance(reply, errors.Failure):
            self.pool.refused(ask.endpoint, asked_at, now)
            return
        status = convert.status_from_wire(reply.status)
        if reply.grant is None:
            self.pool.refused(
                ask.endpoint,
                asked_at,
                now,
                stamp=status.stamp,
                incarnation=status.incarnation,
            )
        else:
            self.pool.add(convert.grant_from_wire(reply.grant), asked_at)
        self._answered(offer.owner, status)
        self._changed()

    def _usable_owners(self) -> list[str]:
        now = clock.boottime()
        return [
            name
            for name in self._live()
            if now >= self._passed_over.get(name, now)
        ]

    def _call_owner(self, owner: str, method: str, req: Any) -> Any:
        reply = self._call(owner, method, req)
        if not isinstance(reply, errors.Failure):
            self._missed.pop(owner, None)
            self._passed_over.pop(owner, None)
            return reply
        self._missed[owner] = self._missed.get(owner, 0) + 1
        refused = "refused" in reply.reason
        if refused or self._missed[owner] >= MISSED_CALLS:
            self._passed_over[owner] = clock.boottime() + PASS_OVER_S
        return reply

    def _answered(self, owner: str, status: ownership.Status) -> None:
        now = clock.boottime()
        name = status.endpoint
        self._delegations.answered(name, owner, status.stamp, now)
        if self._delegations.owner(name, self._usable_owners(), now) == owner:
            self.pool.answered(name, status)
            self._accepts[name] = status


def _not_planned(endpoint: str) -> None:
    del endpoint
