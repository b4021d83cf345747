"""First tries of callers while paths from entries to workers are cut."""

from __future__ import annotations

from collections.abc import Collection

# Time from the start of a cut until first tries are counted.
_TOLERANCE_S = 3.0
# First tries at cut entries are served at least this share as often as others,
_MIN_SHARE = 2 / 3
# or no more of them fail than this number and this share of all.
_MAX_FAILED_COUNT = 10
_MAX_FAILED_SHARE = 1 / 50


class _Tries:
    """Number of first tries, and of those that were served."""

    __slots__ = ("count", "served_count")

    def __init__(self) -> None:
        self.count = 0
        self.served_count = 0

    def __str__(self) -> str:
        return f"{self.served_count} of {self.count}"


class CutPaths:
    """Entries that are cut from workers, and the first tries meanwhile.

    Args:
        hosts: IP addresses of the entries.
        kinds: Kinds of requests that need the workers.
        description: What is cut, and how.
        started_s: When the cut began, in seconds of `clock.boottime`.

    Attributes:
        ended_s: When the cut ended, in the same unit.
    """

    __slots__ = (
        "_hosts",
        "_kinds",
        "_description",
        "_counted_from_s",
        "ended_s",
        "_cut_tries",
        "_other_tries",
    )

    def __init__(
        self,
        hosts: Collection[str],
        kinds: Collection[str],
        description: str,
        started_s: float,
    ) -> None:
        self._hosts = hosts
        self._kinds = kinds
        self._description = description
        self._counted_from_s = started_s + _TOLERANCE_S
        self.ended_s = float("inf")
        self._cut_tries = _Tries()
        self._other_tries = _Tries()

    def __str__(self) -> str:
        return (
            f"{self._description}: first tries served {self._cut_tries} there,"
            f" {self._other_tries} elsewhere"
        )

    def record_try(
        self, host: str, kind: str, sent_at_s: float, *, is_served: bool
    ) -> None:
        """Counts a first try if it was sent during the cut and needs a worker.

        Args:
            host: IP address of the entry.
            kind: Kind of the request.
            sent_at_s: When it was sent, in seconds of `clock.boottime`.
            is_served: Whether it was served.
        """
        is_counted = self._counted_from_s <= sent_at_s <= self.ended_s
        if is_counted and kind in self._kinds:
            is_cut = host in self._hosts
            tries = self._cut_tries if is_cut else self._other_tries
            tries.count += 1
            tries.served_count += is_served

    def is_violated(self) -> bool:
        """Returns whether callers of cut entries were served too seldom."""
        cut, other = self._cut_tries, self._other_tries
        failed_count = cut.count - cut.served_count
        max_failed_count = (
            _MAX_FAILED_COUNT + (cut.count + other.count) * _MAX_FAILED_SHARE
        )
        # The shares of served tries are compared without a division by zero.
        is_served_seldom = (
            cut.served_count * other.count
            < _MIN_SHARE * other.served_count * cut.count
        )
        return is_served_seldom and failed_count > max_failed_count
