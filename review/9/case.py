"""A run pauses at a worker that does not drop runs whose channel closes."""

from __future__ import annotations

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import generations  # noqa: E402
import standins  # noqa: E402

_EVENTS = 60
_WORKERS = 6  # One of them does not drop runs.
_REQUESTS = 18
_PREEMPTED_AT_EVENT = 20
_PAUSE_S = 0.5
_ALLOWED_OVERLAP_S = 0.4


def play(case: standins.Case) -> bool:
    """Plays the case; returns whether the rule was broken."""
    route = standins.make_route(
        "draft",
        "streaming",
        "engines",
        **{"timeout-ms": 39_000, "target-latency-ms": 1_800},
    )
    case.store.put(
        "op",
        "config",
        standins.make_configuration([route], [standins.ENGINE_SERVICE]),
    )
    program = str(standins.LIBRARY / "worker.py")
    workers = []
    for number in range(_WORKERS):
        options = {"events": _EVENTS, "drops": number > 0}
        if number == 0 and case.has_trouble:
            options |= {"pause_at": _PREEMPTED_AT_EVENT, "pause_s": _PAUSE_S}
        workers.append(
            case.start_worker(
                f"engine-{number}", "engines", program, json.dumps(options)
            )
        )
    case.start_entries(2)
    requesters = generations.Requesters(case, ["/draft/1"])
    requesters.send(_REQUESTS, 0.15)
    requesters.wait()
    time.sleep(3.5)  # Runs that were not dropped come to their end.
    is_broken = False
    runs = generations.read_runs(case, workers)
    for earlier in runs:
        for later in runs:
            overlap_s = earlier.ended_s - later.began_s
            if (
                earlier.request_id == later.request_id
                and earlier.worker_id != later.worker_id
                and earlier.began_s < later.began_s
                and overlap_s > _ALLOWED_OVERLAP_S
            ):
                is_broken = True
                case.record.write(
                    f"TWICE: {later.request_id} goes on at {later.worker_id};"
                    f" {earlier.worker_id} still works on it"
                    f" {overlap_s:.2f} s later"
                )
    expected = list(range(1, _EVENTS + 1))
    for generation in requesters.generations:
        if not case.has_trouble and generation.event_ids != expected:
            is_broken = True
            case.record.write(f"{generation.request_id} is not whole")
    return is_broken


if __name__ == "__main__":
    sys.exit(standins.run_case(play, str(FOLDER)))
