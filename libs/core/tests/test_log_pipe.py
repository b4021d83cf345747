"""Guards against log writes that block the process or overload the log reader.

A blocking write to a full pipe stops the whole process; a very high rate of
lines overloads the process that reads the pipe.
"""

from __future__ import annotations

import os
import time
import unittest

from dandelionlead.core import events

# More lines than fit into a pipe.
_LINES = 20_000


class FullPipeTest(unittest.TestCase):
    """Writes to a full pipe must not block; lines are dropped and counted."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.handler = events.PipeHandler(
            self.writer, max_lines_per_s=1e9, max_burst_lines=1e9
        )
        self.log = events.Log("test")

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_lines_are_dropped_while_the_reader_does_not_read(self) -> None:
        started_s = time.monotonic()
        with self.handler.applicationbound():
            for number in range(_LINES):
                self.log.event("line", number=number)
        self.assertLess(time.monotonic() - started_s, 10.0)
        self.assertGreater(self.handler.dropped_since_write, 0)
        self.assertLess(self.handler.dropped_since_write, _LINES)

    def test_number_of_dropped_lines_is_logged_when_reading_resumes(
        self,
    ) -> None:
        with self.handler.applicationbound():
            for number in range(_LINES):
                self.log.event("line", number=number)
            dropped_count = self.handler.dropped_since_write
            os.read(self.reader, 1_000_000)
            self.log.event("after")
        text = os.read(self.reader, 65_536).decode()
        self.assertIn(f"event=log_dropped lines={dropped_count}\n", text)
        self.assertIn("event=after", text)
        self.assertEqual(self.handler.dropped_since_write, 0)
        self.assertEqual(self.handler.dropped_total, dropped_count)

    def test_long_line_is_truncated(self) -> None:
        with self.handler.applicationbound():
            self.log.event("line", text="x" * 10_000)
        self.assertEqual(len(os.read(self.reader, 65_536)), 4_096)


class RateTest(unittest.TestCase):
    """Too many lines would exhaust the CPU time and disk of the log reader."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_lines_above_the_rate_limit_are_dropped_and_counted(self) -> None:
        handler = events.PipeHandler(
            self.writer, max_lines_per_s=20.0, max_burst_lines=5.0
        )
        log = events.Log("test")
        with handler.applicationbound():
            for number in range(50):
                log.event("line", number=number)
            self.assertGreaterEqual(handler.dropped_since_write, 40)
            dropped_count = handler.dropped_since_write
            time.sleep(0.12)
            log.event("after")
        text = os.read(self.reader, 65_536).decode()
        self.assertLessEqual(text.count("event=line"), 10)
        self.assertIn(f"event=log_dropped lines={dropped_count}\n", text)
        self.assertIn("event=after", text)
        written_count = text.count("event=line")
        self.assertEqual(written_count + handler.dropped_total, 50)


if __name__ == "__main__":
    unittest.main()
