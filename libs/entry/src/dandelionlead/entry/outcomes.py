"""Outcomes of requests by model, version and route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dandelionlead.config import model
    from dandelionlead.core import errors
    from dandelionlead.core import metrics
    from dandelionlead.entry import generation


class Tally:
    """Requests and failures of one version on one route."""

    __slots__ = ("requests", "failures")

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0


class Outcomes:
    """Counts outcomes; every attempt at an endpoint ends in one of them."""

    def __init__(self, registry: metrics.Registry) -> None:
        self._metrics = registry
        self._tallies: dict[tuple[str, str, str], Tally] = {}

    def succeeded(
        self,
        call: generation.Call,
        endpoint: model.Endpoint,
        version: str,
        first_token_s: float,
        gap_s: float,
    ) -> None:
        """Notes a generation that was delivered whole."""
        self._tally(call, endpoint, version).requests += 1
        self._metrics.count("dandelion_generations_ok")
        self._metrics.record("dandelion_first_token_seconds", first_token_s)
        self._metrics.record("dandelion_token_gap_seconds", gap_s)

    def failed(
        self,
        call: generation.Call,
        endpoint: model.Endpoint,
        version: str,
        failure: errors.Failure,
    ) -> None:
        """Notes a generation that failed at its endpoint."""
        tally = self._tally(call, endpoint, version)
        tally.requests += 1
        tally.failures += 1
        self._metrics.count(f"dandelion_generations_{failure.kind.value}")

    def dump(self) -> list[dict[str, str | int]]:
        """Returns the counts of each version and route."""
        return [
            {
                "model": key[0],
                "version": key[1],
                "route": key[2],
                "requests": tally.requests,
                "failures": tally.failures,
            }
            for key, tally in sorted(self._tallies.items())
        ]

    def _tally(
        self, call: generation.Call, endpoint: model.Endpoint, version: str
    ) -> Tally:
        key = (
            call.wanted.model,
            version or endpoint.version or "",
            call.route.name,
        )
        return self._tallies.setdefault(key, Tally())
