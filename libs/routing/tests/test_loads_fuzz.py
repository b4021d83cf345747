"""Guards against sums of loads that differ from the loads of the processes.

Oracle: the sum of this process's loads and the loads last received from each
live peer, computed from scratch.
"""

from __future__ import annotations

import unittest

import hypothesis.stateful
from hypothesis import strategies

from dandelionlead.routing import loads

_PEERS = ("p0", "p1", "p2")
_ENDPOINTS = ("e0", "e1")
_EXPIRY_S = 3.0
_peers = strategies.sampled_from(_PEERS)
_endpoints = strategies.sampled_from(_ENDPOINTS)
_load_values = strategies.dictionaries(
    _endpoints,
    strategies.tuples(*[strategies.integers(0, 3)] * 4),
    max_size=2,
)
_LoadValues = dict[str, tuple[int, int, int, int]]


class LoadMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Compares `LoadTracker` with sums that are computed from scratch."""

    def __init__(self) -> None:
        super().__init__()
        self.tracker = loads.LoadTracker()
        self.now_s = 0.0
        self.peer_loads: dict[str, tuple[float, _LoadValues]] = {}
        self.reservations: list[loads.LoadReservation] = []

    @hypothesis.stateful.rule(peer=_peers, values=_load_values)
    def receive_heartbeat(self, peer: str, values: _LoadValues) -> None:
        until_s = self.now_s + _EXPIRY_S
        self.tracker.replace_peer_loads(peer, _create_loads(values), until_s)
        self.peer_loads[peer] = (until_s, dict(values))

    @hypothesis.stateful.rule(peer=_peers, values=_load_values)
    def change_peer_loads(self, peer: str, values: _LoadValues) -> None:
        self._remove_expired()
        self.tracker.sum_load("e0", self.now_s)
        self.tracker.update_peer_loads(peer, _create_loads(values))
        if peer in self.peer_loads:
            self.peer_loads[peer][1].update(values)

    @hypothesis.stateful.rule(
        endpoint_id=_endpoints, tokens=strategies.integers(0, 5)
    )
    def begin_request(self, endpoint_id: str, tokens: int) -> None:
        self.reservations.append(
            self.tracker.reserve(endpoint_id, tokens, tokens)
        )

    @hypothesis.stateful.rule(index=strategies.integers(0, 9))
    def finish_prefill(self, index: int) -> None:
        if self.reservations:
            reservation = self.reservations[index % len(self.reservations)]
            self.tracker.mark_prompt_read(reservation)
            self.tracker.mark_unsaved(reservation)

    @hypothesis.stateful.rule(index=strategies.integers(0, 9))
    def end_request(self, index: int) -> None:
        if self.reservations:
            self.tracker.release(
                self.reservations.pop(index % len(self.reservations))
            )

    @hypothesis.stateful.rule(seconds=strategies.floats(0.0, 2.0))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    def _remove_expired(self) -> None:
        self.peer_loads = {
            peer: entry
            for peer, entry in self.peer_loads.items()
            if self.now_s <= entry[0]
        }

    @hypothesis.stateful.invariant()
    def check_sums(self) -> None:
        self._remove_expired()
        for endpoint_id in _ENDPOINTS:
            expected = [0, 0, 0, 0]
            for _, values in self.peer_loads.values():
                for index, value in enumerate(
                    values.get(endpoint_id, (0,) * 4)
                ):
                    expected[index] += value
            for reservation in self.reservations:
                if reservation.endpoint_id == endpoint_id:
                    reserved_values = (
                        1,
                        reservation.memory_tokens,
                        reservation.unread_prompt_tokens,
                        reservation.unsaved_runs,
                    )
                    for index, value in enumerate(reserved_values):
                        expected[index] += value
            total = self.tracker.sum_load(endpoint_id, self.now_s)
            actual = [
                total.runs,
                total.memory_tokens,
                total.unread_prompt_tokens,
                total.unsaved_runs,
            ]
            assert actual == expected, (endpoint_id, actual, expected)


def _create_loads(values: _LoadValues) -> dict[str, loads.Load]:
    return {
        endpoint_id: loads.Load(*counts)
        for endpoint_id, counts in values.items()
    }


LoadFuzz = LoadMachine.TestCase


if __name__ == "__main__":
    unittest.main()
