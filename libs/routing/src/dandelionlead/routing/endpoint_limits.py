"""Keeps the request rates that endpoints state in their responses.

An endpoint that is overloaded names how many requests per second it takes from
all processes together. Each process tells its peers which limits it has seen
and how many requests it has sent, so that all of them count the requests of
all. What is counted may be a few milliseconds old; each process therefore also
keeps to its own part of the limit, so that the sum stays bounded if messages
are lost.

An endpoint may also ask one process to send it nothing for some time.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

# Window over which the named rate is kept, and a shorter one that keeps the
# requests from arriving all at once. In seconds.
WINDOW_S = 4.0
SHORT_WINDOW_S = 1.0
# Factor by which the part of one process may exceed an equal part of the limit,
# because callers don't spread their calls evenly.
_OWN_PART_FACTOR = 1.25
# Time for which a limit that has ended is kept, so that a late message of a
# peer does not bring it back. In seconds.
_ENDED_LIMIT_AGE_S = 10.0
# Requests that may be sent during a pause that the endpoint asked for, if a run
# is lost otherwise.
_MAX_RESUMPTIONS_IN_PAUSE = 1


class LimitReport:
    """What one process knows about the limit of an endpoint.

    Attributes:
        endpoint_id: Id of the endpoint.
        requests_per_s: The limit; None if the endpoint names none any more.
        named_s: Time in seconds at which the endpoint last stated this.
        sent_count: Requests that the process has sent since it knows of the
            limit.
        recent_count: Those within the last `WINDOW_S`.
    """

    __slots__ = (
        "endpoint_id",
        "requests_per_s",
        "named_s",
        "sent_count",
        "recent_count",
    )

    def __init__(
        self,
        endpoint_id: str,
        requests_per_s: float | None,
        named_s: float,
        sent_count: int,
        recent_count: int,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.requests_per_s = requests_per_s
        self.named_s = named_s
        self.sent_count = sent_count
        self.recent_count = recent_count


class _Limit:
    """The limit of one endpoint, and the requests that count towards it.

    Attributes:
        requests_per_s: The limit; None if it has ended.
        named_s: Time in seconds at which the endpoint last stated this.
        sent_count: Requests that this process has sent.
        own_times: Times in seconds of these requests within the window.
        all_times: The same for the requests of all processes. Those of a peer
            have the time at which this process heard of them.
        peer_counts: Last `sent_count` of each peer, by its incarnation.
    """

    __slots__ = (
        "requests_per_s",
        "named_s",
        "sent_count",
        "own_times",
        "all_times",
        "peer_counts",
    )

    def __init__(self, requests_per_s: float | None, named_s: float) -> None:
        self.requests_per_s = requests_per_s
        self.named_s = named_s
        self.sent_count = 0
        self.own_times: collections.deque[float] = collections.deque()
        self.all_times: collections.deque[float] = collections.deque()
        self.peer_counts: dict[str, int] = {}

    def drop_old_times(self, now_s: float) -> None:
        """Drops the times that lie before the window."""
        for times in (self.own_times, self.all_times):
            while times and now_s - times[0] > WINDOW_S:
                times.popleft()

    def compute_wait_s(
        self, now_s: float, process_count: int, rank_if_alone: int | None
    ) -> float:
        """Returns the seconds until this process may send a request.

        Args:
            now_s: Current time in seconds.
            process_count: Number of processes that share the limit.
            rank_if_alone: Rank of this process among all if it hears nothing
                from the others, otherwise None.
        """
        if self.requests_per_s is None:
            return 0.0
        self.drop_old_times(now_s)
        window_limit = self.requests_per_s * WINDOW_S
        own_part = _OWN_PART_FACTOR * window_limit / max(1, process_count)
        if (
            rank_if_alone is not None
            and own_part < 1.0
            and rank_if_alone >= _OWN_PART_FACTOR * window_limit
        ):
            # Only as many processes as there are requests send one each.
            return WINDOW_S
        return max(
            _compute_window_wait_s(
                self.all_times, math.floor(window_limit), WINDOW_S, now_s
            ),
            _compute_window_wait_s(
                self.all_times,
                math.ceil(self.requests_per_s * SHORT_WINDOW_S),
                SHORT_WINDOW_S,
                now_s,
            ),
            _compute_window_wait_s(
                self.own_times, round(own_part), WINDOW_S, now_s
            ),
        )


class _Pause:
    """A time in which an endpoint wants no requests from this process.

    Attributes:
        until_s: End of the pause in seconds.
        resumption_count: Requests to resume a run that were sent in it.
    """

    __slots__ = ("until_s", "resumption_count")

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s
        self.resumption_count = 0


class EndpointLimits:
    """Limits and pauses that endpoints have stated.

    Attributes:
        change_listener: Callback that receives the id of an endpoint after each
            change of its limit, and after each request to an endpoint with a
            limit.
    """

    def __init__(self) -> None:
        self.change_listener: Callable[[str], None] = _ignore
        # Limits and pauses by endpoint id.
        self._limits: dict[str, _Limit] = {}
        self._pauses: dict[str, _Pause] = {}

    def has_statement(self, endpoint_id: str) -> bool:
        """Whether a limit or pause of an endpoint is stored."""
        return endpoint_id in self._limits or endpoint_id in self._pauses

    def record_named(
        self, endpoint_id: str, requests_per_s: float | None, now_s: float
    ) -> bool:
        """Records what a response of an endpoint states about its limit.

        Args:
            endpoint_id: Id of the endpoint.
            requests_per_s: The limit; None if the response names none.
            now_s: Current time in seconds.

        Returns:
            Whether the limit has changed.
        """
        limit = self._limits.get(endpoint_id)
        if limit is None and requests_per_s is None:
            return False
        if limit is None:
            limit = self._limits[endpoint_id] = _Limit(None, now_s)
        has_changed = limit.requests_per_s != requests_per_s
        limit.requests_per_s = requests_per_s
        limit.named_s = now_s
        if has_changed:
            self.change_listener(endpoint_id)
        return has_changed

    def count_sent(self, endpoint_id: str, now_s: float) -> None:
        """Counts a request of this process to an endpoint."""
        limit = self._limits.get(endpoint_id)
        if limit is None or limit.requests_per_s is None:
            return
        limit.sent_count += 1
        limit.own_times.append(now_s)
        limit.all_times.append(now_s)
        self.change_listener(endpoint_id)

    def pause(self, endpoint_id: str, until_s: float) -> None:
        """Records that an endpoint wants nothing from this process for a time.

        Args:
            endpoint_id: Id of the endpoint.
            until_s: End of that time in seconds. An earlier end than one that
                was recorded before has no effect.
        """
        known = self._pauses.get(endpoint_id)
        if known is None or known.until_s < until_s:
            self._pauses[endpoint_id] = _Pause(until_s)

    def compute_wait_s(
        self,
        endpoint_id: str,
        now_s: float,
        process_count: int,
        rank_if_alone: int | None = None,
    ) -> float:
        """Returns the seconds until an endpoint may get another request.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: Current time in seconds.
            process_count: Number of processes that share the limit.
            rank_if_alone: Rank of this process among all if it hears nothing
                from the others, so that it does not know what they send;
                otherwise None.

        Returns:
            The seconds; 0 if it may get a request now.
        """
        wait_s = 0.0
        pause = self._pauses.get(endpoint_id)
        if pause is not None:
            wait_s = max(0.0, pause.until_s - now_s)
        limit = self._limits.get(endpoint_id)
        if limit is not None:
            wait_s = max(
                wait_s,
                limit.compute_wait_s(now_s, process_count, rank_if_alone),
            )
        return wait_s

    def try_resume(self, endpoint_id: str, now_s: float) -> bool:
        """Returns whether a run may be resumed at an endpoint, and counts it.

        A resumption saves a run whose KV cache is there. It counts towards the
        limit but need not wait for it; few are allowed during a pause.
        """
        pause = self._pauses.get(endpoint_id)
        if pause is None or now_s >= pause.until_s:
            return True
        if pause.resumption_count >= _MAX_RESUMPTIONS_IN_PAUSE:
            return False
        pause.resumption_count += 1
        return True

    def list_reports(
        self, now_s: float, endpoint_ids: set[str] | None = None
    ) -> list[LimitReport]:
        """Returns what this process knows, for its peers.

        Args:
            now_s: Current time in seconds.
            endpoint_ids: Ids of the endpoints; None for all.
        """
        self._drop_ended(now_s)
        reports = []
        for endpoint_id, limit in self._limits.items():
            if endpoint_ids is not None and endpoint_id not in endpoint_ids:
                continue
            limit.drop_old_times(now_s)
            reports.append(
                LimitReport(
                    endpoint_id,
                    limit.requests_per_s,
                    limit.named_s,
                    limit.sent_count,
                    len(limit.own_times),
                )
            )
        return reports

    def add_peer_report(
        self, peer_incarnation: str, report: LimitReport, now_s: float
    ) -> None:
        """Applies what a peer knows about the limit of an endpoint.

        What the endpoint stated last holds, whoever has seen it.

        Args:
            peer_incarnation: Identifier of this start of the peer.
            report: The report.
            now_s: Current time in seconds.
        """
        limit = self._limits.get(report.endpoint_id)
        if limit is None:
            limit = _Limit(report.requests_per_s, report.named_s)
            self._limits[report.endpoint_id] = limit
        elif report.named_s > limit.named_s:
            limit.requests_per_s = report.requests_per_s
            limit.named_s = report.named_s
        known_count = limit.peer_counts.get(peer_incarnation)
        new_count = report.recent_count
        if known_count is not None:
            new_count = report.sent_count - known_count
        limit.peer_counts[peer_incarnation] = report.sent_count
        limit.all_times.extend([now_s] * max(0, new_count))

    def _drop_ended(self, now_s: float) -> None:
        """Drops limits that ended long ago, and pauses that have ended."""
        self._limits = {
            endpoint_id: limit
            for endpoint_id, limit in self._limits.items()
            if limit.requests_per_s is not None
            or now_s - limit.named_s < _ENDED_LIMIT_AGE_S
        }
        self._pauses = {
            endpoint_id: pause
            for endpoint_id, pause in self._pauses.items()
            if now_s < pause.until_s
        }


def _compute_window_wait_s(
    times: collections.deque[float],
    max_count: int,
    window_s: float,
    now_s: float,
) -> float:
    """Returns the seconds until a window has room for one more request.

    Args:
        times: Times of the counted requests in seconds, the latest last.
        max_count: Requests that the window may contain; at least one is
            allowed, so that the endpoint can state that its limit has ended.
        window_s: Length of the window in seconds.
        now_s: Current time in seconds.
    """
    max_count = max(1, max_count)
    if len(times) < max_count:
        return 0.0
    return max(0.0, times[-max_count] + window_s - now_s)


def _ignore(_: str) -> None:
    """Does nothing; the default listener."""
