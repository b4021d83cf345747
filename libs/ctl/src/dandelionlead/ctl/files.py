"""Reads files that operators name, with faults in place of exceptions."""

from __future__ import annotations

import pathlib

from dandelionlead import config
from dandelionlead.config import faults
from dandelionlead.config import model
from dandelionlead.config import source


def operators(path: pathlib.Path) -> model.Operators | list[faults.Fault]:
    """Returns the content of an operators' file, or its faults."""
    text = _read(path)
    if isinstance(text, faults.Fault):
        return [text]
    return config.load_operators(text, str(path))


def process(path: pathlib.Path) -> model.Process | list[faults.Fault]:
    """Returns the content of a settings file, or its faults."""
    text = _read(path)
    if isinstance(text, faults.Fault):
        return [text]
    return config.load_process(text, str(path))


def _read(path: pathlib.Path) -> str | faults.Fault:
    try:
        with path.open("rb") as file:
            data = file.read(source.MAX_BYTES + 1)
    except OSError as exc:
        return _fault(
            path, 1, f"The file cannot be read: {exc.strerror}.", "Check it."
        )
    if len(data) > source.MAX_BYTES:
        return _fault(
            path,
            1,
            f"The file has more than {source.MAX_BYTES} bytes.",
            "Remove what is not needed.",
        )
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        return _fault(path, line, "The text is not UTF-8.", "Save it as UTF-8.")


def _fault(
    path: pathlib.Path, line: int, wrong: str, right: str
) -> faults.Fault:
    return faults.Fault(str(path), line, "", wrong, right)
