"""Learns how fast each engine reads prompts, compared with the others.

Engines of one service differ in speed, and some are slow for moments. A process
alone measures an engine too rarely to notice either, so that processes tell
each other their measurements. The load that this answers: prompts in a number
that the fast engines alone could read in time, spread evenly over all.
"""

from __future__ import annotations

import math
from collections.abc import Collection

# Measurements with fewer prompt tokens are ignored, because the network
# dominates their duration.
_MIN_MEASURED_TOKENS = 500
# Bounds of one measurement, in microseconds for each token. They also bound
# what a wrong message can do.
_MIN_US_PER_TOKEN = 10
_MAX_US_PER_TOKEN = 5_000
# Seconds after which a measurement counts half: of one engine, and of the mean
# of all.
_ENGINE_HALF_LIFE_S = 3.0
_MEAN_HALF_LIFE_S = 20.0
# Measurements that the assumption counts for that an engine is like the others.
_PRIOR_WEIGHT = 1.0
# Measurements from which the mean of all engines is used for estimates.
_MIN_MEAN_WEIGHT = 5.0
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 3.0


class Measurement:
    """The last measurement of one process at one engine.

    Attributes:
        count: Number of its measurements there; 0 if there is none.
        us_per_token: Microseconds for each prompt token.
    """

    __slots__ = ("count", "us_per_token")

    def __init__(self, count: int = 0, us_per_token: int = 0) -> None:
        self.count = count
        self.us_per_token = us_per_token


class _DecayingMean:
    """Mean of values whose weights decrease with their age.

    Attributes:
        mean: The mean; 0 if there are no values.
    """

    __slots__ = ("mean", "_half_life_s", "_weight", "_updated_s")

    def __init__(self, half_life_s: float) -> None:
        self.mean = 0.0
        self._half_life_s = half_life_s
        self._weight = 0.0
        self._updated_s = 0.0

    def add(self, value: float, now_s: float) -> None:
        """Adds a value of weight 1."""
        self._weight = self._compute_weight(now_s) + 1.0
        self.mean += (value - self.mean) / self._weight
        self._updated_s = max(now_s, self._updated_s)

    def has_weight(self, weight: float, now_s: float) -> bool:
        """Whether the values count for at least so many present ones."""
        return self._compute_weight(now_s) >= weight

    def compute(self, prior: float, prior_weight: float, now_s: float) -> float:
        """Returns the mean together with an assumption of some weight."""
        weight = self._compute_weight(now_s)
        total = self.mean * weight + prior * prior_weight
        return total / (weight + prior_weight)

    def _compute_weight(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._updated_s)
        return self._weight * 0.5 ** (age_s / self._half_life_s)


class EndpointPaces:
    """How fast each engine reads prompts, from measurements of all processes.

    Args:
        is_enabled: Whether the measurements are used; if not, all engines
            count as equal.
    """

    def __init__(self, *, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._own: dict[str, Measurement] = {}
        # Number of the last measurement of each process at each engine.
        self._peer_counts: dict[str, dict[str, int]] = {}
        self._paces: dict[str, _DecayingMean] = {}
        self._mean = _DecayingMean(_MEAN_HALF_LIFE_S)

    def measure(
        self, endpoint_id: str, tokens: int, first_event_s: float, now_s: float
    ) -> None:
        """Adds a measurement of this process.

        Args:
            endpoint_id: Id of the engine.
            tokens: Prompt tokens that the engine had to read before the first
                event, including those of requests that were queued earlier.
            first_event_s: Seconds from sending the request to the event.
            now_s: Current time in seconds.
        """
        if tokens < _MIN_MEASURED_TOKENS or first_event_s <= 0:
            return
        us_per_token = _clamp_measurement(int(first_event_s * 1e6 / tokens))
        own = self._own.get(endpoint_id) or Measurement()
        self._own[endpoint_id] = Measurement(own.count + 1, us_per_token)
        self._add(endpoint_id, us_per_token, now_s)

    def measure_silence(
        self, endpoint_id: str, tokens: int, waited_s: float, now_s: float
    ) -> None:
        """Adds a measurement of an engine that has not sent an event yet.

        The time is a lower bound, which counts only if it exceeds the mean.

        Args:
            endpoint_id: Id of the engine.
            tokens: Prompt tokens as for `measure`.
            waited_s: Seconds for which the engine was waited for.
            now_s: Current time in seconds.
        """
        if tokens and waited_s * 1e6 / tokens > math.exp(self._mean.mean):
            self.measure(endpoint_id, tokens, waited_s, now_s)

    def estimate_read_s(
        self, endpoint_id: str, tokens: int, now_s: float
    ) -> float | None:
        """Returns the expected seconds until an engine has read some tokens.

        Args:
            endpoint_id: Id of the engine; empty for one of mean speed.
            tokens: Prompt tokens that it has to read.
            now_s: Current time in seconds.

        Returns:
            The seconds; None if there are too few recent measurements.
        """
        if not self._is_enabled or not self._mean.has_weight(
            _MIN_MEAN_WEIGHT, now_s
        ):
            return None
        mean_s = tokens * math.exp(self._mean.mean) / 1e6
        return mean_s * self.compute_slowness(endpoint_id, now_s)

    def get_own_measurement(self, endpoint_id: str) -> Measurement:
        """Returns the last measurement of this process at an engine."""
        return self._own.get(endpoint_id) or Measurement()

    def add_peer_measurement(
        self,
        node: str,
        endpoint_id: str,
        measurement: Measurement,
        now_s: float,
    ) -> None:
        """Adds the last measurement of another process, unless it is known.

        Args:
            node: Name of the process.
            endpoint_id: Id of the engine.
            measurement: The measurement; ignored if its count is 0.
            now_s: Current time in seconds.
        """
        if measurement.count <= 0:
            return
        counts = self._peer_counts.setdefault(node, {})
        if counts.get(endpoint_id) == measurement.count:
            return
        counts[endpoint_id] = measurement.count
        us_per_token = _clamp_measurement(measurement.us_per_token)
        self._add(endpoint_id, us_per_token, now_s)

    def remove_peer(self, node: str) -> None:
        """Forgets which measurements of a process are known."""
        self._peer_counts.pop(node, None)

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Forgets all engines but those with the ids given."""
        kept_ids = set(endpoint_ids)
        for items in (self._paces, self._own, *self._peer_counts.values()):
            for endpoint_id in items.keys() - kept_ids:
                del items[endpoint_id]

    def compute_slowness(self, endpoint_id: str, now_s: float) -> float:
        """Returns the time an engine takes, as a multiple of the mean.

        Args:
            endpoint_id: Id of the engine.
            now_s: Current time in seconds.

        Returns:
            The multiple; 1 for an engine without recent measurements.
        """
        pace = self._paces.get(endpoint_id)
        if pace is None or not self._is_enabled:
            return 1.0
        mean = self._mean.mean
        slowness = math.exp(pace.compute(mean, _PRIOR_WEIGHT, now_s) - mean)
        return min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, slowness))

    def _add(self, endpoint_id: str, us_per_token: int, now_s: float) -> None:
        value = math.log(us_per_token)
        self._mean.add(value, now_s)
        pace = self._paces.get(endpoint_id)
        if pace is None:
            pace = self._paces[endpoint_id] = _DecayingMean(_ENGINE_HALF_LIFE_S)
        pace.add(value, now_s)


def _clamp_measurement(us_per_token: int) -> int:
    return min(_MAX_US_PER_TOKEN, max(_MIN_US_PER_TOKEN, us_per_token))
