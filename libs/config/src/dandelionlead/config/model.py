"""Typed content of the operators' file and of a process's settings file."""

from __future__ import annotations

import datetime
from typing import Any
from typing import Self

GENERATION = "generation"
SERVICE = "service"
ENGINE = "engine"
OPEN = "open"
CLOSED = "closed"
ACTIVE = "active"
LEAVING = "leaving"
ENTRY = "entry"
STEWARD = "steward"
OPERATOR = "operator"

# Admission policies: `lengths` reserves memory for learned output lengths;
# `count` and `load_report` are the baselines it is measured against.
BY_LENGTHS = "lengths"
BY_COUNT = "count"
BY_LOAD_REPORT = "load_report"

DEFAULT_TIMEOUT_S = 120.0
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
DEFAULT_MAX_TOKENS = 4096
DEFAULT_PRIORITY = 5
DEFAULT_UNJUDGED_SHARE = 0.05
DEFAULT_PRIOR_OUTPUT_TOKENS = 512
DEFAULT_FIRST_TOKEN_TARGET_S = 0.58
DEFAULT_TOKEN_GAP_TARGET_S = 0.063
DEFAULT_DRAIN_LIMIT_S = 600.0
DEFAULT_ADDRESS_MAX_AGE_S = 5.0
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_PROCESS_BODY_BYTES = 4 * 1024 * 1024


class Record:
    """Base of the data classes: equality and text over all slots."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    __hash__ = None

    def __repr__(self) -> str:
        pairs = (f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({', '.join(pairs)})"

    def to_plain(self) -> dict[str, Any]:
        """Returns the JSON object of this record, without its name."""
        return {
            name: _plain(getattr(self, name))
            for name in self.__slots__
            if name != "name"
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any], **given: Any) -> Self:
        """Returns the record of a JSON object.

        Unknown keys are ignored and missing ones take their defaults, so that
        processes of two releases can read each other's parts.

        Args:
            plain: JSON object.
            **given: Fields that the object does not hold, such as the name.
        """
        known = {key: val for key, val in plain.items() if key in cls.__slots__}
        return cls(**known, **given)


class AvailabilityZone(Record):
    """One availability zone.

    Attributes:
        name: Name of the zone.
        region: Region that it belongs to.
        state: `open`, or `closed` when its endpoints get no new work.
    """

    __slots__ = ("name", "region", "state")

    def __init__(self, name: str, region: str, state: str = OPEN) -> None:
        self.name = name
        self.region = region
        self.state = state


class Team(Record):
    """One team of callers.

    Attributes:
        name: Name of the team.
        weight: Part of a busy system that the team gets, relative to others.
        key_digests: SHA-256 in hexadecimal of each accepted API key.
        max_concurrent: Most calls of the team at one time, per entry.
    """

    __slots__ = ("name", "weight", "key_digests", "max_concurrent")

    def __init__(
        self,
        name: str,
        weight: float = 1.0,
        key_digests: list[str] | tuple[str, ...] = (),
        max_concurrent: int = 100,
    ) -> None:
        self.name = name
        self.weight = weight
        self.key_digests = tuple(key_digests)
        self.max_concurrent = max_concurrent


class Version(Record):
    """One version of a model; `weights` names them in the weight store."""

    __slots__ = ("name", "weights")

    def __init__(self, name: str, weights: str) -> None:
        self.name = name
        self.weights = weights


class Model(Record):
    """One model and the rollout that it is in.

    Attributes:
        name: Name of the model.
        versions: Versions by name.
        current: Version in use.
        next: Version that is rolled out; None if there is none.
        deadline: RFC 3339 time at which `next` has all traffic; None without.
        max_unjudged_share: Largest share of traffic (0 to 1) for `next` until
            it has been judged.
        prior_output_tokens: Assumed output length until lengths are learned.
        first_token_target_s: Target for the 95th percentile, seconds.
        token_gap_target_s: Target for the 95th percentile, seconds.
    """

    __slots__ = (
        "name",
        "versions",
        "current",
        "next",
        "deadline",
        "max_unjudged_share",
        "prior_output_tokens",
        "first_token_target_s",
        "token_gap_target_s",
    )

    def __init__(
        self,
        name: str,
        versions: dict[str, Version],
        current: str,
        next: str | None = None,
        deadline: str | None = None,
        max_unjudged_share: float = DEFAULT_UNJUDGED_SHARE,
        prior_output_tokens: int = DEFAULT_PRIOR_OUTPUT_TOKENS,
        first_token_target_s: float = DEFAULT_FIRST_TOKEN_TARGET_S,
        token_gap_target_s: float = DEFAULT_TOKEN_GAP_TARGET_S,
    ) -> None:
        self.name = name
        self.versions = versions
        self.current = current
        self.next = next
        self.deadline = deadline
        self.max_unjudged_share = max_unjudged_share
        self.prior_output_tokens = prior_output_tokens
        self.first_token_target_s = first_token_target_s
        self.token_gap_target_s = token_gap_target_s

    @property
    def deadline_unix_s(self) -> float | None:
        """The deadline in seconds since the epoch; None without."""
        if self.deadline is None:
            return None
        return parse_time(self.deadline)

    @classmethod
    def from_plain(cls, plain: dict[str, Any], **given: Any) -> Self:
        """Returns the model of a JSON object, with its versions."""
        versions = {
            name: Version.from_plain(item, name=name)
            for name, item in plain["versions"].items()
        }
        return super().from_plain({**plain, "versions": versions}, **given)


class Route(Record):
    """One kind of call that callers can make.

    Attributes:
        name: Name of the route.
        kind: `generation` or `service`.
        path: HTTP path; for a service, everything below it belongs to the
            route too.
        model: Model of a generation route, else None.
        service: Service of a service route, else None.
        repeatable: Whether the system may send the call more than once.
        priority: 0 (first to wait) to 9 (last to wait).
        timeout_s: Longest time until the first byte of the answer, seconds.
        max_body_bytes: Largest request body.
        max_tokens: Longest output, tokens; 0 for a service route.
    """

    __slots__ = (
        "name",
        "kind",
        "path",
        "model",
        "service",
        "repeatable",
        "priority",
        "timeout_s",
        "max_body_bytes",
        "max_tokens",
    )

    def __init__(
        self,
        name: str,
        kind: str,
        path: str,
        model: str | None = None,
        service: str | None = None,
        repeatable: bool = False,
        priority: int = DEFAULT_PRIORITY,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        max_tokens: int = 0,
    ) -> None:
        self.name = name
        self.kind = kind
        self.path = path
        self.model = model
        self.service = service
        self.repeatable = repeatable
        self.priority = priority
        self.timeout_s = timeout_s
        self.max_body_bytes = max_body_bytes
        self.max_tokens = max_tokens


class Service(Record):
    """One plain service; its routes' paths start with `base_path`."""

    __slots__ = ("name", "base_path")

    def __init__(self, name: str, base_path: str) -> None:
        self.name = name
        self.base_path = base_path


class Endpoint(Record):
    """One model engine or one worker of a plain service.

    Attributes:
        name: Name of the endpoint.
        kind: `engine` or `service`.
        address: `ip:port`.
        availability_zone: Zone that it is in.
        model: Model of an engine, else None.
        version: Version of the model that the engine is meant to run.
        service: Service of a service endpoint, else None.
        memory_tokens: Memory of an engine, tokens; 0 for a service.
        max_concurrent: Most calls at one time of a service; 0 for an engine.
        checks_fencing: Whether the engine refuses old fencing numbers.
        state: `active`, or `leaving` when it gets no new work.
    """

    __slots__ = (
        "name",
        "kind",
        "address",
        "availability_zone",
        "model",
        "version",
        "service",
        "memory_tokens",
        "max_concurrent",
        "checks_fencing",
        "state",
    )

    def __init__(
        self,
        name: str,
        kind: str,
        address: str,
        availability_zone: str,
        model: str | None = None,
        version: str | None = None,
        service: str | None = None,
        memory_tokens: int = 0,
        max_concurrent: int = 0,
        checks_fencing: bool = False,
        state: str = ACTIVE,
    ) -> None:
        self.name = name
        self.kind = kind
        self.address = address
        self.availability_zone = availability_zone
        self.model = model
        self.version = version
        self.service = service
        self.memory_tokens = memory_tokens
        self.max_concurrent = max_concurrent
        self.checks_fencing = checks_fencing
        self.state = state


class Admission(Record):
    """How requests are admitted to engines.

    Attributes:
        policy: `lengths`, `count` or `load_report`.
        quantile: Quantile (0 to 1) of the learned lengths used for one
            request.
        deviations: Standard deviations kept free above the sum of the
            expected lengths.
        count_limit: Most generations on one engine under the policy `count`.
    """

    __slots__ = ("policy", "quantile", "deviations", "count_limit")

    def __init__(
        self,
        policy: str = BY_LENGTHS,
        quantile: float = 0.9,
        deviations: float = 2.0,
        count_limit: int = 16,
    ) -> None:
        self.policy = policy
        self.quantile = quantile
        self.deviations = deviations
        self.count_limit = count_limit


class Operators(Record):
    """The whole content of the operators' file; all sections by name."""

    __slots__ = (
        "availability_zones",
        "teams",
        "models",
        "routes",
        "services",
        "endpoints",
        "admission",
    )

    def __init__(
        self,
        availability_zones: dict[str, AvailabilityZone],
        teams: dict[str, Team],
        models: dict[str, Model],
        routes: dict[str, Route],
        services: dict[str, Service],
        endpoints: dict[str, Endpoint],
        admission: Admission,
    ) -> None:
        self.availability_zones = availability_zones
        self.teams = teams
        self.models = models
        self.routes = routes
        self.services = services
        self.endpoints = endpoints
        self.admission = admission

    @classmethod
    def from_plain(cls, plain: dict[str, Any], **given: Any) -> Self:
        """Returns the content of a JSON object that holds all sections."""
        sections = {
            section: {
                name: record.from_plain(item, name=name)
                for name, item in plain.get(section, {}).items()
            }
            for section, record in SECTIONS.items()
        }
        admission = Admission.from_plain(plain.get("admission", {}))
        return cls(**sections, admission=admission, **given)


# Sections of the operators' file that hold records by name.
SECTIONS: dict[str, type[Record]] = {
    "availability_zones": AvailabilityZone,
    "teams": Team,
    "models": Model,
    "routes": Route,
    "services": Service,
    "endpoints": Endpoint,
}


class Process(Record):
    """A process's own settings.

    Attributes:
        name: Name of the process, unique among all processes.
        instance: Instance that it runs on.
        role: `entry`, `steward`, or `operator` for `dandelionctl`.
        availability_zone: Zone that it is in; empty for `operator`.
        http_address: `ip:port` to listen on for callers; empty if none.
        control_address: `ip:port` to listen on for other processes; empty if
            none.
        advertised_http: Address that callers are told.
        advertised_control: Address that other processes are told.
        platform: Base URL of the platform's services.
        peer_key: Key shared by all processes of the system.
        resume_keys: One or two keys that sign resume tokens, newest first.
        drain_limit_s: Longest wait for streams and orders at shutdown.
        address_max_age_s: How long callers may keep an address list.
        log_level: `debug`, `info`, `warning` or `error`.
        max_body_bytes: Largest request body of any route.
        max_header_bytes: Largest request header block.
    """

    __slots__ = (
        "name",
        "instance",
        "role",
        "availability_zone",
        "http_address",
        "control_address",
        "advertised_http",
        "advertised_control",
        "platform",
        "peer_key",
        "resume_keys",
        "drain_limit_s",
        "address_max_age_s",
        "log_level",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        name: str,
        role: str,
        platform: str,
        peer_key: bytes,
        instance: str = "",
        availability_zone: str = "",
        http_address: str = "",
        control_address: str = "",
        advertised_http: str = "",
        advertised_control: str = "",
        resume_keys: tuple[bytes, ...] = (),
        drain_limit_s: float = DEFAULT_DRAIN_LIMIT_S,
        address_max_age_s: float = DEFAULT_ADDRESS_MAX_AGE_S,
        log_level: str = "info",
        max_body_bytes: int = DEFAULT_PROCESS_BODY_BYTES,
        max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES,
    ) -> None:
        self.name = name
        self.instance = instance or name
        self.role = role
        self.availability_zone = availability_zone
        self.http_address = http_address
        self.control_address = control_address
        self.advertised_http = advertised_http or http_address
        self.advertised_control = advertised_control or control_address
        self.platform = platform
        self.peer_key = peer_key
        self.resume_keys = resume_keys
        self.drain_limit_s = drain_limit_s
        self.address_max_age_s = address_max_age_s
        self.log_level = log_level
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes

    @property
    def platform_address(self) -> str:
        """The platform's `ip:port`."""
        return self.platform.removeprefix("http://")

    def __repr__(self) -> str:
        # Keys are secrets and stay out of logs and dumps.
        return f"Process(name={self.name!r}, role={self.role!r})"


def parse_time(text: str) -> float | None:
    """Returns seconds since the epoch of an RFC 3339 time; None if invalid."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    if time.tzinfo is None:
        return None
    return time.timestamp()


def _plain(value: Any) -> Any:
    if isinstance(value, Record):
        return value.to_plain()
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, tuple):
        return list(value)
    return value
