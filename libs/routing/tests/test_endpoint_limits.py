"""Guards against endpoints that get more requests than they have named.

Simulates processes that learn of a limit, and of each other's requests, through
messages that take time and may be lost.
"""

from __future__ import annotations

import bisect
import heapq
import random
import unittest

from dandelionlead.routing import endpoint_limits

_STEP_S = 0.002
_DURATION_S = 16.0
# A process tells its peers everything at least this often.
_HEARTBEAT_S = 0.5
# In each window, the endpoint may get this many times what it named, and some
# more.
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5
# Requests of a process count from this long after its first response with the
# limit.
_LEARNING_S = 0.5


class _Cluster:
    """Processes that share the limit of one endpoint.

    Args:
        process_count: Number of processes.
        limit_per_s: Limit that the endpoint names from the start.
        calls_per_s: Calls to all processes together.
        delay_s: Time that a message takes.
        loss: Share of the messages that are lost.
    """

    def __init__(
        self,
        process_count: int,
        limit_per_s: float,
        calls_per_s: float,
        delay_s: float,
        loss: float,
    ) -> None:
        self._limit_per_s = limit_per_s
        self._calls_per_step = calls_per_s * _STEP_S
        self._delay_s = delay_s
        self._loss = loss
        self._rng = random.Random(7)
        self._messages: list[
            tuple[float, int, int, str, endpoint_limits.LimitReport]
        ] = []
        self._message_count = 0
        self._processes: list[endpoint_limits.EndpointLimits] = []
        # Time in seconds of each process's first response with the limit.
        self._learned_s: dict[endpoint_limits.EndpointLimits, float] = {}
        self._start_counts = [0] * process_count
        self._counted_times: list[float] = []
        self.sent_count = 0
        for number in range(process_count):
            self._processes.append(endpoint_limits.EndpointLimits())
            self.restart(number)

    def restart(self, number: int) -> None:
        """Replaces a process by one that knows nothing."""
        process = endpoint_limits.EndpointLimits()
        self._start_counts[number] += 1
        self._processes[number] = process
        process.change_listener = lambda _: self._changed.add(number)
        self._changed: set[int] = set()

    def run(self, restarts: dict[int, tuple[int, ...]]) -> None:
        """Plays the calls; `restarts` has processes by the step."""
        for step in range(int(_DURATION_S / _STEP_S)):
            now_s = step * _STEP_S
            for number in restarts.get(step, ()):
                self.restart(number)
            self._deliver(now_s)
            self._send_calls(now_s)
            if step % int(_HEARTBEAT_S / _STEP_S) == 0:
                self._changed.update(range(len(self._processes)))
            for number in sorted(self._changed):
                self._tell_peers(number, now_s)
            self._changed.clear()

    def count_most_in_window(self) -> int:
        """Returns the most requests in a window of the rule."""
        times = self._counted_times
        return max(
            (
                bisect.bisect_right(times, t + endpoint_limits.WINDOW_S) - i
                for i, t in enumerate(times)
            ),
            default=0,
        )

    def _send_calls(self, now_s: float) -> None:
        calls = int(self._calls_per_step)
        calls += self._rng.random() < self._calls_per_step - calls
        for _ in range(calls):
            process = self._rng.choice(self._processes)
            rank_if_alone = None
            if self._loss == 1.0:
                rank_if_alone = self._processes.index(process)
            if process.compute_wait_s(
                "e", now_s, len(self._processes), rank_if_alone
            ):
                continue
            process.count_sent("e", now_s)
            self.sent_count += 1
            learned_s = self._learned_s.setdefault(process, now_s)
            if now_s - learned_s >= _LEARNING_S:
                self._counted_times.append(now_s)
            process.record_named("e", self._limit_per_s, now_s)

    def _tell_peers(self, number: int, now_s: float) -> None:
        name = f"{number}/{self._start_counts[number]}"
        for report in self._processes[number].list_reports(now_s):
            for other in range(len(self._processes)):
                if other == number or self._rng.random() < self._loss:
                    continue
                self._message_count += 1
                message = (self._message_count, other, name, report)
                heapq.heappush(
                    self._messages, (now_s + self._delay_s, *message)
                )

    def _deliver(self, now_s: float) -> None:
        while self._messages and self._messages[0][0] <= now_s:
            _, _, number, name, report = heapq.heappop(self._messages)
            self._processes[number].add_peer_report(name, report, now_s)


class SharedLimitTest(unittest.TestCase):
    """All processes together keep what the endpoint has named."""

    # Processes, limit, calls per second, delay, loss, least use of the limit.
    CASES = (
        ("few processes", 7, 2.0, 20.0, 0.01, 0.0, 0.8),
        ("a burst", 9, 2.8, 150.0, 0.015, 0.0, 0.8),
        ("less than one a second", 9, 0.3, 20.0, 0.01, 0.0, 0.6),
        ("a high limit", 9, 40.0, 150.0, 0.01, 0.0, 0.8),
        ("many processes before a low limit", 90, 1.0, 70.0, 0.03, 0.0, 0.8),
        ("datagrams are lost", 9, 2.0, 60.0, 0.02, 0.3, 0.6),
        ("no message arrives", 9, 2.0, 60.0, 0.02, 1.0, 0.8),
        ("no message, higher limit", 9, 3.4, 60.0, 0.02, 1.0, 0.8),
        ("a large fleet", 195, 10.0, 80.0, 0.12, 0.05, 0.8),
        ("a large fleet that hears nothing", 195, 5.0, 80.0, 0.0, 1.0, 0.3),
    )

    def test_limit_is_kept_and_used(self) -> None:
        for name, count, limit, calls, delay_s, loss, use in self.CASES:
            with self.subTest(name):
                cluster = _Cluster(count, limit, calls, delay_s, loss)
                cluster.run({})
                self.assertLessEqual(
                    cluster.count_most_in_window(),
                    _LIMIT_FACTOR * limit * endpoint_limits.WINDOW_S
                    + _LIMIT_EXTRA,
                )
                self.assertGreaterEqual(
                    cluster.sent_count, use * limit * _DURATION_S
                )

    def test_limit_is_kept_while_processes_restart(self) -> None:
        """A process that starts knows neither the limit nor the requests."""
        step = int(6.0 / _STEP_S)
        for count, limit, numbers in (
            (7, 2.0, (0, 1)),
            (9, 3.0, tuple(range(9))),
            (59, 1.0, tuple(range(20))),
        ):
            with self.subTest(count=count, restarted=len(numbers)):
                cluster = _Cluster(count, limit, 40.0, 0.01, 0.0)
                cluster.run({step: numbers})
                self.assertLessEqual(
                    cluster.count_most_in_window(),
                    _LIMIT_FACTOR * limit * endpoint_limits.WINDOW_S
                    + _LIMIT_EXTRA,
                )


class NamedLimitTest(unittest.TestCase):
    """What an endpoint stated last holds, whoever has seen it."""

    def test_newest_statement_holds(self) -> None:
        # Own statement and its time, a peer's statement and its time, result.
        cases = (
            (None, 0.0, 2.0, 1.0, 2.0),
            (2.0, 0.0, None, 1.0, None),
            (2.0, 1.0, None, 0.5, 2.0),
            (2.0, 1.0, 3.0, 2.0, 3.0),
        )
        for own, own_s, peers, peers_s, expected in cases:
            with self.subTest(own=own, peers=peers, peers_s=peers_s):
                limits = endpoint_limits.EndpointLimits()
                limits.record_named("e", 9.0, 0.0)
                limits.record_named("e", own, own_s)
                limits.add_peer_report(
                    "p/1",
                    endpoint_limits.LimitReport("e", peers, peers_s, 0, 0),
                    3.0,
                )
                [report] = limits.list_reports(3.0)
                self.assertEqual(report.requests_per_s, expected)

    def test_wait_ends_when_the_window_has_room(self) -> None:
        limits = endpoint_limits.EndpointLimits()
        self.assertEqual(limits.compute_wait_s("e", 0.0, 1), 0.0)
        limits.record_named("e", 0.5, 0.0)
        limits.count_sent("e", 0.0)
        self.assertAlmostEqual(limits.compute_wait_s("e", 0.25, 1), 0.75)
        limits.count_sent("e", 1.0)
        self.assertAlmostEqual(limits.compute_wait_s("e", 2.0, 1), 2.0)
        self.assertEqual(limits.compute_wait_s("e", 4.5, 1), 0.0)


class PauseTest(unittest.TestCase):
    """An endpoint gets nothing from this process while it wants nothing."""

    def test_pause_ends_in_time(self) -> None:
        limits = endpoint_limits.EndpointLimits()
        limits.pause("e", 5.0)
        limits.pause("e", 3.0)
        self.assertEqual(limits.compute_wait_s("e", 2.0, 1), 3.0)
        self.assertEqual(limits.compute_wait_s("f", 2.0, 1), 0.0)
        self.assertEqual(limits.compute_wait_s("e", 5.0, 1), 0.0)

    def test_few_runs_resume_during_a_pause(self) -> None:
        limits = endpoint_limits.EndpointLimits()
        self.assertTrue(limits.try_resume("e", 1.0))
        limits.pause("e", 5.0)
        allowed = [limits.try_resume("e", 2.0) for _ in range(5)]
        # The rule allows two requests.
        self.assertLessEqual(sum(allowed), 2)
        limits.pause("e", 6.0)
        allowed += [limits.try_resume("e", 3.0) for _ in range(5)]
        self.assertLessEqual(sum(allowed), 2)
        self.assertTrue(limits.try_resume("e", 6.0))


if __name__ == "__main__":
    unittest.main()
