"""Runs an entry process that reaches workers by a path of its own.

All connections on loopback have the same source address, and entries copy the
list of workers from each other, so that a worker can tell entries apart neither
by their address nor by the one that they connect to. This program changes the
port instead: `soak_entry.py PORT` runs `platform/serve.py` with `PORT` in place
of the port of all workers. The soak cuts the paths at their listening sockets.
"""

from __future__ import annotations

import pathlib
import runpy
import sys

_PLATFORM = pathlib.Path(__file__).resolve().parent.parent / "platform"
sys.path.insert(0, str(_PLATFORM))

import start_signals  # noqa: E402

# As in serve.py, which installs them only after the imports below.
start_signals.install_handlers()

import import_paths  # noqa: E402, F401

# isort: split
from dandelionlead.core import errors  # noqa: E402
from dandelionlead.http import client  # noqa: E402

_WORKER_PORT = 9000


def _redirect_connections(path_port: int) -> None:
    """Makes connections to workers go to another port of the same address."""
    connect = client.connect

    def connect_by_path(
        address: tuple[str, int], *args: object, **kwargs: object
    ) -> client.ClientConnection | errors.Failure:
        if address[1] != _WORKER_PORT:
            return connect(address, *args, **kwargs)
        conn = connect((address[0], path_port), *args, **kwargs)
        if isinstance(conn, client.ClientConnection):
            # The pool finds a connection by the address of its endpoint.
            conn.address = address
        return conn

    client.connect = connect_by_path


if __name__ == "__main__":
    _redirect_connections(int(sys.argv[1]))
    runpy.run_path(str(_PLATFORM / "serve.py"), run_name="__main__")
