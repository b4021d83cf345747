"""Checks messages of peers for missing values and hosts that are no address.

The generated code checks the types of the values that a message contains, but
not that it contains them: a field that is missing is None. A message with such
a field must not be applied in part.
"""

from __future__ import annotations

import functools

from thrift import Thrift

from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import decoding

# Fields that may be left out.
_OPTIONAL_FIELDS = frozenset(
    {
        *(
            (ttypes.Gossip, name)
            for name in (
                "loads",
                "limits",
                "news",
                "states",
                "snapshots",
                "beats",
                "digests",
                "wanted_states",
                "wanted_loads",
                "wants_all_states",
            )
        ),
        (ttypes.MemberState, "reach"),
        (ttypes.Row, "value"),
        (ttypes.Row, "is_compressed"),
        (ttypes.CopyRequest, "accepts_compression"),
        (ttypes.CopyResponse, "is_busy"),
    }
)
# Structures whose lists must be of the same length.
_COLUMNS = (ttypes.LoadUpdates, ttypes.Beats, ttypes.Digests)


class PeerMessageError(Exception):
    """A message of a peer is incomplete or invalid."""


class _Field:
    """How one field of a structure is checked.

    Attributes:
        name: Name of the field.
        is_optional: Whether it may be left out.
        is_number: Whether it is a floating-point number.
        is_structure: Whether it is another structure.
        has_structures: Whether it is a list of structures.
    """

    __slots__ = (
        "name",
        "is_optional",
        "is_number",
        "is_structure",
        "has_structures",
    )

    def __init__(self, message_type: type, spec: tuple) -> None:
        _, field_type, self.name, type_args, _ = spec
        self.is_optional = (message_type, self.name) in _OPTIONAL_FIELDS
        self.is_number = field_type == Thrift.TType.DOUBLE
        self.is_structure = field_type == Thrift.TType.STRUCT
        self.has_structures = (
            field_type == Thrift.TType.LIST
            and type_args[0] == Thrift.TType.STRUCT
        )


def check(message: object) -> None:
    """Checks a decoded message and the structures in it.

    Args:
        message: Message that the generated code has decoded.

    Raises:
        PeerMessageError: A required value is missing, a number is not finite,
            lists differ in length, or a host is not an IP address.
    """
    for field in _list_fields(type(message)):
        value = getattr(message, field.name)
        if value is None:
            if not field.is_optional:
                raise _make_error(message, field, "is missing")
        elif field.is_structure:
            check(value)
        elif field.has_structures:
            for item in value:
                check(item)
        elif field.is_number and not (
            -decoding.MAX_NUMBER <= value <= decoding.MAX_NUMBER
        ):
            raise _make_error(message, field, "is not a finite number")
    if isinstance(message, _COLUMNS):
        _check_columns(message)
    elif isinstance(message, ttypes.MemberState):
        _check_host(message.host)


@functools.cache
def _list_fields(message_type: type) -> list[_Field]:
    return [
        _Field(message_type, spec)
        for spec in message_type.thrift_spec
        if spec is not None
    ]


def _make_error(message: object, field: _Field, fault: str) -> PeerMessageError:
    return PeerMessageError(f"{type(message).__name__}.{field.name} {fault}")


def _check_columns(message: object) -> None:
    """Checks that all lists of a structure have the same length."""
    lengths = {
        len(getattr(message, field.name))
        for field in _list_fields(type(message))
    }
    if len(lengths) != 1:
        raise PeerMessageError(
            f"{type(message).__name__}: the lists differ in length"
        )


def _check_host(host: str) -> None:
    """Checks that a host is an IP address."""
    if not decoding.is_ip(host):
        raise PeerMessageError(f"{decoding.quote(host)} is not an address")
