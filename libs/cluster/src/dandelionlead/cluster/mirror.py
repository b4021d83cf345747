"""Keeps local copies of the store's tables at the newest received versions.

Changes come from reads of the store and from copies that peers send, in any
order. A table never returns to an older version.

If the store was restored from an older copy, its versions belong to a new era.
The restored table replaces the local one, but rows that it lacks are kept for
some time, because their writers write them again.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from dandelionlead.core import store_version


class Row:
    """A row of the store.

    Attributes:
        key: Key of the row within its table.
        value: Value of the row in bytes; None if the row was deleted.
        version: Version of the store at which the row got this value or was
            deleted.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


# Largest number of deletions that a table keeps. With the deletions, peers that
# hold a slightly older version can copy the changes alone instead of the whole
# table.
_MAX_DELETIONS = 512
# Seconds for which rows that a restored store lacks are kept. Their writers
# write them again within about 2 s.
_REWRITE_GRACE_S = 2.5


class Table:
    """Rows of one table up to a version of the store.

    Attributes:
        rows: Rows by key.
        version: Version of the store up to which all changes are included; -1
            before the first read or copy.
        last_change_version: Version of the last change of a row. After the rows
            were replaced by a newer whole table, it is the version of that
            table, which may be later than its last change.
        last_confirmed_s: Last time at which the store was confirmed to hold no
            newer version, in seconds of `clock.boottime`.
        last_read_s: Last time at which this process itself read the table from
            the store, in seconds of `clock.boottime`.
        deletions: Version of the last deletion of each key, in the order in
            which the deletions were recorded.
        deletions_from_version: `deletions` contains all deletions after this
            version.
        unconfirmed_since_s: Time from which rows of an earlier era wait to be
            written again, in seconds of `clock.boottime`; None if there are
            none, or if the time was not noted yet.
    """

    __slots__ = (
        "rows",
        "version",
        "last_change_version",
        "last_confirmed_s",
        "last_read_s",
        "deletions",
        "deletions_from_version",
        "unconfirmed_since_s",
    )

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = -1
        self.last_change_version = -1
        self.last_confirmed_s = float("-inf")
        self.last_read_s = float("-inf")
        self.deletions: dict[str, int] = {}
        self.deletions_from_version = -1
        self.unconfirmed_since_s: float | None = None

    @property
    def era(self) -> int:
        """Era of the store that the version belongs to."""
        return store_version.get_era(self.version)

    def list_confirmed_rows(self) -> list[Row]:
        """Returns the rows that the store holds in the present era."""
        return [
            row
            for row in self.rows.values()
            if store_version.get_era(row.version) >= self.era
        ]

    def list_unconfirmed_rows(self) -> list[Row]:
        """Returns the rows that the store lacks since it was restored."""
        return [
            row
            for row in self.rows.values()
            if store_version.get_era(row.version) < self.era
        ]

    def changes_since(self, version: int) -> list[Row] | None:
        """Returns the rows that changed after a version of the store.

        Deleted rows have the value None. Returns None instead of a list if
        `deletions` does not contain all deletions after that version.
        """
        if version < self.deletions_from_version:
            return None
        changed = [row for row in self.rows.values() if row.version > version]
        changed += [
            Row(key, None, deleted_version)
            for key, deleted_version in self.deletions.items()
            if deleted_version > version
        ]
        return changed

    def record_deletion(self, key: str, version: int) -> None:
        """Records a deletion.

        If there are then more deletions than a table keeps, removes the one
        that was recorded first.

        Args:
            key: Key of the deleted row.
            version: Version of the store at which the row was deleted.
        """
        version = max(version, self.deletions.pop(key, version))
        self.deletions[key] = version
        if len(self.deletions) > _MAX_DELETIONS:
            oldest_key = next(iter(self.deletions))
            self.deletions_from_version = max(
                self.deletions_from_version, self.deletions.pop(oldest_key)
            )


class Mirror:
    """Local copies of tables, which never return to an older version.

    Args:
        table_names: Names of the tables.
        on_row_changed: Called for each changed row, after the row was stored or
            deleted, with the name of the table and the row. A deleted row has
            the value None.

    Attributes:
        tables: The tables by name.
    """

    def __init__(
        self,
        table_names: Iterable[str],
        on_row_changed: Callable[[str, Row], None],
    ) -> None:
        self.tables = {name: Table() for name in table_names}
        self._on_row_changed = on_row_changed

    def replace_table(
        self,
        name: str,
        rows: Iterable[Row],
        version: int,
        confirmed_s: float,
    ) -> bool:
        """Replaces the rows of a table by those of a whole copy.

        Args:
            name: Name of the table.
            rows: All rows of the copy.
            version: Version of the store that the copy belongs to.
            confirmed_s: Time at which the store was confirmed to hold no
                newer version, in seconds of `clock.boottime`.

        Returns:
            Whether the copy was applied; False if its version is older than
            that of the table.

        Raises:
            KeyError: If the mirror has no table of this name.
        """
        table = self.tables[name]
        if version < table.version:
            return False
        is_new_era = 0 <= table.era < store_version.get_era(version)
        if version > table.version:
            # A whole copy does not contain the deletions between the two
            # versions, so the history of deletions restarts at its version.
            table.deletions_from_version = version
            table.last_change_version = version
        rows_by_key = {row.key: row for row in rows}
        deleted = [
            Row(key, None, version)
            for key in table.rows
            if key not in rows_by_key and not is_new_era
        ]
        if is_new_era:
            table.deletions.clear()
            table.unconfirmed_since_s = None
            table.version = version
        changes = [*deleted, *rows_by_key.values()]
        return self.apply_changes(name, changes, version, confirmed_s)

    def apply_changes(
        self,
        name: str,
        rows: Iterable[Row],
        version: int,
        confirmed_s: float,
    ) -> bool:
        """Applies changed rows to a table.

        Args:
            name: Name of the table.
            rows: Changed rows, at least all that changed since the version of
                the table; deleted rows have the value None.
            version: Version of the store up to which changes are included.
            confirmed_s: Time at which the store was confirmed to hold no
                newer version, in seconds of `clock.boottime`.

        Returns:
            Whether the changes were applied; False if their version is older
            than that of the table, or of a later era: changes do not lead from
            one era to the next.

        Raises:
            KeyError: If the mirror has no table of this name.
        """
        table = self.tables[name]
        if version < table.version:
            return False
        if 0 <= table.era < store_version.get_era(version):
            return False
        for row in rows:
            self._apply_row(name, row)
        table.version = version
        table.last_confirmed_s = max(table.last_confirmed_s, confirmed_s)
        return True

    def drop_unconfirmed_rows(self, now_s: float) -> None:
        """Deletes the rows that were not written again in time.

        To be called at short intervals.

        Args:
            now_s: Current time in seconds of `clock.boottime`.
        """
        for name, table in self.tables.items():
            unconfirmed = table.list_unconfirmed_rows()
            if not unconfirmed:
                table.unconfirmed_since_s = None
            elif table.unconfirmed_since_s is None:
                table.unconfirmed_since_s = now_s
            elif now_s - table.unconfirmed_since_s >= _REWRITE_GRACE_S:
                for row in unconfirmed:
                    self._apply_row(name, Row(row.key, None, table.version))

    def _apply_row(self, name: str, row: Row) -> None:
        """Applies a row unless a newer row or deletion of its key is stored."""
        table = self.tables[name]
        table.last_change_version = max(table.last_change_version, row.version)
        current = table.rows.get(row.key)
        if current is not None and _is_outdated(row, current):
            return
        if row.value is None:
            table.record_deletion(row.key, row.version)
            if table.rows.pop(row.key, None) is None:
                return
        elif table.deletions.get(row.key, -1) > row.version:
            return
        else:
            table.rows[row.key] = row
        self._on_row_changed(name, row)


def _is_outdated(row: Row, current: Row) -> bool:
    """Returns whether a received row is older than the one in the table.

    A row of the same version counts as outdated unless it is a deletion.
    """
    if row.value is None:
        return row.version < current.version
    return row.version <= current.version
