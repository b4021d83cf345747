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
from dandelionlead.admission import generation_ids
from dandelionlead.admission import grants
from dandelionlead.admission import lengths
from dandelionlead.admission import limits
from dandelionlead.admission import overload
from dandelionlead.admission import ownership
from dandelionlead.admission import parts

ENGINES = 2
ENTRIES = 3
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
        """Returns an output length."""
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
    """One request and its generation."""

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
        """Takes a request in."""
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
        """Runs steps until a time."""
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
        """Returns the output tokens of a request so far."""
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
    """Counts of one run."""

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
        self.refused_after_s = []
        self.memory = []

    def first(self, req):
        """Notes a first token."""
        self.firsts.append((req.arrived_at, req.first_at, req))


class Scenario:
    """Arrivals and faults; load 1 is the capacity of the engines."""

    def __init__(self, mix, load, *, bursty=False, spike=None, cold_at=None):
        self.mix = mix
        self.load = load
        self.bursty = bursty
        self.spike = spike
        self.cold_at = cold_at

    def rate_factor(self, now):
        """Returns the load at a time."""
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
        self.plan = reservation.plan([])

    def refresh(self):
        """Takes in how far all generations are."""
        for req, work in self.works.items():
            work.generated = self.engine.generated(req)
        self.plan = self.reservation.plan(list(self.works.values()))

    def proven(self):
        """Returns the units of generations that have a first token."""
        started = [
            work for req, work in self.works.items() if req.first_at is not None
        ]
        return self.reservation.reserve(started)

    def fits(self, work):
        """Returns whether one more generation is within the limit."""
        if not self.works:
            return True
        return self.plan.with_new(work).units <= self.limit.limit

    def add(self, req, now):
        """Starts a request."""
        self.plan = self.plan.with_new(req.work)
        self.works[req] = req.work
        self.engine.send(req, now)


def simulate(scenario, make_reservation, make_limit, seed, *, shed=True):
    """Runs one scenario and returns its `Stats`."""
    return Simulation(
        scenario, make_reservation, make_limit, seed, shed=shed
    ).run()


class Simulation:
    """One run of a scenario."""

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
        """Runs to the end and returns the counts."""
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
        units = lengths.ByLength(self.learned).plan([req.work]).units
        item = fairness.Waiting(
            team,
            units,
            0,
            at + route.deadline_s,
            at,
            payload=req,
            route=route.name,
        )
        failure = None
        if self.shed:
            failure = self.overload.refusal(self.queue, item, now)
        if failure is None:
            failure = self.queue.push(item, now)
        if failure is not None:
            self._refuse(team, at, now)

    def _refuse(self, team, arrived_at, now):
        self.stats.refused[team] += 1
        self.stats.refused_after_s.append(now - arrived_at)
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
            self._refuse(item.team, item.enqueued_at, now)
        while True:
            item = self.queue.pop(now, self._fits)
            if item is None:
                break
            self._gate(item.payload.work).add(item.payload, now)
            self.overload.started(item.units, now, item=item)

    def _fits(self, item):
        return self._gate(item.payload.work) is not None

    def _gate(self, work):
        fitting = [gate for gate in self.gates if gate.fits(work)]
        return min(
            fitting,
            key=lambda gate: gate.plan.units / gate.limit.limit,
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
        back = gate.limit.limit >= MEMORY / 2
        if gate is not self.gates[0] or not self.restarted or not back:
            return
        if self.limit_back_s is None:
            self.limit_back_s = now - self.scenario.cold_at


class Entry:
    """One entry of `GrantedSimulation`: queue, grants and running work."""

    def __init__(self, name, now):
        self.part = parts.MemberPart(name, now, start_s=0.0)
        self.delegations = ownership.Delegations(self.part)
        self.name = name
        self.pool = grants.GrantPool()
        self.queue = fairness.FairQueue()
        self.overload = overload.Overload()
        self.running = [{} for _ in range(ENGINES)]
        self.plans = [None] * ENGINES
        self.first_tokens = [[] for _ in range(ENGINES)]
        self.reported_at = [-1.0] * ENGINES


class GrantedSimulation(Simulation):
    """Three entries that place requests by units which owners grant."""

    def __init__(self, scenario, seed):
        super().__init__(
            scenario,
            RESERVATIONS["by length"],
            LIMITS["first-token ramp"],
            seed,
            shed=True,
        )
        self.policy = lengths.ByLength(self.learned, entries=ENTRIES)
        names = [f"entry{index}" for index in range(ENTRIES)]
        self.entries = {name: Entry(name, -30.0) for name in names}
        self.ledgers = [
            ownership.OwnerLedger(
                f"engine{index}", f"ledger{index}", gate.limit
            )
            for index, gate in enumerate(self.gates)
        ]
        self.serial = 0
        self.asks = self.refusals = self.reports = 0
        self._warm_up()

    def _warm_up(self):
        for tick in range(600):
            now = tick * TICK_S - 30.0
            for entry in self.entries.values():
                for peer in self.entries:
                    counts = dict.fromkeys(self.entries, 1)
                    if peer != entry.name:
                        entry.part.heard(peer, counts, True, now)
            self._exchange(now)
        for gate in self.gates:
            gate.limit.resume(MEMORY, 0.0)

    def _idle(self):
        return not any(
            len(entry.queue) or any(entry.running)
            for entry in self.entries.values()
        )

    def _arrive(self, at, now):
        entry = self.rng.choice(list(self.entries.values()))
        self.queue, self.overload = entry.queue, entry.overload
        super()._arrive(at, now)

    def _tick(self, now, tick):
        for index, gate in enumerate(self.gates):
            gate.engine.run_until(now)
            if tick % REPORT_TICKS == 0:
                self.stats.memory.append(gate.engine.used / MEMORY)
            self._ended(index, gate.engine, now)
        self._exchange(now)
        for entry in self.entries.values():
            for item, _ in entry.overload.shed(entry.queue, now):
                self._refuse(item.team, item.enqueued_at, now)
            self._place(entry, now)

    def _ended(self, index, engine, now):
        for entry in self.entries.values():
            running = entry.running[index]
            for req in list(running):
                lease = running[req]
                if req.first_at is not None and not lease.confirmed:
                    entry.pool.confirm(lease, f"i{index}")
                    wait_s = req.first_at - req.sent_at
                    entry.first_tokens[index].append(wait_s)
            for req in engine.ended:
                lease = running.pop(req, None)
                if lease is None:
                    continue
                entry.pool.release(lease, now)
                self.stats.whole[req.work.team] += 1
                work = req.work
                self.learned.observe(work.route, work.team, req.output)
        engine.ended.clear()

    def _exchange(self, now):
        for entry in self.entries.values():
            entry.part.fresh(now, common_outage=False)
            entry.part.listed(self.entries, now)
            due = entry.pool.due(now)
            for index, ledger in enumerate(self.ledgers):
                name = f"engine{index}"
                if name in due or now - entry.reported_at[index] >= 1.0:
                    self._report_to(entry, index, ledger, now)
            for ask in entry.pool.wanted(now):
                self._ask(entry, ask, now)
        for index, ledger in enumerate(self.ledgers):
            if ledger.tick(now).read_load:
                self._read_load(index, ledger, now)

    def _report_to(self, entry, index, ledger, now):
        name = f"engine{index}"
        entry.reported_at[index] = now
        self.reports += 1
        confirmed = self._plan(entry, index)
        usage = entry.pool.usage(name, now, reserved=confirmed)
        offer = entry.delegations.offer(name, self.entries, now)
        ledger.delegate(
            entry.name, offer.for_s, now, part=offer.part, stamp=offer.stamp
        )
        ledger.report(
            entry.name,
            usage.incarnation,
            usage.units_in_use,
            usage.generations,
            entry.first_tokens[index],
            False,
            now,
            units_open=usage.units_open,
            stamp=usage.stamp,
        )
        entry.first_tokens[index] = []
        status = ledger.status(now)
        entry.delegations.answered(name, offer.owner, status.stamp, now)
        entry.pool.answered(name, status)

    def _plan(self, entry, index):
        engine = self.gates[index].engine
        running = entry.running[index]
        for req in running:
            req.work.generated = engine.generated(req)
        entry.plans[index] = self.policy.plan([req.work for req in running])
        return self.policy.reserve(
            [req.work for req, lease in running.items() if lease.confirmed]
        )

    def _ask(self, entry, ask, now):
        ledger = self.ledgers[int(ask.endpoint[-1])]
        self.asks += 1
        grant = ledger.acquire(
            entry.name,
            ask.units,
            ask.incarnation,
            now,
            least_units=ask.least_units,
        )
        if grant:
            entry.pool.add(grant, now)
            return
        self.refusals += 1
        entry.pool.refused(ask.endpoint, now, now, stamp=ledger.stamp(now))

    def _read_load(self, index, ledger, now):
        generations = [
            ownership.Generation(
                lease.generation_id, attached=True, detached_s=0.0
            )
            for entry in self.entries.values()
            for lease in entry.running[index].values()
        ]
        report = ownership.LoadReport(
            f"i{index}",
            generations,
            memory_total=MEMORY,
            reported_s_ago=0.0,
            asked_at=now,
        )
        ledger.load_report(report, now)

    def _place(self, entry, now):
        found = []

        def fits(item):
            req = item.payload
            order = sorted(
                range(ENGINES),
                key=lambda index: -entry.pool.unused(f"engine{index}", now),
            )
            for index in order:
                units = entry.plans[index].needed(req.work)
                lease = entry.pool.take(f"engine{index}", units, now)
                if lease is not None:
                    found.append((index, lease))
                    return True
            return False

        while True:
            item = entry.queue.pop(now, fits)
            if item is None:
                return
            index, lease = found.pop()
            req = item.payload
            self.serial += 1
            lease.generation_id = generation_ids.make(
                f"g{self.serial}", lease.units
            )
            entry.running[index][req] = lease
            entry.plans[index] = entry.plans[index].with_new(req.work)
            self.gates[index].engine.send(req, now)
            entry.overload.started(item.units, now, item=item)


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
    return (
        memory_rows(seed)
        + granted_rows(seed)
        + cold_rows(seed)
        + overload_rows(seed)
    )


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
                        "half limit after s": -1
                        if back_s is None
                        else round(back_s, 1),
                        "whole %": round(
                            100 * whole / sum(stats.asked.values()), 1
                        ),
                        "lost": stats.lost,
                    }
                )
    return rows


def granted_rows(seed):
    """Compares units granted by owners with one that sees everything."""
    rows = []
    for mix in MIXES:
        for load in (0.9, 1.1, 1.5):
            scenario = Scenario(mix, load, bursty=True)
            central = simulate(
                scenario,
                RESERVATIONS["by length"],
                LIMITS["first-token ramp"],
                seed,
            )
            sim = GrantedSimulation(scenario, seed)
            granted = sim.run()
            asked = sum(granted.asked.values())
            calls = (sim.asks + sim.reports) / asked
            for name, stats in (("central", central), ("granted", granted)):
                rows.append(
                    {
                        "table": "Grants",
                        "mix": mix,
                        "load": load,
                        "admission": name,
                        "calls/request": round(calls, 2)
                        if name == "granted"
                        else 0,
                        **summary(stats),
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
                        "refused after s": round(
                            statistics.fmean(stats.refused_after_s or [0.0]), 2
                        ),
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
