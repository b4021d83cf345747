"""Program `dandelion-standin-platform`."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import cyclopts  # noqa: E402

from dandelionlead.standins import listening  # noqa: E402
from dandelionlead.standins import platform_core  # noqa: E402
from dandelionlead.standins import platform_http  # noqa: E402
from dandelionlead.standins import web  # noqa: E402

_app = cyclopts.App(name="dandelion-standin-platform", version_flags=())


@_app.default
def main(
    *,
    listen: str = "127.0.0.1:0",
    list_lag_s: float = 0.0,
    weight_bytes: int = platform_core.DEFAULT_WEIGHT_BYTES,
    weight_bytes_per_s: float = platform_core.DEFAULT_WEIGHT_BYTES_PER_S,
) -> None:
    """Serves tables, objects, the instance list and weights.

    Args:
        listen: Address `IP:PORT`; port 0 takes a free port.
        list_lag_s: Seconds by which the instance list lags.
        weight_bytes: Size of weights whose size was not set.
        weight_bytes_per_s: Rate limit of the weight store.
    """
    platform = platform_core.Platform(
        list_lag_s=list_lag_s,
        weight_bytes=weight_bytes,
        weight_bytes_per_s=weight_bytes_per_s,
    )
    listener = listening.Listener(*listening.parse(listen))
    web.serve(platform_http.Service(platform), listener)


def run() -> None:
    """Entry point of the program."""
    _app()


if __name__ == "__main__":
    run()
