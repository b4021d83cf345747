"""Builds heartbeats from this process's state and applies those of peers.

Heartbeats and load changes are the Thrift messages by which the processes of
one system share loads, health, crashes, termination notices and rollouts.
"""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peers
from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.gateway import standing
from dandelionlead.routing import health
from dandelionlead.routing import loads
from dandelionlead.routing import rollouts
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling


class Identity:
    """Names and addresses by which peers identify this process.

    Attributes:
        name: Name of the instance that the process runs on.
        host: IP address of the instance.
        availability_zone: Availability zone of the instance.
        front: Address for callers, IP:PORT.
        incarnation: Unix milliseconds of the start of the process; higher
            after each restart.
    """

    __slots__ = ("name", "host", "availability_zone", "front", "incarnation")

    def __init__(
        self,
        name: str,
        host: str,
        availability_zone: str,
        front: tuple[str, int],
    ) -> None:
        self.name = name
        self.host = host
        self.availability_zone = availability_zone
        self.front = f"{front[0]}:{front[1]}"
        self.incarnation = int(clock.unix_time() * 1e3)


class Knowledge:
    """References to the components that hold this process's state.

    Attributes:
        known: Configuration and endpoints in force.
        places: Loads, health and crashes of endpoints.
        state: Whether the process accepts calls.
        members: The peers from which heartbeats arrive.
        orders: Replicated table of the operator's orders.
        endpoints: Replicated table of the endpoints.
    """

    __slots__ = ("known", "places", "state", "members", "orders", "endpoints")

    def __init__(
        self,
        known: routing_view.RoutingView,
        places: scheduling.Scheduler,
        state: standing.Standing,
        members: roster.Roster,
        orders: mirror.Table,
        endpoints: mirror.Table,
    ) -> None:
        self.known = known
        self.places = places
        self.state = state
        self.members = members
        self.orders = orders
        self.endpoints = endpoints


class Heartbeats(peers.Speaker):
    """Converts between Thrift messages and the state of this process.

    Args:
        identity: Names and addresses of this process.
        knowledge: Components that hold its state.
        newer: Called with the host of a peer that has a newer table.
    """

    def __init__(
        self,
        identity: Identity,
        knowledge: Knowledge,
        newer: Callable[[str], None],
    ) -> None:
        self._identity = identity
        self._state = knowledge
        self._on_newer_table = newer
        self._sequence = 0

    def describe(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with the present state of this process."""
        self._sequence += 1
        now_s = clock.boottime()
        identity, state = self._identity, self._state
        return ttypes.Heartbeat(
            node=identity.name,
            incarnation=identity.incarnation,
            sequence=self._sequence,
            host=identity.host,
            availability_zone=identity.availability_zone,
            front=identity.front,
            ready=state.state.ready(now_s, state.known),
            stopping=state.state.stopping,
            orders_version=state.orders.changed_version,
            endpoints_version=state.known.endpoints_version,
            confirmed_ms_ago=_ms_since(state.orders.confirmed_s, now_s),
            endpoints_read_ms_ago=_ms_since(state.endpoints.read_s, now_s),
            loads=[
                _encode_load(endpoint_id, load)
                for endpoint_id, load in (
                    state.places.load_tracker.get_own_loads().items()
                )
            ],
            leaving=state.known.list_leaving_ids(),
            crashes=[
                ttypes.CrashMark(fingerprint, endpoint_id)
                for fingerprint, endpoint_id in (
                    state.places.crash_tracker.list_crashes(now_s)
                )
            ],
            doubtful=[
                ttypes.EndpointHealth(
                    endpoint_id, evidence.answers, evidence.failures
                )
                for endpoint_id, evidence in (
                    state.places.health_tracker.get_reportable_evidence(
                        now_s
                    ).items()
                )
            ],
            versions=self._encode_version_counts(),
            verdicts=self._encode_verdicts(),
            known_hosts=peers.known_hosts(state.members),
        )

    def describe_loads(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        """Returns a message with this process's load at some endpoints.

        Args:
            endpoint_ids: Ids of the endpoints.
        """
        self._sequence += 1
        own_loads = self._state.places.load_tracker.get_own_loads()
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
        )

    def heard_loads(self, change: ttypes.LoadChange) -> None:
        """Applies a peer's changed loads."""
        self._state.places.load_tracker.update_peer_loads(
            change.node, _decode_loads(change.loads)
        )

    def heard(self, beat: ttypes.Heartbeat) -> None:
        """Applies a peer's heartbeat.

        Its loads and health count until the peer has been silent for the
        limit of the roster. If the peer has a newer table, the callback
        `newer` is called.
        """
        now_s = clock.boottime()
        state = self._state
        state.places.load_tracker.replace_peer_loads(
            beat.node,
            _decode_loads(beat.loads),
            now_s + state.members.silent_limit_s(),
        )
        state.places.health_tracker.replace_peer_evidence(
            beat.node,
            {
                item.endpoint_id: health.Evidence(item.answers, item.failures)
                for item in beat.doubtful
            },
            now_s + state.members.silent_limit_s(),
        )
        self._apply_rollouts(beat)
        state.places.crash_tracker.add_peer_crashes(
            [(mark.fingerprint, mark.endpoint_id) for mark in beat.crashes],
            now_s,
        )
        for endpoint_id in beat.leaving:
            state.known.mark_leaving(endpoint_id)
        if (
            beat.orders_version > state.orders.version
            or beat.endpoints_version > state.endpoints.version
        ):
            self._on_newer_table(beat.host)

    def _encode_version_counts(self) -> list[ttypes.VersionCount]:
        """Returns this process's call counts of all rollouts."""
        return [
            ttypes.VersionCount(
                rollout.order.service,
                rollout.order_version,
                is_new,
                count.sent_count,
                count.ended_count,
                count.failure_count,
                count.total_s,
            )
            for rollout in self._state.known.rollouts.list_all()
            for is_new, count in rollout.own_counts.items()
        ]

    def _encode_verdicts(self) -> list[ttypes.Verdict]:
        """Returns the results of the rollouts that have ended."""
        return [
            ttypes.Verdict(
                rollout.order.service,
                rollout.order_version,
                rollout.state.value,
            )
            for rollout in self._state.known.rollouts.list_all()
            if rollout.state is not rollouts.State.RUNNING
        ]

    def _apply_rollouts(self, beat: ttypes.Heartbeat) -> None:
        """Applies a peer's call counts and results of rollouts."""
        known_rollouts = self._state.known.rollouts
        for rollout in known_rollouts.list_all():
            counts = {
                item.is_new: rollouts.CallCounts(
                    item.sent, item.answers, item.failures, item.total_s
                )
                for item in beat.versions
                if item.service_name == rollout.order.service
                and item.order_version == rollout.order_version
            }
            if counts:
                rollout.replace_peer_counts(
                    f"{beat.node}/{beat.incarnation}", counts
                )
        for item in beat.verdicts:
            rollout_state = rollouts.State(item.state)
            known_rollouts.store_verdict(
                item.service_name, item.order_version, rollout_state
            )


def _encode_load(endpoint_id: str, load: loads.Load) -> ttypes.EndpointLoad:
    return ttypes.EndpointLoad(
        endpoint_id,
        load.runs,
        load.memory_tokens,
        load.unread_prompt_tokens,
        load.unsaved_runs,
    )


def _decode_loads(items: list[ttypes.EndpointLoad]) -> dict[str, loads.Load]:
    """Returns the loads of a message by endpoint id."""
    return {
        item.endpoint_id: loads.Load(
            item.runs, item.tokens, item.prefill_tokens, item.unsaved_runs
        )
        for item in items
    }


def _ms_since(instant_s: float, now_s: float) -> int:
    """Returns the milliseconds since an instant; -1 for minus infinity."""
    return -1 if instant_s == float("-inf") else int((now_s - instant_s) * 1e3)
