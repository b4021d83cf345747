"""Tests ends of streams at which one failed request decides too early.

Guards against streams that a crash or a stop has cut off and that look complete
(ORDER), and against whole answers that are cut (LOST).
"""

from __future__ import annotations

import unittest

import virtual_time

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import end_check
from dandelionlead.gateway import stream_checks
from dandelionlead.routing import calls

virtual_time.install()

_CLOSED = errors.Failure(errors.Kind.ENDPOINT_FAILED, "closed")
_FOREIGN = calls.EndpointStatus(calls.StatusOrigin.UNKNOWN)
_MADE_MORE = calls.EndpointStatus(calls.StatusOrigin.ENDPOINT, 11)


class LeavingEndpointTest(unittest.TestCase):
    """Marked ends after ten events of endpoints that are leaving."""

    def test_one_closed_connection_does_not_rule_out_a_refutation(self) -> None:
        """A leaving endpoint at its connection limit closes new connections.

        It has room again shortly after, and then states that it has made more
        events. There is time for that before the caller counts the end as late.
        """
        for answer in (_CLOSED, _FOREIGN):
            with self.subTest(answer):
                answers = [_MADE_MORE, answer]

                def request_status(
                    _: bool, __: float, answers: list[object] = answers
                ) -> object:
                    return answers.pop() if len(answers) > 1 else answers[0]

                failure = end_check.find_broken_end(
                    end_check.EndedResponse(
                        "r", 10, has_end_mark=True, is_leaving=True
                    ),
                    request_status,
                    clock.boottime() + 5.0,
                    events.Log("test"),
                    "i-1",
                )
                self.assertIsNotNone(failure)


class RepeatedEventTest(unittest.TestCase):
    """Streams that resume after their last event, with id 2."""

    REPEATED = b"id: 2\ndata: b\n\n"
    # Events without an id after the last one that has an id.
    TAILS = (b"data: [DONE]\n\n", b": comment\n\n", b": a\n\n: b\n\n")

    def test_event_without_an_id_does_not_hide_the_repeated_one(self) -> None:
        """The repeated event is the last one that has an id."""
        for tail in self.TAILS:
            with self.subTest(tail):
                self._check(tail, self.REPEATED)

    def test_repetition_of_all_events_from_the_last_one_with_an_id(
        self,
    ) -> None:
        for tail in self.TAILS:
            with self.subTest(tail):
                self._check(tail, self.REPEATED + tail)

    def _check(self, tail: bytes, resumed: bytes) -> None:
        """Checks that a stream may end after what a resumed one has sent."""
        sent = b"id: 1\ndata: a\n\n" + self.REPEATED
        for reads in ((sent + tail,), (sent, tail)):
            checks = stream_checks.StreamChecks(0, 400)
            for data in reads:
                checks.accept(data)
            checks.begin_resumed_stream()
            result = checks.accept(resumed)
            self.assertNotIsInstance(result, errors.Failure)
            self.assertEqual(checks.event_count, 2)
            self.assertIsNone(
                checks.find_truncation(ends_with_connection=False)
            )


if __name__ == "__main__":
    unittest.main()
