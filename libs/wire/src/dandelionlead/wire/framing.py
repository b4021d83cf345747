"""Framed thrift transport with a bound on the size of a frame."""

from __future__ import annotations

import io
import socket
import struct

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

# A gossip message at 400 members stays under 64 KiB; a part of the
# configuration under 1 MiB.
MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")
# Messages that cannot be decoded. Thrift's C module raises OverflowError where
# a string or container is larger than its limit.
MESSAGE_FAULTS = (Thrift.TException, OverflowError)


class FrameTransport(TTransport.TTransportBase, TTransport.CReadableTransport):
    """Reads and writes length-prefixed frames on a connected socket.

    Thrift's C decoder reads the present frame through `cstringio_buf`.
    """

    def __init__(self, conn: socket.socket) -> None:
        self._conn = conn
        self._frame = io.BytesIO()
        self._out: list[bytes] = []
        self.bytes_in = 0
        self.bytes_out = 0

    def isOpen(self) -> bool:  # noqa: N802, the name is thrift's
        """Returns whether the socket is open."""
        return self._conn.fileno() >= 0

    def close(self) -> None:
        """Closes the socket."""
        self._conn.close()

    @property
    def cstringio_buf(self) -> io.BytesIO:
        """What is left of the present frame."""
        return self._frame

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> io.BytesIO:
        """Refuses: a message is always in one frame.

        Raises:
            TTransportException: The frame ended inside a message.
        """
        raise TTransport.TTransportException(
            TTransport.TTransportException.END_OF_FILE,
            f"the frame ends {reqlen - len(partialread)} bytes too early",
        )

    def read(self, sz: int) -> bytes:
        """Returns up to `sz` bytes of the present frame."""
        data = self._frame.read(sz)
        if not data:
            self._read_frame()
            data = self._frame.read(sz)
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
        self._frame = io.BytesIO(self._receive(length))
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
    """Returns the compact protocol with limits on strings and containers.

    Structs go through thrift's C module where it is installed. The bytes are
    the same; a report on 144 endpoints takes 3 ms of processor on both sides
    together, with thrift's Python code it takes 17 ms.
    """
    return TCompactProtocol.TCompactProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=100_000,
    )
