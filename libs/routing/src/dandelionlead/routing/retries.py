"""Retry budget, back-off, and which failures may be retried at all.

Pure code: time does not matter here, and randomness is an argument.
"""

from __future__ import annotations

import enum
import random

from dandelionlead.core import errors

# Retries and hedges together, in hundredths of first tries.
SHARE_PERCENT = 10
# Retries that may follow each other at once after a quiet time.
BURST = 10
# A fresh process has earned nothing yet; one retry lets it pass over the
# first dead endpoint.
START = 1
BACKOFF_FIRST_S = 0.05
BACKOFF_LONGEST_S = 2.0

_TOKEN = 100


class RetryBudget:
    """Token bucket: first tries fill it, retries and hedges empty it.

    In any window, retries are at most `percent` hundredths of the window's
    first tries plus `burst`. Integers keep the bound exact.

    Args:
        percent: Retries per 100 first tries.
        burst: Largest number of saved retries.
        start: Saved retries at the start.
    """

    __slots__ = ("_percent", "_limit", "_saved")

    def __init__(
        self,
        *,
        percent: int = SHARE_PERCENT,
        burst: int = BURST,
        start: int = START,
    ) -> None:
        self._percent = percent
        self._limit = burst * _TOKEN
        self._saved = min(start, burst) * _TOKEN

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved / _TOKEN

    def first_try(self) -> None:
        """Counts a first try."""
        self._saved = min(self._limit, self._saved + self._percent)

    def take(self) -> bool:
        """Takes one retry or hedge from the budget, if there is one."""
        if self._saved < _TOKEN:
            return False
        self._saved -= _TOKEN
        return True


def backoff_s(number: int, rng: random.Random) -> float:
    """Returns the pause before retry `number` (from 0), in seconds.

    The pause is uniform between half and the whole of an exponential step, so
    that callers that failed together do not come back together.
    """
    step = min(BACKOFF_LONGEST_S, BACKOFF_FIRST_S * 2 ** min(number, 16))
    return rng.uniform(step / 2, step)


class Policy(enum.Enum):
    """When a kind of failure may be retried by an entry."""

    NEVER = "never"
    REPEATABLE = "repeatable"
    ALWAYS = "always"


# A kind is `ALWAYS` only if the call did not run and another endpoint may do
# better, and `REPEATABLE` if it may have run. Refusals that hold for every
# endpoint are `NEVER`, as are an entry's own states: the caller's library
# tries another entry for these.
POLICIES: dict[errors.Kind, Policy] = dict.fromkeys(errors.Kind, Policy.NEVER)
POLICIES |= {
    errors.Kind.ENDPOINT_UNREACHABLE: Policy.ALWAYS,
    errors.Kind.OVERLOADED: Policy.ALWAYS,
    errors.Kind.ENDPOINT_FAILED: Policy.REPEATABLE,
    errors.Kind.GENERATION_LOST: Policy.REPEATABLE,
    errors.Kind.OUTCOME_UNKNOWN: Policy.REPEATABLE,
}


def may_retry(
    kind: errors.Kind, reached_caller: bool, repeatable: bool
) -> bool:
    """Returns whether a failed call may be sent again.

    Args:
        kind: The failure.
        reached_caller: A byte of the response has reached the caller.
        repeatable: The call may run more than once.
    """
    if reached_caller:
        return False
    policy = POLICIES[kind]
    if policy is Policy.REPEATABLE:
        return repeatable
    return policy is Policy.ALWAYS
