"""Counts of the requests, connections and responses that were refused."""

from __future__ import annotations


class IntakeCounts:
    """What an intake refused since the counts were last taken.

    Attributes:
        refused_connections: Connections that were closed when they came.
        refused_requests: Requests that were refused for lack of memory.
        evicted_connections: Connections that were closed to make room.
        cut_responses: Responses of endpoints or the store that were cut off to
            make room.
    """

    __slots__ = (
        "refused_connections",
        "refused_requests",
        "evicted_connections",
        "cut_responses",
    )

    def __init__(self) -> None:
        self.refused_connections = 0
        self.refused_requests = 0
        self.evicted_connections = 0
        self.cut_responses = 0

    def is_zero(self) -> bool:
        """Returns whether nothing was refused."""
        return not (
            self.refused_connections
            or self.refused_requests
            or self.evicted_connections
            or self.cut_responses
        )
