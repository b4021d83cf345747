"""Connects commands to the platform and to processes, by settings."""

from __future__ import annotations

from dandelionlead.config import model
from dandelionlead.ctl import peers
from dandelionlead.ctl import platforms


def to_platform(settings: model.Process) -> platforms.Platform:
    """Returns clients of the platform's services."""
    # Imported here so that `check` needs no network library.
    from dandelionlead.platform import http

    transport = http.Transport(settings.platform_address)
    return platforms.Platform(
        http.HttpTable(transport),
        http.HttpObjects(transport),
        http.HttpInstances(transport),
    )


def to_peers(settings: model.Process) -> peers.Peers:
    """Returns calls to the processes that share the peer key."""
    return peers.Peers(settings.peer_key)
