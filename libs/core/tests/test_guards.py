"""Guards against loops that end because one of their turns failed."""

from __future__ import annotations

import unittest

import eventlet
import logbook

from dandelionlead.core import events
from dandelionlead.core import guards
from dandelionlead.core import metrics


class LoopGuardTest(unittest.TestCase):
    """An unexpected exception costs one turn and is shown."""

    def setUp(self) -> None:
        self.registry = metrics.Registry({guards.ERRORS_METRIC: "Errors."})
        self.guard = guards.LoopGuard(events.Log("test"), self.registry)

    def test_loop_is_started_again_after_an_exception(self) -> None:
        started = []

        def loop() -> None:
            started.append(None)
            if len(started) < 3:
                raise RuntimeError("unexpected")

        with (
            logbook.TestHandler().applicationbound() as handler,
            eventlet.Timeout(5.0),
        ):
            self.guard.run("sample", loop)
        self.assertEqual(len(started), 3)
        self.assertIn(
            guards.ERRORS_METRIC + '{loop="sample"} 2', self.registry.render()
        )
        self.assertEqual(len(handler.records), 1)
        self.assertIn("reason=unexpected", handler.records[0].message)
        self.assertIn("place=test_guards.py:", handler.records[0].message)

    def test_each_kind_of_exception_is_logged(self) -> None:
        with logbook.TestHandler().applicationbound() as handler:
            for exc in (ValueError("a"), KeyError("b"), ValueError("c")):
                with self.guard.turn("sample"):
                    raise exc
        self.assertEqual(len(handler.records), 2)

    def test_timeouts_and_ends_of_green_threads_pass(self) -> None:
        for exc_type in (eventlet.Timeout, eventlet.greenlet.GreenletExit):
            with (
                self.subTest(exc_type),
                self.assertRaises(exc_type),
                self.guard.turn("sample"),
            ):
                raise exc_type()


if __name__ == "__main__":
    unittest.main()
