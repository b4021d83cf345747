"""A generation in an engine's queue when its entry process gets SIGTERM."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "stand_ins"))

import engines  # noqa: E402
import test_bed  # noqa: E402

# Long generations that fill both engines: prompt, largest output and events of
# each. Their requesters estimate less than they generate.
_FILLERS = 12
_FILLER_PROMPT, _FILLER_OUTPUT, _FILLER_EVENTS = 4_900, 1_200, 203
_FILLER_HINT = 240
# The generations in question: short ones with a long prompt.
_PROMPT, _OUTPUT, _EVENTS = 4_000, 40, 3
_DRAFT_DEADLINE_MS, _CHECK_DEADLINE_MS = 39_000, 6_000
# Requesters leave after a gap of four times the objective, which is 1,800 ms
# and 1,500 ms.
_DRAFT_GIVE_UP_S, _CHECK_GIVE_UP_S = 7.2, 6.0
# The requests are sent this long after SIGTERM, while requesters still hold the
# address (three times the directory's `ttl-s`, which is 1).
_SENT_AFTER_S = (2.6, 2.8)
_GRACE_S, _LOSS_SLACK_S = 8.0, 0.2


async def _send_filler(bed: test_bed.TestBed, host: str) -> test_bed.Answer:
    return await bed.send(
        host,
        "/draft/1",
        {"events": _FILLER_EVENTS},
        deadline_ms=_DRAFT_DEADLINE_MS,
        prompt_tokens=_FILLER_PROMPT,
        output_tokens=_FILLER_OUTPUT,
        hint=_FILLER_HINT,
        give_up_gap_s=_DRAFT_GIVE_UP_S,
    )


async def _send_check(bed: test_bed.TestBed, host: str) -> test_bed.Answer:
    return await bed.send(
        host,
        "/check/1",
        {"events": _EVENTS},
        deadline_ms=_CHECK_DEADLINE_MS,
        prompt_tokens=_PROMPT,
        output_tokens=_OUTPUT,
        hint=_OUTPUT,
        give_up_gap_s=_CHECK_GIVE_UP_S,
    )


async def play(bed: test_bed.TestBed) -> bool:
    """Returns whether LOST held."""
    zones = ["lima-a", "lima-b"]
    await bed.store.start()
    check_fields = {
        "resumable": True,
        "max-attempts": 2,
        "timeout-ms": 6000,
        "target-latency-ms": 1500,
        "priority": 0,
    }
    bed.store.put(
        "op",
        "config",
        test_bed.make_configuration(
            [
                test_bed.make_route("draft", "/draft/", "streaming", "engines"),
                test_bed.make_route(
                    "check", "/check/", "streaming", "engines", **check_fields
                ),
            ],
            [test_bed.make_engine_service("engines", backups=False)],
        ),
    )
    workers = [
        engines.Engine(
            f"i-7f3a91c{number}",
            bed.next_engine_address(),
            zones[number],
            bed.store,
            bed.record,
        )
        for number in range(2)
    ]
    for worker in workers:
        await worker.start()
    hosts = await bed.start_entries(3, zones)
    await asyncio.sleep(3.5)
    stopping = hosts[0]
    fillers = []
    for number in range(_FILLERS):
        host = hosts[1 + number % 2]
        fillers.append(asyncio.create_task(_send_filler(bed, host)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.6)
    bed.record("runs:", [len(worker.run_ids) for worker in workers])
    addresses = await bed.resolve(hosts[1])
    bed.record("the directory names", addresses)
    if stopping not in addresses:
        raise test_bed.CannotRunError("the entry process is not listed")
    if bed.has_trouble:
        bed.entries[stopping].send_signal(signal.SIGTERM)
        bed.record("SIGTERM to", stopping)
    term_s = bed.now_s()
    requests = []
    for after_s in _SENT_AFTER_S:
        await asyncio.sleep(max(0.0, term_s + after_s - bed.now_s()))
        bed.record(
            "memory in use:",
            [worker.count_used_tokens() for worker in workers],
        )
        requests.append(asyncio.create_task(_send_check(bed, stopping)))
    answers = await asyncio.gather(*requests)
    bed.record(
        "memory in use:", [worker.count_used_tokens() for worker in workers]
    )
    begun_ids = set().union(*(worker.begun_ids for worker in workers))
    lost = [
        answer
        for answer in answers
        if answer.request_id not in begun_ids and _is_lost(bed, answer, term_s)
    ]
    for answer in lost:
        bed.record(
            "LOST:",
            answer.request_id,
            f"its channel ended {answer.ended_s - term_s:.3f} s after SIGTERM"
            " without an answer",
        )
    for task in fillers:
        task.cancel()
    await asyncio.gather(*fillers, return_exceptions=True)
    return not lost


def _is_lost(
    bed: test_bed.TestBed, answer: test_bed.Answer, term_s: float
) -> bool:
    """Whether LOST counts a request that no worker has begun to run.

    Counted is a channel that ended without a complete answer up to 1 s after
    the grace period and later than the slack after the request, before its
    time limit, that the requester has not closed itself.
    """
    waited_s = answer.ended_s - answer.sent_s
    return (
        bed.has_trouble
        and not answer.is_complete
        and not answer.is_given_up
        and _LOSS_SLACK_S < waited_s < _CHECK_DEADLINE_MS / 1e3
        and answer.ended_s < term_s + _GRACE_S + 1.0
    )


if __name__ == "__main__":
    test_bed.run(play, _HERE, 100.0)
