"""Interface of the store that keeps leases and what their holders decide."""

from __future__ import annotations

import abc

from dandelionlead.core import errors


class Record:
    """A record of the store.

    Attributes:
        value: Content.
        version: Version of the store, with its era, at which it was written; 0
            for a record that does not exist.
    """

    __slots__ = ("value", "version")

    def __init__(self, value: bytes = b"", version: int = 0) -> None:
        self.value = value
        self.version = version


class RecordStore(abc.ABC):
    """Reads single records, and writes them under a condition."""

    @abc.abstractmethod
    def read(self, key: str) -> Record | errors.Failure:
        """Returns a record; one of version 0 if it does not exist."""

    @abc.abstractmethod
    def write(
        self, key: str, value: bytes, expected_version: int
    ) -> int | None | errors.Failure:
        """Writes a record if it has the version that is expected.

        Args:
            key: Key of the record.
            value: New content.
            expected_version: Version that the record must have.

        Returns:
            The new version; None if the record had another version; or a
            failure, after which the write may have been carried out, or may
            still be.
        """
