"""Sends one call or control request to one endpoint over a pooled connection.

This module reads only the head of the response to a call; the code that sends
the call reads the body. The response to a control request is read completely.
"""

from __future__ import annotations

import functools

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import connection_pool
from dandelionlead.gateway import end_check
from dandelionlead.gateway import endpoint_notices
from dandelionlead.gateway import platform_codec
from dandelionlead.http import client
from dandelionlead.http import link_activity
from dandelionlead.routing import calls
from dandelionlead.routing import model

MAX_BODY_BYTES = 8_388_608
_MAX_CONTROL_BODY_BYTES = 262_144
# Limit on the response heads that are read on one connection to find the one
# that belongs to the call; the others belong to earlier requests.
_MAX_RESPONSE_HEADS = 3
# Time after the end of a stream in which a process that ends closes its
# connection.
_CLOSE_DELAY_S = 0.02


class EndpointResponse:
    """An endpoint's response whose head has been read.

    Attributes:
        endpoint: The endpoint that sent the response.
        conn: The connection, from which the body can be read.
        head: Status and headers of the response.
        is_pooled: Whether the connection was returned to the pool, where
            another request may already use it.
        is_closed: Whether `close` has closed the connection.
    """

    __slots__ = ("endpoint", "conn", "head", "is_pooled", "is_closed")

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
        self.is_closed = False

    def close(self) -> None:
        """Closes the connection unless it was returned to the pool."""
        if not self.is_pooled:
            self.is_closed = True
            self.conn.close()


class Sender:
    """Sends calls and control requests to endpoints.

    Args:
        pool: Pool of idle connections.
        codec: Converts requests and responses of the platform.
        activity: Records when this process receives large bodies.
        notices: Handles what endpoints state about themselves.
        log: Receives one line for each check of the end of a response.

    Attributes:
        activity: As passed to the constructor.
    """

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        codec: platform_codec.PlatformCodec,
        activity: link_activity.LinkActivity,
        notices: endpoint_notices.EndpointNotices,
        log: events.Log,
    ) -> None:
        self.activity = activity
        self._log = log
        self._notices = notices
        self._pool = pool
        self._codec = codec

    def send_call(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        head_deadline_s: float,
        *,
        resumption: calls.ResumePoint | None = None,
        backup_engine: model.Endpoint | None = None,
    ) -> EndpointResponse | errors.Failure:
        """Sends a call and reads the head of the response.

        Args:
            admitted: The call.
            endpoint: The endpoint that gets the call.
            head_deadline_s: Instant until which to wait for the head of the
                response, in seconds.
            resumption: Point at which the endpoint resumes the call's earlier
                run; None if the endpoint runs the call from its start.
            backup_engine: Engine that keeps a backup of the run's KV cache;
                None for no backup.

        Returns:
            The response, or a failure whose run state states whether the call
            may have run. `ENDPOINT_UNREACHABLE` means that nothing was sent.
        """
        conn = self._pool.acquire(
            endpoint,
            head_deadline_s - clock.boottime(),
            must_send_once=not admitted.route.is_repeatable,
        )
        if isinstance(conn, errors.Failure):
            return conn
        has_response = False
        try:
            remaining_s = admitted.deadline_s - clock.boottime()
            headers = self._codec.encode_call_headers(
                admitted,
                endpoint,
                remaining_s,
                resumption=resumption,
                backup_engine=backup_engine,
            )
            result = self._send_and_read_head(
                conn, admitted.call, endpoint, headers, head_deadline_s
            )
            has_response = isinstance(result, EndpointResponse)
            if not has_response:
                self._record_broken_idle_conn(conn, endpoint, result)
            return result
        finally:
            if not has_response:
                conn.close()

    def _record_broken_idle_conn(
        self,
        conn: client.ClientConnection,
        endpoint: model.Endpoint,
        failure: errors.Failure,
    ) -> None:
        """Lowers an endpoint's idle limit if a reused connection broke."""
        if failure.kind is errors.Kind.ENDPOINT_SILENT and conn.is_reused:
            self._pool.note_silent(endpoint)
        is_broken = failure.kind is errors.Kind.ENDPOINT_FAILED
        if is_broken and conn.idle_before_request_s:
            self._pool.lower_idle_limit(endpoint, conn.idle_before_request_s)

    def return_conn(self, response: EndpointResponse) -> None:
        """Returns the connection of a completely read response to the pool.

        Closes the connection instead if the endpoint is going to close it.
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

    def find_absence(
        self,
        endpoint: model.Endpoint,
        service: model.Service | None,
        timeout_s: float,
    ) -> errors.Failure | None:
        """Returns why an endpoint has ended or cannot be reached, or None.

        It has ended if nothing answers in its name, whatever accepts a
        connection at its address. One that is silent may live.

        Args:
            endpoint: The endpoint.
            service: Its service; None if it is not known, so that a connection
                has to suffice.
            timeout_s: Longest time for opening a connection, in seconds.
        """
        conn = self._pool.acquire(endpoint, timeout_s, must_be_new=True)
        if isinstance(conn, errors.Failure):
            return conn
        self._pool.put_back(endpoint, conn)
        if service is None:
            return None
        evidence, _ = end_check.collect_evidence(
            functools.partial(self._request_status, endpoint, service, ""),
            float("inf"),
        )
        if evidence in end_check.ABSENT:
            return errors.Failure(errors.Kind.ENDPOINT_FAILED, evidence.value)
        return None

    def find_broken_end(
        self,
        response: EndpointResponse,
        admitted: calls.AdmittedCall,
        event_count: int | None = None,
    ) -> errors.Failure | None:
        """Returns why a body that has ended may be incomplete, or None.

        A length or a last chunk counts as the end. The last chunk of a stream
        does not if its connection ends with it, as it does if the HTTP server
        of a process that ends, or a forwarder, ends the stream.

        Args:
            response: The response; its body has been read to the end.
            admitted: The call.
            event_count: Number of events that have arrived, for a stream; None
                for any other body.
        """
        has_end_mark = not response.head.ends_with_connection
        if has_end_mark and (event_count is None or not _has_closed(response)):
            return None
        if admitted.call.method == b"HEAD":
            return None
        endpoint, request_id = response.endpoint, admitted.call.request_id
        return end_check.find_broken_end(
            end_check.EndedResponse(
                request_id,
                event_count,
                has_end_mark=has_end_mark,
                is_leaving=self._notices.is_leaving(endpoint),
                is_close_announced=response.head.closes_connection,
            ),
            functools.partial(
                self._request_status, endpoint, admitted.service, request_id
            ),
            admitted.deadline_s,
            self._log,
            endpoint.endpoint_id,
        )

    def _request_status(
        self,
        endpoint: model.Endpoint,
        service: model.Service,
        request_id: str,
        is_new: bool,
        timeout_s: float,
    ) -> calls.EndpointStatus | errors.Failure:
        """Requests what an endpoint states of itself and of one run."""
        request = self._codec.encode_status_request(endpoint, service)
        result = self._exchange_control(
            endpoint, request, timeout_s, timeout_s if is_new else None
        )
        if isinstance(result, errors.Failure):
            return result
        head, body = result
        return self._codec.decode_status(
            head, body, endpoint, service, request_id
        )

    def send_control_request(
        self,
        endpoint: model.Endpoint,
        request: platform_codec.ControlRequest,
        timeout_s: float,
        *,
        new_connection_timeout_s: float | None = None,
    ) -> tuple[int, bytes] | errors.Failure:
        """Sends a control request and reads the complete response.

        Args:
            endpoint: The endpoint that gets the request.
            request: The request.
            timeout_s: Longest time for the exchange, in seconds.
            new_connection_timeout_s: Longest time for opening a connection for
                the request, in seconds; None to use a pooled one, which may
                have fallen silent.

        Returns:
            HTTP status and body, or a failure.
        """
        result = self._exchange_control(
            endpoint, request, timeout_s, new_connection_timeout_s
        )
        if isinstance(result, errors.Failure):
            return result
        head, body = result
        return head.status, body

    def _exchange_control(
        self,
        endpoint: model.Endpoint,
        request: platform_codec.ControlRequest,
        timeout_s: float,
        new_connection_timeout_s: float | None,
    ) -> tuple[calls.EndpointResponseHead, bytes] | errors.Failure:
        """Sends a control request and reads head and body of the response."""
        is_new = new_connection_timeout_s is not None
        conn = self._pool.acquire(
            endpoint,
            new_connection_timeout_s if is_new else timeout_s,
            must_be_new=is_new,
        )
        if isinstance(conn, errors.Failure):
            return conn
        is_reusable = False
        try:
            deadline_s = clock.boottime() + timeout_s
            failure = conn.send_request(
                request.method,
                request.target,
                request.headers,
                request.body,
                timeout_s,
            )
            if failure is not None:
                return failure
            head = self._read_own_head(conn, request.method, "", deadline_s)
            if isinstance(head, errors.Failure):
                return head
            body = conn.read_body(deadline_s, _MAX_CONTROL_BODY_BYTES)
            if isinstance(body, errors.Failure):
                return body
            is_reusable = not (
                head.ends_with_connection or head.closes_connection
            )
            return head, body
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
        head_deadline_s: float,
    ) -> EndpointResponse | errors.Failure:
        """Sends a call and reads response heads until one belongs to it."""
        remaining_s = head_deadline_s - clock.boottime()
        failure = conn.send_request(
            call.method, call.target, headers, call.body, remaining_s
        )
        if failure is not None:
            return failure
        response_head = self._read_own_head(
            conn, call.method, call.request_id, head_deadline_s
        )
        if isinstance(response_head, errors.Failure):
            return response_head
        if not response_head.is_other_instance:
            self._notices.handle(endpoint, response_head)
        return self._check_head(conn, endpoint, response_head)

    def _read_own_head(
        self,
        conn: client.ClientConnection,
        method: bytes,
        request_id: str,
        deadline_s: float,
    ) -> calls.EndpointResponseHead | errors.Failure:
        """Reads response heads until one belongs to the request just sent.

        A faulty endpoint may send the response to an earlier request once more,
        or late. The id shows which request a response belongs to. One without
        an id belongs to a call only if the connection has carried no other
        request.

        Args:
            conn: The connection that the request was sent on.
            method: HTTP method of the request.
            request_id: Id of the call; empty for a control request, whose
                response has none.
            deadline_s: Instant until which to wait, in seconds.
        """
        for _ in range(_MAX_RESPONSE_HEADS):
            head = conn.read_head(deadline_s)
            if isinstance(head, errors.Failure):
                return head
            response_head = self._codec.decode_response_head(head)
            if response_head.request_id == request_id:
                return response_head
            if not response_head.request_id:
                if not conn.is_reused:
                    return response_head
                break
            if not head.has_body_framing or not conn.skip_response(
                method, deadline_s
            ):
                break
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED,
            "the response may belong to another request",
        )

    def _check_head(
        self,
        conn: client.ClientConnection,
        endpoint: model.Endpoint,
        response_head: calls.EndpointResponseHead,
    ) -> EndpointResponse | errors.Failure:
        """Returns the response, or a failure if it must not reach the caller.

        Responses with a status below 300 need a signature and a request id. A
        status that callers take for the statement that the call was not run
        needs that statement from the endpoint.
        """
        if response_head.status < 300 and not (
            response_head.has_signature and response_head.request_id
        ):
            return errors.Failure(
                errors.Kind.ENDPOINT_FAILED,
                "the response has no signature or no request id",
            )
        if response_head.implies_not_run and not response_head.states_not_run:
            return errors.Failure(
                errors.Kind.ENDPOINT_FAILED,
                f"the endpoint returned status {response_head.status} but does"
                " not state that it did not run the call",
            )
        return EndpointResponse(endpoint, conn, response_head)


def _has_closed(response: EndpointResponse) -> bool:
    """Returns whether the connection ends with the body of its response."""
    if response.head.closes_connection:
        return True
    eventlet.sleep(_CLOSE_DELAY_S)
    return not response.conn.is_open_without_unread_data()
