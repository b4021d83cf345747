"""Connects commands to the platform and to processes, by settings."""

from __future__ import annotations

from dandelionlead.config import model
from dandelionlead.ctl import peers
from dandelionlead.platform import api


def to_platform(settings: model.Process) -> api.Platform:
    """Returns clients of the platform's services."""
    # Imported here so that `check` needs no network library.
    from dandelionlead.platform import http

    return http.connect(settings.platform_address)


def to_peers(settings: model.Process) -> peers.Peers:
    """Returns calls to the processes that share the peer key."""
    return peers.Peers(settings.peer_key)
