"""Guards against requests that go to a wrong, full or failing endpoint."""

import random
import unittest

from dandelionlead.routing import choice
from dandelionlead.routing import health
from dandelionlead.routing import prefix
from dandelionlead.routing import suspects


def _candidate(name, zone="z1", **fields):
    fields = {"free_units": 100, "limit_units": 100} | fields
    return choice.Candidate(name, zone, **fields)


class EligibleTest(unittest.TestCase):
    def test_each_condition_excludes(self):
        cases = {
            "leaving": _candidate("a", accepts_work=False),
            "ejected": _candidate("a", healthy=False),
            "full": _candidate("a", free_units=9),
            "closed zone": _candidate("a", zone="z2"),
            "zone not listed": _candidate("a", zone="z9"),
            "other version": _candidate("a", version="v2"),
            "tried": _candidate("tried"),
        }
        req = choice.Request(
            "r", 10, version="v1", exclude=frozenset({"tried"})
        )
        zones = {"z1": 1.0, "z2": 0.0}
        for name, item in cases.items():
            with self.subTest(name):
                if name != "other version":
                    item.version = "v1"
                self.assertEqual(choice.eligible(req, [item], zones), [])
        good = _candidate("a", version="v1")
        self.assertEqual(choice.eligible(req, [good], zones), [good])

    def test_share_of_a_version_is_kept_and_grows_monotonously(self):
        ids = [f"r{number}" for number in range(4000)]
        small = {i for i in ids if choice.version_for(i, "a", "b", 0.05) == "b"}
        large = {i for i in ids if choice.version_for(i, "a", "b", 0.5) == "b"}
        self.assertTrue(0.035 < len(small) / len(ids) < 0.065)
        self.assertLessEqual(small, large)

    def test_subset_changes_by_one_member(self):
        names = [f"e{number}" for number in range(500)]
        before = set(choice.subset("entry-1", names))
        gone = sorted(before)[0]
        names.remove(gone)
        after = set(choice.subset("entry-1", names))
        self.assertEqual(len(before & after), choice.SUBSET_SIZE - 1)


class PolicyTest(unittest.TestCase):
    def test_all_policies_take_a_candidate_or_none(self):
        req = choice.Request("r", 1)
        for name, policy in choice.POLICIES.items():
            with self.subTest(name):
                rng = random.Random(1)
                self.assertIsNone(policy().choose(req, [], rng))
                item = _candidate("a")
                self.assertIs(policy().choose(req, [item], rng), item)

    def test_prefix_does_not_overload_its_holder(self):
        req = choice.Request("r", 1)
        holder = _candidate("a", free_units=40, cached_share=1.0)
        other = _candidate("b", free_units=90)
        chosen = choice.Scored().choose(req, [holder, other], random.Random(1))
        self.assertIs(chosen, other)
        holder.free_units = 85
        chosen = choice.Scored().choose(req, [holder, other], random.Random(1))
        self.assertIs(chosen, holder)


class ZoneRampTest(unittest.TestCase):
    def test_time_alone_does_not_raise_the_share(self):
        ramp = choice.ZoneRamp(0.0)
        for now in range(1, 100):
            share = ramp.step(now, 0.01)
        self.assertEqual(share, choice.RAMP_START)
        for now in range(100, 200):
            share = ramp.step(now, 0.5)
        self.assertEqual(share, 1.0)

    def test_a_frozen_entry_does_not_jump(self):
        ramp = choice.ZoneRamp(0.0)
        self.assertLess(ramp.step(1000.0, 1.0), 0.1)


class PrefixTest(unittest.TestCase):
    def setUp(self):
        self.chain = prefix.prefixes("m", "x" * 2000)
        self.picture = prefix.PrefixPicture(prefixes_limit=8)
        self.picture.set_endpoints(["a", "b"])

    def _add(self, seqs, incarnation="i"):
        events = [
            prefix.CacheEvent(seq, self.chain[seq - 1], "add") for seq in seqs
        ]
        self.picture.apply("a", incarnation, events, 0.0)
        self.picture.apply("b", "i", [], 0.0)

    def _shares(self, now=0.0):
        return self.picture.cached_share(self.chain, ["a", "b"], now)

    def test_events_make_shares_and_gaps_drop_them(self):
        self._add([1, 2])
        self.assertEqual(self._shares(), {"a": 0.5, "b": 0.0})
        self._add([4])
        self.assertEqual(self._shares(), {"a": 0.0, "b": 0.0})

    def test_new_incarnation_holds_nothing(self):
        self._add([1, 2])
        self._add([], incarnation="j")
        self.assertEqual(self._shares()["a"], 0.0)

    def test_missing_events_fall_back_to_hashing(self):
        self._add([1, 2])
        shares = self._shares(now=100.0)
        self.assertEqual(sorted(shares.values()), [0.0, 0.5])
        self.assertEqual(shares, self._shares(now=200.0))

    def test_memory_is_bounded(self):
        for number in range(100):
            self.picture.sent("a", [f"p{number}"])
        self.assertEqual(len(self.picture._endpoints["a"].held), 8)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.registry = health.HealthRegistry()
        self.names = [f"e{number}" for number in range(9)]
        self.registry.set_endpoints(self.names)

    def _fail(self, name, now=0.0):
        for _ in range(health.CONNECT_FAILURES_LIMIT):
            self.registry.connect_failed(name, now)

    def test_ejected_endpoint_returns_after_one_probe(self):
        self._fail("e0")
        self.assertFalse(self.registry.usable("e0"))
        self.assertFalse(self.registry.take_probe("e0", 0.5))
        self.assertTrue(self.registry.take_probe("e0", 2.0))
        self.assertFalse(self.registry.take_probe("e0", 2.0))
        self.registry.ended("e0", True, 2.5)
        self.assertTrue(self.registry.usable("e0"))

    def test_failed_probe_ejects_for_longer(self):
        self._fail("e0")
        self.registry.take_probe("e0", 2.0)
        self.registry.ended("e0", False, 2.0)
        self.assertFalse(self.registry.take_probe("e0", 3.5))
        self.assertTrue(self.registry.take_probe("e0", 4.1))

    def test_share_of_ejected_endpoints_is_capped(self):
        for name in self.names:
            self._fail(name)
        self.assertEqual(len(self.registry.ejected()), 3)

    def test_outlier_is_ejected_and_a_common_failure_is_not(self):
        for number in range(health.WINDOW):
            for name in self.names:
                self.registry.ended(name, name != "e1", float(number))
        self.assertEqual(self.registry.ejected(), ["e1"])
        self.registry.set_endpoints([])
        self.registry.set_endpoints(self.names)
        for number in range(health.WINDOW):
            for name in self.names:
                self.registry.ended(name, number % 2 == 0, float(number))
        self.assertEqual(self.registry.ejected(), [])


class SuspectBoundsTest(unittest.TestCase):
    def test_registry_is_bounded_and_evidence_expires(self):
        registry = suspects.SuspectRegistry(pairs_limit=50)
        for number in range(100):
            prints = {f"f{number}-{item}" for item in range(10)}
            registry.crashed(f"e{number}", prints, float(number))
        self.assertEqual(len(registry.export(100.0)), 50)
        self.assertEqual(registry.export(100.0 + suspects.EVIDENCE_S), [])

    def test_quarantine_lasts_an_hour_and_ids_do_not_matter(self):
        print_ = suspects.fingerprint("m", "prompt")
        registry = suspects.SuspectRegistry(settle_s=0.0)
        registry.crashed("e1", {print_}, 0.0)
        registry.crashed("e2", {print_}, 10.0)
        for now, expected in ((20.0, "quarantined"), (3611.0, "free")):
            verdict = registry.verdict(print_, now)
            self.assertEqual(verdict.value, expected)


if __name__ == "__main__":
    unittest.main()
