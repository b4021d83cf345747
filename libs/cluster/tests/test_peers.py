"""Guards against loads that peers learn late, out of order or not at all.

Load pattern: 59 processes tell each change of a generation to all others;
some of their links carry 5 Mbit/s.
"""

from __future__ import annotations

import os
import unittest

import eventlet

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peers
from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import events

_PORT = 7200
# One 150th of a link of 5 Mbit/s for each of 58 peers, five times a second.
_MOST_LOAD_BYTES = 200


class _Speaker(peers.Speaker):
    def __init__(self, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self.sequence = 0
        self.loads: dict[str, int] = {}
        self.beats: list[ttypes.Heartbeat] = []
        self.changes: list[ttypes.LoadChange] = []

    def _next(self) -> int:
        self.sequence += 1
        return self.sequence

    def describe(self) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            node=self.name,
            incarnation=1,
            sequence=self._next(),
            host=self.host,
            availability_zone="a",
            front=f"{self.host}:80",
            ready=True,
            stopping=False,
            orders_version=1,
            endpoints_version=1,
            confirmed_ms_ago=0,
            endpoints_read_ms_ago=0,
            loads=self._loads(set(self.loads)),
            leaving=[],
            crashes=[],
            versions=[],
            verdicts=[],
            known_hosts=[],
            doubtful=[],
        )

    def describe_loads(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        return ttypes.LoadChange(
            self.name, 1, self._next(), self._loads(endpoint_ids)
        )

    def _loads(self, endpoint_ids: set[str]) -> list[ttypes.EndpointLoad]:
        return [
            ttypes.EndpointLoad(name, self.loads.get(name, 0), 4_000, 3_000, 1)
            for name in sorted(endpoint_ids)
        ]

    def heard(self, beat: ttypes.Heartbeat) -> None:
        self.beats.append(beat)

    def heard_loads(self, change: ttypes.LoadChange) -> None:
        self.changes.append(change)


class _Process:
    def __init__(self, number: int) -> None:
        place = os.getpid()
        self.host = f"127.{place % 250 + 2}.{place // 250 % 250 + 2}.{number}"
        self.speaker = _Speaker(f"n{number}", self.host)
        self.roster = roster.Roster(self.speaker.name, self.host)
        self.tables = mirror.Mirror(("t",), lambda *_: None)
        self.peers = peers.Peers(
            (self.host, _PORT),
            self.roster,
            self.tables,
            self.speaker,
            events.Log(self.speaker.name),
        )
        for loop in self.peers.loops():
            eventlet.spawn_n(loop)


class PeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.first, self.second = _Process(101), _Process(102)
        self.first.roster.add_hosts([self.second.host])
        self.second.roster.add_hosts([self.first.host])
        self.addCleanup(self.first.peers.close)
        self.addCleanup(self.second.peers.close)
        self._wait(lambda: self.second.speaker.beats)

    def _wait(self, done: object, limit_s: float = 2.0) -> None:
        until_s = clock.boottime() + limit_s
        while not done() and clock.boottime() < until_s:
            eventlet.sleep(0.005)
        self.assertTrue(done())

    def test_load_is_told_alone_and_soon(self) -> None:
        speaker = self.first.speaker
        speaker.loads = {f"i-{number:010d}": 1 for number in range(20)}
        speaker.loads["i-bcd6169dfa"] = 7
        self.first.peers.load_changed("i-bcd6169dfa")
        asked_s = clock.boottime()
        self._wait(lambda: self.second.speaker.changes)
        self.assertLess(clock.boottime() - asked_s, 0.1)
        told = self.second.speaker.changes[0]
        self.assertEqual([item.runs for item in told.loads], [7])
        self.assertLess(len(peers.encode(told)), _MOST_LOAD_BYTES)

    def test_change_that_was_overtaken_is_not_taken(self) -> None:
        known = self.second.roster
        last = self.second.speaker.beats[-1].sequence
        table = ((1, last + 5, True), (1, last + 4, False), (2, 99, False))
        for incarnation, sequence, news in table:
            change = ttypes.LoadChange("n101", incarnation, sequence, [])
            with self.subTest(incarnation=incarnation, sequence=sequence):
                self.assertEqual(known.hear_loads(change), news)
        stranger = ttypes.LoadChange("n9", 1, 1, [])
        self.assertFalse(known.hear_loads(stranger))

    def test_copy_brings_changes_alone(self) -> None:
        rows = [mirror.Row(f"k{n}", b"v" * 200, n) for n in range(1, 41)]
        self.first.tables.replace("t", rows, 40, 1.0)
        gone = mirror.Row("k3", None, 42)
        self.first.tables.change("t", [gone], 42, 2.0)
        table = ((40, False, ["k3"]), (41, False, ["k3"]), (42, False, []))
        for known, whole, keys in table:
            with self.subTest(known=known):
                found = self.second.peers.copy(
                    self.first.host, {"t": known}, 1.0
                ).tables[0]
                self.assertEqual(found.whole, whole)
                self.assertEqual([row.key for row in found.rows], keys)
        found = self.second.peers.copy(self.first.host, {"t": 7}, 1.0)
        self.assertTrue(found.tables[0].whole)
        self.assertEqual(len(found.tables[0].rows), 39)


class PaceTest(unittest.TestCase):
    """Heartbeats to many peers fill the links, or peers pass for dead."""

    def test_rate_and_patience(self) -> None:
        for count in (6, 58, 399):
            known = roster.Roster("n", "10.0.0.1")
            known.add_hosts(f"10.1.{n // 250}.{n % 250}" for n in range(count))
            pause_s = known.heartbeat_s()
            with self.subTest(count=count):
                self.assertLessEqual(count / pause_s, 100)
                self.assertGreaterEqual(known.silent_limit_s(), 3 * 0.5)
                self.assertGreaterEqual(known.silent_limit_s(), 3 * pause_s)


if __name__ == "__main__":
    unittest.main()
