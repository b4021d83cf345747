"""Owners of endpoints: members delegate to them, and they grant units.

Every member delegates its part of an endpoint's limit (`parts`) to one owner at
a time. An owner grants at most limit x parts delegated to it, so that the sum
over all owners stays within the limit whatever they believe about each other.

Three mechanisms keep this true while messages are late and processes freeze:

* Stamps. Every answer of an owner carries a stamp: its ledger's id and its own
  clock. A member's message echoes the last stamp. A delegation lasts
  `DELEGATION_S` from the stamp, not from the receipt, so that no late message
  and no message read by an owner that was frozen prolongs it. A report covers
  the grants up to its stamp; later grants stay charged in full.
* Grants end before the delegations that cover them. When a delegation has
  lapsed, what was lent on it is at work on the endpoint or ends within
  `DELIVERY_S`, the time of a request under way.
* Watching. A delegation counts at a new owner from the first load report whose
  snapshot is `DELIVERY_S` younger than the delegation. The owner charges every
  generation of that snapshot that no member reports to it, until the
  generation is gone from a later snapshot. Overhangs of an old owner are
  therefore charged where the delegation went.

A restart of the endpoint that nobody has noticed meets only units that are
granted and not yet confirmed by a response of the present incarnation. An owner
keeps these within the first step of the limit times its parts. One request that
is larger than that is let through if the owner holds more than half of the
parts and nothing else is unconfirmed. A restarted endpoint therefore gets at
most the larger of the first step, and one request plus half of the first step,
on grants that are older than the restart.

A grant is never smaller than the smallest request that waits. Small parts are
pooled, since all members of an endpoint's group delegate to one owner while
their views agree. A request that exceeds the delegated limit runs if the owner
holds more than half of the parts and nothing else is charged; the sum is then
at most that request and the other owners' parts.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from dandelionlead.admission import generation_ids
from dandelionlead.core import errors

if TYPE_CHECKING:
    from dandelionlead.admission import limits
    from dandelionlead.admission import parts

# A delegation lasts this long from the owner's stamp that it answers. With
# reports once a second the stamp is 1 s old on arrival, and one report may be
# late by 1 s; with 2 s, delegations lapsed between reports.
DELEGATION_S = 3.0
# A grant that is not used expires at the latest after this time.
GRANT_S = 2.0
# Longest time from the use of a grant to its generation in a load report.
DELIVERY_S = 1.0
# Grants that would live shorter would mostly expire unused.
_MIN_GRANT_S = 0.4
# Silence of a member after which its account is settled from load reports.
_SILENT_S = 3.0
# A generation without a reader for so long is cancelled.
DETACHED_S = 15.0
# A cancellation that had no effect is sent again after this time.
_CANCEL_AGAIN_S = 2.0
# Load reports are wanted at least this often.
_LOAD_PERIOD_S = 1.0
# A failed read of the load is tried again after this time.
_LOAD_RETRY_S = 0.25
# Incarnations that ended are remembered, so that late messages are told apart.
_ENDED_KEPT = 64
_STAMP_SEPARATOR = "@"
_NEVER = float("-inf")


class Grant:
    """Permission to place units of work on one incarnation of an endpoint.

    Attributes:
        grant_id: Id, unique for the owner.
        endpoint: Name of the endpoint.
        incarnation: Incarnation that the grant is bound to.
        units: Units of engine memory (tokens).
        valid_for_s: Seconds from before the request for the grant was sent.
        stamp: Owner's stamp at the time of the grant.
    """

    __slots__ = (
        "grant_id",
        "endpoint",
        "incarnation",
        "units",
        "valid_for_s",
        "stamp",
    )

    def __init__(
        self,
        grant_id: str,
        endpoint: str,
        incarnation: str,
        units: int,
        valid_for_s: float,
        stamp: str,
    ) -> None:
        self.grant_id = grant_id
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.units = units
        self.valid_for_s = valid_for_s
        self.stamp = stamp


class Offer:
    """A delegation to send to an owner, with `acquire` or `report`.

    Attributes:
        owner: Member to send it to.
        part: Part of the limit, 0 to 1.
        for_s: Seconds that the delegation lasts from the stamp.
        stamp: The owner's last stamp; empty if there is none yet.
    """

    __slots__ = ("owner", "part", "for_s", "stamp")

    def __init__(
        self, owner: str, part: float, for_s: float, stamp: str
    ) -> None:
        self.owner = owner
        self.part = part
        self.for_s = for_s
        self.stamp = stamp


class Generation:
    """One generation of a load report.

    Attributes:
        generation_id: Its id, which carries its units.
        attached: Whether a reader is attached.
        detached_s: Seconds without a reader, at the time of the snapshot.
    """

    __slots__ = ("generation_id", "attached", "detached_s")

    def __init__(
        self, generation_id: str, *, attached: bool, detached_s: float
    ) -> None:
        self.generation_id = generation_id
        self.attached = attached
        self.detached_s = detached_s


class LoadReport:
    """What an endpoint said about itself.

    Attributes:
        incarnation: `engine_start` of the endpoint.
        generations: Generations that are waiting or running.
        memory_total: Units that the endpoint has.
        draining: Whether the endpoint says that it is leaving.
        reported_s_ago: Age of the snapshot when the endpoint answered.
        asked_at: Time on this process's clock before the request was sent.
    """

    __slots__ = (
        "incarnation",
        "generations",
        "memory_total",
        "draining",
        "reported_s_ago",
        "asked_at",
    )

    def __init__(
        self,
        incarnation: str,
        generations: Sequence[Generation],
        *,
        memory_total: int,
        reported_s_ago: float,
        asked_at: float,
        draining: bool = False,
    ) -> None:
        self.incarnation = incarnation
        self.generations = generations
        self.memory_total = memory_total
        self.draining = draining
        self.reported_s_ago = reported_s_ago
        self.asked_at = asked_at


class Actions:
    """What the owner of an endpoint should do now.

    Attributes:
        cancel: Generations to cancel at the endpoint.
        read_load: Whether to read the endpoint's load.
    """

    __slots__ = ("cancel", "read_load")

    def __init__(self, cancel: list[str], *, read_load: bool) -> None:
        self.cancel = cancel
        self.read_load = read_load


class Status:
    """State of an endpoint as its owner knows it.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Its present incarnation; empty while it is in doubt. It
            is newer than the one that the member last reported.
        limit_units: Limit of the whole endpoint.
        free_units: Units that this owner may still grant.
        accepts_work: Whether grants are given at all.
        reason: Why not; empty if they are.
        stamp: The owner's stamp, to be echoed.
    """

    __slots__ = (
        "endpoint",
        "incarnation",
        "limit_units",
        "free_units",
        "accepts_work",
        "reason",
        "stamp",
    )

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        limit_units: int,
        free_units: int,
        reason: str,
        stamp: str,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.limit_units = limit_units
        self.free_units = free_units
        self.accepts_work = not reason
        self.reason = reason
        self.stamp = stamp


class Delegations:
    """Chooses the owner of each endpoint and waits out each delegation."""

    def __init__(self, member_part: parts.MemberPart) -> None:
        self._part = member_part
        self._held: dict[str, _Held] = {}

    def owner(
        self, endpoint: str, live: Iterable[str], now: float
    ) -> str | None:
        """Returns the owner that this member may use now.

        Args:
            endpoint: Name of the endpoint.
            live: Members believed to be alive, this one included.
            now: Time.

        Returns:
            The owner, or None while a delegation to another owner lasts or
            this member does not use the endpoint.
        """
        alive = set(live)
        group = self._part.group(endpoint)
        wanted = next((name for name in group if name in alive), None)
        held = self._held.get(endpoint)
        if held is not None and held.owner == wanted:
            return wanted
        if held is not None and now < held.stamped_at + DELEGATION_S:
            return None
        if wanted is None or not self._part.uses(endpoint):
            self._held.pop(endpoint, None)
            return None
        self._held[endpoint] = _Held(wanted)
        return wanted

    def offer(
        self, endpoint: str, live: Iterable[str], now: float
    ) -> Offer | None:
        """Returns the delegation to send now, or None without an owner."""
        owner = self.owner(endpoint, live, now)
        if owner is None:
            return None
        part = self._part.part(endpoint, now)
        return Offer(owner, part, DELEGATION_S, self._held[endpoint].stamp)

    def answered(
        self, endpoint: str, owner: str, stamp: str, now: float
    ) -> None:
        """Takes in the stamp of an owner's answer, received at `now`.

        An owner that lost its ledger is a new owner: its stamp is taken over
        only when the delegation to the old ledger has lapsed.
        """
        held = self._held.get(endpoint)
        if held is None or held.owner != owner:
            return
        if held.stamp and _ledger_of(held.stamp) != _ledger_of(stamp):
            if now < held.stamped_at + DELEGATION_S:
                return
        elif held.stamp and _time_of(stamp) < _time_of(held.stamp):
            return
        held.stamp = stamp
        held.stamped_at = now


class OwnerLedger:
    """Grants the units of one endpoint to the members that ask for them."""

    def __init__(
        self, endpoint: str, ledger_id: str, policy: limits.LimitPolicy
    ) -> None:
        """Starts without delegations.

        Args:
            endpoint: Name of the endpoint.
            ledger_id: Unique for each ledger that ever exists, for example
                process name, its incarnation and a counter.
            policy: Limit of the endpoint.
        """
        self._endpoint = endpoint
        self._ledger_id = ledger_id
        self._policy = policy
        self._accounts: dict[str, _Account] = {}
        self._incarnation = ""
        self._ended: list[str] = []
        # Generations of the last snapshot, and those charged to this owner
        # although nobody reports them here; units by id.
        self._snapshot: dict[str, int | None] = {}
        self._watched: dict[str, int | None] = {}
        self._snapshot_at = _NEVER
        self._detached: dict[str, float] = {}
        self._cancelled_at: dict[str, float] = {}
        self._load_asked_at = _NEVER
        # No grants before a snapshot that is at least this young.
        self._blind_until = float("inf")
        # Whether the limit was taken over from the work found at the start.
        self._resumed = False
        self._stopped = ""
        self._draining = False
        self._granted = 0

    def stamp(self, now: float) -> str:
        """Returns the stamp that every answer of this owner carries."""
        return f"{self._ledger_id}{_STAMP_SEPARATOR}{now!r}"

    def delegate(
        self, member: str, for_s: float, now: float, *, part: float, stamp: str
    ) -> None:
        """Takes in a member's part; ignored without a stamp of this ledger."""
        since = self._stamp_time(stamp, now)
        if since is None:
            return
        account = self._account(member, now)
        if since < account.delegated_at:
            return
        if now >= account.expires_at:
            # The member may have delegated elsewhere in the meantime.
            account.lapse()
        if since == account.delegated_at:
            # Two messages with one stamp may have changed places.
            part = min(part, account.wanted_part)
        account.delegated_at = since
        account.expires_at = since + min(for_s, DELEGATION_S)
        account.wanted_part = part
        if part <= account.part:
            account.part = part
            account.pending_since = None
        elif account.pending_since is None:
            account.pending_since = now

    def acquire(
        self,
        member: str,
        units: int,
        incarnation: str,
        now: float,
        *,
        least_units: int | None = None,
    ) -> Grant | errors.Failure:
        """Grants units, or says why not.

        Args:
            member: Member that asks.
            units: Units wanted.
            incarnation: Incarnation that the member knows; may be empty.
            now: Time.
            least_units: Units of the smallest request that waits; nothing
                smaller is granted. By default `units`.
        """
        reason = self._refusal(incarnation, now)
        if reason:
            return errors.Failure(errors.Kind.NO_ENDPOINT, reason)
        least = units if least_units is None else min(units, least_units)
        units, valid_for_s = self._room(units, least, now)
        if not units:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                f"Endpoint {self._endpoint} has no {least} units free.",
            )
        account = self._account(member, now)
        account.grants.append((now, units))
        self._granted += 1
        return Grant(
            f"{self._ledger_id}-{self._granted}",
            self._endpoint,
            self._incarnation,
            units,
            valid_for_s,
            self.stamp(now),
        )

    def report(
        self,
        member: str,
        incarnation: str,
        units_in_use: int,
        generations: Sequence[str],
        first_token_s: Sequence[float],
        failed: bool,
        now: float,
        *,
        units_open: int = 0,
        stamp: str = "",
    ) -> None:
        """Takes in what a member has at work on the endpoint.

        Args:
            member: Member that reports.
            incarnation: Incarnation that the numbers are about.
            units_in_use: Units confirmed by a response of that incarnation.
            generations: Ids of the member's generations there.
            first_token_s: First-token times since its last report.
            failed: Whether a connection was refused or reset since then.
            now: Time.
            units_open: Units granted, and not used or not yet confirmed.
            stamp: Stamp up to which the numbers cover all grants.
        """
        if incarnation and incarnation != self._incarnation:
            self._doubt(incarnation, now)
            return
        if failed:
            # The endpoint may have started again; its load report tells.
            self._blind(now)
        since = self._stamp_time(stamp, now)
        if since is None:
            return
        account = self._account(member, now)
        if since < account.reported_at:
            return
        reported_at = max(account.reported_at, account.opened_at)
        account.reported_at = since
        account.seen_at = now
        account.in_use = units_in_use
        account.open = units_open
        account.claims = frozenset(generations)
        account.grants = [item for item in account.grants if item[0] > since]
        self._policy.observe(first_token_s, self._proven(), now, reported_at)

    def load_report(self, report: LoadReport, now: float) -> None:
        """Takes in a load report; older ones than the last are ignored."""
        taken_at = report.asked_at - report.reported_s_ago
        if taken_at < self._snapshot_at:
            return
        if report.incarnation in self._ended:
            return
        if report.incarnation != self._incarnation:
            self._restart(report.incarnation, now)
        self._snapshot_at = taken_at
        self._draining = report.draining
        self._snapshot = {
            item.generation_id: generation_ids.units(item.generation_id)
            for item in report.generations
        }
        self._detached = {
            item.generation_id: taken_at - item.detached_s
            for item in report.generations
            if not item.attached
        }
        self._watched = {
            name: units
            for name, units in self._watched.items()
            if name in self._snapshot
        }
        self._settle(now)

    def stop_accepting(self, reason: str) -> None:
        """Gives no more grants, for example since the endpoint leaves."""
        self._stopped = reason

    def accept(self) -> None:
        """Gives grants again."""
        self._stopped = ""

    def tick(self, now: float) -> Actions:
        """Returns what to do now; called several times a second."""
        cancel = []
        for name, detached_at in self._detached.items():
            again_at = self._cancelled_at.get(name, _NEVER) + _CANCEL_AGAIN_S
            if now - detached_at >= DETACHED_S and now >= again_at:
                cancel.append(name)
        self._cancelled_at = {
            name: at
            for name, at in self._cancelled_at.items()
            if name in self._detached
        }
        self._cancelled_at.update(dict.fromkeys(cancel, now))
        return Actions(cancel, read_load=self._wants_load(now))

    def status(self, now: float) -> Status:
        """Returns the state of the endpoint."""
        free = min(
            self._capacity(now, _MIN_GRANT_S) - self._charge(),
            self._open_capacity(now, _MIN_GRANT_S) - self._open(),
        )
        in_doubt = self._snapshot_at < self._blind_until
        return Status(
            self._endpoint,
            "" if in_doubt else self._incarnation,
            self._policy.limit,
            max(0, int(free)),
            self._refusal("", now),
            self.stamp(now),
        )

    def is_idle(self, now: float) -> bool:
        """Returns whether nobody delegates here, so that it may be dropped."""
        return all(now >= item.expires_at for item in self._accounts.values())

    def _account(self, member: str, now: float) -> _Account:
        account = self._accounts.get(member)
        if account is None:
            account = _Account(now)
            self._accounts[member] = account
        return account

    def _stamp_time(self, stamp: str, now: float) -> float | None:
        if not stamp or _ledger_of(stamp) != self._ledger_id:
            return None
        since = _time_of(stamp)
        return since if since <= now else None

    def _refusal(self, incarnation: str, now: float) -> str:
        name = self._endpoint
        if self._stopped:
            return f"Endpoint {name} takes no work: {self._stopped}."
        if self._draining:
            return f"Endpoint {name} takes no work: it is leaving."
        if incarnation and incarnation != self._incarnation:
            self._doubt(incarnation, now)
            return f"Endpoint {name} is not known as incarnation {incarnation}."
        if self._snapshot_at < self._blind_until:
            return f"Endpoint {name} has not reported its load yet."
        return ""

    def _room(self, most: int, least: int, now: float) -> tuple[int, float]:
        """Returns units to grant, 0 if none, and how long they are covered."""
        expiries = sorted(
            {item.expires_at for item in self._accounts.values()}, reverse=True
        )
        charge = self._charge()
        opened = self._open()
        for expires_at in expiries:
            left_s = expires_at - now
            if left_s < _MIN_GRANT_S:
                break
            free = self._capacity(now, left_s) - charge
            free_open = self._open_capacity(now, left_s) - opened
            # More than half of the parts: no other owner can do the same.
            if self._part(now, left_s) > 0.5:
                free = free if charge else max(free, least)
                free_open = free_open if opened else max(free_open, least)
            units = min(most, int(free), int(free_open))
            if units >= least:
                return units, min(left_s, GRANT_S)
        return 0, 0.0

    def _part(self, now: float, left_s: float) -> float:
        return sum(
            item.part
            for item in self._accounts.values()
            if item.expires_at - now >= left_s
        )

    def _capacity(self, now: float, left_s: float) -> float:
        # The margin undoes rounding in sums such as 3 x 1/3.
        return self._policy.limit * self._part(now, left_s) + 1e-6

    def _open_capacity(self, now: float, left_s: float) -> float:
        return self._policy.first_step * self._part(now, left_s) + 1e-6

    def _charge(self) -> int:
        charge = sum(item.charge() for item in self._accounts.values())
        claimed = self._claimed() if self._watched else set()
        for name, units in self._watched.items():
            if name not in claimed:
                # A generation of unknown size blocks the endpoint.
                charge += self._policy.memory_total if units is None else units
        return charge

    def _proven(self) -> int:
        """Returns the units of generations that have answered."""
        return sum(item.in_use for item in self._accounts.values())

    def _open(self) -> int:
        return sum(item.open_units() for item in self._accounts.values())

    def _claimed(self) -> set[str]:
        claimed: set[str] = set()
        for account in self._accounts.values():
            claimed |= account.claims
        return claimed

    def _blind(self, until: float) -> None:
        self._blind_until = max(self._blind_until, until)

    def _doubt(self, incarnation: str, now: float) -> None:
        # Only the endpoint itself says which incarnation is the present one.
        if incarnation not in self._ended:
            self._blind(now)

    def _restart(self, incarnation: str, now: float) -> None:
        first = not self._incarnation
        if not first:
            self._ended.append(self._incarnation)
            del self._ended[:-_ENDED_KEPT]
        self._incarnation = incarnation
        self._watched.clear()
        self._policy.reset(now)
        self._resumed = not first
        for account in self._accounts.values():
            account.clear()
        if first:
            # Delegations are still waiting for a snapshot of their own.
            self._blind_until = _NEVER
            return
        # Grants of the old incarnation may still be used until they expire.
        # What arrives of them is in the snapshot that ends the wait.
        self._blind_until = now + GRANT_S + DELIVERY_S

    def _settle(self, now: float) -> None:
        """Brings into force what waited for the snapshot that has come."""
        watch = False
        if _NEVER < self._blind_until <= self._snapshot_at:
            self._blind_until = _NEVER
            watch = True
        for member, account in list(self._accounts.items()):
            if account.is_settled(self._snapshot_at, now):
                del self._accounts[member]
                watch = True
        for account in self._accounts.values():
            watch = account.bring_into_force(self._snapshot_at) or watch
        if watch:
            self._watch_unclaimed()
        if watch and not self._resumed:
            self._resumed = True
            self._policy.resume(self._charge(), now)

    def _watch_unclaimed(self) -> None:
        claimed = self._claimed()
        for name, units in self._snapshot.items():
            if name not in claimed:
                self._watched[name] = units

    def _wants_load(self, now: float) -> bool:
        urgent = self._snapshot_at < self._blind_until <= now
        for account in self._accounts.values():
            since = account.pending_since
            if since is not None and now >= since + DELIVERY_S:
                urgent = True
        period_s = _LOAD_RETRY_S if urgent else _LOAD_PERIOD_S
        if now - self._load_asked_at < period_s:
            return False
        self._load_asked_at = now
        return True


class _Held:
    """What a member knows about its owner of one endpoint."""

    __slots__ = ("owner", "stamp", "stamped_at")

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.stamp = ""
        self.stamped_at = _NEVER


class _Account:
    """What an owner knows about one member."""

    __slots__ = (
        "part",
        "wanted_part",
        "pending_since",
        "delegated_at",
        "expires_at",
        "opened_at",
        "reported_at",
        "seen_at",
        "in_use",
        "open",
        "claims",
        "grants",
    )

    def __init__(self, now: float) -> None:
        self.part = 0.0
        self.wanted_part = 0.0
        self.pending_since: float | None = None
        self.delegated_at = _NEVER
        self.expires_at = _NEVER
        self.reported_at = _NEVER
        # First tokens may be older than the account by one report.
        self.opened_at = now - _SILENT_S
        self.seen_at = now
        self.clear()

    def lapse(self) -> None:
        """Ends the delegation; a new one waits for a snapshot again."""
        self.part = 0.0
        self.wanted_part = 0.0
        self.pending_since = None

    def clear(self) -> None:
        """Forgets all units: they were on an incarnation that has ended."""
        self.in_use = 0
        self.open = 0
        self.claims: frozenset[str] = frozenset()
        # Time and units of the grants that no report covers yet.
        self.grants: list[tuple[float, int]] = []

    def open_units(self) -> int:
        return self.open + sum(units for _, units in self.grants)

    def charge(self) -> int:
        return self.in_use + self.open_units()

    def is_settled(self, snapshot_at: float, now: float) -> bool:
        """Whether the member is silent and a snapshot shows all its work."""
        if now - self.seen_at < _SILENT_S or now < self.expires_at:
            return False
        last = max([self.seen_at, *[at for at, _ in self.grants]])
        return snapshot_at >= last + GRANT_S + DELIVERY_S

    def bring_into_force(self, snapshot_at: float) -> bool:
        """Raises the part if the snapshot is young enough."""
        if self.pending_since is None:
            return False
        if snapshot_at < self.pending_since + DELIVERY_S:
            return False
        self.pending_since = None
        self.part = self.wanted_part
        return True


def _ledger_of(stamp: str) -> str:
    return stamp.rpartition(_STAMP_SEPARATOR)[0]


def _time_of(stamp: str) -> float:
    try:
        return float(stamp.rpartition(_STAMP_SEPARATOR)[2])
    except ValueError:
        return _NEVER
