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

    # Bytes of a stream that resumes after event 3, and what is forwarded of
    # them. None if they do not continue the stream. Then whether the stream
    # may end after them.
    RESUMED = (
        (_make_events(3), b"", True),
        (_make_events(3, 4), _make_events(4), True),
        (_make_events(4), _make_events(4), True),
        (b"", b"", False),
        (b": comment\n\n", None, False),
        (_make_events(3)[:-1], b"", False),
        (_make_events(3, 3), None, False),
        (_make_events(3, 5), None, False),
        (_make_events(2), None, False),
        (_make_events(2, 3), None, False),
        (b"id: 3\ndata: b\n\n", None, False),
    )

    def test_repetition_of_the_last_event_shows_that_none_is_missing(
        self,
    ) -> None:
        """Guards against whole answers that are cut (LOST).

        An engine that has no event to add repeats the last one. Neither an
        empty stream nor any other event shows that it has the run.
        """
        for data, forwarded, may_end in self.RESUMED:
            for reads in ((data,), (data[:9], data[9:])):
                with self.subTest(reads):
                    checks = stream_checks.StreamChecks(0, 400)
                    checks.accept(_make_events(1, 2, 3))
                    checks.begin_resumed_stream()
                    results = [checks.accept(part) for part in reads]
                    if forwarded is None:
                        self.assertIsInstance(results[-1], errors.Failure)
                        self.assertEqual(checks.event_count, 3)
                        continue
                    self.assertEqual(b"".join(results), forwarded)
                    count = 3 + forwarded.count(b"id: ")
                    self.assertEqual(checks.event_count, count)
                    self.assertEqual(checks.last_event_id, count)
                    failure = checks.find_truncation(ends_with_connection=False)
                    self.assertEqual(failure is None, may_end)

    # How the stream of the first engine ended (None if it broke off), how the
    # resumed one, which has no event, did, and whether that may be the end.
    EMPTY_RESUMED = (
        ("mark", "mark", True),
        ("mark", "connection", False),
        ("connection", "mark", False),
        ("connection", "connection", False),
        (None, "mark", False),
    )

    def test_empty_resumed_stream_confirms_a_marked_end_alone(self) -> None:
        """Guards against whole answers that are cut, and against cut ones."""
        for first_end, second_end, may_end in self.EMPTY_RESUMED:
            for event_id in (2, 3):
                with self.subTest((first_end, second_end), event_id=event_id):
                    checks = stream_checks.StreamChecks(0, 400)
                    checks.accept(_make_events(1))
                    if first_end is not None:
                        checks.find_truncation(
                            ends_with_connection=first_end == "connection"
                        )
                    checks.begin_resumed_stream()
                    if event_id == 3:
                        # The end was not that of the generation.
                        checks.accept(_make_events(2))
                        checks.begin_resumed_stream()
                    failure = checks.find_truncation(
                        ends_with_connection=second_end == "connection"
                    )
                    self.assertEqual(failure is None, may_end and event_id == 2)

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
