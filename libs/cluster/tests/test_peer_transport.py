"""Guards against loads that reach the peers late, out of order or not at all.

Traffic pattern: each of 59 processes sends every change of its load to all
others, and some of the links between them carry 5 Mbit/s. Messages that are too
large fill these links.
"""

from __future__ import annotations

import json
import os
import random
import unittest
from unittest import mock

import eventlet

from dandelionlead.cluster import mirror
from dandelionlead.cluster import peer_transport
from dandelionlead.cluster import roster
from dandelionlead.cluster import table_copier
from dandelionlead.cluster.gen import ttypes
from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.core import metrics

_PORT = 7200
# Five messages of this size per second to each of 58 peers take less than a
# tenth of a link of 5 Mbit/s.
_MAX_LOAD_CHANGE_BYTES = 200
_LIMITS = peer_transport.CopyLimits(idle_timeout_s=1.0, total_timeout_s=1.0)
# The slowest links carry 5 Mbit/s.
_LINK_BYTES_PER_S = 625_000.0
# Time within which a change must be in force at all processes. The tightest
# bound of the users' deployments.
_MAX_SPREAD_S = 2.0


class _RecordingHandler(peer_transport.PeerMessageHandler):
    """Builds messages with a test's loads and records those it receives."""

    def __init__(self, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self.sequence = 0
        self.loads: dict[str, int] = {}
        self.heartbeats: list[ttypes.Heartbeat] = []
        self.changes: list[ttypes.LoadChange] = []

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def build_heartbeat(self) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            node=self.name,
            incarnation=1,
            sequence=self._next_sequence(),
            host=self.host,
            availability_zone="a",
            front=f"{self.host}:80",
            ready=True,
            stopping=False,
            orders_version=1,
            endpoints_version=1,
            confirmed_ms_ago=0,
            endpoints_read_ms_ago=0,
            loads=self._build_loads(set(self.loads)),
            leaving=[],
            crashes=[],
            versions=[],
            verdicts=[],
            known_hosts=[],
            doubtful=[],
        )

    def build_load_change(self, endpoint_ids: set[str]) -> ttypes.LoadChange:
        return ttypes.LoadChange(
            self.name, 1, self._next_sequence(), self._build_loads(endpoint_ids)
        )

    def _build_loads(self, endpoint_ids: set[str]) -> list[ttypes.EndpointLoad]:
        return [
            ttypes.EndpointLoad(name, self.loads.get(name, 0), 4_000, 3_000, 1)
            for name in sorted(endpoint_ids)
        ]

    def handle_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        self.heartbeats.append(heartbeat)

    def handle_load_change(self, change: ttypes.LoadChange) -> None:
        self.changes.append(change)


class _Process:
    """The transport, roster and tables of a process at its own address."""

    def __init__(
        self,
        number: int,
        handler_type: type[_RecordingHandler] = _RecordingHandler,
    ) -> None:
        pid = os.getpid()
        self.host = f"127.{pid % 250 + 2}.{pid // 250 % 250 + 2}.{number}"
        self.handler = handler_type(f"n{number}", self.host)
        self.peer_roster = roster.Roster(self.handler.name, self.host)
        self.table_mirror = mirror.Mirror(
            ("t",), lambda *_: self.transport.schedule_heartbeat()
        )
        log = events.Log(self.handler.name)
        self.transport = peer_transport.PeerTransport(
            (self.host, _PORT),
            self.peer_roster,
            self.table_mirror,
            self.handler,
            log,
            guards.LoopGuard(log, metrics.Registry({})),
        )
        for loop in self.transport.loops():
            eventlet.spawn_n(loop)


class PeerTransportTest(unittest.TestCase):
    """Messages from a sending to a receiving process."""

    def setUp(self) -> None:
        self.sender, self.receiver = _Process(101), _Process(102)
        self.sender.peer_roster.add_hosts([self.receiver.host])
        self.receiver.peer_roster.add_hosts([self.sender.host])
        self.addCleanup(self.sender.transport.close)
        self.addCleanup(self.receiver.transport.close)
        self._wait_until(lambda: self.receiver.handler.heartbeats)

    def _wait_until(self, is_done: object, timeout_s: float = 2.0) -> None:
        deadline_s = clock.boottime() + timeout_s
        while not is_done() and clock.boottime() < deadline_s:
            eventlet.sleep(0.005)
        self.assertTrue(is_done())

    def test_changed_load_is_sent_soon_and_without_other_loads(self) -> None:
        handler = self.sender.handler
        handler.loads = {f"i-{number:010d}": 1 for number in range(20)}
        handler.loads["i-bcd6169dfa"] = 7
        self.sender.transport.schedule_load_change("i-bcd6169dfa")
        scheduled_s = clock.boottime()
        self._wait_until(lambda: self.receiver.handler.changes)
        self.assertLess(clock.boottime() - scheduled_s, 0.1)
        message = self.receiver.handler.changes[0]
        self.assertEqual([item.runs for item in message.loads], [7])
        self.assertLess(
            len(peer_transport.encode(message)), _MAX_LOAD_CHANGE_BYTES
        )

    def test_outdated_or_unknown_load_change_is_rejected(self) -> None:
        peer_roster = self.receiver.peer_roster
        last_sequence = self.receiver.handler.heartbeats[-1].sequence
        cases = (
            (1, last_sequence + 5, True),
            (1, last_sequence + 4, False),
            (2, 99, False),
        )
        for incarnation, sequence, is_accepted in cases:
            change = ttypes.LoadChange("n101", incarnation, sequence, [])
            with self.subTest(incarnation=incarnation, sequence=sequence):
                self.assertEqual(
                    peer_roster.accept_load_change(change), is_accepted
                )
        from_unknown_peer = ttypes.LoadChange("n9", 1, 1, [])
        self.assertFalse(peer_roster.accept_load_change(from_unknown_peer))

    def test_copy_contains_only_changes_unless_deletions_are_missing(
        self,
    ) -> None:
        rows = [mirror.Row(f"k{n}", b"v" * 200, n) for n in range(1, 41)]
        self.sender.table_mirror.replace_table("t", rows, 40, 1.0)
        deletion = mirror.Row("k3", None, 42)
        self.sender.table_mirror.apply_changes("t", [deletion], 42, 2.0)
        cases = ((40, False, ["k3"]), (41, False, ["k3"]), (42, False, []))
        for known_version, is_whole, keys in cases:
            with self.subTest(known_version=known_version):
                table = self.receiver.transport.request_tables(
                    self.sender.host, {"t": known_version}, _LIMITS
                ).tables[0]
                self.assertEqual(table.whole, is_whole)
                self.assertEqual([row.key for row in table.rows], keys)
        resp = self.receiver.transport.request_tables(
            self.sender.host, {"t": 7}, _LIMITS
        )
        self.assertTrue(resp.tables[0].whole)
        self.assertEqual(len(resp.tables[0].rows), 39)


class _CopyingHandler(_RecordingHandler):
    """Starts a copy when a peer's heartbeat lists a newer table."""

    def __init__(self, name: str, host: str) -> None:
        super().__init__(name, host)
        self.table: mirror.Table | None = None
        self.copier: table_copier.TableCopier | None = None

    def build_heartbeat(self) -> ttypes.Heartbeat:
        heartbeat = super().build_heartbeat()
        heartbeat.orders_version = self.table.version
        return heartbeat

    def handle_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        if heartbeat.orders_version > self.table.version:
            self.copier.start_copy(
                heartbeat.host, table_copier.MIN_UPDATE_PAUSE_S
            )


class _Link:
    """Outgoing link of a process, which its connections share evenly."""

    def __init__(self) -> None:
        self._idle_from_s = 0.0

    def send_frame(self, sock: object, data: bytes) -> None:
        """Sends a frame in segments, each after its time on the link."""
        frame = len(data).to_bytes(4, "big") + data
        for start in range(0, len(frame), 4_096):
            segment = frame[start : start + 4_096]
            now_s = clock.boottime()
            self._idle_from_s = (
                max(now_s, self._idle_from_s) + len(segment) / _LINK_BYTES_PER_S
            )
            eventlet.sleep(self._idle_from_s - now_s)
            sock.sendall(segment)


def _make_large_configuration(route_count: int) -> bytes:
    """Returns a configuration of about 200 bytes for each route."""
    rng = random.Random(5)
    routes = [
        {
            "name": f"r-{rng.getrandbits(32):08x}",
            "host": f"{rng.getrandbits(24):06x}.example",
            "path-prefix": f"/{rng.getrandbits(32):08x}/",
            "kind": "idempotent",
            "service": "s-4471",
            "timeout-ms": 1_000,
            "target-latency-ms": 100,
            "max-attempts": 2,
            "priority": 2,
        }
        for _ in range(route_count)
    ]
    return json.dumps({"version": 9, "routes": routes}).encode()


class LargeTableTest(unittest.TestCase):
    """A large table must reach all peers within the bound, over slow links.

    Load pattern: the configuration grows by 1,400 routes, and one process after
    another announces to all others at once that it has the new version.
    """

    def setUp(self) -> None:
        self._links: dict[str, _Link] = {}
        patch = mock.patch.object(
            peer_transport, "_send_frame", self._send_frame
        )
        patch.start()
        self.addCleanup(patch.stop)

    def _send_frame(self, sock: object, data: bytes) -> None:
        host = sock.getsockname()[0]
        self._links.setdefault(host, _Link()).send_frame(sock, data)

    def _start_processes(self, count: int) -> list[_Process]:
        processes = []
        for number in range(1, count + 1):
            process = _Process(number, _CopyingHandler)
            table = process.table_mirror.tables["t"]
            table.version = 1
            process.handler.table = table
            process.handler.copier = table_copier.TableCopier(
                process.table_mirror,
                process.transport,
                events.Log(process.handler.name),
                metrics.Registry({}),
            )
            self.addCleanup(process.transport.close)
            processes.append(process)
        for process in processes:
            process.peer_roster.add_hosts(item.host for item in processes)
        eventlet.sleep(0.6)
        return processes

    # Guards against copies that compete for one slow link, all exceed their
    # time limits and are started again, so that a confirmed configuration is
    # not in force in time.
    def test_grown_configuration_reaches_all_peers_over_slow_links(
        self,
    ) -> None:
        processes = self._start_processes(24)
        value = _make_large_configuration(1_448)
        self.assertGreater(len(value), 250_000)
        first = processes[0]
        first.table_mirror.apply_changes(
            "t", [mirror.Row("config", value, 2)], 2, clock.boottime()
        )
        first.transport.schedule_heartbeat()
        started_s = clock.boottime()
        missing = processes
        while missing and clock.boottime() - started_s < _MAX_SPREAD_S:
            eventlet.sleep(0.02)
            missing = [
                process
                for process in processes
                if process.table_mirror.tables["t"].version < 2
            ]
        self.assertEqual([process.host for process in missing], [])
        for process in processes:
            row = process.table_mirror.tables["t"].rows["config"]
            self.assertEqual(row.value, value)


class ManyPeersTest(unittest.TestCase):
    """Many peers must neither fill the links nor stop being live too early."""

    def test_heartbeat_rate_and_peer_timeout_for_many_peers(self) -> None:
        for peer_count in (6, 58, 399):
            peer_roster = roster.Roster("n", "10.0.0.1")
            peer_roster.add_hosts(
                f"10.1.{n // 250}.{n % 250}" for n in range(peer_count)
            )
            interval_s = peer_roster.heartbeat_interval_s()
            with self.subTest(peer_count=peer_count):
                self.assertLessEqual(peer_count / interval_s, 100)
                self.assertGreaterEqual(peer_roster.peer_timeout_s(), 3 * 0.5)
                self.assertGreaterEqual(
                    peer_roster.peer_timeout_s(), 3 * interval_s
                )


if __name__ == "__main__":
    unittest.main()
