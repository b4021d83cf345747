"""Calls to other processes of the system."""

from __future__ import annotations

import socket
from typing import Any

from thrift.transport import TTransport

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.wire import auth
from dandelionlead.wire import framing
from dandelionlead.wire.gen import Peer
from dandelionlead.wire.gen import ttypes

DEFAULT_TIMEOUT_S = 1.0
_MAX_IDLE_PER_ADDRESS = 4
# A connection that was idle longer may have been dropped silently by a device
# on the path.
_MAX_IDLE_S = 5.0


class PeerError(Exception):
    """A call to another process failed; whether it ran is not known."""


class Connection:
    """One authenticated connection; used by one caller at a time."""

    def __init__(self, conn: socket.socket) -> None:
        self.transport = framing.FrameTransport(conn)
        self.used_at = clock.boottime()
        self._client = Peer.Client(framing.protocol(self.transport))

    def exchange(self, gossip: ttypes.Gossip) -> ttypes.Gossip:
        """Exchanges gossip."""
        return self._call("exchange", gossip)

    def acquire(self, request: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Asks the owner of an endpoint for a grant."""
        return self._call("acquire", request)

    def report(self, request: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Reports units in use to the owner of endpoints."""
        return self._call("report", request)

    def get_parts(self, digests: list[str]) -> dict[str, bytes]:
        """Returns the configuration parts that the peer has."""
        return self._call("get_parts", digests)

    def notify(self, head: ttypes.ConfigHead) -> ttypes.NotifyReply:
        """Tells a process of a configuration head."""
        return self._call("notify", head)

    def dump(self) -> str:
        """Returns the state of the process as JSON."""
        return self._call("dump")

    def trace(self, request_id: str) -> list[ttypes.TraceEvent]:
        """Returns the events of one request."""
        return self._call("trace", request_id)

    def close(self) -> None:
        """Closes the connection."""
        self.transport.close()

    def _call(self, method: str, *args: Any) -> Any:
        try:
            return getattr(self._client, method)(*args)
        except (
            OSError,
            EOFError,
            TTransport.TTransportException,
            *framing.MESSAGE_FAULTS,
        ) as exc:
            self.close()
            raise PeerError(f"{method}: {exc}") from exc


def connect(
    address: str, key: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Connection | errors.Failure:
    """Connects to a process and proves the peer key on both sides.

    Args:
        address: Control address, `ip:port`.
        key: Peer key.
        timeout_s: Bound on connecting and on each later read or write.

    Returns:
        The connection, or a failure with the reason.
    """
    host, _, port = address.rpartition(":")
    try:
        conn = socket.create_connection((host, int(port)), timeout=timeout_s)
    except ConnectionRefusedError:
        return errors.Failure(
            errors.Kind.PEER_UNREACHABLE, f"{address} refused the connection"
        )
    except (OSError, ValueError) as exc:
        return errors.Failure(
            errors.Kind.PEER_UNREACHABLE, f"{address} did not answer: {exc}"
        )
    try:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        known = auth.authenticate_client(conn, key)
    except OSError as exc:
        conn.close()
        return errors.Failure(
            errors.Kind.PEER_UNREACHABLE,
            f"{address} ended the connection before it proved its key: {exc}",
        )
    if not known:
        conn.close()
        return errors.Failure(
            errors.Kind.PEER_REFUSED, f"{address} has another peer key"
        )
    return Connection(conn)


class Pool:
    """Idle connections by address; a failed one is never used again."""

    def __init__(
        self, key: bytes, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._key = key
        self._timeout_s = timeout_s
        self._idle: dict[str, list[Connection]] = {}

    def call(self, address: str, method: str, *args: Any) -> Any:
        """Calls a method of another process.

        A connection that was kept may have been closed by the peer meanwhile,
        which shows as a failure; the call is then not repeated here, since it
        may have run.

        Returns:
            The result, or a failure of kind PEER_UNREACHABLE or PEER_REFUSED.
        """
        conn = self._take_idle(address)
        if conn is None:
            conn = connect(address, self._key, timeout_s=self._timeout_s)
            if isinstance(conn, errors.Failure):
                return conn
        try:
            result = getattr(conn, method)(*args)
        except PeerError as exc:
            self.forget(address)
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE, f"{address}: {exc}"
            )
        except BaseException:
            conn.close()
            raise
        self._keep(address, conn)
        return result

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def _take_idle(self, address: str) -> Connection | None:
        oldest = clock.boottime() - _MAX_IDLE_S
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.used_at >= oldest:
                return conn
            conn.close()
        return None

    def _keep(self, address: str, conn: Connection) -> None:
        kept = self._idle.setdefault(address, [])
        if len(kept) >= _MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.used_at = clock.boottime()
        kept.append(conn)
