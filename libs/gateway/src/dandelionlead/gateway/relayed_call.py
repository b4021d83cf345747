"""Passes one call on to a peer and forwards the peer's response."""

from __future__ import annotations

import json

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import call_relay
from dandelionlead.gateway import relay_peers
from dandelionlead.gateway import sending
from dandelionlead.http import body_buffer
from dandelionlead.http import client
from dandelionlead.http import server
from dandelionlead.routing import calls

# A call is sent to a second peer if the first one did not run it.
_MAX_PEERS = 2
_CONNECT_TIMEOUT_S = 0.25
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


class RelayedCall:
    """One call that is passed on to a peer.

    Args:
        shared: Components that all calls share.
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
        shared: call_relay.CallRelay,
        admitted: calls.AdmittedCall,
        response_writer: server.ResponseWriter,
        progress: call_progress.CallProgress,
        retry_after_s: float,
    ) -> None:
        self.node = ""
        self.status = 0
        self.failure: errors.Failure | None = None
        self._relay = shared
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
            self._relay.count(call_relay.Outcome.NO_ROOM)
            self.failure = self._make_refusal(
                "the peers that reach the service have no room for the call"
            )

    def _try_peer(self, peer: relay_peers.Peer) -> bool:
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
        outcome = call_relay.Outcome.GONE
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
                outcome = (
                    call_relay.Outcome.REFUSED
                    if is_not_run
                    else call_relay.Outcome.BROKEN
                )
                return False
            outcome = result
            if result is call_relay.Outcome.REFUSED:
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
        self, peer: relay_peers.Peer, conn: client.ClientConnection
    ) -> call_relay.Outcome | errors.Failure:
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
            return self._send_whole(head, body, call_relay.Outcome.ANSWERED)
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
        peer: relay_peers.Peer,
        conn: client.ClientConnection,
        head: calls.EndpointResponseHead,
    ) -> call_relay.Outcome | errors.Failure:
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
        return self._send_whole(head, body, call_relay.Outcome.REFUSED)

    def _choose_peer(self) -> relay_peers.Peer | None:
        """Returns a peer that the call was not sent to yet, or None."""
        return self._relay.peers.choose(
            self._admitted.service.name, self._tried_nodes
        )

    def _send_whole(
        self,
        head: calls.EndpointResponseHead,
        body: body_buffer.BodyBuffer,
        outcome: call_relay.Outcome,
    ) -> call_relay.Outcome:
        """Sends a response to the caller whose body has arrived."""
        self.status = head.status
        self.failure = None
        self._response_writer.send_buffered_response(
            head.status, head.headers, body
        )
        return outcome

    def _forward_parts(
        self, conn: client.ClientConnection, head: calls.EndpointResponseHead
    ) -> call_relay.Outcome | errors.Failure:
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
                return call_relay.Outcome.ANSWERED
            writer.send_data(part)

    def _record_unreachable(self, peer: relay_peers.Peer, reason: str) -> None:
        """Records that nothing was sent to a peer."""
        self._relay.count(call_relay.Outcome.UNREACHABLE)
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
