"""Guards against stand-ins that show another fault than was asked for."""

import hashlib
import unittest

from dandelionlead.standins import engine_control
from dandelionlead.standins import engine_faults
from dandelionlead.standins import faults
from dandelionlead.standins import platform_core
from dandelionlead.standins import prefix_cache
from dandelionlead.standins import service_core
from dandelionlead.standins import tokens


class FaultsTest(unittest.TestCase):
    def test_bad_changes_are_refused_as_a_whole(self):
        active = faults.Faults({"count": 0, "delay_s": 0.0, "on": False})
        cases = [{"other": 1}, {"count": True}, {"on": 1}, {"delay_s": "1"}]
        for change in cases:
            with self.subTest(change=change), self.assertRaises(ValueError):
                active.update({"count": 7} | change)
        self.assertEqual(active["count"], 0)

    def test_reset_and_count_down(self):
        active = faults.Faults({"count": 0, "delay_s": 0.0})
        active.update({"count": 1, "delay_s": 2})
        self.assertTrue(active.take("count"))
        self.assertFalse(active.take("count"))
        active.update({"reset": True, "count": 3})
        self.assertEqual(active.values(), {"count": 3, "delay_s": 0.0})


class EngineFaultsTest(unittest.TestCase):
    def test_failures_meet_their_route_load_and_version_only(self):
        cases = [
            ({}, True),
            ({"failure_route": "r"}, True),
            ({"failure_route": "other"}, False),
            ({"failure_version": "v2"}, False),
            ({"failure_above_running": 2}, True),
            ({"failure_above_running": 3}, False),
        ]
        for change, fails in cases:
            with self.subTest(change=change):
                engine = engine_faults.EngineFaults(1)
                engine.update({"failure_share": 1.0} | change)
                doom = engine.doom(route="r", running=3, version="v1")
                self.assertEqual(doom is engine_faults.Doom.STATUS, fails)

    def test_share_of_failures(self):
        engine = engine_faults.EngineFaults(1)
        engine.update({"failure_share": 0.25, "failure_kind": "mid_stream"})
        dooms = [
            engine.doom(route="", running=0, version="v1") for _ in range(4000)
        ]
        failed = dooms.count(engine_faults.Doom.MID_STREAM)
        self.assertAlmostEqual(failed / 4000, 0.25, delta=0.03)


class ControlTest(unittest.TestCase):
    def test_old_fence_is_refused_only_if_checked(self):
        for checks, state in ((True, "v3"), (False, "v2")):
            with self.subTest(checks=checks):
                control = engine_control.Control(
                    version="v1", role="both", checks_fence=checks
                )
                order = {"order": "version", "name": "v3", "fence": 3}
                self.assertIsNone(control.follow(order))
                late = {"order": "version", "name": "v2", "fence": 2}
                refused = control.follow(late)
                self.assertEqual(refused is not None, checks)
                self.assertEqual(control.state()["version"], state)

    def test_malformed_orders(self):
        control = engine_control.Control(
            version="v1", role="both", checks_fence=True
        )
        good = {"order": "load", "name": "m", "fence": 1}
        for change in ({"order": "x"}, {"name": ""}, {"fence": "1"}):
            with self.subTest(change=change), self.assertRaises(ValueError):
                control.follow(good | change)


class PrefixCacheTest(unittest.TestCase):
    def test_events_are_late_and_have_gaps(self):
        cache = prefix_cache.Cache(100_000, lag_s=2.0, event_loss=0.3, seed=1)
        cache.insert([f"p{index}" for index in range(100)], 10.0)
        self.assertEqual(cache.events(0, 11.9), [])
        seen = [event["seq"] for event in cache.events(0, 12.0)]
        self.assertEqual(seen, sorted(set(seen)))
        self.assertTrue(50 < len(seen) < 90)
        self.assertEqual(cache.events(seen[-1], 12.0), [])

    def test_start_of_a_prefix_outlives_its_end(self):
        size = 3 * tokens.BLOCK_TOKENS
        cache = prefix_cache.Cache(size, lag_s=0.0, event_loss=0.0, seed=1)
        cache.insert(["a1", "a2", "a3"], 0.0)
        cache.insert(["b1"], 0.0)
        self.assertEqual(cache.cached_tokens(["a1", "a2", "a3"]), size * 2 / 3)

    def test_prefix_hashes_agree_up_to_the_first_difference(self):
        block = "x" * tokens.BLOCK_TOKENS * tokens.CHARS_PER_TOKEN
        first = tokens.prefix_hashes(block * 3)
        second = tokens.prefix_hashes(block * 2 + "y" + block[1:])
        self.assertEqual(first[:2], second[:2])
        self.assertNotEqual(first[2], second[2])


class PlatformTest(unittest.TestCase):
    def test_list_lags_and_freezes(self):
        platform = platform_core.Platform(list_lag_s=2.0)
        fields = {
            "http": "1:1",
            "control": "1:2",
            "availability_zone": "z",
            "state": "live",
        }
        platform.instances.set("a", fields, 10.0)
        platform.instances.set("b", fields | {"state": "leaving"}, 11.0)
        cases = [(11.9, False, 0), (12.0, False, 1), (99.0, True, 1)]
        cases.append((99.0, False, 2))
        for now, frozen, count in cases:
            with self.subTest(now=now, frozen=frozen):
                platform.faults.update({"list_frozen": frozen})
                self.assertEqual(len(platform.instances.shown(now)), count)
        with self.assertRaises(ValueError):
            platform.instances.set("c", fields | {"state": "dead"}, 100.0)

    def test_objects_have_their_digest(self):
        platform = platform_core.Platform()
        digest = hashlib.sha256(b"data").hexdigest()
        self.assertFalse(platform.objects.put(digest, b"other"))
        self.assertTrue(platform.objects.put(digest, b"data"))
        platform.faults.update({"missing_objects": [digest]})
        self.assertIsNone(platform.objects.get(digest))

    def test_weights_are_limited_in_rate(self):
        weights = platform_core.Weights(100.0, 1000)
        self.assertEqual(weights.fetch("m", 0.0), 1000)
        self.assertAlmostEqual(weights.fetch("m", 4.0).retry_after_s, 6.0)
        self.assertEqual(weights.fetch("m", 10.0), 1000)


class ServiceTest(unittest.TestCase):
    def test_endings_and_runs(self):
        core = service_core.Core("s")
        core.faults.update({"fail_before": 1, "lose_answers": 1, "cross": 1})
        call = service_core.Call("POST", "/o", "r1", "k1", b"")
        endings = []
        for _ in range(4):
            endings.append(core.begin().value)
            if endings[-1] != "fail_before":
                own = core.execute(call)
        self.assertEqual(
            endings, ["fail_before", "lose_answers", "cross", "answer"]
        )
        self.assertEqual(core.counts()["keys"], {"k1": 3})
        self.assertNotEqual(core.crossed(own).request_id, "r1")


if __name__ == "__main__":
    unittest.main()
