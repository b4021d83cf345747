"""The configuration in force, with the indices that requests need."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionlead.config import model
from dandelionlead.config import parts as config_parts
from dandelionlead.core import errors
from dandelionlead.membership import spread

if TYPE_CHECKING:
    from collections.abc import Mapping

# Parts that no known head names are dropped beyond this number.
_MAX_PARTS = 1024


class Rules:
    """One configuration in force.

    Attributes:
        version: Version of its head.
        operators: Content of the operators' file.
    """

    def __init__(self, version: int, operators: model.Operators) -> None:
        self.version = version
        self.operators = operators
        self._teams = {
            digest: team
            for team in operators.teams.values()
            for digest in team.key_digests
        }

    def team(self, key_digest: str) -> model.Team | errors.Failure:
        """Returns the team of an API key's SHA-256 digest."""
        team = self._teams.get(key_digest)
        if team is None:
            return errors.Failure(
                errors.Kind.UNAUTHORIZED, "no team has this API key"
            )
        return team

    def generation_route(
        self, path: str, model_name: str, max_tokens: int, wanted: str
    ) -> model.Route | errors.Failure:
        """Returns the route of a generation.

        Args:
            path: Path of the request.
            model_name: Model that the caller asks for.
            max_tokens: Longest output that the caller asks for; 0 if none.
            wanted: Name of the route from `X-Route`; may be empty.

        Returns:
            The wanted route, or the narrowest that allows `max_tokens`.
        """
        found = [
            route
            for route in self.operators.routes.values()
            if route.kind == model.GENERATION
            and route.path == path
            and route.model == model_name
            and wanted in ("", route.name)
        ]
        if not found:
            return errors.Failure(
                errors.Kind.UNKNOWN_ROUTE,
                f"no route on {path} serves model {model_name!r}"
                + (f" under the name {wanted!r}" if wanted else ""),
            )
        found.sort(key=lambda route: route.max_tokens)
        if not max_tokens:
            return found[-1]
        for route in found:
            if route.max_tokens >= max_tokens:
                return route
        return errors.Failure(
            errors.Kind.BAD_REQUEST,
            f"max_tokens must be at most {found[-1].max_tokens}",
        )

    def service_route(self, path: str) -> model.Route | errors.Failure:
        """Returns the route of a call to a plain service: longest prefix."""
        best = None
        for route in self.operators.routes.values():
            if route.kind != model.SERVICE:
                continue
            below = path == route.path or path.startswith(route.path + "/")
            if below and (best is None or len(route.path) > len(best.path)):
                best = route
        if best is None:
            return errors.Failure(
                errors.Kind.UNKNOWN_ROUTE, f"no route serves {path}"
            )
        return best

    def is_open(self, endpoint: model.Endpoint) -> bool:
        """Whether an endpoint may get new work by the configuration."""
        zone = self.operators.availability_zones[endpoint.availability_zone]
        return zone.state == model.OPEN and endpoint.state == model.ACTIVE

    def engines(self, model_name: str) -> list[model.Endpoint]:
        """Returns the engines of a model that may get new work."""
        return [
            item
            for item in self.operators.endpoints.values()
            if item.model == model_name and self.is_open(item)
        ]

    def service_endpoints(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that may get new work."""
        return [
            item
            for item in self.operators.endpoints.values()
            if item.service == service and self.is_open(item)
        ]


class RulesKeeper:
    """Holds parts and heads; puts a head in force once it is complete.

    Attributes:
        heads: Which head is known, wanted and in force.
        current: The rules in force; None before the first head.
        fault: Why the wanted head could not be put in force; empty if none.
    """

    def __init__(self) -> None:
        self.heads = spread.HeadKeeper()
        self.current: Rules | None = None
        self.fault = ""
        self._parts: dict[str, bytes] = {}
        # Operators' content of heads that cannot be joined, by version.
        self._refused: set[int] = set()

    def learn(self, head: spread.Head, now: float) -> None:
        """Takes in a head from the table service, a peer or an operator."""
        self.heads.learn(head, now)

    def missing(self) -> list[str]:
        """Returns the digests that the wanted head still needs."""
        wanted = self.heads.wanted()
        if wanted is None or wanted.version in self._refused:
            return []
        return self.heads.missing(self._parts)

    def add_parts(self, found: Mapping[str, bytes]) -> None:
        """Adds parts whose content fits their digest."""
        for digest, data in found.items():
            if config_parts.digest(data) == digest:
                self._parts[digest] = data

    def parts(self, digests: list[str]) -> dict[str, bytes]:
        """Returns those of the parts that are here, for a peer."""
        return {
            digest: self._parts[digest]
            for digest in digests
            if digest in self._parts
        }

    def advance(self) -> Rules | None:
        """Puts the wanted head in force if it is complete; returns it then."""
        wanted = self.heads.wanted()
        if wanted is None or wanted.version in self._refused:
            return None
        if self.heads.missing(self._parts):
            self.fault = f"parts of version {wanted.version} are missing"
            return None
        content = {
            name: self._parts[digest] for name, digest in wanted.parts.items()
        }
        operators = config_parts.join(content)
        if isinstance(operators, errors.Failure):
            self.fault = operators.reason
            self._refused.add(wanted.version)
            return None
        self.heads.advance(self._parts)
        self.current = Rules(wanted.version, operators)
        self.fault = ""
        self._drop_unused(set(wanted.parts.values()))
        return self.current

    def _drop_unused(self, used: set[str]) -> None:
        if len(self._parts) <= _MAX_PARTS:
            return
        self._parts = {
            digest: data
            for digest, data in self._parts.items()
            if digest in used
        }
