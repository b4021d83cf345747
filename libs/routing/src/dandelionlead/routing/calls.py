"""A caller's call and what an endpoint answered, in the product's terms."""

from __future__ import annotations

from dandelionlead.http import channel
from dandelionlead.routing import model


class Call:
    """One attempt of a caller, read whole.

    Attributes:
        request_id: Names this attempt; each attempt of a caller has its own.
        method: HTTP method.
        target: Path and query as the caller sent them.
        host: Value of `Host`.
        path: Path without query.
        headers: Headers that are passed on unchanged.
        body: The whole body.
        api_key: The caller's key; empty if it sent none.
        arrived_s: When the head had been read.
        deadline_s: When the caller stops waiting.
        prompt_tokens: Tokens of the prompt; 0 for a call to a plain service.
        max_output_tokens: Most tokens that are generated.
        hinted_output_tokens: The caller's estimate; 0 without one.
        prompt_parts: Ids and tokens of the prompt's parts, in order.
        resume_after: Id of the last event that the caller has; -1 if it
            starts from the beginning.
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
        "deadline_s",
        "prompt_tokens",
        "max_output_tokens",
        "hinted_output_tokens",
        "prompt_parts",
        "resume_after",
    )

    def __init__(
        self,
        request_id: str,
        method: bytes,
        target: bytes,
        host: str,
        path: str,
        headers: channel.Headers,
        *,
        body: bytes = b"",
        api_key: str = "",
        arrived_s: float = 0.0,
        deadline_s: float = 0.0,
        prompt_tokens: int = 0,
        max_output_tokens: int = 0,
        hinted_output_tokens: int = 0,
        prompt_parts: tuple[tuple[str, int], ...] = (),
        resume_after: int = -1,
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
        self.deadline_s = deadline_s
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.hinted_output_tokens = hinted_output_tokens
        self.prompt_parts = prompt_parts
        self.resume_after = resume_after

    def expected_tokens(self) -> int:
        """Tokens of engine memory that the whole run will take."""
        output = self.hinted_output_tokens or self.max_output_tokens // 2
        return self.prompt_tokens + min(output, self.max_output_tokens)


class Admitted:
    """A call with its route, team and service.

    Attributes:
        call: The call.
        route: Its route.
        team: The team of its key; None on anonymous routes.
        service: The service that was drawn for it.
        until_s: When it must have its final answer.
        configuration_version: Version that allowed it.
    """

    __slots__ = (
        "call",
        "route",
        "team",
        "service",
        "until_s",
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
        self.until_s = min(call.deadline_s, call.arrived_s + route.timeout_s)
        self.configuration_version = configuration_version

    @property
    def priority(self) -> int:
        """The team's priority, or else the route's; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


class Resumption:
    """Where a run goes on.

    Attributes:
        holder: IP address and port that the handle belongs to; None where a
            new run continues without the old one's memory.
        handle: Names the copied memory.
        after: Id of the last event that the caller has.
    """

    __slots__ = ("holder", "handle", "after")

    def __init__(
        self, holder: tuple[str, int] | None, handle: str, after: int
    ) -> None:
        self.holder = holder
        self.handle = handle
        self.after = after


class AnswerHead:
    """What the head of an endpoint's response says.

    Attributes:
        status: HTTP status.
        request_id: The call that it belongs to; empty if it does not say.
        signed: Whether it carries the endpoint's signature.
        not_run: Whether the endpoint says that it did not run the call.
        other_instance: Whether another endpoint has the address now.
        leaving: Whether the endpoint closes the connection after it.
        idle_limit_s: How long the endpoint keeps the connection; 0 if it does
            not say.
        headers: Headers that are passed on to the caller.
    """

    __slots__ = (
        "status",
        "request_id",
        "signed",
        "not_run",
        "other_instance",
        "leaving",
        "idle_limit_s",
        "headers",
    )

    def __init__(
        self,
        status: int,
        headers: channel.Headers,
        *,
        request_id: str = "",
        signed: bool = False,
        not_run: bool = False,
        other_instance: bool = False,
        leaving: bool = False,
        idle_limit_s: float = 0.0,
    ) -> None:
        self.status = status
        self.headers = headers
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run
        self.other_instance = other_instance
        self.leaving = leaving
        self.idle_limit_s = idle_limit_s


class Copy:
    """Result of copying the memory of a run to another engine.

    Attributes:
        handle: Names the copy at the source's address.
    """

    __slots__ = ("handle",)

    def __init__(self, handle: str) -> None:
        self.handle = handle


class Report:
    """What an engine says of itself.

    Attributes:
        draining: Whether it leaves.
        leaves_in_s: Seconds until it is gone; 0 if not known.
    """

    __slots__ = ("draining", "leaves_in_s")

    def __init__(self, draining: bool, leaves_in_s: float) -> None:
        self.draining = draining
        self.leaves_in_s = leaves_in_s
