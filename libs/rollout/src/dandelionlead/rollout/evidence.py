"""Counters of requests per version and route, merged over all members."""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Sequence

# Bounds of the latency buckets: bucket i holds durations from
# FIRST_S * RATIO**i. 20% is the slowdown that the judge tolerates: with 15%,
# 31 of 400 simulated versions that were 10% slower, on endpoints that differ
# by 3%, were taken back. 62 buckets reach from 1 ms to 81 s.
FIRST_S = 0.001
RATIO = 1.2
BUCKETS = 62


def bucket(seconds: float) -> int:
    """Returns the index of the bucket for a duration."""
    if seconds <= FIRST_S:
        return 0
    index = int(math.log(seconds / FIRST_S) / math.log(RATIO))
    return min(BUCKETS - 1, index)


class Sample:
    """Counts of one version on one route.

    Attributes:
        requests: Requests that ended.
        failures: Those of them that failed by fault of the version.
        first_token: Requests per latency bucket of the first token.
        token_gap: Requests per latency bucket of their mean token gap.
    """

    __slots__ = ("requests", "failures", "first_token", "token_gap")

    def __init__(
        self,
        requests: int = 0,
        failures: int = 0,
        first_token: Sequence[int] = (),
        token_gap: Sequence[int] = (),
    ) -> None:
        self.requests = requests
        self.failures = failures
        self.first_token = _padded(first_token)
        self.token_gap = _padded(token_gap)

    def record(
        self,
        *,
        failed: bool,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Counts one request."""
        self.requests += 1
        self.failures += failed
        if first_token_s is not None:
            self.first_token[bucket(first_token_s)] += 1
        if token_gap_s is not None:
            self.token_gap[bucket(token_gap_s)] += 1

    def raise_to(self, other: Sample) -> None:
        """Takes the maximum of each counter."""
        self.requests = max(self.requests, other.requests)
        self.failures = max(self.failures, other.failures)
        self.first_token = _max(self.first_token, other.first_token)
        self.token_gap = _max(self.token_gap, other.token_gap)

    def add(self, other: Sample) -> None:
        """Adds all counters of another sample."""
        self.requests += other.requests
        self.failures += other.failures
        self.first_token = _sum(self.first_token, other.first_token)
        self.token_gap = _sum(self.token_gap, other.token_gap)

    def since(self, earlier: Sample) -> Sample:
        """Returns what was counted after an earlier sample."""
        return Sample(
            max(0, self.requests - earlier.requests),
            max(0, self.failures - earlier.failures),
            _difference(self.first_token, earlier.first_token),
            _difference(self.token_gap, earlier.token_gap),
        )


class Source:
    """Who counted what: the key of one set of counters.

    Attributes:
        model: Name of the model.
        version: Its version.
        route: Name of the route.
        member: The entry that counts.
        incarnation: Start of that entry's process. It stays the same for
            the life of a process, unlike the incarnation in the member table.
    """

    __slots__ = ("model", "version", "route", "member", "incarnation")

    def __init__(
        self,
        model: str,
        version: str,
        route: str,
        member: str,
        incarnation: int,
    ) -> None:
        self.model = model
        self.version = version
        self.route = route
        self.member = member
        self.incarnation = incarnation

    def _key(self) -> tuple[str, str, str, str, int]:
        return (
            self.model,
            self.version,
            self.route,
            self.member,
            self.incarnation,
        )

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Source) and self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())


class Evidence:
    """Grow-only counters of all members, one writer each."""

    def __init__(self, member: str, incarnation: int) -> None:
        """Starts empty; `member` and `incarnation` are of this process."""
        self._member = member
        self._incarnation = incarnation
        self._samples: dict[Source, Sample] = {}
        # Sources that changed since they were sent, and when each was sent.
        self._changed: set[Source] = set()
        self._sent: dict[Source, int] = {}
        self._messages = 0

    def record(
        self,
        model: str,
        version: str,
        route: str,
        *,
        failed: bool,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Counts one request of this process."""
        source = Source(model, version, route, self._member, self._incarnation)
        sample = self._samples.setdefault(source, Sample())
        sample.record(
            failed=failed, first_token_s=first_token_s, token_gap_s=token_gap_s
        )
        self._changed.add(source)

    def merge(self, items: Iterable[tuple[Source, Sample]]) -> None:
        """Merges counters from a message by maximum."""
        for source, sample in items:
            if (source.member, source.incarnation) == (
                self._member,
                self._incarnation,
            ):
                continue
            known = self._samples.setdefault(source, Sample())
            if sample.requests > known.requests:
                self._changed.add(source)
            known.raise_to(sample)

    def for_message(self, limit: int) -> list[tuple[Source, Sample]]:
        """Returns at most `limit` sets of counters.

        Those that changed go first, then those not sent for longest, so that
        busy counters do not keep back those of other members.
        """
        self._messages += 1
        order = sorted(
            self._samples,
            key=lambda item: (
                item not in self._changed,
                self._sent.get(item, 0),
            ),
        )[:limit]
        for source in order:
            self._sent[source] = self._messages
            self._changed.discard(source)
        return [(source, self._samples[source]) for source in order]

    def routes(self, model: str) -> list[str]:
        """Returns the routes on which the model had requests."""
        return sorted({s.route for s in self._samples if s.model == model})

    def total(self, model: str, version: str, route: str) -> Sample:
        """Returns the sum over all members and their lives."""
        result = Sample()
        for source, sample in self._samples.items():
            if (source.model, source.version, source.route) == (
                model,
                version,
                route,
            ):
                result.add(sample)
        return result

    def forget(self, model: str) -> None:
        """Drops the counters of a model whose rollout ended."""
        for source in [s for s in self._samples if s.model == model]:
            del self._samples[source]
            self._sent.pop(source, None)
            self._changed.discard(source)


def _padded(counts: Sequence[int]) -> list[int]:
    kept = list(counts[:BUCKETS])
    return kept + [0] * (BUCKETS - len(kept))


def _max(one: list[int], other: list[int]) -> list[int]:
    return [max(a, b) for a, b in zip(one, other, strict=True)]


def _sum(one: list[int], other: list[int]) -> list[int]:
    return [a + b for a, b in zip(one, other, strict=True)]


def _difference(one: list[int], other: list[int]) -> list[int]:
    return [max(0, a - b) for a, b in zip(one, other, strict=True)]
