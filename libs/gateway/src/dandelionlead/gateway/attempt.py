"""Sends one call or control request to one endpoint over a pooled connection.

A call is read up to the head of its response; the rest is left to the caller
of this module. A control request is read completely.
"""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.gateway import dialect
from dandelionlead.gateway import pool
from dandelionlead.http import channel
from dandelionlead.routing import calls
from dandelionlead.routing import model

MAX_BODY_BYTES = 8_388_608
_MAX_CONTROL_BYTES = 262_144
# Responses to earlier requests that are skipped on one connection.
_MAX_SKIPPED = 3


class Started:
    """An endpoint's response of which the head has been read.

    Attributes:
        endpoint: The endpoint that sent the response.
        conn: The connection, from which the body can be read.
        answer: Status and headers of the response.
        given_back: Whether the connection was returned to the pool, where
            another request may already use it.
    """

    __slots__ = ("endpoint", "conn", "answer", "given_back")

    def __init__(
        self,
        endpoint: model.Endpoint,
        conn: channel.Channel,
        answer: calls.EndpointResponseHead,
    ) -> None:
        self.endpoint = endpoint
        self.conn = conn
        self.answer = answer
        self.given_back = False

    def close(self) -> None:
        """Closes the connection unless it was returned to the pool."""
        if not self.given_back:
            self.conn.close()


class Sender:
    """Sends calls and control requests to endpoints.

    Args:
        connections: Pool of idle connections.
        words: Translates requests and responses of the platform.
    """

    def __init__(self, connections: pool.Pool, words: dialect.Dialect) -> None:
        self._pool = connections
        self._dialect = words

    def start(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        until_s: float,
        *,
        resumption: calls.ResumePoint | None = None,
        backup: model.Endpoint | None = None,
    ) -> Started | errors.Failure:
        """Sends a call and reads the head of the response.

        Args:
            admitted: The call.
            endpoint: The endpoint that gets the call.
            until_s: Instant up to which the head is awaited, in seconds.
            resumption: Where an earlier run continues; None for a new run.
            backup: Engine that keeps a backup of the run's KV cache; None for
                no backup.

        Returns:
            The response, or a failure whose kind tells whether the call may
            have run. `ENDPOINT_UNREACHABLE` means that nothing was sent.
        """
        conn = self._pool.take(
            endpoint,
            until_s - clock.boottime(),
            once=not admitted.route.is_repeatable,
        )
        if isinstance(conn, errors.Failure):
            return conn
        is_started = False
        try:
            left_s = admitted.deadline_s - clock.boottime()
            headers = self._dialect.call_headers(
                admitted,
                endpoint,
                left_s,
                resumption=resumption,
                backup=backup,
            )
            result = self._send_and_read_head(
                conn, admitted.call, endpoint, headers, until_s
            )
            is_started = isinstance(result, Started)
            if not is_started:
                self._record_broken_idle_conn(conn, endpoint, result)
            return result
        finally:
            if not is_started:
                conn.close()

    def _record_broken_idle_conn(
        self,
        conn: channel.Channel,
        endpoint: model.Endpoint,
        failure: errors.Failure,
    ) -> None:
        """Shortens an endpoint's idle limit if a reused connection broke."""
        is_broken = failure.kind is errors.Kind.ENDPOINT_FAILED
        if is_broken and conn.rested_s:
            self._pool.forgotten(endpoint, conn.rested_s)

    def finish(self, started: Started) -> None:
        """Returns the connection of a response that was read completely.

        Closes it instead if the endpoint is going to close it.
        """
        if started.answer.closes_connection:
            started.close()
            return
        if started.answer.keep_alive_timeout_s:
            started.conn.idle_limit_s = started.answer.keep_alive_timeout_s
        started.given_back = True
        self._pool.give_back(started.endpoint, started.conn)

    def control(
        self, endpoint: model.Endpoint, message: dialect.Message, limit_s: float
    ) -> tuple[int, bytes] | errors.Failure:
        """Sends a control request and reads the complete response.

        Args:
            endpoint: The endpoint that gets the request.
            message: The request.
            limit_s: Longest time for the exchange, in seconds.

        Returns:
            HTTP status and body, or a failure.
        """
        conn = self._pool.take(endpoint, limit_s)
        if isinstance(conn, errors.Failure):
            return conn
        is_reusable = False
        try:
            result = conn.ask(
                message.method,
                message.target,
                message.headers,
                message.body,
                channel.AskLimits(limit_s, _MAX_CONTROL_BYTES),
            )
            if isinstance(result, errors.Failure):
                return result
            head, body = result
            answer_head = self._dialect.read_answer(head)
            is_reusable = head.framed and not answer_head.closes_connection
            return head.status, body
        finally:
            if is_reusable:
                self._pool.give_back(endpoint, conn)
            else:
                conn.close()

    def _send_and_read_head(
        self,
        conn: channel.Channel,
        call: calls.Call,
        endpoint: model.Endpoint,
        headers: channel.Headers,
        until_s: float,
    ) -> Started | errors.Failure:
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
            answer_head = self._dialect.read_answer(head)
            if answer_head.request_id in ("", call.request_id):
                return self._check_signature(conn, endpoint, answer_head)
            if not head.framed or not conn.skip_answer(call.method, until_s):
                break
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED,
            "the response carries the request id of another call",
        )

    def _check_signature(
        self,
        conn: channel.Channel,
        endpoint: model.Endpoint,
        answer_head: calls.EndpointResponseHead,
    ) -> Started | errors.Failure:
        """Returns the response, or a failure if a success is not signed."""
        if answer_head.status < 300 and not (
            answer_head.signed and answer_head.request_id
        ):
            return errors.Failure(
                errors.Kind.ENDPOINT_FAILED,
                "the response has no signature or no request id",
            )
        return Started(endpoint, conn, answer_head)
