"""Guards against two holders that send at once and fences that fall.

Holders with clocks of different rates run against a table service that loses
answers, commits late and has outages, while holders pause in the middle of
calls. The oracle is the log of sends in true time.
"""

import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.core import errors
from dandelionlead.platform import api
from dandelionlead.rollout import lease

NAMES = ("a", "b", "c")
RATES = (0.98, 1.0, 1.02)
SEND_S = 5.0
DOWN = errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "down")


class _Table(api.TableService):
    """One holder's way to the shared row."""

    def __init__(self, model, name):
        self._model = model
        self._name = name

    def read(self, keys):
        model = self._model
        model.inside_call(self._name)
        if model.down:
            return DOWN
        row = model.row
        model.inside_call(self._name)
        return [row]

    def transact(self, ops):
        model = self._model
        model.inside_call(self._name)
        if model.down:
            return api.Unavailable("down")
        if model.rng.random() < model.late:
            model.pending.append((model.now + model.rng.uniform(0, 30), ops))
            return api.OutcomeUnknown("late")
        outcome = model.commit(ops)
        model.inside_call(self._name)
        if model.rng.random() < model.lost:
            return api.OutcomeUnknown("lost")
        return outcome


class _Holder:
    def __init__(self, model, name, life):
        self.name = f"{name}{life}"
        self.rate = model.rng.choice(RATES)
        self.offset = model.rng.uniform(0, 1000)
        self.busy = False
        self.frozen = False
        self.send_until = 0.0
        self.model = model
        self.keeper = lease.LeaseKeeper(
            _Table(model, name), self.name, self.clock
        )

    def clock(self):
        return self.offset + self.model.now * self.rate


class Model:
    """Holders, row and endpoints in true time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.row = None
        self.down = False
        self.late = 0.0
        self.lost = 0.0
        self.pause = 0.0
        self.pending = []
        self.fence_holder = {}
        self.sends = []
        self.sent_fence = 0
        self.engine_fence = 0
        self.engine_acquired = 0
        self.arrivals = []
        self.lives = 0
        self.holders = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.lives += 1
        self.holders[name] = _Holder(self, name, self.lives)

    def commit(self, ops):
        version = 0 if self.row is None else self.row.version
        if ops[0].if_version != version:
            return api.Conflict([0])
        before = 0 if self.row is None else self.row.value["fence"]
        value = ops[0].value
        assert value["fence"] >= before, "the fence in the row fell"
        if value["holder"]:
            holder = self.fence_holder.setdefault(
                value["fence"], value["holder"]
            )
            assert holder == value["holder"], "two holders with one fence"
        self.row = api.Row(version + 1, value)
        return api.Committed([version + 1])

    def inside_call(self, name):
        """Others go on while a holder waits for the table service."""
        holder = self.holders[name]
        seconds = self.rng.choice((0.0, 0.1, 0.5))
        if self.rng.random() < self.pause:
            seconds = self.rng.uniform(1, 25)
        before, holder.busy = holder.busy, True
        self.run(seconds)
        holder.busy = before

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.5)
            for item in [p for p in self.pending if p[0] <= self.now]:
                self.pending.remove(item)
                self.commit(item[1])
            for item in [a for a in self.arrivals if a[0] <= self.now]:
                self.arrivals.remove(item)
                self.arrive(item[1])
            for holder in list(self.holders.values()):
                if not holder.busy and not holder.frozen:
                    self.step(holder)

    def step(self, holder):
        holder.busy = True
        self.send(holder)
        holder.keeper.step()
        self.send(holder)
        holder.busy = False

    def send(self, holder):
        now = holder.clock()
        if holder.keeper.may_send(now, checks_fencing=True):
            delay_s = self.rng.choice((0.1, SEND_S, 20.0))
            self.arrivals.append((self.now + delay_s, holder.keeper.fence))
        if self.now < holder.send_until:
            return
        if holder.keeper.may_send(now, checks_fencing=False):
            holder.send_until = self.now + SEND_S / holder.rate
            self.record_send(holder)

    def record_send(self, holder):
        for name, until in self.sends:
            overlap = name != holder.name and self.now < until
            assert not overlap, f"{name} and {holder.name} send at {self.now}"
        assert holder.keeper.fence >= self.sent_fence, "an older holder sends"
        self.sent_fence = holder.keeper.fence
        self.sends = [s for s in self.sends if s[1] > self.now]
        self.sends.append((holder.name, holder.send_until))

    def arrive(self, fence):
        """An endpoint that checks fences gets an order, maybe late."""
        if fence < self.engine_fence:
            return
        self.engine_fence = fence
        # Acquisitions are numbered in the order in which they took effect.
        acquired = list(self.fence_holder).index(fence)
        assert acquired >= self.engine_acquired, "an old order ran"
        self.engine_acquired = acquired


class LeaseMachine(stateful.RuleBasedStateMachine):
    names = st.sampled_from(NAMES)
    rates = st.sampled_from((0.0, 0.2, 0.6))

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.model = Model(seed)
        self.model.run(20)

    @stateful.rule(seconds=st.sampled_from((1, 4, 12, 30)))
    def run(self, seconds):
        self.model.run(seconds)

    @stateful.rule(late=rates, lost=rates, pause=st.sampled_from((0.0, 0.1)))
    def faults(self, late, lost, pause):
        self.model.late = late
        self.model.lost = lost
        self.model.pause = pause

    @stateful.rule(down=st.booleans(), seconds=st.sampled_from((1, 9, 30)))
    def outage(self, down, seconds):
        self.model.down = down
        self.model.run(seconds)

    @stateful.rule(name=names, seconds=st.sampled_from((2, 8, 11, 14, 40)))
    def freeze(self, name, seconds):
        holder = self.model.holders[name]
        holder.frozen = True
        self.model.run(seconds)
        holder.frozen = False
        self.model.send(holder)

    @stateful.rule(name=names)
    def restart(self, name):
        self.model.start(name)

    @stateful.rule(name=names)
    def release(self, name):
        holder = self.model.holders[name]
        if self.model.now < holder.send_until:
            return
        holder.busy = True
        holder.keeper.release()
        holder.busy = False

    @stateful.rule()
    def quiet(self):
        """Without faults one process holds the lease within half a minute."""
        model = self.model
        model.down = False
        model.late = model.lost = model.pause = 0.0
        model.run(60)
        held = [h for h in model.holders.values() if h.keeper.holds(h.clock())]
        assert len(held) == 1, f"{len(held)} holders after a quiet time"


LeaseFuzz = LeaseMachine.TestCase

if __name__ == "__main__":
    unittest.main()
