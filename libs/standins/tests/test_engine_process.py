"""Guards against an engine program that differs from the design page."""

import re
import time
import unittest

import programs
import urllib3

from dandelionlead.standins import tokens

_EVENT = re.compile(rb"id: ([^\n]+):(\d+)\ndata: ([^\n]+)\n\n")
_CHAT = "/v1/chat/completions"
_TEXT = "/v1/completions"
_POLL_S = 0.05
_WAIT_S = 10.0


def _body(count, **fields):
    return {"prompt": "hello", "standin_tokens": count, "stream": True} | fields


def _ids(data):
    return [
        (name.decode(), int(position))
        for name, position, _ in _EVENT.findall(data)
    ]


def _expected(name, first, last):
    return [(name, position) for position in range(first, last + 1)]


class EngineTest(unittest.TestCase):
    def setUp(self):
        context = programs.started(
            "engine_main",
            "--load-lag-s=0",
            "--step-s=0.01",
            "--no-checks-fence",
        )
        self.engine = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def _post(self, name, body, path=_TEXT, route="r", **options):
        headers = {
            "X-Request-Id": f"req-{name}",
            "X-Generation-Id": name,
            "X-Route": route,
        }
        return self.engine.call("POST", path, body, headers, **options)

    def _attach(self, name, after=0, **options):
        path = f"/v1/generations/{name}?after={after}"
        return self.engine.call("GET", path, **options)

    def _read_until_cut(self, response):
        data = b""
        with self.assertRaises(urllib3.exceptions.HTTPError):
            while part := response.read1():
                data += part
        return data

    def _wait_for(self, condition):
        until = time.monotonic() + _WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), until)
            time.sleep(_POLL_S)

    def test_stream_and_attached_streams_are_complete(self):
        response = self._post("g1", _body(20), preload_content=False)
        self.assertEqual(response.headers["X-Request-Id"], "req-g1")
        self.assertEqual(response.headers["X-Version"], "v1")
        parts = []
        while part := response.read1():
            parts.append(part)
        # Each token is sent at once.
        self.assertGreater(len(parts), 15)
        self.assertEqual(_ids(b"".join(parts)), _expected("g1", 1, 21))
        texts = re.findall(rb'"text":"([^"]*)"', b"".join(parts))
        self.assertEqual(b"".join(texts).decode(), tokens.output_text("g1", 20))
        for after in (0, 7, 20):
            data = self._attach("g1", after).data
            self.assertEqual(_ids(data), _expected("g1", after + 1, 21))
        self.assertEqual(self._attach("g1", 21).data, b"")
        self.assertEqual(self._attach("unknown").status, 404)

    def test_complete_answer(self):
        answer = self._post("g1", _body(3, stream=False), _CHAT).json()
        content = answer["choices"][0]["message"]["content"]
        self.assertEqual(content, tokens.output_text("g1", 3))
        self.assertEqual(answer["usage"]["completion_tokens"], 3)

    def test_silent_connection_and_attaching_again(self):
        response = self._post(
            "g1",
            _body(20, standin_silent_after=2),
            preload_content=False,
            timeout=0.5,
        )
        data = self._read_until_cut(response)
        self.assertEqual(_ids(data), _expected("g1", 1, 2))
        data = self._attach("g1", 2).data
        self.assertEqual(_ids(data), _expected("g1", 3, 21))

    def test_protocol_faults(self):
        cases = [
            ("duplicate", [1, 2, 2, 3, 4]),
            ("skip", [1, 3, 4]),
            ("cross", [1, 2, 3, 4]),
        ]
        for kind, positions in cases:
            with self.subTest(kind):
                fault = {"protocol": kind, "protocol_position": 2}
                fault["protocol_count"] = 1
                self.engine.json("POST", "/faults", fault)
                found = _ids(self._post(kind, _body(3)).data)
                self.assertEqual([item[1] for item in found], positions)
                others = [item for item in found if item[0] != kind]
                self.assertEqual(bool(others), kind == "cross")
                data = self._attach(kind).data
                self.assertEqual(_ids(data), _expected(kind, 1, 4))

    def test_truncated_stream_and_answer(self):
        fault = {"protocol": "truncate", "protocol_position": 2}
        fault["protocol_count"] = 2
        self.engine.json("POST", "/faults", fault)
        response = self._post("g1", _body(3), preload_content=False)
        data = self._read_until_cut(response)
        self.assertEqual(_ids(data), _expected("g1", 1, 1))
        self.assertGreater(len(data.partition(b"\n\n")[2]), 0)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self._post("g2", _body(3, stream=False))

    def test_cancel_ends_the_stream(self):
        response = self._post("g1", _body(10_000), preload_content=False)
        response.read1()
        deleted = self.engine.call("DELETE", "/v1/generations/g1")
        self.assertEqual(deleted.status, 200)
        self._read_until_cut(response)
        self.assertEqual(self._attach("g1").status, 404)
        self.assertEqual(self.engine.json("GET", "/load")["memory_used"], 0)

    def test_reader_that_left_is_reported(self):
        response = self._post("g1", _body(10_000), preload_content=False)
        response.read1()
        shown = self.engine.json("GET", "/load")["generations"][0]
        self.assertEqual(shown["attached"], 1)
        self.assertEqual(shown["request_id"], "req-g1")
        response.close()
        self._wait_for(
            lambda: (
                self.engine.json("GET", "/load")["generations"][0]["attached"]
                == 0
            )
        )

    def test_failures_of_one_route(self):
        fault = {"failure_share": 1.0, "failure_route": "bad"}
        self.engine.json("POST", "/faults", fault)
        self.assertEqual(self._post("g1", _body(3), route="bad").status, 500)
        self.assertEqual(self._post("g2", _body(3)).status, 200)
        fault = {"failure_kind": "mid_stream"}
        self.engine.json("POST", "/faults", fault)
        response = self._post(
            "g3", _body(10), route="bad", preload_content=False
        )
        data = self._read_until_cut(response)
        self.assertEqual(_ids(data), _expected("g3", 1, 5))
        self.assertEqual(self._attach("g3").status, 404)

    def test_crash_ends_the_process(self):
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self._post("g1", _body(3, prompt="<standin-crash>")).read()
        self.assertEqual(self.engine.proc.wait(_WAIT_S), 70)

    def test_cold_again_is_another_start(self):
        before = self.engine.json("GET", "/load")["engine_start"]
        self.engine.json("POST", "/faults", {"turn_cold_s": 60.0})
        report = self.engine.json("GET", "/load")
        self.assertNotEqual(report["engine_start"], before)
        prompt = "x" * 40_000
        response = self._post("g1", _body(3, prompt=prompt))
        self.assertEqual(response.status, 500)

    def test_draining_and_orders(self):
        self.engine.json("POST", "/faults", {"draining": True})
        self._post("g1", _body(1))
        report = self.engine.json("GET", "/load")
        self.assertTrue(report["draining"])
        counts = self.engine.json("GET", "/counts")
        self.assertEqual(counts["submitted_while_draining"], 1)
        for fence, name in ((5, "v2"), (4, "v3")):
            order = {"order": "version", "name": name, "fence": fence}
            self.engine.json("POST", "/control", order)
        self.assertEqual(self._post("g2", _body(1)).headers["X-Version"], "v3")

    def test_stall_and_refused_connections(self):
        self.engine.json("POST", "/faults", {"stall_s": 0.5})
        began = time.monotonic()
        self.assertEqual(self._post("g1", _body(1)).status, 200)
        self.assertGreater(time.monotonic() - began, 0.4)
        self.engine.json("POST", "/faults", {"refuse_s": 0.5})
        self.engine.close()
        time.sleep(_POLL_S)
        with self.assertRaises(urllib3.exceptions.NewConnectionError):
            self.engine.call("GET", "/load")
        time.sleep(1.0)
        self.assertEqual(self.engine.call("GET", "/load").status, 200)


if __name__ == "__main__":
    unittest.main()
