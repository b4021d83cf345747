"""Limits on the size of requests and on the time that callers may take."""

from __future__ import annotations


class RequestLimits:
    """Limits on one request of a caller.

    Attributes:
        max_header_bytes: Largest size of the request head.
        max_body_bytes: Largest size of the request body.
        header_timeout_s: Seconds from the first byte of a request to the end of
            its head; also the seconds to wait for each next part of its body.
        idle_timeout_s: Seconds that a connection may stay open without a
            request; also the seconds for writing a response, unless the handler
            sets another deadline.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        max_header_bytes: int = 16_384,
        max_body_bytes: int = 4_194_304,
        header_timeout_s: float = 3.0,
        idle_timeout_s: float = 15.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
