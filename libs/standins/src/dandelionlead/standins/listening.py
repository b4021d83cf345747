"""Listening socket that can refuse connections for a while."""

from __future__ import annotations

import socket as socket_module
from typing import Any

import eventlet

_BACKLOG = 1024


class Listener:
    """TCP listener on one address; `wsgi.server` uses it like a socket."""

    def __init__(self, host: str, port: int) -> None:
        self._sock = _listen((host, port))
        self._address = self._sock.getsockname()
        self._open_again = None

    def accept(self) -> tuple[Any, Any]:
        """Returns the next connection; waits while the listener is closed."""
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError:
                if self._open_again is None:
                    raise
                self._open_again.wait()
                continue
            sock.setsockopt(
                socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1
            )
            return sock, address

    def refuse_for(self, seconds: float) -> None:
        """Closes the listener and opens it again later."""
        if self._open_again is not None:
            return
        self._open_again = eventlet.Event()
        # Ends the listening state and wakes `accept`, which close alone
        # does not do.
        self._sock.shutdown(socket_module.SHUT_RDWR)
        eventlet.spawn_after(seconds, self._reopen)

    def getsockname(self) -> Any:
        """Returns the bound address."""
        return self._address

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    @property
    def family(self) -> int:
        """Address family, which the server reads."""
        return self._sock.family

    def _reopen(self) -> None:
        self._sock.close()
        self._sock = _listen(self._address)
        event, self._open_again = self._open_again, None
        event.send()


def parse(address: str) -> tuple[str, int]:
    """Splits `ip:port`.

    Raises:
        ValueError: The address has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"The address {address!r} is not IP:PORT.")
    return host, int(port)


def _listen(address: tuple[str, int]) -> Any:
    # Without reuse_port=False, two programs could share a port unnoticed.
    return eventlet.listen(address, backlog=_BACKLOG, reuse_port=False)
