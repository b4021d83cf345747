"""Measures how the judge and its baselines treat good and bad versions.

Simulates one rollout per seed: two routes, load that changes over time,
endpoints that differ by some percent and sometimes die. Prints a table.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import math
import random
import statistics
import sys
import time

from dandelionlead.rollout import evidence
from dandelionlead.rollout import judge
from dandelionlead.rollout import schedule

DEADLINE_S = 1200
LOOK_S = 2
BASE_FAILURES = 0.002
# Requests per second on each route, for the usual scenarios and for `thin`.
ROUTES = {"drafts": 40.0, "checks": 20.0}
THIN_ROUTES = {"drafts": 1.0, "checks": 0.5}
# Median first token and token gap in seconds, and the spread of one request.
FIRST_TOKEN_S = 0.3
TOKEN_GAP_S = 0.04
SIGMA = 0.5
# Endpoints of the two versions differ by this much for the whole rollout.
ENDPOINT_SIGMA = 0.03
DEATHS_PER_S = 1 / 3000
DEATH_REQUESTS = 8
LOADED = 1.3


class Behaviour:
    """How the next version differs from the old one, and when."""

    __slots__ = ("failures", "slowdown", "route", "load", "after_s")

    def __init__(
        self, failures=0.0, slowdown=1.0, route="", load=0.0, after_s=0.0
    ):
        self.failures = failures
        self.slowdown = slowdown
        self.route = route
        self.load = load
        self.after_s = after_s

    def failures_now(self, route, load, now):
        """Returns the failure rate that is added now."""
        applies = self.route in ("", route)
        if applies and load >= self.load and now >= self.after_s:
            return self.failures
        return 0.0


SCENARIOS = {
    "good": Behaviour(),
    "good_10pct_slower": Behaviour(slowdown=1.1),
    "good_thin": Behaviour(),
    "fails_at_once": Behaviour(failures=0.3),
    "fails_3pct": Behaviour(failures=0.03),
    "slow_1.5x": Behaviour(slowdown=1.5),
    "fails_under_load": Behaviour(failures=0.2, load=LOADED),
    "fails_one_route": Behaviour(failures=0.2, route="checks"),
    "fails_later": Behaviour(failures=0.3, after_s=0.3 * DEADLINE_S),
}
JUDGES = {
    "sequential": lambda: judge.SequentialJudge(routes=len(ROUTES)),
    "threshold": judge.ThresholdJudge,
    "fixed_horizon": judge.FixedHorizonJudge,
}


def run(seed: int, scenario: str = "good", name: str = "sequential") -> dict:
    """Runs one rollout.

    Returns:
        state (`done` or `rolled_back`), at_s, requests (of the next version),
        failed (those of them that failed), bad (whether a test found it bad).
    """
    rng = random.Random(f"{seed}/{scenario}")
    behaviour = SCENARIOS[scenario]
    rates = THIN_ROUTES if scenario == "good_thin" else ROUTES
    judges = {route: JUDGES[name]() for route in rates}
    plan = schedule.Schedule(0.0, DEADLINE_S)
    state = plan.begin()
    endpoints = [math.exp(rng.gauss(0, ENDPOINT_SIGMA)) for _ in range(2)]
    phase = rng.uniform(0, 2 * math.pi)
    wobble = 0.0
    requests = failed = step_requests = 0
    now = 0.0
    bad = ""
    while state.state == "under_way":
        now += LOOK_S
        wobble = 0.9 * wobble + rng.gauss(0, 0.05)
        load = 1 + 0.4 * math.sin(phase + now / 200) + wobble
        good = True
        for route, rate in rates.items():
            extra = behaviour.failures_now(route, load, now)
            count = _poisson(rng, rate * LOOK_S * max(0.2, load))
            news = sum(rng.random() < state.share for _ in range(count))
            new = _sample(
                rng, news, extra, load * behaviour.slowdown * endpoints[0]
            )
            old = _sample(rng, count - news, 0.0, load * endpoints[1])
            requests += news
            step_requests += news
            failed += new.failures
            judgement = judges[route].look(new, old)
            if judgement.finding is judge.Finding.BAD:
                bad = bad or f"{route}: {judgement.reason}"
            good = good and judgement.finding is judge.Finding.GOOD
        before = state.step_at
        state = plan.next(
            state, now, bad=bad, good=good, requests=step_requests
        )
        if state.step_at != before:
            step_requests = 0
    return {
        "state": state.state,
        "at_s": now,
        "requests": requests,
        "failed": failed,
        "bad": bool(bad),
        "reason": state.reason,
    }


def measure(scenario: str, name: str, seed: int, runs: int) -> str:
    """Returns one row of the table."""
    results = [run(seed + i, scenario, name) for i in range(runs)]
    bad = [item for item in results if item["bad"]]
    done = [item for item in results if item["state"] == "done"]
    in_time = sum(item["at_s"] <= DEADLINE_S for item in done)
    cells = [
        scenario,
        name,
        str(runs),
        f"{len(bad)} ({len(bad) / runs:.1%})",
        str(runs - len(bad) - len(done)),
        str(in_time),
    ]
    for key in ("at_s", "requests", "failed"):
        values = sorted(item[key] for item in bad)
        if not values:
            cells.append("-")
            continue
        p95 = values[min(len(values) - 1, int(0.95 * len(values)))]
        cells.append(f"{statistics.median(values):.0f} / {p95:.0f}")
    return f"| {' | '.join(cells)} |"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=40)
    parser.add_argument("--good-runs", type=int, default=400)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--judge", choices=sorted(JUDGES))
    args = parser.parse_args()
    print(
        "| scenario | judge | runs | taken back as bad | ended for lack of "
        "evidence | done by the deadline | seconds until taken back, median "
        "/ p95 | requests of the next version, median / p95 | of them failed, "
        "median / p95 |"
    )
    print(f"|{'---|' * 9}")
    started = time.monotonic()
    with concurrent.futures.ProcessPoolExecutor(args.processes) as pool:
        rows = []
        for scenario in SCENARIOS:
            for name in JUDGES:
                if args.scenario not in (None, scenario):
                    continue
                if args.judge not in (None, name):
                    continue
                thin = scenario == "good_thin"
                few = thin or not scenario.startswith("good")
                runs = args.runs if few else args.good_runs
                rows.append(
                    pool.submit(measure, scenario, name, args.seed, runs)
                )
        for row in rows:
            print(row.result(), flush=True)
    took_s = time.monotonic() - started
    print(f"seed {args.seed}, {took_s:.0f} s", file=sys.stderr)
    return 0


def _sample(
    rng: random.Random, count: int, extra_failures: float, slowdown: float
) -> evidence.Sample:
    result = evidence.Sample()
    deaths = rng.random() < DEATHS_PER_S * LOOK_S
    lost = min(count, DEATH_REQUESTS) if deaths else 0
    for index in range(count):
        failed = index < lost or rng.random() < BASE_FAILURES + extra_failures
        if failed:
            result.record(failed=True)
            continue
        result.record(
            failed=False,
            first_token_s=FIRST_TOKEN_S
            * slowdown
            * math.exp(rng.gauss(0, SIGMA)),
            token_gap_s=TOKEN_GAP_S
            * slowdown
            * math.exp(rng.gauss(0, SIGMA / 2)),
        )
    return result


def _poisson(rng: random.Random, mean: float) -> int:
    if mean > 50:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


if __name__ == "__main__":
    sys.exit(main())
