"""The metrics of one process: names with units, and what they mean."""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import metrics
from dandelionlead.gateway import heartbeats

HELP = {
    "calls_total": "Calls that ended, by outcome: answered or an error kind.",
    "call_seconds": "Time from a call's head to its end.",
    "first_event_seconds": "Time from a call's head to its first event.",
    "event_gap_seconds": "Longest time between two events of a generation.",
    "generations_total": "Generations that ended, by end: complete or torn.",
    "moves_total": "Times that a generation went on at another engine.",
    "tries_total": "Endpoints that calls were sent to.",
    "ready_bool": "1 if callers should come here.",
    "peers_count": "Peers that were heard lately.",
    "endpoints_count": "Endpoints that are known.",
    "open_endpoints_count": "Endpoints that may get new work.",
    "configuration_version": "Version of the configuration in force.",
    "orders_age_seconds": "Time since the orders were confirmed.",
    "endpoints_age_seconds": "Time since the list of endpoints was confirmed.",
    "log_lines_dropped_count": "Log lines left out since the start.",
}
_NEVER_S = 1e9


def register(
    numbers: metrics.Registry, knowledge: heartbeats.Knowledge
) -> None:
    """Registers the values that are read when the metrics are asked for."""
    gauges = _Gauges(knowledge)
    numbers.gauge("ready_bool", gauges.ready)
    numbers.gauge("peers_count", gauges.peers)
    numbers.gauge("endpoints_count", gauges.endpoints)
    numbers.gauge("open_endpoints_count", gauges.open_endpoints)
    numbers.gauge("configuration_version", gauges.configuration)
    numbers.gauge("orders_age_seconds", gauges.orders_age_s)
    numbers.gauge("endpoints_age_seconds", gauges.endpoints_age_s)


class _Gauges:
    def __init__(self, knowledge: heartbeats.Knowledge) -> None:
        self._has = knowledge

    def ready(self) -> float:
        has = self._has
        return float(has.state.ready(clock.boottime(), has.known))

    def peers(self) -> float:
        return len(self._has.members.live(clock.boottime()))

    def endpoints(self) -> float:
        return len(self._has.known.endpoints)

    def open_endpoints(self) -> float:
        known = self._has.known
        services = {item.service for item in known.endpoints.values()}
        return sum(len(known.open_endpoints(name)) for name in services)

    def configuration(self) -> float:
        found = self._has.known.configuration
        return found.version if found else -1

    def orders_age_s(self) -> float:
        return _age_s(self._has.known.confirmed_s)

    def endpoints_age_s(self) -> float:
        return _age_s(self._has.endpoints.confirmed_s)


def _age_s(at_s: float) -> float:
    return min(_NEVER_S, clock.boottime() - at_s)
