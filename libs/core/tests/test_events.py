"""Guards against log lines that cannot be parsed or joined."""

import unittest

import logbook

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
                with logbook.TestHandler().applicationbound() as seen:
                    log.event("sample", x=value)
                _, _, line = seen.records[0].message.partition(" ")
                self.assertEqual(line, f"event=sample process=test {expected}")

    def test_line_begins_with_the_time_and_names_the_request(self):
        log = events.Log("test")
        with logbook.TestHandler().applicationbound() as seen:
            log.event("first", req="a", count=3)
        self.assertRegex(
            seen.records[0].message,
            r"^ts=\d+\.\d{6} event=first process=test req=a count=3$",
        )


if __name__ == "__main__":
    unittest.main()
