"""Provides this process's state for its peers, and applies theirs.

Loads, health, crashes, leaving notices and rollouts are shared by all processes
of one system. `cluster.gossip` spreads them; this module converts between its
messages and the components that hold the state.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Hashable

from dandelionlead.cluster import mirror
from dandelionlead.cluster import read_duty
from dandelionlead.cluster import roster
from dandelionlead.cluster import state_handler
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.gateway import serving
from dandelionlead.routing import call_durations
from dandelionlead.routing import endpoint_limits
from dandelionlead.routing import endpoint_pace
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import prompt_crashes
from dandelionlead.routing import reach_statements
from dandelionlead.routing import rollout_counts
from dandelionlead.routing import rollouts
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

_ROLLOUT_STATES = {state.value: state for state in rollouts.RolloutState}
# Evidence about failing endpoints is sent again if the failures at one of them
# have changed by more than this fraction; they decay continuously.
_EVIDENCE_STEP = 0.3


class ProcessIdentity:
    """Names and addresses by which peers identify this process.

    Attributes:
        name: Name of the instance that the process runs on.
        host: IP address of the instance.
        availability_zone: Availability zone of the instance.
        caller_address: Address for callers as the text IP:PORT; the constructor
            takes it as a tuple.
        incarnation: Unix milliseconds of the start of the process; higher
            after each restart.
    """

    __slots__ = (
        "name",
        "host",
        "availability_zone",
        "caller_address",
        "incarnation",
    )

    def __init__(
        self,
        name: str,
        host: str,
        availability_zone: str,
        caller_address: tuple[str, int],
    ) -> None:
        self.name = name
        self.host = host
        self.availability_zone = availability_zone
        self.caller_address = f"{caller_address[0]}:{caller_address[1]}"
        self.incarnation = int(clock.unix_time() * 1e3)


class ProcessState:
    """References to the components that hold this process's state.

    Attributes:
        view: Holds the configuration and the endpoints in force.
        scheduler: Tracks loads, health and crashes of endpoints.
        serving_state: Decides whether the process accepts calls.
        peer_roster: Holds what is known of the peers.
        orders_table: Replicated table of the operator's orders.
        endpoints_table: Replicated table of the endpoints.
        store_access: Whether this process can read the store.
    """

    __slots__ = (
        "view",
        "scheduler",
        "serving_state",
        "peer_roster",
        "orders_table",
        "endpoints_table",
        "store_access",
    )

    def __init__(
        self,
        view: routing_view.RoutingView,
        scheduler: scheduling.Scheduler,
        serving_state: serving.ServingState,
        peer_roster: roster.Roster,
        orders_table: mirror.Table,
        endpoints_table: mirror.Table,
        store_access: read_duty.StoreAccess,
    ) -> None:
        self.view = view
        self.scheduler = scheduler
        self.serving_state = serving_state
        self.peer_roster = peer_roster
        self.orders_table = orders_table
        self.endpoints_table = endpoints_table
        self.store_access = store_access


class PeerState(state_handler.StateHandler):
    """Converts between messages and the state of this process.

    Args:
        identity: Names and addresses of this process.
        process_state: Components that hold the state of this process.
        on_newer_table: Called with the host (IP address) of a peer that has a
            newer version of a replicated table.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        process_state: ProcessState,
        on_newer_table: Callable[[str], None],
    ) -> None:
        self._identity = identity
        self._process_state = process_state
        self._on_newer_table = on_newer_table
        self._sent_evidence: dict[str, health.Evidence] = {}
        self._sent_statements: list[reach_statements.Statement] = []
        self._sent_reach: list[ttypes.ServiceReach] = []

    def build_state(self, version: int, now_s: float) -> ttypes.MemberState:
        """Returns what this process says of itself, with a version."""
        identity, state = self._identity, self._process_state
        return ttypes.MemberState(
            node=identity.name,
            incarnation=identity.incarnation,
            version=version,
            host=identity.host,
            availability_zone=identity.availability_zone,
            front=identity.caller_address,
            ready=state.serving_state.is_ready(now_s, state.view),
            stopping=state.serving_state.is_stopping,
            reads_store=state.store_access.is_usable(now_s),
            doubtful=[
                ttypes.EndpointHealth(
                    endpoint_id, evidence.outcomes, evidence.failures
                )
                for endpoint_id, evidence in (
                    self._update_sent_evidence(now_s).items()
                )
            ],
            versions=self._encode_version_counts(),
            reach=self._encode_reach(now_s) or None,
        )

    def get_own_load(self, endpoint_id: str) -> ttypes.EndpointLoad:
        """Returns the load that this process causes at an endpoint."""
        scheduler = self._process_state.scheduler
        own_loads = scheduler.load_tracker.get_own_loads()
        return _encode_load(
            endpoint_id,
            own_loads.get(endpoint_id) or loads.Load(),
            scheduler.endpoint_paces.get_own_measurement(endpoint_id),
        )

    def list_own_loads(self) -> list[ttypes.EndpointLoad]:
        """Returns all loads that this process causes."""
        scheduler = self._process_state.scheduler
        return [
            _encode_load(
                endpoint_id,
                load,
                scheduler.endpoint_paces.get_own_measurement(endpoint_id),
            )
            for endpoint_id, load in (
                scheduler.load_tracker.get_own_loads().items()
            )
        ]

    def list_own_limits(
        self, endpoint_ids: set[str] | None, now_s: float
    ) -> list[ttypes.EndpointLimit]:
        """Returns the limits of endpoints as this process knows them."""
        limits = self._process_state.scheduler.endpoint_limits
        return _encode_limits(limits.list_reports(now_s, endpoint_ids), now_s)

    def list_news(self, now_s: float) -> dict[Hashable, state_handler.NewsItem]:
        """Returns what all processes should know, by a key."""
        scheduler = self._process_state.scheduler
        prompts = scheduler.prompt_crash_tracker
        news: dict[Hashable, state_handler.NewsItem] = {}
        for endpoint in self._process_state.view.list_leaving():
            incarnation = endpoint.incarnation
            news["leaving", incarnation] = state_handler.NewsItem(
                "leaving",
                ttypes.LeavingEndpoint(endpoint.endpoint_id, incarnation),
            )
        for mark in scheduler.crash_tracker.list_crashes(now_s):
            news["crash", mark] = state_handler.NewsItem(
                "crashes", ttypes.CrashMark(*mark)
            )
        for crash in prompts.list_shared_crashes(now_s):
            news["prompt", crash.incarnation, crash.part_ids] = (
                state_handler.NewsItem(
                    "prompt_crashes", _encode_prompt_crash(crash, now_s)
                )
            )
        for part in prompts.list_shared_sound_parts(now_s):
            news["sound", part.part_id] = state_handler.NewsItem(
                "sound_parts",
                ttypes.SoundPart(part.part_id, _ms_since(part.sound_s, now_s)),
                part.sound_s,
            )
        for verdict in self._list_verdicts():
            key = ("verdict", verdict.service_name, verdict.order_version)
            news[key] = state_handler.NewsItem("verdicts", verdict)
        return news

    def get_table_versions(self) -> state_handler.TableVersions:
        """Returns the versions of the tables of this process."""
        state = self._process_state
        return state_handler.TableVersions(
            state.orders_table.last_change_version,
            state.view.endpoints_version,
            state.orders_table.last_confirmed_s,
            state.endpoints_table.last_confirmed_s,
        )

    def apply_state(self, state: ttypes.MemberState) -> None:
        """Applies what another process says of itself."""
        self._process_state.scheduler.health_tracker.replace_peer_evidence(
            state.node,
            {
                item.endpoint_id: health.Evidence(item.answers, item.failures)
                for item in state.doubtful
            },
            float("inf"),
        )
        self._apply_reach(state)
        for rollout in self._process_state.view.rollouts.list_all():
            counts = {
                item.is_new: rollout_counts.CallCounts(
                    item.sent,
                    item.answers,
                    item.failures,
                    item.total_s,
                    _decode_durations(item),
                )
                for item in state.versions
                if item.service_name == rollout.order.service
                and item.order_version == rollout.order_version
            }
            if counts:
                rollout.replace_peer_counts(_format_source(state), counts)

    def apply_load(self, node: str, load: ttypes.EndpointLoad) -> None:
        """Applies a changed load of another process."""
        scheduler = self._process_state.scheduler
        scheduler.load_tracker.update_peer_loads(
            node, {load.endpoint_id: _decode_load(load)}
        )
        scheduler.endpoint_paces.add_peer_measurement(
            node,
            load.endpoint_id,
            endpoint_pace.Measurement(load.read_count, load.read_us_per_token),
            clock.boottime(),
        )

    def replace_loads(
        self, node: str, loads: list[ttypes.EndpointLoad]
    ) -> None:
        """Replaces all loads of another process."""
        self._process_state.scheduler.load_tracker.replace_peer_loads(
            node,
            {load.endpoint_id: _decode_load(load) for load in loads},
            float("inf"),
        )

    def apply_limit(
        self, member: roster.Member, limit: ttypes.EndpointLimit, now_s: float
    ) -> None:
        """Applies what another process knows of the limit of an endpoint."""
        self._process_state.scheduler.endpoint_limits.add_peer_report(
            _format_source(member.state),
            endpoint_limits.LimitReport(
                limit.endpoint_id,
                None if limit.requests_per_s < 0 else limit.requests_per_s,
                now_s - limit.named_ms_ago / 1e3,
                limit.sent_count,
                limit.recent_count,
            ),
            now_s,
        )

    def apply_news(self, news: ttypes.News, now_s: float) -> None:
        """Applies what another process has found out."""
        state = self._process_state
        for item in news.leaving:
            state.view.mark_leaving(
                item.endpoint_id, incarnation=item.incarnation
            )
        state.scheduler.crash_tracker.add_peer_crashes(
            [(mark.fingerprint, mark.endpoint_id) for mark in news.crashes],
            now_s,
        )
        state.scheduler.prompt_crash_tracker.add_peer_evidence(
            [
                prompt_crashes.PromptCrash(
                    tuple(item.part_ids),
                    item.incarnation,
                    now_s - item.ms_ago / 1e3,
                )
                for item in news.prompt_crashes
            ],
            [
                prompt_crashes.SoundPart(
                    item.part_id, now_s - item.ms_ago / 1e3
                )
                for item in news.sound_parts
            ],
            now_s,
        )
        for verdict in news.verdicts:
            rollout_state = _ROLLOUT_STATES.get(verdict.state)
            if rollout_state is not None:
                state.view.rollouts.store_verdict(
                    verdict.service_name, verdict.order_version, rollout_state
                )

    def apply_table_versions(
        self, host: str, versions: state_handler.TableVersions
    ) -> None:
        """Notes confirmations, and copies tables that are newer at a host.

        If the store confirmed to any process that a table at a version was
        current, and the table of this process is not older, then it contains
        all changes up to that time as well.
        """
        is_current = True
        for table, version, confirmed_s in (
            (
                self._process_state.orders_table,
                versions.orders_version,
                versions.orders_confirmed_s,
            ),
            (
                self._process_state.endpoints_table,
                versions.endpoints_version,
                versions.endpoints_confirmed_s,
            ),
        ):
            if version <= table.version:
                table.last_confirmed_s = max(
                    table.last_confirmed_s, confirmed_s
                )
            else:
                is_current = False
        if not is_current:
            self._on_newer_table(host)

    def forget(self, state: ttypes.MemberState) -> None:
        """Drops the loads and the evidence of a process that is not live."""
        scheduler = self._process_state.scheduler
        scheduler.load_tracker.remove_peer(state.node)
        scheduler.endpoint_paces.remove_peer(state.node)
        scheduler.health_tracker.replace_peer_evidence(
            state.node, {}, float("inf")
        )
        scheduler.reach_tracker.replace_peer_reach(
            state.node, {}, clock.boottime()
        )
        scheduler.reach_tracker.replace_peer_doubts(state.node, ())

    def _apply_reach(self, state: ttypes.MemberState) -> None:
        """Applies which services another process reaches, and which not."""
        tracker = self._process_state.scheduler.reach_tracker
        items = (state.reach or [])[: reach_statements.MAX_SERVICES]
        tracker.replace_peer_reach(
            state.node,
            {
                item.service_name: item.reached_ms_ago / 1e3
                for item in items
                if not item.is_unreached and item.reached_ms_ago >= 0
            },
            clock.boottime(),
        )
        tracker.replace_peer_doubts(
            state.node,
            [item.service_name for item in items if item.is_unreached],
        )
        if items:
            tracker.peer_listener()

    def _encode_reach(self, now_s: float) -> list[ttypes.ServiceReach]:
        """Returns what this process states of its reach.

        The ages are those at the time when the statements last changed, so that
        the passing of time alone is no change of the state.
        """
        statements = self._process_state.scheduler.reach_statements.list_all()
        if statements != self._sent_statements:
            self._sent_statements = statements
            self._sent_reach = [
                ttypes.ServiceReach(
                    item.service,
                    _ms_since(item.reached_s, now_s),
                    item.is_unreached,
                    item.is_cut_off,
                )
                for item in statements
            ]
        return self._sent_reach

    def _update_sent_evidence(self, now_s: float) -> dict[str, health.Evidence]:
        """Returns the evidence to send, the last one unless it has changed."""
        present = self._find_endpoint_evidence(now_s)
        sent = self._sent_evidence
        if present.keys() != sent.keys() or any(
            abs(evidence.failures - sent[endpoint_id].failures)
            > _EVIDENCE_STEP * sent[endpoint_id].failures
            for endpoint_id, evidence in present.items()
        ):
            self._sent_evidence = present
        return self._sent_evidence

    def _find_endpoint_evidence(
        self, now_s: float
    ) -> dict[str, health.Evidence]:
        """Returns the evidence about endpoints, without that about paths.

        A process that reaches no endpoint of a service states nothing about
        single ones: either it is cut off, or its peers fail there, too. While
        it is in doubt whether it reaches the service, it repeats what it has
        stated before, and states nothing new.
        """
        scheduler = self._process_state.scheduler
        endpoints = self._process_state.view.endpoints
        evidence = scheduler.health_tracker.get_reportable_evidence(now_s)
        services = {
            endpoint_id: endpoints[endpoint_id].service
            for endpoint_id in evidence
            if endpoint_id in endpoints
        }
        services_in_doubt = {
            service
            for service in set(services.values())
            if scheduler.is_reach_in_doubt(service, now_s)
        }
        present = {}
        for endpoint_id, item in evidence.items():
            service = services.get(endpoint_id, "")
            if scheduler.reach_statements.is_unreached(service):
                continue
            if service not in services_in_doubt:
                present[endpoint_id] = item
            elif endpoint_id in self._sent_evidence:
                present[endpoint_id] = self._sent_evidence[endpoint_id]
        return present

    def _encode_version_counts(self) -> list[ttypes.VersionCount]:
        """Returns this process's call counts for rollouts without a verdict."""
        return [
            ttypes.VersionCount(
                rollout.order.service,
                rollout.order_version,
                is_new,
                count.sent_count,
                count.ended_count,
                count.failure_count,
                count.total_s,
                _encode_durations(count),
            )
            for rollout in self._process_state.view.rollouts.list_all()
            if rollout.state is rollouts.RolloutState.RUNNING
            for is_new, count in rollout.own_counts.items()
        ]

    def _list_verdicts(self) -> list[ttypes.Verdict]:
        """Returns the verdicts on the rollouts that have ended."""
        return [
            ttypes.Verdict(
                rollout.order.service,
                rollout.order_version,
                rollout.state.value,
            )
            for rollout in self._process_state.view.rollouts.list_all()
            if rollout.state is not rollouts.RolloutState.RUNNING
        ]


def _format_source(state: ttypes.MemberState) -> str:
    """Returns an identifier of one start of a process."""
    return f"{state.node}/{state.incarnation}"


def _encode_load(
    endpoint_id: str, load: loads.Load, read: endpoint_pace.Measurement
) -> ttypes.EndpointLoad:
    """Converts this process's load at an endpoint to a Thrift structure."""
    return ttypes.EndpointLoad(
        endpoint_id,
        load.runs,
        load.memory_tokens,
        load.unread_prompt_tokens,
        load.unsaved_runs,
        read.count,
        read.us_per_token,
    )


def _encode_limits(
    reports: list[endpoint_limits.LimitReport], now_s: float
) -> list[ttypes.EndpointLimit]:
    """Converts what this process knows about the limits of endpoints."""
    return [
        ttypes.EndpointLimit(
            report.endpoint_id,
            -1.0 if report.requests_per_s is None else report.requests_per_s,
            _ms_since(report.named_s, now_s),
            report.sent_count,
            report.recent_count,
        )
        for report in reports
    ]


def _decode_load(load: ttypes.EndpointLoad) -> loads.Load:
    """Converts a load that another process causes."""
    return loads.Load(
        load.runs, load.tokens, load.prefill_tokens, load.unsaved_runs
    )


def _encode_prompt_crash(
    crash: prompt_crashes.PromptCrash, now_s: float
) -> ttypes.PromptCrash:
    """Converts a crash that is shared with peers."""
    return ttypes.PromptCrash(
        list(crash.part_ids),
        crash.incarnation,
        _ms_since(crash.crashed_s, now_s),
    )


def _encode_durations(
    count: rollout_counts.CallCounts,
) -> list[ttypes.RouteDurations]:
    """Converts the durations by route."""
    return [
        ttypes.RouteDurations(
            route, durations.count, durations.total, durations.square_total
        )
        for route, durations in count.list_shared_durations().items()
    ]


def _decode_durations(
    item: ttypes.VersionCount,
) -> dict[str, call_durations.LogDurations]:
    """Converts a peer's durations by route."""
    return {
        entry.route: call_durations.LogDurations(
            entry.timed, entry.log_total, entry.log_square_total
        )
        for entry in item.routes
        if entry.timed
    }


def _ms_since(instant_s: float, now_s: float) -> int:
    """Returns the milliseconds since an instant; -1 for minus infinity."""
    return -1 if instant_s == float("-inf") else int((now_s - instant_s) * 1e3)
