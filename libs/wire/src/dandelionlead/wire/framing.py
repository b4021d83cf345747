"""Framed thrift transport with a bound on the size of a frame."""

from __future__ import annotations

import socket
import struct

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

# A gossip message at 400 members stays under 64 KiB; a part of the
# configuration under 1 MiB.
MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class FrameTransport(TTransport.TTransportBase):
    """Reads and writes length-prefixed frames on a connected socket."""

    def __init__(self, conn: socket.socket) -> None:
        self._conn = conn
        self._frame = memoryview(b"")
        self._out: list[bytes] = []
        self.bytes_in = 0
        self.bytes_out = 0

    def isOpen(self) -> bool:  # noqa: N802, the name is thrift's
        """Returns whether the socket is open."""
        return self._conn.fileno() >= 0

    def close(self) -> None:
        """Closes the socket."""
        self._conn.close()

    def read(self, sz: int) -> bytes:
        """Returns up to `sz` bytes of the present frame."""
        if not self._frame:
            self._read_frame()
        data = bytes(self._frame[:sz])
        self._frame = self._frame[sz:]
        return data

    def write(self, buf: bytes) -> None:
        """Adds bytes to the frame that `flush` sends."""
        self._out.append(buf)

    def flush(self) -> None:
        """Sends the collected bytes as one frame."""
        data = b"".join(self._out)
        self._out = []
        self._conn.sendall(_LENGTH.pack(len(data)) + data)
        self.bytes_out += _LENGTH.size + len(data)

    def _read_frame(self) -> None:
        (length,) = _LENGTH.unpack(self._receive(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise TTransport.TTransportException(
                TTransport.TTransportException.SIZE_LIMIT,
                f"frame of {length} bytes is larger than {MAX_FRAME_BYTES}",
            )
        self._frame = memoryview(self._receive(length))
        self.bytes_in += _LENGTH.size + length

    def _receive(self, count: int) -> bytes:
        parts = []
        left = count
        while left:
            part = self._conn.recv(min(left, 65536))
            if not part:
                raise TTransport.TTransportException(
                    TTransport.TTransportException.END_OF_FILE,
                    "the peer closed the connection",
                )
            parts.append(part)
            left -= len(part)
        return b"".join(parts)


def protocol(transport: FrameTransport) -> TCompactProtocol.TCompactProtocol:
    """Returns the compact protocol with limits on strings and containers."""
    return TCompactProtocol.TCompactProtocol(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=100_000,
    )
