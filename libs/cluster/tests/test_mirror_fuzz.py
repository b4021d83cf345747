"""Guards against tables that revert or hold rows that the store never held.

Oracle: the store's rows at each version. After any order of reads of the whole
table, reads of changes, late responses and copies between processes, the rows
of a mirror are those of the store at the mirror's version, the version never
decreases, and the mirror has called `on_row_changed` for the same rows.
"""

from __future__ import annotations

import unittest

import hypothesis.stateful
from hypothesis import strategies

from dandelionlead.cluster import mirror

_KEYS = ("a", "b", "c")
_MIRRORS = 3
_mirrors = strategies.integers(0, _MIRRORS - 1)


class _Response:
    """A response of the store that has not arrived yet."""

    def __init__(
        self, rows: list[mirror.Row], version: int, whole: bool
    ) -> None:
        self.rows = rows
        self.version = version
        self.whole = whole


class MirrorMachine(hypothesis.stateful.RuleBasedStateMachine):
    """A store and several mirrors that read it and copy each other."""

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[mirror.Row] = []
        self.notified: list[dict[str, bytes]] = [{} for _ in range(_MIRRORS)]
        self.mirrors = [
            mirror.Mirror(("t",), self._make_listener(number))
            for number in range(_MIRRORS)
        ]
        self.versions = [-1] * _MIRRORS
        self.pending: list[list[_Response]] = [[] for _ in range(_MIRRORS)]

    def _make_listener(self, number: int) -> object:
        def changed(_: str, row: mirror.Row) -> None:
            if row.value is None:
                self.notified[number].pop(row.key, None)
            else:
                self.notified[number][row.key] = row.value

        return changed

    def _rows_at(self, version: int) -> dict[str, mirror.Row]:
        rows: dict[str, mirror.Row] = {}
        for row in self.changes[: max(0, version)]:
            rows[row.key] = row
        return {key: row for key, row in rows.items() if row.value is not None}

    @hypothesis.stateful.rule(
        key=strategies.sampled_from(_KEYS), delete=strategies.booleans()
    )
    def write(self, key: str, delete: bool) -> None:
        version = len(self.changes) + 1
        value = None if delete else b"%d" % version
        self.changes.append(mirror.Row(key, value, version))

    @hypothesis.stateful.rule(number=_mirrors)
    def ask_for_whole_table(self, number: int) -> None:
        version = len(self.changes)
        rows = list(self._rows_at(version).values())
        self.pending[number].append(_Response(rows, version, True))

    @hypothesis.stateful.rule(number=_mirrors)
    def ask_for_changes(self, number: int) -> None:
        since = self._table(number).version
        if since >= 0:
            rows = self.changes[since:]
            self.pending[number].append(
                _Response(rows, len(self.changes), False)
            )

    @hypothesis.stateful.rule(number=_mirrors, data=strategies.data())
    def apply_late_response(
        self, number: int, data: strategies.DataObject
    ) -> None:
        if not self.pending[number]:
            return
        # Responses arrive in any order. Changes start from the version that
        # the mirror had at the request, which can only have increased since.
        index = data.draw(strategies.integers(0, len(self.pending[number]) - 1))
        response = self.pending[number].pop(index)
        target = self.mirrors[number]
        apply_rows = (
            target.replace_table if response.whole else target.apply_changes
        )
        apply_rows("t", response.rows, response.version, 0.0)

    @hypothesis.stateful.rule(number=_mirrors, source=_mirrors)
    def copy(self, number: int, source: int) -> None:
        known_version, table = (
            self._table(number).version,
            self._table(source),
        )
        if table.version < known_version:
            return
        target = self.mirrors[number]
        changed = table.changes_since(known_version)
        if changed is not None:
            target.apply_changes("t", changed, table.version, 0.0)
            return
        target.replace_table("t", table.rows.values(), table.version, 0.0)

    @hypothesis.stateful.invariant()
    def mirrors_hold_the_rows_of_the_store(self) -> None:
        for number in range(_MIRRORS):
            table = self._table(number)
            assert table.version >= self.versions[number], (
                "the version decreased"
            )
            self.versions[number] = table.version
            store = self._rows_at(table.version)
            expected = {key: row.value for key, row in store.items()}
            held = {key: row.value for key, row in table.rows.items()}
            assert held == expected, (table.version, held, expected)
            assert self.notified[number] == expected, (
                "the listener missed a change"
            )

    def _table(self, number: int) -> mirror.Table:
        return self.mirrors[number].tables["t"]


MirrorFuzz = MirrorMachine.TestCase


if __name__ == "__main__":
    unittest.main()
