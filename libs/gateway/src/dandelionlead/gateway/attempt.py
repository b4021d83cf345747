"""One send of a call to one endpoint, and control requests to endpoints."""

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
# Responses of earlier requests that are passed over on one connection.
_MAX_SKIPPED = 3


class Started:
    """An endpoint's response whose head has been read.

    Attributes:
        endpoint: Where it comes from.
        conn: The connection.
        answer: What the head says.
        given_back: Whether the connection may serve another request by now.
    """

    __slots__ = ("endpoint", "conn", "answer", "given_back")

    def __init__(
        self,
        endpoint: model.Endpoint,
        conn: channel.Channel,
        answer: calls.AnswerHead,
    ) -> None:
        self.endpoint = endpoint
        self.conn = conn
        self.answer = answer
        self.given_back = False

    def close(self) -> None:
        """Closes the connection, unless it was given back."""
        if not self.given_back:
            self.conn.close()


class Sender:
    """Sends calls and control requests to endpoints."""

    def __init__(self, connections: pool.Pool, words: dialect.Dialect) -> None:
        self._pool = connections
        self._words = words

    def start(
        self,
        admitted: calls.Admitted,
        endpoint: model.Endpoint,
        until_s: float,
        *,
        resumption: calls.Resumption | None = None,
        backup: model.Endpoint | None = None,
    ) -> Started | errors.Failure:
        """Sends a call and reads the head of the response.

        The kind of a failure says whether the call may have run:
        `ENDPOINT_UNREACHABLE` means that nothing was sent.

        Args:
            admitted: The call.
            endpoint: Where to.
            until_s: Instant up to which the head is waited for.
            resumption: Where an earlier run goes on.
            backup: Engine that keeps a copy of the run's memory.
        """
        conn = self._pool.take(
            endpoint,
            until_s - clock.boottime(),
            once=not admitted.route.repeatable,
        )
        if isinstance(conn, errors.Failure):
            return conn
        kept = False
        try:
            left_s = admitted.until_s - clock.boottime()
            headers = self._words.call_headers(
                admitted,
                endpoint,
                left_s,
                resumption=resumption,
                backup=backup,
            )
            started = self._exchange(
                conn, admitted.call, endpoint, headers, until_s
            )
            kept = isinstance(started, Started)
            if not kept:
                self._note_rest(conn, endpoint, started)
            return started
        finally:
            if not kept:
                conn.close()

    def _note_rest(
        self,
        conn: channel.Channel,
        endpoint: model.Endpoint,
        failure: errors.Failure,
    ) -> None:
        """Learns from a connection that broke when it was used again."""
        broke = failure.kind is errors.Kind.ENDPOINT_FAILED
        if broke and conn.rested_s:
            self._pool.forgotten(endpoint, conn.rested_s)

    def finish(self, started: Started) -> None:
        """Gives the connection of a complete response back."""
        if started.answer.leaving:
            started.close()
            return
        if started.answer.idle_limit_s:
            started.conn.idle_limit_s = started.answer.idle_limit_s
        started.given_back = True
        self._pool.give_back(started.endpoint, started.conn)

    def control(
        self, endpoint: model.Endpoint, message: dialect.Message, limit_s: float
    ) -> tuple[int, bytes] | errors.Failure:
        """Sends a control request; returns status and body."""
        conn = self._pool.take(endpoint, limit_s)
        if isinstance(conn, errors.Failure):
            return conn
        reusable = False
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
            answer = self._words.read_answer(head)
            reusable = head.framed and not answer.leaving
            return head.status, body
        finally:
            if reusable:
                self._pool.give_back(endpoint, conn)
            else:
                conn.close()

    def _exchange(
        self,
        conn: channel.Channel,
        call: calls.Call,
        endpoint: model.Endpoint,
        headers: channel.Headers,
        until_s: float,
    ) -> Started | errors.Failure:
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
            answer = self._words.read_answer(head)
            if answer.request_id in ("", call.request_id):
                return self._checked(conn, endpoint, answer)
            if not head.framed or not conn.skip_answer(call.method, until_s):
                break
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED, "the response is to another call"
        )

    def _checked(
        self,
        conn: channel.Channel,
        endpoint: model.Endpoint,
        answer: calls.AnswerHead,
    ) -> Started | errors.Failure:
        if answer.status < 300 and not (answer.signed and answer.request_id):
            return errors.Failure(
                errors.Kind.ENDPOINT_FAILED, "the response is not signed"
            )
        return Started(endpoint, conn, answer)
