"""Continuous batching of the engine stand-in.

The module uses no sockets and no clock: the time, in seconds of any clock, is
an argument, so that benchmarks and tests can run it in virtual time. Work is
done in steps. In each step every generation whose prompt is processed makes
one token, and others get a part of their prompt processed.
"""

from __future__ import annotations

import bisect
import collections
import enum
import math
from collections.abc import Sequence
from typing import Any

from dandelionlead.standins import prefix_cache
from dandelionlead.standins import tokens

# Generations that ended and are kept to be attached to.
KEPT_ENDED = 20_000
_DEFAULT_OUTPUT_TOKENS = 16
_LENGTH_FIELDS = ("standin_tokens", "max_tokens", "max_completion_tokens")
_COLD_OVERLOADS = ("none", "fail", "crash")


class Settings:
    """Speed, memory and faults of one engine.

    Attributes:
        step_s: Duration of a step with an empty batch.
        step_s_per_running: Additional duration for each running generation.
        prefill_tokens_per_step: Prompt tokens that one step can process.
        prefill_s_per_token: Additional duration for each of these.
        prefill_base_tokens: Prompt work of a request with an empty prompt.
        memory_total: Tokens that all running generations can hold.
        max_running: Largest batch.
        cache_total: Tokens that the prefix cache can hold.
        cache_lag_s: Seconds by which cache events are late.
        cache_event_loss: Share of cache events that are never seen.
        load_lag_s: Load reports are made at this interval; 0: when asked for.
        retain_s: Seconds for which an ended generation can be attached to.
        cold_s: Seconds after the start during which the engine is cold.
        cold_prefill_factor: Factor on prompt work while cold.
        cold_memory_share: Part of memory that may be in use while cold.
        cold_overload: What more use does: `none`, `fail` or `crash`.
        crash_marker: A prompt with this text crashes the engine; empty: none.
        seed: Seed of the choice of lost cache events.
    """

    __slots__ = (
        "step_s",
        "step_s_per_running",
        "prefill_tokens_per_step",
        "prefill_s_per_token",
        "prefill_base_tokens",
        "memory_total",
        "max_running",
        "cache_total",
        "cache_lag_s",
        "cache_event_loss",
        "load_lag_s",
        "retain_s",
        "cold_s",
        "cold_prefill_factor",
        "cold_memory_share",
        "cold_overload",
        "crash_marker",
        "seed",
    )

    def __init__(
        self,
        *,
        step_s: float = 0.020,
        step_s_per_running: float = 0.0002,
        prefill_tokens_per_step: int = 512,
        prefill_s_per_token: float = 0.00002,
        prefill_base_tokens: int = 64,
        memory_total: int = 65_536,
        max_running: int = 256,
        cache_total: int = 32_768,
        cache_lag_s: float = 1.0,
        cache_event_loss: float = 0.1,
        load_lag_s: float = 1.0,
        retain_s: float = 60.0,
        cold_s: float = 0.0,
        cold_prefill_factor: float = 5.0,
        cold_memory_share: float = 0.1,
        cold_overload: str = "fail",
        crash_marker: str = "<standin-crash>",
        seed: int = 1,
    ) -> None:
        if cold_overload not in _COLD_OVERLOADS:
            raise ValueError(f"cold_overload is not in {_COLD_OVERLOADS}.")
        if step_s <= 0:
            raise ValueError("step_s is not above 0.")
        self.step_s = step_s
        self.step_s_per_running = step_s_per_running
        self.prefill_tokens_per_step = prefill_tokens_per_step
        self.prefill_s_per_token = prefill_s_per_token
        self.prefill_base_tokens = prefill_base_tokens
        self.memory_total = memory_total
        self.max_running = max_running
        self.cache_total = cache_total
        self.cache_lag_s = cache_lag_s
        self.cache_event_loss = cache_event_loss
        self.load_lag_s = load_lag_s
        self.retain_s = retain_s
        self.cold_s = cold_s
        self.cold_prefill_factor = cold_prefill_factor
        self.cold_memory_share = cold_memory_share
        self.cold_overload = cold_overload
        self.crash_marker = crash_marker
        self.seed = seed


class State(enum.Enum):
    """State of a generation."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Submission:
    """What a caller asks for.

    Attributes:
        generation_id: Id of the new generation.
        prompt_tokens: Tokens of the prompt, 1 or more.
        output_tokens: Tokens that the generation will make, 1 or more.
        request_id: Request that it belongs to.
        priority: A higher number goes first and is preempted last.
        prefix: Hashes of the prompt's blocks (`tokens.prefix_hashes`).
        crashes: Whether the engine crashes when it runs the prompt.
    """

    __slots__ = (
        "generation_id",
        "prompt_tokens",
        "output_tokens",
        "request_id",
        "priority",
        "prefix",
        "crashes",
    )

    def __init__(
        self,
        generation_id: str,
        prompt_tokens: int,
        output_tokens: int,
        *,
        request_id: str = "",
        priority: int = 0,
        prefix: Sequence[str] = (),
        crashes: bool = False,
    ) -> None:
        if prompt_tokens < 1 or output_tokens < 1:
            raise ValueError("A generation needs one token or more.")
        self.generation_id = generation_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.request_id = request_id
        self.priority = priority
        self.prefix = prefix
        self.crashes = crashes


class Generation:
    """One generation of an engine.

    Attributes:
        asked: The submission.
        state: Present state.
        generated: Number of tokens made so far; never falls.
        held: Tokens of memory in use.
        prefill_left: Prompt work left, in tokens, before the next token.
        preemptions: How often it was paused for memory.
        readers: Number of attached readers.
        detached_at: Time at which the last reader left.
        submitted_at: Time of the submission.
        first_token_at: Time of the first token; None before it.
        last_token_at: Time of the latest token; None before the first.
        ended_at: Time of the end; None before it.
    """

    __slots__ = (
        "asked",
        "state",
        "generated",
        "held",
        "prefill_left",
        "preemptions",
        "readers",
        "detached_at",
        "submitted_at",
        "first_token_at",
        "last_token_at",
        "ended_at",
        "_rank",
        "_decodes",
    )

    def __init__(self, asked: Submission, order: int, now: float) -> None:
        self.asked = asked
        self.state = State.WAITING
        self.generated = 0
        self.held = 0
        self.prefill_left = 0.0
        self.preemptions = 0
        self.readers = 0
        self.detached_at = now
        self.submitted_at = now
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.ended_at: float | None = None
        self._rank = (-asked.priority, order)
        self._decodes = False

    @property
    def id(self) -> str:
        """Generation id."""
        return self.asked.generation_id

    @property
    def ended(self) -> bool:
        """Whether it will make no further token."""
        return self.state not in (State.WAITING, State.RUNNING)

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: the first is served first and preempted last."""
        return self._rank

    @property
    def tokens_to_hold(self) -> int:
        """Memory that the generation needs to make its next token."""
        return self.asked.prompt_tokens + self.generated + 1


class Refusal(enum.Enum):
    """Why a submission was refused."""

    EXISTS = "The engine already has a generation of this id."
    TOO_LONG = "Prompt and output do not fit into the engine's memory."
    COLD_OVERLOAD = "The engine failed: too much work while it is cold."
    CRASHED = "The engine crashed."


class Engine:
    """Batch, queue, memory and prefix cache of one engine.

    Attributes:
        slow_factor: Factor on the duration of steps; read at their start.
        preemptions: Number of preemptions since the start.
        tokens: Number of tokens made since the start.
        crashed: Why the engine crashed; empty while it runs.
    """

    def __init__(self, settings: Settings, now: float) -> None:
        self.slow_factor = 1.0
        self.preemptions = 0
        self.tokens = 0
        self.crashed = ""
        self._settings = settings
        self._started_at = now
        self._cold_until = now + settings.cold_s
        self._cache = prefix_cache.Cache(
            settings.cache_total,
            lag_s=settings.cache_lag_s,
            event_loss=settings.cache_event_loss,
            seed=settings.seed,
        )
        self._generations: dict[str, Generation] = {}
        # Both lists are sorted by rank.
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._ended: collections.deque[Generation] = collections.deque()
        self._changed: dict[str, Generation] = {}
        self._memory_used = 0
        self._order = 0
        self._step_ends_at: float | None = None
        self._snapshot = self._report(now)
        self._snapshot_at = now

    @property
    def memory_used(self) -> int:
        """Tokens that running generations hold."""
        return self._memory_used

    @property
    def running(self) -> int:
        """Number of generations in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of generations in the queue."""
        return len(self._waiting)

    def submit(self, asked: Submission, now: float) -> Generation | Refusal:
        """Adds a generation to the queue."""
        self._run_until(now)
        if self.crashed:
            return Refusal.CRASHED
        if asked.generation_id in self._generations:
            return Refusal.EXISTS
        needed = asked.prompt_tokens + asked.output_tokens
        if needed > self._settings.memory_total:
            return Refusal.TOO_LONG
        if self._overloads_when_cold(asked, now):
            if self._settings.cold_overload == "crash":
                self.crashed = "Too much work while the engine is cold."
                return Refusal.CRASHED
            return Refusal.COLD_OVERLOAD
        self._order += 1
        gen = Generation(asked, self._order, now)
        self._generations[gen.id] = gen
        bisect.insort(self._waiting, gen, key=_rank)
        if self._step_ends_at is None:
            self._begin_step(now)
        return gen

    def find(self, generation_id: str, now: float) -> Generation | None:
        """Returns a generation that is running or was kept after its end."""
        self._run_until(now)
        return self._generations.get(generation_id)

    def attach(self, gen: Generation, now: float) -> None:
        """Counts a reader."""
        self._run_until(now)
        gen.readers += 1

    def detach(self, gen: Generation, now: float) -> None:
        """Counts a reader that left."""
        self._run_until(now)
        gen.readers -= 1
        if not gen.readers:
            gen.detached_at = now

    def cancel(self, generation_id: str, now: float) -> bool:
        """Ends a generation and forgets it; returns whether it was known."""
        self._run_until(now)
        gen = self._generations.get(generation_id)
        if gen is None:
            return False
        if not gen.ended:
            self._end(gen, State.CANCELLED, now)
        # An ended generation is forgotten with its place in the kept ones.
        self._ended.remove(gen)
        del self._generations[generation_id]
        return True

    def fail(self, gen: Generation, now: float) -> None:
        """Ends a generation as failed, as a fault asks for."""
        self._run_until(now)
        if not gen.ended:
            self._end(gen, State.FAILED, now)

    def advance(self, now: float) -> list[Generation]:
        """Runs all steps that end until `now`.

        Returns:
            The generations that made a token or ended since the last call.
        """
        self._run_until(now)
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    def next_step_at(self) -> float | None:
        """Returns when the present step ends; None if there is no work."""
        return self._step_ends_at

    def is_cold(self, now: float) -> bool:
        """Returns whether the engine is cold."""
        return now < self._cold_until

    def turn_cold(self, seconds: float, now: float) -> None:
        """Makes the engine cold for a time and empties its prefix cache."""
        self._run_until(now)
        self._cold_until = now + seconds
        self._cache.clear(now)

    def load(self, now: float) -> dict[str, Any]:
        """Returns the latest load report; `reported_s_ago` is its age."""
        self._run_until(now)
        if self._settings.load_lag_s <= 0:
            return self._report(now) | {"reported_s_ago": 0.0}
        age_s = max(0.0, now - self._snapshot_at)
        return self._snapshot | {"reported_s_ago": age_s}

    def cache_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Returns the cache events that can be seen at `now`."""
        return self._cache.events(after, now)

    def _run_until(self, now: float) -> None:
        while (
            not self.crashed
            and self._step_ends_at is not None
            and self._step_ends_at <= now
        ):
            ends_at = self._step_ends_at
            self._report_until(ends_at)
            self._end_step(ends_at)
            self._begin_step(ends_at)
        self._report_until(now)
        self._forget_until(now)

    def _begin_step(self, now: float) -> None:
        self._step_ends_at = None
        preempted = self._grow_running(now)
        if not preempted:
            self._admit(now)
        if not self._running or self.crashed:
            return
        worked = self._plan_work()
        settings = self._settings
        duration_s = settings.step_s
        duration_s += settings.step_s_per_running * len(self._running)
        duration_s += settings.prefill_s_per_token * worked
        self._step_ends_at = now + duration_s * self.slow_factor

    def _end_step(self, now: float) -> None:
        for gen in list(self._running):
            if not gen._decodes:
                continue
            if gen.asked.crashes:
                self.crashed = f"Request {gen.asked.request_id} crashed it."
                return
            if gen.generated == 0:
                self._cache.insert(gen.asked.prefix, now)
                gen.first_token_at = now
            gen.generated += 1
            gen.last_token_at = now
            self.tokens += 1
            self._changed[gen.id] = gen
            if gen.generated == gen.asked.output_tokens:
                self._end(gen, State.FINISHED, now)

    def _plan_work(self) -> int:
        budget = self._settings.prefill_tokens_per_step
        worked = 0.0
        for gen in self._running:
            part = min(gen.prefill_left, budget - worked)
            gen.prefill_left -= part
            worked += part
            gen._decodes = gen.prefill_left <= 0
        return math.ceil(worked)

    def _grow_running(self, now: float) -> bool:
        preempted = False
        for gen in list(self._running):
            if gen.state is not State.RUNNING or gen.prefill_left > 0:
                continue
            while gen.state is State.RUNNING and not self._hold(gen):
                self._preempt(self._running[-1])
                preempted = True
        self._overload_running(now)
        return preempted

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self._settings.max_running:
            gen = self._waiting[0]
            if not self._make_room(gen):
                return
            self._waiting.pop(0)
            self._hold(gen)
            gen.state = State.RUNNING
            gen.prefill_left = self._prefill_work(gen, now)
            bisect.insort(self._running, gen, key=_rank)

    def _make_room(self, gen: Generation) -> bool:
        needed = gen.tokens_to_hold - self._free()
        victims = []
        for other in reversed(self._running):
            if needed <= 0 or other.asked.priority >= gen.asked.priority:
                break
            victims.append(other)
            needed -= other.held
        if needed > 0:
            return False
        for victim in victims:
            self._preempt(victim)
        return True

    def _prefill_work(self, gen: Generation, now: float) -> float:
        cached = self._cache.cached_tokens(gen.asked.prefix)
        work = gen.asked.prompt_tokens + gen.generated - cached
        work = max(0, work) + self._settings.prefill_base_tokens
        if self.is_cold(now):
            return work * self._settings.cold_prefill_factor
        return float(work)

    def _hold(self, gen: Generation) -> bool:
        missing = gen.tokens_to_hold - gen.held
        if missing > self._free():
            return False
        gen.held += missing
        self._memory_used += missing
        return True

    def _free(self) -> int:
        return self._settings.memory_total - self._memory_used

    def _release(self, gen: Generation) -> None:
        self._memory_used -= gen.held
        gen.held = 0

    def _preempt(self, gen: Generation) -> None:
        self._release(gen)
        self._running.remove(gen)
        gen.state = State.WAITING
        gen.preemptions += 1
        self.preemptions += 1
        bisect.insort(self._waiting, gen, key=_rank)

    def _end(self, gen: Generation, state: State, now: float) -> None:
        self._release(gen)
        if gen.state is State.RUNNING:
            self._running.remove(gen)
        else:
            self._waiting.remove(gen)
        gen.state = state
        gen.ended_at = now
        self._ended.append(gen)
        self._changed[gen.id] = gen

    def _cold_limit(self) -> float:
        settings = self._settings
        return settings.memory_total * settings.cold_memory_share

    def _guards_cold(self, now: float) -> bool:
        return self.is_cold(now) and self._settings.cold_overload != "none"

    def _overloads_when_cold(self, asked: Submission, now: float) -> bool:
        if not self._guards_cold(now):
            return False
        queued = sum(gen.tokens_to_hold for gen in self._waiting)
        used = self._memory_used + queued + asked.prompt_tokens + 1
        return used > self._cold_limit()

    def _overload_running(self, now: float) -> None:
        while (
            self._running
            and self._guards_cold(now)
            and self._memory_used > self._cold_limit()
        ):
            if self._settings.cold_overload == "crash":
                self.crashed = "Too much work while the engine is cold."
                return
            self._end(self._running[-1], State.FAILED, now)

    def _forget_until(self, now: float) -> None:
        oldest = now - self._settings.retain_s
        while self._ended and (
            self._ended[0].ended_at < oldest or len(self._ended) > KEPT_ENDED
        ):
            del self._generations[self._ended.popleft().id]

    def _report_until(self, now: float) -> None:
        lag_s = self._settings.load_lag_s
        if lag_s <= 0 or now < self._snapshot_at + lag_s:
            return
        intervals = int((now - self._snapshot_at) / lag_s)
        self._snapshot_at += intervals * lag_s
        self._snapshot = self._report(self._snapshot_at)

    def _report(self, now: float) -> dict[str, Any]:
        present = self._running + self._waiting
        return {
            "memory_used": self._memory_used,
            "memory_total": self._settings.memory_total,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "preemptions": self.preemptions,
            "generations": [_listed(gen, now) for gen in present],
        }


def submission(
    generation_id: str,
    body: dict[str, Any],
    *,
    request_id: str = "",
    priority: int = 0,
    crash_marker: str = "",
) -> Submission:
    """Builds a submission from a caller's body.

    The output length is `standin_tokens`, else `max_tokens`, else 16.

    Raises:
        ValueError: A length is not a positive whole number.
    """
    text = tokens.prompt_text(body)
    lengths = [body[name] for name in _LENGTH_FIELDS if name in body]
    length = lengths[0] if lengths else _DEFAULT_OUTPUT_TOKENS
    if type(length) is not int or length < 1:
        raise ValueError(f"The output length is not positive: {length!r}.")
    return Submission(
        generation_id,
        tokens.count(text),
        length,
        request_id=request_id,
        priority=priority,
        prefix=tokens.prefix_hashes(text),
        crashes=bool(crash_marker) and crash_marker in text,
    )


def _rank(gen: Generation) -> tuple[int, int]:
    return gen.rank


def _listed(gen: Generation, now: float) -> dict[str, Any]:
    detached_s = 0.0 if gen.readers else max(0.0, now - gen.detached_at)
    return {
        "id": gen.id,
        "request_id": gen.asked.request_id,
        "attached": gen.readers,
        "detached_s": detached_s,
    }
