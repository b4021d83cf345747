"""Checks a policy file and puts it into the product's type."""

from __future__ import annotations

import difflib
import pathlib

from dandelionlead.config import source
from dandelionlead.routing import policy

_SIMILAR = 0.6
# A file with more faults than this is not read to its end.
MOST_FAULTS = 20


class _Switch:
    """A field that is true or false."""

    def complaint(self, value: object) -> str:
        """Returns what is wrong with a value; empty if nothing is."""
        return "" if isinstance(value, bool) else "write true or false"


class _Number:
    """A field within limits, both included.

    Attributes:
        least: Smallest value.
        most: Largest value.
        whole: Whether it has no fraction.
    """

    __slots__ = ("least", "most", "whole")

    def __init__(
        self, least: float, most: float, *, whole: bool = False
    ) -> None:
        self.least = least
        self.most = most
        self.whole = whole

    def complaint(self, value: object) -> str:
        """Returns what is wrong with a value; empty if nothing is."""
        kind = int if self.whole else int | float
        is_number = isinstance(value, kind) and not isinstance(value, bool)
        if is_number and self.least <= value <= self.most:
            return ""
        noun = "a whole number" if self.whole else "a number"
        return f"write {noun} from {self.least:g} to {self.most:g}"


_FIELDS: dict[str, _Switch | _Number] = {
    "moves": _Switch(),
    "backups": _Switch(),
    "backup_fill": _Number(0, 1),
    "crowded_backup_fill": _Number(0, 1),
    "backup_mean_fill": _Number(0, 1),
    "movable_runs": _Number(0, 1_000, whole=True),
    "run_fill": _Number(0.1, 1),
    "short_run_fill": _Number(0.1, 4),
    "wait_part": _Number(0, 1),
}


def load(path: pathlib.Path) -> policy.Policy | list[source.Fault]:
    """Reads a policy file; fields that are left out have their default."""
    found = source.read(path)
    if isinstance(found, source.Fault):
        return [found]
    faults = _check(found)
    if faults:
        return faults
    return policy.Policy(**dict(found.pairs))


def _check(found: source.Source) -> list[source.Fault]:
    faults = []
    seen: set[str] = set()
    for name, value in found.pairs:
        if len(faults) == MOST_FAULTS:
            break
        field = _FIELDS.get(name)
        if field is None:
            faults.append(found.fault(name, _unknown(name)))
        elif name in seen:
            text = f'"{name}" is given twice; keep one of them'
            faults.append(found.fault(name, text, nth=1))
        elif complaint := field.complaint(value):
            faults.append(found.fault(name, f'"{name}": {complaint}'))
        seen.add(name)
    return faults


def _unknown(name: str) -> str:
    near = difflib.get_close_matches(name, _FIELDS, n=1, cutoff=_SIMILAR)
    if near:
        return f'"{name}" is not known; did you mean "{near[0]}"?'
    return f'"{name}" is not known; known are {", ".join(_FIELDS)}'
