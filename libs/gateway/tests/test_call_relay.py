"""Guards against a wrong choice of the peer that a call is passed on to."""

from __future__ import annotations

import collections
import random
import unittest
from collections.abc import Collection
from unittest import mock

from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes
from dandelionlead.gateway import call_relay
from dandelionlead.routing import model
from dandelionlead.routing import routing_view

_NOW_S = 1_000.0
_SERVICE = "plain"


class FakeReach:
    """States which processes reach the endpoints."""

    def __init__(self) -> None:
        self.is_cut = True
        self.peers: list[str] = []
        self.is_doubtful = False
        self.reached_s = float("-inf")

    def is_cut_off(
        self, service: str, endpoint_ids: list[str], now_s: float
    ) -> bool:
        del service, now_s
        return self.is_cut and bool(endpoint_ids)

    def is_in_doubt(self, endpoint_ids: Collection[str], now_s: float) -> bool:
        del endpoint_ids, now_s
        return self.is_doubtful

    def is_unreached(self, endpoint_ids: Collection[str], now_s: float) -> bool:
        del endpoint_ids, now_s
        return self.is_doubtful

    def get_last_reached_s(self, endpoint_ids: Collection[str]) -> float:
        del endpoint_ids
        return self.reached_s

    def list_reaching_peers(self, service: str, now_s: float) -> list[str]:
        del service, now_s
        return self.peers


class PeerDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = _NOW_S
        patch = mock.patch.object(
            call_relay.clock, "boottime", lambda: self.now_s
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.reach = FakeReach()
        self.roster = roster.Roster("own", "10.0.0.1", "z-a")
        self.view = routing_view.RoutingView()
        self.peers = self.make_directory(7201)

    def make_directory(self, port: int | None) -> call_relay.PeerDirectory:
        return call_relay.PeerDirectory(
            self.reach, self.view, self.roster, "z-a", port, random.Random(1)
        )

    def add_peer(
        self, node: str, zone: str = "z-a", *, stopping: bool = False
    ) -> None:
        """Adds a live peer that reaches the service."""
        state = ttypes.MemberState(
            node=node,
            host=f"10.0.1.{len(self.reach.peers)}",
            availability_zone=zone,
            incarnation=1,
            version=1,
            front="10.0.1.1:8740",
            ready=True,
            stopping=stopping,
        )
        self.roster.accept_state(state, _NOW_S)
        process_id = roster.compute_process_id(node, 1)
        self.roster.note_beat(process_id, _NOW_S)
        self.reach.peers.append(node)

    def choose_node(self) -> str | None:
        peer = self.peers.choose(_SERVICE)
        return None if peer is None else peer.node

    def test_own_zone_comes_first(self) -> None:
        """Guards against bytes between zones that are not needed."""
        self.add_peer("far", "z-b")
        self.assertEqual(self.choose_node(), "far")
        self.add_peer("near")
        self.assertEqual({self.choose_node() for _ in range(20)}, {"near"})

    def test_calls_are_spread(self) -> None:
        """Guards against one peer that gets all calls of a zone."""
        for name in "abcd":
            self.add_peer(name)
        counts = collections.Counter(self.choose_node() for _ in range(400))
        self.assertEqual(len(counts), 4)
        self.assertLess(max(counts.values()), 200)

    def test_unsuitable_peers_are_left_out(self) -> None:
        """Guards against calls to peers that cannot serve them."""
        self.add_peer("stopping", stopping=True)
        self.assertIsNone(self.choose_node())
        self.add_peer("dead")
        self.now_s += roster.INDIRECT_TIMEOUT_S + 1.0
        self.assertIsNone(self.choose_node())

    def test_full_peers_are_left_out_until_a_call_ends(self) -> None:
        """Guards against calls without bound at one peer."""
        for name in "ab":
            self.add_peer(name)
        with mock.patch.object(call_relay, "MAX_CALLS_PER_PEER", 1):
            first = self.peers.choose(_SERVICE)
            with self.peers.hold(first):
                second = self.peers.choose(_SERVICE)
                self.assertNotEqual(first.node, second.node)
                with self.peers.hold(second):
                    self.assertIsNone(self.choose_node())
                self.assertEqual(self.choose_node(), second.node)
        self.assertEqual(self.peers.open_calls, {})

    def test_peer_that_refused_comes_last_for_some_time(self) -> None:
        """Guards against a wait for a dead peer at each call."""
        self.add_peer("far", "z-b")
        self.add_peer("near")
        refusing = self.peers.choose(_SERVICE)
        self.peers.avoid(refusing)
        self.assertEqual(refusing.node, "near")
        self.assertEqual(self.choose_node(), "far")
        self.now_s += 1.01
        self.assertEqual(self.choose_node(), "near")

    def test_only_peer_is_tried_although_it_refused(self) -> None:
        """Guards against a second of refusals after one lost packet."""
        self.add_peer("a")
        self.peers.avoid(self.peers.choose(_SERVICE))
        self.assertEqual(self.choose_node(), "a")
        self.assertIsNone(self.peers.choose(_SERVICE, {"a"}))

    def test_doubt_ends_unless_an_endpoint_was_reached_again(self) -> None:
        """Guards against waits at a service that is down for long."""
        self.assertLess(self.peers.get_doubt_end_s(_SERVICE), self.now_s)
        self.reach.is_doubtful = True
        end_s = self.peers.get_doubt_end_s(_SERVICE)
        self.assertTrue(self.now_s < end_s < self.now_s + 2.0)
        self.now_s += 30.0
        self.assertEqual(self.peers.get_doubt_end_s(_SERVICE), end_s)
        self.reach.reached_s = self.now_s - 1.0
        self.assertGreater(self.peers.get_doubt_end_s(_SERVICE), self.now_s)

    def test_no_peer_without_a_port(self) -> None:
        self.add_peer("a")
        self.assertEqual(self.make_directory(None).list_peers(_SERVICE), [])

    def test_service_without_endpoints_is_not_cut_off(self) -> None:
        """Guards against passing on calls that nobody can serve."""
        self.assertFalse(self.peers.is_cut_off(_SERVICE))
        endpoint = model.Endpoint("e", _SERVICE, "10.0.2.1", 80, "z-a")
        self.view.endpoints["e"] = endpoint
        self.assertTrue(self.peers.is_cut_off(_SERVICE))


if __name__ == "__main__":
    unittest.main()
