"""Command line of `dandelion-steward`."""

from __future__ import annotations

import pathlib

import cyclopts

from dandelionlead.config import model
from dandelionlead.core import events
from dandelionlead.daemon import startup
from dandelionlead.platform import http
from dandelionlead.steward import node

app = cyclopts.App(
    name="dandelion-steward",
    help="Does what only one process may do: rollouts and orders to engines.",
)


@app.default
def serve(settings: pathlib.Path) -> None:
    """Serves until SIGTERM.

    Args:
        settings: File with this process's own settings.
    """
    cfg = startup.load(settings, model.STEWARD)
    events.log_to_stderr()
    log = events.Log(cfg.name)
    steward = node.Node(cfg, http.connect(cfg.platform_address), log)
    listener = startup.listen(cfg.control_address)
    print(f"listening control={startup.address_of(listener)}", flush=True)
    steward.serve(listener)
