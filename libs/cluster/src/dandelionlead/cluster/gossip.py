"""Spreads the state of each process to all others by gossip.

A process sends each message to a few others, drawn at random, and these pass on
what is new to them. What a process sends and receives therefore does not grow
with the number of processes, but for the changes themselves. Every message also
contains beats and digests of some processes: beats show which processes are
alive, and digests show what a process has missed, so that it can request it.

With few processes, each message goes to all of them, and nothing is passed on.

The module has no sockets and no clock of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dandelionlead.cluster import load_replicas
from dandelionlead.cluster import news_spreading
from dandelionlead.cluster import own_loads
from dandelionlead.cluster import roster
from dandelionlead.cluster import rumors
from dandelionlead.cluster import state_handler
from dandelionlead.cluster import state_requests
from dandelionlead.cluster import timed_limit
from dandelionlead.cluster.gen import ttypes

# Time between two rounds. A message with changes serves as the next round if
# this share of the time has passed, so that fewer messages are sent.
ROUND_INTERVAL_S = 0.3
_ROUND_DUE_SHARE = 0.8
# Number of beats in the message of a round: at least this many, and at least
# this fraction of all. Largest number of digests.
_MIN_BEATS = 100
_BEATS_FRACTION = 0.28
_MAX_DIGESTS = 40
# Largest numbers of items in one message.
_MAX_UPDATES = 128
_MAX_STATES = 32
_MAX_SNAPSHOTS = 16
# Number of messages, each to `roster.FANOUT` processes, that contain an item.
# Updates of loads that do not arrive are requested; news and states are few.
_LOAD_SENDS = 1
_STATE_SENDS = 1
# Unit of the ages of beats in seconds, and the oldest beat that is passed on.
_BEAT_UNIT_S = 0.05
_MAX_BEAT_AGE_S = 3.0


class Gossip:
    """State of the protocol in one process.

    Args:
        process_id: Id of this process.
        members: The other processes.
        handler: Provides and applies state.
        rng: Draws beats, digests and repeated news.
        request_send: Called when there is something to send; the argument
            states whether it is urgent.
    """

    def __init__(
        self,
        process_id: int,
        members: roster.Roster,
        handler: state_handler.StateHandler,
        rng: random.Random,
        request_send: Callable[[bool], None],
    ) -> None:
        self._process_id = process_id
        self._members = members
        self._handler = handler
        self._rng = rng
        self._request_send = request_send
        self._replicas: dict[int, load_replicas.Replica] = {}
        # Members that were live in the last round, by id.
        self._live: dict[int, roster.Member] = {}
        self._own_state: ttypes.MemberState | None = None
        self._is_state_changed = True
        self._own_loads = own_loads.OwnLoads(process_id, handler)
        self._updates: rumors.RumorQueue[own_loads.Update] = rumors.RumorQueue(
            _LOAD_SENDS, _MAX_UPDATES
        )
        self._states: rumors.RumorQueue[ttypes.MemberState] = rumors.RumorQueue(
            _STATE_SENDS, _MAX_STATES
        )
        self._news = news_spreading.NewsSpreading(handler, rng)
        self._requests = state_requests.StateRequests(process_id, members)
        self._is_news_changed = False
        self._is_announcement_due = False
        self._last_round_s = float("-inf")

    def note_load_changed(self, endpoint_id: str) -> None:
        """Schedules an update of the own load at an endpoint."""
        self._own_loads.note_changed(endpoint_id)
        self._request_send(False)

    def note_limit_changed(self, endpoint_id: str) -> None:
        """Schedules an update for an endpoint whose limit all must share.

        It is urgent: while it is on its way, others send requests that count
        towards the limit.
        """
        self._own_loads.note_changed(endpoint_id)
        self._request_send(True)

    def note_state_changed(self) -> None:
        """Schedules what this process says of itself, if it has changed."""
        self._is_state_changed = True
        self._request_send(True)

    def note_news(self) -> None:
        """Schedules what this process has found out, if it is new."""
        self._is_news_changed = True
        self._request_send(True)

    def note_tables_changed(self) -> None:
        """Schedules a message with the versions of the tables."""
        self._is_announcement_due = True
        self._request_send(True)

    def has_changes(self) -> bool:
        """Returns whether a message has anything to pass on."""
        return bool(
            self._own_loads.has_changes()
            or self._is_state_changed
            or self._is_news_changed
            or self._is_announcement_due
            or self._updates
            or self._states
            or self._news
        )

    def is_round_due(self, now_s: float) -> bool:
        """Returns whether a round is due."""
        since_s = now_s - self._last_round_s
        return since_s >= _ROUND_DUE_SHARE * ROUND_INTERVAL_S

    def build_change(self, now_s: float) -> ttypes.Gossip | None:
        """Returns a message with what has changed; None if nothing has.

        It is the message of a round if one is due.
        """
        if self.is_round_due(now_s):
            return self.build_round(now_s)
        self._collect_own_changes(now_s)
        if not (
            self._is_announcement_due
            or self._updates
            or self._states
            or self._news
        ):
            return None
        message = self._build_message(now_s)
        self._add_changes(message, now_s)
        return message

    def build_round(self, now_s: float) -> ttypes.Gossip:
        """Returns the message of a round, and updates which members are live.

        To be called at regular intervals if a round is due.
        """
        self._last_round_s = now_s
        self._update_live_members(now_s)
        self._own_loads.find_changed()
        self._is_state_changed = self._is_news_changed = True
        self._collect_own_changes(now_s)
        message = self._build_message(now_s)
        self._add_changes(message, now_s)
        self._add_beats(message, now_s)
        self._add_digests(message)
        message.news = message.news or self._news.draw_repeated(now_s)
        return message

    def handle(
        self, message: ttypes.Gossip, host: str, now_s: float
    ) -> list[ttypes.Gossip]:
        """Processes a message.

        Args:
            message: The message.
            host: Host of its sender.
            now_s: Current time in seconds of `clock.boottime`.

        Returns:
            Messages to be sent to that host alone.
        """
        if message.process == self._process_id:
            return []
        self._members.note_beat(message.process, now_s)
        self._handle_states(message, now_s)
        self._handle_beats(message, now_s)
        wanted_loads = self._handle_digests(message, now_s)
        self._handle_updates(message, now_s)
        self._handle_snapshots(message, now_s)
        self._handle_news(message, now_s)
        self._handler.apply_table_versions(host, _decode_tables(message, now_s))
        replies = self._build_replies(message, now_s)
        request = self._build_request(message, wanted_loads, now_s)
        if request is not None:
            replies.append(request)
        return replies

    # Own changes.

    def _collect_own_changes(self, now_s: float) -> None:
        """Queues what has changed in this process since the last message."""
        if self._own_loads.has_changes():
            for update in self._own_loads.take_updates(now_s):
                self._updates.add((update.process_id, update.number), update)
        if self._is_state_changed:
            self._is_state_changed = False
            self._queue_own_state(now_s)
        if self._is_news_changed:
            self._is_news_changed = False
            self._news.collect(now_s, passes_on=True)

    def _queue_own_state(self, now_s: float) -> None:
        current = self._own_state
        version = current.version if current is not None else 0
        state = self._handler.build_state(version, now_s)
        if state == current:
            return
        state.version = version + 1
        self._own_state = state
        self._states.add(self._process_id, state)

    # Messages.

    def _build_message(self, now_s: float) -> ttypes.Gossip:
        versions = self._handler.get_table_versions()
        return ttypes.Gossip(
            process=self._process_id,
            orders_version=versions.orders_version,
            endpoints_version=versions.endpoints_version,
            orders_confirmed_ms_ago=_ms_since(
                versions.orders_confirmed_s, now_s
            ),
            endpoints_confirmed_ms_ago=_ms_since(
                versions.endpoints_confirmed_s, now_s
            ),
            reaches_all=self._members.is_direct(),
        )

    def _add_changes(self, message: ttypes.Gossip, now_s: float) -> None:
        """Adds what is queued to a message for some processes."""
        self._is_announcement_due = False
        updates = self._updates.take()
        if updates:
            message.loads = load_replicas.pack_updates(
                (item.process_id, item.number, item.load) for item in updates
            )
            message.limits = [
                ttypes.LimitUpdate(
                    item.process_id,
                    item.number,
                    item.limit.build_message(now_s),
                )
                for item in updates
                if item.limit is not None
            ] or None
        message.states = self._states.take() or None
        message.news = self._news.take()

    def _add_beats(self, message: ttypes.Gossip, now_s: float) -> None:
        recent = [
            member
            for member in self._members.list_members()
            if now_s - member.beat_s <= _MAX_BEAT_AGE_S
        ]
        count = max(_MIN_BEATS, int(_BEATS_FRACTION * len(recent)))
        if len(recent) > count:
            recent = self._rng.sample(recent, count)
        if recent:
            message.beats = ttypes.Beats(
                [member.process_id for member in recent],
                [_encode_age(now_s - member.beat_s) for member in recent],
            )

    def _add_digests(self, message: ttypes.Gossip) -> None:
        members = list(self._live.values())
        if len(members) > _MAX_DIGESTS:
            members = self._rng.sample(members, _MAX_DIGESTS)
        own_version = self._own_state.version if self._own_state else 0
        message.digests = ttypes.Digests(
            [self._process_id, *(member.process_id for member in members)],
            [own_version, *(member.state.version for member in members)],
            [
                self._own_loads.number,
                *(
                    self._replicas[member.process_id].complete_number
                    for member in members
                ),
            ],
        )

    def _build_replies(
        self, message: ttypes.Gossip, now_s: float
    ) -> list[ttypes.Gossip]:
        """Returns messages with the states and loads that were requested."""
        states = [
            state
            for state in map(self._find_state, message.wanted_states or ())
            if state is not None
        ]
        if message.wants_all_states:
            states = [
                member.state for member in self._members.live_members(now_s)
            ]
            if self._own_state is not None:
                states.append(self._own_state)
        snapshots = [
            snapshot
            for snapshot in (
                self._build_snapshot(process_id, now_s)
                for process_id in message.wanted_loads or ()
            )
            if snapshot is not None
        ][:_MAX_SNAPSHOTS]
        replies = []
        for start in range(0, max(len(states), len(snapshots)), _MAX_STATES):
            reply = self._build_message(now_s)
            reply.reaches_all = True
            reply.states = states[start : start + _MAX_STATES] or None
            reply.snapshots = snapshots[start : start + _MAX_STATES] or None
            replies.append(reply)
        return replies

    def _find_state(self, process_id: int) -> ttypes.MemberState | None:
        if process_id == self._process_id:
            return self._own_state
        member = self._members.get(process_id)
        return member.state if member is not None else None

    def _build_snapshot(
        self, process_id: int, now_s: float
    ) -> ttypes.LoadSnapshot | None:
        if process_id == self._process_id:
            return self._own_loads.build_snapshot(now_s)
        replica = self._replicas.get(process_id)
        if replica is None:
            return None
        return ttypes.LoadSnapshot(
            process_id,
            replica.complete_number,
            replica.list_loads(),
            [item.build_message(now_s) for item in replica.limits.values()],
        )

    def _build_request(
        self, message: ttypes.Gossip, wanted_loads: list[int], now_s: float
    ) -> ttypes.Gossip | None:
        """Returns a request for what the sender of a message has; or None."""
        wanted_states = self._requests.choose(message, now_s)
        wants_all = self._requests.must_request_all(now_s)
        if not (wanted_states or wanted_loads or wants_all):
            return None
        request = self._build_message(now_s)
        request.reaches_all = True
        request.wanted_states = wanted_states or None
        request.wanted_loads = wanted_loads[:_MAX_SNAPSHOTS] or None
        request.wants_all_states = wants_all or None
        return request

    # Received messages.

    def _handle_states(self, message: ttypes.Gossip, now_s: float) -> None:
        for state in message.states or ():
            member, replaced = self._members.accept_state(state, now_s)
            if replaced is not None:
                self._drop(replaced)
            if member is None:
                continue
            self._replicas.setdefault(
                member.process_id, load_replicas.Replica()
            )
            if member.process_id in self._live or replaced is not None:
                self._handler.apply_state(state)
            if not message.reaches_all:
                self._states.add(member.process_id, state)
                self._request_send(False)

    def _handle_beats(self, message: ttypes.Gossip, now_s: float) -> None:
        if message.beats is None:
            return
        for process_id, age in zip(
            message.beats.processes, message.beats.ages, strict=True
        ):
            self._members.note_beat(process_id, now_s - age * _BEAT_UNIT_S)

    def _handle_digests(
        self, message: ttypes.Gossip, now_s: float
    ) -> list[int]:
        """Returns the ids of the processes whose loads to request."""
        if message.digests is None:
            return []
        wanted = []
        for process_id, number in zip(
            message.digests.processes,
            message.digests.load_numbers,
            strict=True,
        ):
            replica = self._replicas.get(process_id)
            if replica is None:
                continue
            replica.mention(number, now_s)
            if number > replica.complete_number and replica.must_request(now_s):
                wanted.append(process_id)
        return wanted

    def _handle_updates(self, message: ttypes.Gossip, now_s: float) -> None:
        if message.loads is None:
            return
        limits = {
            (item.process, item.number): item.limit
            for item in message.limits or ()
        }
        for process_id, number, load in load_replicas.unpack_updates(
            message.loads
        ):
            replica = self._replicas.get(process_id)
            if replica is None:
                continue
            is_newest = replica.accept(number, load, now_s)
            if is_newest is None:
                continue
            limit = limits.get((process_id, number))
            member = self._members.get(process_id)
            if is_newest and process_id in self._live:
                self._handler.apply_load(member.state.node, load)
            if limit is not None:
                self._handler.apply_limit(member, limit, now_s)
                limit = timed_limit.TimedLimit(limit, now_s)
                replica.limits[load.endpoint_id] = limit
            if not message.reaches_all:
                update = own_loads.Update(process_id, number, load, limit)
                self._updates.add((process_id, number), update)
                self._request_send(limit is not None)

    def _handle_snapshots(self, message: ttypes.Gossip, now_s: float) -> None:
        for snapshot in message.snapshots or ():
            replica = self._replicas.get(snapshot.process)
            if replica is None or not replica.accept_snapshot(snapshot, now_s):
                continue
            member = self._members.get(snapshot.process)
            if snapshot.process in self._live:
                self._handler.replace_loads(
                    member.state.node, replica.list_loads()
                )
            for limit in snapshot.limits:
                self._handler.apply_limit(member, limit, now_s)

    def _handle_news(self, message: ttypes.Gossip, now_s: float) -> None:
        if message.news is None:
            return
        self._news.collect(now_s, passes_on=True)
        self._handler.apply_news(message.news, now_s)
        self._news.collect(now_s, passes_on=not message.reaches_all)
        if self._news:
            self._request_send(True)

    # Members.

    def _update_live_members(self, now_s: float) -> None:
        """Applies or drops the state of members that are live or not any more.

        Also drops what is known of members that are silent for long.
        """
        for member in self._members.remove_silent(now_s):
            self._drop(member)
        live = {
            member.process_id: member
            for member in self._members.live_members(now_s)
        }
        for process_id, member in self._live.items():
            if process_id not in live:
                self._handler.forget(member.state)
        for process_id, member in live.items():
            if process_id not in self._live:
                self._handler.apply_state(member.state)
                self._handler.replace_loads(
                    member.state.node, self._replicas[process_id].list_loads()
                )
        self._live = live
        self._requests.drop_old(now_s)

    def _drop(self, member: roster.Member) -> None:
        """Drops what is known of a member."""
        self._replicas.pop(member.process_id, None)
        if self._live.pop(member.process_id, None) is not None:
            self._handler.forget(member.state)


def _encode_age(age_s: float) -> int:
    """Returns the age of a beat in units.

    It is rounded up by one to two units. An age is valid when it is sent, so
    that a beat would otherwise look younger with each process that passes it
    on, and a process that has ended would stay live.
    """
    return int(age_s / _BEAT_UNIT_S) + 2


def _decode_tables(
    message: ttypes.Gossip, now_s: float
) -> state_handler.TableVersions:
    return state_handler.TableVersions(
        message.orders_version,
        message.endpoints_version,
        _instant_s(message.orders_confirmed_ms_ago, now_s),
        _instant_s(message.endpoints_confirmed_ms_ago, now_s),
    )


def _ms_since(instant_s: float, now_s: float) -> int:
    """Returns the milliseconds since an instant; -1 for minus infinity."""
    return -1 if instant_s == float("-inf") else int((now_s - instant_s) * 1e3)


def _instant_s(ms_ago: int, now_s: float) -> float:
    return float("-inf") if ms_ago < 0 else now_s - ms_ago / 1e3
