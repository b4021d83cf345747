"""Keeps the last heartbeat of each peer and derives which peers are live.

A peer is live while its last heartbeat is not older than the peer timeout. The
roster also collects the hosts that this process sends its own heartbeats to.
"""

from __future__ import annotations

from collections.abc import Iterable

from dandelionlead.cluster.gen import ttypes

# Shortest interval between two periodic heartbeats.
MIN_HEARTBEAT_INTERVAL_S = 0.5
# With many peers the interval grows, so that a process sends at most this many
# periodic heartbeats per second to all peers together.
_MAX_PERIODIC_HEARTBEATS_PER_S = 100.0
# Shortest time without a heartbeat after which a peer is no longer live.
# Callers are not given the address of a peer that is not live.
_MIN_PEER_TIMEOUT_S = 2.5
# A peer stays live until it has missed this many heartbeats, even if that takes
# longer than `_MIN_PEER_TIMEOUT_S`, as it does with many peers.
_MAX_MISSED_HEARTBEATS = 3.0
# A peer without a heartbeat for longer than this gets no share of the limits
# that are divided among all processes. The time is longer than the shortest
# peer timeout, because a peer that is only disconnected from this process still
# uses its share.
MEMBER_TIMEOUT_S = 30.0


class Peer:
    """State of one peer according to its last messages.

    Attributes:
        heartbeat_received_s: Arrival time of its last heartbeat, in seconds of
            `clock.boottime`.
        heartbeat: Its last heartbeat.
        last_sequence: Sequence number of its last message, which may be a load
            change that is newer than the heartbeat.
    """

    __slots__ = ("heartbeat_received_s", "heartbeat", "last_sequence")

    def __init__(
        self, heartbeat_received_s: float, heartbeat: ttypes.Heartbeat
    ) -> None:
        self.heartbeat_received_s = heartbeat_received_s
        self.heartbeat = heartbeat
        self.last_sequence = heartbeat.sequence


class Roster:
    """Peers by name, and the hosts that heartbeats are sent to.

    Args:
        own_name: Node name of this process; heartbeats with this name are
            ignored.
        own_host: Host of this process; no heartbeats are sent to it.
    """

    def __init__(self, own_name: str, own_host: str) -> None:
        self._own_name = own_name
        self._own_host = own_host
        self._peers: dict[str, Peer] = {}
        # Used as an ordered set: the keys are the hosts.
        self._hosts: dict[str, None] = {}

    def accept_heartbeat(
        self, heartbeat: ttypes.Heartbeat, now_s: float
    ) -> bool:
        """Stores a heartbeat, its sender's host and the hosts that it lists.

        Args:
            heartbeat: The received heartbeat.
            now_s: Arrival time in seconds of `clock.boottime`.

        Returns:
            Whether the heartbeat was stored; False if this process sent it, or
            if it is not newer than the last message of its sender.
        """
        if heartbeat.node == self._own_name:
            return False
        peer = self._peers.get(heartbeat.node)
        if peer is not None:
            order = (heartbeat.incarnation, heartbeat.sequence)
            if order <= (peer.heartbeat.incarnation, peer.last_sequence):
                return False
        self._peers[heartbeat.node] = Peer(now_s, heartbeat)
        self.add_hosts([heartbeat.host, *heartbeat.known_hosts])
        return True

    def accept_load_change(self, change: ttypes.LoadChange) -> bool:
        """Stores the sequence number of a load change if the change is new.

        Returns:
            Whether the change is new; False if its sender has sent no heartbeat
            yet, if it belongs to another incarnation of the sender, or if it is
            not newer than the sender's last message.
        """
        peer = self._peers.get(change.node)
        if peer is None or change.sequence <= peer.last_sequence:
            return False
        if change.incarnation != peer.heartbeat.incarnation:
            return False
        peer.last_sequence = change.sequence
        return True

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Adds hosts that heartbeats are sent to.

        Empty strings and the host of this process are left out.
        """
        for host in hosts:
            if host and host != self._own_host:
                self._hosts.setdefault(host, None)

    def hosts(self) -> list[str]:
        """Returns all hosts that heartbeats are sent to."""
        return list(self._hosts)

    def heartbeat_interval_s(self) -> float:
        """Returns the interval between periodic heartbeats in seconds."""
        return max(
            MIN_HEARTBEAT_INTERVAL_S,
            len(self._hosts) / _MAX_PERIODIC_HEARTBEATS_PER_S,
        )

    def peer_timeout_s(self) -> float:
        """Returns the peer timeout in seconds.

        A peer is live until its last heartbeat is older than this.
        """
        return max(
            _MIN_PEER_TIMEOUT_S,
            _MAX_MISSED_HEARTBEATS * self.heartbeat_interval_s(),
        )

    def live_peers(self, now_s: float) -> list[Peer]:
        """Returns the peers that are live at a time of `clock.boottime`."""
        timeout_s = self.peer_timeout_s()
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heartbeat_received_s <= timeout_s
        ]

    def member_names(self, now_s: float) -> list[str]:
        """Returns the names of the processes that limits are divided among.

        The first name is that of this process; the others are those of the
        peers whose last heartbeat is not older than `MEMBER_TIMEOUT_S`.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
        """
        names = [
            name
            for name, peer in self._peers.items()
            if now_s - peer.heartbeat_received_s <= MEMBER_TIMEOUT_S
        ]
        return [self._own_name, *names]

    def ready_addresses(self, now_s: float) -> list[str]:
        """Returns the addresses (IP:PORT) at which live peers accept calls.

        Peers that are not ready or that are stopping are left out.
        """
        return [
            peer.heartbeat.front
            for peer in self.live_peers(now_s)
            if peer.heartbeat.ready and not peer.heartbeat.stopping
        ]

    def peers_with_newest_orders(self, now_s: float) -> list[Peer]:
        """Returns the live peers whose orders table has the newest version.

        Processes that copy tables should draw one of them at random. If all
        processes chose the same peer, its link would become the bottleneck.
        """
        peers = self.live_peers(now_s)
        newest = max(
            (peer.heartbeat.orders_version for peer in peers), default=-1
        )
        return [
            peer for peer in peers if peer.heartbeat.orders_version == newest
        ]

    def latest_confirmation_s(self, now_s: float, orders_version: int) -> float:
        """Returns when peers last confirmed the orders table of this process.

        If the store confirmed to a peer that the peer's orders table was
        current, and that table is not newer than the one of this process, then
        the table of this process contains all changes up to that time as well.
        The result is the latest such time of all live peers.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
            orders_version: Version of the orders table of this process.

        Returns:
            Time in seconds of `clock.boottime`; minus infinity if there is no
            such confirmation.
        """
        latest_s = float("-inf")
        for peer in self.live_peers(now_s):
            heartbeat = peer.heartbeat
            if heartbeat.confirmed_ms_ago < 0:
                continue
            if heartbeat.orders_version <= orders_version:
                confirmed_s = (
                    peer.heartbeat_received_s - heartbeat.confirmed_ms_ago / 1e3
                )
                latest_s = max(latest_s, confirmed_s)
        return latest_s
