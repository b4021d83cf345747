"""What a process tells its peers, and what it takes from what they tell."""

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
from dandelionlead.routing import placement
from dandelionlead.routing import rollouts
from dandelionlead.routing import view


class Identity:
    """How peers know this process.

    Attributes:
        name: Name of its instance.
        host: Its address.
        availability_zone: Its zone.
        front: Address for callers, IP:PORT.
        incarnation: Rises with each start.
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
    """What the parts of one process know.

    Attributes:
        known: Orders and endpoints in force.
        places: Loads and crashes.
        state: Whether the process takes work.
        members: The peers.
        orders: Rows of the operator's orders.
        endpoints: Rows of the endpoints.
    """

    __slots__ = ("known", "places", "state", "members", "orders", "endpoints")

    def __init__(
        self,
        known: view.View,
        places: placement.Placement,
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
    """Translates between messages of peers and the state of this process.

    Args:
        identity: How peers know this process.
        knowledge: What its parts know.
        newer: Called with the host of a peer whose tables are newer.
    """

    def __init__(
        self,
        identity: Identity,
        knowledge: Knowledge,
        newer: Callable[[str], None],
    ) -> None:
        self._identity = identity
        self._knowledge = knowledge
        self._newer = newer
        self._sequence = 0

    def describe(self) -> ttypes.Heartbeat:
        """Returns the present heartbeat of this process."""
        self._sequence += 1
        now_s = clock.boottime()
        own, has = self._identity, self._knowledge
        return ttypes.Heartbeat(
            node=own.name,
            incarnation=own.incarnation,
            sequence=self._sequence,
            host=own.host,
            availability_zone=own.availability_zone,
            front=own.front,
            ready=has.state.ready(now_s, has.known),
            stopping=has.state.stopping,
            orders_version=has.orders.changed_version,
            endpoints_version=has.known.endpoints_version,
            confirmed_ms_ago=_ms_ago(has.orders.confirmed_s, now_s),
            endpoints_read_ms_ago=_ms_ago(has.endpoints.read_s, now_s),
            loads=[
                _load(endpoint_id, load)
                for endpoint_id, load in has.places.loads.own().items()
            ],
            leaving=has.known.leaving_ids(),
            crashes=[
                ttypes.CrashMark(fingerprint, endpoint_id)
                for fingerprint, endpoint_id in has.places.crashes.marks(now_s)
            ],
            doubtful=[
                ttypes.EndpointHealth(endpoint_id, seen.answers, seen.failures)
                for endpoint_id, seen in has.places.health.doubtful(
                    now_s
                ).items()
            ],
            versions=self._version_counts(),
            verdicts=self._known_verdicts(),
            known_hosts=peers.known_hosts(has.members),
        )

    def describe_loads(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        """Returns the present loads of some endpoints."""
        self._sequence += 1
        own = self._knowledge.places.loads.own()
        return ttypes.LoadChange(
            node=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=[
                _load(endpoint_id, own.get(endpoint_id) or loads.Load())
                for endpoint_id in endpoint_ids
            ],
        )

    def heard_loads(self, change: ttypes.LoadChange) -> None:
        """Takes a peer's loads that changed."""
        self._knowledge.places.loads.hear_change(
            change.node, _loads(change.loads)
        )

    def heard(self, beat: ttypes.Heartbeat) -> None:
        """Takes a peer's heartbeat."""
        now_s = clock.boottime()
        has = self._knowledge
        has.places.loads.hear(
            beat.node,
            _loads(beat.loads),
            now_s + has.members.silent_limit_s(),
        )
        has.places.health.hear(
            beat.node,
            {
                item.endpoint_id: health.Evidence(item.answers, item.failures)
                for item in beat.doubtful
            },
            now_s + has.members.silent_limit_s(),
        )
        self._hear_rollouts(beat)
        has.places.crashes.hear(
            [(mark.fingerprint, mark.endpoint_id) for mark in beat.crashes],
            now_s,
        )
        for endpoint_id in beat.leaving:
            has.known.leaving(endpoint_id)
        if (
            beat.orders_version > has.orders.version
            or beat.endpoints_version > has.endpoints.version
        ):
            self._newer(beat.host)

    def _version_counts(self) -> list[ttypes.VersionCount]:
        return [
            ttypes.VersionCount(
                rollout.order.service,
                rollout.order_version,
                is_new,
                count.sent,
                count.answers,
                count.failures,
                count.total_s,
            )
            for rollout in self._knowledge.known.rollouts.all()
            for is_new, count in rollout.own.items()
        ]

    def _known_verdicts(self) -> list[ttypes.Verdict]:
        return [
            ttypes.Verdict(
                rollout.order.service,
                rollout.order_version,
                rollout.state.value,
            )
            for rollout in self._knowledge.known.rollouts.all()
            if rollout.state is not rollouts.State.RUNNING
        ]

    def _hear_rollouts(self, beat: ttypes.Heartbeat) -> None:
        """Takes a peer's counts and verdicts."""
        known = self._knowledge.known.rollouts
        for rollout in known.all():
            counts = {
                item.is_new: rollouts.Count(
                    item.sent, item.answers, item.failures, item.total_s
                )
                for item in beat.versions
                if item.service_name == rollout.order.service
                and item.order_version == rollout.order_version
            }
            if counts:
                rollout.hear(f"{beat.node}/{beat.incarnation}", counts)
        for item in beat.verdicts:
            state = rollouts.State(item.state)
            known.settle(item.service_name, item.order_version, state)


def _load(endpoint_id: str, load: loads.Load) -> ttypes.EndpointLoad:
    return ttypes.EndpointLoad(
        endpoint_id, load.runs, load.tokens, load.prefill, load.unsaved
    )


def _loads(items: list[ttypes.EndpointLoad]) -> dict[str, loads.Load]:
    return {
        item.endpoint_id: loads.Load(
            item.runs, item.tokens, item.prefill_tokens, item.unsaved_runs
        )
        for item in items
    }


def _ms_ago(at_s: float, now_s: float) -> int:
    """Returns milliseconds since an instant; -1 if it never was."""
    return -1 if at_s == float("-inf") else int((now_s - at_s) * 1e3)
