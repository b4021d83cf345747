"""Reads JSON files with comments and reports faults with their line numbers."""

from __future__ import annotations

import bisect
import pathlib
import re

import rapidjson

_PARSE_MODE = rapidjson.PM_COMMENTS | rapidjson.PM_TRAILING_COMMAS
_STRING_OR_COMMENT = re.compile(
    r'"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)
# Matches the byte offset and the reason in an error message of rapidjson.
_OFFSET_AND_REASON = re.compile(r"offset (\d+): (.*)")


class Fault:
    """One fault in a file.

    Attributes:
        path: The file.
        line: Line number from 1; 0 if the fault concerns the whole file.
        message: What is wrong and how to correct it.
    """

    __slots__ = ("path", "line", "message")

    def __init__(self, path: pathlib.Path, line: int, message: str) -> None:
        self.path = path
        self.line = line
        self.message = message

    def __str__(self) -> str:
        location = f"{self.path}:{self.line}" if self.line else f"{self.path}"
        return f"{location}: {self.message}"


class Document:
    """A file that contains one JSON object.

    Attributes:
        path: The file.
        fields: Names and values of the fields of the object, in the order of
            the file. A name that occurs twice in the file occurs twice here.
    """

    def __init__(
        self,
        path: pathlib.Path,
        text: str,
        fields: list[tuple[str, object]],
    ) -> None:
        self.path = path
        self.fields = fields
        self._text = text
        # The text with each character of a comment, except line ends, replaced
        # by a blank, so that offsets and line numbers stay the same. This
        # attribute and `_line_starts` are set on first use.
        self._text_without_comments: str | None = None
        self._line_starts: list[int] | None = None

    def fault_at_field(
        self, name: str, message: str, *, occurrence: int = 0
    ) -> Fault:
        """Returns a fault at the line of a field.

        Args:
            name: Name of the field. If the file does not contain it literally,
                for example because it is written with escape sequences, the
                fault concerns the whole file.
            message: What is wrong and how to correct it.
            occurrence: Index of the field among all fields of this name, from
                0; the last one if there are fewer.
        """
        offsets = [match.start() for match in self._find_name(name)]
        if not offsets:
            return Fault(self.path, 0, message)
        offset = offsets[min(occurrence, len(offsets) - 1)]
        return Fault(self.path, self._line_number(offset), message)

    def _find_name(self, name: str) -> list[re.Match[str]]:
        """Returns all matches of a quoted name and a colon outside comments."""
        if self._text_without_comments is None:
            self._text_without_comments = _STRING_OR_COMMENT.sub(
                _blank_comment, self._text
            )
        pattern = re.escape(rapidjson.dumps(name)) + r"\s*:"
        return list(re.finditer(pattern, self._text_without_comments))

    def _line_number(self, offset: int) -> int:
        """Returns the line number of a character offset, from 1."""
        if self._line_starts is None:
            line_ends = re.finditer("\n", self._text)
            self._line_starts = [0, *(match.end() for match in line_ends)]
        return bisect.bisect_right(self._line_starts, offset)


class _PairsDecoder(rapidjson.Decoder):
    """Decodes each object into name-value pairs, to keep repeated names."""

    def start_object(self) -> list[tuple[str, object]]:
        return []

    def end_object(self, pairs: list[tuple[str, object]]) -> object:
        return _Object(pairs)


class _Object:
    """A decoded JSON object.

    Attributes:
        pairs: Names and values of its fields in the order of the file.
    """

    __slots__ = ("pairs",)

    def __init__(self, pairs: list[tuple[str, object]]) -> None:
        self.pairs = pairs


def read(path: pathlib.Path) -> Document | Fault:
    """Reads a file of JSON with comments and trailing commas.

    Args:
        path: The file, which must be in UTF-8 and contain one object.

    Returns:
        The document, or the first fault if the file cannot be read or parsed.
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        return Fault(path, 0, f"the file cannot be read: {exc.strerror}")
    try:
        text = raw.decode()
        decoded = _PairsDecoder(parse_mode=_PARSE_MODE)(text)
    except UnicodeDecodeError as exc:
        line = raw.count(b"\n", 0, exc.start) + 1
        return Fault(path, line, "the file is not UTF-8; save it as UTF-8")
    except (ValueError, RecursionError) as exc:
        # Also integers of thousands of digits and deep nesting.
        return _build_syntax_fault(path, raw, str(exc))
    if not isinstance(decoded, _Object):
        return Fault(path, 1, "the file must contain an object { ... }")
    return Document(path, text, decoded.pairs)


def _blank_comment(match: re.Match[str]) -> str:
    """Returns a matched string unchanged, or blanks for a matched comment.

    There are as many blanks as the comment has characters. Line ends in the
    comment are kept, so that line numbers remain correct.
    """
    text = match[0]
    if text.startswith('"'):
        return text
    return "\n".join(" " * len(line) for line in text.split("\n"))


def _build_syntax_fault(path: pathlib.Path, raw: bytes, error: str) -> Fault:
    """Returns the fault for a syntax error that rapidjson reported.

    If the message contains no offset, the fault concerns the whole file.

    Args:
        path: The file.
        raw: Content of the file.
        error: Error message of rapidjson.
    """
    match = _OFFSET_AND_REASON.search(error)
    if match is None:
        return Fault(path, 0, error)
    line = raw.count(b"\n", 0, int(match[1])) + 1
    return Fault(path, line, match[2])
