"""State of a connected socket."""

from __future__ import annotations

import socket
from typing import Any

from eventlet import patcher

_plain_socket = patcher.original("socket")


def closed_by_peer(sock: Any) -> bool:
    """Returns whether the peer closed the connection."""
    try:
        # A green socket's recv would wait for data.
        plain = _plain_socket.socket(fileno=sock.fileno())
    except OSError:
        return True
    try:
        return plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        plain.detach()
