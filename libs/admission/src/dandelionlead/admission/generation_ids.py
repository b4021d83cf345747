"""Generation ids that carry the units reserved for the generation.

A load report lists generations by id only. Since the id carries the units, any
owner can charge a generation whose entry is dead or reports elsewhere.
"""

from __future__ import annotations

_SEPARATOR = "."


def make(unique: str, units: int) -> str:
    """Returns the id of a new generation.

    Args:
        unique: Text that no other generation has, without a colon.
        units: Units of engine memory (tokens) granted for the generation.
    """
    return f"{unique}{_SEPARATOR}{units}"


def units(generation_id: str) -> int | None:
    """Returns the units that an id carries, or None if it carries none."""
    _, found, text = generation_id.rpartition(_SEPARATOR)
    if found and text.isascii() and text.isdigit():
        return int(text)
    return None
