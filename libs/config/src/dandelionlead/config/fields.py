"""Value types that a schema is made of; each reads one node of a file."""

from __future__ import annotations

import abc
import ipaddress
import json
import math
import re
import urllib.parse
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from dandelionlead.config import faults
from dandelionlead.config import model
from dandelionlead.config import source

MAX_NAME_LENGTH = 63
MAX_TEXT_LENGTH = 255

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_HTTP_PATH = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_TEXT = re.compile(r"[\x21-\x7e]+")
_HEX = re.compile(r"[0-9a-f]*")
_SHOWN_CHARS = 40

Path = tuple[str, ...]


class _Invalid:
    """Sentinel for a value that has a fault; the fault is in the report."""

    __slots__ = ()

    def __bool__(self) -> bool:
        return False


INVALID = _Invalid()


class Context:
    """Faults and value positions collected while a file is read.

    Attributes:
        report: Faults.
        lines: Line of each value by its path.
    """

    __slots__ = ("report", "lines")

    def __init__(self, report: faults.Report) -> None:
        self.report = report
        self.lines: dict[Path, int] = {}

    def add(self, path: Path, wrong: str, right: str) -> None:
        """Adds a fault of the value at `path`, or of what contains it."""
        known = path
        while known not in self.lines and known:
            known = known[:-1]
        self.report.add(self.lines.get(known, 1), path, wrong, right)


class Type(abc.ABC):
    """Type of a value."""

    @abc.abstractmethod
    def read(self, node: source.Node, path: Path, ctx: Context) -> Any:
        """Returns the value of a node, or `INVALID` after adding faults."""


class Scalar(Type):
    """Base of types without inner values.

    Attributes:
        right: Sentence that says what would be right.
        secret: Whether messages must not show the value.
    """

    right = ""
    secret = False

    def read(self, node: source.Node, path: Path, ctx: Context) -> Any:
        """Returns the converted value, or `INVALID`."""
        value = self._convert(node)
        if value is INVALID:
            shown = "not valid" if self.secret else f"{_show(node)}"
            ctx.report.add(
                node.line, path, f"The value is {shown}.", self.right
            )
        return value

    @abc.abstractmethod
    def _convert(self, node: source.Node) -> Any:
        """Returns the value, or `INVALID`."""


class Number(Scalar):
    """Finite number of a range, bounds included.

    Args:
        low: Smallest value.
        high: Largest value.
        unit: Unit for messages; empty if it has none.
        whole: Whether only integers are allowed.
    """

    def __init__(
        self, low: float, high: float, unit: str = "", *, whole: bool = False
    ) -> None:
        self._low = low
        self._high = high
        self._whole = whole
        noun = "a whole number" if whole else "a number"
        of_unit = f" of {unit}" if unit else ""
        self.right = f"Write {noun}{of_unit} from {low} to {high}."

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.NUMBER or not math.isfinite(node.value):
            return INVALID
        if self._whole and not isinstance(node.value, int):
            return INVALID
        if not self._low <= node.value <= self._high:
            return INVALID
        return node.value if self._whole else float(node.value)


class Flag(Scalar):
    """true or false."""

    right = "Write true or false."

    def _convert(self, node: source.Node) -> Any:
        return node.value if node.kind == source.BOOLEAN else INVALID


class Choice(Scalar):
    """One string of a closed list."""

    def __init__(self, *options: str) -> None:
        self._options = options
        quoted = ", ".join(f'"{option}"' for option in options)
        self.right = f"Write one of {quoted}."

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or node.value not in self._options:
            return INVALID
        return node.value


class Text(Scalar):
    """String that matches a pattern, of limited length."""

    def __init__(
        self,
        pattern: re.Pattern[str] = _TEXT,
        right: str = "Write printable ASCII characters without spaces.",
        max_length: int = MAX_TEXT_LENGTH,
    ) -> None:
        self._pattern = pattern
        self._max_length = max_length
        self.right = f"{right} At most {max_length} characters are allowed."

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or len(node.value) > self._max_length:
            return INVALID
        if not self._pattern.fullmatch(node.value):
            return INVALID
        return node.value


def name() -> Text:
    """Returns the type of names."""
    return Text(
        _NAME,
        "Write letters, digits, dots, underscores and hyphens, starting with "
        "a letter or digit.",
        MAX_NAME_LENGTH,
    )


def http_path() -> Text:
    """Returns the type of HTTP paths."""
    return Text(_HTTP_PATH, 'Write a path such as "/v1/services/orders".')


class Address(Scalar):
    """`ip:port`, with an IPv6 address in brackets."""

    right = 'Write an IP number and a port, such as "127.0.0.1:8080".'

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING:
            return INVALID
        return node.value if _is_address(node.value) else INVALID


class Url(Scalar):
    """Base URL `http://ip:port`."""

    right = 'Write a URL such as "http://127.0.0.1:8080".'

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or not _TEXT.fullmatch(node.value):
            return INVALID
        try:
            parsed = urllib.parse.urlsplit(node.value)
        except ValueError:
            return INVALID
        if parsed.scheme != "http" or not _is_address(parsed.netloc):
            return INVALID
        if parsed.path not in ("", "/") or parsed.query or parsed.fragment:
            return INVALID
        return node.value.rstrip("/")


class Time(Scalar):
    """RFC 3339 time with a zone offset."""

    right = 'Write an RFC 3339 time such as "2026-12-04T18:00:00Z".'

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or len(node.value) > MAX_TEXT_LENGTH:
            return INVALID
        if "T" not in node.value or model.parse_time(node.value) is None:
            return INVALID
        return node.value


class HexDigest(Scalar):
    """SHA-256 in lower-case hexadecimal."""

    right = "Write the SHA-256 of the key as 64 lower-case hexadecimal digits."

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or len(node.value) != 64:
            return INVALID
        return node.value if _HEX.fullmatch(node.value) else INVALID


class Secret(Scalar):
    """Key of 32 to 64 bytes in hexadecimal; messages do not show it."""

    right = "Write 64 to 128 lower-case hexadecimal digits, an even number."
    secret = True

    def _convert(self, node: source.Node) -> Any:
        if node.kind != source.STRING or not 64 <= len(node.value) <= 128:
            return INVALID
        if len(node.value) % 2 or not _HEX.fullmatch(node.value):
            return INVALID
        return bytes.fromhex(node.value)


class Array(Type):
    """Array of one type, with a limited number of items."""

    def __init__(self, item: Type, low: int, high: int) -> None:
        self._item = item
        self._low = low
        self._high = high

    def read(self, node: source.Node, path: Path, ctx: Context) -> Any:
        """Returns a tuple of the items, or `INVALID`."""
        right = f"Write an array of {self._low} to {self._high} values."
        if node.kind != source.ARRAY:
            ctx.report.add(
                node.line, path, f"The value is {_show(node)}.", right
            )
            return INVALID
        count = len(node.value)
        if not self._low <= count <= self._high:
            ctx.report.add(
                node.line, path, f"The array has {count} values.", right
            )
            return INVALID
        values = []
        for index, item in enumerate(node.value):
            inner = (*path, str(index))
            ctx.lines[inner] = item.line
            values.append(self._item.read(item, inner, ctx))
        if any(value is INVALID for value in values):
            return INVALID
        return tuple(values)


class Field:
    """One key of an object and the type of its value."""

    __slots__ = ("type", "required")

    def __init__(self, type: Type, *, required: bool = False) -> None:
        self.type = type
        self.required = required


class Object(Type):
    """Object with a closed list of keys."""

    def __init__(self, fields: Mapping[str, Field]) -> None:
        self._fields = fields

    def read(self, node: source.Node, path: Path, ctx: Context) -> Any:
        """Returns the valid members as a dict, or `INVALID`."""
        members = _members(node, path, ctx)
        if members is INVALID:
            return INVALID
        content = {}
        for member in members:
            value = self._read_member(member, path, ctx)
            if value is not INVALID:
                content[member.key] = value
        self._check_required([m.key for m in members], path, ctx)
        return content

    def _read_member(
        self, member: source.Member, path: Path, ctx: Context
    ) -> Any:
        field = self._fields.get(member.key)
        inner = (*path, member.key)
        if field is None:
            ctx.report.add(
                member.line,
                inner,
                "This key is not known here.",
                faults.suggestion(member.key, self._fields),
            )
            return INVALID
        return field.type.read(member.node, inner, ctx)

    def _check_required(
        self, keys: Sequence[str], path: Path, ctx: Context
    ) -> None:
        for key, field in self._fields.items():
            if field.required and key not in keys:
                ctx.add(path, f'The key "{key}" is missing.', "Add it.")


class Table(Type):
    """Object whose keys are names and whose values have one type."""

    def __init__(self, item: Type, low: int, high: int) -> None:
        self._item = item
        self._low = low
        self._high = high
        self._name = name()

    def read(self, node: source.Node, path: Path, ctx: Context) -> Any:
        """Returns the valid entries as a dict, or `INVALID`."""
        members = _members(node, path, ctx)
        if members is INVALID:
            return INVALID
        if not self._low <= len(members) <= self._high:
            ctx.report.add(
                node.line,
                path,
                f"The object has {len(members)} names.",
                f"Write {self._low} to {self._high} names.",
            )
        content = {}
        for member in members:
            inner = (*path, member.key[:MAX_NAME_LENGTH])
            key = source.Node(source.STRING, member.key, member.line)
            self._name.read(key, inner, ctx)
            content[member.key] = self._item.read(member.node, inner, ctx)
        return content


def _members(node: source.Node, path: Path, ctx: Context) -> Any:
    """Returns the members of an object without duplicates, or `INVALID`."""
    if node.kind != source.OBJECT:
        ctx.report.add(
            node.line,
            path,
            f"The value is {_show(node)}.",
            "Write an object in braces.",
        )
        return INVALID
    first: dict[str, source.Member] = {}
    for member in node.value:
        inner = (*path, member.key)
        if member.key in first:
            ctx.report.add(
                member.line,
                inner,
                f"The key is already on line {first[member.key].line}.",
                "Keep one of the two.",
            )
            continue
        first[member.key] = member
        ctx.lines[inner] = member.line
    return list(first.values())


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        return False
    if not 1 <= int(port) <= 65535:
        return False
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _show(node: source.Node) -> str:
    if node.kind == source.OBJECT:
        return "an object"
    if node.kind == source.ARRAY:
        return "an array"
    text = json.dumps(node.value)
    if len(text) > _SHOWN_CHARS:
        return f"{text[:_SHOWN_CHARS]}..."
    return text
