"""Checks messages of peers for missing values and hosts that are no address.

The generated code checks the types of the values that a message contains, but
not that it contains them: a field that is missing is None. A message with such
a field must not be applied in part.
"""

from __future__ import annotations

from thrift import Thrift

from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import decoding

# Fields that peers of an older build leave out.
_OPTIONAL_FIELDS = frozenset(
    {
        (ttypes.Heartbeat, "prompt_crashes"),
        (ttypes.Heartbeat, "sound_parts"),
        (ttypes.Heartbeat, "limits"),
        (ttypes.Heartbeat, "leaving_endpoints"),
        (ttypes.LoadChange, "limits"),
        (ttypes.VersionCount, "timed"),
        (ttypes.VersionCount, "log_total"),
        (ttypes.VersionCount, "log_square_total"),
        (ttypes.VersionCount, "routes"),
        (ttypes.Row, "value"),
        (ttypes.Row, "is_compressed"),
        (ttypes.CopyRequest, "accepts_compression"),
        (ttypes.CopyResponse, "is_busy"),
    }
)


class PeerMessageError(Exception):
    """A message of a peer is incomplete or invalid."""


def check(message: object) -> None:
    """Checks a decoded message and the structures in it.

    Args:
        message: Message that the generated code has decoded.

    Raises:
        PeerMessageError: A required value is missing, a number is not finite,
            or a host is not an IP address.
    """
    for spec in type(message).thrift_spec:
        if spec is None:
            continue
        _, field_type, name, type_args, _ = spec
        value = getattr(message, name)
        if value is None:
            if (type(message), name) in _OPTIONAL_FIELDS:
                continue
            raise PeerMessageError(
                f"{type(message).__name__}.{name} is missing"
            )
        _check_value(f"{type(message).__name__}.{name}", field_type, value)
        if (
            field_type == Thrift.TType.LIST
            and type_args[0] == Thrift.TType.STRUCT
        ):
            for item in value:
                check(item)
    if isinstance(message, ttypes.Heartbeat):
        _check_hosts((message.host, *message.known_hosts))


def _check_value(name: str, field_type: int, value: object) -> None:
    """Checks that a number is finite."""
    if field_type == Thrift.TType.DOUBLE and not (
        -decoding.MAX_NUMBER <= value <= decoding.MAX_NUMBER
    ):
        raise PeerMessageError(f"{name} is not a finite number")


def _check_hosts(hosts: tuple[str, ...]) -> None:
    """Checks that all hosts are IP addresses."""
    for host in hosts:
        if not decoding.is_ip(host):
            raise PeerMessageError(f"{decoding.quote(host)} is not an address")
