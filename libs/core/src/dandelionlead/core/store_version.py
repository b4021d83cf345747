"""Versions of the store that stay ordered if the store returns to an old state.

A store that is restored from an older copy gives out version numbers once more.
The era, which rises with each restoration, tells them apart. A version of this
module holds both in one integer, so that versions of all eras are compared and
sent like plain numbers.
"""

from __future__ import annotations

# Bits of the number that the store gives out; the era is in the bits above.
_NUMBER_BITS = 44
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def make(era: int, number: int) -> int:
    """Returns the version for an era and a number of the store.

    Args:
        era: Number of restorations of the store; 0 or more.
        number: Version number that the store gave out in this era; below 2^44.
    """
    return era << _NUMBER_BITS | number


def get_era(version: int) -> int:
    """Returns the era of a version; -1 for the version before all others."""
    return version >> _NUMBER_BITS


def get_number(version: int) -> int:
    """Returns the number that the store gave out."""
    return version & _NUMBER_MASK


def format_version(version: int) -> str:
    """Returns a version for logs: `ERA:NUMBER`, or the number in era 0."""
    era = get_era(version)
    return f"{era}:{get_number(version)}" if era > 0 else str(version)
