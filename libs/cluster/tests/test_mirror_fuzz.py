"""Guards against tables that revert or hold rows that the store never held.

Oracle: the store's rows at each version. After any order of reads of the whole
table, reads of changes, late responses, copies between processes and
restorations of the store from an older copy, the rows of a mirror are those of
the store at the mirror's version, the version never decreases, and the mirror
has called `on_row_changed` for the same rows. Rows of an earlier era may remain
until they are dropped.
"""

from __future__ import annotations

import unittest

import hypothesis.stateful
from hypothesis import strategies

from dandelionlead.cluster import mirror
from dandelionlead.core import store_version

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
        # Changes in the order of their numbers, for each era.
        self.histories: list[list[mirror.Row]] = [[]]
        self.now_s = 0.0
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

    @property
    def changes(self) -> list[mirror.Row]:
        return self.histories[-1]

    @property
    def version(self) -> int:
        return self._make_version(len(self.changes))

    def _make_version(self, number: int) -> int:
        return store_version.make(len(self.histories) - 1, number)

    def _rows_at(self, version: int) -> dict[str, mirror.Row]:
        if version < 0:
            return {}
        history = self.histories[store_version.get_era(version)]
        rows: dict[str, mirror.Row] = {}
        for row in history[: store_version.get_number(version)]:
            rows[row.key] = row
        return {key: row for key, row in rows.items() if row.value is not None}

    @hypothesis.stateful.rule(
        key=strategies.sampled_from(_KEYS), delete=strategies.booleans()
    )
    def write(self, key: str, delete: bool) -> None:
        version = self._make_version(len(self.changes) + 1)
        value = None if delete else b"%d" % version
        self.changes.append(mirror.Row(key, value, version))

    @hypothesis.stateful.rule(lost=strategies.integers(0, 4))
    def restore(self, lost: int) -> None:
        era = len(self.histories)
        kept = self.changes[: max(0, len(self.changes) - lost)]
        self.histories.append(
            [
                mirror.Row(
                    row.key,
                    row.value,
                    store_version.make(
                        era, store_version.get_number(row.version)
                    ),
                )
                for row in kept
            ]
        )

    @hypothesis.stateful.rule(number=_mirrors)
    def drop_unconfirmed(self, number: int) -> None:
        self.mirrors[number].drop_unconfirmed_rows(self.now_s)
        self.now_s += 10.0
        self.mirrors[number].drop_unconfirmed_rows(self.now_s)
        assert not self._table(number).list_unconfirmed_rows()

    @hypothesis.stateful.rule(number=_mirrors)
    def ask_for_whole_table(self, number: int) -> None:
        rows = list(self._rows_at(self.version).values())
        self.pending[number].append(_Response(rows, self.version, True))

    @hypothesis.stateful.rule(number=_mirrors)
    def ask_for_changes(self, number: int) -> None:
        since = self._table(number).version
        if since >= 0 and store_version.get_era(since) == (
            store_version.get_era(self.version)
        ):
            rows = self.changes[store_version.get_number(since) :]
            self.pending[number].append(_Response(rows, self.version, False))

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
        target.replace_table(
            "t", table.list_confirmed_rows(), table.version, 0.0
        )

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
            held = {row.key: row.value for row in table.list_confirmed_rows()}
            assert held == expected, (table.version, held, expected)
            assert self.notified[number] == {
                key: row.value for key, row in table.rows.items()
            }, "the listener missed a change"

    def _table(self, number: int) -> mirror.Table:
        return self.mirrors[number].tables["t"]


MirrorFuzz = MirrorMachine.TestCase


if __name__ == "__main__":
    unittest.main()
