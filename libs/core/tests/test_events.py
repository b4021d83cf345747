"""Guards against log lines that cannot be parsed and lost trace events."""

import unittest

from dandelionlead.core import events


class LogTest(unittest.TestCase):
    def test_values_are_quoted_where_needed(self):
        cases = [
            ("plain", "x=plain"),
            ("two words", 'x="two words"'),
            ('a"b', 'x="a\\"b"'),
            ("a\nb", 'x="a\\nb"'),
            ("", 'x=""'),
            (0.25, "x=0.25"),
        ]
        for value, expected in cases:
            with self.subTest(value=value):
                log = events.Log("test")
                log.event("sample", x=value)
                self.assertEqual(
                    log.latest(1)[0].line,
                    f"event=sample process=test {expected}",
                )

    def test_trace_returns_only_events_of_the_request(self):
        log = events.Log("test", ring_events=3)
        log.event("first", req="a")
        log.event("second", req="b")
        log.event("third", req="a")
        log.event("fourth", req="b")
        lines = [event.line for event in log.trace("a")]
        self.assertEqual(lines, ["event=third process=test req=a"])


if __name__ == "__main__":
    unittest.main()
