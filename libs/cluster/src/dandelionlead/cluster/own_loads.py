"""Numbers the changes of the loads that this process causes."""

from __future__ import annotations

from dandelionlead.cluster import load_replicas
from dandelionlead.cluster import state_handler
from dandelionlead.cluster import timed_limit
from dandelionlead.cluster.gen import ttypes


class Update:
    """One update of a load, with the limit of its endpoint if there is one.

    Attributes:
        process_id: Id of the process that causes the load.
        number: Number of the update among those of that process.
        load: The load.
        limit: Limit of the endpoint as that process knows it, or None.
    """

    __slots__ = ("process_id", "number", "load", "limit")

    def __init__(
        self,
        process_id: int,
        number: int,
        load: ttypes.EndpointLoad,
        limit: timed_limit.TimedLimit | None,
    ) -> None:
        self.process_id = process_id
        self.number = number
        self.load = load
        self.limit = limit


class OwnLoads:
    """Loads of this process, and what the others were told of them.

    Args:
        process_id: Id of this process.
        handler: Provides the loads.

    Attributes:
        number: Number of the last update.
    """

    def __init__(
        self, process_id: int, handler: state_handler.StateHandler
    ) -> None:
        self._process_id = process_id
        self._handler = handler
        self._changed_endpoint_ids: set[str] = set()
        # Loads that were sent last, by endpoint id.
        self._sent_loads: dict[str, ttypes.EndpointLoad] = {}
        self.number = 0

    def has_changes(self) -> bool:
        """Returns whether there may be a change that was not sent."""
        return bool(self._changed_endpoint_ids)

    def note_changed(self, endpoint_id: str) -> None:
        """Notes that the load at an endpoint, or its limit, has changed."""
        self._changed_endpoint_ids.add(endpoint_id)

    def find_changed(self) -> None:
        """Notes the loads of short calls, which are sent in rounds only."""
        loads = {
            load.endpoint_id: load for load in self._handler.list_own_loads()
        }
        self._changed_endpoint_ids |= {
            endpoint_id
            for endpoint_id in loads.keys() | self._sent_loads.keys()
            if loads.get(endpoint_id) != self._sent_loads.get(endpoint_id)
        }

    def take_updates(self, now_s: float) -> list[Update]:
        """Returns the updates of all loads that have changed."""
        endpoint_ids, self._changed_endpoint_ids = (
            self._changed_endpoint_ids,
            set(),
        )
        limits = {
            limit.endpoint_id: timed_limit.TimedLimit(limit, now_s)
            for limit in self._handler.list_own_limits(endpoint_ids, now_s)
        }
        updates = []
        for endpoint_id in endpoint_ids:
            load = self._handler.get_own_load(endpoint_id)
            limit = limits.get(endpoint_id)
            if load == self._sent_loads.get(endpoint_id) and limit is None:
                continue
            self._sent_loads[endpoint_id] = load
            if not load_replicas.has_load(load):
                del self._sent_loads[endpoint_id]
            self.number += 1
            updates.append(Update(self._process_id, self.number, load, limit))
        return updates

    def build_snapshot(self, now_s: float) -> ttypes.LoadSnapshot:
        """Returns all loads as of the last update."""
        return ttypes.LoadSnapshot(
            self._process_id,
            self.number,
            list(self._sent_loads.values()),
            self._handler.list_own_limits(None, now_s),
        )
