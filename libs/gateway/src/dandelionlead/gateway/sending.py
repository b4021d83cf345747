"""Sends one call or control request to one endpoint over a pooled connection.

A call is read up to the head of its response; the rest is left to the caller
of this module. A control request is read completely.
"""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.gateway import connection_pool
from dandelionlead.gateway import platform_codec
from dandelionlead.http import client
from dandelionlead.routing import calls
from dandelionlead.routing import model

MAX_BODY_BYTES = 8_388_608
_MAX_CONTROL_BYTES = 262_144
# Responses to earlier requests that are skipped on one connection.
_MAX_SKIPPED = 3


class EndpointResponse:
    """An endpoint's response of which the head has been read.

    Attributes:
        endpoint: The endpoint that sent the response.
        conn: The connection, from which the body can be read.
        head: Status and headers of the response.
        is_pooled: Whether the connection was returned to the pool, where
            another request may already use it.
    """

    __slots__ = ("endpoint", "conn", "head", "is_pooled")

    def __init__(
        self,
        endpoint: model.Endpoint,
        conn: client.ClientConnection,
        head: calls.EndpointResponseHead,
    ) -> None:
        self.endpoint = endpoint
        self.conn = conn
        self.head = head
        self.is_pooled = False

    def close(self) -> None:
        """Closes the connection unless it was returned to the pool."""
        if not self.is_pooled:
            self.conn.close()


class Sender:
    """Sends calls and control requests to endpoints.

    Args:
        connections: Pool of idle connections.
        words: Translates requests and responses of the platform.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        codec: platform_codec.PlatformCodec,
    ) -> None:
        self._pool = pool
        self._dialect = codec

    def send_call(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        head_deadline_s: float,
        *,
        resumption: calls.ResumePoint | None = None,
        backup: model.Endpoint | None = None,
    ) -> EndpointResponse | errors.Failure:
        """Sends a call and reads the head of the response.

        Args:
            admitted: The call.
            endpoint: The endpoint that gets the call.
            head_deadline_s: Instant up to which the head is awaited, in
                seconds.
            resumption: Where an earlier run continues; None for a new run.
            backup: Engine that keeps a backup of the run's KV cache; None for
                no backup.

        Returns:
            The response, or a failure whose kind tells whether the call may
            have run. `ENDPOINT_UNREACHABLE` means that nothing was sent.
        """
        conn = self._pool.acquire(
            endpoint,
            head_deadline_s - clock.boottime(),
            must_send_once=not admitted.route.is_repeatable,
        )
        if isinstance(conn, errors.Failure):
            return conn
        is_started = False
        try:
            left_s = admitted.deadline_s - clock.boottime()
            headers = self._dialect.encode_call_headers(
                admitted,
                endpoint,
                left_s,
                resumption=resumption,
                backup=backup,
            )
            result = self._send_and_read_head(
                conn, admitted.call, endpoint, headers, head_deadline_s
            )
            is_started = isinstance(result, EndpointResponse)
            if not is_started:
                self._record_broken_idle_conn(conn, endpoint, result)
            return result
        finally:
            if not is_started:
                conn.close()

    def _record_broken_idle_conn(
        self,
        conn: client.ClientConnection,
        endpoint: model.Endpoint,
        failure: errors.Failure,
    ) -> None:
        """Shortens an endpoint's idle limit if a reused connection broke."""
        is_broken = failure.kind is errors.Kind.ENDPOINT_FAILED
        if is_broken and conn.idle_before_request_s:
            self._pool.lower_idle_limit(endpoint, conn.idle_before_request_s)

    def return_conn(self, response: EndpointResponse) -> None:
        """Returns the connection of a response that was read completely.

        Closes it instead if the endpoint is going to close it.
        """
        if response.head.closes_connection:
            response.close()
            return
        if response.head.keep_alive_timeout_s:
            response.conn.keep_alive_timeout_s = (
                response.head.keep_alive_timeout_s
            )
        response.is_pooled = True
        self._pool.release(response.endpoint, response.conn)

    def send_control_request(
        self,
        endpoint: model.Endpoint,
        request: platform_codec.ControlRequest,
        timeout_s: float,
    ) -> tuple[int, bytes] | errors.Failure:
        """Sends a control request and reads the complete response.

        Args:
            endpoint: The endpoint that gets the request.
            request: The request.
            timeout_s: Longest time for the exchange, in seconds.

        Returns:
            HTTP status and body, or a failure.
        """
        conn = self._pool.acquire(endpoint, timeout_s)
        if isinstance(conn, errors.Failure):
            return conn
        is_reusable = False
        try:
            result = conn.request(
                request.method,
                request.target,
                request.headers,
                request.body,
                client.ExchangeLimits(timeout_s, _MAX_CONTROL_BYTES),
            )
            if isinstance(result, errors.Failure):
                return result
            head, body = result
            answer_head = self._dialect.decode_response_head(head)
            is_reusable = (
                head.has_body_framing and not answer_head.closes_connection
            )
            return head.status, body
        finally:
            if is_reusable:
                self._pool.release(endpoint, conn)
            else:
                conn.close()

    def _send_and_read_head(
        self,
        conn: client.ClientConnection,
        call: calls.Call,
        endpoint: model.Endpoint,
        headers: client.Headers,
        until_s: float,
    ) -> EndpointResponse | errors.Failure:
        """Sends a call and reads heads until one belongs to the call."""
        left_s = until_s - clock.boottime()
        failure = conn.send(
            call.method, call.target, headers, call.body, left_s
        )
        if failure is not None:
            return failure
        for _ in range(_MAX_SKIPPED):
            head = conn.read_head(until_s)
            if isinstance(head, errors.Failure):
                return head
            answer_head = self._dialect.decode_response_head(head)
            if answer_head.request_id in ("", call.request_id):
                return self._check_signature(conn, endpoint, answer_head)
            if not head.has_body_framing or not conn.skip_response(
                call.method, until_s
            ):
                break
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED,
            "the response carries the request id of another call",
        )

    def _check_signature(
        self,
        conn: client.ClientConnection,
        endpoint: model.Endpoint,
        answer_head: calls.EndpointResponseHead,
    ) -> EndpointResponse | errors.Failure:
        """Returns the response, or a failure if a success is not signed."""
        if answer_head.status < 300 and not (
            answer_head.signed and answer_head.request_id
        ):
            return errors.Failure(
                errors.Kind.ENDPOINT_FAILED,
                "the response has no signature or no request id",
            )
        return EndpointResponse(endpoint, conn, answer_head)
