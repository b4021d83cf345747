"""Guards against more work than a cold engine can handle.

The oracle is what the engine stand-ins count themselves.
"""

import signal
import time
import unittest

import process_case

_ENGINES = ("quotation-1", "quotation-2")
# A cold engine fails generations beyond a tenth of its memory.
_COLD = {"cold_s": "10", "cold_overload": "fail", "cold_memory_share": "0.1"}
# Without new grants after the owner's death (docs/design.md 9), and the time
# of one call, which a caller repeats 0.1 s after a refusal.
_OWNER_GAP_S = 2.0
_CALL_S = 0.2
_COLD_CALLERS = 24
_COLD_S = 10.0
# All grants of the old incarnation are over after this time (design 5.3):
# 2 s of the grant and 1 s until the owner frees it.
_TURNED_S = 3.0


class EndpointsTest(process_case.ProcessCase):
    ENDPOINTS = _ENGINES
    ENGINE_FLAGS = {"step_s": "0.01"}

    @classmethod
    def operators(cls):
        plain = super().operators()
        # The load of the tests of one engine goes to that engine alone.
        plain["endpoints"]["quotation-2"]["state"] = "leaving"
        return plain

    def _restart_engine(self, name, **flags):
        self.deploy.signal(name, signal.SIGKILL)
        self.deploy.wait_end(name, 10)
        given = self.ENGINE_FLAGS | flags
        self.deploy.start_engine(name, **given)
        self.deploy.wait_http(name, f"http://{self.endpoint(name)}/load")

    def _check_cold(self, name):
        counts = self.endpoint_json(name, "/counts")
        print(f"{name} while cold: {counts}")
        self.assertGreater(counts["submitted"], 0)
        self.assertEqual(counts["refused"], 0)
        self.assertEqual(counts["failed"], 0)
        return counts

    def _owner(self, endpoint):
        for name in self.deploy.entries:
            if endpoint in self.deploy.state(name)["owned_endpoints"]:
                return name
        return ""

    def test_engine_restarted_cold_under_load(self):
        _, end = self.load(_COLD_CALLERS, 150)
        time.sleep(2)
        self._restart_engine("quotation-1", **_COLD)
        time.sleep(_COLD_S)
        self._check_cold("quotation-1")
        end()

    def test_owner_killed_while_the_engine_is_cold(self):
        _, end = self.load(_COLD_CALLERS, 150)
        time.sleep(1)
        self._restart_engine("quotation-1", **_COLD)
        time.sleep(2)
        owner = self._owner("quotation-1")
        self.assertTrue(owner, "no entry owns the engine")
        self.deploy.signal(owner, signal.SIGKILL)
        self.addCleanup(self.restart_entry, owner)
        time.sleep(_COLD_S - 2)
        self._check_cold("quotation-1")
        end()

    def test_owner_killed_stops_new_work_for_2_s_at_most(self):
        _, end = self.load(12, 5)
        self.eventually(
            lambda: self.endpoint_json("quotation-1", "/counts")["submitted"],
            15,
            "the engine gets work",
        )
        time.sleep(3)
        owner = self._owner("quotation-1")
        self.deploy.signal(owner, signal.SIGKILL)
        self.addCleanup(self.restart_entry, owner)
        longest_s = 0.0
        ends_at = time.monotonic() + 8
        while time.monotonic() < ends_at:
            counts = self.endpoint_json("quotation-1", "/counts")
            longest_s = max(longest_s, counts["last_submit_s_ago"])
            time.sleep(0.02)
        end()
        print(f"longest time without new work: {longest_s:.2f} s")
        self.assertLess(longest_s, _OWNER_GAP_S + _CALL_S)

    def test_engine_turns_cold_without_warning(self):
        self._restart_engine("quotation-1", cold_memory_share="0.1")
        self.addCleanup(self._restart_engine, "quotation-1")
        # Load that a warm engine bears and a cold one does not.
        _, end = self.load(_COLD_CALLERS * 2, 20)
        self.eventually(
            lambda: (
                self.endpoint_json("quotation-1", "/counts")["submitted"]
                > _COLD_CALLERS * 2
            ),
            15,
            "the engine is under load",
        )
        self.deploy.faults(self.endpoint("quotation-1"), turn_cold_s=6.0)
        turned_at = time.monotonic()
        time.sleep(_TURNED_S)
        at_bound = self.endpoint_json("quotation-1", "/counts")
        time.sleep(max(0.0, turned_at + 6.0 - time.monotonic()))
        counts = self._check_turned(at_bound)
        print(f"after turning cold: {at_bound}, at the end {counts}")
        end()

    def _check_turned(self, at_bound):
        # What ran when it turned cold may be too much; what came later not.
        counts = self.endpoint_json("quotation-1", "/counts")
        self.assertEqual(counts["refused"], at_bound["refused"])
        self.assertGreater(counts["submitted"], at_bound["submitted"])
        return counts


if __name__ == "__main__":
    unittest.main()
