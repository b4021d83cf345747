"""Rate limits that all processes share without coordination.

Each process enforces its own part of a limit, so that the sum over all
processes stays within the limit.
"""

from __future__ import annotations

import collections

# Fraction of the retry budget that is used. The rest is a margin, because the
# parts that the processes enforce are not exact.
SAFETY_FRACTION = 0.8


class RetryBudget:
    """Limits the retries to each service within a sliding window.

    In each window, all processes together may send `ratio` retries for each
    request of a caller, plus `extra` retries. Each process counts its own
    requests and uses an equal part of `extra`.

    Args:
        ratio: Number of retries for each request of a caller.
        extra: Number of additional retries, for all processes together.
        window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        # Times in seconds at which requests and retries were counted, by name
        # of the service; the latest is last.
        self._request_times: dict[str, collections.deque[float]] = {}
        self._retry_times: dict[str, collections.deque[float]] = {}

    def set_limits(self, ratio: float, extra: float, window_s: float) -> None:
        """Replaces the limits; earlier requests and retries still count.

        Args:
            ratio: Number of retries for each request of a caller.
            extra: Number of additional retries, for all processes together.
            window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s

    def count_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request to a service."""
        self._add(self._request_times, service, now_s)

    def try_consume(
        self, service: str, now_s: float, process_count: int
    ) -> bool:
        """Consumes one retry if the budget allows it.

        Args:
            service: Service that the retry is sent to.
            now_s: Current time in seconds.
            process_count: Number of processes that share the budget.

        Returns:
            Whether the retry may be sent.
        """
        requests = self._count(self._request_times, service, now_s)
        retries = self._count(self._retry_times, service, now_s)
        allowed = self._ratio * requests + self._extra / max(1, process_count)
        if retries + 1 > allowed * SAFETY_FRACTION:
            return False
        self._add(self._retry_times, service, now_s)
        return True

    def _add(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> None:
        """Adds the current time to the times of a service."""
        times_by_service.setdefault(service, collections.deque()).append(now_s)

    def _count(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> int:
        """Returns how many of a service's times lie within the window.

        Earlier times are removed.
        """
        times = times_by_service.get(service)
        if not times:
            return 0
        while times and now_s - times[0] > self._window_s:
            times.popleft()
        return len(times)


class ColdRateLimit:
    """Limits the request rate of cold endpoints, which started recently."""

    def __init__(self) -> None:
        # Times in seconds at which requests were counted, by endpoint id; the
        # latest is last.
        self._sent_times: dict[str, collections.deque[float]] = {}

    def allows(
        self,
        endpoint_id: str,
        max_requests_per_s: float,
        now_s: float,
        rank: int,
        process_count: int,
    ) -> bool:
        """Whether this process may send an endpoint one more request now.

        Requests within the last second count. The limit is divided evenly among
        the processes; the remainder goes to those with the lowest ranks.

        Args:
            endpoint_id: Id of the cold endpoint.
            max_requests_per_s: Maximum requests per second from all processes
                together.
            now_s: Current time in seconds.
            rank: Rank of this process among all processes, from 0; it may
                differ between endpoints.
            process_count: Number of processes that share the limit.
        """
        own_limit = int(max_requests_per_s // max(1, process_count))
        own_limit += rank < max_requests_per_s - own_limit * process_count
        times = self._sent_times.get(endpoint_id)
        while times and now_s - times[0] > 1.0:
            times.popleft()
        return len(times or ()) < own_limit

    def count_request(self, endpoint_id: str, now_s: float) -> None:
        """Counts a request to a cold endpoint."""
        times = self._sent_times.setdefault(endpoint_id, collections.deque())
        times.append(now_s)
