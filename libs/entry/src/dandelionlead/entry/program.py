"""Command line of `dandelion-entry`."""

from __future__ import annotations

import pathlib
import sys

import cyclopts
import eventlet

from dandelionlead import config
from dandelionlead.config import model
from dandelionlead.core import events
from dandelionlead.entry import gossip
from dandelionlead.entry import node
from dandelionlead.platform import http

EXIT_BAD_SETTINGS = 2
_BACKLOG = 1024

app = cyclopts.App(
    name="dandelion-entry", help="Serves callers of dandelionlead."
)


@app.default
def serve(settings: pathlib.Path) -> None:
    """Serves until SIGTERM, then drains.

    Args:
        settings: File with this process's own settings.
    """
    cfg = load(settings, model.ENTRY)
    events.log_to_stderr()
    log = events.Log(cfg.name)
    entry = node.Node(cfg, connect_platform(cfg), log)
    http_listener = listen(cfg.http_address)
    control_listener = listen(cfg.control_address)
    print(
        f"listening http={address_of(http_listener)} "
        f"control={address_of(control_listener)}",
        flush=True,
    )
    entry.serve(http_listener, control_listener)


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


def connect_platform(cfg: model.Process) -> gossip.Platform:
    """Returns clients of the platform's services."""
    transport = http.Transport(cfg.platform_address)
    return gossip.Platform(
        http.HttpTable(transport),
        http.HttpObjects(transport),
        http.HttpInstances(transport),
    )


def listen(address: str) -> eventlet.greenio.GreenSocket:
    """Returns a listener on `ip:port`."""
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=_BACKLOG)


def address_of(listener: eventlet.greenio.GreenSocket) -> str:
    """Returns the address of a listener as `ip:port`."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
