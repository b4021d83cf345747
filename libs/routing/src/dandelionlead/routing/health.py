"""Ejects endpoints that fail, and lets them back after single probes."""

from __future__ import annotations

from collections.abc import Iterable

CONNECT_FAILURES_LIMIT = 3
# Results that the failure share is measured over, and the share that is an
# outlier beside the other endpoints' share.
WINDOW = 20
OUTLIER_SHARE = 0.5
OUTLIER_FACTOR = 3.0
# More endpoints than this fail only from a cause that they have in common;
# ejecting them would overload the rest. Of fewer than three, none is ejected.
EJECTED_SHARE_LIMIT = 0.34
EJECT_FIRST_S = 1.0
EJECT_LONGEST_S = 30.0
# A probe without a result counts as failed after this time.
PROBE_LIMIT_S = 10.0


class HealthRegistry:
    """Health of endpoints as this process sees it.

    A new incarnation of an endpoint starts healthy.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, _Health] = {}

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Keeps exactly these endpoints."""
        self._endpoints = {
            name: self._endpoints.get(name) or _Health() for name in names
        }

    def restarted(self, name: str) -> None:
        """Forgets the past of an endpoint that has a new incarnation."""
        if name in self._endpoints:
            self._endpoints[name] = _Health()

    def usable(self, name: str) -> bool:
        """Returns whether a request may go there without being a probe."""
        health = self._endpoints.get(name)
        return health is not None and health.ejected_until_s is None

    def take_probe(self, name: str, now_s: float) -> bool:
        """Returns whether the next request is the endpoint's one probe."""
        health = self._endpoints.get(name)
        if health is None or health.ejected_until_s is None:
            return False
        if now_s < health.ejected_until_s:
            return False
        health.ejected_until_s = now_s + PROBE_LIMIT_S
        health.probing = True
        return True

    def connected(self, name: str) -> None:
        """Notes a connection that was opened."""
        health = self._endpoints.get(name)
        if health is not None:
            health.connect_failures = 0

    def connect_failed(self, name: str, now_s: float) -> None:
        """Notes a connection that could not be opened."""
        health = self._endpoints.get(name)
        if health is None:
            return
        health.connect_failures += 1
        if health.probing or health.connect_failures >= CONNECT_FAILURES_LIMIT:
            self._eject(health, now_s)

    def ended(self, name: str, ok: bool, now_s: float) -> None:
        """Notes the end of a request, or of a probe."""
        health = self._endpoints.get(name)
        if health is None:
            return
        if health.probing:
            if ok:
                self._readmit(health)
            else:
                self._eject(health, now_s)
            return
        health.results.append(ok)
        del health.results[:-WINDOW]
        if not ok and self._is_outlier(health):
            self._eject(health, now_s)

    def ejected(self) -> list[str]:
        """Returns the endpoints that are ejected now."""
        return [
            name
            for name, health in self._endpoints.items()
            if health.ejected_until_s is not None
        ]

    def _is_outlier(self, health: _Health) -> bool:
        if len(health.results) < WINDOW:
            return False
        others = [
            other.failure_share()
            for other in self._endpoints.values()
            if other is not health and other.results
        ]
        usual = sum(others) / len(others) if others else 0.0
        limit = max(OUTLIER_SHARE, OUTLIER_FACTOR * usual)
        return health.failure_share() >= limit

    def _eject(self, health: _Health, now_s: float) -> None:
        if health.ejected_until_s is None:
            limit = int(EJECTED_SHARE_LIMIT * len(self._endpoints))
            if len(self.ejected()) >= limit:
                return
        pause_s = EJECT_FIRST_S * 2 ** min(health.ejections, 8)
        health.ejected_until_s = now_s + min(EJECT_LONGEST_S, pause_s)
        health.ejections += 1
        health.probing = False

    def _readmit(self, health: _Health) -> None:
        health.ejected_until_s = None
        health.ejections = 0
        health.probing = False
        health.connect_failures = 0
        health.results.clear()


class _Health:
    """State of one endpoint."""

    __slots__ = (
        "connect_failures",
        "results",
        "ejected_until_s",
        "ejections",
        "probing",
    )

    def __init__(self) -> None:
        self.connect_failures = 0
        self.results: list[bool] = []
        self.ejected_until_s: float | None = None
        self.ejections = 0
        self.probing = False

    def failure_share(self) -> float:
        """Returns the share of failures; 0 without results."""
        if not self.results:
            return 0.0
        return self.results.count(False) / len(self.results)
