"""Which endpoints a request may use now, and whether it may be retried."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TYPE_CHECKING

from dandelionlead.config import model
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.daemon import gossip
from dandelionlead.routing import choice
from dandelionlead.routing import health
from dandelionlead.routing import prefix
from dandelionlead.routing import retries
from dandelionlead.routing import suspects
from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from dandelionlead.core import events
    from dandelionlead.daemon import rollouts
    from dandelionlead.daemon import rules
    from dandelionlead.entry import capacity
    from dandelionlead.entry import engine_client
    from dandelionlead.entry import generation

# Evidence on crashes in one gossip message: at 130 bytes an item this is 4 KB,
# and only after crashes.
MESSAGE_SUSPECTS = 32
# A request for the next version waits this long for units there before it goes
# to the old one. Without the wait, requests of a small share never found units
# (grants expire unused between them), and the version got no requests at all.
FALLBACK_S = 0.5
# A request that failed waits so long for another endpoint before it goes back.
REPEAT_S = 3.0
# A request that failed this long before a crash was seen may have caused it.
_FAILED_BEFORE_S = 3.0
# Failures that may come from the death of the endpoint.
_MAY_BE_CRASH = frozenset(
    {
        errors.Kind.ENDPOINT_FAILED,
        errors.Kind.GENERATION_LOST,
        errors.Kind.GENERATION_UNKNOWN,
    }
)


class RoutingView(gossip.Extension):
    """Candidates, retries, health and crash evidence of this entry.

    Args:
        availability_zone: Zone of this entry.
        current: Returns the rules in force.
        source: Units of this entry.
        engines: Asks endpoints whether they still run.
        moves: Rollouts that are under way.
        log: Event log.
    """

    def __init__(
        self,
        availability_zone: str,
        current: Callable[[], rules.Rules | None],
        source: capacity.Capacity,
        engines: engine_client.EngineClient,
        moves: rollouts.Rollouts,
        log: events.Log,
    ) -> None:
        self.suspects = suspects.SuspectRegistry()
        self._zone = availability_zone
        self._current = current
        self._capacity = source
        self._engines = engines
        self._rollouts = moves
        self._log = log
        self._rng = random.Random()
        self._policy: choice.EndpointPolicy = choice.Scored()
        self._budget = retries.RetryBudget()
        self._health = health.HealthRegistry()
        self._picture = prefix.PrefixPicture()
        self._ramps: dict[str, choice.ZoneRamp] = {}
        self._closed: set[str] = set()
        self._probes: set[str] = set()
        self._incarnations: dict[str, str] = {}
        # Fingerprints by attempt, for each endpoint.
        self._running: dict[str, dict[str, str]] = {}
        # Attempts that failed lately: time and fingerprint, by endpoint.
        self._failed: dict[str, list[tuple[float, str]]] = {}

    def configure(self, operators: model.Operators) -> None:
        """Puts another configuration in force."""
        self._health.set_endpoints(operators.endpoints)
        self._picture.set_endpoints(operators.endpoints)
        now = clock.boottime()
        closed = {
            zone.name
            for zone in operators.availability_zones.values()
            if zone.state != model.OPEN
        }
        for zone in self._closed - closed:
            self._ramps[zone] = choice.ZoneRamp(now)
        for zone in closed:
            self._ramps.pop(zone, None)
        self._closed = closed

    def candidates(self, call: generation.Call) -> list[model.Endpoint]:
        """Returns the engines that may run a call now, the best first."""
        current = self._current()
        if current is None:
            return []
        found = {item.name: item for item in current.engines(call.wanted.model)}
        verdict = self.suspects.verdict(call.fingerprint, clock.boottime())
        if verdict is not suspects.Verdict.FREE:
            return self._for_suspect(call, found)
        seen = self._seen(call, found)
        ranked = self._for_versions(call, seen, frozenset(call.tried))
        if not ranked and self._may_repeat(call, found):
            ranked = self._for_versions(call, seen, frozenset())
        return [
            found[name]
            for name in ranked
            if self._may_run(call.fingerprint, name)
        ]

    def is_open(self, name: str) -> bool:
        """Whether the rules in force allow new work on an endpoint."""
        current = self._current()
        endpoint = current.operators.endpoints.get(name) if current else None
        return endpoint is not None and current.is_open(endpoint)

    def runs_alone(self, fingerprint: str) -> bool:
        """Whether a request needs an endpoint to itself."""
        verdict = self.suspects.verdict(fingerprint, clock.boottime())
        return verdict is suspects.Verdict.ALONE

    def refusal(self, fingerprint: str) -> errors.Failure | None:
        """Returns why crashes keep a request from running now, or None."""
        verdict = self.suspects.verdict(fingerprint, clock.boottime())
        if verdict is suspects.Verdict.QUARANTINED:
            return errors.Failure(
                errors.Kind.REQUEST_QUARANTINED,
                "endpoints crashed each time they ran this request",
            )
        if verdict is suspects.Verdict.HELD:
            return errors.Failure(
                errors.Kind.NO_ENDPOINT,
                "the request is held back until the evidence on crashes of "
                "its endpoints is complete",
                retry_after_s=suspects.SETTLE_S,
            )
        return None

    def healthy(self, found: list[model.Endpoint]) -> list[model.Endpoint]:
        """Returns the usable endpoints; a due probe alone, if there is one."""
        now = clock.boottime()
        usable = [item for item in found if self._health.usable(item.name)]
        for item in found:
            if self._health.take_probe(item.name, now):
                return [item]
        return usable

    def first_try(self) -> None:
        """Notes a first try, which earns budget for retries."""
        self._budget.first_try()

    def retry_pause_s(
        self, failure: errors.Failure, attempt: int, *, repeatable: bool = True
    ) -> float | None:
        """Returns the pause before a retry; None if there must be none."""
        allowed = retries.may_retry(failure.kind, False, repeatable)
        if not allowed or not self._budget.take():
            return None
        return retries.backoff_s(attempt - 1, self._rng)

    def begin(self, endpoint: str, attempt: str, call: generation.Call) -> None:
        """Notes an attempt that is sent to an endpoint now."""
        running = self._running.setdefault(endpoint, {})
        running[attempt] = call.fingerprint
        chain = prefix.prefixes(call.wanted.model, call.wanted.prompt)
        self._picture.sent(endpoint, chain)

    def ended_well(self, endpoint: str, attempt: str) -> None:
        """Notes an attempt that ended with its last event."""
        now = clock.boottime()
        fingerprint = self._end(endpoint, attempt)
        self.suspects.ended_well(fingerprint, now)
        self._health.connected(endpoint)
        self._health.ended(endpoint, True, now)

    def left(self, endpoint: str, attempt: str) -> None:
        """Notes an attempt whose caller has gone."""
        self._end(endpoint, attempt)

    def failed(
        self,
        endpoint: model.Endpoint,
        attempt: str,
        incarnation: str,
        failure: errors.Failure,
    ) -> None:
        """Notes a failed attempt; returns when its effect is known.

        If the endpoint no longer runs, all requests that it ran are noted as
        possible causes before any of them is tried again.
        """
        now = clock.boottime()
        name = endpoint.name
        fingerprint = self._end(name, attempt)
        if failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
            self._health.connect_failed(name, now)
            return
        if failure.kind not in _MAY_BE_CRASH:
            return
        self._health.ended(name, False, now)
        recent = [
            item
            for item in self._failed.get(name, [])
            if now - item[0] < _FAILED_BEFORE_S
        ]
        recent.append((now, fingerprint))
        self._failed[name] = recent
        if self._has_crashed(endpoint, incarnation):
            self._note_crash(name, incarnation)

    def service_result(
        self, endpoint: str, *, connected: bool, answered: bool
    ) -> None:
        """Notes the result of a call to a plain service."""
        now = clock.boottime()
        if not connected:
            self._health.connect_failed(endpoint, now)
            return
        self._health.connected(endpoint)
        self._health.ended(endpoint, answered, now)

    def fill(self, message: ttypes.Gossip) -> None:
        """Adds evidence on crashes to a message, the newest first."""
        items = self.suspects.export(clock.boottime())
        items.sort(key=lambda item: -item.expires_in_s)
        newest = items[: MESSAGE_SUSPECTS // 2]
        older = items[MESSAGE_SUSPECTS // 2 :]
        count = min(len(older), MESSAGE_SUSPECTS - len(newest))
        message.suspects = [
            ttypes.Suspect(
                fingerprint=item.fingerprint,
                crashed=set(item.crashed),
                cleared=item.cleared,
                expires_in_s=item.expires_in_s,
            )
            for item in newest + self._rng.sample(older, count)
        ]

    def read(self, message: ttypes.Gossip) -> None:
        """Takes in a peer's evidence on crashes."""
        items = [
            suspects.Evidence(
                item.fingerprint or "",
                frozenset(item.crashed or ()),
                bool(item.cleared),
                item.expires_in_s or 0.0,
            )
            for item in message.suspects or []
        ]
        if items:
            self.suspects.merge(items, clock.boottime())

    def dump(self) -> dict[str, Any]:
        """Returns health, ramps and crash evidence."""
        evidence = self.suspects.export(clock.boottime())
        return {
            "ejected_endpoints": self._health.ejected(),
            "retries_left": self._budget.saved,
            "returning_zones": sorted(self._ramps),
            "crash_evidence": [
                {
                    "fingerprint": item.fingerprint[:16],
                    "crashed": sorted(item.crashed),
                    "cleared": item.cleared,
                }
                for item in evidence[:MESSAGE_SUSPECTS]
            ],
        }

    def _may_repeat(
        self, call: generation.Call, found: dict[str, model.Endpoint]
    ) -> bool:
        """Whether a call may go to an endpoint where it has failed.

        While there are others, it waits for these first: two retries at the
        endpoint that had just died used up the budget.
        """
        if all(name in call.tried for name in found):
            return True
        return clock.boottime() >= call.failed_at + REPEAT_S

    def _for_versions(
        self,
        call: generation.Call,
        seen: list[choice.Candidate],
        exclude: frozenset[str],
    ) -> list[str]:
        ranked: list[str] = []
        for version in self._versions(call):
            wanted = choice.Request(
                call.request_id,
                1,
                availability_zone=self._zone,
                version=version,
                exclude=exclude,
            )
            ranked += self._ranked(wanted, seen)
            if ranked and clock.boottime() < call.arrived_at + FALLBACK_S:
                break
        return ranked

    def _versions(self, call: generation.Call) -> list[str]:
        item = self._current().operators.models[call.wanted.model]
        return self._rollouts.versions(
            item,
            lambda share: choice.version_for(
                call.request_id, item.current, item.next, share
            ),
        )

    def _seen(
        self, call: generation.Call, found: dict[str, model.Endpoint]
    ) -> list[choice.Candidate]:
        now = clock.boottime()
        chain = prefix.prefixes(call.wanted.model, call.wanted.prompt)
        cached = self._picture.cached_share(chain, list(found), now)
        pool = self._capacity.pool
        seen = []
        for name, item in found.items():
            self._watch_restart(name)
            # Units that are here can be used at once; those at the owner
            # after one round trip.
            unused = pool.unused(name, now)
            free = unused + self._capacity.free_units(name)
            seen.append(
                choice.Candidate(
                    name,
                    item.availability_zone,
                    version=item.version or "",
                    accepts_work=self._capacity.accepts_work(name),
                    healthy=self._usable(name, now),
                    free_units=free,
                    limit_units=self._capacity.limit_units(name),
                    outstanding=len(self._running.get(name, ())),
                    cached_share=cached.get(name, 0.0),
                )
            )
        return seen

    def _watch_restart(self, name: str) -> None:
        """Forgets the past of an endpoint that has a new incarnation."""
        incarnation = self._capacity.pool.incarnation(name)
        if not incarnation:
            return
        if self._incarnations.get(name, incarnation) != incarnation:
            self._health.restarted(name)
        self._incarnations[name] = incarnation

    def _ranked(
        self, wanted: choice.Request, seen: Iterable[choice.Candidate]
    ) -> list[str]:
        """Returns the names, the policy's choice first, then most free."""
        left = choice.eligible(wanted, seen, self._zone_shares())
        best = self._policy.choose(wanted, left, self._rng)
        if best is None:
            return []
        rest = [item for item in left if item is not best]
        rest.sort(key=lambda item: -item.free_units)
        return [item.name for item in [best, *rest]]

    def _for_suspect(
        self, call: generation.Call, found: dict[str, model.Endpoint]
    ) -> list[model.Endpoint]:
        now = clock.boottime()
        usable = [
            name
            for name in self.suspects.rank(call.fingerprint, found)
            if self._usable(name, now) and self._may_run(call.fingerprint, name)
        ]
        # The first in rank may be the endpoint that has just died.
        untried = [name for name in usable if name not in call.tried]
        if untried or not self._may_repeat(call, found):
            return [found[name] for name in untried]
        return [found[name] for name in usable]

    def _may_run(self, fingerprint: str, endpoint: str) -> bool:
        running = set(self._running.get(endpoint, {}).values())
        return self.suspects.may_run(fingerprint, running, clock.boottime())

    def _usable(self, name: str, now: float) -> bool:
        if self._health.usable(name):
            return True
        if name in self._probes or self._health.take_probe(name, now):
            self._probes.add(name)
            return True
        return False

    def _zone_shares(self) -> dict[str, float]:
        current = self._current()
        shares = {}
        for zone in current.operators.availability_zones.values():
            if zone.state != model.OPEN:
                continue
            ramp = self._ramps.get(zone.name)
            shares[zone.name] = 1.0 if ramp is None else self._step(zone.name)
        return shares

    def _step(self, zone: str) -> float:
        free = limit = 0
        current = self._current()
        for item in current.operators.endpoints.values():
            if item.availability_zone == zone and item.kind == model.ENGINE:
                free += self._capacity.free_units(item.name)
                limit += self._capacity.limit_units(item.name)
        share = self._ramps[zone].step(
            clock.boottime(), free / limit if limit else 0.0
        )
        if share >= 1.0:
            del self._ramps[zone]
        return share

    def _end(self, endpoint: str, attempt: str) -> str:
        self._probes.discard(endpoint)
        return self._running.get(endpoint, {}).pop(attempt, "")

    def _has_crashed(self, endpoint: model.Endpoint, incarnation: str) -> bool:
        report = self._engines.load(endpoint.address)
        if isinstance(report, errors.Failure):
            return report.kind is errors.Kind.ENDPOINT_UNREACHABLE
        started = str(report.get("engine_start", ""))
        return bool(incarnation) and started != incarnation

    def _note_crash(self, name: str, incarnation: str) -> None:
        fingerprints = set(self._running.get(name, {}).values())
        fingerprints |= {item[1] for item in self._failed.get(name, [])}
        self.suspects.crashed(
            incarnation or name, fingerprints, clock.boottime()
        )
        self._log.event(
            "endpoint_crashed",
            endpoint=name,
            incarnation=incarnation,
            requests=len(fingerprints),
        )
