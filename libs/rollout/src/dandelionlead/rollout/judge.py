"""Tests that decide from counters whether a version is bad or good.

A judge looks at one route. Each look holds what was counted for the next and
the old version since the look before, so that both are compared at the same
time and load.
"""

from __future__ import annotations

import abc
import collections
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
# Tests that share FALSE_ALARM on one route: failures against the old version
# at the same time, failures against its rate so far, first token, token gap.
TESTS = 4

# Rates of failure that are called bad: so many times the old one, or so much
# more than the old one, whichever is higher.
BAD_RATIO = 2.0
BAD_DIFFERENCE = 0.02
# A version counts as no worse up to this ratio of failure rates.
_TOLERATED_RATIO = 1.25
_RATIOS = (2.0, 4.0, 16.0, 64.0)
# When an endpoint dies, its requests fail together. Only so many failures of
# one look count: two, a part of its requests, and a multiple of what the old
# version leads to expect.
_FAILURES_A_LOOK = 2
_FAILURES_A_REQUEST = 0.08
_EXPECTED_TIMES = 3

# While the old version gets little traffic, its failures at the same time say
# little. The next version is then compared with a rate that a good one stays
# under: twice the old rate so far and 1%, or twice the old rate of late.
_RATE_TIMES = 2.0
_RATE_MORE = 0.01
_RATE_RATIOS = (3.0, 8.0)
_MOST_RATE = 0.9
_RECENT_LOOKS = 5
# A test begins anew every so many looks, so that a good past does not hide a
# version that fails later. All but the first and the latest are dropped.
_RESTART_LOOKS = 5
_KEPT_RESTARTS = 8

# Slower by one bucket (20%) is tolerated; a good version is shown to be
# slower by less than two to three buckets (44% to 73%).
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

    Failures: mixtures of likelihood ratios over how the failures of a look
    fall on the two versions, and over their rate. Each is a supermartingale
    while the next version fails no more than tolerated, so it ever exceeds
    1/a with probability at most a (Ville), however often one looks. Where the
    old rate is estimated this holds approximately; tools/bench_rollout.py
    measures it.

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
        self._new = evidence.Sample()
        self._old = evidence.Sample()

    def look(self, new: evidence.Sample, old: evidence.Sample) -> Judgement:
        """Takes in what was counted since the last look."""
        if self._bad is not None:
            return self._bad
        self._new.add(new)
        self._old.add(old)
        # With little traffic a look often holds one version only; it is then
        # weighed together with the next looks, up to the first with both.
        if self._new.requests and self._old.requests:
            self._weigh(self._new, self._old)
            self._new = evidence.Sample()
            self._old = evidence.Sample()
        tests = (self._failures, self._first_token, self._token_gap)
        for test in tests:
            if test.bad():
                self._bad = Judgement(Finding.BAD, test.describe())
                return self._bad
        if all(test.good() for test in tests):
            return Judgement(Finding.GOOD, "no test finds it worse")
        return Judgement(Finding.UNDECIDED, "the evidence is thin")

    def _weigh(self, new: evidence.Sample, old: evidence.Sample) -> None:
        self._failures.look(new, old)
        self._first_token.look(new.first_token, old.first_token)
        self._token_gap.look(new.token_gap, old.token_gap)


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
        self._beside = _Mixture(len(_RATIOS))
        self._rate = _Mixture(len(_RATE_RATIOS))
        self._good_log = 0.0
        self._new = [0, 0]
        self._old = [0, 0]
        self._recent: collections.deque[evidence.Sample] = collections.deque(
            maxlen=_RECENT_LOOKS
        )

    def look(self, new: evidence.Sample, old: evidence.Sample) -> None:
        """Weighs one look with requests of both versions."""
        expected = old.failures * new.requests / old.requests
        cap = _FAILURES_A_LOOK + _EXPECTED_TIMES * expected
        cap += _FAILURES_A_REQUEST * new.requests
        counted = min(new.failures, int(cap))
        self._recent.append(old)
        self._weigh_beside(new, old, counted)
        self._weigh_rate(new, counted)
        self._weigh_good(new, counted)
        self._new[0] += new.requests
        self._new[1] += new.failures
        self._old[0] += old.requests
        self._old[1] += old.failures

    def bad(self) -> bool:
        """Whether the next version fails more than tolerated."""
        return max(self._beside.highest, self._rate.highest) >= self._limit

    def good(self) -> bool:
        """Whether it is shown to fail less than a bad version."""
        return self._good_log >= self._pass_limit

    def describe(self) -> str:
        """Returns the counts."""
        return (
            f"{self._new[1]} of {self._new[0]} requests failed, and "
            f"{self._old[1]} of {self._old[0]} with the old version"
        )

    def _weigh_beside(
        self, new: evidence.Sample, old: evidence.Sample, here: int
    ) -> None:
        """Weighs how the failures fall on the two versions."""
        there = old.failures
        null = _part(_TOLERATED_RATIO, new.requests, old.requests)
        parts = [_part(r, new.requests, old.requests) for r in _RATIOS]
        self._beside.add(
            [
                here * math.log(part / null)
                + there * math.log((1 - part) / (1 - null))
                for part in parts
            ]
        )

    def _weigh_rate(self, new: evidence.Sample, failures: int) -> None:
        """Weighs the failures against the highest rate of a good version."""
        recent = 1 + sum(item.failures for item in self._recent)
        among = 1 + sum(item.requests for item in self._recent)
        null = max(
            _RATE_TIMES * self._old_rate() + _RATE_MORE,
            _RATE_TIMES * recent / among,
        )
        null = min(null, _MOST_RATE / 2)
        succeeded = new.requests - new.failures
        logs = []
        for ratio in _RATE_RATIOS:
            rate = min(ratio * null, _MOST_RATE)
            logs.append(
                failures * math.log(rate / null)
                + succeeded * math.log((1 - rate) / (1 - null))
            )
        self._rate.add(logs)

    def _old_rate(self) -> float:
        return (self._old[1] + _PRIOR_FAILURES) / (
            self._old[0] + _PRIOR_REQUESTS
        )

    def _weigh_good(self, new: evidence.Sample, failures: int) -> None:
        old_rate = self._old_rate()
        bad_rate = max(BAD_RATIO * old_rate, old_rate + BAD_DIFFERENCE)
        bad_rate = min(bad_rate, (1 + old_rate) / 2)
        succeeded = new.requests - new.failures
        self._good_log += failures * math.log(old_rate / bad_rate)
        self._good_log += succeeded * math.log((1 - old_rate) / (1 - bad_rate))


class _Mixture:
    """Weighted sum of likelihood ratios that begin at different looks.

    The weights 1/j(j+1) add up to one, so the sum is a supermartingale like
    each of its terms. Dropping a term only makes it smaller.
    """

    def __init__(self, alternatives: int) -> None:
        self.highest = -math.inf
        self._alternatives = alternatives
        self._looks = 0
        self._begun: list[list[float]] = []

    def add(self, logs: Sequence[float]) -> None:
        """Adds the log likelihood ratios of one look."""
        if self._looks % _RESTART_LOOKS == 0:
            self._begin()
        self._looks += 1
        for begun in self._begun:
            for index, log in enumerate(logs):
                begun[index] += log
        self.highest = max(
            self.highest, _log_sum_exp([log for b in self._begun for log in b])
        )

    def _begin(self) -> None:
        number = 1 + self._looks // _RESTART_LOOKS
        weight = 1 / (number * (number + 1) * self._alternatives)
        self._begun.append([math.log(weight)] * self._alternatives)
        if len(self._begun) > _KEPT_RESTARTS:
            del self._begun[1]


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


def _log_sum_exp(logs: Sequence[float]) -> float:
    top = max(logs)
    return top + math.log(sum(math.exp(item - top) for item in logs))


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
