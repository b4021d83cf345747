"""Finds the route of a call and the team of a key."""

from __future__ import annotations

import random

from dandelionlead.routing import model


class RouteTable:
    """Routes of one configuration, by host, longest prefix first."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        by_host: dict[str, list[model.Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        for found in by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))
        self._by_host = by_host

    def match(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of the path, or None.

        Args:
            host: Host name without port; the case does not matter.
            path: Path without query.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def choose_service(route: model.Route, rng: random.Random) -> str:
    """Returns a service of the route, drawn by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
