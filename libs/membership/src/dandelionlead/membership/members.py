"""Table of the members that a process knows, kept by gossip."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dandelionlead.platform import api

LIVE = 0
SUSPECT = 1
LEAVING = 2
DEAD = 3

ROLE_ENTRY = "entry"
# An entry that is not ready is a member, but callers do not get its address.
ROLE_ENTRY_NOT_READY = "entry_not_ready"
ROLE_STEWARD = "steward"
# A member that only the platform's list has named so far.
ROLE_UNKNOWN = ""

# A suspect has this long to hear of the suspicion and raise its incarnation.
SUSPECT_TIMEOUT_S = 4.0
# Dead members stay known this long, so that old news does not revive them.
FORGET_AFTER_S = 600.0
# Deadline of an exchange. A failure that is seen less than this after an answer
# belongs to an exchange that was sent before the answer came.
EXCHANGE_DEADLINE_S = 1.0
# One failed exchange may be a silent connection; the second used a new one.
FAILURES_TO_SUSPECT = 2
# A member that disproved this process's suspicion is not suspected again for
# this long, doubled each time: the fault is probably the link between the two.
BACKOFF_FIRST_S = 10.0
BACKOFF_MAX_S = 40.0
# A longer time between two ticks means that this process was paused.
TICK_GAP_S = 2.0
# States in one message. At 75 bytes a state and 12 messages a second (3
# exchanges started and 3 answered, both ways) this is 5.4 KB/s of the 17 KB/s.
MESSAGE_STATES = 6
# States in one message while many members change, as when a zone is lost:
# 13.6 KB/s for some seconds.
BURST_STATES = 14
# News sent fewer times than this is pending.
_PENDING_SENDS = 4
# A change is sent this many times the logarithm of the member count.
RESEND_FACTOR = 3
# Every so many rounds one target is a dead member that the platform still
# lists, so that two sides of a healed partition find each other again.
DEAD_TARGET_ROUNDS = 5


class MemberState:
    """What one process says of a member; the fields of the peer message.

    Attributes:
        name: Name of the process.
        availability_zone: Its availability zone.
        http_address: Address for callers, `ip:port`.
        control_address: Address for other processes, `ip:port`.
        incarnation: Raised only by the member itself; 0 if only listed.
        state: `LIVE`, `SUSPECT`, `LEAVING` or `DEAD`.
        role: One of the `ROLE_` constants.
    """

    __slots__ = (
        "name",
        "availability_zone",
        "http_address",
        "control_address",
        "incarnation",
        "state",
        "role",
    )

    def __init__(
        self,
        name: str,
        availability_zone: str,
        http_address: str,
        control_address: str,
        incarnation: int,
        state: int,
        role: str,
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.http_address = http_address
        self.control_address = control_address
        self.incarnation = incarnation
        self.state = state
        self.role = role

    def replaced(
        self,
        *,
        incarnation: int | None = None,
        state: int | None = None,
        role: str | None = None,
    ) -> MemberState:
        """Returns a copy with some fields replaced."""
        return MemberState(
            self.name,
            self.availability_zone,
            self.http_address,
            self.control_address,
            self.incarnation if incarnation is None else incarnation,
            self.state if state is None else state,
            self.role if role is None else role,
        )

    def supersedes(self, other: MemberState) -> bool:
        """Whether this news of a member replaces the other."""
        mine = (self.incarnation, self.state)
        return mine > (other.incarnation, other.state)

    def __repr__(self) -> str:
        return f"MemberState({self.name} {self.incarnation} {self.state})"


class MemberTable:
    """The members that one process knows, itself included.

    States travel by gossip. For one member the higher incarnation wins, then
    the higher state. Times are seconds of `clock.boottime()`.
    """

    def __init__(self, own: MemberState, now: float) -> None:
        """Starts a table that knows only its own process.

        Args:
            own: State of this process. Its incarnation must be higher than in
                every earlier life of the name; milliseconds since the epoch
                at the start of the process are.
            now: Present time.
        """
        self._own_name = own.name
        self._records = {own.name: _Record(own, now)}
        self._listed: dict[str, str] = {}
        self._listed_at = -math.inf
        self._last_tick = now
        self._cursor = 0
        self._round = 0
        self._synced: dict[str, int] = {}

    @property
    def own(self) -> MemberState:
        """State of this process."""
        return self._records[self._own_name].state

    def get(self, name: str) -> MemberState | None:
        """Returns what is known of a member."""
        record = self._records.get(name)
        return None if record is None else record.state

    def all(self) -> list[MemberState]:
        """Returns every known member, the dead included, sorted by name."""
        return [self._records[name].state for name in sorted(self._records)]

    def live(self, now: float) -> list[MemberState]:
        """Returns the members that are live now, this process included."""
        self.tick(now)
        return [item for item in self.all() if item.state == LIVE]

    def addresses(self, now: float) -> list[MemberState]:
        """Returns the entries that callers should use now."""
        return [
            item
            for item in self.live(now)
            if item.role == ROLE_ENTRY
            and self._listed.get(item.name) != "leaving"
        ]

    def voters(self) -> set[str]:
        """Returns the entries whose majority decides on a common outage.

        A dead entry counts until it is known to have left, or until a list
        of the platform that was read after its death no longer shows it as
        live. The set therefore does not shrink because of a partition. An
        entry that left counts again while a later list shows it as live.
        """
        return {
            name
            for name, record in self._records.items()
            if self._votes(record)
        }

    def merge(self, states: Iterable[MemberState], now: float) -> list[str]:
        """Merges states from a message; returns the names that changed."""
        changed = []
        for state in states:
            if state.name == self._own_name:
                self._defend(state, now)
            elif self._take(state, now):
                changed.append(state.name)
        return changed

    def heard_from(self, name: str, now: float) -> None:
        """Notes that a member answered an exchange."""
        record = self._records.get(name)
        if record is not None:
            record.failures = 0
            record.heard_at = now

    def exchange_failed(
        self, name: str, now: float, *, refused: bool = False
    ) -> None:
        """Notes that an exchange with a member failed.

        Args:
            name: The member.
            now: Present time.
            refused: Whether the connection was refused, which shows that no
                process listens there, so that one failure is enough.
        """
        record = self._records.get(name)
        if record is None or name == self._own_name:
            return
        if not refused and now - record.heard_at < EXCHANGE_DEADLINE_S:
            return
        record.failures += 1
        if not refused and record.failures < FAILURES_TO_SUSPECT:
            return
        if record.state.state != LIVE:
            return
        if not refused and now < record.no_suspicion_until:
            return
        record.suspected_here = True
        self._set(record, record.state.replaced(state=SUSPECT), now)

    def observe_listed(self, listed: Sequence[api.Listed], now: float) -> None:
        """Takes in the platform's list, which lags.

        Unknown instances become members to talk to, but callers do not get
        their addresses before gossip confirms them. An instance that is
        listed as leaving is no longer given to callers. The list never makes
        a member dead, and never revives one.
        """
        self._listed = {item.name: item.state for item in listed}
        self._listed_at = now
        for item in listed:
            if item.name not in self._records and item.state == "live":
                self._records[item.name] = _Record(_from_list(item), now)

    def leave(self, now: float) -> None:
        """Announces that this process leaves; it cannot be taken back."""
        own = self._records[self._own_name]
        if own.state.state == LEAVING:
            return
        incarnation = own.state.incarnation + 1
        leaving = own.state.replaced(incarnation=incarnation, state=LEAVING)
        self._set(own, leaving, now)

    def set_ready(self, ready: bool, now: float) -> None:
        """Announces whether callers should use this entry."""
        own = self._records[self._own_name]
        role = ROLE_ENTRY if ready else ROLE_ENTRY_NOT_READY
        if own.state.role in (role, ROLE_STEWARD):
            return
        incarnation = own.state.incarnation + 1
        self._set(
            own, own.state.replaced(incarnation=incarnation, role=role), now
        )

    def tick(self, now: float) -> list[str]:
        """Lets time pass; returns the members that are dead from now on."""
        gap_s = now - self._last_tick
        self._last_tick = max(now, self._last_tick)
        if gap_s > TICK_GAP_S:
            # While this process was paused it could not hear a suspect's
            # answer, so the pause does not count against the suspects.
            for record in self._records.values():
                record.since += gap_s
        died = []
        for name, record in list(self._records.items()):
            age_s = now - record.since
            if record.state.state == SUSPECT and age_s >= SUSPECT_TIMEOUT_S:
                self._set(record, record.state.replaced(state=DEAD), now)
                died.append(name)
            elif self._forgettable(record, age_s):
                del self._records[name]
                self._synced.pop(name, None)
        return died

    def gossip_targets(
        self, rng: random.Random, count: int
    ) -> list[MemberState]:
        """Chooses the members for the next round of exchanges.

        Members whose last exchange failed come first, so that a second
        failure or an answer follows soon.
        """
        self._round += 1
        peers = [r for n, r in self._records.items() if n != self._own_name]
        alive = [r for r in peers if r.state.state != DEAD]
        rng.shuffle(alive)
        alive.sort(key=lambda r: r.failures != 1)
        chosen = alive[:count]
        if self._round % DEAD_TARGET_ROUNDS == 0 or not chosen:
            dead = [
                r
                for r in peers
                if r.state.state == DEAD and r.state.name in self._listed
            ]
            if dead:
                chosen = [*chosen[: count - 1], rng.choice(dead)]
        return [record.state for record in chosen]

    def states_for_message(
        self, limit: int | None = None, *, to: str = ""
    ) -> list[MemberState]:
        """Chooses the states for one message, at most `limit`.

        The own state is always first, then what this process wrongly or
        rightly believes of the receiver, then the news sent least often, then
        a walk through the table, which repairs lost news.

        Args:
            limit: Most states in the message; by default `MESSAGE_STATES`, or
                `BURST_STATES` while many changes are pending.
            to: Name of the receiver, if known.
        """
        if limit is None:
            limit = self.message_limit("")
        chosen = {self._own_name: self._records[self._own_name]}
        receiver = self._records.get(to)
        if receiver is not None and receiver.state.state != LIVE:
            chosen[to] = receiver
        self._add_news(chosen, limit)
        self._add_walk(chosen, limit)
        return [record.state for record in chosen.values()][:limit]

    def message_limit(self, sender: str) -> int:
        """Returns how many states the answer to a sender should hold.

        An entry that is not ready gets the whole table once for each of its
        incarnations, so that it knows how many members there are.
        """
        record = self._records.get(sender)
        if record is None or record.state.role != ROLE_ENTRY_NOT_READY:
            return self._usual_limit()
        if self._synced.get(sender) == record.state.incarnation:
            return self._usual_limit()
        self._synced[sender] = record.state.incarnation
        return max(MESSAGE_STATES, len(self._records))

    def _usual_limit(self) -> int:
        pending = sum(
            record.sent < _PENDING_SENDS and record.state.state != LIVE
            for record in self._records.values()
        )
        return BURST_STATES if pending > MESSAGE_STATES else MESSAGE_STATES

    def _defend(self, state: MemberState, now: float) -> None:
        own = self._records[self._own_name]
        if not state.supersedes(own.state):
            return
        if own.state.state == LEAVING and not (
            state.incarnation > own.state.incarnation
        ):
            return
        # A higher incarnation than the present one stems from an earlier life
        # of the name with a clock that was ahead; it is overtaken likewise.
        incarnation = state.incarnation + 1
        self._set(own, own.state.replaced(incarnation=incarnation), now)

    def _take(self, state: MemberState, now: float) -> bool:
        record = self._records.get(state.name)
        if record is None:
            self._records[state.name] = _Record(state, now)
            return True
        if not state.supersedes(record.state):
            return False
        if state.incarnation > record.state.incarnation:
            self._refuted(record, now)
        self._set(record, state, now)
        return True

    def _refuted(self, record: _Record, now: float) -> None:
        if not record.suspected_here:
            return
        record.suspected_here = False
        record.failures = 0
        record.backoff_s = min(
            BACKOFF_MAX_S, max(BACKOFF_FIRST_S, record.backoff_s * 2)
        )
        record.no_suspicion_until = now + record.backoff_s

    def _set(self, record: _Record, state: MemberState, now: float) -> None:
        if state.incarnation > record.state.incarnation:
            record.left = False
        if state.state == LEAVING:
            record.left = True
        record.state = state
        record.since = now
        record.sent = 0

    def _votes(self, record: _Record) -> bool:
        if record.state.role == ROLE_STEWARD:
            return False
        ended = record.left or record.state.state == DEAD
        if not ended:
            return True
        listed = self._listed.get(record.state.name)
        if self._listed_at > record.since:
            # The platform may know a later life of the name.
            return listed == "live"
        return not record.left

    def _forgettable(self, record: _Record, age_s: float) -> bool:
        if record.state.state != DEAD or age_s < FORGET_AFTER_S:
            return False
        return not self._votes(record) and record.state.name not in self._listed

    def _add_news(self, chosen: dict[str, _Record], limit: int) -> None:
        times = RESEND_FACTOR * math.ceil(math.log2(len(self._records) + 1))
        news = [
            (record.sent + (record.state.state == DEAD), -record.since, name)
            for name, record in self._records.items()
            if record.sent < times and record.state.incarnation > 0
        ]
        for _, _, name in sorted(news):
            if len(chosen) >= limit:
                return
            if name not in chosen:
                self._records[name].sent += 1
                chosen[name] = self._records[name]

    def _add_walk(self, chosen: dict[str, _Record], limit: int) -> None:
        names = list(self._records)
        for _ in range(len(names)):
            if len(chosen) >= limit:
                return
            self._cursor = (self._cursor + 1) % len(names)
            record = self._records[names[self._cursor]]
            if record.state.incarnation > 0:
                chosen[record.state.name] = record


class _Record:
    """A member's state and what only this process notes about it."""

    __slots__ = (
        "state",
        "since",
        "sent",
        "failures",
        "heard_at",
        "left",
        "suspected_here",
        "backoff_s",
        "no_suspicion_until",
    )

    def __init__(self, state: MemberState, now: float) -> None:
        self.state = state
        self.since = now
        self.sent = 0
        self.failures = 0
        self.heard_at = -math.inf
        self.left = state.state == LEAVING
        self.suspected_here = False
        self.backoff_s = 0.0
        self.no_suspicion_until = -math.inf


def _from_list(item: api.Listed) -> MemberState:
    return MemberState(
        item.name,
        item.availability_zone,
        item.http,
        item.control,
        0,
        LIVE,
        ROLE_UNKNOWN,
    )
