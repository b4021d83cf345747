"""Faults of a file: where each is, what is wrong and what is right."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

# A file with more faults than this is most likely not meant for this schema.
MAX_FAULTS = 200


class Fault:
    """One fault of a file.

    Attributes:
        file: Name of the file.
        line: Line number, from 1.
        path: Keys that lead to the value, joined by dots; empty for the file.
        wrong: Sentence that says what is wrong.
        right: Sentence that says what would be right.
    """

    __slots__ = ("file", "line", "path", "wrong", "right")

    def __init__(
        self, file: str, line: int, path: str, wrong: str, right: str
    ) -> None:
        self.file = file
        self.line = line
        self.path = path
        self.wrong = wrong
        self.right = right

    def __str__(self) -> str:
        where = f"{self.path}: " if self.path else ""
        return f"{self.file}:{self.line}: {where}{self.wrong} {self.right}"

    def __repr__(self) -> str:
        return f"Fault({self})"

    def to_plain(self) -> dict[str, str | int]:
        """Returns the JSON object of this fault."""
        return {name: getattr(self, name) for name in self.__slots__}


class Report:
    """Collects the faults of one file."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._faults: list[Fault] = []

    def add(
        self, line: int, path: tuple[str, ...], wrong: str, right: str
    ) -> None:
        """Adds a fault."""
        where = ".".join(path)
        self._faults.append(Fault(self._file, line, where, wrong, right))

    def faults(self) -> list[Fault]:
        """Returns the first `MAX_FAULTS` faults in the order of their lines."""
        ordered = sorted(self._faults, key=lambda fault: fault.line)
        return ordered[:MAX_FAULTS]


def nearest(name: str, known: Iterable[str]) -> str | None:
    """Returns the known name that is most like `name`, if one is close."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return close[0] if close else None


def suggestion(name: str, known: Iterable[str]) -> str:
    """Returns a sentence with the nearest known name, or with all of them."""
    names = sorted(known)
    close = nearest(name, names)
    if close is not None:
        return f'Did you mean "{close}"?'
    if not names:
        return "None is defined."
    shown = ", ".join(names[:12])
    more = ", ..." if len(names) > 12 else ""
    return f"Known are: {shown}{more}."
