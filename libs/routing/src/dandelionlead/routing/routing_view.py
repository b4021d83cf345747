"""This process's view of the configuration, rollouts and endpoints.

The view also records which endpoints are leaving and which zones are closed.
"""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.routing import model
from dandelionlead.routing import rollout_registry
from dandelionlead.routing import routes

# Maximum number of departures that are kept. If there are more, the departure
# of the endpoint that was marked first is dropped. Departures of removed
# endpoints are kept as well, because a delayed entry may list such an endpoint
# again.
_MAX_DEPARTURES = 1_000
# Time for which a closed zone may still receive work. It is shorter than the
# time that the operator allows, since the order may reach this process late.
ZONE_CLOSING_GRACE_S = 2.0
# Shortest time for which an endpoint that leaves goes on after its entry was
# deleted; operators state 2 s or more.
_MIN_SERVICE_AFTER_DELETION_S = 1.0


class _Departure:
    """Record that one incarnation of an endpoint is leaving.

    An incarnation is one start of the endpoint. It is identified by its start
    time, in case the endpoint keeps its id when it starts again.

    Attributes:
        started_unix_ms: Start time of the incarnation in Unix milliseconds.
        only_entry_removed: Whether the entry was removed and nothing else
            showed that the endpoint is leaving.
        entry_deleted_s: Instant at which this process found that the entry was
            deleted at its source, in seconds; infinite if it was not. An entry
            may also have been removed here alone, because another instance has
            the address or the entry can no longer be decoded.
    """

    __slots__ = ("started_unix_ms", "only_entry_removed", "entry_deleted_s")

    def __init__(self, started_unix_ms: int, only_entry_removed: bool) -> None:
        self.started_unix_ms = started_unix_ms
        self.only_entry_removed = only_entry_removed
        self.entry_deleted_s = float("inf")

    def is_undone_by(self, entry: model.Endpoint) -> bool:
        """Whether an entry shows that the endpoint accepts work again.

        An entry that is not draining undoes this departure if the departure was
        recorded only because an entry was removed, or if the start times
        differ. After a leaving notice or a draining entry, another entry of the
        same incarnation does not undo the departure, because that entry may
        have been delayed.
        """
        if entry.draining:
            return False
        return (
            self.only_entry_removed
            or self.started_unix_ms != entry.started_unix_ms
        )


class RoutingView:
    """Mutable state that data sources write and routing decisions read.

    Attributes:
        configuration: The newest configuration; None before the first one is
            received.
        route_table: Route table of this configuration.
        endpoints: Endpoints by id, including those that are leaving.
        endpoints_version: Version in the store of the last endpoint change
            that can affect a routing decision; -1 before the first.
        closed_zones: Times in seconds at which this process received the order
            to close an availability zone, by name of the zone. A zone that is
            reopened is removed.
        rollouts: Rollouts of services to new versions.
        last_confirmed_s: Time in seconds at which the platform or a peer last
            confirmed that this state is current; -inf before the first time.
        leaving_listeners: Callbacks that receive the id of an endpoint when it
            begins to leave.
        zone_closed_listeners: Callbacks that receive the name of a zone when it
            is closed.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.route_table = routes.RouteTable(())
        self.endpoints: dict[str, model.Endpoint] = {}
        self.endpoints_version = -1
        self.closed_zones: dict[str, float] = {}
        self.rollouts = rollout_registry.RolloutRegistry()
        self.last_confirmed_s = float("-inf")
        self.leaving_listeners: list[Callable[[str], None]] = []
        self.zone_closed_listeners: list[Callable[[str], None]] = []
        # Departures by endpoint id.
        self._departures: dict[str, _Departure] = {}

    def apply_configuration(self, configuration: model.Configuration) -> bool:
        """Applies a configuration if it is newer than the current one.

        Args:
            configuration: The configuration that was received.

        Returns:
            Whether it was applied.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.route_table = routes.RouteTable(configuration.routes)
        return True

    def close_zone(self, zone: str, now_s: float) -> None:
        """Closes a zone; calls the listeners if it was not closed before.

        Args:
            zone: Name of the availability zone.
            now_s: Current time in seconds.
        """
        if zone in self.closed_zones:
            return
        self.closed_zones = self.closed_zones | {zone: now_s}
        for listener in self.zone_closed_listeners:
            listener(zone)

    def open_zone(self, zone: str) -> None:
        """Reopens a zone; does nothing if it is not closed."""
        closed = dict(self.closed_zones)
        closed.pop(zone, None)
        self.closed_zones = closed

    def is_in_usable_zone(self, endpoint: model.Endpoint, now_s: float) -> bool:
        """Whether the endpoint's zone is open or was closed very recently.

        A zone may still receive work for `ZONE_CLOSING_GRACE_S` after it was
        closed.
        """
        closed_s = self.closed_zones.get(endpoint.availability_zone, now_s)
        return now_s - closed_s < ZONE_CLOSING_GRACE_S

    def set_endpoint(self, endpoint: model.Endpoint) -> bool:
        """Stores an endpoint's entry.

        A draining entry marks the endpoint as leaving. Any other entry removes
        that mark if the entry shows that the endpoint accepts work again.

        Args:
            endpoint: The entry that was read.

        Returns:
            Whether the endpoint is new or changed in a field that can affect
            routing decisions.
        """
        previous = self.endpoints.get(endpoint.endpoint_id)
        departure = self._departures.get(endpoint.endpoint_id)
        if departure is not None and departure.is_undone_by(endpoint):
            del self._departures[endpoint.endpoint_id]
        self.endpoints[endpoint.endpoint_id] = endpoint
        if endpoint.draining:
            self.mark_leaving(endpoint.endpoint_id)
        return previous is None or previous.differs_for_routing(endpoint)

    def remove_endpoint(
        self, endpoint_id: str, *, deleted_s: float = float("inf")
    ) -> None:
        """Removes the entry of an endpoint and marks it as leaving.

        An unknown endpoint is ignored.

        Args:
            endpoint_id: Id of the endpoint.
            deleted_s: Instant at which this process found that the entry was
                deleted at its source, in seconds; infinite if it was not.
        """
        if endpoint_id in self.endpoints:
            self.mark_leaving(endpoint_id, entry_removed=True)
            self._departures[endpoint_id].entry_deleted_s = deleted_s
            del self.endpoints[endpoint_id]

    def mark_leaving(
        self,
        endpoint_id: str,
        *,
        incarnation: str = "",
        entry_removed: bool = False,
    ) -> None:
        """Marks an endpoint as leaving.

        The listeners are called once for each incarnation of the endpoint. An
        unknown endpoint is ignored.

        Args:
            endpoint_id: Id of the endpoint.
            incarnation: Incarnation that is leaving. The notice is ignored if
                the present entry belongs to another one, because it may be
                late. If empty, that of the present entry.
            entry_removed: Whether the reason is that its entry was removed,
                instead of a leaving notice or a draining entry.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if incarnation and incarnation != endpoint.incarnation:
            return
        departure = self._departures.get(endpoint_id)
        if (
            departure is not None
            and departure.started_unix_ms == endpoint.started_unix_ms
        ):
            departure.only_entry_removed = (
                departure.only_entry_removed and entry_removed
            )
            return
        self._departures[endpoint_id] = _Departure(
            endpoint.started_unix_ms, entry_removed
        )
        if len(self._departures) > _MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        for listener in self.leaving_listeners:
            listener(endpoint_id)

    def list_leaving(self) -> list[model.Endpoint]:
        """Returns the entries of leaving endpoints that still have one.

        Departures that were recorded only because an entry was removed are left
        out.
        """
        return [
            self.endpoints[endpoint_id]
            for endpoint_id, departure in self._departures.items()
            if not departure.only_entry_removed
            and endpoint_id in self.endpoints
        ]

    def is_leaving(self, endpoint_id: str) -> bool:
        """Whether an endpoint is leaving or has no entry."""
        if endpoint_id in self._departures:
            return True
        return endpoint_id not in self.endpoints

    def has_leaving_notice(self, endpoint: model.Endpoint) -> bool:
        """Whether one start of an endpoint has stated that it is leaving.

        The removal of its entry is no such statement: the entry of an endpoint
        that has crashed is removed, too.
        """
        departure = self._departures.get(endpoint.endpoint_id)
        return (
            departure is not None
            and not departure.only_entry_removed
            and departure.started_unix_ms == endpoint.started_unix_ms
        )

    def is_exit_announced(self, endpoint: model.Endpoint, now_s: float) -> bool:
        """Whether one start of an endpoint has announced that it leaves.

        Some endpoints only delete their entry, and go on for longer than
        `_MIN_SERVICE_AFTER_DELETION_S`. The entry of one that has crashed is
        deleted, too; a process that was suspended meanwhile finds the deletion
        and the broken connections at the same time.

        Args:
            endpoint: The endpoint.
            now_s: Present instant, in seconds.
        """
        departure = self._departures.get(endpoint.endpoint_id)
        return self.has_leaving_notice(endpoint) or (
            departure is not None
            and departure.started_unix_ms == endpoint.started_unix_ms
            and now_s - departure.entry_deleted_s
            >= _MIN_SERVICE_AFTER_DELETION_S
        )

    def list_open_endpoints(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that may receive new work.

        Endpoints that are draining, leaving or in a closed zone are left out.
        """
        return [
            endpoint
            for endpoint in self.list_service_endpoints(service)
            if endpoint.availability_zone not in self.closed_zones
        ]

    def list_service_names(self) -> list[str]:
        """Returns the names of the services that have endpoints."""
        return list(self.list_endpoint_ids_by_service())

    def list_endpoint_ids_by_service(self) -> dict[str, list[str]]:
        """Returns the ids of endpoints, by name of the service.

        Endpoints that are draining or leaving are left out.
        """
        endpoint_ids: dict[str, list[str]] = {}
        for endpoint in self.endpoints.values():
            if not endpoint.draining and (
                endpoint.endpoint_id not in self._departures
            ):
                endpoint_ids.setdefault(endpoint.service, []).append(
                    endpoint.endpoint_id
                )
        return endpoint_ids

    def list_service_endpoint_ids(self, service: str) -> list[str]:
        """Returns the ids of `list_service_endpoints`."""
        return [
            endpoint.endpoint_id
            for endpoint in self.list_service_endpoints(service)
        ]

    def list_service_endpoints(self, service: str) -> list[model.Endpoint]:
        """Returns a service's endpoints that are not draining or leaving.

        Those in closed zones are included.
        """
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and endpoint.endpoint_id not in self._departures
        ]

    def list_grace_endpoints(
        self, service: str, now_s: float
    ) -> list[model.Endpoint]:
        """Returns the endpoints to consider if no open endpoint can take work.

        These are the endpoints in open zones and those in zones that were
        closed less than `ZONE_CLOSING_GRACE_S` ago. Endpoints that are draining
        or leaving are left out.

        Args:
            service: Name of the service.
            now_s: Current time in seconds.
        """
        return [
            endpoint
            for endpoint in self.list_service_endpoints(service)
            if now_s - self.closed_zones.get(endpoint.availability_zone, now_s)
            < ZONE_CLOSING_GRACE_S
        ]
