"""Guards against new work for an engine that leaves.

The oracle is what the engine stand-ins count themselves.
"""

import signal
import time
import unittest

import process_case

_ENGINES = ("quotation-1", "quotation-2")
# From the notice to the last new work (docs/design.md, invariant 8).
_BOUND_S = 4.0


class LeavingTest(process_case.ProcessCase):
    ENDPOINTS = _ENGINES
    ENGINE_FLAGS = {"step_s": "0.01"}

    @classmethod
    def operators(cls):
        plain = super().operators()
        # Entries prefer endpoints of their own zone.
        plain["endpoints"]["quotation-2"]["availability_zone"] = "amman-a"
        return plain

    def _counts(self, name):
        return self.endpoint_json(name, "/counts")

    def test_draining_is_set_and_withdrawn(self):
        replies, end = self.load(24, 50)
        address = self.endpoint("quotation-2")
        self.eventually(
            lambda: self._counts("quotation-2")["submitted"],
            15,
            "the engine gets work",
        )
        self.deploy.faults(address, draining=True)
        time.sleep(_BOUND_S)
        at_bound = self._counts("quotation-2")
        time.sleep(3)
        counts = self._counts("quotation-2")
        self.assertEqual(counts["submitted"], at_bound["submitted"])
        late = counts["last_submit_s_ago"]
        print(f"last work {_BOUND_S + 3 - late:.2f} s after the notice")
        self.deploy.faults(address, draining=False)
        self.eventually(
            lambda: (
                self._counts("quotation-2")["submitted"] > counts["submitted"]
            ),
            15,
            "the engine gets work again",
        )
        end()
        bad = [reply for reply in replies if reply.status != 200]
        self.assertEqual(bad, [])

    def test_engine_is_reclaimed_right_after_its_notice(self):
        self._check_lost_engine(
            lambda: self.deploy.faults(
                self.endpoint("quotation-1"), draining=True, exit_after_s=1.0
            )
        )

    def test_engine_dies_without_notice(self):
        self._check_lost_engine(
            lambda: self.deploy.signal("quotation-1", signal.SIGKILL)
        )

    def _check_lost_engine(self, lose):
        replies, end = self.load(8, 20)
        time.sleep(2)
        lost_at = time.monotonic()
        lose()
        time.sleep(_BOUND_S + 4)
        end()
        bad = [reply for reply in replies if reply.status != 200]
        print(f"{len(bad)} of {len(replies)} calls failed")
        late = [item for item in bad if item.sent_at > lost_at + _BOUND_S]
        self.assertEqual(late, [])
        for reply in bad:
            self.assertTrue(reply.kind, reply)
            self.assertGreater(reply.heard_at, lost_at, reply)
        self.deploy.wait_end("quotation-1", 5)
        self.deploy.start_engine("quotation-1", **self.ENGINE_FLAGS)
        self.deploy.wait_http(
            "quotation-1", f"http://{self.endpoint('quotation-1')}/load"
        )


if __name__ == "__main__":
    unittest.main()
