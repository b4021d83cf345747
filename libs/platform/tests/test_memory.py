"""Guards against fakes that show a fault other than the planned one."""

import unittest

from dandelionlead.core import errors
from dandelionlead.platform import api
from dandelionlead.platform import memory

_KEY = api.Key("t", "k")


def _write(if_version, value):
    return [api.Write(_KEY, if_version, value)]


class MemoryTableTest(unittest.TestCase):
    def test_faults_and_their_effects(self):
        cases = [
            (memory.Fault.NONE, api.Committed, 1),
            (memory.Fault.OUTAGE, api.Unavailable, 0),
            (memory.Fault.LOST_REQUEST, api.OutcomeUnknown, 0),
            (memory.Fault.LOST_ANSWER, api.OutcomeUnknown, 1),
            (memory.Fault.LATE_COMMIT, api.OutcomeUnknown, 0),
        ]
        for fault, outcome_type, effects in cases:
            with self.subTest(fault=fault):
                table = memory.MemoryTable()
                table.plan(fault)
                outcome = table.transact(_write(0, {"a": 1}))
                self.assertIsInstance(outcome, outcome_type)
                self.assertEqual(len(table.snapshot()), effects)

    def test_late_commit_checks_its_conditions_when_it_takes_effect(self):
        table = memory.MemoryTable()
        table.plan(memory.Fault.LATE_COMMIT, late_by_calls=3)
        table.transact(_write(0, {"by": "late"}))
        self.assertEqual(table.read([_KEY]), [None])
        self.assertIsInstance(
            table.transact(_write(0, {"by": "first"})), api.Committed
        )
        self.assertEqual(table.read([_KEY])[0].value, {"by": "first"})
        self.assertEqual(table.late, 0)

    def test_late_commit_takes_effect_at_the_planned_call(self):
        table = memory.MemoryTable()
        table.plan(memory.Fault.LATE_COMMIT, late_by_calls=2)
        table.transact(_write(0, {"by": "late"}))
        self.assertIsNone(table.read([_KEY])[0])
        self.assertEqual(table.read([_KEY])[0].value, {"by": "late"})

    def test_outage_refuses_reads_and_writes(self):
        table = memory.MemoryTable()
        table.outage = True
        self.assertIsInstance(table.read([_KEY]), errors.Failure)
        self.assertIsInstance(table.transact(_write(0, {})), api.Unavailable)
        self.assertEqual(table.snapshot(), {})


class OtherFakesTest(unittest.TestCase):
    def test_objects(self):
        store = memory.MemoryObjects()
        digest = store.put(b"data")
        self.assertEqual(store.get(digest), b"data")
        store.missing.add(digest)
        self.assertIsInstance(store.get(digest), errors.Failure)

    def test_frozen_instance_list_shows_the_old_rows(self):
        instances = memory.MemoryInstances()
        instances.set(api.Listed("a", "1:1", "1:2", "z", "live"))
        self.assertEqual([item.name for item in instances.fetch()], ["a"])
        instances.frozen = True
        instances.remove("a")
        self.assertEqual([item.name for item in instances.fetch()], ["a"])
        instances.frozen = False
        self.assertEqual(instances.fetch(), [])

    def test_rate_limit_of_weights_is_not_an_outage(self):
        weights = memory.MemoryWeights({"m": 7})
        weights.limited = 1
        self.assertEqual(weights.fetch("m").kind, errors.Kind.OVERLOADED)
        self.assertEqual(weights.fetch("m"), 7)


if __name__ == "__main__":
    unittest.main()
