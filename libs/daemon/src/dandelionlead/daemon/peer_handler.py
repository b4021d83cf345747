"""Answers calls from other processes of the system."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from collections.abc import Callable

    from dandelionlead.core import events
    from dandelionlead.daemon import gossip
    from dandelionlead.daemon import rules

MAX_PARTS_PER_CALL = 256


class EndpointOwner(abc.ABC):
    """Owner of endpoints, which grants their units to members."""

    @abc.abstractmethod
    def acquire(self, req: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Grants units, or says why not."""

    @abc.abstractmethod
    def report(self, req: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Takes in what a member has at work."""


class NoEndpoints(EndpointOwner):
    """A process that owns no endpoints, such as a steward."""

    def acquire(self, req: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Refuses."""
        return ttypes.AcquireReply(
            refused_reason="This process owns no endpoints.",
            status=no_status(req.endpoint),
        )

    def report(self, req: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Answers that no endpoint takes work here."""
        return ttypes.ReportReply(
            endpoints=[no_status(item.endpoint) for item in req.endpoints or []]
        )


def no_status(endpoint: str) -> ttypes.EndpointStatus:
    """Returns the state of an endpoint that this process does not own."""
    return ttypes.EndpointStatus(
        endpoint=endpoint,
        incarnation="",
        limit_units=0,
        free_units=0,
        accepts_work=False,
        reason="it is not owned by this process",
        stamp="",
    )


class PeerHandler:
    """Implements the service `Peer` of `peer.thrift`."""

    def __init__(
        self,
        name: str,
        news: gossip.Gossip,
        owned: EndpointOwner,
        keeper: rules.RulesKeeper,
        log: events.Log,
        dump: Callable[[], str],
    ) -> None:
        self._name = name
        self._gossip = news
        self._owners = owned
        self._keeper = keeper
        self._log = log
        self._dump = dump

    def exchange(self, gossip: ttypes.Gossip) -> ttypes.Gossip:
        """Exchanges gossip."""
        return self._gossip.answer(gossip)

    def acquire(self, request: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Grants units of an endpoint that this process owns."""
        return self._owners.acquire(request)

    def report(self, request: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Takes in units in use at endpoints that this process owns."""
        return self._owners.report(request)

    def get_parts(self, digests: list[str]) -> dict[str, bytes]:
        """Returns configuration parts that are here."""
        return self._keeper.parts(digests[:MAX_PARTS_PER_CALL])

    def notify(self, head: ttypes.ConfigHead) -> ttypes.NotifyReply:
        """Takes in a new configuration head."""
        return self._gossip.notify(head)

    def dump(self) -> str:
        """Returns the state of this process as JSON."""
        return self._dump()

    def trace(self, request_id: str) -> list[ttypes.TraceEvent]:
        """Returns the remembered events of one request."""
        return [
            ttypes.TraceEvent(
                process=self._name, at_unix_s=item.at_unix_s, line=item.line
            )
            for item in self._log.trace(request_id)
        ]
