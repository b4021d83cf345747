"""Peers of this process: who lives, who is ready, who knows the newest."""

from __future__ import annotations

from collections.abc import Iterable

from dandelionlead.cluster.gen import ttypes

HEARTBEAT_S = 0.5
# With many peers heartbeats come less often, so that each process sends no
# more of them a second.
_DATAGRAMS_PER_S = 100.0
# A peer that was not heard for so long is not named to callers, ...
_SILENT_LIMIT_S = 2.5
# ... nor before it has missed so many heartbeats.
_MISSED_HEARTBEATS = 3.0
# After this time it no longer counts for shares of common bounds. A peer that
# is only cut off still uses its share, so this is longer.
FORGET_S = 30.0


class Peer:
    """What is known of one peer.

    Attributes:
        heard_s: When its last heartbeat came.
        heartbeat: The heartbeat.
        sequence: Number of its latest message.
    """

    __slots__ = ("heard_s", "heartbeat", "sequence")

    def __init__(self, heard_s: float, heartbeat: ttypes.Heartbeat) -> None:
        self.heard_s = heard_s
        self.heartbeat = heartbeat
        self.sequence = heartbeat.sequence


class Roster:
    """All peers by name.

    Args:
        own_name: Name of this process.
        own_host: Its address.
    """

    def __init__(self, own_name: str, own_host: str) -> None:
        self._own_name = own_name
        self._own_host = own_host
        self._peers: dict[str, Peer] = {}
        self._hosts: dict[str, None] = {}

    def hear(self, heartbeat: ttypes.Heartbeat, now_s: float) -> bool:
        """Takes a heartbeat; returns whether it is news."""
        if heartbeat.node == self._own_name:
            return False
        known = self._peers.get(heartbeat.node)
        if known is not None:
            order = (heartbeat.incarnation, heartbeat.sequence)
            if order <= (known.heartbeat.incarnation, known.sequence):
                return False
        self._peers[heartbeat.node] = Peer(now_s, heartbeat)
        self.add_hosts([heartbeat.host, *heartbeat.known_hosts])
        return True

    def hear_loads(self, change: ttypes.LoadChange) -> bool:
        """Takes a change of loads; returns whether it is news."""
        known = self._peers.get(change.node)
        if known is None or change.sequence <= known.sequence:
            return False
        if change.incarnation != known.heartbeat.incarnation:
            return False
        known.sequence = change.sequence
        return True

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Takes addresses that may be peers."""
        for host in hosts:
            if host and host != self._own_host:
                self._hosts.setdefault(host, None)

    def hosts(self) -> list[str]:
        """Returns all addresses that get heartbeats."""
        return list(self._hosts)

    def heartbeat_s(self) -> float:
        """Returns the pause between the heartbeats of a process."""
        return max(HEARTBEAT_S, len(self._hosts) / _DATAGRAMS_PER_S)

    def silent_limit_s(self) -> float:
        """Returns how long a peer that lives may not be heard."""
        return max(_SILENT_LIMIT_S, _MISSED_HEARTBEATS * self.heartbeat_s())

    def live(self, now_s: float) -> list[Peer]:
        """Returns peers that were heard lately."""
        limit_s = self.silent_limit_s()
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heard_s <= limit_s
        ]

    def members(self, now_s: float) -> list[str]:
        """Returns names that share common bounds, this process included."""
        names = [
            name
            for name, peer in self._peers.items()
            if now_s - peer.heard_s <= FORGET_S
        ]
        return [self._own_name, *names]

    def ready_fronts(self, now_s: float) -> list[str]:
        """Returns addresses for callers of peers that are ready."""
        return [
            peer.heartbeat.front
            for peer in self.live(now_s)
            if peer.heartbeat.ready and not peer.heartbeat.stopping
        ]

    def newest_orders(self, now_s: float) -> Peer | None:
        """Returns the live peer with the newest orders of the operator."""
        live = self.live(now_s)
        return max(
            live, key=lambda peer: peer.heartbeat.orders_version, default=None
        )

    def latest_confirmation(self, now_s: float, orders_version: int) -> float:
        """Returns when a peer with no newer orders was last confirmed.

        Args:
            now_s: Time in seconds.
            orders_version: Version up to which this process knows the orders.
        """
        latest = float("-inf")
        for peer in self.live(now_s):
            beat = peer.heartbeat
            if beat.confirmed_ms_ago < 0:
                continue
            if beat.orders_version <= orders_version:
                confirmed_s = peer.heard_s - beat.confirmed_ms_ago / 1e3
                latest = max(latest, confirmed_s)
        return latest
