"""Exchanges heartbeats and loads over UDP and table copies over TCP with peers.

Peers are the other gateway processes of the system. A heartbeat contains the
whole state that a process publishes; a load change contains only the loads of
those endpoints whose load changed. Datagrams may be lost or reordered: the
receiver drops outdated datagrams by their sequence numbers, and the next
heartbeat contains what a lost datagram contained. Tables are too large for a
datagram, so a peer requests them over TCP.
"""

from __future__ import annotations

import abc
import contextlib
import random
import socket
import struct
from collections.abc import Callable

import eventlet
import eventlet.green.socket as green_socket
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from dandelionlead.cluster import message_checks
from dandelionlead.cluster import mirror
from dandelionlead.cluster import roster
from dandelionlead.cluster import table_sending
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.http import listener

# Shortest time between two sends to all peers if a change causes the second
# one. It is also the pause after a socket error in a loop.
MIN_SEND_PAUSE_S = 0.01
# With many peers the time between two sends grows, so that changes cause at
# most this many datagrams per second.
_MAX_CHANGE_DATAGRAMS_PER_S = 3_000.0
_MAX_DATAGRAM_BYTES = 60_000
_MAX_FRAME_BYTES = 16_777_216
# Time within which a peer must receive the copy that it requested.
_SERVE_COPY_TIMEOUT_S = 2.0
# Largest number of peer hosts that a heartbeat lists. The hosts are drawn at
# random, so that successive heartbeats list different ones.
_MAX_KNOWN_HOSTS = 4
# First byte of a datagram: the type of the message that follows.
_HEARTBEAT_TYPE = b"H"
_LOAD_CHANGE_TYPE = b"L"
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


class PeerMessageHandler(abc.ABC):
    """Builds the messages to peers and processes the messages from peers."""

    @abc.abstractmethod
    def build_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with the current state of this process."""

    @abc.abstractmethod
    def build_load_change(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        """Returns the current loads of this process at the given endpoints."""

    @abc.abstractmethod
    def handle_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Processes a heartbeat newer than its sender's previous messages."""

    @abc.abstractmethod
    def handle_load_change(self, change: ttypes.LoadChange) -> None:
        """Processes a load change newer than its sender's previous messages."""


class PeerTransport:
    """Exchanges messages with peers over a UDP socket and TCP connections."""

    def __init__(
        self,
        address: tuple[str, int],
        peer_roster: roster.Roster,
        table_mirror: mirror.Mirror,
        handler: PeerMessageHandler,
        log: events.Log,
        guard: guards.LoopGuard,
    ) -> None:
        """Binds the UDP socket and the listening TCP socket.

        Args:
            address: Host and port to listen on, for UDP and TCP. All peers
                listen on the same port.
            peer_roster: The peers and their hosts.
            table_mirror: Mirror whose tables peers may copy.
            handler: Builds the messages that are sent, and processes the
                messages that are received.
            log: Receives an event for each datagram that cannot be decoded
                and for each copy request that cannot be served.
            guard: Keeps a message that fails in an unexpected way from ending
                the exchange with other peers.

        Raises:
            OSError: If a socket cannot be bound.
        """
        self._address = address
        self._peer_roster = peer_roster
        self._table_sender = table_sending.TableSender(table_mirror)
        self._handler = handler
        self._log = log
        self._guard = guard
        self._udp_socket = green_socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._udp_socket.bind(address)
        self._tcp_socket = listener.open_listening_socket(address)
        self._scheduled_send: eventlet.greenthread.GreenThread | None = None
        self._is_heartbeat_due = False
        self._changed_endpoint_ids: set[str] = set()
        self._is_closed = False
        self._last_send_s = 0.0
        self._last_heartbeat_s = 0.0

    def loops(self) -> tuple[Callable[[], None], ...]:
        """Returns the endless loops to run, each in a green thread."""
        return (
            self._receive_datagrams,
            self._accept_connections,
            self._send_periodically,
        )

    def close(self) -> None:
        """Closes the sockets; from then on nothing is sent to peers."""
        self._is_closed = True
        self._udp_socket.close()
        self._tcp_socket.close()

    def schedule_heartbeat(self) -> None:
        """Schedules a heartbeat to all peers.

        It is sent as soon as the minimum pause since the last send has passed.
        """
        self._is_heartbeat_due = True
        self._schedule_send()

    def schedule_load_change(self, endpoint_id: str) -> None:
        """Schedules a message with the load of an endpoint to all peers.

        It is sent as soon as the minimum pause since the last send has passed,
        with the load that the endpoint has then.

        Args:
            endpoint_id: Endpoint whose load changed.
        """
        self._changed_endpoint_ids.add(endpoint_id)
        self._schedule_send()

    def _schedule_send(self) -> None:
        """Schedules a send of all changes, unless one is scheduled already."""
        if self._scheduled_send is not None:
            return
        peer_count = len(self._peer_roster.hosts())
        pause_s = max(
            MIN_SEND_PAUSE_S, peer_count / _MAX_CHANGE_DATAGRAMS_PER_S
        )
        wait_s = self._last_send_s + pause_s - clock.boottime()
        self._scheduled_send = eventlet.spawn_after(
            max(0.0, wait_s), self._send_changes
        )

    def _send_changes(self) -> None:
        """Sends a heartbeat if one was scheduled, otherwise a load change."""
        self._scheduled_send = None
        if self._is_heartbeat_due:
            self.send_heartbeat()
            return
        change = self._handler.build_load_change(self._changed_endpoint_ids)
        self._changed_endpoint_ids.clear()
        self._send_to_all(_LOAD_CHANGE_TYPE + encode(change))

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to all peers immediately.

        The heartbeat also contains the loads that were scheduled to be sent.
        """
        self._is_heartbeat_due = False
        self._changed_endpoint_ids.clear()
        self._last_heartbeat_s = clock.boottime()
        self._send_to_all(
            _HEARTBEAT_TYPE + encode(self._handler.build_heartbeat())
        )

    def _send_to_all(self, datagram: bytes) -> None:
        """Sends a datagram to each host of the roster."""
        if self._is_closed:
            return
        self._last_send_s = clock.boottime()
        for host in self._peer_roster.hosts():
            with contextlib.suppress(OSError):
                # A datagram that cannot be sent is treated as lost.
                self._udp_socket.sendto(datagram, (host, self._address[1]))

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

    def _send_periodically(self) -> None:
        """Sends heartbeats at the interval of the roster, without end.

        A periodic heartbeat is left out if a change caused another heartbeat
        less than 80 % of the interval ago.
        """
        while True:
            interval_s = self._peer_roster.heartbeat_interval_s()
            if clock.boottime() - self._last_heartbeat_s >= 0.8 * interval_s:
                self.send_heartbeat()
            eventlet.sleep(interval_s)

    def _receive_datagrams(self) -> None:
        """Receives and processes datagrams without end."""
        while not self._is_closed:
            try:
                datagram, _ = self._udp_socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except (OSError, EOFError):
                eventlet.sleep(MIN_SEND_PAUSE_S)
                continue
            with self._guard.turn("datagram"):
                self._receive_datagram(datagram)

    def _receive_datagram(self, datagram: bytes) -> None:
        """Processes a datagram; logs one that cannot be decoded."""
        try:
            self._process_datagram(datagram)
        except message_checks.PeerMessageError as exc:
            self._log.event("heartbeat_unreadable", reason=repr(exc))

    def _process_datagram(self, datagram: bytes) -> None:
        """Decodes a datagram and passes it to the handler if it is new."""
        message_type, body = datagram[:1], datagram[1:]
        now_s = clock.boottime()
        if message_type == _HEARTBEAT_TYPE:
            heartbeat = decode(ttypes.Heartbeat(), body)
            if self._peer_roster.accept_heartbeat(heartbeat, now_s):
                self._handler.handle_heartbeat(heartbeat)
        elif message_type == _LOAD_CHANGE_TYPE:
            change = decode(ttypes.LoadChange(), body)
            if self._peer_roster.accept_load_change(change):
                self._handler.handle_load_change(change)

    def _accept_connections(self) -> None:
        """Accepts connections of peers and serves each in a green thread."""
        while True:
            try:
                sock, _ = self._tcp_socket.accept()
            except OSError:
                eventlet.sleep(MIN_SEND_PAUSE_S)
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


def sample_hosts(peer_roster: roster.Roster) -> list[str]:
    """Returns a random sample of peer hosts to list in a heartbeat."""
    hosts = peer_roster.hosts()
    return random.sample(hosts, min(_MAX_KNOWN_HOSTS, len(hosts)))


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
