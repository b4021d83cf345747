"""Tells all listed processes of a new head and collects who has it in force."""

from __future__ import annotations

import abc
from collections.abc import Sequence

from dandelionlead.config import head
from dandelionlead.core import errors
from dandelionlead.ctl import apply
from dandelionlead.platform import api

# Invariant 10: an accepted configuration is in force everywhere within 4 s.
LIMIT_S = 4.0
_ROUND_PAUSE_S = 0.2


class Reply:
    """Answer of one process; `reason` says why its version is older."""

    __slots__ = ("version", "reason")

    def __init__(self, version: int, reason: str = "") -> None:
        self.version = version
        self.reason = reason


class Notifier(abc.ABC):
    """Sends a head to processes."""

    @abc.abstractmethod
    def notify(
        self, addresses: Sequence[str], new: head.Head, limit_s: float
    ) -> dict[str, Reply | errors.Failure]:
        """Returns the reply of each control address, within `limit_s`."""


class Confirmation:
    """What one listed process said last.

    Attributes:
        name: Name of the process.
        address: Its control address.
        state: `live` or `leaving`, as the list shows it. A leaving process
            must confirm too, since it takes new work for some seconds.
        confirmed: Whether it has this version, or a later one, in force.
        version: Version that it has in force; 0 if it did not answer.
        reason: Why it did not confirm; empty if it did.
    """

    __slots__ = ("name", "address", "state", "confirmed", "version", "reason")

    def __init__(
        self,
        name: str,
        address: str,
        state: str,
        *,
        confirmed: bool,
        version: int,
        reason: str,
    ) -> None:
        self.name = name
        self.address = address
        self.state = state
        self.confirmed = confirmed
        self.version = version
        self.reason = reason

    def to_plain(self) -> dict[str, str | int | bool]:
        """Returns the JSON object of this confirmation."""
        return {name: getattr(self, name) for name in self.__slots__}


def collect(
    listed: Sequence[api.Listed],
    new: head.Head,
    notifier: Notifier,
    timing: apply.Timing,
) -> list[Confirmation]:
    """Notifies processes until all confirm or `timing.limit_s` is over."""
    ends_at = timing.now() + timing.limit_s
    found = {
        item.name: _confirmation(item, new, _not_asked()) for item in listed
    }
    waiting = list(listed)
    while waiting and timing.now() < ends_at:
        addresses = [item.control for item in waiting]
        replies = notifier.notify(addresses, new, ends_at - timing.now())
        for item in waiting:
            reply = replies.get(item.control, _no_answer())
            found[item.name] = _confirmation(item, new, reply)
        waiting = [item for item in listed if not found[item.name].confirmed]
        if waiting:
            timing.wait(_ROUND_PAUSE_S)
    return list(found.values())


def _confirmation(
    item: api.Listed, new: head.Head, reply: Reply | errors.Failure
) -> Confirmation:
    if isinstance(reply, errors.Failure):
        version, reason = 0, reply.reason
    else:
        version, reason = reply.version, reply.reason
    confirmed = version >= new.version
    if not confirmed and not reason:
        reason = f"it has version {version} in force"
    return Confirmation(
        item.name,
        item.control,
        item.state,
        confirmed=confirmed,
        version=version,
        reason="" if confirmed else reason,
    )


def _not_asked() -> errors.Failure:
    return errors.Failure(
        errors.Kind.PEER_UNREACHABLE, "there was no time to ask it"
    )


def _no_answer() -> errors.Failure:
    return errors.Failure(
        errors.Kind.PEER_UNREACHABLE, "it did not answer in time"
    )
