"""Ends the service of a request when its caller disconnects."""

from __future__ import annotations

import socket

import eventlet.green.socket as green_socket
import eventlet.hubs
import greenlet


class CallerDisconnectedError(Exception):
    """Raised in the greenlet of a request whose caller has disconnected."""


class DisconnectWatcher:
    """Raises `CallerDisconnectedError` in the greenlet that serves a request.

    The greenlet uses this class as a context manager; the socket is watched for
    a disconnect inside the `with` block. Watching ends as soon as bytes of a
    pipelined request arrive: these bytes are read only after the current
    request, and a disconnect that follows unread bytes cannot be detected.

    Args:
        sock: Socket of the connection.
        has_pipelined_data: Whether bytes of a pipelined request have already
            been read; the socket is then not watched at all.
    """

    def __init__(
        self, sock: green_socket.GreenSocket, has_pipelined_data: bool
    ) -> None:
        self._sock = sock
        self._has_pipelined_data = has_pipelined_data
        self._greenlet = greenlet.getcurrent()
        self._hub_listener = None
        self._is_active = True

    def __enter__(self) -> None:
        if not self._has_pipelined_data:
            hub = eventlet.hubs.get_hub()
            self._hub_listener = hub.add(
                hub.READ,
                self._sock.fileno(),
                self._on_readable,
                self._remove_hub_listener,
                None,
            )

    def __exit__(self, *exc_info: object) -> None:
        self._is_active = False
        self._remove_hub_listener()

    def _remove_hub_listener(self, *_: object) -> None:
        if self._hub_listener is not None:
            eventlet.hubs.get_hub().remove(self._hub_listener)
            self._hub_listener = None

    def _on_readable(self, _: int) -> None:
        if self._hub_listener is None:
            return
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            is_disconnected = self._sock.fd.recv(1, flags) == b""
        except BlockingIOError:
            return
        except OSError:
            is_disconnected = True
        self._remove_hub_listener()
        if is_disconnected:
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self._raise_in_greenlet)

    def _raise_in_greenlet(self) -> None:
        if self._is_active:
            self._greenlet.throw(
                CallerDisconnectedError("the caller closed the connection")
            )
