"""Copies of the store's tables, from own reads and from peers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable


class Row:
    """A row of the store.

    Attributes:
        key: Name within its table.
        value: Its bytes; None if the row was deleted.
        version: Version of the store at which it got this value.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


# Deletions that a table remembers for peers that ask for what changed.
_MOST_DELETIONS = 512


class Table:
    """Rows of one table up to a version of the store.

    Attributes:
        rows: Rows by key.
        version: All changes up to here are known; -1 before the first read.
        changed_version: Version of the last change, or a later one.
        confirmed_s: When the store was last known to hold nothing newer.
        read_s: When this process itself last read it.
        deletions: Versions of deletions, by key, the oldest first.
        history_from: All deletions after this version are remembered.
    """

    __slots__ = (
        "rows",
        "version",
        "changed_version",
        "confirmed_s",
        "read_s",
        "deletions",
        "history_from",
    )

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.changed_version = -1
        self.confirmed_s = float("-inf")
        self.read_s = float("-inf")
        self.deletions: dict[str, int] = {}
        self.history_from = -1

    def since(self, version: int) -> list[Row] | None:
        """Returns the rows that changed after a version; None if unknown."""
        if version < self.history_from:
            return None
        changed = [row for row in self.rows.values() if row.version > version]
        changed += [
            Row(key, None, deleted)
            for key, deleted in self.deletions.items()
            if deleted > version
        ]
        return changed

    def note_deletion(self, key: str, version: int) -> None:
        """Remembers a deletion, and forgets the oldest one of too many."""
        version = max(version, self.deletions.pop(key, version))
        self.deletions[key] = version
        if len(self.deletions) > _MOST_DELETIONS:
            oldest = next(iter(self.deletions))
            self.history_from = max(
                self.history_from, self.deletions.pop(oldest)
            )


class Mirror:
    """Tables by name; a table never goes back to an older version.

    Args:
        names: Tables that are kept.
        changed: Called with table and row for each row that changed.
    """

    def __init__(
        self, names: Iterable[str], changed: Callable[[str, Row], None]
    ) -> None:
        self.tables = {name: Table() for name in names}
        self._changed = changed

    def replace(
        self,
        name: str,
        rows: Iterable[Row],
        version: int,
        confirmed_s: float,
    ) -> bool:
        """Takes a whole table; returns whether it was not older."""
        table = self.tables[name]
        if version < table.version:
            return False
        if version > table.version:
            # The rows do not tell which others there were on the way.
            table.history_from = version
            table.changed_version = version
        found = {row.key: row for row in rows}
        dropped = [
            Row(key, None, version) for key in table.rows if key not in found
        ]
        changes = [*dropped, *found.values()]
        return self.change(name, changes, version, confirmed_s)

    def change(
        self,
        name: str,
        rows: Iterable[Row],
        version: int,
        confirmed_s: float,
    ) -> bool:
        """Takes changed rows; returns whether the version was not older."""
        table = self.tables[name]
        if version < table.version:
            return False
        for row in rows:
            self._take(name, row)
        table.version = version
        table.confirmed_s = max(table.confirmed_s, confirmed_s)
        return True

    def _take(self, name: str, row: Row) -> None:
        table = self.tables[name]
        table.changed_version = max(table.changed_version, row.version)
        present = table.rows.get(row.key)
        if present is not None and _is_older(row, present):
            return
        if row.value is None:
            table.note_deletion(row.key, row.version)
            if table.rows.pop(row.key, None) is None:
                return
        elif table.deletions.get(row.key, -1) > row.version:
            return
        else:
            table.rows[row.key] = row
        self._changed(name, row)


def _is_older(row: Row, present: Row) -> bool:
    if row.value is None:
        return row.version < present.version
    return row.version <= present.version
