"""Rows of a table service held in memory; no faults, no input or output."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from dandelionlead.platform import api


class Rows:
    """Rows with versions and all-or-nothing conditional writes.

    A row that is deleted and written again continues its version numbers, so
    that a condition on a version never holds for a later row by accident.
    """

    def __init__(self) -> None:
        self._values: dict[api.Key, str] = {}
        self._versions: dict[api.Key, int] = {}

    def read(self, keys: Sequence[api.Key]) -> list[api.Row | None]:
        """Returns copies of the rows; None stands for an absent row."""
        return [self._row(key) for key in keys]

    def transact(self, ops: Sequence[api.Write]) -> api.Outcome:
        """Applies all writes or none of them.

        Returns:
            `api.Committed`, where the version of a deleted row is 0, or
            `api.Conflict`.

        Raises:
            ValueError: A key occurs twice, or a value is not a JSON object.
        """
        _check_unique(ops)
        texts = [_to_text(op.value) for op in ops]
        failed = [
            index
            for index, op in enumerate(ops)
            if self.version(op.key) != op.if_version
        ]
        if failed:
            return api.Conflict(failed)
        versions = [
            self._write(op.key, text)
            for op, text in zip(ops, texts, strict=True)
        ]
        return api.Committed(versions)

    def version(self, key: api.Key) -> int:
        """Returns the version of a row; 0 if it is absent."""
        if key not in self._values:
            return 0
        return self._versions[key]

    def snapshot(self) -> dict[api.Key, api.Row]:
        """Returns copies of all rows, for checks in tests."""
        rows = {key: self._row(key) for key in self._values}
        return {key: row for key, row in rows.items() if row is not None}

    def _row(self, key: api.Key) -> api.Row | None:
        text = self._values.get(key)
        if text is None:
            return None
        return api.Row(self._versions[key], json.loads(text))

    def _write(self, key: api.Key, text: str | None) -> int:
        if text is None:
            self._values.pop(key, None)
            return 0
        self._values[key] = text
        self._versions[key] = self._versions.get(key, 0) + 1
        return self._versions[key]


def _check_unique(ops: Sequence[api.Write]) -> None:
    keys = [op.key for op in ops]
    if len(set(keys)) != len(keys):
        raise ValueError(f"A transaction names a row twice: {keys}.")


def _to_text(value: dict[str, Any] | None) -> str | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise ValueError(f"A row's value is not a JSON object: {value!r}.")
    return json.dumps(value)
