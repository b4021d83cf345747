"""Guards against windows that are reported twice with different counts."""

from __future__ import annotations

import unittest

import fake_records

from dandelionlead.core import events
from dandelionlead.duties import lease
from dandelionlead.duties import usage_counts
from dandelionlead.duties import usage_reporting

_WINDOW_S = 5.0
_LATE_S = 10.0
# Start of window 200.
_START_S = 1_000.0


class _Peers(usage_reporting.UsagePeers):
    def __init__(self) -> None:
        self.counts: list[dict[str, int]] | None = [{"t1": 2}, {"t2": 3}]

    def collect(self, window: int) -> list[dict[str, int]] | None:
        return self.counts


class _Receiver(usage_reporting.UsageReceiver):
    def __init__(self) -> None:
        self.sent: list[tuple[int, dict[str, int], int]] = []
        self.results: list[usage_reporting.Report] = []

    def send(
        self, window: int, counts: dict[str, int], token: int
    ) -> usage_reporting.Report:
        self.sent.append((window, counts, token))
        if self.results:
            return self.results.pop(0)
        return usage_reporting.Report.ACCEPTED


class _Process:
    """One process with its part of the duty."""

    def __init__(
        self, name: str, store: fake_records.FakeRecords, receiver: _Receiver
    ) -> None:
        self.now_s = 0.0
        self.counts = usage_counts.UsageCounts(_WINDOW_S)
        self.peers = _Peers()
        self.reporting = usage_reporting.UsageReporting(
            self.counts,
            _LATE_S,
            lease.Lease(store, "lease", name, 3.0),
            store,
            self.peers,
            receiver,
            events.Log(name),
            lambda: self.now_s,
        )

    def run(
        self, from_s: float, to_s: float, first_window: int = 200
    ) -> list[int]:
        """Runs in steps of 0.2 s; returns the windows that were reported."""
        reported = []
        for step in range(int((to_s - from_s) / 0.2) + 1):
            self.now_s = from_s + 0.2 * step
            window = self.reporting.run_once(self.now_s, first_window)
            if window is not None:
                reported.append(window)
        return reported


class UsageReportingTest(unittest.TestCase):
    """Guards single failures."""

    def setUp(self) -> None:
        self.store = fake_records.FakeRecords()
        self.receiver = _Receiver()
        self.first = _Process("a/1", self.store, self.receiver)
        self.second = _Process("b/1", self.store, self.receiver)

    def test_each_window_is_reported_once_with_the_sums(self) -> None:
        self.first.counts.record("t1", _START_S + 1.0)
        self.assertEqual(
            self.first.run(_START_S, _START_S + 24.0), [200, 201, 202, 203]
        )
        self.assertEqual(self.receiver.sent[0][1], {"t1": 3, "t2": 3})
        tokens = [token for _, _, token in self.receiver.sent]
        self.assertEqual(tokens, sorted(tokens))

    def test_window_with_a_missing_peer_waits(self) -> None:
        self.first.peers.counts = None
        self.assertEqual(self.first.run(_START_S, _START_S + 9.0), [])
        self.first.peers.counts = [{"t1": 1}]
        self.assertEqual(self.first.run(_START_S + 9.2, _START_S + 10.0), [200])

    def test_report_without_an_answer_is_repeated_unchanged(self) -> None:
        self.receiver.results = [usage_reporting.Report.UNKNOWN] * 2
        self.first.run(_START_S, _START_S + 9.4)
        self.first.peers.counts = [{"t1": 99}]
        self.first.run(_START_S + 9.6, _START_S + 12.0)
        self.assertGreater(len(self.receiver.sent), 2)
        self.assertEqual({item[0] for item in self.receiver.sent}, {200})
        self.assertEqual(
            {str(item[1]) for item in self.receiver.sent[:3]},
            {str(self.receiver.sent[0][1])},
        )

    def test_next_holder_reports_what_the_first_one_decided(self) -> None:
        self.receiver.results = [usage_reporting.Report.UNKNOWN] * 20
        self.first.run(_START_S, _START_S + 10.4)
        self.assertTrue(self.receiver.sent)
        self.second.peers.counts = [{"t1": 50}]
        self.second.run(_START_S + 10.6, _START_S + 14.8)
        by_window = {}
        for window, counts, _ in self.receiver.sent:
            self.assertEqual(by_window.setdefault(window, counts), counts)
        tokens = {token for _, _, token in self.receiver.sent}
        self.assertGreater(len(tokens), 1)

    def test_lost_answers_of_the_store_decide_once(self) -> None:
        self.store.loses_answers = True
        self.first.run(_START_S, _START_S + 10.8)
        self.assertEqual(len({str(item[1]) for item in self.receiver.sent}), 1)

    def test_windows_before_a_restoration_are_left_to_their_decider(
        self,
    ) -> None:
        number = self.store.number
        self.assertEqual(self.first.run(_START_S, _START_S + 10.4), [200])
        self.store.restore(number)
        self.second.peers.counts = [{"t1": 50}]
        # The second process saw the era begin in window 202.
        self.second.run(_START_S + 10.6, _START_S + 14.8, 202)
        self.assertEqual(len(self.receiver.sent), 1)

    def test_fenced_process_stops(self) -> None:
        self.receiver.results = [usage_reporting.Report.FENCED]
        self.first.run(_START_S, _START_S + 11.0)
        self.assertEqual(len(self.receiver.sent), 1)

    def test_process_that_is_paused_while_it_decides_sends_nothing(
        self,
    ) -> None:
        process = self.first

        class _PausingPeers(_Peers):
            def collect(self, window: int) -> list[dict[str, int]] | None:
                process.now_s += 4.0
                return self.counts

        process.reporting._peers = _PausingPeers()
        process.run(_START_S, _START_S + 9.6)
        self.assertEqual(self.receiver.sent, [])

    def test_late_window_is_not_reported(self) -> None:
        self.assertNotIn(200, self.first.run(_START_S + 15.5, _START_S + 24.0))


class UsageCountsTest(unittest.TestCase):
    """Guards against counts in a wrong window, and without bound."""

    def test_runs_count_in_the_window_in_which_they_began(self) -> None:
        counts = usage_counts.UsageCounts(_WINDOW_S)
        for unix_s in (_START_S, _START_S + 4.999, _START_S + 5.0):
            counts.record("t", unix_s)
        self.assertEqual(counts.get(200), {"t": 2})
        self.assertEqual(counts.get(201), {"t": 1})
        self.assertEqual(counts.get(202), {})

    def test_old_windows_are_dropped(self) -> None:
        counts = usage_counts.UsageCounts(_WINDOW_S)
        for window in range(200, 300):
            counts.record("t", window * _WINDOW_S)
        self.assertEqual(counts.get(200), {})
        self.assertEqual(counts.get(299), {"t": 1})


if __name__ == "__main__":
    unittest.main()
