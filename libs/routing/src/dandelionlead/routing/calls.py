"""Data classes for callers' calls and for the responses of endpoints.

They are independent of the headers that carry their fields.
"""

from __future__ import annotations

import enum

from dandelionlead.http import client
from dandelionlead.routing import model


class Call:
    """One request of a caller, with its complete body.

    Attributes:
        request_id: Identifier of this request; each repetition by the caller
            has its own.
        method: HTTP method.
        target: Path and query as sent by the caller.
        host: Value of the `Host` header.
        path: Path without query.
        headers: Headers that are forwarded unchanged.
        body: The complete body.
        api_key: API key of the caller; empty if none was sent.
        arrived_s: Time in seconds at which the request head was read
            completely.
        caller_deadline_s: Time in seconds at which the caller stops waiting.
        prompt_tokens: Tokens of the prompt; 0 for a call to a plain service.
        max_output_tokens: Maximum number of tokens to generate.
        hinted_output_tokens: The caller's estimate of the output tokens; 0 if
            it gave none.
        prompt_parts: Pairs of the id and the token count of each part of the
            prompt, in order.
        last_event_id: Id of the last event that the caller received; -1 if the
            stream starts from the beginning.
    """

    __slots__ = (
        "request_id",
        "method",
        "target",
        "host",
        "path",
        "headers",
        "body",
        "api_key",
        "arrived_s",
        "caller_deadline_s",
        "prompt_tokens",
        "max_output_tokens",
        "hinted_output_tokens",
        "prompt_parts",
        "last_event_id",
    )

    def __init__(
        self,
        request_id: str,
        method: bytes,
        target: bytes,
        host: str,
        path: str,
        headers: client.Headers,
        *,
        body: bytes = b"",
        api_key: str = "",
        arrived_s: float = 0.0,
        caller_deadline_s: float = 0.0,
        prompt_tokens: int = 0,
        max_output_tokens: int = 0,
        hinted_output_tokens: int = 0,
        prompt_parts: tuple[tuple[str, int], ...] = (),
        last_event_id: int = -1,
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host = host
        self.path = path
        self.headers = headers
        self.body = body
        self.api_key = api_key
        self.arrived_s = arrived_s
        self.caller_deadline_s = caller_deadline_s
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.hinted_output_tokens = hinted_output_tokens
        self.prompt_parts = prompt_parts
        self.last_event_id = last_event_id

    def estimate_memory_tokens(self) -> int:
        """Returns the estimated engine memory in tokens of a complete run.

        Without an estimate by the caller, half of the maximum number of output
        tokens is assumed.
        """
        output = self.hinted_output_tokens or self.max_output_tokens // 2
        return self.prompt_tokens + min(output, self.max_output_tokens)


class AdmittedCall:
    """An admitted call with its route, team and service.

    Attributes:
        call: The call.
        route: Route that the call matched.
        team: Team that the API key of the call belongs to; None if the route
            or the configuration needs no API key.
        service: Service that was drawn from the targets of the route.
        deadline_s: Time in seconds by which the response must be complete: the
            caller's deadline or the end of the route's timeout, whichever is
            earlier.
        configuration_version: Version of the configuration under which the
            call was admitted.
    """

    __slots__ = (
        "call",
        "route",
        "team",
        "service",
        "deadline_s",
        "configuration_version",
    )

    def __init__(
        self,
        call: Call,
        route: model.Route,
        team: model.Team | None,
        service: model.Service,
        configuration_version: int,
    ) -> None:
        self.call = call
        self.route = route
        self.team = team
        self.service = service
        self.deadline_s = min(
            call.caller_deadline_s, call.arrived_s + route.timeout_s
        )
        self.configuration_version = configuration_version

    @property
    def priority(self) -> int:
        """Priority of the team, or else of the route; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


class RelayOrigin:
    """Where a call comes from that a peer has passed on to this process.

    Attributes:
        node: Node name of the peer.
        service: Service that the peer has drawn from the targets of the route.
    """

    __slots__ = ("node", "service")

    def __init__(self, node: str, service: str) -> None:
        self.node = node
        self.service = service


class ResumePoint:
    """Point from which an engine resumes a run.

    Attributes:
        handle_address: IP address and TCP port of the engine at which the
            handle is valid; None if the run resumes without a copy of its KV
            cache.
        handle: Identifier of the copy of the KV cache; empty without a copy.
        last_event_id: Id of the last event that the caller received.
    """

    __slots__ = ("handle_address", "handle", "last_event_id")

    def __init__(
        self,
        handle_address: tuple[str, int] | None,
        handle: str,
        last_event_id: int,
    ) -> None:
        self.handle_address = handle_address
        self.handle = handle
        self.last_event_id = last_event_id


class EndpointResponseHead:
    """Status and headers of an endpoint's response, as parsed.

    Attributes:
        status: HTTP status code.
        headers: Headers that are forwarded to the caller.
        request_id: Id of the call that the response belongs to; empty if the
            response does not contain it.
        has_signature: Whether the response has the header for the endpoint's
            signature.
        states_not_run: Whether the response states that the call was not run.
        implies_not_run: Whether callers take the status for the statement that
            the call was not run.
        is_other_instance: Whether another instance than the intended one has
            the address now.
        closes_connection: Whether the endpoint closes the connection after the
            response.
        keep_alive_timeout_s: Time in seconds for which the endpoint keeps an
            idle connection open; 0 if the response does not state it.
        ends_with_connection: Whether the body ends when the endpoint closes the
            connection, instead of at a length or an end mark.
        max_requests_per_s: Requests per second that the endpoint takes from all
            processes together; None if it names no limit.
        is_leaving: Whether the endpoint states that it is leaving.
        pause_s: Seconds for which the endpoint wants no more requests from this
            process; 0 if it does not state this.
        endpoint_id: Id of the endpoint that sent the response; empty if the
            response does not name it.
    """

    __slots__ = (
        "status",
        "request_id",
        "has_signature",
        "states_not_run",
        "implies_not_run",
        "is_other_instance",
        "closes_connection",
        "keep_alive_timeout_s",
        "ends_with_connection",
        "max_requests_per_s",
        "is_leaving",
        "pause_s",
        "endpoint_id",
        "headers",
    )

    def __init__(
        self,
        status: int,
        headers: client.Headers,
        *,
        request_id: str = "",
        has_signature: bool = False,
        states_not_run: bool = False,
        implies_not_run: bool = False,
        is_other_instance: bool = False,
        closes_connection: bool = False,
        keep_alive_timeout_s: float = 0.0,
        ends_with_connection: bool = False,
        max_requests_per_s: float | None = None,
        is_leaving: bool = False,
        pause_s: float = 0.0,
        endpoint_id: str = "",
    ) -> None:
        self.status = status
        self.headers = headers
        self.request_id = request_id
        self.has_signature = has_signature
        self.states_not_run = states_not_run
        self.implies_not_run = implies_not_run
        self.is_other_instance = is_other_instance
        self.closes_connection = closes_connection
        self.keep_alive_timeout_s = keep_alive_timeout_s
        self.ends_with_connection = ends_with_connection
        self.max_requests_per_s = max_requests_per_s
        self.is_leaving = is_leaving
        self.pause_s = pause_s
        self.endpoint_id = endpoint_id


class StatusOrigin(enum.Enum):
    """Who answered a request for the status of an endpoint."""

    # The endpoint, since the start that its entry names.
    ENDPOINT = "endpoint"
    # Another endpoint, or a later start of this one.
    OTHER = "other"
    # Nothing shows that the endpoint itself answered.
    UNKNOWN = "unknown"


class EndpointStatus:
    """What the response to a request for an endpoint's status shows.

    Attributes:
        origin: Who answered.
        event_count: Number of events that the run asked about has made; None if
            the endpoint does not list the run.
    """

    __slots__ = ("origin", "event_count")

    def __init__(
        self, origin: StatusOrigin, event_count: int | None = None
    ) -> None:
        self.origin = origin
        self.event_count = event_count


class MemoryCopy:
    """Copy of a run's KV cache that was made during a migration.

    Attributes:
        handle: Identifier of the copy, valid at the address of the source
            engine.
    """

    __slots__ = ("handle",)

    def __init__(self, handle: str) -> None:
        self.handle = handle


class EngineReport:
    """Status that an engine reports about itself.

    Attributes:
        is_leaving: Whether the engine is leaving and accepts no new work.
        leaves_in_s: Seconds until the engine stops; 0 if unknown.
    """

    __slots__ = ("is_leaving", "leaves_in_s")

    def __init__(self, is_leaving: bool, leaves_in_s: float) -> None:
        self.is_leaving = is_leaving
        self.leaves_in_s = leaves_in_s
