"""Reads JSON with comments; faults tell their line and how to mend them."""

from __future__ import annotations

import bisect
import pathlib
import re

import rapidjson

_MODE = rapidjson.PM_COMMENTS | rapidjson.PM_TRAILING_COMMAS
_STRING_OR_COMMENT = re.compile(
    r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)
_OFFSET = re.compile(r"offset (\d+): (.*)")


class Fault:
    """One fault of a file.

    Attributes:
        path: The file.
        line: Line from 1; 0 if the file as a whole is at fault.
        text: What is wrong, and the cure.
    """

    __slots__ = ("path", "line", "text")

    def __init__(self, path: pathlib.Path, line: int, text: str) -> None:
        self.path = path
        self.line = line
        self.text = text

    def __str__(self) -> str:
        place = f"{self.path}:{self.line}" if self.line else f"{self.path}"
        return f"{place}: {self.text}"


class Source:
    """A file that holds one object.

    Attributes:
        path: The file.
        pairs: Its names and values in their order; a name may come twice.
    """

    def __init__(
        self,
        path: pathlib.Path,
        text: str,
        pairs: list[tuple[str, object]],
    ) -> None:
        self.path = path
        self.pairs = pairs
        self._text = text
        # The text with blanks in place of comments, of the same length.
        self._bare: str | None = None
        self._line_starts: list[int] | None = None

    def fault(self, name: str, text: str, *, nth: int = 0) -> Fault:
        """Returns a fault at the line of a name.

        Args:
            name: Name of a field.
            text: What is wrong.
            nth: Which of several fields of this name, from 0.
        """
        places = [found.start() for found in self._find(name)]
        if not places:
            return Fault(self.path, 0, text)
        place = places[min(nth, len(places) - 1)]
        return Fault(self.path, self._line(place), text)

    def _find(self, name: str) -> list[re.Match[str]]:
        if self._bare is None:
            self._bare = _STRING_OR_COMMENT.sub(_without_comment, self._text)
        pattern = re.escape(rapidjson.dumps(name)) + r"\s*:"
        return list(re.finditer(pattern, self._bare))

    def _line(self, offset: int) -> int:
        if self._line_starts is None:
            ends = re.finditer("\n", self._text)
            self._line_starts = [0, *(end.end() for end in ends)]
        return bisect.bisect_right(self._line_starts, offset)


class _Pairs(rapidjson.Decoder):
    """Keeps the pairs of objects, so that double names are seen."""

    def start_object(self) -> list[tuple[str, object]]:
        return []

    def end_object(self, pairs: list[tuple[str, object]]) -> object:
        return _Object(pairs)


class _Object:
    __slots__ = ("pairs",)

    def __init__(self, pairs: list[tuple[str, object]]) -> None:
        self.pairs = pairs


def read(path: pathlib.Path) -> Source | Fault:
    """Reads a file."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        return Fault(path, 0, f"cannot be read: {exc.strerror}")
    try:
        text = raw.decode()
        found = _Pairs(parse_mode=_MODE)(text)
    except UnicodeDecodeError as exc:
        line = raw.count(b"\n", 0, exc.start) + 1
        return Fault(path, line, "is not UTF-8; save it as UTF-8")
    except rapidjson.JSONDecodeError as exc:
        return _syntax_fault(path, raw, str(exc))
    if not isinstance(found, _Object):
        return Fault(path, 1, "an object { ... } is needed")
    return Source(path, text, found.pairs)


def _without_comment(match: re.Match[str]) -> str:
    found = match[0]
    if found.startswith('"'):
        return found
    return "\n".join(" " * len(line) for line in found.split("\n"))


def _syntax_fault(path: pathlib.Path, raw: bytes, reason: str) -> Fault:
    match = _OFFSET.search(reason)
    if match is None:
        return Fault(path, 0, reason)
    line = raw.count(b"\n", 0, int(match[1])) + 1
    return Fault(path, line, match[2])
