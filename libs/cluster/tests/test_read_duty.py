"""Guards against too many processes that read the store, and too few.

Too many reads overload the store, also when it serves nobody; without any
reader no process receives changes.
"""

from __future__ import annotations

import unittest

from dandelionlead.cluster import read_duty

_MAX_UNREAD_S = 1.2


def _compute_duties(
    count: int, failing: set[str] = frozenset(), unread_s: float = 0.2
) -> dict[str, read_duty.Duty]:
    """Returns the duty of each process by name.

    Args:
        count: Number of processes.
        failing: Names of the processes whose reads have failed.
        unread_s: Seconds since any process has read.
    """
    names = [f"n{number}" for number in range(count)]
    return {
        name: read_duty.compute_duty(
            name,
            [other for other in names if other != name],
            [
                other
                for other in names
                if other != name and other not in failing
            ],
            can_read=name not in failing,
            unread_s=unread_s,
            max_unread_s=_MAX_UNREAD_S,
        )
        for name in names
    }


def _list_readers(duties: dict[str, read_duty.Duty]) -> set[str]:
    return {
        name for name, duty in duties.items() if duty is not read_duty.Duty.IDLE
    }


class ReadDutyTest(unittest.TestCase):
    """Few processes read; others replace them when their reads fail."""

    def test_one_process_is_primary_and_one_is_secondary(self) -> None:
        for count in (4, 59, 400):
            with self.subTest(count=count):
                duties = list(_compute_duties(count).values())
                self.assertEqual(duties.count(read_duty.Duty.PRIMARY), 1)
                self.assertEqual(duties.count(read_duty.Duty.SECONDARY), 1)

    def test_other_processes_take_over_when_readers_fail(self) -> None:
        for count in (4, 59, 400):
            with self.subTest(count=count):
                failing = {
                    name
                    for name, duty in _compute_duties(count).items()
                    if duty.reads_for_all
                }
                duties = list(_compute_duties(count, failing).values())
                self.assertEqual(duties.count(read_duty.Duty.PRIMARY), 1)
                self.assertEqual(duties.count(read_duty.Duty.SECONDARY), 1)

    def test_number_of_readers_does_not_grow_with_processes(self) -> None:
        for count in (59, 400):
            with self.subTest(count=count):
                readers = _list_readers(_compute_duties(count))
                self.assertEqual(len(readers), read_duty.READER_COUNT)

    def test_readers_stay_few_while_the_store_serves_nobody(self) -> None:
        names = {f"n{number}" for number in range(195)}
        tried: set[str] = set()
        for second in range(8):
            for failing in (set(), set(list(names)[::2]), names):
                readers = _list_readers(
                    _compute_duties(195, failing, second + 0.5)
                )
                self.assertLessEqual(
                    len(readers),
                    read_duty.READER_COUNT + read_duty.EXTRA_READER_COUNT,
                )
                self.assertTrue(readers)
                tried |= readers
        # Others are drawn each second, in case the store serves a part only.
        self.assertGreater(len(tried), 12)

    def test_process_that_failed_is_tried_again_later(self) -> None:
        access = read_duty.StoreAccess()
        self.assertTrue(access.is_usable(100.0))
        access.failed_s = 100.0
        self.assertFalse(access.is_usable(105.0))
        self.assertTrue(access.is_usable(100.1 + read_duty.RETRY_AFTER_S))


if __name__ == "__main__":
    unittest.main()
