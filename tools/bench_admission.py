"""Measures admission policies in process, with virtual time.

A small engine fake batches generations continuously, spends memory per token,
and preempts the youngest generation when its memory is full; a preempted
generation recomputes its prompt and output. Requests wait in the fair queue of
one entry and are placed by a reservation policy under a limit policy.

Run `python tools/bench_admission.py --seed 1`, with more seeds for the spread.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import math
import random
import statistics
import time

from hdrh import histogram

from dandelionlead.admission import fairness
from dandelionlead.admission import lengths
from dandelionlead.admission import limits
from dandelionlead.admission import overload

ENGINES = 2
MEMORY = 16_000
TICK_S = 0.05
# Entries report this often while units are refused.
REPORT_TICKS = 4
RUN_S = 60.0
DRAIN_S = 60.0
LOAD_LAG_S = 1.0
# Duration of one step of the engine fake: all running generations get a token.
_STEP_S = 0.015
_STEP_PER_SEQUENCE_S = 0.0003
_PREFILL_S_PER_TOKEN = 0.00008
# Longest prefill that shares a step with decoding.
_PREFILL_CHUNK = 1024
# A cold engine is slower by this factor, which goes to 1 over so many steps.
_COLD_FACTOR = 8.0
_COLD_STEPS = 300
# A gap between tokens that a reader notices as a stall.
_STALL_S = 0.5
_LATE_S = limits.FIRST_TOKEN_TARGET_S
_TEAMS = [f"team{index}" for index in range(10)]
_TEAM_SHARES = [30, 20, 12, 8, 8, 6, 5, 5, 4, 2]


class Route:
    """Distribution of the requests of one route."""

    def __init__(self, name, share, prompt, median, sigma, most, deadline_s):
        self.name = name
        self.share = share
        self.prompt = prompt
        self.median = median
        self.sigma = sigma
        self.most = most
        self.deadline_s = deadline_s

    def output(self, rng):
        length = rng.lognormvariate(math.log(self.median), self.sigma)
        return max(1, min(self.most, int(length)))


MIXES = {
    "buckets": [
        Route("draft", 0.3, 200, 300, 0.9, 4096, 10.0),
        Route("check", 0.7, 100, 20, 0.4, 256, 3.0),
    ],
    "helmets": [
        Route("notice", 0.2, 150, 250, 1.1, 4096, 10.0),
        Route("question", 0.8, 60, 40, 0.6, 512, 3.0),
    ],
}


class Request:
    __slots__ = (
        "work",
        "output",
        "arrived_at",
        "sent_at",
        "first_at",
        "cold",
        "tokens_left",
        "finish_step",
        "paused_at",
    )

    def __init__(self, route, team, output, arrived_at):
        self.work = lengths.Work(route.name, team, route.prompt, route.most)
        self.output = output
        self.arrived_at = arrived_at
        self.sent_at = 0.0
        self.first_at = None
        self.cold = False
        self.tokens_left = output
        self.finish_step = 0
        self.paused_at = None


class Engine:
    """Engine fake; one step gives a token to every running generation."""

    def __init__(self, stats):
        self.stats = stats
        self.now = 0.0
        self.step = 0
        self.used = 0
        self.running = {}
        self.waiting = collections.deque()
        self.finishing = []
        self.order = 0
        self.cold_left = 0
        self.first_tokens = []
        self.ended = []
        self.load = collections.deque([(0.0, 0, frozenset())])

    def send(self, req, now):
        req.sent_at = now
        req.cold = self.cold_left > 0
        if not self.running and not self.waiting:
            self.now = max(self.now, now)
        self.waiting.append(req)

    def restart(self):
        """Loses all generations and turns cold; returns how many it lost."""
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.finishing.clear()
        self.used = 0
        self.cold_left = _COLD_STEPS
        return lost

    def run_until(self, end):
        while self.now < end and (self.running or self.waiting):
            self._step()
        if not self.running and not self.waiting:
            self.now = max(self.now, end)

    def _step(self):
        prefill, started = self._start()
        count = len(self.running)
        took = _STEP_S + _STEP_PER_SEQUENCE_S * count
        took += _PREFILL_S_PER_TOKEN * prefill
        if self.cold_left > 0:
            part = self.cold_left / _COLD_STEPS
            took *= 1 + (_COLD_FACTOR - 1) * part
            self.cold_left -= 1
        self.now += took
        self.step += 1
        self.used += count
        self.stats.gaps[int(took * 1e5)] += count - len(started)
        for req in started:
            self._tokens_begin(req)
        while self.finishing and self.finishing[0][0] <= self.step:
            _, _, req = heapq.heappop(self.finishing)
            if self.running.get(req) and req.finish_step == self.step:
                self._end(req)
        while self.used > MEMORY and len(self.running) > 1:
            self._preempt()

    def _start(self):
        prefill = 0
        started = []
        while self.waiting and prefill < _PREFILL_CHUNK:
            req = self.waiting[0]
            done = req.output - req.tokens_left
            need = req.work.prompt_tokens + done
            if self.running and self.used + need + 64 > MEMORY:
                break
            self.waiting.popleft()
            prefill += need
            self.used += need
            self.order += 1
            self.running[req] = self.order
            req.finish_step = self.step + req.tokens_left
            entry = (req.finish_step, self.order, req)
            heapq.heappush(self.finishing, entry)
            started.append(req)
        return prefill, started

    def _tokens_begin(self, req):
        if req.first_at is None:
            req.first_at = self.now
            self.first_tokens.append(self.now - req.sent_at)
            self.stats.first(req)
        elif req.paused_at is not None:
            gap = self.now - req.paused_at
            self.stats.gaps[int(gap * 1e5)] += 1
            self.stats.paused_s += gap
            req.paused_at = None

    def generated(self, req):
        if req in self.running:
            return req.output - max(0, req.finish_step - self.step)
        return req.output - req.tokens_left

    def _end(self, req):
        del self.running[req]
        self.used -= req.work.prompt_tokens + req.output
        self.ended.append(req)

    def _preempt(self):
        req = next(reversed(self.running))
        del self.running[req]
        req.tokens_left = max(1, req.finish_step - self.step)
        self.used -= req.work.prompt_tokens + req.output - req.tokens_left
        req.paused_at = self.now
        req.finish_step = -1
        self.waiting.appendleft(req)
        self.stats.preemptions += 1


class Stats:
    def __init__(self):
        self.gaps = collections.Counter()
        self.firsts = []
        self.preemptions = 0
        self.paused_s = 0.0
        self.asked = collections.Counter()
        self.whole = collections.Counter()
        self.refused = collections.Counter()
        self.lost = 0
        self.refusals_at = []
        self.memory = []

    def first(self, req):
        self.firsts.append((req.arrived_at, req.first_at, req))


class Scenario:
    def __init__(self, mix, load, *, bursty=False, spike=None, cold_at=None):
        self.mix = mix
        self.load = load
        self.bursty = bursty
        self.spike = spike
        self.cold_at = cold_at

    def rate_factor(self, now):
        factor = self.load
        if self.spike and self.spike[0] <= now < self.spike[1]:
            return self.spike[2]
        if self.bursty:
            # Two seconds at 2.5 times the load, six seconds at half of it.
            factor *= 2.5 if now % 8 < 2 else 0.5
        return factor


def capacity(mix):
    """Returns requests/s that the engines' memory can hold, by sampling."""
    rng = random.Random(0)
    samples = []
    for route in MIXES[mix]:
        outs = [route.output(rng) for _ in range(4000)]
        mean = statistics.fmean(outs)
        square = statistics.fmean(out * out for out in outs)
        samples.append(
            (
                route.share,
                route.prompt * mean + square / 2,
                mean,
                route.prompt,
            )
        )
    area = sum(share * tokens for share, tokens, _, _ in samples)
    steps = sum(share * mean for share, _, mean, _ in samples)
    prompts = sum(share * prompt for share, _, _, prompt in samples)
    rate = 1.0
    for _ in range(50):
        batch = MEMORY * steps / area
        step_s = _STEP_S + _STEP_PER_SEQUENCE_S * batch
        step_s += _PREFILL_S_PER_TOKEN * prompts * rate * step_s
        rate = MEMORY / (area * step_s)
    return rate * ENGINES


class Gate:
    """Admits to one engine by a reservation policy under a limit policy."""

    def __init__(self, engine, reservation, limit):
        self.engine = engine
        self.reservation = reservation
        self.limit = limit
        self.works = {}
        self.reserved = 0

    def refresh(self):
        for req, work in self.works.items():
            work.generated = self.engine.generated(req)
        self.reserved = self.reservation.reserve(list(self.works.values()))

    def proven(self):
        started = [
            work for req, work in self.works.items() if req.first_at is not None
        ]
        return self.reservation.reserve(started)

    def fits(self, work):
        if not self.works:
            return True
        return self.need(work) + self.reserved <= self.limit.limit

    def need(self, work):
        return self.reservation.needed(list(self.works.values()), work)

    def add(self, req, now):
        need = self.need(req.work)
        self.reserved += need
        self.works[req] = req.work
        self.engine.send(req, now)
        return need


def simulate(scenario, make_reservation, make_limit, seed, *, shed=True):
    """Runs one scenario and returns its `Stats`."""
    return Simulation(
        scenario, make_reservation, make_limit, seed, shed=shed
    ).run()


class Simulation:
    def __init__(self, scenario, make_reservation, make_limit, seed, *, shed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.stats = Stats()
        self.learned = lengths.Lengths()
        self.gates = [
            Gate(
                Engine(self.stats),
                make_reservation(self.learned),
                make_limit(),
            )
            for _ in range(ENGINES)
        ]
        self.queue = fairness.FairQueue()
        self.overload = overload.Overload()
        self.shed = shed
        self.rate = capacity(scenario.mix)
        self.restarted = False
        self.limit_back_s = None

    def run(self):
        for gate in self.gates:
            gate.limit.reset(0.0)
            # Warm engines, except where the scenario restarts one.
            gate.limit.resume(MEMORY, 0.0)
        next_at = 0.0
        tick = 0
        while True:
            now = tick * TICK_S
            if now >= RUN_S + DRAIN_S or (now >= RUN_S and self._idle()):
                break
            while next_at <= now and next_at < RUN_S:
                self._arrive(next_at, now)
                factor = self.scenario.rate_factor(next_at)
                next_at += self.rng.expovariate(self.rate * factor)
            self._maybe_restart(now)
            self._tick(now, tick)
            tick += 1
        return self.stats

    def _idle(self):
        return not len(self.queue) and not any(
            gate.works for gate in self.gates
        )

    def _arrive(self, at, now):
        routes = MIXES[self.scenario.mix]
        route = self.rng.choices(routes, [item.share for item in routes])[0]
        team = self.rng.choices(_TEAMS, _TEAM_SHARES)[0]
        req = Request(route, team, route.output(self.rng), at)
        self.stats.asked[team] += 1
        units = lengths.ByLength(self.learned).needed([], req.work)
        item = fairness.Waiting(
            team, units, 0, at + route.deadline_s, at, payload=req
        )
        failure = None
        if self.shed:
            failure = self.overload.refusal(self.queue, item, now)
        if failure is None:
            failure = self.queue.push(item, now)
        if failure is not None:
            self._refuse(team, now)

    def _refuse(self, team, now):
        self.stats.refused[team] += 1
        self.stats.refusals_at.append(now)

    def _maybe_restart(self, now):
        cold_at = self.scenario.cold_at
        if cold_at is None or self.restarted or now < cold_at:
            return
        self.restarted = True
        gate = self.gates[0]
        self.stats.lost = len(gate.engine.restart())
        gate.works.clear()
        gate.limit.reset(now)

    def _tick(self, now, tick):
        for gate in self.gates:
            self._collect(gate, now)
            if tick % REPORT_TICKS == 0:
                gate.refresh()
                self._report(gate, now)
        for item, _ in self.overload.shed(self.queue, now):
            self._refuse(item.team, now)
        while True:
            item = self.queue.pop(now, self._fits)
            if item is None:
                break
            self._gate(item.payload.work).add(item.payload, now)
            self.overload.started(item.units, now)

    def _fits(self, item):
        return self._gate(item.payload.work) is not None

    def _gate(self, work):
        fitting = [gate for gate in self.gates if gate.fits(work)]
        return min(
            fitting,
            key=lambda gate: gate.reserved / gate.limit.limit,
            default=None,
        )

    def _collect(self, gate, now):
        engine = gate.engine
        engine.run_until(now)
        for req in engine.ended:
            if gate.works.pop(req, None) is None:
                continue
            team = req.work.team
            self.stats.whole[team] += 1
            self.learned.observe(req.work.route, team, req.output)
        engine.ended.clear()

    def _report(self, gate, now):
        engine = gate.engine
        shown = (now, engine.used, [*engine.running, *engine.waiting])
        engine.load.append(shown)
        while len(engine.load) > 1 and engine.load[1][0] <= now - LOAD_LAG_S:
            engine.load.popleft()
        if isinstance(gate.reservation, lengths.ByReportedLoad):
            _, used, reqs = engine.load[0]
            gate.reservation.observe_load(used, [req.work for req in reqs])
            gate.refresh()
        self.stats.memory.append(engine.used / MEMORY)
        since = now - REPORT_TICKS * TICK_S
        proven = gate.proven()
        gate.limit.observe(engine.first_tokens, proven, now, since)
        engine.first_tokens.clear()
        back = gate.limit.limit >= 0.8 * MEMORY
        if gate is not self.gates[0] or not self.restarted or not back:
            return
        if self.limit_back_s is None:
            self.limit_back_s = now - self.scenario.cold_at


RESERVATIONS = {
    "by length": lambda learned: lengths.ByLength(learned),
    "by sum of lengths": lambda learned: lengths.BySumOfLengths(learned),
    "by count": lambda _: lengths.ByCount(MEMORY // 24),
    "by reported load": lambda _: lengths.ByReportedLoad(),
    "by max_tokens": lambda _: lengths.ByMaxTokens(),
}
LIMITS = {
    "first-token ramp": lambda: limits.FirstTokenRamp(MEMORY),
    "clock ramp": lambda: limits.ClockRamp(MEMORY),
    "fixed": lambda: limits.FixedLimit(MEMORY),
}


def quantiles_ms(values_s, counts=None):
    hist = histogram.HdrHistogram(1, 3_600_000_000, 2)
    for index, value in enumerate(values_s):
        count = 1 if counts is None else counts[index]
        if count:
            hist.record_value(max(1, int(value * 1e6)), count)
    return [
        round(hist.get_value_at_percentile(percent) / 1000)
        for percent in (50, 95, 99)
    ]


def summary(stats):
    """Returns the figures of one run as a dict of column to value."""
    asked = sum(stats.asked.values())
    whole = sum(stats.whole.values())
    gaps = sorted(stats.gaps.items())
    values = [key / 1e5 for key, _ in gaps]
    stall_s = sum(
        value * count
        for value, (_, count) in zip(values, gaps, strict=True)
        if value > _STALL_S
    )
    firsts = [first - arrived for arrived, first, _ in stats.firsts]
    gap = quantiles_ms(values, [count for _, count in gaps])
    first = quantiles_ms(firsts)
    served = {
        team: stats.whole[team] / stats.asked[team]
        for team in (_TEAMS[0], _TEAMS[-1])
        if stats.asked[team]
    }
    return {
        "stall s": round(stall_s, 1),
        "preempted": stats.preemptions,
        "first p50": first[0],
        "first p95": first[1],
        "first p99": first[2],
        "gap p50": gap[0],
        "gap p95": gap[1],
        "gap p99": gap[2],
        "whole %": round(100 * whole / asked, 1),
        "not run %": round(100 * sum(stats.refused.values()) / asked, 1),
        "largest %": round(100 * served.get(_TEAMS[0], 0.0)),
        "smallest %": round(100 * served.get(_TEAMS[-1], 0.0)),
        "memory %": round(100 * statistics.fmean(stats.memory)),
    }


def run(seed):
    """Returns all rows for one seed; each is a dict with a `table` key."""
    return memory_rows(seed) + cold_rows(seed) + overload_rows(seed)


def memory_rows(seed):
    rows = []
    for mix in MIXES:
        for bursty in (False, True):
            for load in (0.7, 0.9, 1.1, 1.5):
                scenario = Scenario(mix, load, bursty=bursty)
                for name, reservation in RESERVATIONS.items():
                    stats = simulate(
                        scenario, reservation, LIMITS["first-token ramp"], seed
                    )
                    rows.append(
                        {
                            "table": "Admission by memory",
                            "mix": mix,
                            "arrivals": "bursty" if bursty else "steady",
                            "load": load,
                            "reservation": name,
                            **summary(stats),
                        }
                    )
    return rows


def cold_rows(seed):
    rows = []
    for mix in MIXES:
        for reservation in ("by length", "by count"):
            for limit, make in LIMITS.items():
                scenario = Scenario(mix, 0.7, cold_at=20.0)
                sim = Simulation(
                    scenario, RESERVATIONS[reservation], make, seed, shed=True
                )
                stats = sim.run()
                cold = [
                    req.first_at - req.sent_at
                    for _, _, req in stats.firsts
                    if req.cold
                ]
                first = quantiles_ms(cold)
                whole = sum(stats.whole.values())
                back_s = sim.limit_back_s
                rows.append(
                    {
                        "table": "Cold endpoints",
                        "mix": mix,
                        "reservation": reservation,
                        "limit": limit,
                        "cold requests": len(cold),
                        "late": sum(value > _LATE_S for value in cold),
                        "cold p50": first[0],
                        "cold p95": first[1],
                        "preempted": stats.preemptions,
                        "limit back s": -1 if back_s is None else back_s,
                        "whole %": round(
                            100 * whole / sum(stats.asked.values()), 1
                        ),
                        "lost": stats.lost,
                    }
                )
    return rows


def overload_rows(seed):
    rows = []
    for mix in MIXES:
        for bursty in (False, True):
            for shed in (True, False):
                spike = (20.0, 40.0, 3.0)
                scenario = Scenario(mix, 0.7, bursty=bursty, spike=spike)
                stats = simulate(
                    scenario,
                    RESERVATIONS["by length"],
                    LIMITS["first-token ramp"],
                    seed,
                    shed=shed,
                )
                rows.append(
                    {
                        "table": "Overload",
                        "mix": mix,
                        "arrivals": "bursty" if bursty else "steady",
                        "refusal": "by estimate" if shed else "at deadline",
                        "back s": round(_back_s(stats, spike[1]), 1),
                        **summary(stats),
                    }
                )
    return rows


def _back_s(stats, ended_at):
    """Returns seconds after the spike until the last refusal or late start."""
    late = [at for at in stats.refusals_at if at >= ended_at]
    late += [
        first
        for arrived, first, _ in stats.firsts
        if first >= ended_at and first - arrived > 1.0
    ]
    return max(late, default=ended_at) - ended_at


def render(rows_by_seed):
    """Returns Markdown tables; cells are medians, with the range if any."""
    tables = {}
    for rows in zip(*rows_by_seed, strict=True):
        cells = {}
        for column, value in rows[0].items():
            if column != "table":
                cells[column] = _cell([row[column] for row in rows], value)
        tables.setdefault(rows[0]["table"], []).append(cells)
    lines = []
    for title, rows in tables.items():
        columns = list(rows[0])
        lines += [f"### {title}", "", "| " + " | ".join(columns) + " |"]
        lines.append("|" + "---|" * len(columns))
        for row in rows:
            lines.append("| " + " | ".join(row.values()) + " |")
        lines.append("")
    return "\n".join(lines)


def _cell(values, first):
    if isinstance(first, str) or len(set(values)) == 1:
        return str(first)
    middle = statistics.median(values)
    return f"{middle:g} ({min(values):g}-{max(values):g})"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    args = parser.parse_args()
    started = time.monotonic()
    seeds = range(args.seed, args.seed + args.seeds)
    print(render([run(seed) for seed in seeds]))
    print(f"{time.monotonic() - started:.0f} s for {args.seeds} seeds")


if __name__ == "__main__":
    main()
