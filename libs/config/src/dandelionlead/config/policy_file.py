"""Loads policy files and checks their fields."""

from __future__ import annotations

import difflib
import pathlib

from dandelionlead.config import jsonc
from dandelionlead.routing import policy

# Smallest similarity, from 0 to 1, of an unknown field to the known field that
# its fault suggests.
_MIN_SIMILARITY = 0.6
# The check of a file stops after this number of faults, so that it ends soon
# even if the file has very many faults.
MAX_FAULTS = 20


class _BooleanField:
    """Checks a field whose value is true or false."""

    def describe_correction(self, value: object) -> str:
        """Returns how to correct a value; an empty string if it is valid."""
        return "" if isinstance(value, bool) else "write true or false"


class _NumberField:
    """Checks a field whose value is a number in a range.

    Attributes:
        minimum: Smallest valid value.
        maximum: Largest valid value.
        is_integer: Whether only integers are valid.
    """

    __slots__ = ("minimum", "maximum", "is_integer")

    def __init__(
        self, minimum: float, maximum: float, *, is_integer: bool = False
    ) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.is_integer = is_integer

    def describe_correction(self, value: object) -> str:
        """Returns how to correct a value; an empty string if it is valid."""
        number_type = int if self.is_integer else int | float
        # In Python a bool is an int.
        is_number = isinstance(value, number_type) and not isinstance(
            value, bool
        )
        if is_number and self.minimum <= value <= self.maximum:
            return ""
        noun = "a whole number" if self.is_integer else "a number"
        return f"write {noun} from {self.minimum:g} to {self.maximum:g}"


_FIELDS: dict[str, _BooleanField | _NumberField] = {
    "moves": _BooleanField(),
    "backups": _BooleanField(),
    "backup_fill": _NumberField(0, 1),
    "crowded_backup_fill": _NumberField(0, 1),
    "backup_mean_fill": _NumberField(0, 1),
    "movable_runs": _NumberField(0, 1_000, is_integer=True),
    "run_fill": _NumberField(0.1, 1),
    "short_run_fill": _NumberField(0.1, 4),
    "wait_part": _NumberField(0, 1),
    "endpoint_paces": _BooleanField(),
    "zone_share": _BooleanField(),
}


def load(path: pathlib.Path) -> policy.Policy | list[jsonc.Fault]:
    """Loads a policy file.

    Args:
        path: The file. Fields that it does not contain get their default
            values.

    Returns:
        The policy, or the faults of the file, at most the first `MAX_FAULTS`.
    """
    document = jsonc.read(path)
    if isinstance(document, jsonc.Fault):
        return [document]
    faults = _find_faults(document)
    if faults:
        return faults
    return policy.Policy(**dict(document.fields))


def _find_faults(document: jsonc.Document) -> list[jsonc.Fault]:
    """Returns the faults of the fields, at most `MAX_FAULTS`."""
    faults = []
    seen_names: set[str] = set()
    for name, value in document.fields:
        if len(faults) == MAX_FAULTS:
            break
        field = _FIELDS.get(name)
        if field is None:
            faults.append(
                document.fault_at_field(name, _describe_unknown_field(name))
            )
        elif name in seen_names:
            message = f'"{name}" is given twice; keep one of them'
            faults.append(document.fault_at_field(name, message, occurrence=1))
        elif correction := field.describe_correction(value):
            faults.append(
                document.fault_at_field(name, f'"{name}": {correction}')
            )
        seen_names.add(name)
    return faults


def _describe_unknown_field(name: str) -> str:
    """Returns the message for an unknown field.

    The message suggests the most similar known field; if none is similar, it
    lists all known fields.
    """
    similar_names = difflib.get_close_matches(
        name, _FIELDS, n=1, cutoff=_MIN_SIMILARITY
    )
    if similar_names:
        return f'"{name}" is not known; did you mean "{similar_names[0]}"?'
    return f'"{name}" is not known; the known fields are {", ".join(_FIELDS)}'
