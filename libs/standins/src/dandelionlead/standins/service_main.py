"""Program `dandelion-standin-service`."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import cyclopts  # noqa: E402

from dandelionlead.standins import listening  # noqa: E402
from dandelionlead.standins import service_core  # noqa: E402
from dandelionlead.standins import service_http  # noqa: E402
from dandelionlead.standins import web  # noqa: E402

_app = cyclopts.App(name="dandelion-standin-service", version_flags=())


@_app.default
def main(*, listen: str = "127.0.0.1:0", name: str = "service") -> None:
    """Serves any path and counts how often each order ran.

    Args:
        listen: Address `IP:PORT`; port 0 takes a free port.
        name: Name that the answers show.
    """
    listener = listening.Listener(*listening.parse(listen))
    core = service_core.Core(name)
    web.serve(service_http.Service(core, listener), listener)


def run() -> None:
    """Entry point of the program."""
    _app()


if __name__ == "__main__":
    run()
