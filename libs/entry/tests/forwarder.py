"""TCP forwarder that a test can cut, as a link between two processes."""

from __future__ import annotations

import contextlib
import enum
import selectors
import socket
import threading

_READ_BYTES = 65536


class Link(enum.Enum):
    """What the link does."""

    OPEN = "open"
    # Connections are closed and refused.
    CLOSED = "closed"
    # Connections stay open, and nothing passes.
    SILENT = "silent"


class Forwarder:
    """Passes connections on to one address, as long as the link is open.

    Args:
        target: Address `ip:port`.
    """

    def __init__(self, target: str) -> None:
        self._target = _parse(target)
        self._link = Link.OPEN
        self._lock = threading.Lock()
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, link: Link) -> None:
        """Changes the link; what a silent link held back is lost."""
        with self._lock:
            self._link = link
            if link is not Link.SILENT:
                for pair in self._pairs:
                    _close(*pair)
                self._pairs = []

    def close(self) -> None:
        """Ends the forwarder."""
        self.set(Link.CLOSED)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self._link is Link.CLOSED:
                near.close()
                continue
            try:
                far = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                near.close()
                continue
            with self._lock:
                self._pairs.append((near, far))
            threading.Thread(
                target=self._pass_on, args=(near, far), daemon=True
            ).start()

    def _pass_on(self, near: socket.socket, far: socket.socket) -> None:
        other = {near: far, far: near}
        with (
            contextlib.suppress(OSError, ValueError),
            selectors.DefaultSelector() as ready,
        ):
            for sock in other:
                ready.register(sock, selectors.EVENT_READ)
            while self._pass_some(ready, other):
                pass
        _close(near, far)

    def _pass_some(
        self,
        ready: selectors.BaseSelector,
        other: dict[socket.socket, socket.socket],
    ) -> bool:
        """Passes on what is there; returns False at the end."""
        for key, _ in ready.select():
            data = key.fileobj.recv(_READ_BYTES)
            if not data:
                return False
            if self._link is Link.OPEN:
                other[key.fileobj].sendall(data)
        return True


def _close(*socks: socket.socket) -> None:
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
