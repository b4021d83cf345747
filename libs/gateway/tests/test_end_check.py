"""Tests which evidence about its endpoint makes the end of a body count.

Guards against streams that were cut off by a crash and look complete (ORDER),
and against sound ones that are cut because their endpoint is silent.
"""

from __future__ import annotations

import unittest

import eventlet
import virtual_time

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import end_check
from dandelionlead.http import client
from dandelionlead.routing import calls

virtual_time.install()

_ENDED = calls.EndpointStatus(calls.StatusOrigin.ENDPOINT)
_OTHER = calls.EndpointStatus(calls.StatusOrigin.OTHER)
_FOREIGN = calls.EndpointStatus(calls.StatusOrigin.UNKNOWN)
_CLOSED = errors.Failure(errors.Kind.ENDPOINT_FAILED, "closed")
_REFUSED = client.RefusedFailure(errors.Kind.ENDPOINT_UNREACHABLE, "refused")
_SILENT = errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")


def _list_run(event_count: int) -> calls.EndpointStatus:
    return calls.EndpointStatus(calls.StatusOrigin.ENDPOINT, event_count)


class EvidenceTest(unittest.TestCase):
    """Bodies of ten events; the last answer of each case is repeated."""

    # Answers, whether a body is complete, with or without an end mark, and the
    # number of requests.
    CASES = (
        ((_ENDED,), True, 1),
        ((_CLOSED, _ENDED), True, 2),
        ((_SILENT, _ENDED), True, 2),
        ((_list_run(10), _ENDED), True, 2),
        ((_list_run(4), _list_run(11)), False, 2),
        ((_OTHER,), False, 1),
        ((_CLOSED, _OTHER), False, 2),
        # An endpoint that closes too many connections has room again.
        ((_CLOSED,) * 4 + (_ENDED,), True, 5),
        ((_CLOSED,), False, 5),
        ((_FOREIGN,), False, 5),
        ((_REFUSED,), False, 2),
        ((_CLOSED, _REFUSED), False, 3),
        ((_REFUSED, _CLOSED, _REFUSED, _ENDED), True, 4),
        ((_SILENT,), False, 2),
        ((_CLOSED, _SILENT), False, 2),
    )

    def _check(
        self,
        answers: tuple[object, ...],
        *,
        has_end_mark: bool,
        remaining_s: float = 5.0,
        **state: bool,
    ) -> tuple[bool, list[bool]]:
        """Returns whether a body is complete, and which requests were new."""
        are_new: list[bool] = []

        def request_status(is_new: bool, timeout_s: float) -> object:
            answer = answers[min(len(are_new), len(answers) - 1)]
            are_new.append(is_new)
            if answer is _SILENT:
                eventlet.sleep(timeout_s)
            return answer

        failure = end_check.find_broken_end(
            end_check.EndedResponse(
                "r", 10, has_end_mark=has_end_mark, **state
            ),
            request_status,
            clock.boottime() + remaining_s,
            events.Log("test"),
            "e",
        )
        return failure is None, are_new

    def test_end_counts_by_the_word_of_its_endpoint(self) -> None:
        for answers, expected, request_count in self.CASES:
            for has_end_mark in (False, True):
                with self.subTest(answers=answers, mark=has_end_mark):
                    is_complete, are_new = self._check(
                        answers, has_end_mark=has_end_mark
                    )
                    self.assertEqual(is_complete, expected)
                    self.assertEqual(len(are_new), request_count)

    # Answers, the last one repeated, and whether a marked end counts: of an
    # endpoint that was leaving, and of any other one.
    MARKED_ENDS = (
        ((_ENDED,), True, True),
        ((_list_run(10), _ENDED), True, True),
        ((_list_run(11),), False, False),
        ((_list_run(10),), False, False),
        ((_OTHER,), True, False),
        ((_CLOSED,), True, False),
        ((_FOREIGN,), True, False),
        ((_REFUSED,), True, False),
        ((_SILENT,), True, False),
        ((_CLOSED, _OTHER), True, False),
        ((_list_run(10), _SILENT), True, False),
        ((_list_run(10), _REFUSED), True, False),
        ((_list_run(10), _list_run(11)), False, False),
        # Room again after the connection limit.
        ((_CLOSED, _ENDED), True, True),
        ((_CLOSED, _list_run(11)), False, False),
        ((_FOREIGN, _list_run(11)), False, False),
        ((_CLOSED, _list_run(10)), False, False),
    )

    def test_expected_absence_is_no_evidence_against_a_marked_end(
        self,
    ) -> None:
        """Guards against whole answers that are cut, and against cut ones."""
        for answers, if_leaving, otherwise in self.MARKED_ENDS:
            for state, is_complete in (
                ({"is_leaving": True}, if_leaving),
                ({"is_leaving": True, "is_close_announced": True}, if_leaving),
                ({"is_close_announced": True}, otherwise),
                ({}, otherwise),
            ):
                with self.subTest(answers=answers, state=state):
                    result = self._check(answers, has_end_mark=True, **state)
                    self.assertEqual(result[0], is_complete)

    def test_end_without_a_mark_needs_its_endpoints_statement(
        self,
    ) -> None:
        for answers, expected, request_count in self.CASES:
            with self.subTest(answers):
                is_complete, are_new = self._check(
                    answers,
                    has_end_mark=False,
                    is_leaving=True,
                    is_close_announced=True,
                )
                self.assertEqual(is_complete, expected)
                self.assertEqual(len(are_new), request_count)

    def test_caller_of_a_leaving_endpoint_waits_shortly_for_the_end(
        self,
    ) -> None:
        """Parts that arrive 120 ms late have less value for callers."""
        for answers in (
            (_SILENT,),
            (_REFUSED,),
            (_CLOSED,),
            (_FOREIGN,),
            (_OTHER,),
            (_CLOSED, _SILENT),
        ):
            with self.subTest(answers):
                started_s = clock.boottime()
                _, are_new = self._check(
                    answers, has_end_mark=True, is_leaving=True
                )
                self.assertLessEqual(clock.boottime() - started_s, 0.121)
                # A pooled connection may be as dead as the endpoint.
                self.assertTrue(all(are_new))

    def test_connection_is_new_after_a_pooled_one_failed(self) -> None:
        for answers, are_new in (
            ((_CLOSED,), [False, True, True, True, True]),
            (
                (_list_run(1), _list_run(2), _CLOSED, _ENDED),
                [False] * 3 + [True],
            ),
        ):
            with self.subTest(answers):
                self.assertEqual(
                    self._check(answers, has_end_mark=False)[1], are_new
                )

    def test_run_that_stays_listed_ends_with_the_time_of_the_check(
        self,
    ) -> None:
        for has_end_mark in (False, True):
            with self.subTest(has_end_mark):
                started_s = clock.boottime()
                is_complete, _ = self._check(
                    (_list_run(1),), has_end_mark=has_end_mark
                )
                self.assertFalse(is_complete)
                self.assertLess(clock.boottime() - started_s, 1.6)

    def test_check_ends_with_the_deadline_of_the_call(self) -> None:
        """A caller would wait for an answer that it can't use any more."""
        for answer in (_SILENT, _CLOSED, _list_run(1)):
            with self.subTest(answer):
                started_s = clock.boottime()
                self._check((answer,), has_end_mark=False, remaining_s=0.3)
                self.assertLessEqual(clock.boottime() - started_s, 0.301)


if __name__ == "__main__":
    unittest.main()
