"""What one process believes at a moment, for operators."""

from __future__ import annotations

from dandelionlead.cluster import mirror
from dandelionlead.gateway import heartbeats
from dandelionlead.routing import model

_NEVER = float("-inf")


class StateDump:
    """Turns the state of a process into plain fields for JSON.

    Args:
        identity: How peers know the process.
        knowledge: What its parts know.
    """

    def __init__(
        self,
        identity: heartbeats.Identity,
        knowledge: heartbeats.Knowledge,
    ) -> None:
        self._identity = identity
        self._knowledge = knowledge

    def fields(self, now_s: float) -> dict[str, object]:
        """Returns the state; ages are seconds, null for never."""
        has = self._knowledge
        configuration = has.known.configuration
        version = configuration.version if configuration else None
        return {
            "process": self._identity.name,
            "availability_zone": self._identity.availability_zone,
            "ready": has.state.ready(now_s, has.known),
            "stopping": has.state.stopping,
            "configuration_version": version,
            "orders": _table(has.orders, now_s),
            "endpoints_table": _table(has.endpoints, now_s),
            "closed_zones": {
                zone: round(now_s - closed_s, 3)
                for zone, closed_s in has.known.closed_zones.items()
            },
            "rollouts": [
                {
                    "service": rollout.order.service,
                    "version": rollout.order.target_version,
                    "state": rollout.state.value,
                }
                for rollout in has.known.rollouts.all()
            ],
            "endpoints": [
                self._endpoint(endpoint, now_s)
                for endpoint in has.known.endpoints.values()
            ],
            "peers": [
                {
                    "name": peer.heartbeat.node,
                    "availability_zone": peer.heartbeat.availability_zone,
                    "heard_s_ago": round(now_s - peer.heard_s, 3),
                    "ready": peer.heartbeat.ready,
                    "orders_version": peer.heartbeat.orders_version,
                }
                for peer in has.members.live(now_s)
            ],
        }

    def _endpoint(
        self, endpoint: model.Endpoint, now_s: float
    ) -> dict[str, object]:
        has = self._knowledge
        endpoint_id = endpoint.endpoint_id
        load = has.places.loads.total(endpoint_id, now_s)
        failures = has.places.health.failure_share(endpoint_id, now_s)
        return {
            "id": endpoint_id,
            "service": endpoint.service,
            "availability_zone": endpoint.availability_zone,
            "version": endpoint.version,
            "leaving": has.known.is_leaving(endpoint_id),
            "cold_s": round(max(0.0, endpoint.cold_until_s - now_s), 3),
            "paused": has.places.health.paused(endpoint_id, now_s),
            "failure_share": round(failures, 3),
            "runs": load.runs,
            "memory_tokens": load.tokens,
            "unread_prompt_tokens": load.prefill,
            "runs_without_backup": load.unsaved,
        }


def _table(table: mirror.Table, now_s: float) -> dict[str, object]:
    return {
        "version": table.version,
        "changed_version": table.changed_version,
        "confirmed_s_ago": _age(table.confirmed_s, now_s),
        "read_s_ago": _age(table.read_s, now_s),
    }


def _age(at_s: float, now_s: float) -> float | None:
    return None if at_s == _NEVER else round(now_s - at_s, 3)
