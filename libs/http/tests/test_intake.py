"""Guards the choice of what goes when peers make a process hold too much.

The load: crowds that hold bodies open beside ordinary callers, crowds of
connections without a request, and endpoints whose bodies do not end.
"""

from __future__ import annotations

import contextlib
import random
import unittest
from unittest import mock

import eventlet
import greenlet

from dandelionlead.http import caller_accounts
from dandelionlead.http import intake
from dandelionlead.http import intake_memory
from dandelionlead.http import response_account
from dandelionlead.http import turn_pacer

_MEGABYTE = 1_048_576
_CLOCK = "dandelionlead.http.intake.clock.boottime"


class _Callers:
    """Connections of callers at one intake, at a clock of the test."""

    def __init__(self, memory_mb: int, max_descriptors: int = 4_096) -> None:
        self.intake = intake.Intake(memory_mb * _MEGABYTE, max_descriptors)
        self.evicted: list[str] = []
        self.now_s = 0.0
        self._accounts: dict[str, intake_memory.Account] = {}

    def connect(
        self, name: str, host: str = "a"
    ) -> intake_memory.Account | None:
        """Opens a connection and reads it; it ends at once if it must go."""
        with mock.patch(_CLOCK, lambda: self.now_s):
            account = self.intake.open_account(host, lambda: self._end(name))
            if account is not None:
                account.start_waiting()
        self._accounts[name] = account
        return account

    def open_response(self, name: str) -> response_account.ResponseAccount:
        """Begins a response body; it ends at once if it must go."""
        with mock.patch(_CLOCK, lambda: self.now_s):
            account = self.intake.open_response(lambda: self._end(name))
        self._accounts[name] = account
        return account

    def _end(self, name: str) -> None:
        self.evicted.append(name)
        self._accounts[name].close()

    def hold(self, account: intake_memory.Account, megabytes: float) -> bool:
        """Lets a connection hold bytes; returns whether it may."""
        with mock.patch(_CLOCK, lambda: self.now_s):
            try:
                account.hold(int(megabytes * _MEGABYTE))
            except intake_memory.IntakeFullError:
                return False
        return True


class MemoryTest(unittest.TestCase):
    """Guards against a crowd that keeps its room, and others that lose it."""

    def test_largest_and_slowest_request_makes_room(self) -> None:
        # Megabytes and age (s) of three requests; which must go for 1 MB more.
        cases = (
            ((6, 6, 3), (1, 5, 1), ["1"]),
            ((9, 3, 3), (1, 1, 1), ["0"]),
            ((5, 5, 5), (3, 2, 1), ["0"]),
        )
        for sizes, ages_s, expected in cases:
            with self.subTest(sizes=sizes, ages_s=ages_s):
                callers = _Callers(64)
                for number, size in enumerate(sizes):
                    callers.now_s = 10.0 - ages_s[number]
                    account = callers.connect(str(number))
                    self.assertTrue(callers.hold(account, size))
                callers.now_s = 10.0
                self.assertTrue(callers.hold(callers.connect("new"), 1))
                self.assertEqual(callers.evicted, expected)

    def test_request_that_is_served_is_not_evicted(self) -> None:
        callers = _Callers(64)
        served = callers.connect("served")
        self.assertTrue(callers.hold(served, 12))
        served.stop_waiting()
        callers.now_s = 5.0
        self.assertFalse(callers.hold(callers.connect("new"), 6))
        self.assertEqual(callers.evicted, [])

    def test_largest_legal_request_is_held_in_calm(self) -> None:
        callers = _Callers(16)
        callers.intake.allow_request_size(32 * _MEGABYTE)
        self.assertTrue(callers.hold(callers.connect("only"), 33))

    def test_closed_accounts_leave_nothing(self) -> None:
        callers = _Callers(64)
        accounts = [callers.connect(str(number)) for number in range(4)]
        for account in accounts:
            callers.hold(account, 1)
            account.close()
            account.close()
        self.assertEqual(callers.intake.held_bytes, 0)
        self.assertEqual(callers.intake.connection_count, 0)


class LeavingTest(unittest.TestCase):
    """Guards against room that is given away before it is free.

    The load: 120 heads of 1,700 fields in one turn of the loop. Each of them
    closed others, whose memory was free only in the next turn.
    """

    def setUp(self) -> None:
        self.intake = intake.Intake(64 * _MEGABYTE)
        self.old = self.open()
        self.old.hold(12 * _MEGABYTE)
        self.new = self.open()

    def open(self) -> caller_accounts.CallerAccount:
        account = self.intake.open_account("a", lambda: None)
        account.start_waiting()
        return account

    def test_room_is_given_when_the_other_has_ended(self) -> None:
        holding = eventlet.spawn(self.new.hold, 6 * _MEGABYTE)
        eventlet.sleep(0.02)
        self.assertTrue(self.old.is_evicted)
        self.assertFalse(holding.dead)
        self.assertGreater(self.intake.leaving_bytes, 12 * _MEGABYTE)
        self.old.close()
        holding.wait()
        self.assertEqual(self.intake.leaving_bytes, 0)

    def test_request_is_refused_if_the_other_does_not_end(self) -> None:
        with self.assertRaises(intake_memory.IntakeFullError):
            self.new.hold(6 * _MEGABYTE)
        self.assertEqual(self.intake.take_counts().refused_requests, 1)
        self.new.close()
        self.old.close()
        self.assertEqual(self.intake.held_bytes, 0)
        self.assertEqual(self.intake.leaving_bytes, 0)

    def test_small_request_does_not_wait(self) -> None:
        holding = eventlet.spawn(self.new.hold, 6 * _MEGABYTE)
        eventlet.sleep(0.02)
        self.open().hold(10_000)
        self.assertFalse(holding.dead)
        holding.kill()

    def test_one_that_waits_may_have_to_go_itself(self) -> None:
        holding = eventlet.spawn(self.new.hold, 6 * _MEGABYTE)
        eventlet.sleep(0.02)
        self.new.evict()
        with self.assertRaises(intake_memory.IntakeFullError):
            holding.wait()


class LateEndTest(unittest.TestCase):
    """Guards against leaks if connections end some time after they had to go.

    Random callers and responses take and return room, are refused, are closed
    to make room, or are killed while they wait.
    """

    SEED_COUNT = 20
    PEER_COUNT = 30

    def test_what_is_held_is_within_the_limit_and_returned(self) -> None:
        for seed in range(self.SEED_COUNT):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                peers = intake.Intake(64 * _MEGABYTE)
                threads = [
                    eventlet.spawn(
                        self._play, peers, random.Random(rng.random())
                    )
                    for _ in range(self.PEER_COUNT)
                ]
                eventlet.sleep(0.01)
                for thread in rng.sample(threads, 5):
                    thread.kill()
                for thread in threads:
                    with contextlib.suppress(greenlet.GreenletExit):
                        thread.wait()
                self.assertEqual(peers.held_bytes, 0)
                self.assertEqual(peers.leaving_bytes, 0)
                self.assertEqual(peers.connection_count, 0)

    def _play(self, peers: intake.Intake, rng: random.Random) -> None:
        """Takes and returns room for one connection."""
        if rng.random() < 0.5:
            account = peers.open_account(rng.choice("ab"), lambda: None)
            account.start_waiting()
        else:
            account = peers.open_response(lambda: None)
        try:
            for _ in range(5):
                size = rng.choice((0, 0.01, 1, 2, 7)) * _MEGABYTE
                account.hold(int(size))
                if size > intake_memory.CONNECTION_BYTES:
                    self.assertTrue(peers.has_room())
                eventlet.sleep(rng.random() * 0.005)
        except intake_memory.IntakeFullError:
            # Its greenlet ends some time after it had to go.
            eventlet.sleep(rng.random() * 0.01)
        finally:
            account.close()


class ResponseTest(unittest.TestCase):
    """Guards against endpoints whose bodies take the room of all others."""

    def test_largest_and_slowest_makes_room_whoever_holds_it(self) -> None:
        # Megabytes and age (s) of a request and of a response; which must go
        # for a new response that needs 4 MB.
        cases = (
            ((6, 1), (8, 2), ["response"]),
            ((8, 3), (6, 2), ["request"]),
            ((0, 9), (14, 1), ["response"]),
        )
        for request, response, expected in cases:
            with self.subTest(request=request, response=response):
                peers = _Callers(64)
                peers.now_s = 10.0 - request[1]
                self.assertTrue(
                    peers.hold(peers.connect("request"), request[0])
                )
                peers.now_s = 10.0 - response[1]
                account = peers.open_response("response")
                self.assertTrue(peers.hold(account, response[0]))
                peers.now_s = 10.0
                self.assertTrue(peers.hold(peers.open_response("new"), 4))
                self.assertEqual(peers.evicted, expected)

    def test_body_that_does_not_end_makes_room_for_itself(self) -> None:
        peers = _Callers(64)
        endless = peers.open_response("endless")
        self.assertTrue(peers.hold(endless, 15))
        peers.now_s = 1.0
        self.assertFalse(peers.hold(endless, 17))
        endless.close()
        self.assertEqual(peers.intake.held_bytes, 0)
        self.assertEqual(peers.intake.take_counts().cut_responses, 1)

    def test_cut_body_takes_no_more(self) -> None:
        peers = _Callers(64)
        endless = peers.open_response("endless")
        self.assertTrue(peers.hold(endless, 15))
        peers.now_s = 1.0
        self.assertTrue(peers.hold(peers.open_response("new"), 4))
        self.assertFalse(peers.hold(endless, 1))
        self.assertEqual(peers.intake.held_bytes, 4 * _MEGABYTE)

    def test_random_takes_and_returns_leave_nothing(self) -> None:
        for seed in range(50):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        peers = _Callers(64)
        accounts: list[intake_memory.Account] = []
        for step in range(200):
            peers.now_s += rng.random()
            if len(accounts) < 3 or rng.random() < 0.2:
                accounts.append(
                    peers.connect(f"c{step}", rng.choice("ab"))
                    if rng.random() < 0.5
                    else peers.open_response(f"r{step}")
                )
            account = rng.choice(accounts)
            if rng.random() < 0.2:
                account.close()
                accounts.remove(account)
            else:
                peers.hold(account, rng.choice((0, 0.1, 1, 7)))
            self.assertLessEqual(peers.intake.held_bytes, 16 * _MEGABYTE)
            self.assertEqual(
                peers.intake.held_bytes,
                sum(
                    item.held_bytes for item in accounts if not item.is_evicted
                ),
            )
        for account in accounts:
            account.close()
        self.assertEqual(peers.intake.held_bytes, 0)
        self.assertEqual(peers.intake.connection_count, 0)


class ConnectionTest(unittest.TestCase):
    """Guards against connections without a request that shut others out."""

    def test_crowd_of_one_host_makes_room_for_others(self) -> None:
        callers = _Callers(1_024, max_descriptors=220)
        ordinary = callers.connect("ordinary", "b")
        for number in range(9):
            callers.now_s += 1.0
            callers.connect(f"crowd-{number}")
        self.assertIsNotNone(callers.connect("new", "c"))
        self.assertEqual(callers.evicted, ["crowd-0"])
        self.assertFalse(ordinary.is_evicted)

    def test_connection_that_was_not_read_yet_is_not_evicted(self) -> None:
        callers = intake.Intake(1_024 * _MEGABYTE, max_descriptors=220)
        accounts = [callers.open_account("a", lambda: None) for _ in range(10)]
        accounts[9].start_waiting()
        callers.open_account("a", lambda: None)
        self.assertEqual(
            [account.is_evicted for account in accounts], [False] * 9 + [True]
        )

    def test_connection_is_refused_if_all_are_served(self) -> None:
        callers = _Callers(1_024, max_descriptors=220)
        for number in range(10):
            callers.connect(str(number)).stop_waiting()
        self.assertIsNone(callers.connect("new"))
        self.assertEqual(callers.intake.take_counts().refused_connections, 1)
        self.assertTrue(callers.intake.take_counts().is_zero())


class TurnPacerTest(unittest.TestCase):
    """Guards against parsing that takes more than half of the loop."""

    def test_turns_of_many_connections_share_one_half(self) -> None:
        free_s = 0.0
        now_s = 0.0
        for _ in range(100):
            started_s = max(now_s, free_s)
            now_s = started_s + 0.01
            free_s = turn_pacer.compute_free_s(free_s, started_s, now_s)
        self.assertAlmostEqual(free_s, 2.0)


if __name__ == "__main__":
    unittest.main()
