"""Builds heartbeats from this process's state and applies those of peers.

Heartbeats and load changes are the Thrift messages with which the processes of
one system share loads, health, crashes, leaving notices and rollouts.
"""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peer_transport
from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.gateway import serving
from dandelionlead.routing import endpoint_limits
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import prompt_crashes
from dandelionlead.routing import rollouts
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling


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
        peer_roster: Holds the peers and their last heartbeats.
        orders_table: Replicated table of the operator's orders.
        endpoints_table: Replicated table of the endpoints.
    """

    __slots__ = (
        "view",
        "scheduler",
        "serving_state",
        "peer_roster",
        "orders_table",
        "endpoints_table",
    )

    def __init__(
        self,
        view: routing_view.RoutingView,
        scheduler: scheduling.Scheduler,
        serving_state: serving.ServingState,
        peer_roster: roster.Roster,
        orders_table: mirror.Table,
        endpoints_table: mirror.Table,
    ) -> None:
        self.view = view
        self.scheduler = scheduler
        self.serving_state = serving_state
        self.peer_roster = peer_roster
        self.orders_table = orders_table
        self.endpoints_table = endpoints_table


class HeartbeatHandler(peer_transport.PeerMessageHandler):
    """Converts between Thrift messages and the state of this process.

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
        self._sequence = 0

    def build_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with the present state of this process."""
        self._sequence += 1
        now_s = clock.boottime()
        identity, state = self._identity, self._process_state
        leaving = state.view.list_leaving()
        return ttypes.Heartbeat(
            node=identity.name,
            incarnation=identity.incarnation,
            sequence=self._sequence,
            host=identity.host,
            availability_zone=identity.availability_zone,
            front=identity.caller_address,
            ready=state.serving_state.is_ready(now_s, state.view),
            stopping=state.serving_state.is_stopping,
            orders_version=state.orders_table.last_change_version,
            endpoints_version=state.view.endpoints_version,
            confirmed_ms_ago=_ms_since(
                state.orders_table.last_confirmed_s, now_s
            ),
            endpoints_read_ms_ago=_ms_since(
                state.endpoints_table.last_read_s, now_s
            ),
            loads=[
                _encode_load(endpoint_id, load)
                for endpoint_id, load in (
                    state.scheduler.load_tracker.get_own_loads().items()
                )
            ],
            leaving=[endpoint.endpoint_id for endpoint in leaving],
            leaving_endpoints=[
                ttypes.LeavingEndpoint(
                    endpoint.endpoint_id, endpoint.incarnation
                )
                for endpoint in leaving
            ],
            crashes=[
                ttypes.CrashMark(fingerprint, endpoint_id)
                for fingerprint, endpoint_id in (
                    state.scheduler.crash_tracker.list_crashes(now_s)
                )
            ],
            doubtful=[
                ttypes.EndpointHealth(
                    endpoint_id, evidence.outcomes, evidence.failures
                )
                for endpoint_id, evidence in (
                    state.scheduler.health_tracker.get_reportable_evidence(
                        now_s
                    ).items()
                )
            ],
            versions=self._encode_version_counts(),
            verdicts=self._encode_verdicts(),
            known_hosts=peer_transport.sample_hosts(state.peer_roster),
            prompt_crashes=_encode_prompt_crashes(
                state.scheduler.prompt_crash_tracker, now_s
            ),
            sound_parts=_encode_sound_parts(
                state.scheduler.prompt_crash_tracker, now_s
            ),
            limits=_encode_limits(
                state.scheduler.endpoint_limits.list_reports(now_s), now_s
            ),
        )

    def build_load_change(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        """Returns a message with this process's load at some endpoints.

        Args:
            endpoint_ids: Ids of the endpoints.
        """
        self._sequence += 1
        now_s = clock.boottime()
        scheduler = self._process_state.scheduler
        own_loads = scheduler.load_tracker.get_own_loads()
        return ttypes.LoadChange(
            node=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=[
                _encode_load(
                    endpoint_id, own_loads.get(endpoint_id) or loads.Load()
                )
                for endpoint_id in endpoint_ids
            ],
            limits=_encode_limits(
                scheduler.endpoint_limits.list_reports(now_s, endpoint_ids),
                now_s,
            ),
        )

    def handle_load_change(self, change: ttypes.LoadChange) -> None:
        """Applies the changed loads and limits of a peer."""
        self._apply_limits(change)
        self._process_state.scheduler.load_tracker.update_peer_loads(
            change.node, _decode_loads(change.loads)
        )

    def handle_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Applies a peer's heartbeat.

        The peer's loads and health evidence expire when no heartbeat from the
        peer arrives for the roster's timeout. Calls `on_newer_table` if the
        peer has a newer version of a replicated table.
        """
        now_s = clock.boottime()
        process_state = self._process_state
        process_state.scheduler.load_tracker.replace_peer_loads(
            heartbeat.node,
            _decode_loads(heartbeat.loads),
            now_s + process_state.peer_roster.peer_timeout_s(),
        )
        process_state.scheduler.health_tracker.replace_peer_evidence(
            heartbeat.node,
            {
                item.endpoint_id: health.Evidence(item.answers, item.failures)
                for item in heartbeat.doubtful
            },
            now_s + process_state.peer_roster.peer_timeout_s(),
        )
        self._apply_rollouts(heartbeat)
        self._apply_limits(heartbeat)
        process_state.scheduler.crash_tracker.add_peer_crashes(
            [
                (mark.fingerprint, mark.endpoint_id)
                for mark in heartbeat.crashes
            ],
            now_s,
        )
        process_state.scheduler.prompt_crash_tracker.add_peer_evidence(
            _decode_prompt_crashes(heartbeat, now_s),
            _decode_sound_parts(heartbeat, now_s),
            now_s,
        )
        self._apply_leaving(heartbeat)
        if (
            heartbeat.orders_version > process_state.orders_table.version
            or heartbeat.endpoints_version
            > process_state.endpoints_table.version
        ):
            self._on_newer_table(heartbeat.host)

    def _apply_leaving(self, heartbeat: ttypes.Heartbeat) -> None:
        """Marks the endpoints that a peer lists as leaving.

        A peer of an older build lists their ids alone.
        """
        view = self._process_state.view
        if heartbeat.leaving_endpoints is None:
            for endpoint_id in heartbeat.leaving:
                view.mark_leaving(endpoint_id)
            return
        for item in heartbeat.leaving_endpoints:
            view.mark_leaving(item.endpoint_id, incarnation=item.incarnation)

    def _apply_limits(
        self, message: ttypes.Heartbeat | ttypes.LoadChange
    ) -> None:
        """Applies the limits of endpoints that a peer knows.

        A peer of an older build sends none.
        """
        now_s = clock.boottime()
        limits = self._process_state.scheduler.endpoint_limits
        for item in message.limits or ():
            limits.add_peer_report(
                f"{message.node}/{message.incarnation}",
                endpoint_limits.LimitReport(
                    item.endpoint_id,
                    None if item.requests_per_s < 0 else item.requests_per_s,
                    now_s - item.named_ms_ago / 1e3,
                    item.sent_count,
                    item.recent_count,
                ),
                now_s,
            )

    def _encode_version_counts(self) -> list[ttypes.VersionCount]:
        """Returns this process's call counts for all rollouts."""
        return [
            ttypes.VersionCount(
                rollout.order.service,
                rollout.order_version,
                is_new,
                count.sent_count,
                count.ended_count,
                count.failure_count,
                count.total_s,
                *_sum_durations(count),
                routes=_encode_durations(rollout, count),
            )
            for rollout in self._process_state.view.rollouts.list_all()
            for is_new, count in rollout.own_counts.items()
        ]

    def _encode_verdicts(self) -> list[ttypes.Verdict]:
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

    def _apply_rollouts(self, heartbeat: ttypes.Heartbeat) -> None:
        """Applies a peer's call counts and verdicts for rollouts."""
        rollout_registry = self._process_state.view.rollouts
        for rollout in rollout_registry.list_all():
            counts = {
                item.is_new: rollouts.CallCounts(
                    item.sent,
                    item.answers,
                    item.failures,
                    item.total_s,
                    _decode_durations(item),
                )
                for item in heartbeat.versions
                if item.service_name == rollout.order.service
                and item.order_version == rollout.order_version
            }
            if counts:
                rollout.replace_peer_counts(
                    f"{heartbeat.node}/{heartbeat.incarnation}", counts
                )
        for item in heartbeat.verdicts:
            rollout_state = rollouts.RolloutState(item.state)
            rollout_registry.store_verdict(
                item.service_name, item.order_version, rollout_state
            )


def _encode_load(endpoint_id: str, load: loads.Load) -> ttypes.EndpointLoad:
    """Converts this process's load at an endpoint to a Thrift structure."""
    return ttypes.EndpointLoad(
        endpoint_id,
        load.runs,
        load.memory_tokens,
        load.unread_prompt_tokens,
        load.unsaved_runs,
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


def _decode_loads(items: list[ttypes.EndpointLoad]) -> dict[str, loads.Load]:
    """Converts the loads of a message; returns them by endpoint id."""
    return {
        item.endpoint_id: loads.Load(
            item.runs, item.tokens, item.prefill_tokens, item.unsaved_runs
        )
        for item in items
    }


def _encode_prompt_crashes(
    tracker: prompt_crashes.PromptCrashTracker, now_s: float
) -> list[ttypes.PromptCrash]:
    """Converts the crashes that are shared with peers."""
    return [
        ttypes.PromptCrash(
            list(crash.part_ids),
            crash.incarnation,
            _ms_since(crash.crashed_s, now_s),
        )
        for crash in tracker.list_shared_crashes(now_s)
    ]


def _encode_sound_parts(
    tracker: prompt_crashes.PromptCrashTracker, now_s: float
) -> list[ttypes.SoundPart]:
    """Converts the sound parts that are shared with peers."""
    return [
        ttypes.SoundPart(item.part_id, _ms_since(item.sound_s, now_s))
        for item in tracker.list_shared_sound_parts(now_s)
    ]


def _decode_prompt_crashes(
    heartbeat: ttypes.Heartbeat, now_s: float
) -> list[prompt_crashes.PromptCrash]:
    """Converts a peer's crashes; a peer of an older build sends none."""
    return [
        prompt_crashes.PromptCrash(
            tuple(item.part_ids), item.incarnation, now_s - item.ms_ago / 1e3
        )
        for item in heartbeat.prompt_crashes or ()
    ]


def _decode_sound_parts(
    heartbeat: ttypes.Heartbeat, now_s: float
) -> list[prompt_crashes.SoundPart]:
    """Converts a peer's sound parts; a peer of an older build sends none."""
    return [
        prompt_crashes.SoundPart(item.part_id, now_s - item.ms_ago / 1e3)
        for item in heartbeat.sound_parts or ()
    ]


def _sum_durations(count: rollouts.CallCounts) -> tuple[int, float, float]:
    """Returns the sums over all routes, for peers of an older build."""
    total = rollouts.LogDurations()
    for durations in count.durations.values():
        total.add(durations)
    return total.count, total.total, total.square_total


def _encode_durations(
    rollout: rollouts.Rollout, count: rollouts.CallCounts
) -> list[ttypes.RouteDurations]:
    """Converts the durations by route; none are needed after the verdict."""
    if rollout.state is not rollouts.RolloutState.RUNNING:
        return []
    return [
        ttypes.RouteDurations(
            route, durations.count, durations.total, durations.square_total
        )
        for route, durations in count.list_shared_durations().items()
    ]


def _decode_durations(
    item: ttypes.VersionCount,
) -> dict[str, rollouts.LogDurations]:
    """Converts a peer's durations by route.

    A peer of an older build sends those of all routes together, or none.
    """
    if item.routes is not None:
        return {
            entry.route: rollouts.LogDurations(
                entry.timed, entry.log_total, entry.log_square_total
            )
            for entry in item.routes
            if entry.timed
        }
    if not item.timed:
        return {}
    return {
        "": rollouts.LogDurations(
            item.timed, item.log_total or 0.0, item.log_square_total or 0.0
        )
    }


def _ms_since(instant_s: float, now_s: float) -> int:
    """Returns the milliseconds since an instant; -1 for minus infinity."""
    return -1 if instant_s == float("-inf") else int((now_s - instant_s) * 1e3)
