"""Chooses the peers that calls are passed on to; bounds the calls of each."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Collection
from collections.abc import Iterator

from dandelionlead.cluster import roster
from dandelionlead.core import clock
from dandelionlead.http import limits
from dandelionlead.routing import reach
from dandelionlead.routing import routing_view

# Calls that one peer serves for this process at the same time. A peer bears
# the calls of several processes that are cut off together.
MAX_CALLS_PER_PEER = 16
# A peer that did not accept a call is the last choice for this time.
_AVOIDANCE_S = 1.0
# After the first failed connection to a service, it is known within this time
# whether peers reach the service.
_MAX_DOUBT_S = 1.2


class Peer:
    """A peer that a call can be sent to.

    Attributes:
        node: Node name.
        endpoint_id: Id of this start of the peer, for pooled connections.
        address: IP address and port at which it accepts calls of peers.
        is_in_own_zone: Whether it is in the zone of this process.
    """

    __slots__ = ("node", "endpoint_id", "address", "is_in_own_zone")

    def __init__(self, member: roster.Member, port: int, own_zone: str) -> None:
        self.node = member.state.node
        self.endpoint_id = f"peer-{member.process_id}"
        self.address = (member.state.host, port)
        self.is_in_own_zone = member.state.availability_zone == own_zone


class PeerDirectory:
    """Chooses the peers that calls are sent to, and bounds the calls of each.

    Args:
        reach_tracker: Which processes reach the endpoints of a service.
        view: Holds the endpoints.
        peer_roster: Holds the live peers.
        zone: Availability zone of this process.
        port: Port at which all processes accept calls of peers; None if there
            is none, and no call is passed on.
        rng: Random numbers for the choice of peers.

    Attributes:
        reach: Which processes reach the endpoints of a service.
        open_calls: Number of calls that each peer serves at present, by node
            name.
    """

    def __init__(
        self,
        reach_tracker: reach.ReachTracker,
        view: routing_view.RoutingView,
        peer_roster: roster.Roster,
        zone: str,
        port: int | None,
        rng: random.Random,
    ) -> None:
        self.open_calls: dict[str, int] = {}
        self.reach = reach_tracker
        self._view = view
        self._roster = peer_roster
        self._zone = zone
        self._port = port
        self._rng = rng
        # Time in seconds of the first call that failed since an endpoint of a
        # service was reached, by name of the service.
        self._failing_since_s: dict[str, float] = {}
        # Until when peers that did not accept a call come last, by node.
        self._avoided_until_s: dict[str, float] = {}

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this process has lost its paths to a service."""
        endpoint_ids = self._view.list_service_endpoint_ids(service)
        return bool(endpoint_ids) and self.reach.is_cut_off(
            service, endpoint_ids, clock.boottime()
        )

    def is_unreached(self, service: str) -> bool:
        """Returns whether a further attempt at an endpoint would likely fail.

        That is the case if connections to many endpoints have failed and none
        was opened since.
        """
        return self.reach.is_unreached(
            self._view.list_service_endpoint_ids(service), clock.boottime()
        )

    def get_doubt_end_s(self, service: str) -> float:
        """Returns until when it may turn out that this process is cut off.

        In seconds of `clock.boottime`; minus infinity if there is no doubt. The
        time counts from the first call that failed since an endpoint of the
        service was reached: a service that fails for longer is down for all.
        """
        now_s = clock.boottime()
        endpoint_ids = self._view.list_service_endpoint_ids(service)
        if not self.reach.is_in_doubt(endpoint_ids, now_s):
            return float("-inf")
        since_s = self._failing_since_s.get(service)
        reached_s = self.reach.get_last_reached_s(endpoint_ids)
        if since_s is None or since_s < reached_s:
            since_s = self._failing_since_s[service] = now_s
        return since_s + _MAX_DOUBT_S

    def list_peers(self, service: str) -> list[Peer]:
        """Returns the peers that a call to a service can be passed on to.

        Peers that are stopping are left out.
        """
        if self._port is None:
            return []
        now_s = clock.boottime()
        names = set(self.reach.list_reaching_peers(service, now_s))
        if not names:
            return []
        return [
            Peer(member, self._port, self._zone)
            for member in self._roster.live_members(now_s)
            if member.state.node in names and not member.state.stopping
        ]

    def choose(
        self, service: str, tried_nodes: Collection[str] = ()
    ) -> Peer | None:
        """Returns a peer that has room for a call, or None.

        Peers that did not accept an earlier call come last, and one in the own
        zone comes first. Among equals the choice is random, so that no peer
        gets all calls.

        Args:
            service: Name of the service.
            tried_nodes: Node names of the peers that the call was sent to.
        """
        peers = [
            peer
            for peer in self.list_peers(service)
            if peer.node not in tried_nodes
            and self.open_calls.get(peer.node, 0) < MAX_CALLS_PER_PEER
        ]
        now_s = clock.boottime()
        peers = [
            peer
            for peer in peers
            if self._avoided_until_s.get(peer.node, now_s) <= now_s
        ] or peers
        peers = [peer for peer in peers if peer.is_in_own_zone] or peers
        return self._rng.choice(peers) if peers else None

    @contextlib.contextmanager
    def hold(self, peer: Peer) -> Iterator[None]:
        """Counts one call at a peer while the `with` block runs."""
        self.open_calls[peer.node] = self.open_calls.get(peer.node, 0) + 1
        try:
            yield
        finally:
            self.open_calls[peer.node] -= 1
            if not self.open_calls[peer.node]:
                del self.open_calls[peer.node]

    def avoid(self, peer: Peer) -> None:
        """Makes a peer the last choice for some time.

        For peers that have not accepted a call, or whose response broke.
        """
        self._avoided_until_s[peer.node] = clock.boottime() + _AVOIDANCE_S

    def get_idle_timeout_s(self) -> float:
        """Returns the seconds after which peers close an idle connection."""
        configuration = self._view.configuration
        request_limits = (
            configuration.limits if configuration else limits.RequestLimits()
        )
        return request_limits.idle_timeout_s

    def list_peer_ids(self) -> set[str]:
        """Returns the ids of the live peers, and drops what is out of date.

        The ids are those of `Peer.endpoint_id`.
        """
        now_s = clock.boottime()
        self._avoided_until_s = {
            node: until_s
            for node, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        services = set(self._view.list_service_names())
        for service in self._failing_since_s.keys() - services:
            del self._failing_since_s[service]
        return {
            f"peer-{member.process_id}"
            for member in self._roster.live_members(now_s)
        }
