"""Finds the route of a call and draws the service that handles it."""

from __future__ import annotations

import random

from dandelionlead.routing import model


class RouteTable:
    """Routes of one configuration, indexed by host."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        by_host: dict[str, list[model.Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = by_host

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the route of a host with the longest matching path prefix.

        Args:
            host: Host name without port, in upper or lower case.
            path: Path without query.

        Returns:
            The route, or None if no route matches.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: model.Route, rng: random.Random) -> str:
    """Returns the name of a target service, drawn at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
