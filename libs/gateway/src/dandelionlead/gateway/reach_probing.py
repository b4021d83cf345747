"""Finds out which services this process reaches, after a connection failed.

While all connections can be opened, this module does nothing. After a failure
it opens connections to other endpoints of the service, until one succeeds; and
it does so for peers that state not to reach a service.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Collection

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.core import hashing
from dandelionlead.core import metrics
from dandelionlead.gateway import connection_pool
from dandelionlead.routing import model
from dandelionlead.routing import reach
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

PROBES_METRIC = "reach_probes_total"
_TURN_INTERVAL_S = 0.15
_PROBE_TIMEOUT_S = 0.3
# Number of endpoints that are probed at the first failure, and each further
# time. The first are enough to find that one endpoint alone is down.
_FIRST_PROBES = 3
_TURN_PROBES = 4
# Time between two probes of a service. The longer one applies once the service
# has not been reached for some seconds and no peer reaches it.
_PROBE_INTERVAL_S = 0.4
_SLOW_PROBE_INTERVAL_S = 2.0
_SLOW_AFTER_S = 3.0
# A response of the service within this time shows that its paths are open.
_RECENT_RESPONSE_S = 1.0
# For peers, a service is probed if its last connection is older than this.
_MAX_ANSWER_AGE_S = 1.4
# Number of processes that answer each peer that does not reach a service. All
# processes do while there are few.
_HELPERS = 4
_MAX_DIRECT_HELPERS = 9


class ReachProber(connection_pool.ConnectionListener):
    """Records connections, and probes endpoints while a service is in doubt.

    Args:
        scheduler: Holds the evidence and what this process states.
        view: Holds the endpoints.
        pool: Opens the connections.
        list_names: Returns the names of this process and its live peers.
        on_statement_changed: Called when what this process states has changed.
        log: Receives a line when the reach of a service changes.
        metrics_registry: Counts the probes.
        guard: Catches unexpected exceptions of a turn.
        rng: Chooses the endpoints that are probed.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        pool: connection_pool.ConnectionPool,
        list_names: Callable[[], list[str]],
        on_statement_changed: Callable[[], None],
        log: events.Log,
        metrics_registry: metrics.Registry,
        guard: guards.LoopGuard,
        rng: random.Random,
    ) -> None:
        self._scheduler = scheduler
        self._view = view
        self._pool = pool
        self._list_names = list_names
        self._on_statement_changed = on_statement_changed
        self._log = log
        self._metrics_registry = metrics_registry
        self._guard = guard
        self._rng = rng
        self._is_running = False
        # Times in seconds of the last probes, by endpoint id.
        self._probed_s: dict[str, float] = {}
        # Times in seconds of the last probes of services, by name.
        self._service_probed_s: dict[str, float] = {}
        # Time in seconds since which a service is in doubt, by its name.
        self._in_doubt_since_s: dict[str, float] = {}
        # Services that were cut off since this process last reached them.
        self._cut_off_services: set[str] = set()
        # Reach that was last logged, by name of the service.
        self._logged: dict[str, reach.Reach] = {}
        scheduler.reach_tracker.peer_listener = self._handle_peer_statement
        pool.listener = self

    def handle_opened(self, endpoint: model.Endpoint) -> None:
        """Records that a connection was opened."""
        self._scheduler.reach_tracker.record_reached(
            endpoint.endpoint_id, clock.boottime()
        )
        if self._scheduler.reach_statements.is_unreached(endpoint.service):
            self._update()

    def handle_failed(self, endpoint: model.Endpoint) -> None:
        """Records that no connection could be opened, and starts probing.

        An endpoint that is leaving, or has no entry, is expected to fail.
        """
        if self._view.is_leaving(endpoint.endpoint_id):
            return
        self._scheduler.reach_tracker.record_unreached(
            endpoint.endpoint_id, clock.boottime()
        )
        self.start()

    def handle_silent(self, endpoint: model.Endpoint) -> None:
        """Probes an endpoint that did not respond on a pooled connection.

        The endpoint alone is slow if others of its service have just responded.
        """
        now_s = clock.boottime()
        has_response = any(
            now_s - self._pool.get_last_response_s(other.endpoint_id)
            < _RECENT_RESPONSE_S
            for other in self._view.list_service_endpoints(endpoint.service)
        )
        probed_s = self._probed_s.get(endpoint.endpoint_id, float("-inf"))
        if not has_response and now_s - probed_s >= _PROBE_INTERVAL_S:
            self._spawn_probe(endpoint)

    def _handle_peer_statement(self) -> None:
        """Answers a peer, or takes the answer of a peer into account."""
        if self._scheduler.reach_statements.awaits_answer():
            self._update()
        self.start()

    def start(self) -> None:
        """Starts the turns in the background, unless they run already."""
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Removes what is held of endpoints that are not in the set."""
        for endpoint_id in self._probed_s.keys() - set(endpoint_ids):
            del self._probed_s[endpoint_id]

    def _run(self) -> None:
        """Probes in turns until no service is in doubt here or at a peer."""
        try:
            while True:
                with self._guard.turn("reach_probing"):
                    if not self._take_turn():
                        break
                eventlet.sleep(_TURN_INTERVAL_S)
        finally:
            self._is_running = False
            self._in_doubt_since_s.clear()
            self._service_probed_s.clear()

    def _take_turn(self) -> bool:
        """Probes what is due; returns whether any service is in doubt."""
        self._update()
        targets = [
            endpoint
            for service in self._view.list_service_names()
            for endpoint in self._choose_targets(service)
        ]
        for thread in [self._spawn_probe(endpoint) for endpoint in targets]:
            thread.wait()
        self._update()
        tracker = self._scheduler.reach_tracker
        now_s = clock.boottime()
        return any(
            self._scheduler.is_reach_in_doubt(service, now_s)
            or tracker.list_doubting_peers(service)
            for service in self._view.list_service_names()
        )

    def _choose_targets(self, service: str) -> list[model.Endpoint]:
        """Returns the endpoints of a service that are probed in this turn."""
        now_s = clock.boottime()
        if not self._scheduler.is_reach_in_doubt(service, now_s):
            self._in_doubt_since_s.pop(service, None)
            return self._choose_targets_for_peers(service, now_s)
        is_first = service not in self._in_doubt_since_s
        since_s = self._in_doubt_since_s.setdefault(service, now_s)
        state = self._scheduler.assess_reach(service, now_s)
        is_slow = (
            state is not reach.Reach.CUT_OFF and now_s - since_s > _SLOW_AFTER_S
        )
        interval_s = _SLOW_PROBE_INTERVAL_S if is_slow else _PROBE_INTERVAL_S
        if now_s - self._service_probed_s.get(service, 0.0) < interval_s:
            return []
        self._service_probed_s[service] = now_s
        due = [
            endpoint
            for endpoint in self._view.list_service_endpoints(service)
            if not self._has_just_failed(endpoint.endpoint_id, now_s)
        ]
        count = _FIRST_PROBES if is_first else _TURN_PROBES
        return self._rng.sample(due, min(count, len(due)))

    def _choose_targets_for_peers(
        self, service: str, now_s: float
    ) -> list[model.Endpoint]:
        """Returns what is probed to answer peers that do not reach a service.

        This is one endpoint, unless the last connection tells enough.
        """
        asked_since_s = self._scheduler.reach_statements.get_asked_since_s(
            service
        )
        if asked_since_s is None or not self._is_helper(service):
            return []
        reached_s = self._scheduler.get_last_reached_s(service)
        if reached_s >= max(asked_since_s, now_s - _MAX_ANSWER_AGE_S):
            return []
        endpoints = self._view.list_service_endpoints(service)
        return self._rng.sample(endpoints, min(1, len(endpoints)))

    def _is_helper(self, service: str) -> bool:
        """Whether this process answers peers that do not reach a service."""
        names = self._list_names()
        if len(names) <= _MAX_DIRECT_HELPERS + 1:
            return True
        doubting = self._scheduler.reach_tracker.list_doubting_peers(service)
        able = set(names) - set(doubting)
        return any(
            self._scheduler.name
            in hashing.rank_candidates(f"{service}/{name}", able)[:_HELPERS]
            for name in doubting
        )

    def _has_just_failed(self, endpoint_id: str, now_s: float) -> bool:
        """Whether a connection of a call to an endpoint has just failed."""
        unreached_s = self._scheduler.reach_tracker.get_last_unreached_s(
            endpoint_id
        )
        return now_s - unreached_s < _PROBE_INTERVAL_S / 2

    def _spawn_probe(
        self, endpoint: model.Endpoint
    ) -> eventlet.greenthread.GreenThread:
        """Opens and closes a connection in the background.

        The pool reports the result to this object.
        """
        self._probed_s[endpoint.endpoint_id] = clock.boottime()
        self._metrics_registry.count(PROBES_METRIC)
        return eventlet.spawn(self._probe, endpoint)

    def _probe(self, endpoint: model.Endpoint) -> errors.Failure | None:
        return self._pool.try_connect(endpoint, _PROBE_TIMEOUT_S)

    def _update(self) -> None:
        """Updates what this process states, and logs what has changed."""
        now_s = clock.boottime()
        endpoint_ids = self._view.list_endpoint_ids_by_service()
        is_changed = self._scheduler.reach_statements.update(
            endpoint_ids, now_s
        )
        for service in endpoint_ids:
            self._log_change(service, now_s)
        if is_changed:
            self._on_statement_changed()

    def _log_change(self, service: str, now_s: float) -> None:
        """Logs the reach of a service if it is another than before.

        After a cut, the failures that were counted meanwhile are dropped: they
        belong to the paths of this process, not to the endpoints.
        """
        tracker = self._scheduler.reach_tracker
        state = self._scheduler.assess_reach(service, now_s)
        previous = self._logged.get(service, reach.Reach.REACHED)
        if state is reach.Reach.UNKNOWN or state is previous:
            return
        self._logged[service] = state
        if state is reach.Reach.CUT_OFF:
            self._cut_off_services.add(service)
        elif state is reach.Reach.REACHED and service in self._cut_off_services:
            self._cut_off_services.remove(service)
            self._scheduler.health_tracker.forget(
                self._view.list_endpoint_ids_by_service()[service]
            )
        self._log.event(
            "reach_changed",
            service=service,
            state=state.value,
            was=previous.value,
            peers=",".join(tracker.list_reaching_peers(service, now_s)[:4]),
        )
