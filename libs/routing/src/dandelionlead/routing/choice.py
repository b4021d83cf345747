"""Choice of the endpoint for a request.

Pure code: time and randomness are arguments.
"""

from __future__ import annotations

import abc
import random
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from dandelionlead.core import hashing

# Weights of the score; tools/bench_routing.py compares the result.
FREE_WEIGHT = 1.0
PREFIX_WEIGHT = 0.6
ZONE_WEIGHT = 0.05
# A prefix draws requests to an endpoint only while its use of memory is at
# most this multiple of the candidates' mean.
BOUNDED_LOAD = 1.25
# Endpoints that one entry uses of a large fleet. With 400 entries, each of
# 3,600 endpoints is then in the subsets of about 4 entries.
SUBSET_SIZE = 40
# A returning zone gets all of its share back no sooner than this.
RAMP_S = 30.0
RAMP_START = 0.05
# The ramp goes on while this part of the zone's units is free and goes back
# below the lower part.
RAMP_FREE_SHARE = 0.2
RAMP_FULL_SHARE = 0.05
# Longer gaps between two steps do not raise the share further.
RAMP_STEP_LIMIT_S = 1.0

_HASH_RANGE = 2**64


class Candidate:
    """An endpoint as the entry sees it now.

    Attributes:
        name: Name of the endpoint.
        availability_zone: Its availability zone.
        version: Version of the model that it runs.
        accepts_work: It is live, not leaving, and takes new work.
        healthy: It is not ejected and its incarnation is the known one.
        free_units: Units that may be used now, for its whole limit.
        limit_units: Its limit in units.
        outstanding: Requests that this entry has there.
        cached_share: Share (0 to 1) of the prompt in its prefix cache.
    """

    __slots__ = (
        "name",
        "availability_zone",
        "version",
        "accepts_work",
        "healthy",
        "free_units",
        "limit_units",
        "outstanding",
        "cached_share",
    )

    def __init__(
        self,
        name: str,
        availability_zone: str,
        *,
        version: str = "",
        accepts_work: bool = True,
        healthy: bool = True,
        free_units: int = 0,
        limit_units: int = 1,
        outstanding: int = 0,
        cached_share: float = 0.0,
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.version = version
        self.accepts_work = accepts_work
        self.healthy = healthy
        self.free_units = free_units
        self.limit_units = limit_units
        self.outstanding = outstanding
        self.cached_share = cached_share

    @property
    def used_share(self) -> float:
        """Share of the limit that is in use."""
        return 1.0 - self.free_units / max(1, self.limit_units)


class Request:
    """What the choice needs to know of a request.

    Attributes:
        request_id: Its id; retries of one request keep the id.
        units: Units that it will probably need.
        availability_zone: Zone of the entry.
        version: Version that it must run on; empty if any will do.
        exclude: Endpoints that were tried already.
    """

    __slots__ = (
        "request_id",
        "units",
        "availability_zone",
        "version",
        "exclude",
    )

    def __init__(
        self,
        request_id: str,
        units: int,
        *,
        availability_zone: str = "",
        version: str = "",
        exclude: frozenset[str] = frozenset(),
    ) -> None:
        self.request_id = request_id
        self.units = units
        self.availability_zone = availability_zone
        self.version = version
        self.exclude = exclude


def version_for(
    request_id: str, current: str, following: str, share: float
) -> str:
    """Returns the version for a request while a rollout is under way.

    All entries decide alike, and a request that got the following version at
    a share gets it at every larger share.

    Args:
        request_id: The request.
        current: Present version.
        following: Next version; empty if there is none.
        share: Share of requests (0 to 1) for the next version.
    """
    if following and _position(request_id, "version") < share:
        return following
    return current


def eligible(
    req: Request,
    candidates: Iterable[Candidate],
    zone_shares: Mapping[str, float],
) -> list[Candidate]:
    """Returns the candidates that may get the request.

    Args:
        req: The request.
        candidates: All endpoints of the model.
        zone_shares: Share (0 to 1) of requests that each open zone gets of
            what it would get otherwise; a closed zone is missing or 0.
    """
    return [
        item
        for item in candidates
        if item.accepts_work
        and item.healthy
        and item.free_units >= req.units
        and item.name not in req.exclude
        and (not req.version or item.version == req.version)
        and _zone_takes(req, zone_shares.get(item.availability_zone, 0.0), item)
    ]


def subset(
    entry: str, endpoints: Sequence[str], size: int = SUBSET_SIZE
) -> list[str]:
    """Returns the endpoints that an entry uses; all of a small fleet.

    The subset depends only on the names, and one endpoint that comes or goes
    changes at most one member of it.
    """
    if len(endpoints) <= size:
        return sorted(endpoints)
    return sorted(hashing.rank(entry, endpoints)[:size])


class EndpointPolicy(abc.ABC):
    """Picks one of the eligible endpoints."""

    @abc.abstractmethod
    def choose(
        self, req: Request, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the endpoint, or None if there is no candidate."""


class Scored(EndpointPolicy):
    """Most free memory after the request, prefix affinity, near zones."""

    def __init__(
        self,
        *,
        free_weight: float = FREE_WEIGHT,
        prefix_weight: float = PREFIX_WEIGHT,
        zone_weight: float = ZONE_WEIGHT,
        bounded_load: float = BOUNDED_LOAD,
    ) -> None:
        self._free_weight = free_weight
        self._prefix_weight = prefix_weight
        self._zone_weight = zone_weight
        self._bounded_load = bounded_load

    def choose(
        self, req: Request, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the candidate with the best score, ties at random."""
        if not candidates:
            return None
        used = sum(item.used_share for item in candidates) / len(candidates)
        limit = max(0.1, used * self._bounded_load)
        best, best_score = None, None
        for item in candidates:
            score = (self._score(req, item, limit), rng.random())
            if best_score is None or score > best_score:
                best, best_score = item, score
        return best

    def _score(self, req: Request, item: Candidate, limit: float) -> float:
        left = (item.free_units - req.units) / max(1, item.limit_units)
        score = self._free_weight * left
        if item.used_share <= limit:
            score += self._prefix_weight * item.cached_share
        if item.availability_zone == req.availability_zone:
            score += self._zone_weight
        return score


class RoundRobin(EndpointPolicy):
    """Baseline: one after the other."""

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self, req: Request, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the next candidate by name."""
        del req, rng
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda item: item.name)
        later = [item for item in ordered if item.name > self._last]
        chosen = (later or ordered)[0]
        self._last = chosen.name
        return chosen


class LeastOutstanding(EndpointPolicy):
    """Baseline: fewest requests of this entry."""

    def choose(
        self, req: Request, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the candidate with the fewest requests, ties at random."""
        del req
        return min(
            candidates,
            key=lambda item: (item.outstanding, rng.random()),
            default=None,
        )


class PowerOfTwo(EndpointPolicy):
    """Baseline: the less loaded of two random candidates."""

    def choose(
        self, req: Request, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the better of two by requests of this entry."""
        del req
        if not candidates:
            return None
        two = rng.sample(list(candidates), min(2, len(candidates)))
        return min(two, key=lambda item: item.outstanding)


POLICIES: dict[str, type[EndpointPolicy]] = {
    "scored": Scored,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "power_of_two": PowerOfTwo,
}


class ZoneRamp:
    """Share that a returning availability zone gets of its usual work.

    The share grows with time, and only while the zone has free units; it
    shrinks while the zone is full.
    """

    __slots__ = ("_ramp_s", "_share", "_last_s")

    def __init__(self, now_s: float, *, ramp_s: float = RAMP_S) -> None:
        self._ramp_s = ramp_s
        self._share = RAMP_START
        self._last_s = now_s

    def step(self, now_s: float, free_share: float) -> float:
        """Returns the share for now.

        Args:
            now_s: Time in seconds.
            free_share: Free units of the zone's endpoints over their limits.
        """
        passed_s = min(RAMP_STEP_LIMIT_S, max(0.0, now_s - self._last_s))
        self._last_s = now_s
        change = passed_s / self._ramp_s
        if free_share >= RAMP_FREE_SHARE:
            self._share = min(1.0, self._share + change)
        elif free_share < RAMP_FULL_SHARE:
            self._share = max(RAMP_START, self._share - change)
        return self._share


def _zone_takes(req: Request, share: float, item: Candidate) -> bool:
    if share <= 0.0:
        return False
    if share >= 1.0:
        return True
    return _position(req.request_id, item.availability_zone) < share


def _position(request_id: str, purpose: str) -> float:
    return hashing.weight(request_id, purpose) / _HASH_RANGE
