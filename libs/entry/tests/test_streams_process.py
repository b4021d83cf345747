"""Guards against streams that lose, repeat, mix up or leave behind tokens.

The oracle builds the expected bytes of a generation from its id, as the engine
stand-in documents them.
"""

import json
import re
import signal
import threading
import time
import unittest

import json5
import process_case

from dandelionlead.core import clock
from dandelionlead.standins import engine_events
from dandelionlead.streams import tokens

_CHAT = "/v1/chat/completions"
_ENGINES = ("quotation-1", "quotation-2")
_COMMENT = re.compile(rb"(?:^|(?<=\n\n)):[^\n]*\n\n")
# Resume window of 15 s and the load report's lag (docs/design.md 5.1).
_ABANDONED_BOUND_S = 20.0
# Silence of 2 s on each of three attempts (docs/design.md 5.9).
_LOST_BOUND_S = 3 * 2.0 + 2.0
_SILENCE_S = 2.0


class StreamsTest(process_case.ProcessCase):
    ENDPOINTS = _ENGINES
    ENGINE_FLAGS = {"step_s": "0.01"}

    def setUp(self):
        self.addCleanup(self._reset_faults)

    def _reset_faults(self):
        for name in _ENGINES:
            self.deploy.faults(self.endpoint(name), reset=True)

    def _start(self, entry, count, **fields):
        body = {
            "model": "quote-writer",
            "messages": [{"role": "user", "content": "A cedar bucket."}],
            "max_tokens": max(count, 300),
            "stream": True,
            "standin_tokens": count,
            **fields,
        }
        request_id = f"req-{time.monotonic_ns()}"
        stream = process_case.Stream(
            self.deploy.entries[entry],
            "POST",
            _CHAT,
            body=body,
            headers={"X-Request-Id": request_id},
        )
        return stream

    def _resume(self, entry, token, generation_id, position, **headers):
        return process_case.Stream(
            self.deploy.entries[entry],
            "GET",
            "/v1/streams",
            headers={
                "X-Resume-Token": token,
                "Last-Event-ID": f"{generation_id}:{position}",
                **headers,
            },
        )

    def _resume_after(self, entry, stream):
        generation_id, position = self._last(stream)
        token = stream.headers["X-Resume-Token"]
        return self._resume(entry, token, generation_id, position)

    def _last(self, stream):
        events = process_case.event_ids(stream.whole_events)
        return events[-1] if events else (stream.headers["X-Generation-Id"], 0)

    def _expected(self, generation_id, count, after=0):
        writer = engine_events.Writer(generation_id, count, _CHAT, "stop")
        return writer.span(after + 1, count) + writer.done()

    def _check_whole(self, data, generation_id, count, after=0):
        self.assertIsNotNone(generation_id, data[-400:])
        self.assertEqual(
            _COMMENT.sub(b"", data),
            self._expected(generation_id, count, after),
        )

    def _endpoint_of(self, stream):
        token = stream.headers["X-Resume-Token"]
        return self._signer().verify(
            token, team="bath-houses", now_unix_s=clock.unix_time()
        )

    def _signer(self):
        path = self.deploy.folder / "entry-1.jsonc"
        keys = json5.loads(path.read_text())["resume_keys"]
        return tokens.Signer([bytes.fromhex(key) for key in keys])

    def _kill_engine(self, name):
        self.deploy.signal(name, signal.SIGKILL)
        self.addCleanup(self._restart_engine, name)

    def _kill_entry(self, name):
        self.deploy.signal(name, signal.SIGKILL)
        self.addCleanup(self.restart_entry, name)

    def _restart_engine(self, name):
        self.deploy.wait_end(name, 10)
        self.deploy.start_engine(name, **self.ENGINE_FLAGS)
        self.deploy.wait_http(name, f"http://{self.endpoint(name)}/load")

    def _generations(self):
        return {
            item["id"]
            for name in _ENGINES
            for item in self.endpoint_json(name, "/load")["generations"]
        }

    def test_entry_killed_and_streams_resumed_elsewhere(self):
        streams = [self._start("entry-1", 400) for _ in range(4)]
        for number, stream in enumerate(streams):
            stream.read_events(5 + 7 * number)
        self._kill_entry("entry-1")
        for number, stream in enumerate(streams):
            stream.read_all()
            tail = self._resume_after(f"entry-{2 + number % 2}", stream)
            rest = tail.read_all()
            self.assertEqual(tail.status, 200, rest)
            whole = stream.whole_events + rest
            self._check_whole(whole, stream.headers["X-Generation-Id"], 400)

    def test_engine_killed_before_the_first_token(self):
        # First tries earn the budget for retries, 10% (docs/design.md 5.11).
        for _ in range(30):
            self._start("entry-1", 1).read_all()
        before = len(self.deploy.events("entry-1", "dispatch"))
        for name in _ENGINES:
            self.deploy.faults(self.endpoint(name), stall_s=2.0)
        started = [self.in_thread(self._start, "entry-1", 50) for _ in range(2)]
        self.eventually(
            lambda: len(self.deploy.events("entry-1", "dispatch")) > before,
            2,
            "a request is sent to a stalled engine",
        )
        line = self.deploy.events("entry-1", "dispatch")[before]
        victim = next(name for name in _ENGINES if f"endpoint={name} " in line)
        time.sleep(0.1)
        self._kill_engine(victim)
        for result in started:
            stream = result()
            data = stream.read_all()
            self.assertEqual(stream.status, 200, data)
            self._check_whole(data, stream.headers["X-Generation-Id"], 50)
            self.assertNotEqual(self._endpoint_of(stream).endpoint, victim)

    def test_engine_killed_after_the_first_token(self):
        streams = [self._start("entry-2", 1000) for _ in range(4)]
        for stream in streams:
            stream.read_events(10)
        victim = self._endpoint_of(streams[0]).endpoint
        self._kill_engine(victim)
        killed_at = time.monotonic()
        hit = [s for s in streams if self._endpoint_of(s).endpoint == victim]
        for stream in hit:
            data = _COMMENT.sub(b"", stream.read_all())
            self.assertLess(time.monotonic() - killed_at, _LOST_BOUND_S)
            events, mark, error = data.partition(b"event: error\n")
            self.assertTrue(mark, data[-300:])
            problem = json.loads(error.removeprefix(b"data: "))
            self.assertEqual(problem["kind"], "generation_lost")
            self.assertEqual(problem["run"], "ran")
            whole = self._expected(stream.headers["X-Generation-Id"], 1000)
            self.assertTrue(whole.startswith(events), events[-300:])
        for stream in streams:
            if stream not in hit:
                stream.read_all()
                generation_id = stream.headers["X-Generation-Id"]
                self._check_whole(stream.data, generation_id, 1000)

    def test_silent_connections(self):
        cases = [{"standin_silent_after": count} for count in (1, 20, 59)]
        started = [
            self.in_thread(self._start, "entry-3", 60, **case) for case in cases
        ]
        sent_at = time.monotonic()
        for result in started:
            stream = result()
            data = stream.read_all()
            self._check_whole(data, stream.headers["X-Generation-Id"], 60)
        # One silence of 2 s, and at 0.6 s for the tokens a margin of 2 s.
        self.assertLess(time.monotonic() - sent_at, _SILENCE_S + 0.6 + 2.0)

    def test_connections_that_go_silent_again(self):
        for name in _ENGINES:
            self.deploy.faults(
                self.endpoint(name), silent_after=10, silent_count=2
            )
        stream = self._start("entry-1", 60)
        data = stream.read_all()
        self._check_whole(data, stream.headers["X-Generation-Id"], 60)

    def test_resumed_at_two_entries_at_once(self):
        stream = self._start("entry-1", 300)
        stream.read_events(60)
        generation_id = stream.headers["X-Generation-Id"]
        token = stream.headers["X-Resume-Token"]
        tails = {}

        def follow(entry, position):
            tail = self._resume(entry, token, generation_id, position)
            tails[position] = tail.read_all()

        threads = [
            threading.Thread(target=follow, args=(entry, position))
            for entry, position in (
                ("entry-2", 60),
                ("entry-3", 3),
                ("entry-2", 0),
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        stream.read_all()
        self._check_whole(stream.data, generation_id, 300)
        for position in (60, 3, 0):
            self._check_whole(tails[position], generation_id, 300, position)

    def test_tokens_and_positions_that_are_not_good(self):
        stream = self._start("entry-1", 30)
        stream.read_all()
        good = stream.headers["X-Resume-Token"]
        generation_id = stream.headers["X-Generation-Id"]
        token = self._endpoint_of(stream)
        token.expires_unix_s = clock.unix_time() - 1
        expired = self._signer().sign(token)
        body, _, signature = good.partition(".")
        forged = f"{body[:-4]}AAAA.{signature}"
        other_key = tokens.Signer([b"k" * 32]).sign(token)
        hotel = process_case.key_of("hotel-spas")
        cases = {
            "forged": (forged, generation_id, 3, {}, "token_invalid", 403),
            "other key": (
                other_key,
                generation_id,
                3,
                {},
                "token_invalid",
                403,
            ),
            "empty": ("", generation_id, 3, {}, "token_invalid", 403),
            "expired": (expired, generation_id, 3, {}, "token_expired", 410),
            "team": (good, generation_id, 3, hotel, "token_invalid", 403),
            "generation": (good, "other", 3, {}, "bad_header", 400),
            "negative": (good, generation_id, -1, {}, "bad_header", 400),
            "no number": (good, generation_id, "x", {}, "bad_header", 400),
            "huge": (good, generation_id, 10**30, {}, "bad_header", 400),
        }
        for name, (text, of, position, headers, kind, status) in cases.items():
            with self.subTest(name):
                refused = self._resume("entry-2", text, of, position, **headers)
                problem = json.loads(refused.read_all())
                self.assertEqual(problem["kind"], kind)
                self.assertEqual(refused.status, status)
        with self.subTest("an old position"):
            tail = self._resume("entry-2", good, generation_id, 3)
            self._check_whole(tail.read_all(), generation_id, 30, 3)
        with self.subTest("beyond the end"):
            started_at = time.monotonic()
            tail = self._resume("entry-2", good, generation_id, 5000)
            data = tail.read_all()
            self.assertNotIn(b"\nid: ", data)
            self.assertLess(time.monotonic() - started_at, _LOST_BOUND_S)

    def test_faults_of_the_engines_events(self):
        for kind in ("duplicate", "skip", "cross", "truncate"):
            for position in (1, 10, 31):
                with self.subTest(kind=kind, position=position):
                    for name in _ENGINES:
                        self.deploy.faults(
                            self.endpoint(name),
                            reset=True,
                            protocol=kind,
                            protocol_position=position,
                            protocol_count=1,
                        )
                    stream = self._start("entry-2", 30)
                    data = stream.read_all()
                    generation_id = stream.headers["X-Generation-Id"]
                    self._check_whole(data, generation_id, 30)

    def test_faults_of_the_engines_events_without_streaming(self):
        for kind in ("duplicate", "skip", "cross", "truncate"):
            with self.subTest(kind):
                for name in _ENGINES:
                    self.deploy.faults(
                        self.endpoint(name),
                        reset=True,
                        protocol=kind,
                        protocol_position=10,
                        protocol_count=1,
                    )
                stream = self._start("entry-3", 60, stream=False)
                answer = json.loads(stream.read_all())
                text = answer["choices"][0]["message"]["content"]
                self.assertEqual(stream.status, 200, answer)
                self.assertEqual(answer["usage"]["completion_tokens"], 60)
                self.assertEqual(text, _whole_text(text, 60))

    def test_streams_left_by_their_callers_are_cancelled(self):
        kept = self._start("entry-2", 1700)
        left = [self._start("entry-2", 2500) for _ in range(2)]
        orphaned = self._start("entry-3", 2500)
        whole = self.in_thread(kept.read_all)
        for stream in (*left, orphaned):
            stream.read_events(3)
        for stream in left:
            stream.close()
        self._kill_entry("entry-3")
        left_at = time.monotonic()
        gone = {s.headers["X-Generation-Id"] for s in (*left, orphaned)}
        # Within the resume window they must still be there.
        time.sleep(10)
        self.assertLessEqual(gone, self._generations())
        ends_at = left_at + _ABANDONED_BOUND_S
        while gone & self._generations() and time.monotonic() < ends_at:
            time.sleep(0.1)
        self.assertFalse(gone & self._generations())
        took_s = time.monotonic() - left_at
        print(f"abandoned generations were gone after {took_s:.1f} s")
        data = whole()
        self._check_whole(data, kept.headers["X-Generation-Id"], 1700)


def _whole_text(text, count):
    """Returns the text that the generation named in `text` must have."""
    name = text.split(".")[0].strip()
    return "".join(f"{name}.{at} " for at in range(1, count + 1))


if __name__ == "__main__":
    unittest.main()
