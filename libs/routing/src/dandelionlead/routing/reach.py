"""Tracks which services this process reaches, and which its peers reach.

A process that lost its network paths to the endpoints of a service fails at all
of them while its peers still reach them. Only what peers state tells this apart
from endpoints that are down for all.

The evidence of this process is whether new connections could be opened. A
response over an older connection is none: such a connection may live on while
new ones are refused.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from collections.abc import Collection

# An own failure counts for this time. While a service is not reached, endpoints
# are probed more often than this.
OWN_MAX_AGE_S = 5.0
# What a peer has reached counts for this time.
PEER_MAX_AGE_S = 4.0
# Endpoints without a connection from which a service counts as not reached; all
# of them if it has fewer. Single endpoints also fail because they are down.
_MIN_UNREACHED = 4
_NEVER = float("-inf")


class Reach(enum.Enum):
    """Whether this process reaches a service.

    Attributes:
        UNKNOWN: No connection was tried, or too few have failed.
        REACHED: The last connections could be opened.
        DOWN: Connections to many endpoints fail, and no peer states that it
            reaches the service.
        CUT_OFF: Connections to many endpoints fail here only.
    """

    UNKNOWN = "unknown"
    REACHED = "reached"
    DOWN = "down"
    CUT_OFF = "cut_off"


class _Record:
    """This process's connections to an endpoint.

    Attributes:
        reached_s: Time in seconds of the last connection that was opened.
        unreached_s: Time in seconds of the last attempt that failed.
        failing_since_s: Time in seconds of the first of the attempts that have
            failed since `reached_s`.
    """

    __slots__ = ("reached_s", "unreached_s", "failing_since_s")

    def __init__(self) -> None:
        self.reached_s = _NEVER
        self.unreached_s = _NEVER
        self.failing_since_s = float("inf")


class _Failures:
    """Attempts that failed since an endpoint of the service was reached.

    Attributes:
        endpoint_count: Number of endpoints at which they failed.
        since_s: Time in seconds of the first of them.
    """

    __slots__ = ("endpoint_count", "since_s")

    def __init__(self, endpoint_count: int, since_s: float) -> None:
        self.endpoint_count = endpoint_count
        self.since_s = since_s


class ReachTracker:
    """Connections of this process to endpoints, and what peers reach.

    Attributes:
        peer_listener: Called when a peer has stated which services it reaches
            or does not reach.
    """

    def __init__(self) -> None:
        self.peer_listener: Callable[[], None] = lambda: None
        # By endpoint id.
        self._records: dict[str, _Record] = {}
        # Times in seconds at which peers reached services, by name of the
        # service, by name of the peer.
        self._peer_reach: dict[str, dict[str, float]] = {}
        # Services that peers state not to reach, by name of the peer.
        self._peer_doubts: dict[str, frozenset[str]] = {}

    def record_reached(self, endpoint_id: str, now_s: float) -> None:
        """Records that a new connection to an endpoint was opened."""
        record = self._records.setdefault(endpoint_id, _Record())
        record.reached_s = now_s
        record.failing_since_s = float("inf")

    def record_unreached(self, endpoint_id: str, now_s: float) -> None:
        """Records that a new connection to an endpoint failed."""
        record = self._records.setdefault(endpoint_id, _Record())
        record.unreached_s = now_s
        record.failing_since_s = min(record.failing_since_s, now_s)

    def replace_peer_reach(
        self, peer_name: str, reached: dict[str, float], now_s: float
    ) -> None:
        """Replaces what a peer states that it reached.

        Args:
            peer_name: Name of the peer.
            reached: Ages in seconds of the last connection that the peer
                opened, by name of the service; if empty, none is stored.
            now_s: Current time in seconds.
        """
        if reached:
            self._peer_reach[peer_name] = {
                service: now_s - max(0.0, age_s)
                for service, age_s in reached.items()
            }
        else:
            self._peer_reach.pop(peer_name, None)

    def replace_peer_doubts(
        self, peer_name: str, services: Collection[str]
    ) -> None:
        """Replaces the services that a peer states not to reach."""
        if services:
            self._peer_doubts[peer_name] = frozenset(services)
        else:
            self._peer_doubts.pop(peer_name, None)

    def list_doubting_peers(self, service: str) -> list[str]:
        """Returns the names of the peers that state not to reach a service."""
        return [
            name
            for name, services in self._peer_doubts.items()
            if service in services
        ]

    def get_last_reached_s(self, endpoint_ids: Collection[str]) -> float:
        """Returns when any of some endpoints was last reached, in seconds.

        Minus infinity if none of them ever was.
        """
        return max(
            (
                self._records[endpoint_id].reached_s
                for endpoint_id in endpoint_ids
                if endpoint_id in self._records
            ),
            default=_NEVER,
        )

    def get_last_unreached_s(self, endpoint_id: str) -> float:
        """Returns when a connection to an endpoint last failed, in seconds."""
        record = self._records.get(endpoint_id)
        return _NEVER if record is None else record.unreached_s

    def is_in_doubt(self, endpoint_ids: Collection[str], now_s: float) -> bool:
        """Whether a connection failed since any of the endpoints was reached.

        Args:
            endpoint_ids: Ids of the endpoints of one service.
            now_s: Current time in seconds.
        """
        return self._find_failures(endpoint_ids, now_s).endpoint_count > 0

    def is_unreached(self, endpoint_ids: Collection[str], now_s: float) -> bool:
        """Whether connections to many of the endpoints failed, and none opened.

        Args:
            endpoint_ids: Ids of the endpoints of one service.
            now_s: Current time in seconds.
        """
        failures = self._find_failures(endpoint_ids, now_s)
        return _are_enough(failures, endpoint_ids)

    def is_cut_off(
        self, service: str, endpoint_ids: Collection[str], now_s: float
    ) -> bool:
        """Whether this process does not reach a service that a peer reaches.

        Args:
            service: Name of the service.
            endpoint_ids: Ids of its endpoints.
            now_s: Current time in seconds.
        """
        return self.assess(service, endpoint_ids, now_s) is Reach.CUT_OFF

    def assess(
        self, service: str, endpoint_ids: Collection[str], now_s: float
    ) -> Reach:
        """Returns whether this process reaches a service.

        Args:
            service: Name of the service.
            endpoint_ids: Ids of its endpoints.
            now_s: Current time in seconds.
        """
        failures = self._find_failures(endpoint_ids, now_s)
        if not failures.endpoint_count:
            is_known = self.get_last_reached_s(endpoint_ids) != _NEVER
            return Reach.REACHED if is_known else Reach.UNKNOWN
        if not _are_enough(failures, endpoint_ids):
            return Reach.UNKNOWN
        earliest_s = max(failures.since_s, now_s - PEER_MAX_AGE_S)
        is_reached_by_peer = any(
            reached.get(service, _NEVER) >= earliest_s
            for reached in self._peer_reach.values()
        )
        return Reach.CUT_OFF if is_reached_by_peer else Reach.DOWN

    def list_reaching_peers(self, service: str, now_s: float) -> list[str]:
        """Returns the names of the peers that reached a service recently.

        The one that reached it last is first. Whether a peer still runs is for
        the caller to check, or to state by `replace_peer_reach`.

        Args:
            service: Name of the service.
            now_s: Current time in seconds.
        """
        times_s = {
            name: reached[service]
            for name, reached in self._peer_reach.items()
            if now_s - reached.get(service, _NEVER) <= PEER_MAX_AGE_S
        }
        return sorted(times_s, key=times_s.__getitem__, reverse=True)

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Removes the records of all endpoints that are not in the set."""
        for endpoint_id in self._records.keys() - set(endpoint_ids):
            del self._records[endpoint_id]

    def _find_failures(
        self, endpoint_ids: Collection[str], now_s: float
    ) -> _Failures:
        """Returns the failures since any of the endpoints was reached."""
        reached_s = self.get_last_reached_s(endpoint_ids)
        records = [
            self._records[endpoint_id]
            for endpoint_id in endpoint_ids
            if endpoint_id in self._records
        ]
        failing = [
            record
            for record in records
            if record.unreached_s > reached_s
            and now_s - record.unreached_s <= OWN_MAX_AGE_S
        ]
        since_s = min(
            (max(record.failing_since_s, reached_s) for record in failing),
            default=float("inf"),
        )
        return _Failures(len(failing), since_s)


def _are_enough(failures: _Failures, endpoint_ids: Collection[str]) -> bool:
    """Whether the failures are at enough of the endpoints of a service."""
    needed = min(_MIN_UNREACHED, len(endpoint_ids))
    return 0 < needed <= failures.endpoint_count
