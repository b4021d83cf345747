"""Guards against clients and programs that disagree about a call's outcome."""

import time
import unittest

import programs
import urllib3

from dandelionlead.core import errors
from dandelionlead.platform import api
from dandelionlead.platform import http

_KEY = api.Key("t", "k")
_TIMEOUT_S = 0.3
_FIELDS = {
    "http": "127.0.0.1:1",
    "control": "127.0.0.1:2",
    "availability_zone": "z",
    "state": "live",
}


class PlatformTest(unittest.TestCase):
    def setUp(self):
        context = programs.started("platform_main", "--weight-bytes=1000")
        self.platform = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.transport = http.Transport(
            self.platform.address, timeout_s=_TIMEOUT_S
        )
        self.addCleanup(self.transport.close)
        self.table = http.HttpTable(self.transport)

    def _fault(self, **faults):
        self.platform.json("POST", "/faults", {"reset": True} | faults)

    def _write(self, if_version, value):
        return self.table.transact([api.Write(_KEY, if_version, value)])

    def _value(self):
        row = self.table.read([_KEY])[0]
        return None if row is None else row.value

    def test_commit_conflict_and_delete(self):
        self.assertEqual(self._write(0, {"a": 1}).versions, [1])
        self.assertEqual(self._write(0, {"a": 2}).failed, [0])
        self.assertEqual(self._write(1, None).versions, [0])
        self.assertIsNone(self._value())
        counts = self.platform.json("GET", "/counts")
        self.assertEqual((counts["writes"], counts["conflicts"]), (2, 1))

    def test_lost_answers(self):
        cases = [
            ({"lose_answers": 1}, {"a": 1}, {"a": 1}),
            ({"lose_requests": 1}, None, None),
            ({"lose_answers": 1, "late_commit_s": 0.5}, None, {"a": 1}),
            ({"delay_s": 0.6}, None, {"a": 1}),
        ]
        for fault, at_once, later in cases:
            with self.subTest(fault=fault):
                self._fault()
                row = self.table.read([_KEY])[0]
                if row is not None:
                    self._write(row.version, None)
                self._fault(**fault)
                outcome = self._write(0, {"a": 1})
                self.assertIsInstance(outcome, api.OutcomeUnknown)
                self._fault()
                self.assertEqual(self._value(), at_once)
                time.sleep(0.8)
                self.assertEqual(self._value(), later)

    def test_outage(self):
        self._fault(outage=True)
        self.assertIsInstance(self._write(0, {}), api.Unavailable)
        self.assertIsInstance(self.table.read([_KEY]), errors.Failure)
        listed = http.HttpInstances(self.transport).fetch()
        self.assertIsInstance(listed, errors.Failure)
        self._fault()
        self.assertIsNone(self._value())

    def test_objects_instances_and_weights(self):
        objects = http.HttpObjects(self.transport)
        digest = objects.put(b"data")
        self.assertEqual(objects.get(digest), b"data")
        self._fault(missing_objects=[digest])
        self.assertIsInstance(objects.get(digest), errors.Failure)
        self.platform.json("PUT", "/instances/e1", _FIELDS)
        listed = http.HttpInstances(self.transport).fetch()
        self.assertEqual(
            [(item.name, item.state) for item in listed], [("e1", "live")]
        )
        self.platform.json("DELETE", "/instances/e1")
        self.assertEqual(http.HttpInstances(self.transport).fetch(), [])
        weights = http.HttpWeights(self.transport)
        self.platform.json("PUT", "/weights/big%2Fm", {"bytes": 200_000_000})
        self.assertEqual(weights.fetch("m"), 1000)

    def test_rate_limit_of_weights(self):
        weights = http.HttpWeights(self.transport)
        self.platform.json("PUT", "/weights/a%2Fm", {"bytes": 100_000_000})
        self.assertEqual(weights.fetch("a/m"), 100_000_000)
        refused = weights.fetch("m")
        self.assertEqual(refused.kind, errors.Kind.OVERLOADED)
        self.assertGreaterEqual(refused.retry_after_s, 1.0)


class ServiceTest(unittest.TestCase):
    def setUp(self):
        context = programs.started("service_main")
        self.service = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def _order(self, key):
        headers = {"Idempotency-Key": key, "X-Request-Id": f"req-{key}"}
        return self.service.call("POST", "/orders", {"a": 1}, headers)

    def test_runs_are_counted_whatever_the_answer(self):
        failed = urllib3.exceptions.HTTPError
        cases = [
            ("lose_answers", failed, 1),
            ("truncate", failed, 1),
            ("fail_before", 503, 0),
            ("cross", 200, 1),
            ("delay", 200, 1),
        ]
        for fault, ending, runs in cases:
            with self.subTest(fault):
                change = {fault: 1, "delay_s": 0.1}
                self.service.json("POST", "/faults", change)
                if ending is failed:
                    with self.assertRaises(failed):
                        self._order(fault)
                else:
                    response = self._order(fault)
                    self.assertEqual(response.status, ending)
                    own = response.headers.get("X-Request-Id") == f"req-{fault}"
                    self.assertEqual(own, fault == "delay")
                keys = self.service.json("GET", "/counts")["keys"]
                self.assertEqual(keys.get(fault, 0), runs)


if __name__ == "__main__":
    unittest.main()
