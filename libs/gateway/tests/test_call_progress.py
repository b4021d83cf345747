"""Guards against a wrong record of who may have run a call."""

from __future__ import annotations

import unittest

from dandelionlead.core import errors
from dandelionlead.gateway import call_progress
from dandelionlead.routing import calls
from dandelionlead.routing import model

_PHASE = call_progress.Phase
_RUN_STATE = errors.RunState


class _Writer:
    def __init__(self) -> None:
        self.has_started = False
        self.has_ended = False


def _make_progress() -> tuple[call_progress.CallProgress, _Writer]:
    call = calls.Call("r", b"POST", b"/", "h", "/", [])
    service = model.Service("plain", 10, 0.0, None)
    target = model.Target("plain", 1.0)
    route = model.Route("r", "h", "/", model.CallKind.IDEMPOTENT, (target,))
    writer = _Writer()
    admitted = calls.AdmittedCall(call, route, None, service, 1)
    return call_progress.CallProgress(admitted, writer), writer


def _make_endpoint(endpoint_id: str) -> model.Endpoint:
    return model.Endpoint(endpoint_id, "plain", "10.0.0.1", 80, "z")


class PhaseTest(unittest.TestCase):
    """Guards against a call that counts as not run although it may have."""

    def test_phase_follows_the_attempts(self) -> None:
        cases = (
            # Outcomes of ended attempts, whether one is in progress, phase.
            ((), False, _PHASE.WAITING),
            ((), True, _PHASE.SENT),
            ((_RUN_STATE.NOT_RUN,), False, _PHASE.WAITING),
            ((_RUN_STATE.UNKNOWN,), False, _PHASE.SENT),
            ((_RUN_STATE.RAN, _RUN_STATE.NOT_RUN), False, _PHASE.SENT),
            ((_RUN_STATE.NOT_RUN,) * 2, True, _PHASE.SENT),
        )
        for outcomes, is_in_attempt, phase in cases:
            with self.subTest(outcomes=outcomes, in_attempt=is_in_attempt):
                progress, _ = _make_progress()
                for number, outcome in enumerate(outcomes):
                    progress.begin_attempt(_make_endpoint(f"e{number}"))
                    progress.end_attempt(outcome)
                if is_in_attempt:
                    progress.begin_attempt(_make_endpoint("last"))
                self.assertIs(progress.phase, phase)
                self.assertEqual(
                    progress.possible_run_count,
                    len(outcomes) - outcomes.count(_RUN_STATE.NOT_RUN),
                )

    def test_attempt_at_a_peer_counts_like_one_at_an_endpoint(self) -> None:
        """Guards against a call that runs again because a peer ran it."""
        # Outcome at the peer, attempts of the route, phase, may run again.
        cases = (
            (_RUN_STATE.NOT_RUN, 1, _PHASE.WAITING, True),
            (_RUN_STATE.UNKNOWN, 1, _PHASE.SENT, False),
            (_RUN_STATE.UNKNOWN, 2, _PHASE.SENT, True),
        )
        for outcome, max_attempts, phase, may_run_again in cases:
            with self.subTest(outcome=outcome, max_attempts=max_attempts):
                progress, _ = _make_progress()
                progress.admitted.route.max_attempts = max_attempts
                progress.begin_relay()
                self.assertIs(progress.phase, _PHASE.SENT)
                progress.end_relay(outcome)
                self.assertIs(progress.phase, phase)
                self.assertEqual(progress.may_run_again, may_run_again)

    def test_phase_follows_the_response(self) -> None:
        progress, writer = _make_progress()
        progress.begin_attempt(_make_endpoint("e"))
        writer.has_started = True
        self.assertIs(progress.phase, _PHASE.RESPONDING)
        writer.has_ended = True
        self.assertIs(progress.phase, _PHASE.ENDED)

    def test_call_whose_caller_has_gone_has_ended(self) -> None:
        progress, _ = _make_progress()
        progress.begin_attempt(_make_endpoint("e"))
        progress.end()
        self.assertIs(progress.phase, _PHASE.ENDED)


if __name__ == "__main__":
    unittest.main()
