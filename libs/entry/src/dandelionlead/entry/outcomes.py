"""Outcomes of requests by model, version and route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionlead.core import errors

if TYPE_CHECKING:
    from dandelionlead.config import model
    from dandelionlead.core import metrics
    from dandelionlead.daemon import rollouts
    from dandelionlead.entry import generation

# A refusal for lack of memory says nothing about a version.
_FAULTS_OF_VERSION = frozenset(
    {
        errors.Kind.ENDPOINT_FAILED,
        errors.Kind.ENDPOINT_UNREACHABLE,
        errors.Kind.GENERATION_LOST,
    }
)


class Tally:
    """Requests and failures of one version on one route."""

    __slots__ = ("requests", "failures")

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0


class Outcomes:
    """Counts outcomes; every attempt at an endpoint ends in one of them."""

    def __init__(
        self, registry: metrics.Registry, moves: rollouts.Rollouts
    ) -> None:
        self._metrics = registry
        self._rollouts = moves
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
        self._rollouts.record(
            call.wanted.model,
            version,
            call.route.name,
            failed=False,
            first_token_s=first_token_s,
            token_gap_s=gap_s,
        )
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
        if failure.kind in _FAULTS_OF_VERSION:
            self._rollouts.record(
                call.wanted.model,
                version or endpoint.version,
                call.route.name,
                failed=True,
            )
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
