"""A generation that waits for room when its entry process gets SIGTERM."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "stand_ins"))

import engines  # noqa: E402
import test_bed  # noqa: E402

# Long generations that fill both engines: prompt, output and events of each.
# The first two end 8 s after SIGTERM, the others later.
_FILLERS = 10
_FILLER_PROMPT, _FILLER_OUTPUT = 4_800, 1_200
_FIRST_EVENTS, _LATER_EVENTS = 222, 300
# The generations in question. Their largest output is small, so that a process
# that stops accepts them.
_PROMPT, _OUTPUT, _EVENTS = 3_000, 100, 20
_DEADLINE_MS = 39_000
# Requesters leave after a gap of four times the objective of 1,800 ms.
_GIVE_UP_S = 7.2
# The requests are sent this long after SIGTERM, while requesters still hold the
# address (three times the directory's `ttl-s`, which is 1).
_SENT_AFTER_S = (1.2, 1.5, 1.8)
_GRACE_S, _LOSS_SLACK_S = 8.0, 0.2


async def _send(
    bed: test_bed.TestBed, host: str, sizes: tuple[int, int, int]
) -> test_bed.Answer:
    prompt, output, events = sizes
    return await bed.send(
        host,
        "/draft/1",
        {"events": events},
        deadline_ms=_DEADLINE_MS,
        prompt_tokens=prompt,
        output_tokens=output,
        hint=output,
        give_up_gap_s=_GIVE_UP_S,
    )


async def play(bed: test_bed.TestBed) -> bool:
    """Returns whether LOST held."""
    zones = ["lima-a", "lima-b"]
    await bed.store.start()
    bed.store.put(
        "op",
        "config",
        test_bed.make_configuration(
            [test_bed.make_route("draft", "/draft/", "streaming", "engines")],
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
        fillers.append(
            asyncio.create_task(
                _send(
                    bed,
                    host,
                    (
                        _FILLER_PROMPT,
                        _FILLER_OUTPUT,
                        _FIRST_EVENTS if number < 2 else _LATER_EVENTS,
                    ),
                )
            )
        )
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    bed.record(
        "memory in use:", [worker.count_used_tokens() for worker in workers]
    )
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
        requests.append(
            asyncio.create_task(
                _send(bed, stopping, (_PROMPT, _OUTPUT, _EVENTS))
            )
        )
    answers = await asyncio.gather(*requests)
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
        and _LOSS_SLACK_S < waited_s < _DEADLINE_MS / 1e3
        and answer.ended_s < term_s + _GRACE_S + 1.0
    )


if __name__ == "__main__":
    test_bed.run(play, _HERE, 100.0)
