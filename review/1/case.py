"""A worker leaves; an answer without a length is cut by its final move."""

from __future__ import annotations

import asyncio
import pathlib
import sys

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "stand_ins"))

import engines  # noqa: E402
import http_messages  # noqa: E402
import test_bed  # noqa: E402

_ENTRIES = 7
# Short generations that come before: prompt, output and events.
_CHECKS = 740
_CHECK = (200, 12, 3)
# Long generations: prompt, output and events.
_DRAFTS = 19
_DRAFT = (6_000, 1_200, 300)
_DRAFTS_EVERY_S = 0.04
# Pause before the last one, so that all engines have read their prompts and are
# equally loaded: then the worker in the zone of the entry process gets it.
_PROMPTS_READ_S = 2.0
_DEADLINE_MS = 39_000
# Seconds from the notice to the end of the worker, as in the sites' days
# (`scale_in` with `how = "spot"`, `x` from 1.54 to 2.1).
_GONE_AFTER_S = 1.8
# Requesters leave after a gap of four times the objective of 1,800 ms.
_GIVE_UP_S = 7.2
# Share of the answers of a worker without a length: at most that of the sites'
# `garble` (0.03).
_UNFRAMED_SHARE = 0.03


class _UnframedChoice:
    """Chooses the answers of one worker that have no length.

    They are the last long generations that it has begun, within the share.
    """

    def __init__(self, engine: engines.Engine) -> None:
        self._engine = engine
        self.count = 0

    def choose(self, request: http_messages.Message) -> bool:
        """Returns whether the answer to a request has no length."""
        is_draft = request.start[1].startswith("/draft/")
        is_new = "kv-from" not in request.headers
        is_allowed = self.count + 1 <= (
            _UNFRAMED_SHARE * self._engine.answer_count
        )
        is_chosen = is_draft and is_new and is_allowed
        self.count += is_chosen
        return is_chosen


async def _send(
    bed: test_bed.TestBed, host: str, path: str, sizes: tuple[int, int, int]
) -> test_bed.Answer:
    prompt, output, events = sizes
    return await bed.send(
        host,
        path,
        {"events": events},
        deadline_ms=_DEADLINE_MS,
        prompt_tokens=prompt,
        output_tokens=output,
        hint=output,
        give_up_gap_s=_GIVE_UP_S,
    )


async def play(bed: test_bed.TestBed) -> bool:
    """Returns whether ORDER held."""
    zones = ["lima-a", "lima-b", "lima-c", "lima-d"]
    await bed.store.start()
    bed.store.put(
        "op",
        "config",
        test_bed.make_configuration(
            [
                test_bed.make_route("draft", "/draft/", "streaming", "engines"),
                test_bed.make_route(
                    "check",
                    "/check/",
                    "streaming",
                    "engines",
                    resumable=True,
                    **{"max-attempts": 2},
                ),
            ],
            [test_bed.make_engine_service("engines", backups=False)],
        ),
    )
    workers = [
        engines.Engine(
            f"i-7f3a91c{number}",
            bed.next_engine_address(),
            zone,
            bed.store,
            bed.record,
        )
        for number, zone in enumerate([*zones, *zones[1:3]])
    ]
    choice = _UnframedChoice(workers[0])
    workers[0].chooses_unframed = choice.choose
    for worker in workers:
        await worker.start()
    hosts = await bed.start_entries(_ENTRIES, zones)
    await asyncio.sleep(3.5)
    checks = []
    for number in range(_CHECKS):
        host = hosts[number % _ENTRIES]
        checks.append(asyncio.create_task(_send(bed, host, "/check/1", _CHECK)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*checks)
    drafts = []
    for number in range(_DRAFTS):
        # The last one is sent in the zone of the worker that leaves.
        is_last = number == _DRAFTS - 1
        if is_last:
            await asyncio.sleep(_PROMPTS_READ_S)
        host = hosts[0 if is_last else number % _ENTRIES]
        drafts.append(asyncio.create_task(_send(bed, host, "/draft/1", _DRAFT)))
        await asyncio.sleep(_DRAFTS_EVERY_S)
    await asyncio.sleep(5.5)
    bed.record(
        "answers so far:",
        [worker.answer_count for worker in workers],
        f"without a length at {workers[0].engine_id}: {choice.count}",
    )
    bed.record("runs:", [len(worker.run_ids) for worker in workers])
    if bed.has_trouble:
        workers[0].drain()
        await asyncio.sleep(_GONE_AFTER_S)
        workers[0].leave()
    answers = await asyncio.gather(*drafts)
    broken = [
        answer
        for answer in answers
        if answer.status == 200
        and answer.is_complete
        and answer.count_events() != _DRAFT[2]
    ]
    for answer in broken:
        bed.record(
            "ORDER:",
            answer.request_id,
            f"ends as complete after {answer.count_events()} of"
            f" {_DRAFT[2]} events",
        )
    whole = sum(answer.count_events() == _DRAFT[2] for answer in answers)
    bed.record(f"{whole} of {len(answers)} long generations arrived whole")
    if not bed.has_trouble and whole != len(answers):
        raise test_bed.CannotRunError("a generation failed without trouble")
    return not broken


if __name__ == "__main__":
    test_bed.run(play, _HERE, 100.0)
