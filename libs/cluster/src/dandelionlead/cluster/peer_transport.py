"""Exchanges gossip over UDP and table copies over TCP with other processes.

Datagrams may be lost or reordered; `cluster.gossip` requests what is missing.
Tables are too large for a datagram, so a process requests them over TCP.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
from collections.abc import Callable

import eventlet
import eventlet.green.socket as green_socket
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from dandelionlead.cluster import gossip
from dandelionlead.cluster import message_checks
from dandelionlead.cluster import mirror
from dandelionlead.cluster import roster
from dandelionlead.cluster import state_handler
from dandelionlead.cluster import table_sending
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.http import listener

# Shortest time between two messages if a change causes the second one: with few
# processes or for an urgent change, and otherwise. In the latter case many
# changes of others arrive in between and are passed on together.
MIN_SEND_PAUSE_S = 0.01
MIN_BATCH_PAUSE_S = 0.15
# Pause after a socket error in a loop.
_ERROR_PAUSE_S = 0.01
# If the loop of the rounds has not run for this time, the process was paused.
# The datagrams that have arrived meanwhile are dropped, because their ages are
# not valid.
_PAUSED_S = 1.0
# Share of the rounds with a further message to a host that is not known yet.
_UNKNOWN_HOST_SHARE = 0.25
_MAX_DATAGRAM_BYTES = 60_000
_MAX_FRAME_BYTES = 16_777_216
# Time within which a peer must receive the copy that it requested.
_SERVE_COPY_TIMEOUT_S = 2.0
# Prefix of each message on TCP: the length of the message in bytes.
_LENGTH_PREFIX = struct.Struct("!I")


class CopyLimits:
    """Limits on the time that copying tables from a peer may take.

    Attributes:
        idle_timeout_s: Time in seconds within which the connection must be
            open, and within which more of the response must arrive.
        total_timeout_s: Time in seconds for connection, request and response
            together.
    """

    __slots__ = ("idle_timeout_s", "total_timeout_s")

    def __init__(self, idle_timeout_s: float, total_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.total_timeout_s = total_timeout_s


class PeerTransport:
    """Exchanges messages over a UDP socket and TCP connections.

    Attributes:
        gossip: What is sent and received.
        sent_bytes: Bytes of the datagrams that were sent.
        received_bytes: Bytes of the datagrams that were received.
    """

    def __init__(
        self,
        address: tuple[str, int],
        process_id: int,
        members: roster.Roster,
        table_mirror: mirror.Mirror,
        handler: state_handler.StateHandler,
        log: events.Log,
        guard: guards.LoopGuard,
        rng: random.Random,
    ) -> None:
        """Binds the UDP socket and the listening TCP socket.

        Args:
            address: Host and port to listen on, for UDP and TCP. All processes
                listen on the same port.
            process_id: Id of this process.
            members: The other processes.
            table_mirror: Mirror whose tables peers may copy.
            handler: Provides and applies the state that is exchanged.
            log: Receives an event for each datagram that cannot be decoded
                and for each copy request that cannot be served.
            guard: Keeps a message that fails in an unexpected way from ending
                the exchange with other processes.
            rng: Draws the processes that messages are sent to.

        Raises:
            OSError: If a socket cannot be bound.
        """
        self._address = address
        self._members = members
        self._table_sender = table_sending.TableSender(table_mirror)
        self._log = log
        self._guard = guard
        self._rng = rng
        self.gossip = gossip.Gossip(
            process_id, members, handler, rng, self._request_send
        )
        self._udp_socket = green_socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._udp_socket.bind(address)
        self._tcp_socket = listener.open_listening_socket(address)
        self._scheduled_send: eventlet.greenthread.GreenThread | None = None
        self._scheduled_s = 0.0
        self._is_closed = False
        self._last_send_s = 0.0
        self._last_tick_s = float("inf")
        self.sent_bytes = 0
        self.received_bytes = 0

    def loops(self) -> tuple[Callable[[], None], ...]:
        """Returns the endless loops to run, each in a green thread."""
        return (
            self._receive_datagrams,
            self._accept_connections,
            self._send_rounds,
        )

    def close(self) -> None:
        """Closes the sockets; from then on nothing is sent."""
        self._is_closed = True
        self._udp_socket.close()
        self._tcp_socket.close()

    def send_round(self) -> None:
        """Sends the message of a round at once."""
        now_s = clock.boottime()
        message = self.gossip.build_round(now_s)
        hosts = self._members.choose_hosts(self._rng, now_s)
        if self._rng.random() < _UNKNOWN_HOST_SHARE or not hosts:
            unknown_host = self._members.choose_unknown_host(self._rng, now_s)
            hosts += [unknown_host] if unknown_host else []
        self._send(message, hosts)

    def _request_send(self, is_urgent: bool) -> None:
        """Schedules a message, unless one is scheduled as early."""
        pause_s = MIN_BATCH_PAUSE_S
        if is_urgent or self._members.is_direct():
            pause_s = MIN_SEND_PAUSE_S
        now_s = clock.boottime()
        due_s = max(now_s, self._last_send_s + pause_s)
        if self._scheduled_send is not None:
            if self._scheduled_s <= due_s:
                return
            self._scheduled_send.cancel()
        self._scheduled_s = due_s
        self._scheduled_send = eventlet.spawn_after(
            due_s - now_s, self._send_changes
        )

    def _send_changes(self) -> None:
        """Sends what has changed to some processes."""
        self._scheduled_send = None
        with self._guard.turn("send_changes"):
            now_s = clock.boottime()
            message = self.gossip.build_change(now_s)
            if message is not None:
                hosts = self._members.choose_hosts(self._rng, now_s)
                self._send(message, hosts)
            if self.gossip.has_changes():
                self._request_send(False)

    def _send(self, message: ttypes.Gossip, hosts: list[str]) -> None:
        """Sends a message to each of some hosts."""
        if self._is_closed:
            return
        self._last_send_s = clock.boottime()
        datagram = encode(message)
        for host in hosts:
            with contextlib.suppress(OSError):
                # A datagram that cannot be sent is treated as lost.
                self._udp_socket.sendto(datagram, (host, self._address[1]))
                self.sent_bytes += len(datagram)

    def request_tables(
        self, host: str, known_versions: dict[str, int], limits: CopyLimits
    ) -> ttypes.CopyResponse | errors.Failure:
        """Requests tables from a peer.

        Args:
            host: Host of the peer.
            known_versions: Versions of the requested tables that this process
                holds, by table name. The peer leaves out tables that it holds
                at an older version.
            limits: Limits on the time of the copy.

        Returns:
            The response, or a failure of kind `PEER_UNREACHABLE` if the peer
            did not send a valid response in time.
        """
        req = ttypes.CopyRequest(known_versions, accepts_compression=True)
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.settimeout(limits.idle_timeout_s)
        try:
            with eventlet.Timeout(limits.total_timeout_s):
                sock.connect((host, self._address[1]))
                _send_frame(sock, encode(req))
                return decode(ttypes.CopyResponse(), _read_frame(sock))
        except (
            OSError,
            EOFError,
            eventlet.Timeout,
            message_checks.PeerMessageError,
        ) as exc:
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE,
                f"copying tables from peer {host} failed: {exc!r}",
            )
        finally:
            sock.close()

    def _send_rounds(self) -> None:
        """Sends rounds at their interval, without end."""
        while not self._is_closed:
            if self._was_paused():
                self._drop_waiting_datagrams()
            self._last_tick_s = clock.boottime()
            if self.gossip.is_round_due(self._last_tick_s):
                with self._guard.turn("send_round"):
                    self.send_round()
            eventlet.sleep(
                gossip.ROUND_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            )

    def _was_paused(self) -> bool:
        return clock.boottime() - self._last_tick_s > _PAUSED_S

    def _drop_waiting_datagrams(self) -> None:
        """Reads and drops the datagrams that have arrived."""
        with contextlib.suppress(OSError):
            while True:
                self._udp_socket.fd.recv(1, socket.MSG_DONTWAIT)

    def _receive_datagrams(self) -> None:
        """Receives and processes datagrams without end."""
        while not self._is_closed:
            try:
                datagram, address = self._udp_socket.recvfrom(
                    _MAX_DATAGRAM_BYTES
                )
            except (OSError, EOFError):
                eventlet.sleep(_ERROR_PAUSE_S)
                continue
            if self._was_paused():
                self._drop_waiting_datagrams()
                self._last_tick_s = clock.boottime()
                continue
            with self._guard.turn("datagram"):
                self._process_datagram(datagram, address[0])

    def _process_datagram(self, datagram: bytes, host: str) -> None:
        """Processes a datagram; logs one that cannot be decoded."""
        self.received_bytes += len(datagram)
        try:
            message = decode(ttypes.Gossip(), datagram)
        except message_checks.PeerMessageError as exc:
            self._log.event("datagram_unreadable", host=host, reason=str(exc))
            return
        for reply in self.gossip.handle(message, host, clock.boottime()):
            self._send(reply, [host])

    def _accept_connections(self) -> None:
        """Accepts connections of peers and serves each in a green thread."""
        while True:
            try:
                sock, _ = self._tcp_socket.accept()
            except OSError:
                eventlet.sleep(_ERROR_PAUSE_S)
                continue
            eventlet.spawn_n(self._serve_copy_request, sock)

    def _serve_copy_request(self, sock: green_socket.GreenSocket) -> None:
        """Reads a copy request, sends the response and closes the socket."""
        try:
            with eventlet.Timeout(_SERVE_COPY_TIMEOUT_S):
                req = decode(ttypes.CopyRequest(), _read_frame(sock))
                with self._table_sender.open_response(req) as resp:
                    _send_frame(sock, encode(resp))
        except (
            OSError,
            EOFError,
            eventlet.Timeout,
            message_checks.PeerMessageError,
        ) as exc:
            self._log.event("copy_not_answered", reason=repr(exc))
        finally:
            sock.close()


def encode(message: object) -> bytes:
    """Encodes a thrift message in the compact protocol."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(message: object, data: bytes) -> object:
    """Decodes data in the compact protocol into an empty thrift message.

    Args:
        message: Empty message of the expected type. Its fields are set from the
            data.
        data: Encoded message.

    Returns:
        The message that was passed in.

    Raises:
        message_checks.PeerMessageError: If the data is not a valid message, or
            if the message lacks a value.
    """
    buffer = TTransport.TMemoryBuffer(data)
    try:
        message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    except Exception as exc:  # The generated code documents no exceptions.
        raise message_checks.PeerMessageError(repr(exc)) from exc
    message_checks.check(message)
    return message


def _send_frame(sock: green_socket.GreenSocket, data: bytes) -> None:
    """Sends data with its length as prefix."""
    sock.sendall(_LENGTH_PREFIX.pack(len(data)) + data)


def _read_frame(sock: green_socket.GreenSocket) -> bytes:
    """Receives data that was sent with its length as prefix.

    Raises:
        message_checks.PeerMessageError: If the length exceeds the limit.
        EOFError: If the peer closed the connection too early.
    """
    size = _LENGTH_PREFIX.unpack(_read_exactly(sock, _LENGTH_PREFIX.size))[0]
    if size > _MAX_FRAME_BYTES:
        raise message_checks.PeerMessageError(
            f"frame of {size} bytes exceeds the limit of"
            f" {_MAX_FRAME_BYTES} bytes"
        )
    return _read_exactly(sock, size)


def _read_exactly(sock: green_socket.GreenSocket, size: int) -> bytes:
    """Receives the given number of bytes.

    Raises:
        EOFError: If the peer closed the connection too early.
    """
    data = bytearray()
    while len(data) < size:
        chunk = sock.recv(min(65_536, size - len(data)))
        if not chunk:
            raise EOFError(
                f"peer closed the connection after {len(data)} of {size} bytes"
            )
        data += chunk
    return bytes(data)
