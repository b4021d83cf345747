"""Guards against readers that disagree on where a response ends.

Responses of endpoints, the store and peers that are valid, or nearly so, are
read whole and in pieces. There are two oracles: the parser alone, and a strict
reader of the grammar of RFC 9112. Bytes behind a response belong to no request,
so that its connection must not be used again.
"""

from __future__ import annotations

import re
import unittest

import framing_messages
import h11
import hypothesis
from hypothesis import strategies

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import client

_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [ -~]*\r\n")
_INTERIM = re.compile(rb"HTTP/1\.1 1[0-9][0-9] [ -~]*\r\n")
_BODILESS_STATUSES = (204, 304)
_TIMEOUT_S = 5.0
_FIELDS = strategies.lists(
    strategies.sampled_from(
        (
            b"X-A: 1\r\n",
            b"X-D : 3\r\n",
            b"X-E: 4\r\n folded\r\n",
            b"X-G: 6\n",
            b"Content-Length: 3\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: identity\r\n",
        )
    ),
    max_size=2,
)
_SURPLUS = strategies.sampled_from(
    (b"", b"", b"", b"x", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
)


@strategies.composite
def _responses(draw: strategies.DrawFn, *, is_valid: bool) -> bytes:
    """Draws one response, with interim ones and surplus bytes."""
    interim = draw(
        strategies.sampled_from(
            (b"", b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n")
        )
    )
    status = draw(strategies.sampled_from((200, 200, 200, 204, 304, 503)))
    fields = [] if is_valid else draw(_FIELDS)
    framing = draw(strategies.sampled_from(("none", "length", "chunks")))
    body = b""
    if status in _BODILESS_STATUSES:
        framing = "bodiless"
    if framing == "none":
        body = draw(framing_messages.CONTENTS)
    elif framing == "length":
        body = draw(framing_messages.CONTENTS)
        values = (b"%d",) if is_valid else (b"%d", b"+%d", b"%d,%d", b"1%d")
        value = draw(strategies.sampled_from(values))
        sizes = (len(body),) * value.count(b"%d")
        fields.append(b"Content-Length: " + value % sizes + b"\r\n")
    elif framing == "chunks":
        body = draw(framing_messages.chunked_bodies(is_valid=is_valid))
        fields.append(b"Transfer-Encoding: chunked\r\n")
    if framing != "none":
        body += draw(_SURPLUS)
    head = b"HTTP/1.1 %d Status\r\n" % status
    return interim + head + b"".join(fields) + b"\r\n" + body


class _Outcome:
    """What one reader has made of a connection.

    Attributes:
        status: Status of the response; 0 for none.
        body: The whole body; None if it is not complete.
        can_reuse: Whether the connection may carry another request.
    """

    def __init__(
        self, status: int, body: bytes | None, *, can_reuse: bool = False
    ) -> None:
        self.status = status
        self.body = body
        self.can_reuse = can_reuse

    def __eq__(self, other: object) -> bool:
        return repr(self) == repr(other)

    def __repr__(self) -> str:
        return f"{self.status} {self.body} {self.can_reuse}"


class _ServerSocket(framing_messages.PieceSocket):
    """A socket whose peer sends the pieces of a response, and then closes."""

    @property
    def fd(self) -> _ServerSocket:
        """Returns what the client reads from."""
        return self

    def sendall(self, data: bytes) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


def _read_by_product(pieces: list[bytes]) -> _Outcome:
    """Returns the response that the client finds."""
    conn = client.ClientConnection(("10.0.0.1", 1), _ServerSocket(pieces))
    conn.send_request(b"GET", b"/", [(b"Host", b"a")], b"", _TIMEOUT_S)
    deadline_s = clock.boottime() + _TIMEOUT_S
    head = conn.read_head(deadline_s)
    if isinstance(head, errors.Failure):
        return _Outcome(0, None)
    body = conn.read_body(deadline_s, 1_000_000)
    if isinstance(body, errors.Failure):
        return _Outcome(head.status, None)
    can_reuse = head.has_body_framing and conn.try_prepare_reuse()
    return _Outcome(head.status, body, can_reuse=can_reuse)


def _read_by_parser(data: bytes) -> _Outcome:
    """Returns the response that the parser alone finds."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(
        h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"a")])
    )
    conn.send(h11.EndOfMessage())
    conn.receive_data(data)
    conn.receive_data(b"")
    status = 0
    body = b""
    try:
        while isinstance(
            event := conn.next_event(), (h11.InformationalResponse, h11.Data)
        ) or isinstance(event, h11.Response):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return _Outcome(status, None)
    return _Outcome(
        status, body if isinstance(event, h11.EndOfMessage) else None
    )


def _read_strictly(data: bytes) -> _Outcome | None:
    """Returns the response by the grammar; None if it is not valid."""
    reader = framing_messages.StrictReader(data)
    while reader.match(_INTERIM):
        if reader.read_fields() is None:
            return None
    line = reader.match(_STATUS_LINE)
    fields = reader.read_fields() if line else None
    if fields is None:
        return None
    status = int(line[1])
    names = {name for name, _ in fields}
    if status in _BODILESS_STATUSES:
        # RFC 9112 forbids both fields with 204; here none has them with 304.
        if names & {b"content-length", b"transfer-encoding"}:
            return None
        body = b""
    elif names & {b"content-length", b"transfer-encoding"}:
        body = reader.read_body(fields)
    else:
        body = reader.take_rest()
    return None if body is None else _Outcome(status, body)


class ResponseFramingFuzz(unittest.TestCase):
    """Guards against a response that ends elsewhere than its sender meant."""

    @hypothesis.given(
        strategies.one_of(
            _responses(is_valid=True), _responses(is_valid=False)
        ).flatmap(lambda response: framing_messages.cut([response]))
    )
    def test_all_readers_find_the_same_response(
        self, pieces: list[bytes]
    ) -> None:
        data = b"".join(pieces)
        outcome = _read_by_product([data])
        in_pieces = _read_by_product(pieces)
        self.assertEqual(
            (in_pieces.status, in_pieces.body), (outcome.status, outcome.body)
        )
        by_parser = _read_by_parser(data)
        self.assertEqual(
            (outcome.status, outcome.body), (by_parser.status, by_parser.body)
        )
        strict = _read_strictly(data)
        if strict is not None:
            self.assertEqual(
                (outcome.status, outcome.body), (strict.status, strict.body)
            )

    @hypothesis.given(_responses(is_valid=True))
    def test_connection_with_surplus_bytes_is_not_used_again(
        self, data: bytes
    ) -> None:
        outcome = _read_by_product([data])
        reader = framing_messages.StrictReader(data)
        while reader.match(_INTERIM):
            reader.read_fields()
        status = int(reader.match(_STATUS_LINE)[1])
        fields = reader.read_fields()
        is_framed = bool(fields) or status in _BODILESS_STATUSES
        if is_framed and status not in _BODILESS_STATUSES:
            reader.read_body(fields)
        has_surplus = bool(reader.take_rest())
        self.assertEqual(outcome.can_reuse, is_framed and not has_surplus)


if __name__ == "__main__":
    unittest.main()
