"""Chooses the endpoint with the lowest cost for a call.

The functions have no side effects except that they draw random numbers.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from dandelionlead.routing import loads
from dandelionlead.routing import model

# Costs, in units of the cost of an engine whose whole memory is reserved. In
# order: for each run or request to a plain service, for each unread prompt
# token, for a failure share of 1, for an endpoint in another zone, and for an
# engine without room.
_RUN_COST = 0.04
_PREFILL_COST_PER_TOKEN = 1.0 / 5_000
_FAILURE_COST = 3.0
OTHER_ZONE_COST = 0.03
_NO_ROOM_COST = 4.0
# Endpoints whose cost is at most this much above the lowest one count as equal;
# one of them is drawn at random.
_COST_TOLERANCE = 0.02


class Candidate:
    """An endpoint that may take a call, with its load and health.

    Attributes:
        endpoint: The endpoint.
        load: Its load from all processes.
        failure_share: Share of failures among its recent outcomes, 0 to 1.
        is_paused: Whether it is paused because it was recently unreachable.
    """

    __slots__ = ("endpoint", "load", "failure_share", "is_paused")

    def __init__(
        self,
        endpoint: model.Endpoint,
        load: loads.Load,
        failure_share: float,
        is_paused: bool,
    ) -> None:
        self.endpoint = endpoint
        self.load = load
        self.failure_share = failure_share
        self.is_paused = is_paused


def choose_cheapest(
    candidates: Iterable[Candidate],
    service: model.Service,
    preferred_zone: str,
    memory_tokens: int,
    rng: random.Random,
    *,
    other_zone_cost: float = OTHER_ZONE_COST,
) -> model.Endpoint | None:
    """Returns the endpoint with the lowest cost for a call.

    Paused endpoints are used only if all candidates are paused.

    Args:
        candidates: Endpoints that may take the call.
        service: Service of these endpoints.
        preferred_zone: Preferred availability zone.
        memory_tokens: Engine memory in tokens that the call will take.
        rng: Random generator that draws among endpoints of similar cost.
        other_zone_cost: Additional cost of an endpoint in another zone.

    Returns:
        The endpoint, or None if there are no candidates.
    """
    all_candidates = list(candidates)
    unpaused = [
        candidate for candidate in all_candidates if not candidate.is_paused
    ]
    costs = [
        (
            _compute_cost(candidate, service, memory_tokens)
            + other_zone_cost
            * (candidate.endpoint.availability_zone != preferred_zone),
            candidate.endpoint,
        )
        for candidate in unpaused or all_candidates
    ]
    if not costs:
        return None
    lowest = min(cost for cost, _ in costs)
    cheapest = [
        endpoint for cost, endpoint in costs if cost <= lowest + _COST_TOLERANCE
    ]
    return rng.choice(cheapest)


def has_room(
    load: loads.Load,
    service: model.Service,
    memory_tokens: int,
    *,
    max_fill: float = 1.0,
) -> bool:
    """Whether an engine has a free slot and enough memory for a run.

    Endpoints of a plain service always have room.

    Args:
        load: Present load of the engine.
        service: Service of the engine.
        memory_tokens: Engine memory in tokens that the run will take.
        max_fill: Fraction of the engine's memory that may be taken, including
            this run.
    """
    engine = service.engine
    if engine is None:
        return True
    if load.runs >= engine.slots:
        return False
    return load.memory_tokens + memory_tokens <= max_fill * engine.memory_tokens


def _compute_cost(
    candidate: Candidate, service: model.Service, memory_tokens: int
) -> float:
    """Returns the cost of a call at an endpoint in the preferred zone."""
    cost = (
        _RUN_COST * candidate.load.runs
        + _FAILURE_COST * candidate.failure_share
    )
    if service.engine is not None:
        cost += (
            candidate.load.memory_tokens + memory_tokens
        ) / service.engine.memory_tokens
        cost += candidate.load.unread_prompt_tokens * _PREFILL_COST_PER_TOKEN
        if not has_room(candidate.load, service, memory_tokens):
            cost += _NO_ROOM_COST
    return cost
