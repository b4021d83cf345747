"""Decides whether calls are passed on to a peer, and counts how they end.

A process that has lost its paths to all endpoints of a service still gets calls
from callers that know its address. It sends such a call to a peer, which serves
it like a call of its own, and forwards the peer's response.
"""

from __future__ import annotations

import enum

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.gateway import connection_pool
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import relay_peers
from dandelionlead.http import client
from dandelionlead.http import intake

METRIC = "relayed_calls_total"
_DOUBT_PAUSE_S = 0.02
# A call whose deadline is nearer than this waits for nothing.
_MIN_REMAINING_S = 0.1


class Outcome(enum.Enum):
    """How an attempt to pass a call on ended.

    Attributes:
        ANSWERED: The whole response of the peer was forwarded.
        REFUSED: The peer did not run the call.
        UNREACHABLE: The peer accepted no connection.
        BROKEN: The response did not arrive, or not completely.
        GONE: The caller disconnected, or this process stopped.
        NO_ROOM: No peer had room for another call.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    GONE = "gone"
    NO_ROOM = "no_room"


class CallRelay:
    """Components that all calls share that a process passes on.

    Args:
        node: Node name of this process.
        peers: Chooses the peers.
        codec: Converts calls and responses of the platform.
        memory: Counts the bodies of responses.
        log: Receives one line for each peer that did not accept a call.
        metrics_registry: Counts the calls by outcome.

    Attributes:
        node: As passed to the constructor.
        peers: As passed to the constructor.
        codec: As passed to the constructor.
        pool: Idle connections to peers.
        outcome_counts: Number of ended attempts by outcome, as in the metric.
    """

    def __init__(
        self,
        node: str,
        peers: relay_peers.PeerDirectory,
        codec: platform_codec.PlatformCodec,
        memory: intake.Intake,
        log: events.Log,
        metrics_registry: metrics.Registry,
    ) -> None:
        self.node = node
        self.peers = peers
        self.codec = codec
        self.pool = connection_pool.ConnectionPool(
            lambda _: relay_peers.MAX_CALLS_PER_PEER, memory
        )
        self.outcome_counts: dict[str, int] = {}
        self._log = log
        self._metrics_registry = metrics_registry

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this process has lost its paths to a service."""
        return self.peers.is_cut_off(service)

    def should_relay(self, service: str) -> bool:
        """Returns whether calls to a service are passed on to peers now.

        While no process asks who reaches the service, no peer is listed, and
        the endpoints need not be looked through for each call.
        """
        return bool(self.peers.list_peers(service)) and self.is_cut_off(service)

    def await_relay(self, service: str, deadline_s: float) -> bool:
        """Waits while it is in doubt whether this process is cut off.

        The wait is short: a call that nobody can serve is refused soon.

        Args:
            service: Name of the service.
            deadline_s: Deadline of the call, in seconds.

        Returns:
            Whether calls to the service are passed on to peers now.
        """
        deadline_s -= _MIN_REMAINING_S
        while not self.should_relay(service):
            end_s = min(deadline_s, self.peers.get_doubt_end_s(service))
            if clock.boottime() >= end_s:
                return False
            eventlet.sleep(_DOUBT_PAUSE_S)
        return True

    def count(self, outcome: Outcome) -> None:
        """Counts the end of an attempt to pass a call on."""
        name = outcome.value
        self._metrics_registry.count(METRIC, outcome=name)
        self.outcome_counts[name] = self.outcome_counts.get(name, 0) + 1

    def log_refusal(
        self, request_id: str, peer: relay_peers.Peer, reason: str
    ) -> None:
        """Logs that a peer did not accept a call."""
        self._log.event(
            "relay_refused", req=request_id, via=peer.node, reason=reason
        )

    def return_conn(
        self, peer: relay_peers.Peer, conn: client.ClientConnection
    ) -> None:
        """Keeps a connection for reuse whose response was read completely."""
        conn.keep_alive_timeout_s = self.peers.get_idle_timeout_s()
        self.pool.release(peer, conn)

    def close_unused_connections(self) -> None:
        """Closes the connections that are idle for long or lead to no peer."""
        self.pool.close_unusable(self.peers.list_peer_ids())

    def to_fields(self) -> dict[str, object]:
        """Returns the calls at peers and the outcomes, for the state dump."""
        return {
            "open": dict(self.peers.open_calls),
            "outcomes": dict(self.outcome_counts),
        }
