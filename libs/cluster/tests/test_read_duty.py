"""Guards against too many processes that read the store often, and too few.

Too many reads overload the store; without any reader no process receives
changes.
"""

from __future__ import annotations

import unittest

from dandelionlead.cluster import read_duty

_HEARTBEAT_S = 0.5


def _compute_duties(
    count: int, last_read_ago_s: dict[str, float]
) -> dict[str, read_duty.Duty]:
    """Returns the duty of each process by name.

    Args:
        count: Number of processes.
        last_read_ago_s: Seconds since the last successful read, by name of the
            process; 0.1 for processes that are not listed.
    """
    names = [f"n{number}" for number in range(count)]
    duties = {}
    for name in names:
        peers = [
            read_duty.Candidate(other, last_read_ago_s.get(other, 0.1))
            for other in names
            if other != name
        ]
        duties[name] = read_duty.compute_duty(name, peers, _HEARTBEAT_S)
    return duties


class ReadDutyTest(unittest.TestCase):
    """Few processes read often; others replace them when their reads fail."""

    def test_one_process_is_primary_and_one_is_secondary(self) -> None:
        for count in (4, 59, 400):
            with self.subTest(count=count):
                duties = list(_compute_duties(count, {}).values())
                self.assertEqual(duties.count(read_duty.Duty.PRIMARY), 1)
                self.assertEqual(duties.count(read_duty.Duty.SECONDARY), 1)

    def test_other_processes_take_over_when_both_readers_fail(self) -> None:
        for count in (4, 59):
            with self.subTest(count=count):
                before = _compute_duties(count, {})
                failing = {
                    name: 1.6
                    for name, duty in before.items()
                    if duty.reads_for_all
                }
                after = _compute_duties(count, failing)
                duties = {
                    duty for name, duty in after.items() if name not in failing
                }
                self.assertIn(read_duty.Duty.PRIMARY, duties)
                self.assertIn(read_duty.Duty.SECONDARY, duties)

    def test_number_of_readers_does_not_grow_with_processes(self) -> None:
        for count in (59, 400):
            with self.subTest(count=count):
                duties = list(_compute_duties(count, {}).values())
                idle_count = duties.count(read_duty.Duty.IDLE)
                self.assertEqual(count - idle_count, read_duty.READER_COUNT)

    def test_two_idle_processes_take_over_when_all_readers_fail(self) -> None:
        before = _compute_duties(59, {})
        failing = {
            name: 5.0
            for name, duty in before.items()
            if duty is not read_duty.Duty.IDLE
        }
        after = _compute_duties(59, failing)
        reads_for_all = [
            duty.reads_for_all
            for name, duty in after.items()
            if name not in failing
        ]
        self.assertEqual(reads_for_all.count(True), 2)


if __name__ == "__main__":
    unittest.main()
