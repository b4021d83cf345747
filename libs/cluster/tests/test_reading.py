"""Guards against too many processes that read the store often, or none.

Too many reads overload the store; without a reader no process receives
changes.
"""

from __future__ import annotations

import unittest

from dandelionlead.cluster import read_duty

_HEARTBEAT_S = 0.5


def _duties(count: int, ago_s: dict[str, float]) -> dict[str, read_duty.Duty]:
    """Returns the duty of each process by name.

    Args:
        count: Number of processes.
        ago_s: Seconds since the last successful read by name; 0.1 for the rest.
    """
    names = [f"n{number}" for number in range(count)]
    duties = {}
    for name in names:
        peers = [
            read_duty.Candidate(other, ago_s.get(other, 0.1))
            for other in names
            if other != name
        ]
        duties[name] = read_duty.compute_duty(name, peers, _HEARTBEAT_S)
    return duties


class ReadingTest(unittest.TestCase):
    """Readers whose reads the platform rejects must be replaced by others."""

    def test_one_process_has_duty_first_and_one_second(self) -> None:
        for count in (4, 59, 400):
            with self.subTest(count=count):
                duties = list(_duties(count, {}).values())
                self.assertEqual(duties.count(read_duty.Duty.PRIMARY), 1)
                self.assertEqual(duties.count(read_duty.Duty.SECONDARY), 1)

    def test_other_processes_take_over_when_both_readers_fail(self) -> None:
        for count in (4, 59):
            with self.subTest(count=count):
                before = _duties(count, {})
                failing = {
                    name: 1.6
                    for name, duty in before.items()
                    if duty.reads_for_all
                }
                after = _duties(count, failing)
                duties = {
                    duty for name, duty in after.items() if name not in failing
                }
                self.assertIn(read_duty.Duty.PRIMARY, duties)
                self.assertIn(read_duty.Duty.SECONDARY, duties)

    def test_number_of_readers_does_not_grow_with_processes(self) -> None:
        for count in (59, 400):
            with self.subTest(count=count):
                duties = list(_duties(count, {}).values())
                idle = duties.count(read_duty.Duty.IDLE)
                self.assertEqual(count - idle, read_duty.READER_COUNT)

    def test_two_idle_processes_take_over_when_all_readers_fail(self) -> None:
        before = _duties(59, {})
        failing = {
            name: 5.0
            for name, duty in before.items()
            if duty is not read_duty.Duty.IDLE
        }
        after = _duties(59, failing)
        reads_for_all = [
            duty.reads_for_all
            for name, duty in after.items()
            if name not in failing
        ]
        self.assertEqual(reads_for_all.count(True), 2)


if __name__ == "__main__":
    unittest.main()
