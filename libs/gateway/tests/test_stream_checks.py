"""Tests the order of the events inside one engine's stream.

Guards against a stream in which an event comes twice, comes late or is missing
and that looks whole to its caller (ORDER).
"""

from __future__ import annotations

import unittest

from dandelionlead.core import errors
from dandelionlead.gateway import stream_checks


def _make_events(*event_ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: a\n\n" % number for number in event_ids)


class OrderTest(unittest.TestCase):
    # Last event that the caller has, ids in each read, number of reads that are
    # accepted.
    CASES = (
        (0, ((1, 2, 3), (4,), (5, 6)), 3),
        (7, ((8,), (9, 10)), 2),
        (0, ((1, 2), (2,)), 1),
        (0, ((1, 2), (3, 2)), 1),
        (0, ((1, 2), (1,)), 1),
        (0, ((1, 1),), 0),
        (0, ((1, 2), (4,)), 1),
        (0, ((1, 2, 4),), 0),
        (0, ((1,), (2,), (4,)), 2),
        (7, ((8, 9), (9,)), 1),
        # The pages promise that ids increase, not that they are consecutive.
        (0, ((4,), (8, 12), (16, 17)), 3),
        (0, ((4,), (8, 12), (12,)), 2),
        (0, ((0, 1), (2,)), 2),
    )

    def test_events_out_of_order_are_not_accepted(self) -> None:
        for last_event_id, reads, accepted_count in self.CASES:
            with self.subTest(last_event_id=last_event_id, reads=reads):
                checks = stream_checks.StreamChecks(last_event_id, 400)
                for number, event_ids in enumerate(reads):
                    data = _make_events(*event_ids)
                    result = checks.accept(data)
                    if number >= accepted_count:
                        self.assertIsInstance(result, errors.Failure)
                        break
                    self.assertEqual(result, data)
                    self.assertEqual(checks.last_event_id, event_ids[-1])

    def test_each_engine_numbers_its_stream_anew(self) -> None:
        checks = stream_checks.StreamChecks(0, 400)
        self.assertTrue(checks.accept(_make_events(1, 2)))
        checks.begin_resumed_stream()
        self.assertTrue(checks.accept(_make_events(3)))
        self.assertIsInstance(checks.accept(_make_events(3, 4)), errors.Failure)
        checks.drop_incomplete_event()
        checks.begin_resumed_stream()
        self.assertTrue(checks.accept(_make_events(4, 5)))
        self.assertEqual(checks.event_count, 5)


if __name__ == "__main__":
    unittest.main()
