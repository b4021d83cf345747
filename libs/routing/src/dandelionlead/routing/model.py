"""What the operator has ordered and which endpoints exist.

All times are seconds. Instants are those of `core.clock.boottime`.
"""

from __future__ import annotations

import enum

from dandelionlead.http import limits


class CallKind(enum.Enum):
    """What may be done with a call that failed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Target:
    """A service that a route sends a share of its calls to."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Where calls of one host and path prefix go, and how.

    Attributes:
        name: Name for logs.
        host: Host name, lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: A response within this time is on time.
        priority: 0 is the most urgent.
        max_attempts: Most endpoints that one call may run on.
        anonymous: Whether calls need no key.
        resumable: Whether a stream may continue as a new run.
        targets: Services and their shares.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout_s",
        "objective_s",
        "priority",
        "max_attempts",
        "anonymous",
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
        objective_s: float = 1.0,
        priority: int = 0,
        max_attempts: int = 1,
        anonymous: bool = False,
        resumable: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.targets = targets
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.anonymous = anonymous
        self.resumable = resumable

    @property
    def repeatable(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


class EngineFacts:
    """What the engines of a service are able to do.

    Attributes:
        slots: Requests in one batch.
        memory_tokens: Tokens of running requests and cached prompts.
        moves: Whether running requests can move to another engine.
        backups: Whether the memory of a run can be copied as it grows.
    """

    __slots__ = ("slots", "memory_tokens", "moves", "backups")

    def __init__(
        self, slots: int, memory_tokens: int, moves: bool, backups: bool
    ) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.moves = moves
        self.backups = backups


class Service:
    """A set of endpoints that are interchangeable.

    Attributes:
        max_connections: Connections that one endpoint accepts from everyone.
        cold_per_s: Requests a second that a cold endpoint bears; 0 if it needs
            no care.
        engine: Facts about model engines; None for a plain service.
    """

    __slots__ = ("name", "max_connections", "cold_per_s", "engine")

    def __init__(
        self,
        name: str,
        max_connections: int,
        cold_per_s: float,
        engine: EngineFacts | None,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.cold_per_s = cold_per_s
        self.engine = engine


class Team:
    """A buyer of service, known by its API keys."""

    __slots__ = ("name", "priority")

    def __init__(self, name: str, priority: int | None) -> None:
        self.name = name
        self.priority = priority


class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
        teams: Teams by API key; None if calls need no key.
    """

    __slots__ = ("version", "routes", "services", "limits", "teams")

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, Service],
        limits: limits.Limits,
        teams: dict[str, Team] | None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.teams = teams


class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        endpoint_id: New at each start.
        service: Name of its service.
        host: IP address.
        port: TCP port.
        availability_zone: Where it runs.
        version: Version of its software.
        draining: Whether it takes no new work.
        cold_until_s: Instant until which it bears little.
        born_ms: Unix milliseconds of its start; 0 if not known.
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
        "born_ms",
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
        born_ms: int = 0,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.host = host
        self.port = port
        self.availability_zone = availability_zone
        self.version = version
        self.draining = draining
        self.cold_until_s = cold_until_s
        self.born_ms = born_ms

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port

    def differs(self, other: Endpoint) -> bool:
        """Whether a choice could come out differently with the other one."""
        own = (self.address, self.service, self.draining, self.born_ms)
        return own != (
            other.address,
            other.service,
            other.draining,
            other.born_ms,
        )


class RolloutOrder:
    """The operator's order to move a service to a version."""

    __slots__ = ("service", "target_version", "duration_s")

    def __init__(
        self, service: str, target_version: str, duration_s: float
    ) -> None:
        self.service = service
        self.target_version = target_version
        self.duration_s = duration_s
