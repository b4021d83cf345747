"""Contracts of the platform's services, and the data they exchange."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from typing import Any

from dandelionlead.core import errors


class Key:
    """Names one row of the table service."""

    __slots__ = ("table", "key")

    def __init__(self, table: str, key: str) -> None:
        self.table = table
        self.key = key

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Key)
            and self.table == other.table
            and self.key == other.key
        )

    def __hash__(self) -> int:
        return hash((self.table, self.key))

    def __repr__(self) -> str:
        return f"Key({self.table}/{self.key})"


class Row:
    """One row: its version (1 or more, rises with each write) and value."""

    __slots__ = ("version", "value")

    def __init__(self, version: int, value: dict[str, Any]) -> None:
        self.version = version
        self.value = value


class Write:
    """One conditional write of a transaction.

    Attributes:
        key: The row.
        if_version: Version that the row must have; 0 means absent.
        value: New value, a JSON object; None deletes the row.
    """

    __slots__ = ("key", "if_version", "value")

    def __init__(
        self, key: Key, if_version: int, value: dict[str, Any] | None
    ) -> None:
        self.key = key
        self.if_version = if_version
        self.value = value


class Committed:
    """All writes took effect; `versions` are the rows' new versions."""

    __slots__ = ("versions",)

    def __init__(self, versions: list[int]) -> None:
        self.versions = versions


class Conflict:
    """No write took effect; `failed` are indexes of conditions not met."""

    __slots__ = ("failed",)

    def __init__(self, failed: list[int]) -> None:
        self.failed = failed


class OutcomeUnknown:
    """The writes may have taken effect, now or later."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Unavailable:
    """No write took effect and none will."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Outcome = Committed | Conflict | OutcomeUnknown | Unavailable


class Listed:
    """One instance as the platform's lagging list shows it.

    Attributes:
        name: Name of the process.
        http: Address for callers, `ip:port`.
        control: Address for other processes of the system, `ip:port`.
        availability_zone: Its availability zone.
        state: `live` or `leaving`.
    """

    __slots__ = ("name", "http", "control", "availability_zone", "state")

    def __init__(
        self,
        name: str,
        http: str,
        control: str,
        availability_zone: str,
        state: str,
    ) -> None:
        self.name = name
        self.http = http
        self.control = control
        self.availability_zone = availability_zone
        self.state = state


class TableService(abc.ABC):
    """Transactional rows with versions."""

    @abc.abstractmethod
    def read(self, keys: Sequence[Key]) -> list[Row | None] | errors.Failure:
        """Reads rows in one call; None stands for an absent row."""

    @abc.abstractmethod
    def transact(self, ops: Sequence[Write]) -> Outcome:
        """Applies all writes or none of them."""


class ObjectStore(abc.ABC):
    """Immutable objects under their SHA-256 digest."""

    @abc.abstractmethod
    def put(self, data: bytes) -> str | errors.Failure:
        """Stores an object and returns its digest in hexadecimal."""

    @abc.abstractmethod
    def get(self, digest: str) -> bytes | errors.Failure:
        """Returns an object whose content has this digest."""


class InstanceList(abc.ABC):
    """Lagging list of live and leaving instances."""

    @abc.abstractmethod
    def fetch(self) -> list[Listed] | errors.Failure:
        """Returns the list as the platform shows it now."""


class WeightStore(abc.ABC):
    """Rate-limited store of model weights."""

    @abc.abstractmethod
    def fetch(self, name: str) -> int | errors.Failure:
        """Fetches weights and returns their size in bytes."""


class Platform:
    """The services that daemons and commands use, in one place."""

    __slots__ = ("table", "objects", "instances")

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        instances: InstanceList,
    ) -> None:
        self.table = table
        self.objects = objects
        self.instances = instances
