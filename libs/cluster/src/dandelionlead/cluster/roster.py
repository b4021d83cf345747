"""Keeps what is known of each process, and derives which ones are live.

A process counts its beats by sending messages. Every message passes on how long
ago the beats of other processes were, so that a process need not hear each of
the others itself. A process is live while its last known beat is recent.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterable

from dandelionlead.cluster.gen import ttypes

# With at most this many peers, a process sends its messages to all of them, so
# that nothing needs to be passed on.
MAX_DIRECT_PEERS = 9
# Number of peers that a message is sent to if there are more.
FANOUT = 3
# Age of the last beat above which a process is no longer live, for a process
# with direct peers only, and for one to which beats are passed on. A beat takes
# the longer to reach all processes, the more there are above some number.
DIRECT_TIMEOUT_S = 2.5
INDIRECT_TIMEOUT_S = 4.5
_MEMBERS_IN_TIME = 200
_TIMEOUT_PER_MEMBER_S = 0.012
# A process without a beat for longer than this gets no share of the limits that
# are divided among all processes. The time is longer than those above, because
# a process that is only disconnected from this one still uses its share.
MEMBER_TIMEOUT_S = 30.0
# A new process of a node replaces one that is older by its incarnation, or
# whose last beat is older than this: the time of day may have been set back.
_REPLACED_AGE_S = 1.0
# Time for which the list of live processes is kept.
_LIVE_CACHE_S = 0.1


def compute_process_id(node: str, incarnation: int) -> int:
    """Returns the id of one start of a process.

    The id has 27 bits, which the messages encode in four bytes. Two of 400
    processes have the same id with a probability of 0.0006.
    """
    return zlib.crc32(f"{node}/{incarnation}".encode()) & 0x7FFFFFF


class Member:
    """One process other than this one.

    Attributes:
        process_id: Id of this start of the process.
        state: What the process says of itself, in its newest known version.
        beat_s: Time of its last known beat, in seconds of `clock.boottime`;
            minus infinity if none is known.
        known_since_s: Time at which its first state arrived, in seconds.
    """

    __slots__ = ("process_id", "state", "beat_s", "known_since_s")

    def __init__(
        self,
        process_id: int,
        state: ttypes.MemberState,
        beat_s: float,
        known_since_s: float,
    ) -> None:
        self.process_id = process_id
        self.state = state
        self.beat_s = beat_s
        self.known_since_s = known_since_s


class Roster:
    """Processes by id, and the hosts of processes that are not known yet.

    Args:
        own_name: Node name of this process.
        own_host: Host of this process.
        own_zone: Availability zone of this process.
    """

    def __init__(self, own_name: str, own_host: str, own_zone: str) -> None:
        self._own_name = own_name
        self._own_host = own_host
        self._own_zone = own_zone
        self._members: dict[int, Member] = {}
        self._ids_by_node: dict[str, int] = {}
        # Last known beats of processes without a known state, by id.
        self._other_beats_s: dict[int, float] = {}
        # Used as an ordered set: the keys are the hosts.
        self._listed_hosts: dict[str, None] = {}
        self._live: list[Member] = []
        self._live_until_s = float("-inf")

    def get(self, process_id: int) -> Member | None:
        """Returns a process; None if its state is not known."""
        return self._members.get(process_id)

    def list_members(self) -> list[Member]:
        """Returns all processes, live or not."""
        return list(self._members.values())

    def accept_state(
        self, state: ttypes.MemberState, now_s: float
    ) -> tuple[Member | None, Member | None]:
        """Stores what a process says of itself, unless it is outdated.

        Args:
            state: The state.
            now_s: Current time in seconds of `clock.boottime`. The state may
                have been passed on, so it does not show that the process is
                live.

        Returns:
            The process whose state is new, or None; and the process that it
            replaces, an earlier start on the same node, or None.
        """
        if state.node == self._own_name:
            return None, None
        process_id = compute_process_id(state.node, state.incarnation)
        member = self._members.get(process_id)
        if member is not None:
            if state.version <= member.state.version:
                return None, None
            member.state = state
            return member, None
        replaced = self._members.get(self._ids_by_node.get(state.node, 0))
        if replaced is not None and not (
            state.incarnation > replaced.state.incarnation
            or now_s - replaced.beat_s > _REPLACED_AGE_S
        ):
            return None, None
        if replaced is not None:
            self._remove(replaced)
        beat_s = self._other_beats_s.pop(process_id, float("-inf"))
        member = Member(process_id, state, beat_s, now_s)
        self._members[process_id] = member
        self._ids_by_node[state.node] = process_id
        self._live_until_s = float("-inf")
        return member, replaced

    def note_beat(self, process_id: int, beat_s: float) -> None:
        """Records when a process was alive."""
        member = self._members.get(process_id)
        if member is not None:
            member.beat_s = max(member.beat_s, beat_s)
        elif beat_s > self._other_beats_s.get(process_id, float("-inf")):
            self._other_beats_s[process_id] = beat_s

    def remove_silent(self, now_s: float) -> list[Member]:
        """Removes and returns the processes that are silent for long."""
        silent = [
            member
            for member in self._members.values()
            if now_s - max(member.beat_s, member.known_since_s)
            > MEMBER_TIMEOUT_S
        ]
        for member in silent:
            self._remove(member)
        self._other_beats_s = {
            process_id: beat_s
            for process_id, beat_s in self._other_beats_s.items()
            if now_s - beat_s <= INDIRECT_TIMEOUT_S
        }
        return silent

    def _remove(self, member: Member) -> None:
        del self._members[member.process_id]
        del self._ids_by_node[member.state.node]
        self._live_until_s = float("-inf")

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Adds hosts from the list of instances.

        Empty strings and the host of this process are left out.
        """
        for host in hosts:
            if host and host != self._own_host:
                self._listed_hosts.setdefault(host, None)

    def count_listed_hosts(self) -> int:
        """Returns the number of other hosts in the list of instances."""
        return len(self._listed_hosts)

    def is_direct(self) -> bool:
        """Returns whether messages go to all processes without being passed on.

        All processes decide alike as long as they know the same ones.
        """
        return len(self._members) <= MAX_DIRECT_PEERS

    def timeout_s(self) -> float:
        """Returns the age of the last beat up to which a process is live."""
        if self.is_direct():
            return DIRECT_TIMEOUT_S
        further_count = max(0, len(self._members) - _MEMBERS_IN_TIME)
        return INDIRECT_TIMEOUT_S + _TIMEOUT_PER_MEMBER_S * further_count

    def choose_hosts(self, rng: random.Random, now_s: float) -> list[str]:
        """Returns the hosts that the next message is sent to.

        These are all live processes if there are few. Otherwise one in the own
        availability zone is drawn, which costs less, and others anywhere.
        """
        live = self.live_members(now_s)
        if not live:
            hosts = list(self._listed_hosts)
            return rng.sample(hosts, min(len(hosts), FANOUT))
        if self.is_direct():
            return [member.state.host for member in live]
        nearby = [
            member.state.host
            for member in live
            if member.state.availability_zone == self._own_zone
        ]
        hosts = [rng.choice(nearby)] if nearby else []
        others = dict.fromkeys(member.state.host for member in live)
        others = [host for host in others if host not in hosts]
        count = min(FANOUT - len(hosts), len(others))
        return hosts + rng.sample(others, count)

    def choose_unknown_host(
        self, rng: random.Random, now_s: float
    ) -> str | None:
        """Returns a listed host without a live process; None if there is none.

        Messages to such hosts find processes that have started, and join the
        parts of a cluster that was divided.
        """
        live_hosts = {member.state.host for member in self.live_members(now_s)}
        unknown = [
            host for host in self._listed_hosts if host not in live_hosts
        ]
        return rng.choice(unknown) if unknown else None

    def live_members(self, now_s: float) -> list[Member]:
        """Returns the processes that are live at a time of `clock.boottime`."""
        if not self._live_until_s - _LIVE_CACHE_S <= now_s < self._live_until_s:
            timeout_s = self.timeout_s()
            self._live = [
                member
                for member in self._members.values()
                if now_s - member.beat_s <= timeout_s
            ]
            self._live_until_s = now_s + _LIVE_CACHE_S
        return self._live

    def member_names(self, now_s: float) -> list[str]:
        """Returns the names of the processes that limits are divided among.

        The first name is that of this process; the others are those of the
        processes whose last beat is not older than `MEMBER_TIMEOUT_S`.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
        """
        names = [
            member.state.node
            for member in self._members.values()
            if now_s - member.beat_s <= MEMBER_TIMEOUT_S
        ]
        return [self._own_name, *names]

    def ready_addresses(self, now_s: float) -> list[str]:
        """Returns the addresses (IP:PORT) at which live processes accept calls.

        Processes that are not ready or that are stopping are left out.
        """
        return [member.state.front for member in self.list_ready(now_s)]

    def list_ready(self, now_s: float) -> list[Member]:
        """Returns the live processes that are ready and not stopping."""
        return [
            member
            for member in self.live_members(now_s)
            if member.state.ready and not member.state.stopping
        ]

    def reaching_names(self, now_s: float) -> list[str]:
        """Returns the names of the live processes that reach all services."""
        return [
            member.state.node
            for member in self.live_members(now_s)
            if not is_cut_off(member.state)
        ]

    def live_names(self, now_s: float) -> list[str]:
        """Returns the names of the live processes."""
        return [member.state.node for member in self.live_members(now_s)]

    def reader_names(self, now_s: float) -> list[str]:
        """Returns the names of the live processes that can read the store."""
        return [
            member.state.node
            for member in self.live_members(now_s)
            if member.state.reads_store
        ]


def is_cut_off(state: ttypes.MemberState) -> bool:
    """Returns whether a process states that it is cut off from a service."""
    return any(item.is_cut_off for item in state.reach or ())
