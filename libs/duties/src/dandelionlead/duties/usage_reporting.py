"""Reports the counts of all processes, once for each time window.

What is reported for a window is decided by one write: the holder of the duty
writes the sums into the record of the window on the condition that nobody has,
and whoever holds the duty reports what the record says. A report without an
answer may be sent again, since it is the same. A store that is restored may
lose the record; windows that had ended before are then left out, unless this
process has decided them itself.
"""

from __future__ import annotations

import abc
import collections
import enum
import json
from collections.abc import Callable

from dandelionlead.core import clock
from dandelionlead.core import decoding
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.duties import lease
from dandelionlead.duties import records
from dandelionlead.duties import usage_counts

# Seconds after the end of a window until short calls that began in it have
# ended, so that they are counted.
_SETTLE_S = 1.2
# Windows that are decided and reported before their reports are due.
_MAX_OPEN_WINDOWS = 3
# Number of records of windows; that of a later window replaces an old one.
_RECORD_COUNT = 16
# Pause between two attempts, in seconds.
_RETRY_PAUSE_S = 0.7
_RECORD_PREFIX = "usage-window/"


class Report(enum.Enum):
    """How the platform answered a report.

    Attributes:
        ACCEPTED: It has the report.
        FENCED: Another process has used a later token.
        UNKNOWN: There was no answer, or the platform could not serve the call.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class UsagePeers(abc.ABC):
    """The counts of the other processes."""

    @abc.abstractmethod
    def collect(self, window: int) -> list[dict[str, int]] | None:
        """Returns the counts of each live process; None if one is missing."""


class UsageReceiver(abc.ABC):
    """The part of the platform that receives reports."""

    @abc.abstractmethod
    def send(self, window: int, counts: dict[str, int], token: int) -> Report:
        """Sends a report under a fencing token."""


class UsageReporting:
    """Carries the duty out while this process has it.

    Args:
        counts: Counts of this process.
        late_s: Seconds after the end of a window at which its report is due.
        held_lease: Lease on the duty.
        store: Keeps the record of each window.
        peers: Counts of the other processes.
        receiver: Receives the reports.
        log: Receives one line for each report.
        read_clock: Returns the current time in seconds of `clock.boottime`.
    """

    def __init__(
        self,
        counts: usage_counts.UsageCounts,
        late_s: float,
        held_lease: lease.Lease,
        store: records.RecordStore,
        peers: UsagePeers,
        receiver: UsageReceiver,
        log: events.Log,
        read_clock: Callable[[], float] = clock.boottime,
    ) -> None:
        self._counts = counts
        self._late_s = late_s
        self._lease = held_lease
        self._store = store
        self._peers = peers
        self._receiver = receiver
        self._log = log
        self._read_clock = read_clock
        # Windows that were reported, and counts that this process has decided.
        self._reported: set[int] = set()
        self._decided: dict[int, dict[str, int]] = {}
        self._next_attempt_s = float("-inf")

    def run_once(self, unix_s: float, first_window: int) -> int | None:
        """Reports the next window, if one is due and the lease can be had.

        Args:
            unix_s: Current time in Unix seconds.
            first_window: First window that may be decided: the one during which
                this process started, or first saw the present era of the store.

        Returns:
            The window that was reported; None if none was.
        """
        window = self._find_due_window(unix_s, first_window)
        now_s = self._read_clock()
        if window is None or now_s < self._next_attempt_s:
            return None
        self._next_attempt_s = now_s + _RETRY_PAUSE_S
        if self._lease.get_token(now_s) is None and not self._lease.acquire(
            now_s
        ):
            return None
        counts = self._decide(window)
        # The process may have been paused since the lease was acquired.
        token = self._lease.get_token(self._read_clock())
        if counts is None or token is None:
            return None
        return self._send(window, counts, token)

    def _find_due_window(self, unix_s: float, first_window: int) -> int | None:
        """Returns the oldest window that is neither reported nor too late."""
        last = self._counts.compute_window(unix_s - _SETTLE_S) - 1
        oldest = self._counts.compute_window(unix_s - self._late_s)
        for window in range(max(oldest, last - _MAX_OPEN_WINDOWS), last + 1):
            is_known = window in self._decided or window >= first_window
            if is_known and window not in self._reported:
                return window
        return None

    def _decide(self, window: int) -> dict[str, int] | None:
        """Returns the counts to report; None if they cannot be decided now."""
        if window in self._decided:
            return self._decided[window]
        key = f"{_RECORD_PREFIX}{window % _RECORD_COUNT}"
        record = self._store.read(key)
        if isinstance(record, errors.Failure):
            return None
        counts = _decode_counts(record.value, window)
        if counts is None:
            counts = self._sum_counts(window)
            if counts is None:
                return None
            value = _encode_counts(counts, window)
            version = self._store.write(key, value, record.version)
            if not isinstance(version, int):
                # The record shows at the next attempt what was decided.
                return None
        self._decided[window] = counts
        self._forget_old(window)
        return counts

    def _sum_counts(self, window: int) -> dict[str, int] | None:
        """Returns the sums over all processes; None if one is missing."""
        peer_counts = self._peers.collect(window)
        if peer_counts is None:
            return None
        total: collections.Counter[str] = collections.Counter()
        for counts in (self._counts.get(window), *peer_counts):
            total.update(counts)
        return dict(total)

    def _send(
        self, window: int, counts: dict[str, int], token: int
    ) -> int | None:
        """Sends the report; returns the window if it was accepted."""
        result = self._receiver.send(window, counts, token)
        self._log.event(
            "usage_reported",
            window=window,
            token=token,
            teams=len(counts),
            runs=sum(counts.values()),
            result=result.value,
        )
        if result is Report.FENCED:
            self._lease.drop(self._read_clock())
        if result is not Report.ACCEPTED:
            return None
        self._reported.add(window)
        return window

    def _forget_old(self, window: int) -> None:
        """Forgets windows whose reports are long overdue."""
        oldest = window - _RECORD_COUNT
        self._reported = {item for item in self._reported if item > oldest}
        self._decided = {
            item: counts
            for item, counts in self._decided.items()
            if item > oldest
        }


def _encode_counts(counts: dict[str, int], window: int) -> bytes:
    fields = {"window": window, "counts": counts}
    return json.dumps(fields, sort_keys=True).encode()


def _decode_counts(value: bytes, window: int) -> dict[str, int] | None:
    """Returns the counts in a record; None if it is of another window."""
    try:
        fields = decoding.parse_object(value, "record of a window")
        if fields.get_integer("window") != window:
            return None
        counts = fields.get_object("counts")
        return {name: counts.get_integer(name) for name in counts.names()}
    except decoding.DecodeError:
        return None
