"""Chooses the endpoint for a call; pure code."""

from __future__ import annotations

import random
from collections.abc import Iterable

from dandelionlead.routing import loads
from dandelionlead.routing import model

# What one unit of each cost is worth, in parts of an engine's memory.
_RUN_COST = 0.04
_PREFILL_COST_PER_TOKEN = 1.0 / 5_000
_FAILURE_COST = 3.0
OTHER_ZONE_COST = 0.03
_OVERFULL_COST = 4.0
# Endpoints whose cost differs by less are alike; one of them is drawn.
_ALIKE = 0.02


class Candidate:
    """An endpoint that may take a call, with what is known of it.

    Attributes:
        endpoint: The endpoint.
        load: Requests that it has, those of all processes.
        failure_share: Share of failures lately.
        paused: Whether it could not be reached a moment ago.
    """

    __slots__ = ("endpoint", "load", "failure_share", "paused")

    def __init__(
        self,
        endpoint: model.Endpoint,
        load: loads.Load,
        failure_share: float,
        paused: bool,
    ) -> None:
        self.endpoint = endpoint
        self.load = load
        self.failure_share = failure_share
        self.paused = paused


def choose(
    candidates: Iterable[Candidate],
    service: model.Service,
    availability_zone: str,
    tokens: int,
    rng: random.Random,
    *,
    far_cost: float = OTHER_ZONE_COST,
) -> model.Endpoint | None:
    """Returns the endpoint that a call costs least at, or None.

    Args:
        candidates: Endpoints that may take it.
        service: Their service.
        availability_zone: Zone of this process.
        tokens: Engine memory that the call will take.
        rng: Draws among endpoints that are alike.
        far_cost: What an endpoint in another zone costs more.
    """
    able = list(candidates)
    awake = [item for item in able if not item.paused]
    costs = [
        (
            _cost(item, service, tokens)
            + far_cost * (item.endpoint.availability_zone != availability_zone),
            item.endpoint,
        )
        for item in awake or able
    ]
    if not costs:
        return None
    least = min(cost for cost, _ in costs)
    alike = [found for cost, found in costs if cost <= least + _ALIKE]
    return rng.choice(alike)


def has_room(
    load: loads.Load,
    service: model.Service,
    tokens: int,
    *,
    fill: float = 1.0,
) -> bool:
    """Whether an engine has a slot and memory for a run.

    Args:
        load: Work that the engine has.
        service: Its service.
        tokens: Memory that the run will take.
        fill: Part of the engine's memory that may be taken.
    """
    engine = service.engine
    if engine is None:
        return True
    if load.runs >= engine.slots:
        return False
    return load.tokens + tokens <= fill * engine.memory_tokens


def _cost(item: Candidate, service: model.Service, tokens: int) -> float:
    cost = _RUN_COST * item.load.runs + _FAILURE_COST * item.failure_share
    if service.engine is not None:
        cost += (item.load.tokens + tokens) / service.engine.memory_tokens
        cost += item.load.prefill * _PREFILL_COST_PER_TOKEN
        if not has_room(item.load, service, tokens):
            cost += _OVERFULL_COST
    return cost
