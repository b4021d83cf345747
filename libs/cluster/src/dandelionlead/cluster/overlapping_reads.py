"""Runs further reads beside one that is overdue, until one of them responds.

A read that waits for changes may be sent to a peer that has fallen silent, or
over a connection that has. If the reader waited for its time limit, it would
miss every change in the meantime, although the peer serves new requests. If it
ended the read early, it would never get a response from a peer that is slow.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import eventlet.queue

from dandelionlead.core import errors

# Largest number of reads in progress. It bounds the load on a peer that does
# not respond.
MAX_CONCURRENT_READS = 3


class _ReadResult:
    """Result of one read.

    Attributes:
        number: Number of the read, in the order of their starts.
        failure: The failure; None if the read succeeded.
    """

    __slots__ = ("number", "failure")

    def __init__(self, number: int, failure: errors.Failure | None) -> None:
        self.number = number
        self.failure = failure


class OverlappingReads:
    """Reads of one table, which may overlap.

    The reads apply what they receive themselves. They may end in any order, so
    that the table must ignore older versions.

    Args:
        is_receiving: Returns whether a large response is arriving. A read is
            not overdue in the meantime, because a further one would compete
            with it for the link.
    """

    def __init__(self, is_receiving: Callable[[], bool]) -> None:
        self._is_receiving = is_receiving
        self._results: eventlet.queue.Queue = eventlet.queue.Queue()
        self._started_count = 0
        self._open_count = 0
        # Results of reads up to this number are ignored: a later read, or one
        # that was open at the same time, has succeeded.
        self._last_obsolete_number = 0

    def read(
        self,
        read_once: Callable[[], errors.Failure | None],
        overdue_after_s: float,
    ) -> errors.Failure | None:
        """Starts a read, and waits until it or an earlier one succeeds.

        A read that is overdue goes on beside the next ones. No read is started
        while `MAX_CONCURRENT_READS` are in progress.

        Args:
            read_once: Reads once, with a time limit of its own. Returns None or
                the failure.
            overdue_after_s: Seconds after which the read is overdue.

        Returns:
            None if a read has succeeded; the failure of the read that was
            started last; or a failure of kind `PLATFORM_UNAVAILABLE` if no
            read ended in time.
        """
        if self._open_count < MAX_CONCURRENT_READS:
            self._started_count += 1
            self._open_count += 1
            eventlet.spawn_n(self._run, self._started_count, read_once)
        result = self._get_result(overdue_after_s)
        while result is None and self._is_receiving():
            result = self._get_result(overdue_after_s)
        if result is None:
            return errors.Failure(
                errors.Kind.PLATFORM_UNAVAILABLE,
                f"{self._open_count} reads are overdue",
            )
        if result.failure is None:
            self._last_obsolete_number = self._started_count
        return result.failure

    def _get_result(self, timeout_s: float) -> _ReadResult | None:
        """Waits for a success or for the end of the read started last."""
        with eventlet.Timeout(timeout_s, False):
            while True:
                result = self._results.get()
                if result.number <= self._last_obsolete_number:
                    continue
                if (
                    result.failure is None
                    or result.number == self._started_count
                ):
                    return result
        return None

    def _run(
        self, number: int, read_once: Callable[[], errors.Failure | None]
    ) -> None:
        try:
            failure = read_once()
        except Exception as exc:  # noqa: BLE001
            failure = errors.Failure(
                errors.Kind.INTERNAL, f"the read ended with {exc!r}"
            )
        self._open_count -= 1
        self._results.put(_ReadResult(number, failure))
