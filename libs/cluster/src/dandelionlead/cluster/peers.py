"""Heartbeats and loads between processes, and copies of tables on request."""

from __future__ import annotations

import abc
import contextlib
import random
import socket
import struct
from collections.abc import Callable

import eventlet
import eventlet.green.socket as green_socket
from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from dandelionlead.cluster import mirror
from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.http import listener

# A change is told at once, but not more often than this, ...
LEAST_PAUSE_S = 0.01
# ... nor so often that more datagrams go out a second.
_DATAGRAMS_PER_S = 3_000.0
_MAX_DATAGRAM = 60_000
_MAX_FRAME = 16_777_216
# Hosts that a heartbeat passes on; each names others.
_KNOWN_HOSTS = 4
# First byte of a datagram.
_HEARTBEAT = b"H"
_LOADS = b"L"
_LENGTH = struct.Struct("!I")
_DECODE_FAULTS = (
    Thrift.TException,
    OverflowError,
    EOFError,
    UnicodeDecodeError,
)


class Speaker(abc.ABC):
    """Says what a process tells its peers, and takes what they tell."""

    @abc.abstractmethod
    def describe(self) -> ttypes.Heartbeat:
        """Returns the present heartbeat of this process."""

    @abc.abstractmethod
    def describe_loads(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        """Returns the present loads of some endpoints."""

    @abc.abstractmethod
    def heard(self, beat: ttypes.Heartbeat) -> None:
        """Takes a peer's heartbeat that is news."""

    @abc.abstractmethod
    def heard_loads(self, change: ttypes.LoadChange) -> None:
        """Takes a peer's loads that are news."""


class Peers:
    """Sockets between this process and its peers."""

    def __init__(
        self,
        address: tuple[str, int],
        known: roster.Roster,
        tables: mirror.Mirror,
        speaker: Speaker,
        log: events.Log,
    ) -> None:
        """Binds the sockets.

        Args:
            address: Where to listen, UDP and TCP.
            known: The peers.
            tables: Tables that peers may copy.
            speaker: Says what is told, and takes what is heard.
            log: Gets lines on messages that cannot be read.
        """
        self._address = address
        self._roster = known
        self._tables = tables
        self._speaker = speaker
        self._log = log
        self._udp = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind(address)
        self._tcp = listener.listen(address)
        self._soon: eventlet.greenthread.GreenThread | None = None
        self._whole = False
        self._changed_loads: set[str] = set()
        self._closed = False
        self._sent_s = 0.0
        self._beat_s = 0.0

    def loops(self) -> tuple[Callable[[], None], ...]:
        """Returns what runs for as long as the process."""
        return self._receive, self._accept, self._send_regularly

    def close(self) -> None:
        """Closes the sockets; peers hear nothing more."""
        self._closed = True
        self._udp.close()
        self._tcp.close()

    def changed(self) -> None:
        """Tells the peers all soon."""
        self._whole = True
        self._send_soon()

    def load_changed(self, endpoint_id: str) -> None:
        """Tells the peers soon of the load at an endpoint."""
        self._changed_loads.add(endpoint_id)
        self._send_soon()

    def _send_soon(self) -> None:
        if self._soon is not None:
            return
        peers_count = len(self._roster.hosts())
        pause_s = max(LEAST_PAUSE_S, peers_count / _DATAGRAMS_PER_S)
        wait_s = self._sent_s + pause_s - clock.boottime()
        self._soon = eventlet.spawn_after(max(0.0, wait_s), self._send_changes)

    def _send_changes(self) -> None:
        self._soon = None
        if self._whole:
            self.send()
            return
        change = self._speaker.describe_loads(self._changed_loads)
        self._changed_loads.clear()
        self._send_to_all(_LOADS + encode(change))

    def send(self) -> None:
        """Sends a heartbeat to all peers."""
        self._whole = False
        self._changed_loads.clear()
        self._beat_s = clock.boottime()
        self._send_to_all(_HEARTBEAT + encode(self._speaker.describe()))

    def _send_to_all(self, data: bytes) -> None:
        if self._closed:
            return
        self._sent_s = clock.boottime()
        for host in self._roster.hosts():
            with contextlib.suppress(OSError):
                # A datagram that cannot be sent is one that is lost.
                self._udp.sendto(data, (host, self._address[1]))

    def copy(
        self, host: str, versions: dict[str, int], limit_s: float
    ) -> ttypes.CopyResponse | errors.Failure:
        """Asks a peer for tables that are newer than the versions."""
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with eventlet.Timeout(limit_s):
                sock.connect((host, self._address[1]))
                _send_frame(sock, encode(ttypes.CopyRequest(versions)))
                return decode(ttypes.CopyResponse(), _read_frame(sock))
        except (OSError, eventlet.Timeout, *_DECODE_FAULTS) as exc:
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE, f"{host}: {exc!r}"
            )
        finally:
            sock.close()

    def _send_regularly(self) -> None:
        while True:
            pause_s = self._roster.heartbeat_s()
            if clock.boottime() - self._beat_s >= 0.8 * pause_s:
                self.send()
            eventlet.sleep(pause_s)

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self._udp.recvfrom(_MAX_DATAGRAM)
                self._take(data)
            except OSError:
                eventlet.sleep(LEAST_PAUSE_S)
                continue
            except _DECODE_FAULTS as exc:
                self._log.event("heartbeat_unreadable", reason=repr(exc))

    def _take(self, data: bytes) -> None:
        kind, body = data[:1], data[1:]
        now_s = clock.boottime()
        if kind == _HEARTBEAT:
            beat = decode(ttypes.Heartbeat(), body)
            if self._roster.hear(beat, now_s):
                self._speaker.heard(beat)
        elif kind == _LOADS:
            change = decode(ttypes.LoadChange(), body)
            if self._roster.hear_loads(change):
                self._speaker.heard_loads(change)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._tcp.accept()
            except OSError:
                eventlet.sleep(LEAST_PAUSE_S)
                continue
            eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock: green_socket.GreenSocket) -> None:
        try:
            with eventlet.Timeout(2.0):
                question = decode(ttypes.CopyRequest(), _read_frame(sock))
                tables = self._newer(question.known_versions)
                _send_frame(sock, encode(ttypes.CopyResponse(tables)))
        except (OSError, eventlet.Timeout, *_DECODE_FAULTS) as exc:
            self._log.event("copy_not_answered", reason=repr(exc))
        finally:
            sock.close()

    def _newer(self, versions: dict[str, int]) -> list[ttypes.Table]:
        now_s = clock.boottime()
        found = []
        for name, known in versions.items():
            table = self._tables.tables.get(name)
            if table is None or table.version < known:
                continue
            ago_ms = int(min(1e9, (now_s - table.confirmed_s) * 1e3))
            changed = table.since(known)
            whole = changed is None
            rows = [
                ttypes.Row(row.key, row.value, row.version)
                for row in (table.rows.values() if whole else changed)
            ]
            found.append(ttypes.Table(name, table.version, rows, ago_ms, whole))
        return found


def known_hosts(peers: roster.Roster) -> list[str]:
    """Returns addresses that a heartbeat passes on."""
    hosts = peers.hosts()
    return random.sample(hosts, min(_KNOWN_HOSTS, len(hosts)))


def encode(message: object) -> bytes:
    """Encodes a thrift message."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(message: object, data: bytes) -> object:
    """Decodes into a thrift message and returns it."""
    buffer = TTransport.TMemoryBuffer(data)
    message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return message


def _send_frame(sock: green_socket.GreenSocket, data: bytes) -> None:
    sock.sendall(_LENGTH.pack(len(data)) + data)


def _read_frame(sock: green_socket.GreenSocket) -> bytes:
    size = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))[0]
    if size > _MAX_FRAME:
        raise OverflowError(f"a frame of {size} bytes")
    return _read_exactly(sock, size)


def _read_exactly(sock: green_socket.GreenSocket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = sock.recv(min(65_536, size - len(data)))
        if not part:
            raise EOFError("the peer closed the connection")
        data += part
    return bytes(data)
