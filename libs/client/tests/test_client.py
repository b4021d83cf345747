"""Guards against lost, repeated or crossed events and unsafe retries.

A small WSGI server in a thread stands for the entries: one server, several
ports, and a script of what each request gets.
"""

import json
import random
import socketserver
import threading
import time
import unittest
from wsgiref import simple_server

from dandelionlead.client import answers
from dandelionlead.client import client
from dandelionlead.client import sse
from dandelionlead.client import streams


class _Server(socketserver.ThreadingMixIn, simple_server.WSGIServer):
    daemon_threads = True


class _Handler(simple_server.WSGIRequestHandler):
    def log_message(self, *args):
        pass


class Entries:
    """Entries that answer with functions of a script, then with 200."""

    def __init__(self, count=2):
        self.script = []
        self.requests = []
        self.addresses = []
        self.max_age_s = 60
        self.servers = []
        for _ in range(count):
            server = simple_server.make_server(
                "127.0.0.1", 0, self.app, _Server, _Handler
            )
            thread = threading.Thread(
                target=server.serve_forever, args=(0.01,), daemon=True
            )
            thread.start()
            self.servers.append(server)
            self.addresses.append(f"127.0.0.1:{server.server_port}")

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def app(self, environ, start):
        if environ["PATH_INFO"] == "/v1/addresses":
            entries = [{"address": item} for item in self.addresses]
            found = {"addresses": entries, "max_age_s": self.max_age_s}
            start("200 OK", [("Content-Type", "application/json")])
            return [json.dumps(found).encode()]
        size = int(environ.get("CONTENT_LENGTH") or 0)
        environ["body"] = environ["wsgi.input"].read(size)
        self.requests.append(environ)
        if not self.script:
            start("200 OK", [("Content-Type", "text/plain")])
            return [b"whole"]
        return self.script.pop(0)(environ, start)

    def sent(self, header):
        name = "HTTP_" + header.upper().replace("-", "_")
        return [request.get(name) for request in self.requests]


def problem(status, kind, run, retry_after=None):
    def answer(environ, start):
        headers = [("Content-Type", "application/problem+json")]
        if retry_after is not None:
            headers.append(("Retry-After", retry_after))
        start(f"{status} x", headers)
        return [json.dumps({"kind": kind, "run": run}).encode()]

    return answer


def cut(environ, start):
    """Sends a part of an answer and closes the connection."""
    start("200 OK", [("Content-Type", "text/plain"), ("Content-Length", "9")])
    return [b"part"]


def events(first, last):
    return "".join(
        f"id: g:{number}\ndata: t{number}\n\n" for number in range(first, last)
    )


def stream(text, *, token="tok", wait=None):
    def answer(environ, start):
        headers = [("Content-Type", "text/event-stream")]
        if token:
            headers.append(("X-Resume-Token", token))
        start("200 OK", headers)
        yield text.encode()
        if wait is not None:
            wait.wait(5)

    return answer


END = "id: g:6\ndata: [DONE]\n\n"


class ClientTestCase(unittest.TestCase):
    def setUp(self):
        self.entries = Entries()
        self.addCleanup(self.entries.close)
        self.pauses = []
        self.client = client.Client(
            "key",
            self.entries.addresses,
            rng=random.Random(1),
            sleep=self.pauses.append,
            connect_s=0.5,
        )

    def order(self, **fields):
        return self.client.order("/v1/services/o/confirm", {"a": 1}, **fields)


class CallTest(ClientTestCase):
    def test_not_run_with_retry_after_is_sent_to_another_entry(self):
        self.entries.script = [problem(503, "overloaded", "not_run", "2")]
        answer = self.client.call("POST", "/v1/x", {})
        self.assertEqual(answer.body, b"whole")
        hosts = self.entries.sent("host")
        self.assertNotEqual(hosts[0], hosts[1])
        self.assertGreaterEqual(self.pauses[0], 2)

    def test_what_may_be_repeated(self):
        cases = [
            ("no retry-after", problem(503, "k", "not_run"), False, 1),
            ("retry pointless", problem(403, "k", "not_run", "0"), False, 1),
            ("may have run", problem(502, "k", "unknown", "1"), False, 1),
            ("may run again", problem(502, "k", "unknown", "1"), True, 2),
            ("cut", cut, False, 1),
            ("cut, may run again", cut, True, 2),
        ]
        for name, answer, repeatable, tries in cases:
            with self.subTest(name):
                self.entries.script = [answer]
                self.entries.requests.clear()
                found = self.client.call("GET", "/x", repeatable=repeatable)
                self.assertEqual(len(self.entries.requests), tries)
                self.assertEqual(bool(found), tries == 2)

    def test_refused_connection_goes_to_another_entry(self):
        self.entries.max_age_s = 0
        dead = self.entries.servers.pop(0)
        dead.shutdown()
        dead.server_close()
        for _ in range(6):
            self.assertTrue(self.client.call("POST", "/x", b""))

    def test_error_of_a_service_is_an_answer(self):
        def refuse(environ, start):
            start("409 Conflict", [("Content-Type", "application/json")])
            return [b"{}"]

        self.entries.script = [refuse]
        self.assertEqual(self.client.call("POST", "/x").status, 409)

    def test_address_list_follows_the_entries(self):
        self.entries.max_age_s = 0
        self.client.call("GET", "/x")
        self.entries.addresses = self.entries.addresses[:1]
        for _ in range(8):
            self.client.call("GET", "/x")
        hosts = set(self.entries.sent("host")[1:])
        self.assertEqual(hosts, set(self.entries.addresses))


class OrderTest(ClientTestCase):
    def test_order_is_repeated_with_the_same_key_and_numbered(self):
        self.entries.script = [
            cut,
            problem(409, "order_in_progress", "unknown", "2"),
        ]
        self.assertTrue(self.order())
        keys = self.entries.sent("idempotency-key")
        self.assertEqual(len(keys), 3)
        self.assertEqual(len(set(keys)), 1)
        self.assertEqual(self.entries.sent("x-order-try"), ["1", "2", "3"])

    def test_unknown_outcome_is_final(self):
        self.entries.script = [problem(502, "outcome_unknown", "unknown")]
        failure = self.order()
        self.assertEqual(failure.run, answers.UNKNOWN)
        self.assertEqual(len(self.entries.requests), 1)

    def test_refusal_after_a_lost_answer_does_not_mean_not_run(self):
        self.entries.script = [cut, problem(403, "forbidden", "not_run")]
        self.assertEqual(self.order().run, answers.UNKNOWN)

    def test_given_key_is_kept_and_not_numbered(self):
        self.order(idempotency_key="mine")
        self.assertEqual(self.entries.sent("idempotency-key"), ["mine"])
        self.assertEqual(self.entries.sent("x-order-try"), [None])


class StreamTest(ClientTestCase):
    def read(self, *script):
        self.entries.script = list(script)
        found = self.client.stream("/v1/completions", {"prompt": "p"})
        self.assertIsInstance(found, streams.Stream)
        return found, [event.data for event in found]

    def test_cuts_silence_and_handover_lose_and_repeat_nothing(self):
        hang = threading.Event()
        self.addCleanup(hang.set)
        normal = stream(events(3, 6) + END)
        cases = {
            "between events": [stream(events(1, 3)), normal],
            "in an event": [stream(events(1, 3) + "id: g:3\nda"), normal],
            "in a line end": [
                stream(events(1, 3)[:-1]),
                stream(events(2, 6) + END),
            ],
            "handover": [
                stream(events(1, 3) + "event: handover\ndata: {}\n\n"),
                normal,
            ],
            "silence": [stream(events(1, 3), wait=hang), normal],
            "before the first event": [
                stream(": token\n\n"),
                stream(events(1, 6) + END),
            ],
            "a gap": [stream(events(1, 3) + events(4, 6)), normal],
            "a repeat": [stream(events(1, 3) + events(2, 6) + END)],
            "another generation": [
                stream(events(1, 3) + "id: h:3\ndata: x\n\n"),
                normal,
            ],
            "refused resume": [
                stream(events(1, 3)),
                problem(503, "not_ready", "not_run", "1"),
                normal,
            ],
        }
        streams.SILENCE_S, kept = 0.3, streams.SILENCE_S
        self.addCleanup(setattr, streams, "SILENCE_S", kept)
        for name, script in cases.items():
            with self.subTest(name):
                found, data = self.read(*script)
                self.assertEqual(data, [f"t{n}" for n in range(1, 6)])
                self.assertTrue(found.complete)
                self.assertIsNone(found.failure)

    def test_resume_at_another_entry_names_the_last_event_and_the_token(self):
        for _ in range(6):
            self.entries.requests.clear()
            self.read(stream(events(1, 3)), stream(events(3, 6) + END))
            request = self.entries.requests[1]
            self.assertEqual(request["PATH_INFO"], "/v1/streams")
            self.assertEqual(request["HTTP_LAST_EVENT_ID"], "g:2")
            self.assertEqual(request["HTTP_X_RESUME_TOKEN"], "tok")
            hosts = self.entries.sent("host")
            self.assertNotEqual(hosts[0], hosts[1])

    def test_handover_does_not_wait_for_the_end_of_the_connection(self):
        hang = threading.Event()
        self.addCleanup(hang.set)
        handover = events(1, 3) + "event: handover\ndata: {}\n\n"
        begin = time.monotonic()
        found, _ = self.read(
            stream(handover, wait=hang), stream(events(3, 6) + END)
        )
        self.assertTrue(found.complete)
        self.assertLess(time.monotonic() - begin, 2.0)

    def test_ends_that_are_failures(self):
        lost = "event: error\ndata: " + json.dumps(
            {"kind": "generation_lost", "run": "ran"}
        )
        gone = problem(410, "generation_unknown", "ran")
        cases = {
            "generation_lost": [stream(events(1, 3) + lost + "\n\n")],
            "generation_unknown": [stream(events(1, 3)), gone],
            "connection_lost": [stream(events(1, 3), token="")],
        }
        for kind, script in cases.items():
            with self.subTest(kind):
                found, data = self.read(*script)
                self.assertEqual(data, ["t1", "t2"])
                self.assertFalse(found.complete)
                self.assertEqual(found.failure.kind, kind)

    def test_resumes_without_progress_end(self):
        script = [stream("")] * (streams.IDLE_RESUMES_LIMIT + 5)
        found, data = self.read(*script)
        self.assertEqual(found.failure.kind, "connection_lost")
        self.assertLess(found.resumes, len(script))

    def test_generation_that_may_have_run_is_not_started_again(self):
        self.entries.script = [cut]
        found = self.client.stream("/v1/completions", {})
        self.assertEqual(found.run, answers.UNKNOWN)
        self.assertEqual(len(self.entries.requests), 1)


class ParserTest(unittest.TestCase):
    def test_events_do_not_depend_on_how_bytes_are_split(self):
        text = ": c\n\nid: g:1\r\ndata: a\r\n\r\nid: g:2\ndata: b\ndata: c\n\n"
        for size in range(1, 12):
            with self.subTest(size=size):
                parser, found = sse.Parser(), []
                for start in range(0, len(text), size):
                    found += parser.feed(text[start : start + size].encode())
                pairs = [(event.position, event.data) for event in found]
                self.assertEqual(pairs, [(1, "a"), (2, "b\nc")])

    def test_endless_event_is_refused(self):
        parser = sse.Parser()
        self.assertIsNone(parser.feed(b"x" * (sse.EVENT_BYTES_LIMIT + 1)))


if __name__ == "__main__":
    unittest.main()
