"""Keeps what is needed to read a violation of a soak run afterwards."""

from __future__ import annotations

import pathlib
import shutil
import time
from collections.abc import Iterable

# Settings and logs of the entry processes.
_PROCESS_FILES = ("*.json", "*.log")


def keep(
    seed: int,
    violations: Iterable[str],
    fault_lines: Iterable[str],
    process_folder: pathlib.Path,
    evidence_folder: pathlib.Path,
) -> pathlib.Path:
    """Copies violations, faults and the logs of the processes to a new folder.

    Args:
        seed: Seed of the run.
        violations: One line for each violation.
        fault_lines: One line for each fault that was injected.
        process_folder: Directory with the settings and logs of the processes.
        evidence_folder: Directory in which the folder is made.

    Returns:
        The new folder.
    """
    name = f"seed-{seed}-{time.strftime('%Y%m%d-%H%M%S')}"
    folder = evidence_folder / name
    folder.mkdir(parents=True, exist_ok=True)
    _write_lines(folder / "violations.txt", violations)
    _write_lines(folder / "faults.txt", fault_lines)
    for pattern in _PROCESS_FILES:
        for path in process_folder.glob(pattern):
            shutil.copy(path, folder)
    return folder


def _write_lines(path: pathlib.Path, lines: Iterable[str]) -> None:
    path.write_text("".join(f"{line}\n" for line in lines))
