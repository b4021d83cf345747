"""Guards against work for endpoints that are leaving or in a closed zone.

Oracle: the sets of leaving endpoints and closed zones. Leaving notices and
entries arrive late, twice and out of order.
"""

from __future__ import annotations

import unittest

import hypothesis.stateful
from hypothesis import strategies

from dandelionlead.routing import model
from dandelionlead.routing import routing_view

_IDS = ("e0", "e1", "e2")
_ZONES = ("a", "b")
_ids = strategies.sampled_from(_IDS)
_zones = strategies.sampled_from(_ZONES)


class ViewMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Compares `RoutingView` with the notices, entries and orders received."""

    def __init__(self) -> None:
        super().__init__()
        self.view = routing_view.RoutingView()
        self.notified_ids: list[str] = []
        self.view.leaving_listeners.append(self.notified_ids.append)
        self.now_s = 100.0
        self.entries: dict[str, model.Endpoint] = {}
        # Ids and start times of incarnations for which a leaving notice or a
        # draining entry was received.
        self.leaving: set[tuple[str, int]] = set()
        self.closed_s: dict[str, float] = {}
        self.started_unix_ms = dict.fromkeys(_IDS, 1)

    def _zone(self, endpoint_id: str) -> str:
        return _ZONES[_IDS.index(endpoint_id) % 2]

    def _entry(self, endpoint_id: str, draining: bool) -> model.Endpoint:
        return model.Endpoint(
            endpoint_id,
            "s",
            "10.0.0.1",
            1,
            self._zone(endpoint_id),
            draining=draining,
            started_unix_ms=self.started_unix_ms[endpoint_id],
        )

    @hypothesis.stateful.rule(endpoint_id=_ids, draining=strategies.booleans())
    def entry_is_read(self, endpoint_id: str, draining: bool) -> None:
        entry = self._entry(endpoint_id, draining)
        self.view.set_endpoint(entry)
        self.entries[endpoint_id] = entry
        if draining:
            self.leaving.add((endpoint_id, entry.started_unix_ms))

    @hypothesis.stateful.rule(endpoint_id=_ids)
    def entry_is_deleted(self, endpoint_id: str) -> None:
        self.view.remove_endpoint(endpoint_id)
        self.entries.pop(endpoint_id, None)

    @hypothesis.stateful.rule(endpoint_id=_ids)
    def endpoint_restarts(self, endpoint_id: str) -> None:
        self.started_unix_ms[endpoint_id] += 1

    @hypothesis.stateful.rule(endpoint_id=_ids)
    def peer_sends_leaving_notice(self, endpoint_id: str) -> None:
        self.view.mark_leaving(endpoint_id)
        entry = self.entries.get(endpoint_id)
        if entry is not None:
            self.leaving.add((endpoint_id, entry.started_unix_ms))

    @hypothesis.stateful.rule(
        endpoint_id=_ids, starts_ago=strategies.integers(0, 2)
    )
    def peer_names_the_start_that_leaves(
        self, endpoint_id: str, starts_ago: int
    ) -> None:
        """The notice may be late, so that the endpoint has started again."""
        started_unix_ms = self.started_unix_ms[endpoint_id] - starts_ago
        self.view.mark_leaving(
            endpoint_id, incarnation=f"{endpoint_id}@{started_unix_ms}"
        )
        entry = self.entries.get(endpoint_id)
        if entry is not None and entry.started_unix_ms == started_unix_ms:
            self.leaving.add((endpoint_id, started_unix_ms))

    @hypothesis.stateful.invariant()
    def check_that_only_leaving_endpoints_are_left_out(self) -> None:
        open_ids = {
            item.endpoint_id for item in self.view.list_open_endpoints("s")
        }
        for endpoint_id, entry in self.entries.items():
            if (
                self._is_staying(entry)
                and entry.availability_zone not in self.closed_s
            ):
                assert endpoint_id in open_ids, endpoint_id

    @hypothesis.stateful.rule(zone=_zones)
    def zone_is_closed(self, zone: str) -> None:
        self.view.close_zone(zone, self.now_s)
        self.closed_s.setdefault(zone, self.now_s)

    @hypothesis.stateful.rule(zone=_zones)
    def zone_is_opened(self, zone: str) -> None:
        self.view.open_zone(zone)
        self.closed_s.pop(zone, None)

    @hypothesis.stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    def _is_staying(self, entry: model.Endpoint) -> bool:
        return (entry.endpoint_id, entry.started_unix_ms) not in self.leaving

    @hypothesis.stateful.invariant()
    def check_open_endpoints(self) -> None:
        actual = {
            item.endpoint_id for item in self.view.list_open_endpoints("s")
        }
        allowed = {
            endpoint_id
            for endpoint_id, entry in self.entries.items()
            if self._is_staying(entry)
            and entry.availability_zone not in self.closed_s
        }
        assert actual <= allowed, (actual, allowed)

    @hypothesis.stateful.invariant()
    def check_closing_endpoints(self) -> None:
        closing = self.view.list_grace_endpoints("s", self.now_s)
        for entry in closing:
            assert self._is_staying(entry)
            closed_s = self.closed_s.get(entry.availability_zone)
            since_s = 0.0 if closed_s is None else self.now_s - closed_s
            assert since_s < routing_view.ZONE_CLOSING_GRACE_S

    @hypothesis.stateful.invariant()
    def check_usable_zones(self) -> None:
        for entry in self.entries.values():
            closed_s = self.closed_s.get(entry.availability_zone)
            is_past_grace = (
                closed_s is not None
                and self.now_s - closed_s >= routing_view.ZONE_CLOSING_GRACE_S
            )
            assert (
                self.view.is_in_usable_zone(entry, self.now_s)
                is not is_past_grace
            )


ViewFuzz = ViewMachine.TestCase


if __name__ == "__main__":
    unittest.main()
