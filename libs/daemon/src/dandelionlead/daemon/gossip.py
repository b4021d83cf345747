"""Gossip with other processes, and polls of the platform."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.config import head as config_head
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.daemon import convert
from dandelionlead.membership import members
from dandelionlead.platform import api
from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from dandelionlead.admission import parts
    from dandelionlead.core import events
    from dandelionlead.daemon import rules
    from dandelionlead.membership import freshness

EXCHANGE_PERIOD_S = 1.0
EXCHANGES = 3
POLL_PERIOD_S = 1.0
LIST_PERIOD_S = 2.0
# Exchanges at one time when all members are told something at once.
_TELL_AT_ONCE = 64
# A part of the configuration is asked for from this many peers in turn.
_PART_PEERS = 2
# Silent peers must leave time for the store: a head that is known and not
# complete for 3 s stops this entry.
_PART_PEERS_S = 1.0
HEAD_KEY = api.Key(config_head.TABLE, config_head.KEY)
VERSION_KEY = api.Key(config_head.TABLE, config_head.VERSION_KEY)


class Extension:
    """News of another subsystem that travels with gossip; the default is none.

    Subclasses fill in and read fields of the message.
    """

    def fill(self, message: ttypes.Gossip) -> None:
        """Adds what this process knows to a message."""

    def read(self, message: ttypes.Gossip) -> None:
        """Takes in what a peer told."""


class Gossip:
    """Keeps members, rules and freshness up to date.

    Args:
        own_name: Name of this process.
        table: The members.
        fresh: Freshness of the rules.
        keeper: The rules.
        member_part: Counting of the members that carry parts of limits.
        platform: Table service, object store and instance list.
        call: Calls a method at a control address.
        log: Event log.
        changed: Called when other rules are in force.
    """

    def __init__(
        self,
        own_name: str,
        table: members.MemberTable,
        fresh: freshness.Freshness,
        keeper: rules.RulesKeeper,
        member_part: parts.MemberPart,
        platform: api.Platform,
        call: Callable[..., Any],
        log: events.Log,
        changed: Callable[[], None],
    ) -> None:
        self.extensions: list[Extension] = []
        # Further rows that are read with the head, and who gets them.
        self.watched: dict[api.Key, Callable[[api.Row | None], None]] = {}
        self._own_name = own_name
        self._table = table
        self._fresh = fresh
        self._keeper = keeper
        self._part = member_part
        self._platform = platform
        self._call = call
        self._log = log
        self._changed = changed
        self._rng = random.Random()
        self._peer_digests: dict[str, str] = {}
        self._peer_versions: dict[str, int] = {}
        self._state = ""
        self._fetching = False

    def poll_forever(self) -> None:
        """Reads the head once a second; a slow read does not stop the next."""
        while True:
            eventlet.spawn_n(self.poll_head)
            eventlet.sleep(POLL_PERIOD_S)
            self.judge()

    def list_forever(self) -> None:
        """Reads the platform's list of instances."""
        while True:
            self.poll_list()
            eventlet.sleep(LIST_PERIOD_S)

    def exchange_forever(self) -> None:
        """Exchanges gossip with a few members each second.

        The exchanges are spread over the second: started together, they left
        17% of 400 entries without a fresh majority in a common outage.
        """
        while True:
            now = clock.boottime()
            for name in self._table.tick(now):
                self._log.event("member_dead", member=name)
            for target in self._table.gossip_targets(self._rng, EXCHANGES):
                eventlet.spawn_n(self._exchange, target)
                eventlet.sleep(EXCHANGE_PERIOD_S / EXCHANGES)
            left_s = now + EXCHANGE_PERIOD_S - clock.boottime()
            eventlet.sleep(max(0.0, left_s))

    def tell_all(self) -> None:
        """Exchanges with all live members now; waits at most a call's time.

        Random exchanges take several seconds to reach all of 400 members.
        """
        pool = eventlet.GreenPool(_TELL_AT_ONCE)
        for target in self._table.live(clock.boottime()):
            if target.name != self._own_name:
                pool.spawn_n(self._exchange, target)
        with eventlet.Timeout(members.EXCHANGE_DEADLINE_S, False):
            pool.waitall()

    def poll_head(self) -> None:
        """Reads the version row, the other watched rows, and a new head."""
        sent_at = clock.boottime()
        keys = [VERSION_KEY, *self.watched]
        rows = self._platform.table.read(keys)
        if isinstance(rows, errors.Failure):
            self._fresh.platform_failed(clock.boottime())
            return
        version = config_head.version_from_plain(_value(rows[0]))
        self._keeper.heads.learn_version(version, sent_at)
        if self._keeper.heads.body_missing():
            self._read_head()
        self._complete()
        self._fresh.platform_confirmed(version, sent_at)
        for key, row in zip(keys[1:], rows[1:], strict=True):
            self.watched[key](row)

    def _read_head(self) -> None:
        rows = self._platform.table.read([HEAD_KEY])
        if isinstance(rows, errors.Failure):
            return
        head = config_head.from_plain(_value(rows[0]))
        if isinstance(head, errors.Failure):
            self._log.event("head_not_readable", reason=head.reason)
            return
        self._keeper.learn(convert.head_from_wire(head), clock.boottime())

    def poll_list(self) -> None:
        """Reads the platform's list of instances."""
        sent_at = clock.boottime()
        listed = self._platform.instances.fetch()
        if isinstance(listed, errors.Failure):
            return
        self._table.observe_listed(listed, clock.boottime())
        self._part.listed(_entry_names(listed), sent_at)

    def notify(self, message: ttypes.ConfigHead) -> ttypes.NotifyReply:
        """Takes in a head that an operator has committed."""
        self._learn(convert.head_from_wire(message))
        version = self._keeper.heads.version
        reason = self._keeper.fault if version < message.version else ""
        return ttypes.NotifyReply(version_in_force=version, reason=reason)

    def answer(self, message: ttypes.Gossip) -> ttypes.Gossip:
        """Takes in a peer's gossip and returns this process's own.

        The peer's freshness is not taken in here: its request may have waited
        in a socket for any time.
        """
        self._take_in(message, recent=False)
        limit = self._table.message_limit(message.sender)
        return self._message(message.sender, limit, answering=True)

    def judge(self) -> None:
        """Judges freshness now and logs changes of the state."""
        now = clock.boottime()
        verdict = self._fresh.verdict(now, self._table)
        state = verdict.state.value
        usable = self._fresh.may_dispatch(now)
        if usable:
            self._part.fresh(now, common_outage=state == "common_outage")
        if state != self._state:
            self._log.event("rules_state", state=state, reason=verdict.reason)
            self._state = state

    def _exchange(self, target: members.MemberState) -> None:
        sent_at = clock.boottime()
        limit = self._table.message_limit("")
        message = self._message(target.name, limit, answering=False)
        reply = self._call(target.control_address, "exchange", message)
        now = clock.boottime()
        if isinstance(reply, errors.Failure):
            refused = "refused" in reply.reason
            self._table.exchange_failed(target.name, now, refused=refused)
            return
        self._table.heard_from(target.name, now)
        recent = now - sent_at <= members.EXCHANGE_DEADLINE_S
        self._take_in(reply, recent=recent)
        report = reply.freshness
        self._fresh.peer_report(
            target.name,
            report.head_version or 0,
            report.confirmed_s_ago,
            report.platform_failed_s_ago,
            sent_at,
            vouchers=report.vouchers or b"",
        )

    def _take_in(self, message: ttypes.Gossip, *, recent: bool) -> None:
        now = clock.boottime()
        states = [
            convert.member_from_wire(item) for item in message.members or []
        ]
        self._table.merge(states, now)
        self._take_counts(message, now, recent=recent)
        if message.freshness is not None:
            known = message.freshness.head_version or 0
            self._peer_versions[message.sender] = known
        if message.head is not None:
            self._learn(convert.head_from_wire(message.head))
        elif message.freshness is not None:
            self._keeper.heads.learn_version(
                message.freshness.head_version or 0, now
            )
        for extension in self.extensions:
            extension.read(message)

    def _take_counts(
        self, message: ttypes.Gossip, now: float, *, recent: bool
    ) -> None:
        self._peer_digests[message.sender] = message.counts_digest or ""
        counts = message.counts
        if counts is None:
            mine = self._counts()
            if _digest(mine) != message.counts_digest:
                return
            counts = mine
        own = self._table.own
        # Only a recent word binds the peer: a request may have waited since
        # before a pause of this process.
        counts_me = recent and counts.get(own.name) == own.incarnation
        self._part.heard(message.sender, counts, counts_me, now)

    def _message(
        self, receiver: str, limit: int, *, answering: bool
    ) -> ttypes.Gossip:
        now = clock.boottime()
        heads = self._keeper.heads
        # A head of 64 parts takes 5 KB, so it is sent only to a peer that is
        # known to lag; any other learns its version and gets it in an answer.
        known_version = self._peer_versions.get(receiver, heads.highest_known)
        counts = self._counts()
        digest = _digest(counts)
        same = self._peer_digests.get(receiver) == digest
        message = ttypes.Gossip(
            sender=self._own_name,
            members=[
                convert.member_to_wire(item)
                for item in self._table.states_for_message(limit, to=receiver)
            ],
            head=convert.head_to_wire(heads.head_for_message(known_version)),
            freshness=convert.freshness_to_wire(
                self._fresh.report(now, answering=answering)
            ),
            counts_digest=digest,
            counts=None if same else counts,
        )
        for extension in self.extensions:
            extension.fill(message)
        return message

    def _counts(self) -> dict[str, int]:
        counts = self._part.counted(clock.boottime())
        own = self._table.own
        if own.role != members.ROLE_STEWARD:
            counts[own.name] = own.incarnation
        return counts

    def _learn(self, head: Any) -> None:
        self._keeper.learn(head, clock.boottime())
        self._complete()

    def _complete(self) -> None:
        if self._fetching:
            return
        self._fetching = True
        try:
            if self._keeper.missing():
                self._fetch_from_peers()
            if self._keeper.missing():
                self._fetch_from_store()
            current = self._keeper.advance()
        finally:
            self._fetching = False
        if current is not None:
            self._log.event("rules_in_force", version=current.version)
            self._changed()

    def _fetch_from_peers(self) -> None:
        ends_at = clock.boottime() + _PART_PEERS_S
        peers = self._table.gossip_targets(self._rng, _PART_PEERS)
        for peer in peers:
            missing = self._keeper.missing()
            if not missing or clock.boottime() >= ends_at:
                return
            found = self._call(peer.control_address, "get_parts", missing)
            if not isinstance(found, errors.Failure):
                self._keeper.add_parts(found)

    def _fetch_from_store(self) -> None:
        pile = eventlet.GreenPile(8)
        missing = self._keeper.missing()
        for digest in missing:
            pile.spawn(self._platform.objects.get, digest)
        for digest, data in zip(missing, pile, strict=True):
            if isinstance(data, errors.Failure):
                self._log.event(
                    "part_not_fetched", digest=digest, reason=data.reason
                )
            else:
                self._keeper.add_parts({digest: data})


def _value(row: api.Row | None) -> dict[str, Any] | None:
    return None if row is None else row.value


def _digest(counts: dict[str, int]) -> str:
    text = ",".join(f"{name}={counts[name]}" for name in sorted(counts))
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _entry_names(listed: list[api.Listed]) -> list[str]:
    # Only entries have an address for callers.
    return [item.name for item in listed if item.http]
