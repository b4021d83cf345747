"""Fake of the store that keeps leases and decisions."""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.core import store_version
from dandelionlead.duties import records

_FAILURE = errors.Failure(errors.Kind.OUTCOME_UNKNOWN, "no answer")


class FakeRecords(records.RecordStore):
    """Records in memory, with faults that a test can set.

    Attributes:
        is_down: Whether nothing is read or written.
        loses_answers: Whether writes are carried out without an answer.
        delays_writes: Whether writes get no answer and are kept in `late`.
        late: Writes to be carried out by `apply_late_writes`.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.loses_answers = False
        self.delays_writes = False
        self.late: list[tuple[str, bytes, int]] = []
        self._era = 0
        self._number = 100
        self._history: list[tuple[str, records.Record]] = []

    @property
    def number(self) -> int:
        """Number of the last write."""
        return self._number

    def read(self, key: str) -> records.Record | errors.Failure:
        if self.is_down:
            return _FAILURE
        found = records.Record()
        for name, record in self._history:
            if name == key:
                found = record
        if not found.version:
            return found
        number = store_version.get_number(found.version)
        return records.Record(
            found.value, store_version.make(self._era, number)
        )

    def write(
        self, key: str, value: bytes, expected_version: int
    ) -> int | None | errors.Failure:
        if self.is_down:
            return _FAILURE
        if self.delays_writes:
            self.late.append((key, value, expected_version))
            return _FAILURE
        current = self.read(key)
        if store_version.get_number(
            current.version
        ) != store_version.get_number(expected_version):
            return None
        self._number += 1
        version = store_version.make(self._era, self._number)
        self._history.append((key, records.Record(value, version)))
        return _FAILURE if self.loses_answers else version

    def apply_late_writes(self) -> None:
        """Carries out the writes that were kept, if their conditions hold."""
        self.delays_writes = False
        for item in self.late:
            self.write(*item)
        self.late.clear()

    def restore(self, number: int) -> None:
        """Returns to the state of an earlier number, in a new era."""
        self._era += 1
        self._number = number
        self._history = [
            (key, record)
            for key, record in self._history
            if store_version.get_number(record.version) <= number
        ]
