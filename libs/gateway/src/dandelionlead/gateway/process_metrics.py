"""Defines the metrics of one process and registers its gauges."""

from __future__ import annotations

from dandelionlead.cluster import peer_transport
from dandelionlead.core import clock
from dandelionlead.core import guards
from dandelionlead.core import metrics
from dandelionlead.gateway import call_relay
from dandelionlead.gateway import peer_state
from dandelionlead.gateway import reach_probing

# Help texts by metric name; the end of the name is the unit.
HELP_TEXTS = {
    "calls_total": "Calls that ended, by outcome: answered or an error kind.",
    "call_seconds": "Time from reading a call's head to its end.",
    "first_event_seconds": (
        "Time from reading a call's head to its first event."
    ),
    "event_gap_seconds": "Longest time between two writes of a generation.",
    "generations_total": "Generations that ended, by end: complete or torn.",
    "moves_total": "Attempts to resume a generation at an engine.",
    "attempts_total": (
        "Calls sent to endpoints, by availability zone: own or other."
    ),
    "store_restored_total": (
        "Times that the store was found restored from a copy, by table."
    ),
    "table_copies_total": (
        "Copies of tables from peers, by outcome: applied, busy or failed."
    ),
    reach_probing.PROBES_METRIC: (
        "Connections that were opened to find out whether endpoints are in"
        " reach."
    ),
    "services_cut_off_count": (
        "Services that peers reach, but this process does not."
    ),
    "services_unreached_count": (
        "Services at which connections to many endpoints fail."
    ),
    "tries_total": "Attempts to send calls to endpoints.",
    "ready_bool": "1 if callers should use this process, else 0.",
    "gossip_sent_bytes": "Bytes of datagrams sent to other processes.",
    "gossip_received_bytes": "Bytes of datagrams from other processes.",
    "oldest_beat_seconds": "Age of the oldest last beat of a live process.",
    "peers_count": "Peers whose beats are recent.",
    "endpoints_count": "Endpoints in the endpoint list.",
    "open_endpoints_count": "Endpoints that accept new calls.",
    "configuration_version": "Version of the configuration in force.",
    "orders_age_seconds": "Time since the operator's orders were confirmed.",
    "endpoints_age_seconds": "Time since the list of endpoints was confirmed.",
    call_relay.METRIC: (
        "Attempts to pass a call on to a peer, by outcome: answered, refused,"
        " unreachable, broken, gone or no_room."
    ),
    "rows_unreadable_total": (
        "Versions of rows that could not be decoded, by table."
    ),
    "unreadable_rows_count": "Rows whose present version is not valid.",
    guards.ERRORS_METRIC: (
        "Turns of endless loops that failed unexpectedly, by loop."
    ),
    "log_lines_dropped_count": "Log lines dropped since the start.",
}
# Age that is reported for a value that was never confirmed.
_MAX_AGE_S = 1e9


def register_gauges(
    metrics_registry: metrics.Registry,
    process_state: peer_state.ProcessState,
    transport: peer_transport.PeerTransport,
) -> None:
    """Registers the gauges, which are computed when the metrics are read.

    Args:
        metrics_registry: Receives the gauges.
        process_state: Components that hold the values.
        transport: Counts the bytes of the gossip.
    """
    gauges = _Gauges(process_state)
    metrics_registry.register_gauge(
        "gossip_sent_bytes", lambda: transport.sent_bytes
    )
    metrics_registry.register_gauge(
        "gossip_received_bytes", lambda: transport.received_bytes
    )
    metrics_registry.register_gauge("oldest_beat_seconds", gauges.oldest_beat_s)
    metrics_registry.register_gauge("ready_bool", gauges.ready)
    metrics_registry.register_gauge("peers_count", gauges.peers)
    metrics_registry.register_gauge("endpoints_count", gauges.endpoints)
    metrics_registry.register_gauge(
        "open_endpoints_count", gauges.open_endpoints
    )
    metrics_registry.register_gauge(
        "configuration_version", gauges.configuration
    )
    metrics_registry.register_gauge("services_cut_off_count", gauges.cut_off)
    metrics_registry.register_gauge(
        "services_unreached_count", gauges.unreached
    )
    metrics_registry.register_gauge("orders_age_seconds", gauges.orders_age_s)
    metrics_registry.register_gauge(
        "endpoints_age_seconds", gauges.endpoints_age_s
    )


class _Gauges:
    """Computes the present values of the gauges.

    `ready` returns 1 or 0. `configuration` returns the version of the
    configuration, or -1 while there is none. `orders_age_s` and
    `endpoints_age_s` return seconds, at most `_MAX_AGE_S`, and `oldest_beat_s`
    returns seconds. The other methods return counts.

    Args:
        process_state: Components that hold the values.
    """

    def __init__(self, process_state: peer_state.ProcessState) -> None:
        self._process_state = process_state

    def ready(self) -> float:
        process_state = self._process_state
        return float(
            process_state.serving_state.is_ready(
                clock.boottime(), process_state.view
            )
        )

    def peers(self) -> float:
        return len(
            self._process_state.peer_roster.live_members(clock.boottime())
        )

    def oldest_beat_s(self) -> float:
        now_s = clock.boottime()
        members = self._process_state.peer_roster.live_members(now_s)
        return max((now_s - member.beat_s for member in members), default=0.0)

    def endpoints(self) -> float:
        return len(self._process_state.view.endpoints)

    def open_endpoints(self) -> float:
        view = self._process_state.view
        services = {endpoint.service for endpoint in view.endpoints.values()}
        return sum(
            len(view.list_open_endpoints(service)) for service in services
        )

    def cut_off(self) -> float:
        return sum(
            item.is_cut_off
            for item in (
                self._process_state.scheduler.reach_statements.list_all()
            )
        )

    def unreached(self) -> float:
        return sum(
            item.is_unreached
            for item in (
                self._process_state.scheduler.reach_statements.list_all()
            )
        )

    def configuration(self) -> float:
        configuration = self._process_state.view.configuration
        return configuration.version if configuration else -1

    def orders_age_s(self) -> float:
        return _age_s(self._process_state.view.last_confirmed_s)

    def endpoints_age_s(self) -> float:
        return _age_s(self._process_state.endpoints_table.last_confirmed_s)


def _age_s(instant_s: float) -> float:
    """Returns the seconds since an instant, at most `_MAX_AGE_S`."""
    return min(_MAX_AGE_S, clock.boottime() - instant_s)
