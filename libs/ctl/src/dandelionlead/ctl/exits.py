"""Exit codes of `dandelionctl`."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """What a command came to."""

    DONE = 0
    FAULTY = 2
    NOT_FOUND = 3
    UNREACHABLE = 4
