"""Exit codes of `dandelionctl`."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Result of a command, as the exit code of the process.

    Attributes:
        DONE: The command succeeded.
        FAULTY: A checked file or the command line has faults.
        NOT_FOUND: Nothing was found to show.
        UNREACHABLE: A process, the store or a file could not be read.
    """

    DONE = 0
    FAULTY = 2
    NOT_FOUND = 3
    UNREACHABLE = 4
