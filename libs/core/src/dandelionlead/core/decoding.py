"""Decodes JSON from outside the process into checked values.

All decoders of outside data build on this module. It raises one error,
`DecodeError`, whatever the data contain: other types, deep nesting, numbers
beyond the range of a float, text that is no valid UTF-8. Numbers are finite and
within the given bounds, so that arithmetic on them raises nothing either.
"""

from __future__ import annotations

import ipaddress
import json
import re
from collections.abc import Collection

# Bounds of a signed 64-bit integer, which also hold for all messages to peers.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
# Largest absolute value of a number that may be a fraction. Times in any unit
# are far below it, and sums of such numbers stay exact to a millisecond.
MAX_NUMBER = 1e12
# Longest text that an error message quotes.
_MAX_QUOTED_CHARS = 60
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535
# Texts that may be used in an HTTP header: visible ASCII characters.
_TOKEN = re.compile(r"[!-~]{1,200}")
_MISSING = object()


class DecodeError(Exception):
    """Outside data are invalid; the message states what is wrong with them."""


class Fields:
    """Checked access to the fields of a JSON object.

    Each method raises `DecodeError` if a field has another type or lies
    outside the bounds, or if it is missing or null and there is no default.

    Args:
        values: The decoded object.
        place: Where the object stands, for error messages.
    """

    __slots__ = ("_values", "_place")

    def __init__(self, values: dict[str, object], place: str) -> None:
        self._values = values
        self._place = place

    def __bool__(self) -> bool:
        """Returns whether the object has a field."""
        return bool(self._values)

    def has(self, name: str) -> bool:
        """Returns whether a field is present and not null."""
        return self._values.get(name) is not None

    def names(self) -> list[str]:
        """Returns the names of all fields."""
        return list(self._values)

    def get_text(self, name: str, default: str | None = None) -> str:
        """Returns a text; an empty text counts as missing."""
        value = self._get(name, _MISSING if default is None else default)
        if not isinstance(value, str):
            raise self._error(name, "must be a text")
        if not value and default is None:
            raise self._error(name, "must not be empty")
        return value

    def get_text_or_integer(self, name: str) -> str:
        """Returns a text, or a whole number as a text."""
        if isinstance(self._values.get(name), int):
            return str(self.get_integer(name))
        return self.get_text(name)

    def get_choice(self, name: str, choices: Collection[str]) -> str:
        """Returns a text that is one of the given ones."""
        value = self.get_text(name)
        if value not in choices:
            raise self._error(name, f"{quote(value)} is not supported")
        return value

    def get_integer(
        self,
        name: str,
        default: int | None = None,
        *,
        low: int = MIN_INTEGER,
        high: int = MAX_INTEGER,
    ) -> int:
        """Returns a whole number; a fraction without a remainder is one."""
        value = self._get(name, _MISSING if default is None else default)
        is_whole = isinstance(value, int) or (
            isinstance(value, float) and value.is_integer()
        )
        if isinstance(value, bool) or not is_whole:
            raise self._error(name, "must be a whole number")
        if not low <= value <= high:
            raise self._error(name, f"must be from {low} to {high}")
        return int(value)

    def get_number(
        self,
        name: str,
        default: float | None = None,
        *,
        low: float = -MAX_NUMBER,
        high: float = MAX_NUMBER,
    ) -> float:
        """Returns a finite number."""
        value = self._get(name, _MISSING if default is None else default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._error(name, "must be a number")
        # The comparison is false for NaN, and exact for large integers.
        if not low <= value <= high:
            raise self._error(name, f"must be from {low:g} to {high:g}")
        return float(value)

    def get_flag(self, name: str) -> bool:
        """Returns a truth value; false if it is missing."""
        value = self._get(name, False)
        if not isinstance(value, bool):
            raise self._error(name, "must be true or false")
        return value

    def get_object(self, name: str) -> Fields:
        """Returns the fields of a nested object."""
        return Fields(self._get_container(name, dict), f"{self._place}.{name}")

    def get_objects(self, name: str) -> list[Fields]:
        """Returns the fields of each object in a list."""
        items = self._get_container(name, list)
        return [
            _to_fields(item, f"{self._place}.{name}[{index}]")
            for index, item in enumerate(items)
        ]

    def get_lists(self, name: str) -> list[list[object]]:
        """Returns the lists in a list; an empty list if it is missing."""
        if not self.has(name):
            return []
        items = self._get_container(name, list)
        if not all(isinstance(item, list) for item in items):
            raise self._error(name, "must be a list of lists")
        return items

    def get_texts(self, name: str) -> list[str]:
        """Returns the texts of a list; an empty list if it is missing."""
        if not self.has(name):
            return []
        items = self._get_container(name, list)
        if not all(isinstance(item, str) for item in items):
            raise self._error(name, "must be a list of texts")
        return items

    def get_address(self, name: str) -> tuple[str, int]:
        """Returns host and port of an address IP:PORT."""
        text = self.get_text(name)
        address = parse_address(text)
        if address is None:
            raise self._error(name, f"{quote(text)} is not IP:PORT")
        return address

    def get_ports(self, name: str) -> list[int]:
        """Returns the ports of a list that is not empty."""
        items = self._get_container(name, list)
        are_ports = all(
            type(item) is int and 0 < item <= _MAX_PORT for item in items
        )
        if not items or not are_ports:
            raise self._error(name, "must be a list of ports")
        return items

    def get_host(self, name: str) -> str:
        """Returns an IP address."""
        text = self.get_text(name)
        if not is_ip(text):
            raise self._error(name, f"{quote(text)} is not an IP address")
        return text

    def _get(self, name: str, default: object) -> object:
        value = self._values.get(name)
        if value is None:
            value = default
        if value is _MISSING:
            raise self._error(name, "is missing")
        return value

    def _get_container(self, name: str, kind: type) -> object:
        value = self._get(name, _MISSING)
        if not isinstance(value, kind):
            raise self._error(
                name, "must be a list" if kind is list else "must be an object"
            )
        return value

    def _error(self, name: str, fault: str) -> DecodeError:
        return DecodeError(f"{self._place}: field {name} {fault}")


def parse_object(data: bytes | str, place: str) -> Fields:
    """Parses data that must be one JSON object.

    Args:
        data: The object as JSON.
        place: Where the data come from, for error messages.

    Raises:
        DecodeError: The data are no JSON, are nested too deeply, contain NaN,
            an infinity or an integer of thousands of digits, or are no object.
    """
    try:
        value = _DECODER.decode(
            data if isinstance(data, str) else data.decode()
        )
    except (ValueError, RecursionError) as exc:
        # The messages of these errors quote no data.
        raise DecodeError(f"{place}: not valid JSON: {exc}") from exc
    return _to_fields(value, place)


def parse_address(text: str) -> tuple[str, int] | None:
    """Parses an address IP:PORT; returns None if the text has another form."""
    host, _, port_text = text.rpartition(":")
    if not is_ip(host) or _PORT.fullmatch(port_text) is None:
        return None
    port = int(port_text)
    return (host, port) if 0 < port <= _MAX_PORT else None


def is_ip(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_token(text: str) -> bool:
    """Returns whether a text may be used in an HTTP header as it is."""
    return _TOKEN.fullmatch(text) is not None


def quote(text: str) -> str:
    """Returns the start of a text in quotes, for error messages."""
    return ascii(text[:_MAX_QUOTED_CHARS])


def _to_fields(value: object, place: str) -> Fields:
    if not isinstance(value, dict):
        raise DecodeError(f"{place}: must be an object")
    return Fields(value, place)


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not a number")


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)
