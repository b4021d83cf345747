"""Guards against a reader that waits for a read which is never answered.

Also guards against reads that overload a silent peer, and against further reads
beside a large response that is still arriving.
"""

from __future__ import annotations

import unittest

import eventlet

from dandelionlead.cluster import overlapping_reads
from dandelionlead.core import clock
from dandelionlead.core import errors

_OVERDUE_S = 0.05
_FAILED = errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "refused")


class OverlappingReadsTest(unittest.TestCase):
    """Plays reads that take a given time each, in the order of their starts."""

    def setUp(self) -> None:
        self.open_count = 0
        self.most_open = 0
        self.started_count = 0
        self.is_receiving = False
        self.reads = overlapping_reads.OverlappingReads(
            lambda: self.is_receiving
        )

    def read(
        self, duration_s: float, failure: errors.Failure | None = None
    ) -> errors.Failure | None:
        def read_once() -> errors.Failure | None:
            self.started_count += 1
            self.open_count += 1
            self.most_open = max(self.most_open, self.open_count)
            eventlet.sleep(duration_s)
            self.open_count -= 1
            return failure

        return self.reads.read(read_once, _OVERDUE_S)

    def test_result_of_each_sequence(self) -> None:
        # Durations and failures of the reads, and whether each call succeeds.
        cases = (
            ("prompt", ((0.0, None),), (True,)),
            ("refused", ((0.0, _FAILED), (0.0, None)), (False, True)),
            ("silent, then prompt", ((9.0, None), (0.0, None)), (False, True)),
            ("slow one answers", ((0.08, None), (9.0, None)), (False, True)),
            (
                "an old failure is ignored",
                ((0.08, _FAILED), (0.04, None)),
                (False, True),
            ),
        )
        for name, reads, expected in cases:
            with self.subTest(name):
                self.setUp()
                results = [self.read(*read) is None for read in reads]
                self.assertEqual(tuple(results), expected)

    def test_silent_peer_gets_a_bounded_number_of_reads(self) -> None:
        for _ in range(8):
            self.assertIsNotNone(self.read(9.0))
        self.assertEqual(
            self.started_count, overlapping_reads.MAX_CONCURRENT_READS
        )

    def test_reads_do_not_overlap_after_one_has_succeeded(self) -> None:
        """An overdue read that ends late must not pass for a later one."""
        self.read(0.07)
        self.read(0.04)
        eventlet.sleep(0.04)
        self.most_open = 0
        for _ in range(5):
            started_s = clock.boottime()
            self.assertIsNone(self.read(0.02))
            self.assertGreaterEqual(clock.boottime() - started_s, 0.015)
        self.assertEqual(self.most_open, 1)

    def test_no_further_read_beside_a_large_response(self) -> None:
        self.is_receiving = True
        self.assertIsNone(self.read(4 * _OVERDUE_S))
        self.assertEqual(self.started_count, 1)


if __name__ == "__main__":
    unittest.main()
