"""The operator's orders and the endpoints, as this process knows them."""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.routing import model
from dandelionlead.routing import rollouts
from dandelionlead.routing import routes

# Endpoints that left are remembered, since a late entry may still name them.
_MOST_LEAVING = 1_000
# A zone that is taken out may get work for some seconds; this leaves time for
# the order to have reached this process late.
CLOSING_GRACE_S = 2.0


class _Leaving:
    __slots__ = ("born_ms", "missing")

    def __init__(self, born_ms: int, missing: bool) -> None:
        self.born_ms = born_ms
        self.missing = missing

    def is_undone_by(self, entry: model.Endpoint) -> bool:
        """Whether an entry shows that the endpoint takes work again.

        An entry that is back was only lost, and another start of the endpoint
        is a new one. A late entry from before the notice is neither.
        """
        if entry.draining:
            return False
        return self.missing or self.born_ms != entry.born_ms


class View:
    """Mutable state that sources write and decisions read.

    Attributes:
        configuration: The newest configuration; None before the first.
        table: Its routes.
        endpoints: Endpoints by id.
        endpoints_version: Version of the last change of an endpoint that
            matters to a choice; -1 before the first.
        closed_zones: Availability zones that get no work, and when this
            process learnt of it.
        rollouts: Moves of services to other versions.
        confirmed_s: When the platform or a peer last confirmed all this.
        notices: Called with the id of an endpoint that begins to leave.
        closings: Called with the name of a zone that was closed.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.table = routes.RouteTable(())
        self.endpoints: dict[str, model.Endpoint] = {}
        self.endpoints_version = -1
        self.closed_zones: dict[str, float] = {}
        self.rollouts = rollouts.Rollouts()
        self.confirmed_s = float("-inf")
        self.notices: list[Callable[[str], None]] = []
        self.closings: list[Callable[[str], None]] = []
        self._leaving: dict[str, _Leaving] = {}

    def configure(self, configuration: model.Configuration) -> bool:
        """Puts a configuration in force unless a newer one is."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.table = routes.RouteTable(configuration.routes)
        return True

    def close_zone(self, zone: str, now_s: float) -> None:
        """Takes a zone out; tells the listeners once."""
        if zone in self.closed_zones:
            return
        self.closed_zones = self.closed_zones | {zone: now_s}
        for closing in self.closings:
            closing(zone)

    def open_zone(self, zone: str) -> None:
        """Takes a zone back in."""
        closed = dict(self.closed_zones)
        closed.pop(zone, None)
        self.closed_zones = closed

    def takes_work(self, endpoint: model.Endpoint, now_s: float) -> bool:
        """Whether the endpoint's zone may still get requests."""
        closed_s = self.closed_zones.get(endpoint.availability_zone, now_s)
        return now_s - closed_s < CLOSING_GRACE_S

    def set_endpoint(self, endpoint: model.Endpoint) -> bool:
        """Takes an endpoint's entry; returns whether it matters to choices."""
        known = self.endpoints.get(endpoint.endpoint_id)
        left = self._leaving.get(endpoint.endpoint_id)
        if left is not None and left.is_undone_by(endpoint):
            del self._leaving[endpoint.endpoint_id]
        self.endpoints[endpoint.endpoint_id] = endpoint
        if endpoint.draining:
            self.leaving(endpoint.endpoint_id)
        return known is None or known.differs(endpoint)

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Takes note that an endpoint's entry is gone."""
        if endpoint_id in self.endpoints:
            self.leaving(endpoint_id, missing=True)
            del self.endpoints[endpoint_id]

    def leaving(self, endpoint_id: str, *, missing: bool = False) -> None:
        """Takes a notice that an endpoint leaves; tells the listeners once.

        Args:
            endpoint_id: The endpoint.
            missing: Whether only its entry is gone.
        """
        known = self.endpoints.get(endpoint_id)
        if known is None:
            return
        present = self._leaving.get(endpoint_id)
        if present is not None and present.born_ms == known.born_ms:
            present.missing = present.missing and missing
            return
        self._leaving[endpoint_id] = _Leaving(known.born_ms, missing)
        if len(self._leaving) > _MOST_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        for notice in self.notices:
            notice(endpoint_id)

    def leaving_ids(self) -> list[str]:
        """Returns endpoints that leave and still have entries."""
        return [
            endpoint_id
            for endpoint_id, left in self._leaving.items()
            if not left.missing and endpoint_id in self.endpoints
        ]

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether an endpoint has begun to leave, or is gone."""
        if endpoint_id in self._leaving:
            return True
        return endpoint_id not in self.endpoints

    def open_endpoints(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that may get new work."""
        return [
            endpoint
            for endpoint in self._staying(service)
            if endpoint.availability_zone not in self.closed_zones
        ]

    def closing_endpoints(
        self, service: str, now_s: float
    ) -> list[model.Endpoint]:
        """Returns those in zones that were closed a moment ago.

        They take work that no other endpoint can take.
        """
        return [
            endpoint
            for endpoint in self._staying(service)
            if now_s - self.closed_zones.get(endpoint.availability_zone, now_s)
            < CLOSING_GRACE_S
        ]

    def _staying(self, service: str) -> list[model.Endpoint]:
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and endpoint.endpoint_id not in self._leaving
        ]
