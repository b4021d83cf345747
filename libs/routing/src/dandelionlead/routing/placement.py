"""Where calls and moving runs go: endpoints, loads, health and limits."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from dandelionlead.core import hashing
from dandelionlead.routing import budget
from dandelionlead.routing import calls
from dandelionlead.routing import choice
from dandelionlead.routing import crashes
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import pace
from dandelionlead.routing import policy
from dandelionlead.routing import view

# Share of an endpoint that does not say how many connections it accepts.
_UNBOUNDED_CONNECTIONS = 1_000


class Cluster:
    """This process among its peers.

    Attributes:
        name: Name of this process.
        availability_zone: Its zone.
        members: Returns the names of all live processes, this one included.
    """

    __slots__ = ("name", "availability_zone", "members")

    def __init__(
        self,
        name: str,
        availability_zone: str,
        members: Callable[[], Collection[str]],
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.members = members


class _Wanted:
    """Work that looks for an endpoint."""

    __slots__ = ("service", "tokens", "excluded", "fill")

    def __init__(
        self,
        service: model.Service,
        tokens: int,
        excluded: Collection[str],
        fill: float | None,
    ) -> None:
        self.service = service
        self.tokens = tokens
        self.excluded = excluded
        self.fill = fill

    def fits(self, load: loads.Load) -> bool:
        """Whether an endpoint with this load has room."""
        if self.fill is None:
            return True
        return choice.has_room(load, self.service, self.tokens, fill=self.fill)


class Placement:
    """Chooses endpoints and keeps the bounds that hold for them.

    Attributes:
        loads: Requests by endpoint.
        health: Failures by endpoint.
        retries: The shared budget for second sends.
        pace: How fast engines read prompts.
        crashes: Requests that crash endpoints.
        policy: What the operator allows.
    """

    def __init__(
        self,
        known: view.View,
        cluster: Cluster,
        retries: budget.RetryBudget,
        rng: random.Random,
        allowed: policy.Policy | None = None,
    ) -> None:
        self.policy = allowed or policy.Policy()
        self.loads = loads.LoadBook()
        self.health = health.HealthBook()
        self.retries = retries
        self.pace = pace.PrefillPace()
        self.crashes = crashes.CrashBook()
        self._view = known
        self._cluster = cluster
        self._cold = budget.ColdLimit()
        self._rng = rng

    @property
    def name(self) -> str:
        """Name of this process."""
        return self._cluster.name

    def choose(
        self,
        service: model.Service,
        tokens: int,
        now_s: float,
        *,
        excluded: Collection[str] = (),
        fill: float | None = None,
        near: str = "",
        far_cost: float = choice.OTHER_ZONE_COST,
    ) -> model.Endpoint | None:
        """Returns an endpoint for new work, or None.

        Args:
            service: The service.
            tokens: Engine memory that the work will take.
            now_s: Time in seconds.
            excluded: Ids of endpoints that are not asked.
            fill: Part of an engine's memory that may be taken; engines with
                less room are left out. None lets full ones queue the work.
            near: Availability zone that is preferred; the own one if empty.
            far_cost: What an endpoint in another zone costs more.
        """
        wanted = _Wanted(service, tokens, excluded, fill)
        opened = self._view.rollouts.usable(
            service.name,
            self._view.open_endpoints(service.name),
            self._rng,
            now_s,
        )
        candidates = self._candidates(opened, wanted, now_s)
        if all(item.paused for item in candidates):
            # A zone that was closed a moment ago may still help out.
            closing = self._view.rollouts.usable(
                service.name,
                self._view.closing_endpoints(service.name, now_s),
                self._rng,
                now_s,
            )
            candidates += self._candidates(closing, wanted, now_s)
        return choice.choose(
            candidates,
            service,
            near or self._cluster.availability_zone,
            tokens,
            self._rng,
            far_cost=far_cost,
        )

    def connection_share(self, endpoint: model.Endpoint) -> int:
        """Returns the connections to an endpoint that this process may have.

        An endpoint accepts so many from all processes together.
        """
        configuration = self._view.configuration
        services = configuration.services if configuration else {}
        service = services.get(endpoint.service)
        if service is None or not service.max_connections:
            return _UNBOUNDED_CONNECTIONS
        return service.max_connections // len(self._cluster.members())

    def any_open(self, service: str) -> bool:
        """Whether a service has an endpoint that may get work."""
        return bool(self._view.open_endpoints(service))

    def mean_fill(self, service: model.Service, now_s: float) -> float:
        """Returns the part of all open engines' memory that is spoken for."""
        opened = self._view.open_endpoints(service.name)
        if service.engine is None or not opened:
            return 0.0
        tokens = sum(
            self.loads.total(endpoint.endpoint_id, now_s).tokens
            for endpoint in opened
        )
        return tokens / (len(opened) * service.engine.memory_tokens)

    def backlog(self, endpoint: model.Endpoint, now_s: float) -> int:
        """Returns the prompt tokens that an engine has yet to read."""
        return self.loads.total(endpoint.endpoint_id, now_s).prefill

    def describe(self, endpoint: model.Endpoint, now_s: float) -> str:
        """Returns the load of an endpoint as text for the log."""
        load = self.loads.total(endpoint.endpoint_id, now_s)
        return f"{load.runs}/{load.tokens}/{load.prefill}"

    def ended(
        self, endpoint: model.Endpoint, seconds: float, *, failed: bool
    ) -> None:
        """Counts how a call ended, for the judgement of versions."""
        self._view.rollouts.answered(endpoint, seconds, failed=failed)

    def unreachable(self, endpoint: model.Endpoint, now_s: float) -> None:
        """Notes that no connection to an endpoint could be opened."""
        self.health.unreachable(endpoint.endpoint_id, now_s)
        self.crashes.gone(endpoint.endpoint_id, now_s)

    def sent(self, endpoint: model.Endpoint, now_s: float) -> None:
        """Counts a request that is about to be sent."""
        self._view.rollouts.sent(endpoint)
        if now_s < endpoint.cold_until_s:
            self._cold.sent(endpoint.endpoint_id, now_s)

    def first(self, admitted: calls.Admitted, now_s: float) -> None:
        """Counts a caller's request for the retry budget."""
        self.retries.first(admitted.service.name, now_s)

    def may_resend(self, service: str, now_s: float) -> bool:
        """Takes a second send from the budget, if there is one."""
        processes = len(self._cluster.members())
        return self.retries.take(service, now_s, processes)

    def _candidates(
        self,
        endpoints: Iterable[model.Endpoint],
        wanted: _Wanted,
        now_s: float,
    ) -> list[choice.Candidate]:
        """Returns those of the endpoints that may take the work."""
        found = []
        for endpoint in endpoints:
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in wanted.excluded:
                continue
            if not self._bears_more(endpoint, wanted.service, now_s):
                continue
            load = self.loads.total(endpoint_id, now_s)
            if not wanted.fits(load):
                continue
            failures = self.health.failure_share(endpoint_id, now_s)
            paused = self.health.paused(endpoint_id, now_s)
            found.append(choice.Candidate(endpoint, load, failures, paused))
        return found

    def _bears_more(
        self, endpoint: model.Endpoint, service: model.Service, now_s: float
    ) -> bool:
        if now_s >= endpoint.cold_until_s or not service.cold_per_s:
            return True
        members = self._cluster.members()
        ranked = hashing.rank(endpoint.endpoint_id, members)
        rank = ranked.index(self._cluster.name)
        return self._cold.allows(
            endpoint.endpoint_id,
            service.cold_per_s,
            now_s,
            rank,
            len(members),
        )
