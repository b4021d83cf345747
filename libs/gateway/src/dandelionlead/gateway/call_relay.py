"""Passes calls on to a peer that reaches the endpoints of a service.

A process that has lost its paths to all endpoints of a service still gets calls
from callers that know its address. It sends such a call to a peer, which serves
it like a call of its own, and forwards the peer's response.
"""

from __future__ import annotations

import contextlib
import enum
import json
import random
from collections.abc import Collection
from collections.abc import Iterator

import eventlet

from dandelionlead.cluster import roster
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import connection_pool
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import sending
from dandelionlead.http import body_buffer
from dandelionlead.http import client
from dandelionlead.http import intake
from dandelionlead.http import limits
from dandelionlead.http import server
from dandelionlead.routing import calls
from dandelionlead.routing import reach
from dandelionlead.routing import routing_view

METRIC = "relayed_calls_total"
# Calls that one peer serves for this process at the same time. A peer bears
# the calls of several processes that are cut off together.
MAX_CALLS_PER_PEER = 16
# A call is sent to a second peer if the first one did not run it.
_MAX_PEERS = 2
_CONNECT_TIMEOUT_S = 0.25
# A peer that did not accept a call is the last choice for this time.
_AVOIDANCE_S = 1.0
# After the first failed connection to a service, it is known within this time
# whether peers reach the service.
_MAX_DOUBT_S = 1.2
_DOUBT_PAUSE_S = 0.02
# A call whose deadline is nearer than this waits for nothing.
_MIN_REMAINING_S = 0.1
# The peer's response to a call whose deadline has passed arrives within this
# time after the deadline.
_RESPONSE_MARGIN_S = 0.25
# Longest body of a refusal, whose error kind decides on a second peer.
_MAX_REFUSAL_BYTES = 65_536
# Refusals that another peer would repeat, because they state what the endpoints
# of the service can take.
_SHARED_REFUSALS = frozenset(
    {errors.Kind.OVERLOADED.value, errors.Kind.NO_ENDPOINT.value}
)


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
        endpoint_ids = self._list_endpoint_ids(service)
        return bool(endpoint_ids) and self.reach.is_cut_off(
            service, endpoint_ids, clock.boottime()
        )

    def is_unreached(self, service: str) -> bool:
        """Returns whether a further attempt at an endpoint would likely fail.

        That is the case if connections to many endpoints have failed and none
        was opened since.
        """
        return self.reach.is_unreached(
            self._list_endpoint_ids(service), clock.boottime()
        )

    def get_doubt_end_s(self, service: str) -> float:
        """Returns until when it may turn out that this process is cut off.

        In seconds of `clock.boottime`; minus infinity if there is no doubt. The
        time counts from the first call that failed since an endpoint of the
        service was reached: a service that fails for longer is down for all.
        """
        now_s = clock.boottime()
        endpoint_ids = self._list_endpoint_ids(service)
        if not self.reach.is_in_doubt(endpoint_ids, now_s):
            return float("-inf")
        since_s = self._failing_since_s.get(service)
        reached_s = self.reach.get_last_reached_s(endpoint_ids)
        if since_s is None or since_s < reached_s:
            since_s = self._failing_since_s[service] = now_s
        return since_s + _MAX_DOUBT_S

    def _list_endpoint_ids(self, service: str) -> list[str]:
        return [
            endpoint.endpoint_id
            for endpoint in self._view.list_service_endpoints(service)
        ]

    def list_peers(self, service: str) -> list[Peer]:
        """Returns the peers that a call to a service can be passed on to.

        Peers that are stopping are left out.
        """
        if self._port is None:
            return []
        now_s = clock.boottime()
        names = set(self.reach.list_reaching_peers(service, now_s))
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
        peers: PeerDirectory,
        codec: platform_codec.PlatformCodec,
        memory: intake.Intake,
        log: events.Log,
        metrics_registry: metrics.Registry,
    ) -> None:
        self.node = node
        self.peers = peers
        self.codec = codec
        self.pool = connection_pool.ConnectionPool(
            lambda _: MAX_CALLS_PER_PEER, memory
        )
        self.outcome_counts: dict[str, int] = {}
        self._log = log
        self._metrics_registry = metrics_registry

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this process has lost its paths to a service."""
        return self.peers.is_cut_off(service)

    def should_relay(self, service: str) -> bool:
        """Returns whether calls to a service are passed on to peers now."""
        return self.is_cut_off(service) and bool(self.peers.list_peers(service))

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

    def log_refusal(self, request_id: str, peer: Peer, reason: str) -> None:
        """Logs that a peer did not accept a call."""
        self._log.event(
            "relay_refused", req=request_id, via=peer.node, reason=reason
        )

    def return_conn(self, peer: Peer, conn: client.ClientConnection) -> None:
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


class RelayedCall:
    """One call that is passed on to a peer.

    Args:
        call_relay: Components that all calls share.
        admitted: The call.
        response_writer: Writes the response to the caller.
        progress: Records whether the call may have run.
        retry_after_s: Seconds for `Retry-After` if no peer accepts the call.

    Attributes:
        node: Node name of the peer that the call was sent to last; empty for
            none.
        status: HTTP status of the response that is forwarded; 0 for none.
        failure: Why no complete response was forwarded; None if one was.
    """

    def __init__(
        self,
        call_relay: CallRelay,
        admitted: calls.AdmittedCall,
        response_writer: server.ResponseWriter,
        progress: call_progress.CallProgress,
        retry_after_s: float,
    ) -> None:
        self.node = ""
        self.status = 0
        self.failure: errors.Failure | None = None
        self._relay = call_relay
        self._admitted = admitted
        self._call = admitted.call
        self._response_writer = response_writer
        self._progress = progress
        self._retry_after_s = retry_after_s
        self._tried_nodes: set[str] = set()

    def forward(self) -> bool:
        """Sends the call to a peer and forwards the response.

        Tries a second peer if the first one did not run the call, or if the
        call may run once more.

        Returns:
            Whether the caller has the whole response.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        while len(self._tried_nodes) < _MAX_PEERS:
            peer = self._choose_peer()
            if peer is None:
                self._record_no_peer()
                return False
            with self._relay.peers.hold(peer):
                if self._try_peer(peer):
                    return True
            if self._response_writer.has_started:
                return False
            if not self._progress.may_run_again:
                return False
            if clock.boottime() >= self._admitted.deadline_s:
                return False
        return False

    def _record_no_peer(self) -> None:
        """Records that no other peer takes the call."""
        if self.failure is None:
            self._relay.count(Outcome.NO_ROOM)
            self.failure = self._make_refusal(
                "the peers that reach the service have no room for the call"
            )

    def _try_peer(self, peer: Peer) -> bool:
        """Sends the call to one peer; returns whether the response is whole."""
        relay = self._relay
        self.node = peer.node
        self._tried_nodes.add(peer.node)
        conn = relay.pool.acquire(
            peer,
            _CONNECT_TIMEOUT_S,
            must_send_once=not self._admitted.route.is_repeatable,
        )
        if isinstance(conn, errors.Failure):
            self._record_unreachable(peer, conn.reason)
            return False
        outcome = Outcome.GONE
        is_reusable = False
        run_state = errors.RunState.UNKNOWN
        try:
            self._progress.begin_relay()
            result = self._exchange(peer, conn)
            if isinstance(result, errors.Failure):
                self.failure = result
                relay.peers.avoid(peer)
                run_state = result.run_state
                is_not_run = run_state is errors.RunState.NOT_RUN
                outcome = Outcome.REFUSED if is_not_run else Outcome.BROKEN
                return False
            outcome = result
            if result is Outcome.REFUSED:
                run_state = errors.RunState.NOT_RUN
            is_reusable = True
            return True
        finally:
            self._progress.end_relay(run_state)
            relay.count(outcome)
            if is_reusable:
                relay.return_conn(peer, conn)
            else:
                conn.close()

    def _exchange(
        self, peer: Peer, conn: client.ClientConnection
    ) -> Outcome | errors.Failure:
        """Sends the call and forwards the response.

        Returns:
            `ANSWERED` or `REFUSED` once the whole response was forwarded, else
            the failure.
        """
        raw_head = self._send(conn)
        if isinstance(raw_head, errors.Failure):
            return self._make_broken_failure(raw_head)
        head = self._relay.codec.decode_response_head(raw_head)
        fault = self._find_fault(head)
        if fault:
            return self._make_broken_failure(
                errors.Failure(errors.Kind.ENDPOINT_FAILED, fault)
            )
        if head.implies_not_run:
            return self._handle_refusal(peer, conn, head)
        if raw_head.get_header(b"content-length") is not None:
            body = conn.receive_body(
                self._read_deadline_s, sending.MAX_BODY_BYTES
            )
            if isinstance(body, errors.Failure):
                return self._make_broken_failure(body)
            return self._send_whole(head, body, Outcome.ANSWERED)
        return self._forward_parts(conn, head)

    def _send(
        self, conn: client.ClientConnection
    ) -> client.ResponseHead | errors.Failure:
        """Sends the call and reads the head of the response."""
        call, relay = self._call, self._relay
        remaining_s = self._admitted.deadline_s - clock.boottime()
        headers = relay.codec.encode_relay_headers(
            call,
            remaining_s,
            calls.RelayOrigin(relay.node, self._admitted.service.name),
        )
        failure = conn.send_request(
            call.method, call.target, headers, call.body, remaining_s
        )
        if failure is not None:
            return failure
        return conn.read_head(self._read_deadline_s)

    def _find_fault(self, head: calls.EndpointResponseHead) -> str:
        """Returns why a head cannot be that of a peer; empty if it can."""
        if head.request_id not in ("", self._call.request_id):
            return "the response belongs to another request"
        if head.ends_with_connection:
            return "the body of the response has no end mark"
        return ""

    @property
    def _read_deadline_s(self) -> float:
        return self._admitted.deadline_s + _RESPONSE_MARGIN_S

    def _handle_refusal(
        self,
        peer: Peer,
        conn: client.ClientConnection,
        head: calls.EndpointResponseHead,
    ) -> Outcome | errors.Failure:
        """Forwards a refusal, or returns a failure.

        It is a failure if another peer can take the call, or if an earlier
        attempt may have run it, so that the refusal would not be true.
        """
        body = conn.receive_body(self._read_deadline_s, _MAX_REFUSAL_BYTES)
        if isinstance(body, errors.Failure):
            # The status alone states that the call did not run.
            return self._make_refusal(f"{peer.node} refused: {body.reason}")
        data = body.take()
        error = _decode_error(data)
        reason = f"status {head.status}, {error}"
        self._relay.log_refusal(self._call.request_id, peer, reason)
        is_shared = head.status != 503 or error in _SHARED_REFUSALS
        if not is_shared:
            self._relay.peers.avoid(peer)
        has_another = (
            not is_shared
            and len(self._tried_nodes) < _MAX_PEERS
            and self._choose_peer() is not None
        )
        if has_another or self._progress.possible_run_count:
            return self._make_refusal(f"{peer.node} refused: {reason}")
        body.append(data)
        return self._send_whole(head, body, Outcome.REFUSED)

    def _choose_peer(self) -> Peer | None:
        """Returns a peer that the call was not sent to yet, or None."""
        return self._relay.peers.choose(
            self._admitted.service.name, self._tried_nodes
        )

    def _send_whole(
        self,
        head: calls.EndpointResponseHead,
        body: body_buffer.BodyBuffer,
        outcome: Outcome,
    ) -> Outcome:
        """Sends a response to the caller whose body has arrived."""
        self.status = head.status
        self.failure = None
        self._response_writer.send_buffered_response(
            head.status, head.headers, body
        )
        return outcome

    def _forward_parts(
        self, conn: client.ClientConnection, head: calls.EndpointResponseHead
    ) -> Outcome | errors.Failure:
        """Forwards the parts of a body of unknown length as they arrive.

        The head is sent with the first part: until then the caller gets an
        error response if the peer fails.
        """
        writer = self._response_writer
        while True:
            part = conn.read_body_part(self._read_deadline_s)
            if isinstance(part, errors.Failure):
                return self._make_broken_failure(part)
            if not writer.has_started:
                self.status = head.status
                writer.start_response(head.status, head.headers)
            if part is client.BODY_END:
                self.failure = None
                writer.end_response()
                return Outcome.ANSWERED
            writer.send_data(part)

    def _record_unreachable(self, peer: Peer, reason: str) -> None:
        """Records that nothing was sent to a peer."""
        self._relay.count(Outcome.UNREACHABLE)
        self._relay.peers.avoid(peer)
        self._relay.log_refusal(self._call.request_id, peer, reason)
        self.failure = self._make_refusal(
            f"the peer {peer.node} does not accept the call: {reason}"
        )

    def _make_refusal(self, reason: str) -> errors.Failure:
        """Returns the failure of a call that no peer has run."""
        return errors.Failure(
            errors.Kind.ENDPOINT_UNREACHABLE,
            reason,
            retry_after_s=self._retry_after_s,
        )

    def _make_broken_failure(self, cause: errors.Failure) -> errors.Failure:
        """Returns the failure of a call whose peer did not answer it."""
        kind = errors.Kind.OUTCOME_UNKNOWN
        if cause.kind is errors.Kind.ENDPOINT_SILENT:
            kind = errors.Kind.ENDPOINT_SILENT
        return errors.Failure(
            kind, f"the peer {self.node} did not answer: {cause.reason}"
        )


def _decode_error(body: bytes) -> str:
    """Returns the error kind that a refusal states; empty for none."""
    try:
        fields = json.loads(body)
    except ValueError:
        return ""
    kind = fields.get("error") if isinstance(fields, dict) else None
    return kind if isinstance(kind, str) else ""
