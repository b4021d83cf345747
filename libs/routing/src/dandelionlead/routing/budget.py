"""Bounds that all processes keep together, each with a share of its own."""

from __future__ import annotations

import collections

# Part of a shared bound that is used, since the shares are not exact.
SAFE_PART = 0.8


class RetryBudget:
    """Second sends to a service within a sliding window.

    In each window, all processes together may send `ratio` of the callers'
    requests and `extra` more a second time. Each takes its own requests and an
    equal part of `extra`.

    Args:
        ratio: Second sends for one request.
        extra: Second sends beyond that, of all processes together.
        window_s: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._firsts: dict[str, collections.deque[float]] = {}
        self._seconds: dict[str, collections.deque[float]] = {}

    def change(self, ratio: float, extra: float, window_s: float) -> None:
        """Takes other bounds; what was sent counts on."""
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s

    def first(self, service: str, now_s: float) -> None:
        """Counts a caller's request."""
        self._add(self._firsts, service, now_s)

    def take(self, service: str, now_s: float, processes: int) -> bool:
        """Takes one second send, if the budget has one.

        Args:
            service: The service that gets it.
            now_s: Time in seconds.
            processes: Processes that share the budget.
        """
        firsts = self._count(self._firsts, service, now_s)
        seconds = self._count(self._seconds, service, now_s)
        allowed = self._ratio * firsts + self._extra / max(1, processes)
        if seconds + 1 > allowed * SAFE_PART:
            return False
        self._add(self._seconds, service, now_s)
        return True

    def _add(
        self,
        book: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> None:
        book.setdefault(service, collections.deque()).append(now_s)

    def _count(
        self,
        book: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> int:
        times = book.get(service)
        if not times:
            return 0
        while times and now_s - times[0] > self._window_s:
            times.popleft()
        return len(times)


class ColdLimit:
    """Requests a second to endpoints that bear little after their start."""

    def __init__(self) -> None:
        self._sent: dict[str, collections.deque[float]] = {}

    def allows(
        self,
        endpoint_id: str,
        per_s: float,
        now_s: float,
        rank: int,
        processes: int,
    ) -> bool:
        """Whether this process may send one more request now.

        Args:
            endpoint_id: The cold endpoint.
            per_s: Requests a second that it bears from all processes.
            now_s: Time in seconds.
            rank: Place of this process among all for this endpoint, from 0.
            processes: Processes that share the bound.
        """
        share = int(per_s // max(1, processes))
        share += rank < per_s - share * processes
        times = self._sent.get(endpoint_id)
        while times and now_s - times[0] > 1.0:
            times.popleft()
        return len(times or ()) < share

    def sent(self, endpoint_id: str, now_s: float) -> None:
        """Counts a request to a cold endpoint."""
        times = self._sent.setdefault(endpoint_id, collections.deque())
        times.append(now_s)
