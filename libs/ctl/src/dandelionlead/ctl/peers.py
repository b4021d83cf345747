"""Calls from `dandelionctl` to the processes of the system."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from dandelionlead.config import head
from dandelionlead.core import errors
from dandelionlead.ctl import confirm
from dandelionlead.ctl import fanout

_CALL_TIMEOUT_S = 1.0
# Connecting, the proof of the key and the call each have their own timeout.
ASK_LIMIT_S = 4.0


class Event:
    """One event of a request, from a process or a log file.

    Attributes:
        process: Name of the process, or of the log file.
        at_unix_s: Seconds since the epoch, by the clock of the process.
        line: The log line without its time.
    """

    __slots__ = ("process", "at_unix_s", "line")

    def __init__(self, process: str, at_unix_s: float, line: str) -> None:
        self.process = process
        self.at_unix_s = at_unix_s
        self.line = line

    def to_plain(self) -> dict[str, str | float]:
        """Returns the JSON object of this event."""
        return {name: getattr(self, name) for name in self.__slots__}


class Peers(confirm.Notifier):
    """Processes of the system, reached at their control addresses."""

    def __init__(self, key: bytes) -> None:
        self._key = key

    def notify(
        self, addresses: Sequence[str], new: head.Head, limit_s: float
    ) -> dict[str, confirm.Reply | errors.Failure]:
        """Sends a head to all addresses at the same time."""
        return fanout.run(
            addresses, lambda address: self._notify(address, new), limit_s
        )

    def dump(self, address: str) -> str | errors.Failure:
        """Returns the state of one process as JSON text."""
        return self._call(address, lambda conn: conn.dump())

    def trace(
        self, addresses: Sequence[str], request_id: str
    ) -> dict[str, list[Event] | errors.Failure]:
        """Returns the events of a request from each address that answered."""
        return fanout.run(
            addresses,
            lambda address: self._trace(address, request_id),
            ASK_LIMIT_S,
        )

    def _notify(
        self, address: str, new: head.Head
    ) -> confirm.Reply | errors.Failure:
        from dandelionlead.wire.gen import ttypes

        message = ttypes.ConfigHead(
            version=new.version, apply_id=new.apply_id, parts=new.parts
        )
        reply = self._call(address, lambda conn: conn.notify(message))
        if isinstance(reply, errors.Failure):
            return reply
        return confirm.Reply(reply.version_in_force or 0, reply.reason or "")

    def _trace(
        self, address: str, request_id: str
    ) -> list[Event] | errors.Failure:
        found = self._call(address, lambda conn: conn.trace(request_id))
        if isinstance(found, errors.Failure):
            return found
        return [
            Event(item.process or "", item.at_unix_s or 0.0, item.line or "")
            for item in found
        ]

    def _call(self, address: str, call: Callable[[Any], Any]) -> Any:
        from dandelionlead.wire import client

        conn = client.connect(address, self._key, timeout_s=_CALL_TIMEOUT_S)
        if isinstance(conn, errors.Failure):
            return conn
        try:
            return call(conn)
        except client.PeerError as exc:
            return errors.Failure(errors.Kind.PEER_UNREACHABLE, str(exc))
        finally:
            conn.close()
