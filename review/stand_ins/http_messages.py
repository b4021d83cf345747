"""Reads and writes HTTP/1.1 messages for the stand-ins, with asyncio alone."""

from __future__ import annotations

import asyncio

MAX_HEAD_BYTES = 65_536


class Message:
    """A request or a response.

    Attributes:
        start: First line of the message, split at spaces.
        headers: Values by lower-case name.
        body: The body; empty for a response whose body is read in parts.
    """

    __slots__ = ("start", "headers", "body")

    def __init__(
        self, start: list[str], headers: dict[str, str], body: bytes
    ) -> None:
        self.start = start
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the head of the next message; None if the stream has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" "), headers, b"")


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next request with its body; None if there is none."""
    message = await read_head(reader)
    if message is None:
        return None
    size = int(message.headers.get("content-length", "0"))
    if size:
        message.body = await reader.readexactly(size)
    return message


def make_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a whole response with a length."""
    fields = headers | {"Content-Length": str(len(body))}
    return make_head(status, fields) + body


def make_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
