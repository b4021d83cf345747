"""Guards against an engine whose speed, memory or faults are unrealistic."""

import unittest

from dandelionlead.standins import engine_core
from dandelionlead.standins import tokens

_RUNNING = engine_core.State.RUNNING
_WAITING = engine_core.State.WAITING


def _engine(**settings):
    return engine_core.Engine(engine_core.Settings(**settings), 0.0)


def _submit(engine, name, prompt=10, output=5, now=0.0, **fields):
    asked = engine_core.Submission(name, prompt, output, **fields)
    return engine.submit(asked, now)


def _run(engine, until=1e6):
    """Runs to the end of all work; returns the time of the last step."""
    last = 0.0
    while (due := engine.next_step_at()) is not None and due <= until:
        last = due
        engine.advance(due)
    return last


class SpeedTest(unittest.TestCase):
    def test_step_time_grows_with_the_batch(self):
        ends = []
        for count in (1, 50):
            engine = _engine()
            for index in range(count):
                _submit(engine, f"g{index}", prompt=1, output=20)
            ends.append(_run(engine))
        self.assertGreater(ends[1], 1.2 * ends[0])

    def test_cached_prefix_shortens_the_first_token(self):
        engine = _engine(cache_total=8192)
        text = "x" * 4 * 4096
        prefix = tokens.prefix_hashes(text)
        first = _submit(engine, "a", 4096, 1, prefix=prefix)
        now = _run(engine)
        second = _submit(engine, "b", 4096, 1, now, prefix=prefix)
        _run(engine)
        took_first_s = first.first_token_at
        took_second_s = second.first_token_at - now
        self.assertLess(took_second_s, took_first_s / 3)

    def test_first_token_is_several_times_later_while_cold(self):
        took_s = []
        for cold_s in (0.0, 100.0):
            engine = _engine(cold_s=cold_s)
            gen = _submit(engine, "a", prompt=1000, output=1)
            _run(engine)
            took_s.append(gen.first_token_at)
        self.assertGreater(took_s[1], 3 * took_s[0])

    def test_slow_factor_applies_to_steps_that_begin_later(self):
        engine = _engine(step_s=0.01, step_s_per_running=0.0)
        gen = _submit(engine, "a", prompt=1, output=3)
        engine.slow_factor = 10.0
        _run(engine)
        self.assertAlmostEqual(gen.ended_at, 0.21, delta=0.02)


class MemoryTest(unittest.TestCase):
    def test_full_memory_preempts_the_last_of_the_lowest_priority(self):
        engine = _engine(memory_total=100)
        names = [("old", 1), ("low", 0), ("new", 1)]
        gens = {
            name: _submit(engine, name, 20, 60, priority=priority)
            for name, priority in names
        }
        while not engine.preemptions:
            engine.advance(engine.next_step_at())
        self.assertEqual(gens["low"].state, _WAITING)
        self.assertEqual(gens["old"].state, _RUNNING)
        _run(engine)
        self.assertEqual({gen.generated for gen in gens.values()}, {60})

    def test_higher_priority_takes_memory_from_lower_only(self):
        engine = _engine(memory_total=100)
        running = _submit(engine, "a", 80, 10, priority=1)
        same = _submit(engine, "b", 80, 10, priority=1, now=0.001)
        engine.advance(engine.next_step_at())
        self.assertEqual((running.state, same.state), (_RUNNING, _WAITING))
        _submit(engine, "c", 80, 10, priority=2, now=0.06)
        engine.advance(engine.next_step_at())
        self.assertEqual(running.state, _WAITING)
        self.assertEqual(running.preemptions, 1)

    def test_cancel_frees_memory_and_forgets(self):
        engine = _engine()
        _submit(engine, "a")
        self.assertTrue(engine.cancel("a", 0.1))
        self.assertEqual(engine.memory_used, 0)
        self.assertIsNone(engine.find("a", 0.1))
        self.assertFalse(engine.cancel("a", 0.1))

    def test_ended_generation_is_kept_for_a_time(self):
        engine = _engine(retain_s=5.0)
        gen = _submit(engine, "a")
        ended_at = _run(engine)
        self.assertIs(engine.find("a", ended_at + 4.9), gen)
        self.assertIsNone(engine.find("a", ended_at + 5.1))


class FaultsTest(unittest.TestCase):
    def test_refusals(self):
        refusal = engine_core.Refusal
        cases = [
            ("exists", {}, ("a", 1, 1), refusal.EXISTS),
            ("long", {}, ("b", 60, 50), refusal.TOO_LONG),
            ("cold", {"cold_s": 9.0}, ("b", 15, 1), refusal.COLD_OVERLOAD),
            (
                "cold crash",
                {"cold_s": 9.0, "cold_overload": "crash"},
                ("b", 15, 1),
                refusal.CRASHED,
            ),
        ]
        for name, settings, asked, expected in cases:
            with self.subTest(name):
                engine = _engine(memory_total=100, **settings)
                _submit(engine, "a", 2, 2)
                self.assertIs(_submit(engine, *asked), expected)

    def test_growth_beyond_cold_memory_fails_the_last(self):
        engine = _engine(memory_total=100, cold_s=99.0)
        first = _submit(engine, "a", 2, 6)
        second = _submit(engine, "b", 2, 6)
        _run(engine)
        self.assertEqual(second.state, engine_core.State.FAILED)
        self.assertEqual(first.state, engine_core.State.FINISHED)

    def test_marked_prompt_crashes_the_engine_when_it_runs(self):
        engine = _engine()
        body = {"prompt": "a <standin-crash> b", "standin_tokens": 3}
        asked = engine_core.submission(
            "a", body, crash_marker="<standin-crash>"
        )
        engine.submit(asked, 0.0)
        self.assertEqual(engine.crashed, "")
        _run(engine)
        self.assertNotEqual(engine.crashed, "")
        self.assertIs(
            _submit(engine, "b", now=1.0), engine_core.Refusal.CRASHED
        )

    def test_output_length_of_a_body(self):
        cases = [
            ({"standin_tokens": 3, "max_tokens": 9}, 3),
            ({"max_tokens": 9}, 9),
            ({}, 16),
            ({"max_tokens": 0}, None),
            ({"standin_tokens": "3"}, None),
        ]
        for body, expected in cases:
            with self.subTest(body=body):
                if expected is None:
                    with self.assertRaises(ValueError):
                        engine_core.submission("a", body)
                    continue
                asked = engine_core.submission("a", body)
                self.assertEqual(asked.output_tokens, expected)


class ReportTest(unittest.TestCase):
    def test_report_shows_the_state_of_its_time(self):
        engine = _engine(load_lag_s=1.0)
        _submit(engine, "a", output=1000, now=0.5)
        self.assertEqual(engine.load(0.9)["running"], 0)
        report = engine.load(1.5)
        self.assertEqual(report["running"], 1)
        self.assertAlmostEqual(report["reported_s_ago"], 0.5)

    def test_report_tells_how_long_no_reader_is_attached(self):
        engine = _engine(load_lag_s=0.0)
        gen = _submit(engine, "a", output=1000)
        engine.attach(gen, 1.0)
        shown = engine.load(2.0)["generations"][0]
        self.assertEqual((shown["attached"], shown["detached_s"]), (1, 0.0))
        engine.detach(gen, 2.5)
        shown = engine.load(4.0)["generations"][0]
        self.assertEqual((shown["attached"], shown["detached_s"]), (0, 1.5))


if __name__ == "__main__":
    unittest.main()
