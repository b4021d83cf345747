"""Chooses the endpoint with the lowest cost for a call.

The functions have no side effects except that they draw random numbers.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import zone_share

# Costs, in units of the cost of an engine whose whole memory is reserved. In
# order: for each run or request to a plain service, for each prompt token that
# an engine has yet to read, for a failure share of 1, and for an engine without
# room.
_RUN_COST = 0.04
_PREFILL_COST_PER_TOKEN = 1.0 / 5_000
_FAILURE_COST = 3.0
_NO_ROOM_COST = 4.0
# Endpoints of a plain service whose cost is at most this much above the lowest
# one count as equal; one of them is drawn at random.
_COST_TOLERANCE = 0.02
# Excess over the lowest cost at which an engine is drawn e times less often
# than the cheapest one, for each process that places calls, and its bounds.
# Many processes see the same loads, some tenths of a second late: if all took
# the cheapest engine, their prompts would wait for each other there. Few
# processes hear of each other's prompts at once.
_COST_SPREAD_PER_PROCESS = 0.0015
_MIN_COST_SPREAD = 0.01
_MAX_COST_SPREAD = 0.1
# Prompt tokens of work without a prompt for which the speed of an engine counts
# like that of reading: a run that goes on is also slower on a slow engine.
_MIN_PACED_TOKENS = 1_000


class Candidate:
    """An endpoint that may take a call, with its load and health.

    Attributes:
        endpoint: The endpoint.
        load: Its load from all processes.
        failure_share: Share of failures among its recent outcomes, 0 to 1.
        is_paused: Whether it is paused because it was recently unreachable.
        slowness: Time that it takes, as a multiple of the mean of all.
    """

    __slots__ = ("endpoint", "load", "failure_share", "is_paused", "slowness")

    def __init__(
        self,
        endpoint: model.Endpoint,
        load: loads.Load,
        failure_share: float,
        is_paused: bool,
        slowness: float = 1.0,
    ) -> None:
        self.endpoint = endpoint
        self.load = load
        self.failure_share = failure_share
        self.is_paused = is_paused
        self.slowness = slowness


class Work:
    """What an endpoint is chosen for.

    Attributes:
        memory_tokens: Engine memory in tokens that it will take.
        prompt_tokens: Prompt tokens that the engine will have to read.
    """

    __slots__ = ("memory_tokens", "prompt_tokens")

    def __init__(self, memory_tokens: int = 0, prompt_tokens: int = 0) -> None:
        self.memory_tokens = memory_tokens
        self.prompt_tokens = prompt_tokens


def choose_cheapest(
    candidates: Iterable[Candidate],
    service: model.Service,
    preferred_zone: str,
    work: Work,
    rng: random.Random,
    zone_rule: zone_share.ZoneRule,
    process_count: int = 1,
) -> model.Endpoint | None:
    """Returns the endpoint with the lowest cost for a call.

    Paused endpoints are used only if all candidates are paused.

    Args:
        candidates: Endpoints that may take the call.
        service: Service of these endpoints.
        preferred_zone: Preferred availability zone.
        work: What the endpoint is chosen for.
        rng: Random generator that draws among endpoints of similar cost, and
            whether the call leaves the preferred zone.
        zone_rule: When it pays to leave the preferred zone.
        process_count: Number of processes that place calls.

    Returns:
        The endpoint, or None if there are no candidates.
    """
    all_candidates = list(candidates)
    unpaused = [
        candidate for candidate in all_candidates if not candidate.is_paused
    ]
    home_costs: list[tuple[float, model.Endpoint]] = []
    other_costs: list[tuple[float, model.Endpoint]] = []
    for candidate in unpaused or all_candidates:
        is_home = candidate.endpoint.availability_zone == preferred_zone
        cost = _compute_cost(candidate, service, work)
        costs = home_costs if is_home else other_costs
        costs.append((cost, candidate.endpoint))
    if home_costs and other_costs:
        gain = _find_lowest(home_costs) - _find_lowest(other_costs)
        leaves = rng.random() < zone_rule.compute_share(gain)
        costs = other_costs if leaves else home_costs
    else:
        costs = home_costs or other_costs
    if service.engine is None:
        return _draw_plain(costs, rng)
    return _draw_engine(costs, rng, process_count)


def _find_lowest(costs: list[tuple[float, model.Endpoint]]) -> float:
    return min(cost for cost, _ in costs)


def _draw_plain(
    costs: list[tuple[float, model.Endpoint]], rng: random.Random
) -> model.Endpoint | None:
    """Returns one of the cheapest endpoints of a plain service, or None."""
    if not costs:
        return None
    limit = _find_lowest(costs) + _COST_TOLERANCE
    return rng.choice([endpoint for cost, endpoint in costs if cost <= limit])


def _draw_engine(
    costs: list[tuple[float, model.Endpoint]],
    rng: random.Random,
    process_count: int,
) -> model.Endpoint | None:
    """Returns an engine of low cost, or None if there is none."""
    if not costs:
        return None
    lowest = _find_lowest(costs)
    spread = _COST_SPREAD_PER_PROCESS * process_count
    spread = min(_MAX_COST_SPREAD, max(_MIN_COST_SPREAD, spread))
    weights = [math.exp((lowest - cost) / spread) for cost, _ in costs]
    return rng.choices([endpoint for _, endpoint in costs], weights)[0]


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
    candidate: Candidate, service: model.Service, work: Work
) -> float:
    """Returns the cost of a call at an endpoint in the preferred zone.

    The time until an engine has read the prompts grows with its slowness. What
    work at an engine of mean speed costs for its own prompt is left out, as it
    is the same at all.
    """
    cost = (
        _RUN_COST * candidate.load.runs
        + _FAILURE_COST * candidate.failure_share
    )
    if service.engine is not None:
        cost += (
            candidate.load.memory_tokens + work.memory_tokens
        ) / service.engine.memory_tokens
        own_tokens = max(work.prompt_tokens, _MIN_PACED_TOKENS)
        paced_tokens = (
            candidate.slowness * candidate.load.unread_prompt_tokens
            + (candidate.slowness - 1.0) * own_tokens
        )
        cost += paced_tokens * _PREFILL_COST_PER_TOKEN
        if not has_room(candidate.load, service, work.memory_tokens):
            cost += _NO_ROOM_COST
    return cost
