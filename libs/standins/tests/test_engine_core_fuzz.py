"""Guards against tokens lost, repeated or out of order, and lost memory.

The oracle knows of each generation only its submission and what readers got.
It runs preemption, attaching, cancelling, failures and cold phases.
"""

import re
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.standins import engine_core
from dandelionlead.standins import engine_events

_MEMORY = 120
_EVENT_ID = re.compile(rb"^id: (\w+):(\d+)$", re.MULTILINE)
_STEPS_TO_END = 10_000
_LAGS_S = (0.0, 0.05)


class _Reader:
    def __init__(self, gen, after):
        self.gen = gen
        self.position = after
        self.left = False

    def read(self):
        writer = engine_events.Writer(
            self.gen.id, self.gen.asked.output_tokens, "/v1/completions", "stop"
        )
        data = writer.span(self.position + 1, self.gen.generated)
        for name, position in _EVENT_ID.findall(data):
            assert name.decode() == self.gen.id
            assert int(position) == self.position + 1
            self.position += 1
        assert self.position == self.gen.generated


class EngineMachine(stateful.RuleBasedStateMachine):
    generations = stateful.Bundle("generations")

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.count = 0
        self.lag_s = 0.0
        self.known = {}
        self.seen = {}
        self.cancelled = []
        self.generated_at_end = {}
        self.readers = []

    @stateful.initialize(
        lag_s=st.sampled_from(_LAGS_S),
        max_running=st.integers(1, 6),
        cold_overload=st.sampled_from(["none", "fail"]),
    )
    def start(self, lag_s, max_running, cold_overload):
        self.lag_s = lag_s
        settings = engine_core.Settings(
            step_s=0.01,
            prefill_tokens_per_step=32,
            prefill_base_tokens=4,
            memory_total=_MEMORY,
            max_running=max_running,
            cache_total=256,
            load_lag_s=lag_s,
            retain_s=1e9,
            cold_overload=cold_overload,
        )
        self.engine = engine_core.Engine(settings, self.now)

    @stateful.rule(
        target=generations,
        prompt=st.integers(1, 80),
        output=st.integers(1, 60),
        priority=st.integers(0, 2),
        prefix=st.sampled_from([(), ("p1",), ("p1", "p2"), ("q1",)]),
    )
    def submit(self, prompt, output, priority, prefix):
        self.count += 1
        name = f"g{self.count}"
        asked = engine_core.Submission(
            name, prompt, output, priority=priority, prefix=prefix
        )
        gen = self.engine.submit(asked, self.now)
        if isinstance(gen, engine_core.Refusal):
            if prompt + output > _MEMORY:
                assert gen is engine_core.Refusal.TOO_LONG
            else:
                assert gen is engine_core.Refusal.COLD_OVERLOAD
                assert self.engine.is_cold(self.now)
            return stateful.multiple()
        assert prompt + output <= _MEMORY
        self.known[name] = gen
        self.seen[name] = 0
        return name

    @stateful.rule(name=generations)
    def submit_again(self, name):
        gen = self.engine.submit(engine_core.Submission(name, 1, 1), self.now)
        if name in self.known:
            assert gen is engine_core.Refusal.EXISTS
        elif not isinstance(gen, engine_core.Refusal):
            self.known[name] = gen
            self.seen[name] = 0

    @stateful.rule(seconds=st.sampled_from([0.001, 0.01, 0.03, 0.2, 1.0]))
    def advance(self, seconds):
        self.now += seconds
        self._advance()

    @stateful.rule(name=generations, share=st.floats(0, 1))
    def attach(self, name, share):
        gen = self.engine.find(name, self.now)
        assert gen is self.known.get(name)
        if gen is not None:
            self.engine.attach(gen, self.now)
            reader = _Reader(gen, int(share * gen.generated))
            self.readers.append(reader)

    @stateful.precondition(lambda self: self.readers)
    @stateful.rule(data=st.data())
    def read_or_leave(self, data):
        reader = data.draw(st.sampled_from(self.readers))
        reader.read()
        if not reader.left and data.draw(st.booleans()):
            reader.left = True
            self.engine.detach(reader.gen, self.now)

    @stateful.rule(name=generations)
    def cancel(self, name):
        known = self.known.pop(name, None)
        assert self.engine.cancel(name, self.now) == (known is not None)
        if known is not None:
            self.cancelled.append(known)

    @stateful.rule(name=generations)
    def fail(self, name):
        gen = self.known.get(name)
        if gen is not None:
            self.engine.fail(gen, self.now)
            assert gen.ended

    @stateful.rule(factor=st.sampled_from([0.5, 1.0, 4.0]))
    def slow_down(self, factor):
        self.engine.slow_factor = factor

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0]))
    def turn_cold(self, seconds):
        self.engine.turn_cold(seconds, self.now)

    @stateful.invariant()
    def memory_is_held_by_running_generations_only(self):
        used = least = 0
        for gen in self.known.values():
            if gen.state is engine_core.State.RUNNING:
                used += gen.held
                least += gen.asked.prompt_tokens + gen.generated
            else:
                assert gen.held == 0
        assert self.engine.memory_used == used
        assert least <= used <= _MEMORY

    @stateful.invariant()
    def counters_add_up(self):
        every = [*self.known.values(), *self.cancelled]
        assert self.engine.tokens == sum(gen.generated for gen in every)
        paused = sum(gen.preemptions for gen in every)
        assert self.engine.preemptions == paused

    @stateful.invariant()
    def ended_generations_make_no_token(self):
        for gen in self.known.values():
            complete = gen.generated == gen.asked.output_tokens
            assert gen.generated <= gen.asked.output_tokens
            assert complete == (gen.state is engine_core.State.FINISHED)
        for gen in [*self.known.values(), *self.cancelled]:
            if gen.ended:
                made = self.generated_at_end.setdefault(gen, gen.generated)
                assert gen.generated == made

    @stateful.invariant()
    def report_is_no_older_than_its_interval(self):
        report = self.engine.load(self.now)
        assert 0 <= report["reported_s_ago"] <= self.lag_s + 1e-6
        assert report["memory_used"] <= _MEMORY
        if not self.lag_s:
            shown = {item["id"]: item for item in report["generations"]}
            present = [gen for gen in self.known.values() if not gen.ended]
            assert set(shown) == {gen.id for gen in present}
            for name, item in shown.items():
                attached = [
                    reader
                    for reader in self.readers
                    if reader.gen is self.known[name] and not reader.left
                ]
                assert item["attached"] == len(attached)

    def teardown(self):
        if not hasattr(self, "engine"):
            return
        for _ in range(_STEPS_TO_END):
            due = self.engine.next_step_at()
            if due is None:
                break
            self.now = due
            self._advance()
        else:
            raise AssertionError("The engine's work does not end.")
        self.counters_add_up()
        assert not self.engine.memory_used
        # All generations end, whatever was preempted.
        assert all(gen.ended for gen in self.known.values())
        for reader in self.readers:
            reader.read()

    def _advance(self):
        changed = {gen.id for gen in self.engine.advance(self.now)}
        for name, gen in self.known.items():
            assert gen.generated >= self.seen[name]
            # Readers of a generation with new tokens have to be woken.
            if gen.generated > self.seen[name]:
                assert name in changed
            self.seen[name] = gen.generated


EngineFuzzTest = EngineMachine.TestCase

if __name__ == "__main__":
    unittest.main()
