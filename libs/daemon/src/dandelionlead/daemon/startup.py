"""Settings, clients and listeners that a daemon starts with."""

from __future__ import annotations

import socket
import sys
from typing import TYPE_CHECKING

import eventlet

from dandelionlead import config

if TYPE_CHECKING:
    import pathlib

    from dandelionlead.config import model

EXIT_BAD_SETTINGS = 2
_BACKLOG = 1024


def load(settings: pathlib.Path, role: str) -> model.Process:
    """Returns the checked settings, or ends the process with all faults."""
    try:
        text = settings.read_text()
    except OSError as exc:
        print(f"{settings}: cannot be read: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    cfg = config.load_process(text, str(settings))
    if isinstance(cfg, list):
        for fault in cfg:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if cfg.role != role:
        print(f"{settings}: role must be {role}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return cfg


def listen(address: str) -> eventlet.greenio.GreenSocket:
    """Returns a listener on `ip:port`."""
    host, _, port = address.rpartition(":")
    # Without reuse_port, eventlet lets two processes listen on one port.
    listener = eventlet.listen(
        (host, int(port)), backlog=_BACKLOG, reuse_port=False
    )
    # Accepted connections inherit this; otherwise a small write waits up to
    # 40 ms for the acknowledgement of the one before.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def address_of(listener: eventlet.greenio.GreenSocket) -> str:
    """Returns the address of a listener as `ip:port`."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
