"""Measures the choice of endpoint, zone moves and retries in virtual time.

The engine model is simple: a first token takes the uncached part of the prompt
and slows down with the requests that run; tokens come at a rate that falls
with them; memory beyond the total preempts. Entries see free units either as
grants give them (expected lengths of all running requests) or as of the last
load report (one second old at most, less what they sent since). Figures of the
choice and of the zones are means over three runs.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import random

from dandelionlead.routing import choice
from dandelionlead.routing import prefix
from dandelionlead.routing import retries

_ZONES = ("z1", "z2", "z3")
_ENDPOINTS = 12
_ENTRIES = 8
_MEMORY = 40_000
_FAMILIES = 150
_CACHED_FAMILIES = 25
_PROMPT_TOKENS = (600, 2400)
_OUTPUT_MEAN = 500
_PREFILL_S = 0.0004
_TOKEN_S = 0.02
_PREEMPTION_S = 1.5
_REPORT_S = 1.0
_GIVE_UP_S = 2.0
_PAUSE_S = 0.05
_RUNS = 3
_COLD_S = 20.0
_COLD_SHARE = 0.15
_COLD_FACTOR = 6.0


class _Engine:
    """Actual state of one endpoint."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.used = 0
        self.running = 0
        self.reported = 0
        self.granted = 0
        self.up = True
        self.cold_until = 0.0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: list[tuple[float, prefix.CacheEvent]] = []
        self.seq = 0

    def memory(self, now: float) -> float:
        return _MEMORY * (_COLD_SHARE if now < self.cold_until else 1.0)

    def touch(self, family: int, now: float) -> bool:
        hit = family in self.cache
        self.cache[family] = None
        self.cache.move_to_end(family)
        if not hit:
            self._event(family, "add", now)
        if len(self.cache) > _CACHED_FAMILIES:
            gone, _ = self.cache.popitem(last=False)
            self._event(gone, "evict", now)
        return hit

    def _event(self, family: int, op: str, now: float) -> None:
        self.seq += 1
        event = prefix.CacheEvent(self.seq, f"f{family}", op)
        self.events.append((now, event))


class _Fleet:
    """One run with a policy, a quality of cache events, and a zone move."""

    def __init__(
        self,
        seed: int,
        policy: str,
        *,
        load: float = 0.8,
        until: float = 120.0,
        prefix_weight: float | None = None,
        delay_s: float = 0.5,
        gaps: float = 0.0,
        zone_move: str = "",
        view: str = "grants",
    ) -> None:
        self.view = view
        self.rng = random.Random(seed)
        self.until = until
        self.delay_s, self.gaps = delay_s, gaps
        self.zone_move = zone_move
        self.engines = {
            f"e{n:02}": _Engine(f"e{n:02}", _ZONES[n % len(_ZONES)])
            for n in range(_ENDPOINTS)
        }
        self.policies = [self._policy(policy, prefix_weight)] * _ENTRIES
        if policy == "round_robin":
            self.policies = [choice.RoundRobin() for _ in range(_ENTRIES)]
        self.sent = [collections.Counter() for _ in range(_ENTRIES)]
        self.outstanding = [collections.Counter() for _ in range(_ENTRIES)]
        self.picture = prefix.PrefixPicture()
        self.picture.set_endpoints(self.engines)
        self.shares = dict.fromkeys(_ZONES, 1.0)
        self.ramp: choice.ZoneRamp | None = None
        self.numbers = itertools.count()
        self.heap: list = []
        mean_tokens = sum(_PROMPT_TOKENS) / 2 + _OUTPUT_MEAN
        # Memory time of a mean request at half the engine's concurrency.
        hold_s = 1.2 + _OUTPUT_MEAN * _TOKEN_S * 1.6
        self.rate = load * _ENDPOINTS * _MEMORY / (mean_tokens * hold_s)
        self.first: list[tuple[float, float]] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.peak = 0.0

    def _policy(self, name: str, weight: float | None):
        if name == "scored" and weight is not None:
            return choice.Scored(prefix_weight=weight)
        return choice.POLICIES[name]()

    def at(self, when: float, what, *args) -> None:
        heapq.heappush(self.heap, (when, next(self.numbers), what, args))

    def run(self) -> _Fleet:
        self.at(0.0, self.arrive)
        self.at(0.0, self.report)
        if self.zone_move:
            self.at(40.0, self.leave)
            self.at(80.0, self.come_back)
        while self.heap:
            when, _, what, args = heapq.heappop(self.heap)
            what(when, *args)
        return self

    def arrive(self, now: float) -> None:
        if now < self.until:
            gap_s = self.rng.expovariate(self.rate)
            self.at(now + gap_s, self.arrive)
            family = int(_FAMILIES * self.rng.random() ** 2.5)
            prompt = _PROMPT_TOKENS[family % 2]
            output = 1 + int(self.rng.expovariate(1 / _OUTPUT_MEAN))
            entry = self.rng.randrange(_ENTRIES)
            self.counts["requests"] += 1
            number = self.counts["requests"]
            self.send(now, now, entry, number, family, prompt, output)

    def send(self, now, born, entry, number, family, prompt, output) -> None:
        req = choice.Request(
            f"r{number}",
            prompt + _OUTPUT_MEAN,
            availability_zone=_ZONES[entry % len(_ZONES)],
        )
        items = self.candidates(now, entry, family)
        able = choice.eligible(req, items, self.shares)
        chosen = self.policies[entry].choose(req, able, self.rng)
        if chosen is None:
            if now - born > _GIVE_UP_S:
                self.counts["refused"] += 1
                return
            args = (born, entry, number, family, prompt, output)
            self.at(now + _PAUSE_S, self.send, *args)
            return
        engine = self.engines[chosen.name]
        if not engine.up:
            self.counts["failed"] += 1
            return
        self.start(now, born, entry, engine, family, prompt, output)

    def start(self, now, born, entry, engine, family, prompt, output) -> None:
        self.sent[entry][engine.name] += prompt + _OUTPUT_MEAN
        self.outstanding[entry][engine.name] += 1
        hit = engine.touch(family, now)
        self.counts["hits"] += hit
        uncached = prompt * (0.1 if hit else 1.0)
        slow = _COLD_FACTOR if now < engine.cold_until else 1.0
        first_s = uncached * _PREFILL_S * slow * (1 + engine.running / 8)
        engine.used += prompt + output
        engine.granted += prompt + _OUTPUT_MEAN
        engine.running += 1
        use = engine.used / engine.memory(now)
        self.peak = max(self.peak, use if self._stays(engine) else 0.0)
        if use > 1.0:
            self.counts["preemptions"] += 1
            first_s += _PREEMPTION_S
        self.first.append((born, now + first_s - born))
        token_s = _TOKEN_S * (1 + engine.running / 20)
        ends = now + first_s + output * token_s
        self.at(ends, self.end, entry, engine, prompt, output, now)

    def _stays(self, engine: _Engine) -> bool:
        return engine.zone != _ZONES[-1]

    def end(self, now, entry, engine, prompt, output, started) -> None:
        engine.used -= prompt + output
        engine.granted -= prompt + _OUTPUT_MEAN
        engine.running -= 1
        self.outstanding[entry][engine.name] -= 1
        gone = self.zone_move and not self._stays(engine)
        if gone and started < 50.0 < now:
            # The zone is switched off ten seconds after it was closed.
            self.counts["cut"] += 1
        else:
            self.counts["whole"] += 1

    def candidates(self, now, entry, family) -> list[choice.Candidate]:
        shares = self.picture.cached_share(
            [f"f{family}"], list(self.engines), now
        )
        return [
            choice.Candidate(
                engine.name,
                engine.zone,
                free_units=int(self.limit(engine, now))
                - self.taken(entry, engine),
                limit_units=int(self.limit(engine, now)),
                outstanding=self.outstanding[entry][engine.name],
                cached_share=shares[engine.name],
            )
            for engine in self.engines.values()
        ]

    def taken(self, entry: int, engine: _Engine) -> int:
        if self.view == "grants":
            return engine.granted
        return engine.reported + self.sent[entry][engine.name]

    def limit(self, engine: _Engine, now: float) -> float:
        # The cold limit of design 5.3.
        if self.zone_move in ("cold limits", "ramp"):
            return engine.memory(now)
        return _MEMORY

    def report(self, now: float) -> None:
        for engine in self.engines.values():
            engine.reported = engine.used
            due = [e for at, e in engine.events if at <= now - self.delay_s]
            engine.events = engine.events[len(due) :]
            kept = [e for e in due if self.rng.random() >= self.gaps]
            self.picture.apply(engine.name, "1", kept, now)
        for counter in self.sent:
            counter.clear()
        if self.ramp is not None:
            zone = [e for e in self.engines.values() if not self._stays(e)]
            total = sum(engine.memory(now) for engine in zone)
            used = sum(engine.used for engine in zone)
            share = self.ramp.step(now, max(0.0, 1 - used / total))
            self.shares[_ZONES[-1]] = share
        if now < self.until + 60:
            self.at(now + _REPORT_S, self.report)

    def leave(self, now: float) -> None:
        if self.zone_move != "nothing":
            self.shares[_ZONES[-1]] = 0.0
        self.at(now + 10.0, self.switch_off)

    def switch_off(self, _now: float) -> None:
        for engine in self.engines.values():
            if not self._stays(engine):
                engine.up = False

    def come_back(self, now: float) -> None:
        for engine in self.engines.values():
            if not self._stays(engine):
                engine.up = True
                engine.cold_until = now + _COLD_S
                engine.cache.clear()
        if self.zone_move == "ramp":
            self.ramp = choice.ZoneRamp(now)
        else:
            self.shares[_ZONES[-1]] = 1.0

    def first_s(self, share: float, begin=0.0, end=1e9) -> float:
        found = sorted(s for born, s in self.first if begin <= born < end)
        return found[int(share * (len(found) - 1))] if found else 0.0

    def p50_s(self) -> float:
        return self.first_s(0.5)

    def p95_s(self) -> float:
        return self.first_s(0.95)

    def per_1000(self, name: str) -> float:
        return 1000 * self.counts[name] / self.counts["requests"]


class _Service:
    """Queueing model of a fleet at 1.1 of capacity, with callers' timeouts."""

    servers = 40
    mean_s = 0.25
    timeout_s = 1.0
    # One call in 50 is slow on the first try; hedges are meant for these.
    slow_share = 0.02
    slow_factor = 8.0
    # Admission refuses a try when so many wait.
    queue_limit = 40

    def __init__(self, seed: int, load: float, mode: str) -> None:
        self.rng = random.Random(seed)
        self.mode = mode
        mean_s = self.mean_s * (1 + self.slow_share * (self.slow_factor - 1))
        self.rate = load * self.servers / mean_s
        self.budget = retries.RetryBudget()
        self.queue: collections.deque = collections.deque()
        self.busy = 0
        self.heap: list = []
        self.numbers = itertools.count()
        self.waits: list[float] = []
        self.tries = 0
        self.calls = 0
        self.done: set[int] = set()

    def at(self, when: float, what, *args) -> None:
        heapq.heappush(self.heap, (when, next(self.numbers), what, args))

    def run(self, until: float = 120.0) -> _Service:
        self.until = until
        self.at(0.0, self.arrive)
        while self.heap:
            when, _, what, args = heapq.heappop(self.heap)
            what(when, *args)
        return self

    def arrive(self, now: float) -> None:
        if now >= self.until:
            return
        self.at(now + self.rng.expovariate(self.rate), self.arrive)
        self.calls += 1
        self.budget.first_try()
        self.attempt(now, self.calls, now, 0)
        if self.mode.startswith("hedge"):
            self.at(now + 0.6, self.hedge, self.calls, now)

    def hedge(self, now: float, call: int, born: float) -> None:
        if call in self.done:
            return
        if self.mode == "hedge" or self.budget.take():
            self.attempt(now, call, born, 9)

    def attempt(self, now: float, call: int, born: float, number: int) -> None:
        self.tries += 1
        if len(self.queue) >= self.queue_limit:
            if number < 3 and self.mode.startswith("retry"):
                self.timed_out(now, call, born, number)
            return
        self.queue.append((call, born))
        self.serve(now)
        if number < 3 and self.mode.startswith("retry"):
            self.at(now + self.timeout_s, self.timed_out, call, born, number)

    def timed_out(self, now, call, born, number) -> None:
        if call in self.done:
            return
        if self.mode == "retry" or self.budget.take():
            pause_s = retries.backoff_s(number, self.rng)
            self.at(now + pause_s, self.attempt, call, born, number + 1)

    def serve(self, now: float) -> None:
        while self.queue and self.busy < self.servers:
            call, born = self.queue.popleft()
            self.busy += 1
            mean_s = self.mean_s
            if self.rng.random() < self.slow_share:
                mean_s *= self.slow_factor
            took_s = self.rng.expovariate(1 / mean_s)
            self.at(now + took_s, self.end, call, born)

    def end(self, now: float, call: int, born: float) -> None:
        self.busy -= 1
        if call not in self.done:
            self.done.add(call)
            self.waits.append(now - born)
        self.serve(now)

    def in_time(self) -> float:
        good = sum(wait <= 2 * self.timeout_s for wait in self.waits)
        return 100 * good / self.calls

    def p99_s(self) -> float:
        return sorted(self.waits)[int(0.99 * len(self.waits))]


def run(seed: int) -> list[str]:
    """Returns the tables as lines of Markdown."""
    lines = _choice(seed) + [""] + _prefix(seed) + [""]
    return lines + _zones(seed) + [""] + _retries(seed)


def _fleets(seed: int, policy: str, **fields) -> list[_Fleet]:
    return [_Fleet(seed + n, policy, **fields).run() for n in range(_RUNS)]


def _mean(fleets: list[_Fleet], read) -> float:
    return sum(read(fleet) for fleet in fleets) / len(fleets)


def _rate(fleets: list[_Fleet], name: str) -> float:
    return _mean(fleets, lambda fleet: fleet.per_1000(name))


def _choice(seed: int) -> list[str]:
    lines = [
        "## Choice of endpoint",
        "",
        "| Free units from | load | policy | first token p50 s | p95 s "
        "| prefix hits % | preemptions /1000 | refused /1000 |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for view, load in (
        ("grants", 0.6),
        ("grants", 0.8),
        ("grants", 0.95),
        ("load report", 0.8),
    ):
        for name in choice.POLICIES:
            found = _fleets(seed, name, load=load, view=view)
            lines.append(
                f"| {view} | {load} | {name} "
                f"| {_mean(found, _Fleet.p50_s):.2f} "
                f"| {_mean(found, _Fleet.p95_s):.2f} "
                f"| {_rate(found, 'hits') / 10:.0f} "
                f"| {_rate(found, 'preemptions'):.1f} "
                f"| {_rate(found, 'refused'):.1f} |"
            )
    return lines


def _prefix(seed: int) -> list[str]:
    lines = [
        "Prefix picture at load 0.8 (policy `scored`, grants):",
        "",
        "| Prefix weight | events late by s | events lost % "
        "| first token p50 s | p95 s | prefix hits % |",
        "|---|---|---|---|---|---|",
    ]
    cases = [(0.0, 0.5, 0.0)]
    cases += [(None, delay_s, 0.0) for delay_s in (0.5, 2, 5, 10, 30, 60)]
    cases += [(None, 0.5, gaps) for gaps in (0.01, 0.05, 0.2, 0.5, 0.9)]
    for weight, delay_s, gaps in cases:
        found = _fleets(
            seed, "scored", prefix_weight=weight, delay_s=delay_s, gaps=gaps
        )
        shown = choice.PREFIX_WEIGHT if weight is None else weight
        lines.append(
            f"| {shown} | {delay_s} | {gaps * 100:.0f} "
            f"| {_mean(found, _Fleet.p50_s):.2f} "
            f"| {_mean(found, _Fleet.p95_s):.2f} "
            f"| {_rate(found, 'hits') / 10:.0f} |"
        )
    return lines


def _zones(seed: int) -> list[str]:
    lines = [
        "## Zone moves",
        "",
        "One of 3 zones is closed at 40 s, switched off at 50 s and returns "
        "cold at 80 s; load 0.55. `cold limits` switches at once but grants "
        "little to cold endpoints; `ramp` does this and uses `ZoneRamp`.",
        "",
        "| Strategy | answered whole % | failed /1000 | cut /1000 "
        "| refused /1000 | peak use of the others % "
        "| first token p95 s, 80 to 110 s | preemptions /1000 |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for move in ("nothing", "instant", "cold limits", "ramp"):
        found = _fleets(seed, "scored", load=0.55, zone_move=move)
        p95_s = _mean(found, lambda fleet: fleet.first_s(0.95, 80, 110))
        lines.append(
            f"| {move} | {_rate(found, 'whole') / 10:.1f} "
            f"| {_rate(found, 'failed'):.1f} "
            f"| {_rate(found, 'cut'):.1f} "
            f"| {_rate(found, 'refused'):.1f} "
            f"| {_mean(found, lambda fleet: fleet.peak) * 100:.0f} "
            f"| {p95_s:.2f} | {_rate(found, 'preemptions'):.1f} |"
        )
    return lines


def _retries(seed: int) -> list[str]:
    lines = [
        "## Retries",
        "",
        "Callers give up after 2 s; a retry follows a refusal or a time-out of "
        "1 s, a hedge 0.6 s without an answer. Tries are refused while 40 wait "
        "for 40 servers; tries that are superseded still run to their end.",
        "",
        "| Mode | load | tries per call | answered within 2 s % | p99 s |",
        "|---|---|---|---|---|",
    ]
    modes = {
        "none": "none",
        "retry": "retries without a budget",
        "retry_budget": "retries, 10% budget",
        "hedge": "hedges without a budget",
        "hedge_budget": "hedges, 10% budget",
    }
    for load in (0.7, 1.1):
        for mode, title in modes.items():
            service = _Service(seed, load, mode).run()
            lines.append(
                f"| {title} | {load} | {service.tries / service.calls:.2f} "
                f"| {service.in_time():.1f} | {service.p99_s():.2f} |"
            )
    return lines


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("\n".join(run(args.seed)))


if __name__ == "__main__":
    main()
