"""Reads JSON with comments into a tree that knows the line of each value.

The parser is json5's own. Its result has no positions, so a subclass notes
the offset at which each value and key starts. It needs 19 s for a file of the
design scale (2.4 MB), so text in plain JSON is tried with the standard parser
first; its tree has no lines and serves only for files without faults.
"""

from __future__ import annotations

import bisect
import json
import math
from typing import Any

from json5 import parser

OBJECT = "object"
ARRAY = "array"
STRING = "string"
NUMBER = "number"
BOOLEAN = "boolean"
NULL = "null"

# The operators' file of the design scale (10,000 teams, 3,600 workers) has
# 2.4 MB.
MAX_BYTES = 8 * 1024 * 1024

_LITERALS = {
    "None": (NULL, None),
    "True": (BOOLEAN, True),
    "False": (BOOLEAN, False),
}

_KINDS = {
    str: STRING,
    bool: BOOLEAN,
    int: NUMBER,
    float: NUMBER,
    type(None): NULL,
}


class Node:
    """One value of the file.

    Attributes:
        kind: One of the constants of this module.
        value: Python value; a list of nodes for an array and a list of
            `Member` for an object.
        line: Line on which the value starts, from 1.
    """

    __slots__ = ("kind", "value", "line")

    def __init__(self, kind: str, value: Any, line: int) -> None:
        self.kind = kind
        self.value = value
        self.line = line


class Member:
    """One member of an object; `line` is that of its key."""

    __slots__ = ("key", "node", "line")

    def __init__(self, key: str, node: Node, line: int) -> None:
        self.key = key
        self.node = node
        self.line = line


class SyntaxFault:
    """The text cannot be read; says where and why."""

    __slots__ = ("line", "wrong", "right")

    def __init__(self, line: int, wrong: str, right: str) -> None:
        self.line = line
        self.wrong = wrong
        self.right = right


def parse(text: str) -> Node | SyntaxFault:
    """Returns the tree of a text in JSON5 (JSON with comments)."""
    if len(text) > MAX_BYTES:
        return SyntaxFault(
            1,
            f"The file has {len(text)} characters.",
            f"Write at most {MAX_BYTES}.",
        )
    lines = _Lines(text)
    positioned = _PositionParser(text, "")
    try:
        raw, fault, offset = positioned.parse(
            {"_strict": True, "_consume_trailing": True}
        )
    except RecursionError:
        line = lines.number(positioned.pos)
        return SyntaxFault(
            line, "Values are nested too deeply.", "Use at most 50 levels."
        )
    if fault is not None:
        return _syntax_fault(text, lines, offset)
    return _convert(raw, lines)


def parse_plain_json(text: str) -> Node | None:
    """Returns the tree of a text in plain JSON, with all lines 0.

    Returns:
        The tree, or None if only `parse` can tell what the text is.
    """
    if len(text) > MAX_BYTES:
        return None
    try:
        return _wrap(json.loads(text, object_pairs_hook=_wrap_object))
    except (ValueError, RecursionError):
        return None


class _Lines:
    """Line numbers of offsets in a text."""

    def __init__(self, text: str) -> None:
        self._ends = [index for index, char in enumerate(text) if char == "\n"]

    def number(self, offset: int) -> int:
        return bisect.bisect_left(self._ends, offset) + 1


class _Positioned:
    """Result of a grammar rule and the offset at which the rule started."""

    __slots__ = ("raw", "offset")

    def __init__(self, raw: Any, offset: int) -> None:
        self.raw = raw
        self.offset = offset


class _PositionParser(parser.Parser):
    """json5's parser, with the offset of each value and key in the result.

    It overrides two rules of the generated grammar, which are not a public
    interface; requirements.txt pins the version, and the tests of this module
    fail when another version behaves differently.
    """

    def _value_(self) -> None:
        offset = self.pos
        super()._value_()
        if not self.failed:
            self.val = _Positioned(self.val, offset)

    def _member_(self) -> None:
        offset = self.pos
        super()._member_()
        if not self.failed:
            self.val = _Positioned(self.val, offset)


def _wrap(value: Any) -> Node:
    if isinstance(value, Node):
        return value
    if isinstance(value, list):
        return Node(ARRAY, [_wrap(item) for item in value], 0)
    return Node(_KINDS[type(value)], value, 0)


def _wrap_object(pairs: list[tuple[str, Any]]) -> Node:
    members = [Member(key, _wrap(value), 0) for key, value in pairs]
    return Node(OBJECT, members, 0)


def _convert(item: _Positioned, lines: _Lines) -> Node:
    line = lines.number(item.offset)
    if isinstance(item.raw, str):
        kind, value = _LITERALS[item.raw]
        return Node(kind, value, line)
    kind, raw = item.raw
    return Node(kind, _CONVERTERS[kind](raw, lines), line)


def _convert_object(raw: list[_Positioned], lines: _Lines) -> list[Member]:
    members = []
    for item in raw:
        key, value = item.raw
        node = _convert(value, lines)
        members.append(Member(key, node, lines.number(item.offset)))
    return members


def _convert_array(raw: list[_Positioned], lines: _Lines) -> list[Node]:
    return [_convert(item, lines) for item in raw]


def _convert_string(raw: str, _lines: _Lines) -> str:
    return raw


def _convert_number(raw: str, _lines: _Lines) -> int | float:
    unsigned = raw.lstrip("+-")
    try:
        if unsigned[:2].lower() == "0x":
            return int(raw, 16)
        if unsigned.isdecimal():
            return int(raw)
        return float(raw.replace("Infinity", "inf"))
    except ValueError:
        # Python refuses integers of more than 4300 digits.
        return math.inf


_CONVERTERS = {
    OBJECT: _convert_object,
    ARRAY: _convert_array,
    STRING: _convert_string,
    NUMBER: _convert_number,
}


def _syntax_fault(text: str, lines: _Lines, offset: int) -> SyntaxFault:
    line = lines.number(offset)
    if offset >= len(text):
        found = "end of the file"
    else:
        found = f'"{text[offset]}"'
    column = offset - text.rfind("\n", 0, offset)
    return SyntaxFault(
        line,
        f"Unexpected {found} at column {column}.",
        "Look for a missing comma, quote or bracket before it.",
    )
