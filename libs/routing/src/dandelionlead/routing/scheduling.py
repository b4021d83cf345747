"""Chooses endpoints for calls and migrations, within all shared limits.

The scheduler combines the view of the endpoints with their loads and failures,
the retry budget, the rate limit of cold endpoints and the state of rollouts.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from dandelionlead.core import hashing
from dandelionlead.routing import calls
from dandelionlead.routing import crashes
from dandelionlead.routing import endpoint_limits
from dandelionlead.routing import endpoint_pace
from dandelionlead.routing import endpoint_selection
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import policy
from dandelionlead.routing import prefill_rate
from dandelionlead.routing import prompt_crashes
from dandelionlead.routing import reach
from dandelionlead.routing import reach_statements
from dandelionlead.routing import routing_view
from dandelionlead.routing import shared_limits
from dandelionlead.routing import zone_share

# Maximum number of connections from this process to an endpoint whose service
# has no configured limit.
_DEFAULT_MAX_CONNECTIONS = 1_000
# Gains from which calls leave their zone, and from which all do. For an engine,
# 150 and 750 prompt tokens fewer that it has to read first, which take several
# times as long as the way between zones; for a plain service, whose calls are
# short, one and three requests fewer at the endpoint.
_ENGINE_ZONE_RULE = zone_share.ZoneRule(0.03, 0.15)
_PLAIN_ZONE_RULE = zone_share.ZoneRule(0.04, 0.12)
# Gain from which work leaves its zone if the policy turns shares off.
_OTHER_ZONE_COST = 0.03


class ClusterMembership:
    """Identity of this process, and the live processes of the cluster.

    Attributes:
        name: Name of this process.
        availability_zone: Availability zone of this process.
        list_members: Function that returns the names of all live processes,
            including this one.
        is_alone: Function that returns whether this process hears nothing from
            the others.
    """

    __slots__ = ("name", "availability_zone", "list_members", "is_alone")

    def __init__(
        self,
        name: str,
        availability_zone: str,
        list_members: Callable[[], Collection[str]],
        is_alone: Callable[[], bool] = lambda: False,
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.list_members = list_members
        self.is_alone = is_alone


class _Requirements:
    """What an endpoint must provide for a piece of work.

    Attributes:
        service: Service that the endpoint must belong to.
        memory_tokens: Engine memory in tokens that the work will take.
        excluded_ids: Ids of endpoints that must not be chosen.
        max_fill: Fraction of an engine's memory that may be taken, including
            this work; None if full engines are acceptable.
    """

    __slots__ = ("service", "memory_tokens", "excluded_ids", "max_fill")

    def __init__(
        self,
        service: model.Service,
        memory_tokens: int,
        excluded_ids: Collection[str],
        max_fill: float | None,
    ) -> None:
        self.service = service
        self.memory_tokens = memory_tokens
        self.excluded_ids = excluded_ids
        self.max_fill = max_fill

    def fits(self, load: loads.Load) -> bool:
        """Whether an endpoint with this load is acceptable for the work."""
        if self.max_fill is None:
            return True
        return endpoint_selection.has_room(
            load, self.service, self.memory_tokens, max_fill=self.max_fill
        )


class Scheduler:
    """Chooses endpoints and enforces the limits on their use.

    Attributes:
        load_tracker: Load of each endpoint.
        health_tracker: Recent failures and the pause of each endpoint.
        reach_tracker: Which endpoints this process and its peers reach.
        reach_statements: What this process states of its reach to peers.
        retry_budget: Budget of retries, which all processes share.
        prefill_rate: Rate at which engines read prompts.
        endpoint_paces: How fast each engine is, compared with the others.
        crash_tracker: Requests that crash endpoints.
        prompt_crash_tracker: Parts of prompts that crash engines.
        endpoint_limits: Limits and pauses that endpoints have stated.
        operator_policy: Operator settings for the migration, backup and
            queueing of runs.
    """

    def __init__(
        self,
        view: routing_view.RoutingView,
        membership: ClusterMembership,
        retry_budget: shared_limits.RetryBudget,
        rng: random.Random,
        operator_policy: policy.Policy | None = None,
    ) -> None:
        self.operator_policy = operator_policy or policy.Policy()
        self.load_tracker = loads.LoadTracker()
        self.health_tracker = health.HealthTracker()
        self.reach_tracker = reach.ReachTracker()
        self.reach_statements = reach_statements.ReachStatements(
            self.reach_tracker
        )
        self.retry_budget = retry_budget
        self.prefill_rate = prefill_rate.PrefillRate()
        self.endpoint_paces = endpoint_pace.EndpointPaces(
            is_enabled=self.operator_policy.endpoint_paces
        )
        self.crash_tracker = crashes.CrashTracker()
        self.prompt_crash_tracker = prompt_crashes.PromptCrashTracker()
        self.endpoint_limits = endpoint_limits.EndpointLimits()
        self._view = view
        self._membership = membership
        self._cold_rate_limit = shared_limits.ColdRateLimit()
        self._rng = rng

    @property
    def name(self) -> str:
        """Name of this process."""
        return self._membership.name

    def choose_endpoint(
        self,
        service: model.Service,
        memory_tokens: int,
        now_s: float,
        *,
        excluded_ids: Collection[str] = (),
        max_fill: float | None = None,
        preferred_zone: str = "",
        prompt_tokens: int = 0,
        other_zone_cost: float | None = None,
    ) -> model.Endpoint | None:
        """Returns an endpoint for new work, or None if none is acceptable.

        Endpoints in zones that were closed very recently are considered only
        if no endpoint in an open zone may take the work, or if all endpoints
        that may take it are paused.

        Args:
            service: Service that the work is for.
            memory_tokens: Engine memory in tokens that the work will take.
            now_s: Current time in seconds.
            excluded_ids: Ids of endpoints that must not be chosen.
            max_fill: Fraction of an engine's memory that may be taken,
                including this work; engines with less room are left out. If
                None, a full engine may be chosen, which queues the work.
            preferred_zone: Availability zone that is preferred; the zone of
                this process if empty.
            prompt_tokens: Prompt tokens that the engine will have to read.
            other_zone_cost: Cost from which the work goes to another zone; if
                None, a share of the calls does that increases with the gain.
        """
        requirements = _Requirements(
            service, memory_tokens, excluded_ids, max_fill
        )
        open_endpoints = self._view.rollouts.filter_endpoints(
            service.name,
            self._view.list_open_endpoints(service.name),
            self._rng,
            now_s,
        )
        candidates = self._list_candidates(open_endpoints, requirements, now_s)
        if all(item.is_paused for item in candidates):
            # A zone that was closed very recently may still receive work.
            grace_endpoints = self._view.rollouts.filter_endpoints(
                service.name,
                self._view.list_grace_endpoints(service.name, now_s),
                self._rng,
                now_s,
            )
            candidates += self._list_candidates(
                grace_endpoints, requirements, now_s
            )
        return endpoint_selection.choose_cheapest(
            candidates,
            service,
            preferred_zone or self._membership.availability_zone,
            endpoint_selection.Work(memory_tokens, prompt_tokens),
            self._rng,
            self._make_zone_rule(service, other_zone_cost),
            len(self._membership.list_members()),
        )

    def _make_zone_rule(
        self, service: model.Service, other_zone_cost: float | None
    ) -> zone_share.ZoneRule:
        """Returns when it pays to leave the preferred zone."""
        if other_zone_cost is not None:
            return zone_share.make_step(other_zone_cost)
        if not self.operator_policy.zone_share:
            return zone_share.make_step(_OTHER_ZONE_COST)
        if service.engine is None:
            return _PLAIN_ZONE_RULE
        return _ENGINE_ZONE_RULE

    def compute_limit_wait_s(self, service: str, now_s: float) -> float:
        """Returns the seconds until an endpoint of a service takes a request.

        Only the limits and pauses that the endpoints have stated count.

        Args:
            service: Name of the service.
            now_s: Current time in seconds.

        Returns:
            The seconds; 0 if one takes a request now, or if none is open.
        """
        return min(
            (
                self._compute_limit_wait_s(endpoint, now_s)
                for endpoint in self._view.list_open_endpoints(service)
            ),
            default=0.0,
        )

    def get_connection_limit(self, endpoint: model.Endpoint) -> int:
        """Returns how many connections to an endpoint this process may open.

        The limit of the service holds for all processes together and is
        divided evenly among the live processes.
        """
        configuration = self._view.configuration
        services = configuration.services if configuration else {}
        service = services.get(endpoint.service)
        if service is None or not service.max_connections:
            return _DEFAULT_MAX_CONNECTIONS
        return service.max_connections // len(self._membership.list_members())

    def has_open_endpoint(self, service: str) -> bool:
        """Whether a service has an endpoint that may receive work."""
        return bool(self._view.list_open_endpoints(service))

    def compute_mean_fill(self, service: model.Service, now_s: float) -> float:
        """Returns the fraction of all open engines' memory that is reserved.

        Memory that runs and copies will take by their end counts as reserved.
        The result can exceed 1. It is 0 for a plain service and for a service
        without open endpoints.

        Args:
            service: Service of the engines.
            now_s: Current time in seconds.
        """
        open_endpoints = self._view.list_open_endpoints(service.name)
        if service.engine is None or not open_endpoints:
            return 0.0
        tokens = sum(
            self.load_tracker.sum_load(
                endpoint.endpoint_id, now_s
            ).memory_tokens
            for endpoint in open_endpoints
        )
        return tokens / (len(open_endpoints) * service.engine.memory_tokens)

    def estimate_read_s(
        self, endpoint_id: str, tokens: int, now_s: float
    ) -> float:
        """Returns the expected seconds until an engine has read some tokens.

        Args:
            endpoint_id: Id of the engine; empty for one of mean speed.
            tokens: Prompt tokens that it has to read.
            now_s: Current time in seconds.
        """
        read_s = self.endpoint_paces.estimate_read_s(endpoint_id, tokens, now_s)
        if read_s is None:
            return self.prefill_rate.estimate_s(tokens)
        return read_s

    def is_in_own_zone(self, endpoint: model.Endpoint) -> bool:
        """Whether an endpoint is in the availability zone of this process."""
        return endpoint.availability_zone == self._membership.availability_zone

    def get_unread_prompt_tokens(
        self, endpoint: model.Endpoint, now_s: float
    ) -> int:
        """Returns how many prompt tokens an engine has yet to read."""
        return self.load_tracker.sum_load(
            endpoint.endpoint_id, now_s
        ).unread_prompt_tokens

    def format_load(self, endpoint: model.Endpoint, now_s: float) -> str:
        """Returns the load of an endpoint as text for logs.

        The text is `runs/memory_tokens/unread_prompt_tokens/slowness`.
        """
        load = self.load_tracker.sum_load(endpoint.endpoint_id, now_s)
        slowness = self.endpoint_paces.compute_slowness(
            endpoint.endpoint_id, now_s
        )
        return (
            f"{load.runs}/{load.memory_tokens}/{load.unread_prompt_tokens}"
            f"/{slowness:.2f}"
        )

    def record_outcome(
        self,
        endpoint: model.Endpoint,
        route: str,
        duration_s: float,
        *,
        failed: bool,
    ) -> None:
        """Records the outcome of a call for the verdict on a rollout.

        Args:
            endpoint: Endpoint that the call was sent to.
            route: Name of the route of the call.
            duration_s: Duration of the call in seconds; for a stream, the time
                to its first event.
            failed: Whether the call failed.
        """
        self._view.rollouts.record_outcome(
            endpoint, route, duration_s, failed=failed
        )

    def record_broken_call(
        self, endpoint: model.Endpoint, route: str, duration_s: float
    ) -> None:
        """Records that an endpoint has not responded completely to a call.

        It counts as a failure of its version, unless the endpoint has stated
        that it is leaving: its connections end then, whatever its version.

        Args:
            endpoint: Endpoint that the call was sent to.
            route: Name of the route of the call.
            duration_s: Duration of the call in seconds; for a stream, the time
                to its first event.
        """
        if not self._view.has_leaving_notice(endpoint):
            self.record_outcome(endpoint, route, duration_s, failed=True)

    def record_unreachable(
        self, endpoint: model.Endpoint, now_s: float
    ) -> None:
        """Records that no connection to an endpoint could be opened.

        This pauses the endpoint and records a crash for each request, and for
        each part of a prompt, whose connection to it broke shortly before.
        """
        self.health_tracker.record_unreachable(endpoint.endpoint_id, now_s)
        self.record_endpoint_lost(endpoint, now_s)

    def record_endpoint_lost(
        self, endpoint: model.Endpoint, now_s: float
    ) -> bool:
        """Records a crash for each request whose connection broke shortly ago.

        The same applies to each part of the prompts of these requests.

        Returns:
            Whether it is a crash. It is none if the endpoint has stated that it
            is leaving: it has ended as it was asked to.
        """
        if self._view.has_leaving_notice(endpoint):
            return False
        incarnation = endpoint.incarnation
        self.crash_tracker.record_endpoint_lost(incarnation, now_s)
        self.prompt_crash_tracker.record_endpoint_lost(incarnation, now_s)
        return True

    def assess_reach(self, service: str, now_s: float) -> reach.Reach:
        """Returns whether this process reaches a service."""
        return self.reach_tracker.assess(
            service, self._view.list_service_endpoint_ids(service), now_s
        )

    def is_reach_in_doubt(self, service: str, now_s: float) -> bool:
        """Whether a connection failed since the service was last reached."""
        return self.reach_tracker.is_in_doubt(
            self._view.list_service_endpoint_ids(service), now_s
        )

    def is_unreached(self, service: str, now_s: float) -> bool:
        """Whether connections to many endpoints failed, and none opened."""
        return self.reach_tracker.is_unreached(
            self._view.list_service_endpoint_ids(service), now_s
        )

    def get_last_reached_s(self, service: str) -> float:
        """Returns when any endpoint of a service was last reached, in s."""
        return self.reach_tracker.get_last_reached_s(
            self._view.list_service_endpoint_ids(service)
        )

    def count_sent(self, endpoint: model.Endpoint, now_s: float) -> None:
        """Counts a request that is about to be sent to an endpoint.

        It counts towards the rollout of the service, towards the limit that the
        endpoint has named and, if the endpoint is cold, towards its rate limit.
        """
        self._view.rollouts.count_sent(endpoint)
        self.endpoint_limits.count_sent(endpoint.endpoint_id, now_s)
        if now_s < endpoint.cold_until_s:
            self._cold_rate_limit.count_request(endpoint.endpoint_id, now_s)

    def count_request(self, admitted: calls.AdmittedCall, now_s: float) -> None:
        """Counts a caller's request, which increases the retry budget."""
        self.retry_budget.count_request(admitted.service.name, now_s)

    def try_consume_retry(self, service: str, now_s: float) -> bool:
        """Consumes one retry to a service; returns whether one was left."""
        process_count = len(self._membership.list_members())
        return self.retry_budget.try_consume(service, now_s, process_count)

    def _list_candidates(
        self,
        endpoints: Iterable[model.Endpoint],
        requirements: _Requirements,
        now_s: float,
    ) -> list[endpoint_selection.Candidate]:
        """Returns the endpoints that meet the requirements, as candidates."""
        candidates = []
        for endpoint in endpoints:
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in requirements.excluded_ids:
                continue
            if not self._is_below_cold_limit(
                endpoint, requirements.service, now_s
            ):
                continue
            if self._compute_limit_wait_s(endpoint, now_s):
                continue
            load = self.load_tracker.sum_load(endpoint_id, now_s)
            if not requirements.fits(load):
                continue
            failure_share = self.health_tracker.compute_failure_share(
                endpoint_id, now_s
            )
            is_paused = self.health_tracker.is_paused(endpoint_id, now_s)
            candidates.append(
                endpoint_selection.Candidate(
                    endpoint,
                    load,
                    failure_share,
                    is_paused,
                    self.endpoint_paces.compute_slowness(endpoint_id, now_s),
                )
            )
        return candidates

    def _compute_limit_wait_s(
        self, endpoint: model.Endpoint, now_s: float
    ) -> float:
        """Returns the seconds until an endpoint takes another request."""
        if not self.endpoint_limits.has_statement(endpoint.endpoint_id):
            return 0.0
        members = self._membership.list_members()
        rank_if_alone = None
        if len(members) > 1 and self._membership.is_alone():
            rank_if_alone = self._compute_rank(endpoint.endpoint_id, members)
        return self.endpoint_limits.compute_wait_s(
            endpoint.endpoint_id, now_s, len(members), rank_if_alone
        )

    def _compute_rank(self, key: str, members: Collection[str]) -> int:
        """Returns the rank of this process among all for a key, from 0."""
        ranked = hashing.rank_candidates(key, members)
        return ranked.index(self._membership.name)

    def _is_below_cold_limit(
        self, endpoint: model.Endpoint, service: model.Service, now_s: float
    ) -> bool:
        """Whether the endpoint is warm or may receive another request now."""
        if now_s >= endpoint.cold_until_s or not service.cold_requests_per_s:
            return True
        members = self._membership.list_members()
        rank = self._compute_rank(endpoint.endpoint_id, members)
        return self._cold_rate_limit.allows(
            endpoint.endpoint_id,
            service.cold_requests_per_s,
            now_s,
            rank,
            len(members),
        )
