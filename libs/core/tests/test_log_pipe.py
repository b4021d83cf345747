"""Guards against a log reader that stops reading and so stops the service."""

from __future__ import annotations

import os
import time
import unittest

from dandelionlead.core import events

_LINES = 20_000


class FullPipeTest(unittest.TestCase):
    """Lines are dropped and counted; nothing waits."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.handler = events.PipeHandler(
            self.writer, lines_per_s=1e9, burst_lines=1e9
        )
        self.log = events.Log("test")

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_reader_that_stops(self) -> None:
        started_s = time.monotonic()
        with self.handler.applicationbound():
            for number in range(_LINES):
                self.log.event("line", number=number)
        self.assertLess(time.monotonic() - started_s, 10.0)
        self.assertGreater(self.handler.dropped, 0)
        self.assertLess(self.handler.dropped, _LINES)

    def test_reader_that_comes_back_hears_how_many(self) -> None:
        with self.handler.applicationbound():
            for number in range(_LINES):
                self.log.event("line", number=number)
            dropped = self.handler.dropped
            os.read(self.reader, 1_000_000)
            self.log.event("after")
        text = os.read(self.reader, 65_536).decode()
        self.assertIn(f"event=log_dropped lines={dropped}\n", text)
        self.assertIn("event=after", text)
        self.assertEqual(self.handler.dropped, 0)
        self.assertEqual(self.handler.dropped_total, dropped)

    def test_long_line_is_cut(self) -> None:
        with self.handler.applicationbound():
            self.log.event("line", text="x" * 10_000)
        self.assertEqual(len(os.read(self.reader, 65_536)), 4_096)


class RateTest(unittest.TestCase):
    """A flood of events takes the processor and the disk of the reader."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_lines_beyond_the_rate_are_counted(self) -> None:
        handler = events.PipeHandler(
            self.writer, lines_per_s=20.0, burst_lines=5.0
        )
        log = events.Log("test")
        with handler.applicationbound():
            for number in range(50):
                log.event("line", number=number)
            self.assertGreaterEqual(handler.dropped, 40)
            dropped = handler.dropped
            time.sleep(0.12)
            log.event("after")
        text = os.read(self.reader, 65_536).decode()
        self.assertLessEqual(text.count("event=line"), 10)
        self.assertIn(f"event=log_dropped lines={dropped}\n", text)
        self.assertIn("event=after", text)
        written = text.count("event=line")
        self.assertEqual(written + handler.dropped_total, 50)


if __name__ == "__main__":
    unittest.main()
