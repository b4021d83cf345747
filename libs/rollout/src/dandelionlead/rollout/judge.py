"""Tests that decide from counters whether a version is bad or good.

A judge looks at one route. Each look holds what was counted for the next and
the old version since the look before, so that both are compared at the same
time and load.
"""

from __future__ import annotations

import abc
import enum
import math
from typing import TYPE_CHECKING

from dandelionlead.rollout import evidence

if TYPE_CHECKING:
    from collections.abc import Sequence

# A good version may be taken back in at most this part of the roll-outs.
FALSE_ALARM = 0.01
# A bad version may be called good in at most this part; the share then rises,
# and the test goes on.
FALSE_PASS = 0.05
# Tests that share FALSE_ALARM on one route: failures, first token, token gap.
TESTS = 3

# Rates of failure that are called bad: so many times the old one, or so much
# more than the old one, whichever is higher.
BAD_RATIO = 2.0
BAD_DIFFERENCE = 0.01
# A version counts as no worse up to this ratio of failure rates.
_TOLERATED_RATIO = 1.25
_RATIOS = (2.0, 4.0, 16.0, 64.0)
# When an endpoint dies, its requests fail together. Only so many failures of
# one look count, beyond a multiple of what the old version leads to expect.
_FAILURES_A_LOOK = 2
_EXPECTED_TIMES = 3

# Slower by one bucket (15%) is tolerated; a good version is shown to be
# slower by less than two to three buckets (32% to 52%).
_TOLERATED_BUCKETS = 1
_BAD_BUCKETS = 2
# Variance at which the sequential bound is tightest, in units of one
# comparison's variance: about 200 requests of the next version.
_TUNED_VARIANCE = 16.0
_FIRST_LOOKS = 10
_FIRST_OVERDISPERSION = 2.0
# The old version's failure rate as seen before anything was counted: one
# failure in 500 requests, as heavy as 100 requests.
_PRIOR_FAILURES = 0.2
_PRIOR_REQUESTS = 100.0


class Finding(enum.Enum):
    """What a judge finds."""

    UNDECIDED = "undecided"
    BAD = "bad"
    GOOD = "good"


class Judgement:
    """Finding with its reason, one sentence for operators."""

    __slots__ = ("finding", "reason")

    def __init__(self, finding: Finding, reason: str) -> None:
        self.finding = finding
        self.reason = reason


class Judge(abc.ABC):
    """Judges a version on one route; `BAD` is final."""

    @abc.abstractmethod
    def look(self, new: evidence.Sample, old: evidence.Sample) -> Judgement:
        """Takes in what was counted since the last look."""


class SequentialJudge(Judge):
    """Sequential tests that may be looked at after every second.

    Failures: a mixture of likelihood ratios over how the failures of a look
    fall on the two versions. It is a supermartingale while the next version
    fails no more than tolerated, so it ever exceeds 1/a with probability at
    most a (Ville), however often one looks.

    Latency: the rank sum of each look (Mann-Whitney), summed over looks, with
    the normal mixture bound (Robbins), and widened by the dispersion between
    looks.
    """

    def __init__(
        self,
        *,
        routes: int = 1,
        false_alarm: float = FALSE_ALARM,
        false_pass: float = FALSE_PASS,
    ) -> None:
        """Starts without evidence.

        Args:
            routes: Routes that are judged at the same time; they share the
                error rate.
            false_alarm: Rate of good versions taken back, over all routes.
            false_pass: Rate of bad versions called good.
        """
        level = false_alarm / (TESTS * routes)
        self._failures = _FailureTest(level, false_pass)
        self._first_token = _RankTest("first token", level, false_pass)
        self._token_gap = _RankTest("token gap", level, false_pass)
        self._bad: Judgement | None = None

    def look(self, new: evidence.Sample, old: evidence.Sample) -> Judgement:
        """Takes in what was counted since the last look."""
        if self._bad is not None:
            return self._bad
        self._failures.look(new, old)
        self._first_token.look(new.first_token, old.first_token)
        self._token_gap.look(new.token_gap, old.token_gap)
        tests = (self._failures, self._first_token, self._token_gap)
        for test in tests:
            if test.bad():
                self._bad = Judgement(Finding.BAD, test.describe())
                return self._bad
        if all(test.good() for test in tests):
            return Judgement(Finding.GOOD, "no test finds it worse")
        return Judgement(Finding.UNDECIDED, "the evidence is thin")


class ThresholdJudge(Judge):
    """Baseline: a fixed failure rate or slowdown after a few requests."""

    MIN_REQUESTS = 30
    MAX_FAILURE_RATE = 0.05
    MAX_SLOWDOWN = 1.3

    def __init__(self) -> None:
        self._new = evidence.Sample()
        self._old = evidence.Sample()

    def look(self, new: evidence.Sample, old: evidence.Sample) -> Judgement:
        """Takes in what was counted since the last look."""
        self._new.add(new)
        self._old.add(old)
        if self._new.requests < self.MIN_REQUESTS:
            return Judgement(Finding.UNDECIDED, "too few requests")
        if self._new.failures > self.MAX_FAILURE_RATE * self._new.requests:
            return Judgement(Finding.BAD, "failure rate over the threshold")
        for name in ("first_token", "token_gap"):
            ratio = _mean(getattr(self._new, name)) / max(
                1e-9, _mean(getattr(self._old, name))
            )
            if ratio > self.MAX_SLOWDOWN:
                return Judgement(Finding.BAD, f"{name} over the threshold")
        return Judgement(Finding.GOOD, "under the thresholds")


class FixedHorizonJudge(Judge):
    """Baseline: z-tests, valid for one look at a fixed number of requests.

    It repeats the test each time that as many requests again have come in.
    """

    HORIZON = 400
    LIMIT = 2.576  # one-sided 0.5%

    def __init__(self) -> None:
        self._new = evidence.Sample()
        self._old = evidence.Sample()
        self._last = Judgement(Finding.UNDECIDED, "the horizon is not reached")

    def look(self, new: evidence.Sample, old: evidence.Sample) -> Judgement:
        """Takes in what was counted since the last look."""
        if self._last.finding is Finding.BAD:
            return self._last
        self._new.add(new)
        self._old.add(old)
        if self._new.requests < self.HORIZON:
            return self._last
        zs = [self._failure_z()]
        for name in ("first_token", "token_gap"):
            score, variance = _rank_sum(
                getattr(self._new, name), getattr(self._old, name), 0
            )
            zs.append(score / math.sqrt(variance) if variance else 0.0)
        self._new = evidence.Sample()
        self._old = evidence.Sample()
        if max(zs) > self.LIMIT:
            self._last = Judgement(Finding.BAD, f"z is {max(zs):.1f}")
        else:
            self._last = Judgement(Finding.GOOD, "no z over the limit")
        return self._last

    def _failure_z(self) -> float:
        new, old = self._new, self._old
        total = new.requests + old.requests
        rate = (new.failures + old.failures) / total
        if not old.requests or not 0 < rate < 1:
            return 0.0
        scale = rate * (1 - rate) * (1 / new.requests + 1 / old.requests)
        difference = new.failures / new.requests - old.failures / old.requests
        return difference / math.sqrt(scale)


class _FailureTest:
    def __init__(self, level: float, false_pass: float) -> None:
        self._limit = -math.log(level)
        self._pass_limit = -math.log(false_pass)
        self._logs = [0.0 for _ in _RATIOS]
        self._highest = 0.0
        self._good_log = 0.0
        self._new = [0, 0]
        self._old = [0, 0]

    def look(self, new: evidence.Sample, old: evidence.Sample) -> None:
        """Weighs the failures of one look and the successes."""
        if new.requests and old.requests:
            self._weigh_failures(new, old)
        self._weigh_good(new)
        self._new[0] += new.requests
        self._new[1] += new.failures
        self._old[0] += old.requests
        self._old[1] += old.failures

    def bad(self) -> bool:
        """Whether the next version fails more than tolerated."""
        return self._highest >= self._limit

    def good(self) -> bool:
        """Whether it is shown to fail less than a bad version."""
        return self._good_log >= self._pass_limit

    def describe(self) -> str:
        """Returns the counts."""
        return (
            f"{self._new[1]} of {self._new[0]} requests failed, and "
            f"{self._old[1]} of {self._old[0]} with the old version"
        )

    def _weigh_failures(
        self, new: evidence.Sample, old: evidence.Sample
    ) -> None:
        expected = old.failures * new.requests / old.requests
        cap = _FAILURES_A_LOOK + _EXPECTED_TIMES * expected
        here = min(new.failures, int(cap))
        there = old.failures
        null = _part(_TOLERATED_RATIO, new.requests, old.requests)
        for index, ratio in enumerate(_RATIOS):
            alternative = _part(ratio, new.requests, old.requests)
            self._logs[index] += here * math.log(alternative / null)
            self._logs[index] += there * math.log(
                (1 - alternative) / (1 - null)
            )
        self._highest = max(self._highest, _log_mean_exp(self._logs))

    def _weigh_good(self, new: evidence.Sample) -> None:
        old_rate = (self._old[1] + _PRIOR_FAILURES) / (
            self._old[0] + _PRIOR_REQUESTS
        )
        bad_rate = max(BAD_RATIO * old_rate, old_rate + BAD_DIFFERENCE)
        bad_rate = min(bad_rate, (1 + old_rate) / 2)
        succeeded = new.requests - new.failures
        self._good_log += new.failures * math.log(old_rate / bad_rate)
        self._good_log += succeeded * math.log((1 - old_rate) / (1 - bad_rate))


class _RankTest:
    def __init__(self, name: str, level: float, false_pass: float) -> None:
        self._name = name
        self._level = level
        self._false_pass = false_pass
        self._slower = _Walk()
        self._faster = _Walk()
        self._requests = 0
        self._bad = False

    def look(self, new: Sequence[int], old: Sequence[int]) -> None:
        """Adds the rank sums of one look."""
        self._requests += sum(new)
        self._slower.add(*_rank_sum(new, old, _TOLERATED_BUCKETS))
        score, variance = _rank_sum(new, old, _BAD_BUCKETS)
        self._faster.add(-score, variance)
        self._bad = self._bad or self._slower.exceeds(self._level)

    def bad(self) -> bool:
        """Whether the next version is slower than tolerated."""
        return self._bad

    def good(self) -> bool:
        """Whether it is shown to be less slow, or nothing is measured."""
        return not self._requests or self._faster.exceeds(self._false_pass)

    def describe(self) -> str:
        """Returns what was found."""
        return (
            f"the {self._name} is over {evidence.RATIO - 1:.0%} slower than "
            f"with the old version, after {self._requests} requests"
        )


class _Walk:
    """Sum of scores with its variance, and the bound that it should stay in."""

    def __init__(self) -> None:
        self._score = 0.0
        self._variance = 0.0
        self._looks = 0
        self._sum = 0.0
        self._squares = 0.0

    def add(self, score: float, variance: float) -> None:
        """Adds the score of one look."""
        if variance <= 0:
            return
        self._score += score
        self._variance += variance
        standardised = score / math.sqrt(variance)
        self._looks += 1
        self._sum += standardised
        self._squares += standardised * standardised

    def exceeds(self, level: float) -> bool:
        """Whether the sum is over the one-sided bound for this level."""
        if self._looks < 2 or self._score <= 0:
            return False
        spread = self._variance * self._overdispersion()
        tuned = _TUNED_VARIANCE
        inner = math.log((spread + tuned) / tuned) / 2 - math.log(2 * level)
        bound = math.sqrt(2 * (spread + tuned) * max(0.0, inner))
        return self._score > bound

    def _overdispersion(self) -> float:
        mean = self._sum / self._looks
        seen = self._squares / self._looks - mean * mean
        if self._looks < _FIRST_LOOKS:
            return max(_FIRST_OVERDISPERSION, seen)
        return max(1.0, seen)


def _part(ratio: float, new: int, old: int) -> float:
    """Part of all failures that fall on the next version at this ratio."""
    return ratio * new / (ratio * new + old)


def _log_mean_exp(logs: Sequence[float]) -> float:
    top = max(logs)
    total = sum(math.exp(item - top) for item in logs)
    return top + math.log(total / len(logs))


def _rank_sum(
    new: Sequence[int], old: Sequence[int], faster_by: int
) -> tuple[float, float]:
    """Returns the centred rank sum of `new` in units of `old`, and variance.

    Args:
        new: Requests of the next version per bucket.
        old: Requests of the old version per bucket.
        faster_by: Buckets by which `new` is made faster first.

    Returns:
        Score (positive if `new` is slower) and its variance if both are
        alike, divided by the number of requests, so that large looks do not
        outweigh the rest.
    """
    shifted = [*new[faster_by:], *([0] * faster_by)]
    if faster_by:
        shifted[0] += sum(new[:faster_by])
    news = sum(new)
    olds = sum(old)
    total = news + olds
    if not news or not olds or total < 3:
        return 0.0, 0.0
    score = 0.0
    ties = 0.0
    below = 0
    for here, there in zip(shifted, old, strict=True):
        score += here * (below + there / 2)
        below += there
        both = here + there
        ties += both * both * both - both
    score -= news * olds / 2
    variance = news * olds / 12 * (total + 1 - ties / (total * (total - 1)))
    return score / total, variance / (total * total)


def _mean(counts: Sequence[int]) -> float:
    total = sum(counts)
    if not total:
        return 0.0
    middle = evidence.FIRST_S * math.sqrt(evidence.RATIO)
    return (
        sum(
            count * middle * evidence.RATIO**index
            for index, count in enumerate(counts)
        )
        / total
    )
