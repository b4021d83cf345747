"""Grants that an entry holds: use, expiry, and asking ahead of demand.

Requests seldom wait for an owner, since the pool asks ahead: it measures the
units taken per second at each endpoint and asks when fewer than
`_LOOKAHEAD_S` of demand are left. Endpoints without demand are not asked.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dandelionlead.admission import ownership

# Demand that the pool tries to hold. Half a grant's life, so that units are
# used before they expire; several round trips.
_LOOKAHEAD_S = 0.6
# Time constant of the demand estimate.
_DEMAND_S = 2.0
# Demand below which an endpoint counts as idle, units per second.
_IDLE_UNITS_PER_S = 0.5
# A request that found no units is asked for during this time.
_MISS_S = 1.0
# Usage is reported this often.
REPORT_S = 1.0
# Least time between two reports while units are refused.
_REPORT_SOON_S = 0.1
# Wait after a refusal; it doubles up to the last one.
_REFUSED_S = 0.05
_REFUSED_LONGEST_S = 0.8
# An ask without an answer is given up; peers are called with 1 s deadlines.
_ASK_TIMEOUT_S = 1.0
_ENDED_KEPT = 64
_NEVER = float("-inf")


class Lease:
    """Units of one endpoint that one request uses.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Incarnation that the units are bound to.
        units: Units of engine memory.
        generation_id: Id of the generation, once it is known.
        confirmed: Whether a response of the incarnation was seen.
    """

    __slots__ = (
        "endpoint",
        "incarnation",
        "units",
        "generation_id",
        "confirmed",
        "_slices",
    )

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        units: int,
        slices: list[tuple[_Held, int]],
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.units = units
        self.generation_id = ""
        self.confirmed = False
        self._slices = slices


class Ask:
    """Units to ask an endpoint's owner for.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Incarnation that this entry knows; may be empty.
        units: Units wanted.
        least_units: Units of the smallest request that waits; fewer are of no
            use.
    """

    __slots__ = ("endpoint", "incarnation", "units", "least_units")

    def __init__(
        self, endpoint: str, incarnation: str, units: int, least_units: int
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.units = units
        self.least_units = least_units


class Usage:
    """What an entry reports about one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Incarnation that the numbers are about.
        units_in_use: Units confirmed by a response of that incarnation.
        units_open: Units not used or not yet confirmed.
        generations: Ids of this entry's generations.
        stamp: Owner's stamp up to which all grants are covered.
    """

    __slots__ = (
        "endpoint",
        "incarnation",
        "units_in_use",
        "units_open",
        "generations",
        "stamp",
    )

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        units_in_use: int,
        units_open: int,
        generations: list[str],
        stamp: str,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.units_in_use = units_in_use
        self.units_open = units_open
        self.generations = generations
        self.stamp = stamp


class GrantPool:
    """Grants and leases of one entry, for all endpoints."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}

    def take(self, endpoint: str, units: int, now: float) -> Lease | None:
        """Takes units for a request that is sent right after this call.

        Args:
            endpoint: Name of the endpoint.
            units: Units that the request needs.
            now: `CLOCK_BOOTTIME`, read immediately before.

        Returns:
            A lease, or None if the pool has too few units that are valid now.
        """
        state = self._state(endpoint)
        state.expire(now)
        if state.unused() < units:
            state.missed(units, now)
            return None
        slices = []
        missing = units
        for held in state.grants:
            amount = min(missing, held.units)
            held.units -= amount
            missing -= amount
            if amount:
                slices.append((held, amount))
        lease = Lease(endpoint, state.incarnation, units, slices)
        state.leases.add(lease)
        state.demanded(units, now)
        return lease

    def confirm(self, lease: Lease, incarnation: str) -> bool:
        """Takes in the incarnation that a response header showed.

        Returns:
            Whether it is the incarnation that the lease is bound to. If not,
            all grants of the old one are void, and the lease counts as units
            in use of the new one.
        """
        if incarnation == lease.incarnation:
            lease.confirmed = True
            self._state(lease.endpoint).changed = True
            return True
        state = self._state(lease.endpoint)
        state.end(lease.incarnation)
        state.learn(incarnation)
        lease.incarnation = incarnation
        lease.confirmed = True
        return False

    def adopt(
        self, endpoint: str, incarnation: str, generation_id: str, units: int
    ) -> Lease:
        """Returns a lease for a generation that another entry started."""
        lease = Lease(endpoint, incarnation, units, [])
        lease.generation_id = generation_id
        lease.confirmed = True
        state = self._state(endpoint)
        state.learn(incarnation)
        state.leases.add(lease)
        return lease

    def release(self, lease: Lease, now: float) -> None:
        """Returns units when the endpoint is known not to use them any more.

        That is after the last event of the generation, after an answer to its
        cancellation, or when it was never sent. Units that were never
        confirmed can be taken again while their grant is valid. Confirmed
        ones go back to the owner, which bounds the units that a restarted
        endpoint could meet.
        """
        state = self._state(lease.endpoint)
        state.leases.discard(lease)
        state.changed = True
        if not lease.confirmed:
            for held, amount in lease._slices:
                held.units += amount
        lease._slices = []
        state.expire(now)

    def add(self, grant: ownership.Grant, asked_at: float) -> bool:
        """Adds a grant.

        Args:
            grant: The grant.
            asked_at: Time immediately before the request was sent.

        Returns:
            Whether it can be used: not when its incarnation has ended or the
            ask was given up, since a report may not have covered it.
        """
        state = self._state(grant.endpoint)
        if state.asked_at != asked_at:
            return False
        state.answered(grant.stamp)
        if not state.incarnation:
            state.learn(grant.incarnation)
        if grant.incarnation != state.incarnation:
            return False
        held = _Held(grant.units, asked_at + grant.valid_for_s)
        state.grants.append(held)
        state.refused_s = 0.0
        return True

    def refused(
        self,
        endpoint: str,
        asked_at: float,
        now: float,
        *,
        stamp: str = "",
        incarnation: str = "",
    ) -> None:
        """Takes in a refusal, or the loss of an ask (without a stamp).

        Args:
            endpoint: Name of the endpoint.
            asked_at: Time immediately before the request was sent.
            now: Time.
            stamp: Stamp of the answer.
            incarnation: `Status.incarnation` of the answer.
        """
        state = self._state(endpoint)
        if state.asked_at != asked_at:
            return
        state.answered(stamp)
        state.learn(incarnation)
        longer_s = max(_REFUSED_S, state.refused_s * 2)
        state.refused_s = min(longer_s, _REFUSED_LONGEST_S)
        state.ask_from = now + state.refused_s

    def answered(self, endpoint: str, status: ownership.Status) -> None:
        """Takes in the answer to a report."""
        state = self._state(endpoint)
        state.stamped(status.stamp)
        state.learn(status.incarnation)

    def void(self, endpoint: str, incarnation: str) -> None:
        """Drops all grants of an incarnation that has ended."""
        self._state(endpoint).end(incarnation)

    def incarnation(self, endpoint: str) -> str:
        """Returns the incarnation that this entry knows; may be empty."""
        return self._state(endpoint).incarnation

    def unused(self, endpoint: str, now: float) -> int:
        """Returns the units that can be taken now."""
        state = self._state(endpoint)
        state.expire(now)
        return state.unused()

    def wanted(
        self, now: float, endpoints: Iterable[str] | None = None
    ) -> list[Ask]:
        """Returns what to ask for now, at most one ask for each endpoint.

        The caller sends each ask and passes `now` as `asked_at` to `add` or
        `refused`. There is at most one ask under way for each endpoint.

        Args:
            now: Time immediately before the asks are sent.
            endpoints: Endpoints with an owner; all if None.
        """
        names = self._states if endpoints is None else endpoints
        asks = []
        for name in names:
            state = self._states.get(name)
            ask = None if state is None else state.ask(name, now)
            if ask is not None:
                asks.append(ask)
        return asks

    def usage(
        self, endpoint: str, now: float, *, reserved: int | None = None
    ) -> Usage:
        """Returns what to report about an endpoint now.

        Args:
            endpoint: Name of the endpoint.
            now: Time.
            reserved: Units that the reservation policy keeps for all confirmed
                generations together, which grow and end; by default the units
                that they were started with.
        """
        state = self._state(endpoint)
        state.expire(now)
        state.reported_at = now
        state.changed = False
        unused = state.unused()
        in_use = 0
        names = []
        for lease in state.leases:
            if lease.confirmed:
                in_use += lease.units
            else:
                unused += lease.units
            if lease.generation_id:
                names.append(lease.generation_id)
        return Usage(
            endpoint,
            state.incarnation,
            in_use if reserved is None else reserved,
            unused,
            names,
            state.report_stamp(now),
        )

    def due(self, now: float) -> list[str]:
        """Returns the endpoints whose usage should be reported now.

        That is once a second with units or demand; and sooner where the owner
        refused units and others were confirmed or released since the report,
        because the owner bounds the units that are not confirmed.
        """
        return [
            name for name, state in self._states.items() if state.is_due(now)
        ]

    def _state(self, endpoint: str) -> _State:
        state = self._states.get(endpoint)
        if state is None:
            state = _State()
            self._states[endpoint] = state
        return state


class _Held:
    """Unused units of one grant."""

    __slots__ = ("units", "expires_at")

    def __init__(self, units: int, expires_at: float) -> None:
        self.units = units
        self.expires_at = expires_at


class _State:
    """Grants, leases and demand at one endpoint."""

    __slots__ = (
        "incarnation",
        "ended",
        "grants",
        "leases",
        "asked_at",
        "ask_from",
        "refused_s",
        "stamp",
        "covered",
        "rate",
        "rate_at",
        "miss_units",
        "miss_least",
        "miss_at",
        "reported_at",
        "changed",
    )

    def __init__(self) -> None:
        self.incarnation = ""
        self.ended: collections.deque[str] = collections.deque(
            maxlen=_ENDED_KEPT
        )
        self.grants: list[_Held] = []
        self.leases: set[Lease] = set()
        self.asked_at: float | None = None
        self.ask_from = _NEVER
        self.refused_s = 0.0
        # Latest stamp, and the latest one from before the ask under way.
        self.stamp = ""
        self.covered = ""
        self.rate = 0.0
        self.rate_at = _NEVER
        self.miss_units = 0
        self.miss_least = 0
        self.miss_at = _NEVER
        self.reported_at = _NEVER
        # Whether units were confirmed or released since the last report.
        self.changed = False

    def is_due(self, now: float) -> bool:
        since_s = now - self.reported_at
        if since_s >= REPORT_S:
            busy = bool(self.leases or self.grants)
            return busy or self.demand(now) > _IDLE_UNITS_PER_S
        refused = self.refused_s > 0 and now - self.miss_at <= _MISS_S
        return refused and self.changed and since_s >= _REPORT_SOON_S

    def expire(self, now: float) -> None:
        self.grants = [item for item in self.grants if now < item.expires_at]

    def unused(self) -> int:
        return sum(item.units for item in self.grants)

    def learn(self, incarnation: str) -> None:
        if not incarnation or incarnation in self.ended:
            return
        if self.incarnation and incarnation != self.incarnation:
            self.end(self.incarnation)
        self.incarnation = incarnation

    def end(self, incarnation: str) -> None:
        if incarnation not in self.ended:
            self.ended.append(incarnation)
        if self.incarnation == incarnation:
            self.incarnation = ""
            self.grants = []
        # Their generations ended with the incarnation. Those that are not
        # confirmed may have reached the next one.
        self.leases = {
            lease
            for lease in self.leases
            if not lease.confirmed or lease.incarnation != incarnation
        }

    def missed(self, units: int, now: float) -> None:
        if now - self.miss_at > _MISS_S:
            self.miss_units = 0
            self.miss_least = units
        self.miss_units += units
        self.miss_least = min(self.miss_least, units)
        self.miss_at = now

    def demanded(self, units: int, now: float) -> None:
        self.rate = self.demand(now) + units / _DEMAND_S
        self.rate_at = now
        self.miss_units = max(0, self.miss_units - units)

    def demand(self, now: float) -> float:
        if self.rate_at == _NEVER:
            return 0.0
        return self.rate * math.exp((self.rate_at - now) / _DEMAND_S)

    def ask(self, name: str, now: float) -> Ask | None:
        if self.asked_at is not None:
            if now - self.asked_at < _ASK_TIMEOUT_S:
                return None
            self.answered("")
        if now < self.ask_from:
            return None
        self.expire(now)
        missing = self.miss_units if now - self.miss_at <= _MISS_S else 0
        demand = self.demand(now)
        ahead = demand * _LOOKAHEAD_S if demand > _IDLE_UNITS_PER_S else 0.0
        units = math.ceil(max(missing, ahead)) - self.unused()
        # Half of the lookahead is left before the next ask, in batches.
        if units <= 0 or (not missing and units < ahead / 2):
            return None
        self.asked_at = now
        self.covered = self.stamp
        least = min(units, self.miss_least) if missing else units
        self.miss_units = 0
        return Ask(name, self.incarnation, units, least)

    def answered(self, stamp: str) -> None:
        self.asked_at = None
        self.stamped(stamp)

    def stamped(self, stamp: str) -> None:
        if stamp:
            self.stamp = stamp

    def report_stamp(self, now: float) -> str:
        # A grant that is under way is not covered by this report.
        if self.asked_at is not None and now - self.asked_at < _ASK_TIMEOUT_S:
            return self.covered
        return self.stamp
