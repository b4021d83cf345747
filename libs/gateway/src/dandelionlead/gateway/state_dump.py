"""Converts the state of one process to fields that operators can read."""

from __future__ import annotations

from dandelionlead.cluster import mirror
from dandelionlead.core import store_version
from dandelionlead.gateway import peer_state
from dandelionlead.routing import model

# Instant of an event that has not occurred.
_NO_INSTANT = float("-inf")


class StateDump:
    """Converts the state of a process to fields that JSON can represent.

    Args:
        identity: Names and addresses of the process.
        process_state: Components that hold the state of the process.
    """

    def __init__(
        self,
        identity: peer_state.ProcessIdentity,
        process_state: peer_state.ProcessState,
    ) -> None:
        self._identity = identity
        self._process_state = process_state

    def to_fields(self, now_s: float) -> dict[str, object]:
        """Returns the state as JSON-compatible fields.

        Ages and durations are in seconds. The age of an event that has not
        occurred is None.

        Args:
            now_s: Present instant, in seconds.
        """
        process_state = self._process_state
        configuration = process_state.view.configuration
        version = configuration.version if configuration else None
        return {
            "process": self._identity.name,
            "availability_zone": self._identity.availability_zone,
            "ready": process_state.serving_state.is_ready(
                now_s, process_state.view
            ),
            "stopping": process_state.serving_state.is_stopping,
            "configuration_version": version,
            "orders": _describe_table(process_state.orders_table, now_s),
            "endpoints_table": _describe_table(
                process_state.endpoints_table, now_s
            ),
            "closed_zones": {
                zone: round(now_s - closed_s, 3)
                for zone, closed_s in process_state.view.closed_zones.items()
            },
            "rollouts": [
                {
                    "service": rollout.order.service,
                    "version": rollout.order.target_version,
                    "state": rollout.state.value,
                }
                for rollout in process_state.view.rollouts.list_all()
            ],
            "reach": {
                service: process_state.scheduler.assess_reach(
                    service, now_s
                ).value
                for service in process_state.view.list_service_names()
            },
            "quarantined_prompt_parts": (
                process_state.scheduler.prompt_crash_tracker.list_quarantined(
                    now_s
                )
            ),
            "endpoints": [
                self._describe_endpoint(endpoint, now_s)
                for endpoint in process_state.view.endpoints.values()
            ],
            "peers": [
                {
                    "name": member.state.node,
                    "availability_zone": member.state.availability_zone,
                    "beat_s_ago": round(now_s - member.beat_s, 3),
                    "ready": member.state.ready,
                    "reads_store": member.state.reads_store,
                    "unreached_services": [
                        item.service_name
                        for item in member.state.reach or ()
                        if item.is_unreached
                    ],
                }
                for member in process_state.peer_roster.live_members(now_s)
            ],
        }

    def _describe_endpoint(
        self, endpoint: model.Endpoint, now_s: float
    ) -> dict[str, object]:
        """Returns the load, health and lifecycle state of an endpoint."""
        process_state = self._process_state
        endpoint_id = endpoint.endpoint_id
        load = process_state.scheduler.load_tracker.sum_load(endpoint_id, now_s)
        failure_share = (
            process_state.scheduler.health_tracker.compute_failure_share(
                endpoint_id, now_s
            )
        )
        return {
            "id": endpoint_id,
            "service": endpoint.service,
            "availability_zone": endpoint.availability_zone,
            "version": endpoint.version,
            "leaving": process_state.view.is_leaving(endpoint_id),
            "cold_s": round(max(0.0, endpoint.cold_until_s - now_s), 3),
            "paused": process_state.scheduler.health_tracker.is_paused(
                endpoint_id, now_s
            ),
            "failure_share": round(failure_share, 3),
            "slowness": round(
                process_state.scheduler.endpoint_paces.compute_slowness(
                    endpoint_id, now_s
                ),
                2,
            ),
            "runs": load.runs,
            "memory_tokens": load.memory_tokens,
            "unread_prompt_tokens": load.unread_prompt_tokens,
            "runs_without_backup": load.unsaved_runs,
        }


def _describe_table(table: mirror.Table, now_s: float) -> dict[str, object]:
    """Returns the versions and ages of a replicated table."""
    return {
        "version": store_version.get_number(table.version),
        "era": table.era,
        "unconfirmed_rows": len(table.list_unconfirmed_rows()),
        "changed_version": store_version.get_number(table.last_change_version),
        "confirmed_s_ago": _age_s(table.last_confirmed_s, now_s),
        "read_s_ago": _age_s(table.last_read_s, now_s),
    }


def _age_s(instant_s: float, now_s: float) -> float | None:
    """Returns the seconds since an instant; None for `_NO_INSTANT`."""
    return None if instant_s == _NO_INSTANT else round(now_s - instant_s, 3)
