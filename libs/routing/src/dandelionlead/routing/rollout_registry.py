"""Holds the rollouts of all services and applies them to each call."""

from __future__ import annotations

import random
from collections.abc import Iterable

from dandelionlead.routing import call_durations
from dandelionlead.routing import model
from dandelionlead.routing import rollout_counts
from dandelionlead.routing import rollouts

# Share of a service's calls that each process sends to the new version while
# the limit allows it.
TRIAL_SHARE = 0.25


class RolloutRegistry:
    """The latest rollout of each service, including those with a verdict."""

    def __init__(self) -> None:
        # Rollouts by name of the service.
        self._rollouts: dict[str, rollouts.Rollout] = {}

    def start(
        self, order: model.RolloutOrder, order_version: int, now_s: float
    ) -> None:
        """Starts a rollout, which replaces an older one of the same service.

        An order that is not newer than the stored rollout is ignored.

        Args:
            order: The operator's order.
            order_version: Version in the store with which it was written.
            now_s: Current time in seconds.
        """
        current = self._rollouts.get(order.service)
        if current is None or current.order_version < order_version:
            rollout = rollouts.Rollout(order, order_version, now_s)
            self._rollouts[order.service] = rollout

    def renew(self, service: str, order_version: int) -> None:
        """Gives a rollout the version of its order after it was written again.

        The rollout keeps its counts and its verdict.

        Args:
            service: Name of the service, which must have a rollout.
            order_version: Version with which the same order was written again.
        """
        self._rollouts[service].order_version = order_version

    def remove(self, service: str) -> None:
        """Removes the rollout of a service whose order was deleted."""
        self._rollouts.pop(service, None)

    def get(self, service: str) -> rollouts.Rollout | None:
        """Returns the rollout of a service, or None."""
        return self._rollouts.get(service)

    def list_all(self) -> list[rollouts.Rollout]:
        """Returns all rollouts."""
        return list(self._rollouts.values())

    def count_sent(self, endpoint: model.Endpoint) -> None:
        """Counts a call to an endpoint if its service has a rollout."""
        counts = self._get_own_counts(endpoint)
        if counts is not None:
            counts.sent_count += 1

    def record_outcome(
        self,
        endpoint: model.Endpoint,
        route: str,
        duration_s: float,
        *,
        failed: bool,
    ) -> None:
        """Counts the outcome of a call if the service has a rollout.

        Args:
            endpoint: Endpoint that the call was sent to.
            route: Name of the route of the call.
            duration_s: Duration of the call in seconds; for a stream, the time
                to its first event.
            failed: Whether the call failed.
        """
        counts = self._get_own_counts(endpoint)
        if counts is not None:
            counts.ended_count += 1
            counts.failure_count += failed
            counts.total_s += duration_s
            if not failed:
                durations = counts.durations.setdefault(
                    route, call_durations.LogDurations()
                )
                durations.record(duration_s)

    def store_verdict(
        self, service: str, order_version: int, state: rollouts.RolloutState
    ) -> bool:
        """Stores a verdict on a rollout that has none yet.

        Args:
            service: Name of the service.
            order_version: Version of the order that the verdict is about; a
                verdict on another order is ignored.
            state: The verdict.

        Returns:
            Whether the state of the rollout changed.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order_version != order_version:
            return False
        is_changed = (
            rollout.state is rollouts.RolloutState.RUNNING
            and state is not rollouts.RolloutState.RUNNING
        )
        if is_changed:
            rollout.state = state
        return is_changed

    def filter_endpoints(
        self,
        service: str,
        endpoints: Iterable[model.Endpoint],
        rng: random.Random,
        now_s: float,
    ) -> list[model.Endpoint]:
        """Returns the endpoints that the next call may be sent to.

        Until the verdict, these are either the endpoints of the new version or
        those of all other versions, drawn at random for each call. After a
        completed rollout, they are the endpoints of the new version, or those
        of all other versions if it has none. After a rollback, they are those
        of all other versions.

        Args:
            service: Name of the service.
            endpoints: Endpoints of the service that may receive work.
            rng: Random generator for the draw.
            now_s: Current time in seconds.
        """
        all_endpoints = list(endpoints)
        rollout = self._rollouts.get(service)
        if rollout is None:
            return all_endpoints
        target = rollout.order.target_version
        new = [item for item in all_endpoints if item.version == target]
        old = [item for item in all_endpoints if item.version != target]
        if rollout.state is rollouts.RolloutState.COMPLETED:
            return new or old
        if rollout.state is rollouts.RolloutState.ROLLED_BACK or not new:
            return old
        if not rollout.may_send_to_new(now_s):
            return old
        return new if not old or rng.random() < TRIAL_SHARE else old

    def _get_own_counts(
        self, endpoint: model.Endpoint
    ) -> rollout_counts.CallCounts | None:
        """Returns this process's counts for the version of an endpoint.

        The result is None if the service has no rollout.
        """
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None:
            return None
        return rollout.own_counts[
            endpoint.version == rollout.order.target_version
        ]
