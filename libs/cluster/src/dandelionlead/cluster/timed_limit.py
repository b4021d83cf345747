"""Keeps the age of what an endpoint stated while processes pass it on.

A message says how many milliseconds ago an endpoint stated its limit. A process
that passes the statement on later, or keeps it for a snapshot, must add the
time that it held it. Otherwise an old statement, such as that a limit has
ended, would look newer than the present one.
"""

from __future__ import annotations

from dandelionlead.cluster.gen import ttypes


class TimedLimit:
    """The limit of an endpoint as a message contained it, and when that was.

    Attributes:
        limit: The limit with its age at `received_s`.
        received_s: Time at which the message arrived or was built, in seconds.
    """

    __slots__ = ("limit", "received_s")

    def __init__(self, limit: ttypes.EndpointLimit, received_s: float) -> None:
        self.limit = limit
        self.received_s = received_s

    def build_message(self, now_s: float) -> ttypes.EndpointLimit:
        """Returns the limit with its present age.

        Args:
            now_s: Current time in seconds.
        """
        limit = self.limit
        held_ms = max(0, int((now_s - self.received_s) * 1e3))
        return ttypes.EndpointLimit(
            limit.endpoint_id,
            limit.requests_per_s,
            limit.named_ms_ago + held_ms,
            limit.sent_count,
            limit.recent_count,
        )
