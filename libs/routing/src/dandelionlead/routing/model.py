"""Data classes for the operator's configuration and the endpoints.

Durations are in seconds and instants are readings of `core.clock.boottime`,
also in seconds. A name that ends in `_unix_ms` holds an instant in Unix
milliseconds.
"""

from __future__ import annotations

import enum

from dandelionlead.http import limits


class CallKind(enum.Enum):
    """How a failed call may be retried.

    An idempotent call may be sent again and a non-idempotent call may not. A
    streaming call may be resumed if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Target:
    """A service that receives a share of the calls of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the calls, relative to the weights of the other
            targets of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Rules for the calls to one host and path prefix.

    Attributes:
        name: Name of the route in logs.
        host: Host name in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: How a failed call may be retried.
        timeout_s: Maximum time in seconds from the arrival of a call to the
            end of its response.
        latency_objective_s: Time in seconds after the arrival of a call within
            which a plain response, or the first event of a stream, is on time.
        priority: Default priority of the calls; 0 is the most urgent.
        max_attempts: Maximum number of endpoints that one call may run on.
        allows_anonymous: Whether calls need no API key.
        resumable: Whether a new run on another endpoint may resume an
            interrupted stream.
        targets: Services that receive the calls, with their weights.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_s",
        "latency_objective_s",
        "priority",
        "max_attempts",
        "allows_anonymous",
        "resumable",
        "targets",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        kind: CallKind,
        targets: tuple[Target, ...],
        *,
        timeout_s: float = 30.0,
        latency_objective_s: float = 1.0,
        priority: int = 0,
        max_attempts: int = 1,
        allows_anonymous: bool = False,
        resumable: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.targets = targets
        self.timeout_s = timeout_s
        self.latency_objective_s = latency_objective_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.allows_anonymous = allows_anonymous
        self.resumable = resumable

    @property
    def is_repeatable(self) -> bool:
        """Whether a call of this route may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class EngineSpec:
    """Capacity and capabilities of each model engine of a service.

    Attributes:
        slots: Maximum number of runs in one batch.
        memory_tokens: Capacity in tokens of the KV cache, which runs and cached
            prompts share.
        supports_migration: Whether a run can be migrated to another engine.
        supports_backups: Whether another engine can hold a backup: a copy of a
            run's KV cache that is updated while the run goes on.
    """

    __slots__ = (
        "slots",
        "memory_tokens",
        "supports_migration",
        "supports_backups",
    )

    def __init__(
        self,
        slots: int,
        memory_tokens: int,
        supports_migration: bool,
        supports_backups: bool,
    ) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.supports_migration = supports_migration
        self.supports_backups = supports_backups


class Service:
    """A set of interchangeable endpoints.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one endpoint accepts from all
            processes together; 0 means that no limit is configured.
        cold_requests_per_s: Requests per second that a cold endpoint can handle
            from all processes together; 0 means no limit.
        engine: Capacity of the model engines; None for a plain service.
        health_path: Path at which an endpoint states whether it is healthy.
    """

    __slots__ = (
        "name",
        "max_connections",
        "cold_requests_per_s",
        "engine",
        "health_path",
    )

    def __init__(
        self,
        name: str,
        max_connections: int,
        cold_requests_per_s: float,
        engine: EngineSpec | None,
        health_path: str = "/health",
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_requests_per_s = cold_requests_per_s
        self.engine = engine
        self.health_path = health_path


class Team:
    """A buyer, whose calls are identified by its API keys.

    Attributes:
        name: Name of the team.
        priority: Priority of its calls; 0 is the most urgent. None if the
            priority of the route applies.
    """

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None) -> None:
        self.name = name
        self.priority = priority


class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version number, which increases with each change.
        routes: All routes.
        services: Services by name.
        limits: HTTP limits that apply to connections from callers.
        teams: Teams by API key; None if no API keys are configured, so that
            calls need none.
    """

    __slots__ = ("version", "routes", "services", "limits", "teams")

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: limits.RequestLimits,
        teams: dict[str, Team] | None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.teams = teams


class Endpoint:
    """The entry of an endpoint, which describes one start of its software.

    Attributes:
        endpoint_id: Identifier that is new at each start of the endpoint.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone in which it runs.
        version: Version of its software.
        draining: Whether its entry states that it accepts no new work.
        cold_until_s: Time in seconds until which it is cold, so that its
            request rate is limited; 0 if it is warm.
        started_unix_ms: Start time in Unix milliseconds; 0 if unknown.
    """

    __slots__ = (
        "endpoint_id",
        "service",
        "host",
        "port",
        "availability_zone",
        "version",
        "draining",
        "cold_until_s",
        "started_unix_ms",
    )

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        host: str,
        port: int,
        availability_zone: str,
        *,
        version: str = "",
        draining: bool = False,
        cold_until_s: float = 0.0,
        started_unix_ms: int = 0,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.host = host
        self.port = port
        self.availability_zone = availability_zone
        self.version = version
        self.draining = draining
        self.cold_until_s = cold_until_s
        self.started_unix_ms = started_unix_ms

    @property
    def address(self) -> tuple[str, int]:
        """IP address and TCP port."""
        return self.host, self.port

    @property
    def incarnation(self) -> str:
        """Identifier of this start, also if the endpoint keeps its id."""
        return f"{self.endpoint_id}@{self.started_unix_ms}"

    def is_same_start(self, other: Endpoint) -> bool:
        """Whether another entry describes the same start of the endpoint.

        A new entry is read whenever the endpoint renews its heartbeat, so that
        two entries of one start are not the same object.
        """
        return (
            self.endpoint_id == other.endpoint_id
            and self.started_unix_ms == other.started_unix_ms
        )

    def differs_for_routing(self, other: Endpoint) -> bool:
        """Whether the address, service, draining state or start time differs.

        A change in one of these fields can affect routing decisions.

        Args:
            other: Another entry of the same endpoint.
        """
        fields = (
            self.address,
            self.service,
            self.draining,
            self.started_unix_ms,
        )
        return fields != (
            other.address,
            other.service,
            other.draining,
            other.started_unix_ms,
        )


class RolloutOrder:
    """The operator's order to roll a service out to a version.

    Attributes:
        service: Name of the service.
        target_version: Version that all calls use once the rollout completes.
        duration_s: Time in seconds within which the rollout must finish.
    """

    __slots__ = ("service", "target_version", "duration_s")

    def __init__(
        self, service: str, target_version: str, duration_s: float
    ) -> None:
        self.service = service
        self.target_version = target_version
        self.duration_s = duration_s

    def is_same(self, other: RolloutOrder) -> bool:
        """Returns whether another order has the same content."""
        return (
            self.service == other.service
            and self.target_version == other.target_version
            and self.duration_s == other.duration_s
        )
