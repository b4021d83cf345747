"""A lease on a duty, kept in a record of the store.

The holder writes the record each time that it begins to act. Another process
takes over once it has seen the record unchanged for the time of the lease. A
holder therefore acts only within that time after it sent its write, on a clock
that also counts pauses. The version of the write is the fencing token: it rises
with each write, also if the store returns to an older state, since it includes
the era of the store.
"""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.core import store_version
from dandelionlead.duties import records

# A holder stops acting this share of the lease before its end, so that what it
# has sent arrives before the next holder acts.
_SAFETY_SHARE = 0.4


class Lease:
    """The lease on one duty, as one process sees it.

    Args:
        store: Keeps the record of the lease.
        key: Key of the record.
        holder: Identifier of this start of this process.
        duration_s: Time of the lease in seconds.
    """

    def __init__(
        self,
        store: records.RecordStore,
        key: str,
        holder: str,
        duration_s: float,
    ) -> None:
        self._store = store
        self._key = key
        self._holder = holder.encode()
        self._duration_s = duration_s
        self._token = 0
        self._valid_until_s = float("-inf")
        # Version of the record that was last seen, and since when, in seconds.
        self._seen_version = -1
        self._seen_since_s = 0.0
        self._attempt = 0
        self._dropped_s = float("-inf")

    def get_token(self, now_s: float) -> int | None:
        """Returns the fencing token, or None unless the lease holds now.

        To be called right before each send.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
        """
        return self._token if now_s < self._valid_until_s else None

    def drop(self, now_s: float) -> None:
        """Gives the lease up, because another process has used a later token.

        This process waits for the time of a lease before it tries again.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
        """
        self._valid_until_s = float("-inf")
        self._token = 0
        self._dropped_s = now_s

    def acquire(self, now_s: float) -> bool:
        """Takes or renews the lease, if this process may.

        Args:
            now_s: Current time in seconds of `clock.boottime`, before the call.

        Returns:
            Whether the lease holds now.
        """
        if now_s - self._dropped_s < self._duration_s:
            return False
        record = self._store.read(self._key)
        if isinstance(record, errors.Failure):
            return False
        if record.version != self._seen_version:
            self._seen_version = record.version
            self._seen_since_s = now_s
        if not self._may_write(record, now_s):
            return False
        self._attempt += 1
        value = b"%b %d" % (self._holder, self._attempt)
        version = self._store.write(self._key, value, record.version)
        if isinstance(version, errors.Failure):
            version = self._find_version(value)
        if version is None or not _is_same_era(version, record.version):
            return False
        self._token = self._seen_version = version
        self._seen_since_s = now_s
        self._valid_until_s = now_s + (1.0 - _SAFETY_SHARE) * self._duration_s
        return True

    def _may_write(self, record: records.Record, now_s: float) -> bool:
        """Whether no other process can hold the lease."""
        if record.version and self._is_own(record):
            return True
        return now_s - self._seen_since_s >= self._duration_s

    def _is_own(self, record: records.Record) -> bool:
        return record.value.rpartition(b" ")[0] == self._holder

    def _find_version(self, value: bytes) -> int | None:
        """Returns the version of a write without an answer, if it is there."""
        record = self._store.read(self._key)
        if isinstance(record, errors.Failure) or record.value != value:
            return None
        return record.version


def _is_same_era(version: int, earlier_version: int) -> bool:
    """Whether the store was not restored between two versions.

    A record that did not exist has no era.
    """
    return not earlier_version or store_version.get_era(
        version
    ) == store_version.get_era(earlier_version)
