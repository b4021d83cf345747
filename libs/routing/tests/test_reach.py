"""Tests which services a process takes for reached, cut off or down.

Guards against two mistakes: a process that reaches no endpoint itself, but has
peers that do, takes the endpoints for down (its callers get errors that its
peers could spare them); and endpoints that nobody reaches look as if a peer
could serve their calls.
"""

from __future__ import annotations

import unittest

from dandelionlead.routing import reach

_SERVICE = "engines"
_ENDPOINTS = tuple(f"e{number}" for number in range(5))
# Time in seconds at which the state is checked.
_NOW_S = 100.0


class _Evidence:
    """What the tracker is given.

    Attributes:
        reached: Times in seconds at which endpoints were reached, by id.
        unreached: Times in seconds at which endpoints were not reached, by id.
        peers: Time in seconds of the message of each peer and the age in
            seconds of its last connection, by name.
    """

    __slots__ = ("reached", "unreached", "peers")

    def __init__(
        self,
        reached: dict[str, float],
        unreached: dict[str, float],
        peers: dict[str, tuple[float, float]],
    ) -> None:
        self.reached = reached
        self.unreached = unreached
        self.peers = peers

    def make_tracker(self) -> reach.ReachTracker:
        """Returns a tracker with this evidence."""
        tracker = reach.ReachTracker()
        for endpoint_id, time_s in self.reached.items():
            tracker.record_reached(endpoint_id, time_s)
        for endpoint_id, time_s in self.unreached.items():
            tracker.record_unreached(endpoint_id, time_s)
        for name, (time_s, age_s) in self.peers.items():
            tracker.replace_peer_reach(name, {_SERVICE: age_s}, time_s)
        return tracker


_MANY_FAIL = {"e0": 99.0, "e1": 99.2, "e2": 99.4, "e3": 99.4}


class AssessTest(unittest.TestCase):
    """Guards against endpoints taken for down by a process that is cut off."""

    CASES = (
        ("nothing was tried", _Evidence({}, {}, {"p": (99.5, 0.1)}), "unknown"),
        ("all is reached", _Evidence({"e0": 99.0}, {}, {}), "reached"),
        (
            "three of five fail, which may be down",
            _Evidence(
                {},
                {"e0": 99.0, "e1": 99.1, "e2": 99.1},
                {"p": (99.9, 0.1)},
            ),
            "unknown",
        ),
        (
            "four fail, a peer reached the service since",
            _Evidence({"e0": 90.0}, _MANY_FAIL, {"p": (99.9, 0.1)}),
            "cut_off",
        ),
        (
            "four fail, one of two peers reached the service since",
            _Evidence({}, _MANY_FAIL, {"p": (99.9, 0.1), "q": (97.0, 30.0)}),
            "cut_off",
        ),
        (
            "an endpoint was reached after four have failed",
            _Evidence({"e4": 99.5}, _MANY_FAIL, {"p": (99.9, 0.1)}),
            "reached",
        ),
        (
            "four fail, a peer reached the service only before",
            _Evidence({"e0": 90.0}, _MANY_FAIL, {"p": (98.0, 0.1)}),
            "down",
        ),
        (
            "four fail, no peer says anything",
            _Evidence({"e0": 90.0}, _MANY_FAIL, {}),
            "down",
        ),
        (
            "the failures are too old, as if probing had ended",
            _Evidence(
                {},
                dict.fromkeys(_ENDPOINTS, 90.0),
                {"p": (99.9, 0.1)},
            ),
            "unknown",
        ),
        (
            "a peer reached the service after the failures began, but long ago",
            _Evidence({}, dict.fromkeys(_ENDPOINTS, 95.5), {"p": (95.6, 0.0)}),
            "down",
        ),
    )

    def test_states(self) -> None:
        for name, evidence, expected in self.CASES:
            with self.subTest(name):
                tracker = evidence.make_tracker()
                state = tracker.assess(_SERVICE, _ENDPOINTS, _NOW_S)
                self.assertEqual(state.value, expected)
                self.assertEqual(
                    tracker.is_cut_off(_SERVICE, _ENDPOINTS, _NOW_S),
                    expected == "cut_off",
                )

    def test_failure_at_the_only_endpoint_is_enough(self) -> None:
        tracker = _Evidence({}, {"e0": 99.5}, {"p": (99.9, 0.1)}).make_tracker()
        self.assertTrue(tracker.is_cut_off(_SERVICE, ("e0",), _NOW_S))

    def test_service_without_endpoints_is_not_cut_off(self) -> None:
        tracker = _Evidence({}, {}, {"p": (99.9, 0.1)}).make_tracker()
        self.assertFalse(tracker.is_cut_off(_SERVICE, (), _NOW_S))

    def test_long_cut_lasts_until_an_endpoint_is_reached(self) -> None:
        """Guards against a process that forgets a cut while it goes on."""
        tracker = reach.ReachTracker()
        for step in range(40):
            now_s = 100.0 + step / 2
            for endpoint_id in _ENDPOINTS[:4]:
                tracker.record_unreached(endpoint_id, now_s)
            tracker.replace_peer_reach("p", {_SERVICE: 0.5}, now_s)
            if step >= 2:
                self.assertTrue(tracker.is_cut_off(_SERVICE, _ENDPOINTS, now_s))
        tracker.record_reached("e4", 120.1)
        self.assertFalse(tracker.is_cut_off(_SERVICE, _ENDPOINTS, 120.1))

    def test_removed_endpoint_is_forgotten(self) -> None:
        tracker = _Evidence({}, _MANY_FAIL, {}).make_tracker()
        tracker.retain({"e0"})
        self.assertTrue(tracker.is_in_doubt(_ENDPOINTS, _NOW_S))
        self.assertFalse(tracker.is_unreached(_ENDPOINTS, _NOW_S))


class ReachingPeersTest(unittest.TestCase):
    """Guards against calls passed on to peers that do not reach the service."""

    def test_peers_are_listed_by_time(self) -> None:
        tracker = reach.ReachTracker()
        tracker.replace_peer_reach("old", {_SERVICE: 6.0}, 99.0)
        tracker.replace_peer_reach("second", {_SERVICE: 1.0}, 99.9)
        tracker.replace_peer_reach("first", {_SERVICE: 0.1}, 99.9)
        tracker.replace_peer_reach("other", {"plain": 0.1}, 99.9)
        tracker.replace_peer_reach("gone", {_SERVICE: 0.1}, 99.9)
        tracker.replace_peer_reach("gone", {}, 99.95)
        self.assertEqual(
            tracker.list_reaching_peers(_SERVICE, _NOW_S), ["first", "second"]
        )


if __name__ == "__main__":
    unittest.main()
