"""Command line of `dandelion-entry`."""

from __future__ import annotations

import pathlib

import cyclopts

from dandelionlead.config import model
from dandelionlead.core import events
from dandelionlead.daemon import startup
from dandelionlead.entry import node
from dandelionlead.platform import http

app = cyclopts.App(
    name="dandelion-entry", help="Serves callers of dandelionlead."
)


@app.default
def serve(settings: pathlib.Path) -> None:
    """Serves until SIGTERM, then drains.

    Args:
        settings: File with this process's own settings.
    """
    cfg = startup.load(settings, model.ENTRY)
    events.log_to_stderr()
    log = events.Log(cfg.name)
    entry = node.Node(cfg, http.connect(cfg.platform_address), log)
    http_listener = startup.listen(cfg.http_address)
    control_listener = startup.listen(cfg.control_address)
    print(
        f"listening http={startup.address_of(http_listener)} "
        f"control={startup.address_of(control_listener)}",
        flush=True,
    )
    entry.serve(http_listener, control_listener)
