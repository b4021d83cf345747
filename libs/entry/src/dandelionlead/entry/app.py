"""The WSGI application: what callers can ask of an entry."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import TYPE_CHECKING

from dandelionlead.config import model
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.entry import generation
from dandelionlead.entry import generation_input
from dandelionlead.entry import http_input
from dandelionlead.entry import problems
from dandelionlead.entry import services
from dandelionlead.entry import whole_answer
from dandelionlead.routing import suspects

if TYPE_CHECKING:
    from dandelionlead.core import events
    from dandelionlead.core import metrics
    from dandelionlead.daemon import rules
    from dandelionlead.orders import record
    from dandelionlead.streams import tokens

_GENERATION_PATHS = ("/v1/chat/completions", "/v1/completions")
_SERVICES_PREFIX = "/v1/services/"
_JSON = "application/json"
_SERVICE_METHODS = frozenset({"GET", "POST", "PUT", "DELETE"})
# Headers of callers that plain services get.
_PASSED_HEADERS = {
    "CONTENT_TYPE": "Content-Type",
    "HTTP_ACCEPT": "Accept",
    "HTTP_ACCEPT_LANGUAGE": "Accept-Language",
}


class Response:
    """Status, headers and body of an answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: Iterable[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Request:
    """One request of a caller.

    Attributes:
        environ: WSGI environment.
        request_id: The caller's id or a new one.
        arrived_at: Time on `clock.boottime()`.
    """

    __slots__ = ("environ", "request_id", "arrived_at")

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.request_id = http_input.request_id(environ)
        self.arrived_at = clock.boottime()

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.environ.get("PATH_INFO", "")


class Application:
    """Dispatches requests of callers to their handlers."""

    def __init__(
        self,
        *,
        current: Callable[[], rules.Rules | None],
        refusal: Callable[[], errors.Failure | None],
        quarantined: Callable[[str], errors.Failure | None],
        generations: generation.Generations,
        plain_services: services.Services,
        signer: tokens.Signer,
        addresses: Callable[[], dict[str, Any]],
        ready: Callable[[], errors.Failure | None],
        dump: Callable[[], str],
        registry: metrics.Registry,
        log: events.Log,
        max_body_bytes: int,
    ) -> None:
        self._current = current
        self._refusal = refusal
        self._quarantined = quarantined
        self._generations = generations
        self._services = plain_services
        self._signer = signer
        self._addresses = addresses
        self._ready = ready
        self._dump = dump
        self._metrics = registry
        self._log = log
        self._max_body_bytes = max_body_bytes
        self._concurrent: dict[str, int] = {}
        self.in_flight = 0
        self._exact: dict[tuple[str, str], Callable[[Request], Any]] = {
            ("GET", "/healthz"): self._healthz,
            ("GET", "/readyz"): self._readyz,
            ("GET", "/statez"): self._statez,
            ("GET", "/metrics"): self._metrics_text,
            ("GET", "/v1/addresses"): self._addresses_json,
            ("GET", "/v1/streams"): self._resume,
            **{("POST", path): self._generate for path in _GENERATION_PATHS},
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one request (WSGI)."""
        req = Request(environ)
        self.in_flight += 1
        try:
            result = self._handle(req)
        except BaseException:
            self.in_flight -= 1
            raise
        if isinstance(result, errors.Failure):
            self._log.event(
                "refused",
                req=req.request_id,
                path=req.path[:200],
                kind=result.kind.value,
                run=result.run.value,
                reason=result.reason[: problems.MAX_REASON_CHARS],
            )
            self._metrics.count(f"dandelion_refused_{result.kind.value}")
            status, headers, body = problems.render(
                result, request_id=req.request_id
            )
            self.in_flight -= 1
            start_response(status, headers)
            return [body]
        start_response(problems.status_line(result.status), result.headers)
        if isinstance(result.body, list):
            self.in_flight -= 1
            return result.body
        return self._counted(result.body)

    def _counted(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        try:
            yield from chunks
        finally:
            self.in_flight -= 1

    def _handle(self, req: Request) -> Response | errors.Failure:
        handler = self._exact.get((req.method, req.path))
        try:
            if handler is not None:
                return handler(req)
            if req.path.startswith(_SERVICES_PREFIX):
                return self._service(req)
        except Exception as exc:
            self._log.event(
                "internal_error", req=req.request_id, reason=repr(exc)
            )
            return errors.Failure(errors.Kind.INTERNAL, type(exc).__name__)
        if any(path == req.path for _, path in self._exact):
            return errors.Failure(
                errors.Kind.METHOD_NOT_ALLOWED,
                f"{req.path} does not take {req.method}",
            )
        return errors.Failure(
            errors.Kind.UNKNOWN_ROUTE, f"there is no route {req.path[:200]}"
        )

    def _generate(self, req: Request) -> Response | errors.Failure:
        call = self._generation_call(req)
        if isinstance(call, errors.Failure):
            return call
        team = call.team.name
        if self._concurrent.get(team, 0) >= call.team.max_concurrent:
            return errors.Failure(
                errors.Kind.OVER_SHARE,
                f"team {team} has {call.team.max_concurrent} calls open here",
            )
        self._concurrent[team] = self._concurrent.get(team, 0) + 1
        self._log.event(
            "request",
            req=req.request_id,
            team=team,
            route=call.route.name,
            buyer=call.wanted.buyer,
            stream=call.wanted.stream,
        )
        try:
            stream = self._generations.start(call)
        except BaseException:
            self._concurrent[team] -= 1
            raise
        if isinstance(stream, errors.Failure):
            self._concurrent[team] -= 1
            return stream
        chunks = self._held_by_team(stream.chunks, team)
        if call.wanted.stream:
            return _event_stream(stream, chunks, req.request_id)
        answer = whole_answer.build(b"".join(chunks), call)
        return _json(200, answer, req.request_id)

    def _held_by_team(
        self, chunks: Iterator[bytes], team: str
    ) -> Iterator[bytes]:
        try:
            yield from chunks
        finally:
            self._concurrent[team] -= 1

    def _generation_call(
        self, req: Request
    ) -> generation.Call | errors.Failure:
        checked = self._checked(req)
        if isinstance(checked, errors.Failure):
            return checked
        current, team = checked
        data = http_input.read_body(req.environ, self._max_body_bytes)
        if isinstance(data, errors.Failure):
            return data
        body = http_input.parse_object(data)
        if isinstance(body, errors.Failure):
            return body
        wanted = generation_input.parse(
            body,
            chat=req.path.endswith("/chat/completions"),
            limit_tokens=_longest_output(current),
        )
        if isinstance(wanted, errors.Failure):
            return wanted
        route = current.generation_route(
            req.path,
            wanted.model,
            wanted.max_tokens if "max_tokens" in body else 0,
            req.environ.get("HTTP_X_ROUTE", ""),
        )
        if isinstance(route, errors.Failure):
            return route
        if len(data) > route.max_body_bytes:
            return errors.Failure(
                errors.Kind.BODY_TOO_LARGE,
                f"the limit of route {route.name} is {route.max_body_bytes} "
                "bytes",
            )
        if "max_tokens" not in body:
            wanted.max_tokens = route.max_tokens
            body["max_tokens"] = route.max_tokens
        fingerprint = suspects.fingerprint(wanted.model, wanted.prompt)
        refusal = self._quarantined(fingerprint)
        if refusal is not None:
            return refusal
        return generation.Call(
            request_id=req.request_id,
            team=team,
            route=route,
            path=req.path,
            wanted=wanted,
            body=body,
            arrived_at=req.arrived_at,
            deadline=req.arrived_at + route.timeout_s,
            fingerprint=fingerprint,
        )

    def _resume(self, req: Request) -> Response | errors.Failure:
        checked = self._checked(req, new_work=False)
        if isinstance(checked, errors.Failure):
            return checked
        current, team = checked
        text = req.environ.get("HTTP_X_RESUME_TOKEN", "")
        token = self._signer.verify(
            text, team=team.name, now_unix_s=clock.unix_time()
        )
        if isinstance(token, errors.Failure):
            return token
        position = http_input.last_event(req.environ, token.generation_id)
        if isinstance(position, errors.Failure):
            return position
        endpoint = current.operators.endpoints.get(token.endpoint)
        if endpoint is None:
            return errors.Failure(
                errors.Kind.GENERATION_UNKNOWN,
                f"endpoint {token.endpoint} is no longer configured",
            )
        stream = self._generations.resume(
            token, text, endpoint, position, req.request_id
        )
        if isinstance(stream, errors.Failure):
            return stream
        return _event_stream(stream, stream.chunks, req.request_id)

    def _service(self, req: Request) -> Response | errors.Failure:
        call = self._service_call(req)
        if isinstance(call, errors.Failure):
            return call
        self._log.event(
            "request",
            req=req.request_id,
            team=call.team.name,
            route=call.route.name,
        )
        answer = self._services.call(call)
        if isinstance(answer, errors.Failure):
            return answer
        return _service_response(answer, req.request_id)

    def _service_call(
        self, req: Request
    ) -> services.ServiceCall | errors.Failure:
        checked = self._checked(req)
        if isinstance(checked, errors.Failure):
            return checked
        current, team = checked
        route = current.service_route(req.path)
        if isinstance(route, errors.Failure):
            return route
        if req.method not in _SERVICE_METHODS:
            return errors.Failure(
                errors.Kind.METHOD_NOT_ALLOWED,
                f"services do not take {req.method[:20]}",
            )
        key = http_input.idempotency_key(req.environ)
        if isinstance(key, errors.Failure):
            return key
        if not key and not route.repeatable:
            return errors.Failure(
                errors.Kind.KEY_MISSING,
                f"calls of route {route.name} run at most once for each key",
            )
        try_number = http_input.try_number(req.environ)
        if isinstance(try_number, errors.Failure):
            return try_number
        body = http_input.read_body(
            req.environ, min(self._max_body_bytes, route.max_body_bytes)
        )
        if isinstance(body, errors.Failure):
            return body
        return services.ServiceCall(
            request_id=req.request_id,
            team=team,
            route=route,
            method=req.method,
            path=_path_with_query(req.environ),
            headers=_service_headers(req, key),
            body=body,
            deadline=req.arrived_at + route.timeout_s,
            key=key,
            try_number=try_number,
        )

    def _checked(
        self, req: Request, *, new_work: bool = True
    ) -> tuple[rules.Rules, model.Team] | errors.Failure:
        """Returns rules and team, or why the request is refused."""
        current = self._current()
        if current is None:
            return errors.Failure(
                errors.Kind.NOT_READY, "no configuration is in force yet"
            )
        digest = http_input.bearer_digest(req.environ)
        if isinstance(digest, errors.Failure):
            return digest
        team = current.team(digest)
        if isinstance(team, errors.Failure):
            return team
        refusal = self._refusal() if new_work else None
        if refusal is not None:
            return refusal
        return current, team

    def _healthz(self, req: Request) -> Response:
        return _json(200, {"status": "ok"}, req.request_id)

    def _readyz(self, req: Request) -> Response | errors.Failure:
        failure = self._ready()
        if failure is not None:
            return failure
        return _json(200, {"status": "ready"}, req.request_id)

    def _statez(self, req: Request) -> Response:
        headers = [("Content-Type", _JSON), ("X-Request-Id", req.request_id)]
        return Response(200, headers, [self._dump().encode()])

    def _metrics_text(self, req: Request) -> Response:
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("X-Request-Id", req.request_id),
        ]
        return Response(200, headers, [self._metrics.render().encode()])

    def _addresses_json(self, req: Request) -> Response | errors.Failure:
        plain = self._addresses()
        if not plain["addresses"]:
            # A caller would keep an empty list for as long as any other.
            return errors.Failure(
                errors.Kind.NOT_READY, "no entry is known to be ready yet"
            )
        answer = _json(200, plain, req.request_id)
        max_age_s = int(plain["max_age_s"])
        answer.headers.append(("Cache-Control", f"max-age={max_age_s}"))
        return answer


def _event_stream(
    stream: generation.Stream, chunks: Iterator[bytes], request_id: str
) -> Response:
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-store"),
        ("X-Request-Id", request_id),
        ("X-Generation-Id", stream.generation_id),
        ("X-Resume-Token", stream.resume_token),
    ]

    # Started here, so that closing the body always runs its cleanup, even if
    # the caller leaves before the first write.
    head = next(chunks, b"")

    def body() -> Iterator[bytes]:
        try:
            yield f": resume {stream.resume_token}\n\n".encode() + head
            yield from chunks
        finally:
            chunks.close()

    return Response(200, headers, body())


def _service_response(answer: record.Answer, request_id: str) -> Response:
    headers = [(name, value) for name, value in answer.headers]
    headers.append(("X-Request-Id", request_id))
    if answer.replayed:
        headers.append(("Idempotency-Replayed", "true"))
    if answer.omitted:
        headers.append(("X-Answer-Omitted", f"{answer.size} bytes"))
        headers.append(("X-Answer-Sha256", answer.sha256))
    return Response(answer.status, headers, [answer.body])


def _json(status: int, value: dict[str, Any], request_id: str) -> Response:
    headers = [("Content-Type", _JSON), ("X-Request-Id", request_id)]
    return Response(status, headers, [json.dumps(value).encode()])


def _longest_output(current: rules.Rules) -> int:
    return max(
        (
            route.max_tokens
            for route in current.operators.routes.values()
            if route.kind == model.GENERATION
        ),
        default=1,
    )


def _path_with_query(environ: dict[str, Any]) -> str:
    path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
    query = environ.get("QUERY_STRING")
    return f"{path}?{query}" if query else path


def _service_headers(req: Request, key: str) -> dict[str, str]:
    headers = {"X-Request-Id": req.request_id}
    for name, header in _PASSED_HEADERS.items():
        value = req.environ.get(name)
        if value:
            headers[header] = value
    if key:
        headers["Idempotency-Key"] = key
    return headers
