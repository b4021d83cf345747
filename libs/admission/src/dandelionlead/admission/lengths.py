"""Memory of generations of unknown length: what to reserve for them.

Output lengths are learned online in log-spaced histograms, per route and team,
with a fallback to the route and then to a prior. The remaining length of a
running generation is conditional on what it has generated so far.
"""

from __future__ import annotations

import abc
import bisect
import itertools
import math
from collections.abc import Iterable
from collections.abc import Sequence

# Four buckets per doubling: a length is known to within 19%.
_BUCKETS_PER_DOUBLING = 4
_LONGEST = 131_072
# Weight of the next wider distribution, in observations.
_FALLBACK_WEIGHT = 16.0
# Counts are halved beyond this sum, so that a change of lengths is learned.
_MEMORY = 2_000.0
_EDGES = [0.0] + [
    2.0 ** (step / _BUCKETS_PER_DOUBLING)
    for step in range(int(math.log2(_LONGEST)) * _BUCKETS_PER_DOUBLING + 1)
]
_BUCKETS = len(_EDGES) - 1
_MIDDLES = [(low + high) / 2 for low, high in itertools.pairwise(_EDGES)]
# Standard deviations kept free. tools/bench_admission.py showed up to 124
# preemptions a minute at 1.5 of capacity with 1, 37 with 2 and 3 with 3, while
# the requests answered whole differed by at most 7%.
DEVIATIONS = 3.0
# Output tokens ahead at which the memory needed is forecast.
_HORIZONS = (0, 8, 32, 64, 128, 256, 512, 1024, 2048, 4096)
# Median and spread of the prior, where the configuration gives none.
_PRIOR_MEDIAN = 256.0
_PRIOR_SIGMA = 1.5


class Work:
    """A generation as far as its memory is concerned.

    Attributes:
        route: Route of the request.
        team: Team of the request.
        prompt_tokens: Length of the prompt.
        max_tokens: Most output tokens that the request allows.
        generated: Output tokens so far.
    """

    __slots__ = ("route", "team", "prompt_tokens", "max_tokens", "generated")

    def __init__(
        self,
        route: str,
        team: str,
        prompt_tokens: int,
        max_tokens: int,
        generated: int = 0,
    ) -> None:
        self.route = route
        self.team = team
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.generated = generated


class Remaining:
    """Remaining output tokens of a generation: mean and variance."""

    __slots__ = ("mean", "variance")

    def __init__(self, mean: float, variance: float) -> None:
        self.mean = mean
        self.variance = variance


class Lengths:
    """Online distributions of output lengths."""

    def __init__(
        self, *, median: float = _PRIOR_MEDIAN, sigma: float = _PRIOR_SIGMA
    ) -> None:
        """Starts with a log-normal prior.

        Args:
            median: Median output length of the prior, in tokens.
            sigma: Standard deviation of the logarithm of the length.
        """
        self._prior = _Histogram(_log_normal(median, sigma))
        self._routes: dict[str, _Histogram] = {}
        self._teams: dict[tuple[str, str], _Histogram] = {}
        self._mixed: dict[tuple[str, str], _Mixture] = {}

    def observe(self, route: str, team: str, output_tokens: int) -> None:
        """Learns the output length of a generation that ended by itself."""
        bucket = _bucket(output_tokens)
        self._routes.setdefault(route, _Histogram()).add(bucket)
        self._teams.setdefault((route, team), _Histogram()).add(bucket)
        self._mixed.pop((route, team), None)

    def remaining(
        self, route: str, team: str, generated: int, max_tokens: int
    ) -> Remaining:
        """Returns what is left to generate, given what was generated."""
        return self._mixture(route, team).remaining(generated, max_tokens)

    def survival(self, route: str, team: str, work: Work) -> list[float]:
        """Returns the chance that a generation still runs at each horizon."""
        mixture = self._mixture(route, team)
        return mixture.survival(work.generated, work.max_tokens)

    def quantile(
        self, route: str, team: str, generated: int, quantile: float
    ) -> float:
        """Returns a quantile (0 to 1) of the remaining length in tokens."""
        return self._mixture(route, team).quantile(generated, quantile)

    def _mixture(self, route: str, team: str) -> _Mixture:
        key = (route, team)
        mixture = self._mixed.get(key)
        if mixture is None:
            weights = self._prior.normalised(1.0)
            for learned in (self._routes.get(route), self._teams.get(key)):
                if learned is not None:
                    weights = learned.mixed_with(weights)
            mixture = _Mixture(weights)
            self._mixed[key] = mixture
        return mixture


class Plan(abc.ABC):
    """Units reserved for the running generations of one endpoint.

    A plan is made from all of them about once a second, since they grow, and
    extended for each new one in between.
    """

    @property
    @abc.abstractmethod
    def units(self) -> int:
        """Units reserved for all generations of the plan together."""

    @abc.abstractmethod
    def with_new(self, work: Work) -> Plan:
        """Returns the plan with one more generation."""

    def needed(self, work: Work) -> int:
        """Returns the units that one more generation needs, at least 1."""
        return max(1, self.with_new(work).units - self.units)


class ReservationPolicy(abc.ABC):
    """Decides the units that generations reserve together."""

    @abc.abstractmethod
    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""

    def plan(self, running: Sequence[Work]) -> Plan:
        """Returns the plan of these generations."""
        return _ListPlan(self, list(running))

    def needed(self, running: Sequence[Work], new: Work) -> int:
        """Returns the units that one more generation needs, at least 1.

        A plan that is kept for a second costs much less per request.
        """
        return self.plan(running).needed(new)


class ByLength(ReservationPolicy):
    """Peak of the memory that the generations will need together.

    All running generations grow together, and some end. For each horizon the
    policy takes the expected memory of those that still run then, and k
    standard deviations of the sum; it reserves the largest of these. Summing
    the final lengths instead would count memory that has been freed already.
    """

    def __init__(
        self,
        lengths: Lengths,
        *,
        k: float = DEVIATIONS,
        entries: int = 1,
    ) -> None:
        """Starts with the lengths learned so far.

        Args:
            lengths: Distributions; shared with the caller, which adds to them.
            k: Standard deviations of the whole endpoint's sum to keep free.
            entries: Entries that reserve on the same endpoint. Independent
                deviations add as squares, so each keeps k / sqrt(entries).
        """
        self._lengths = lengths
        self._k = k / math.sqrt(entries)

    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""
        return self.plan(running).units

    def plan(self, running: Sequence[Work]) -> Plan:
        """Returns the plan of these generations."""
        zeros = [0.0] * len(_HORIZONS)
        plan = _PeakPlan(self._lengths, self._k, zeros, list(zeros))
        for work in running:
            plan.add(work)
        return plan


class BySumOfLengths(ReservationPolicy):
    """Sum of expected final lengths and k standard deviations of the sum."""

    def __init__(self, lengths: Lengths, *, k: float = DEVIATIONS) -> None:
        self._lengths = lengths
        self._k = k

    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""
        mean = 0.0
        variance = 0.0
        for work in running:
            left = self._lengths.remaining(
                work.route, work.team, work.generated, work.max_tokens
            )
            mean += work.prompt_tokens + work.generated + left.mean
            variance += left.variance
        return math.ceil(mean + self._k * math.sqrt(variance))


class ByCount(ReservationPolicy):
    """Baseline: the same units for every generation."""

    def __init__(self, units_each: int) -> None:
        self._units_each = units_each

    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""
        return self._units_each * len(running)


class ByMaxTokens(ReservationPolicy):
    """Baseline: the longest output that each request allows."""

    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""
        return sum(work.prompt_tokens + work.max_tokens for work in running)


class ByReportedLoad(ReservationPolicy):
    """Baseline: memory of the lagging load report, and new prompts.

    Generations that started after the report's snapshot count with their
    prompt only, as far as the report can know.
    """

    def __init__(self) -> None:
        self._used = 0
        self._known: set[int] = set()

    def observe_load(self, used: int, running: Iterable[Work]) -> None:
        """Takes in a load report that shows these generations."""
        self._used = used
        self._known = {id(work) for work in running}

    def reserve(self, running: Sequence[Work]) -> int:
        """Returns the units reserved for all these generations together."""
        fresh = (work for work in running if id(work) not in self._known)
        return self._used + sum(work.prompt_tokens for work in fresh)


class _ListPlan(Plan):
    """Plan of a policy without a cheaper way to extend it."""

    __slots__ = ("_policy", "_running", "_units")

    def __init__(self, policy: ReservationPolicy, running: list[Work]) -> None:
        self._policy = policy
        self._running = running
        self._units = policy.reserve(running)

    @property
    def units(self) -> int:
        return self._units

    def with_new(self, work: Work) -> Plan:
        return _ListPlan(self._policy, [*self._running, work])


class _PeakPlan(Plan):
    """Expected memory and its variance at each horizon."""

    __slots__ = ("_lengths", "_k", "_means", "_variances")

    def __init__(
        self,
        lengths: Lengths,
        k: float,
        means: list[float],
        variances: list[float],
    ) -> None:
        self._lengths = lengths
        self._k = k
        self._means = means
        self._variances = variances

    @property
    def units(self) -> int:
        peaks = (
            mean + self._k * math.sqrt(variance)
            for mean, variance in zip(self._means, self._variances, strict=True)
        )
        return math.ceil(max(peaks))

    def with_new(self, work: Work) -> Plan:
        plan = _PeakPlan(
            self._lengths, self._k, list(self._means), list(self._variances)
        )
        plan.add(work)
        return plan

    def add(self, work: Work) -> None:
        chances = self._lengths.survival(work.route, work.team, work)
        held = work.prompt_tokens + work.generated
        for index, chance in enumerate(chances):
            size = held + _HORIZONS[index]
            self._means[index] += chance * size
            self._variances[index] += chance * (1 - chance) * size * size


class _Histogram:
    """Decaying counts of lengths."""

    __slots__ = ("counts", "total")

    def __init__(self, counts: list[float] | None = None) -> None:
        self.counts = counts or [0.0] * _BUCKETS
        self.total = sum(self.counts)

    def add(self, bucket: int) -> None:
        self.counts[bucket] += 1
        self.total += 1
        if self.total > _MEMORY:
            self.counts = [count / 2 for count in self.counts]
            self.total = sum(self.counts)

    def normalised(self, total: float) -> list[float]:
        return [count * total / self.total for count in self.counts]

    def mixed_with(self, wider: list[float]) -> list[float]:
        total = self.total + _FALLBACK_WEIGHT
        return [
            (count + _FALLBACK_WEIGHT * other) / total
            for count, other in zip(self.counts, wider, strict=True)
        ]


class _Mixture:
    """Conditional moments of one distribution, prepared as suffix sums."""

    __slots__ = ("weights", "tail", "tail_mean", "tail_square")

    def __init__(self, weights: list[float]) -> None:
        self.weights = weights
        self.tail = [0.0] * (_BUCKETS + 1)
        self.tail_mean = [0.0] * (_BUCKETS + 1)
        self.tail_square = [0.0] * (_BUCKETS + 1)
        for index in range(_BUCKETS - 1, -1, -1):
            weight = weights[index]
            middle = _MIDDLES[index]
            self.tail[index] = self.tail[index + 1] + weight
            self.tail_mean[index] = self.tail_mean[index + 1] + weight * middle
            self.tail_square[index] = (
                self.tail_square[index + 1] + weight * middle * middle
            )

    def remaining(self, generated: int, max_tokens: int) -> Remaining:
        """Returns the moments of what is left, cut at `max_tokens`."""
        left_most = max(0.0, float(max_tokens - generated))
        first = self._first(generated)
        last = max(first, _bucket(max_tokens))
        chance = self.tail[first]
        if chance <= 0 or not left_most:
            return Remaining(left_most / 2, left_most * left_most / 12)
        inside = self.tail[first] - self.tail[last]
        mean = self.tail_mean[first] - self.tail_mean[last]
        square = self.tail_square[first] - self.tail_square[last]
        mean += self.tail[last] * max_tokens
        square += self.tail[last] * max_tokens * max_tokens
        whole = inside + self.tail[last]
        mean /= whole
        variance = max(0.0, square / whole - mean * mean)
        return Remaining(
            min(left_most, max(1.0, mean - generated)),
            min(variance, left_most * left_most / 4),
        )

    def survival(self, generated: int, max_tokens: int) -> list[float]:
        """Returns the chance of each horizon, given what was generated."""
        now = self._tail_at(generated)
        if now <= 0:
            return [1.0] + [0.0] * (len(_HORIZONS) - 1)
        return [
            self._tail_at(generated + ahead) / now
            if generated + ahead < max_tokens or not ahead
            else 0.0
            for ahead in _HORIZONS
        ]

    def _tail_at(self, tokens: int) -> float:
        """Returns the chance of a length beyond `tokens`."""
        bucket = _bucket(tokens)
        low, high = _EDGES[bucket], _EDGES[bucket + 1]
        inside = min(1.0, max(0.0, (high - tokens) / (high - low)))
        return self.tail[bucket + 1] + self.weights[bucket] * inside

    def quantile(self, generated: int, quantile: float) -> float:
        first = self._first(generated)
        wanted = self.tail[first] * (1 - quantile)
        for index in range(first, _BUCKETS):
            if self.tail[index + 1] <= wanted:
                return max(1.0, _EDGES[index + 1] - generated)
        return max(1.0, _EDGES[-1] - generated)

    def _first(self, generated: int) -> int:
        """Returns the first bucket whose lengths are mostly still possible."""
        return bisect.bisect_left(_MIDDLES, generated, hi=_BUCKETS - 1)


def _bucket(tokens: int) -> int:
    position = bisect.bisect_right(_EDGES, tokens) - 1
    return min(max(position, 0), _BUCKETS - 1)


def _log_normal(median: float, sigma: float) -> list[float]:
    def below(edge: float) -> float:
        if edge <= 0:
            return 0.0
        score = math.log(edge / median) / (sigma * math.sqrt(2))
        return 0.5 * (1 + math.erf(score))

    return [
        below(high) - below(low) + 1e-12
        for low, high in itertools.pairwise(_EDGES)
    ]
