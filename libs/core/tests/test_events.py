"""Guards against log lines that cannot be parsed or matched with a request."""

import unittest

import logbook

from dandelionlead.core import events


class LogTest(unittest.TestCase):
    """Format of a log line."""

    def test_values_with_special_characters_are_quoted_and_escaped(self):
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
                with logbook.TestHandler().applicationbound() as handler:
                    log.event("sample", x=value)
                _, _, line = handler.records[0].message.partition(" ")
                self.assertEqual(line, f"event=sample process=test {expected}")

    def test_line_has_time_event_process_request_and_fields_in_order(self):
        log = events.Log("test")
        with logbook.TestHandler().applicationbound() as handler:
            log.event("first", req="a", count=3)
        self.assertRegex(
            handler.records[0].message,
            r"^ts=\d+\.\d{6} event=first process=test req=a count=3$",
        )


if __name__ == "__main__":
    unittest.main()
