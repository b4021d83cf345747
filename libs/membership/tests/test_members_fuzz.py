"""Guards against members that stay listed after they ended, or vanish.

Several tables exchange messages over links that fail, with pauses, restarts
and a lagging list. The oracle is which processes the model runs.
"""

import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.membership import members
from dandelionlead.platform import api

NAMES = ("a", "b", "c", "d", "e", "f")
STEP_S = 0.25
EXCHANGES = 3
DEADLINE_S = 1.0
LIST_LAG_S = 10
# Requirement: a dead or leaving entry is out of the list within seconds.
GONE_WITHIN_S = 8
# After all faults end, everyone sees everyone again within this time.
SETTLED_WITHIN_S = 25


class _Process:
    def __init__(self, name, incarnation, now):
        self.own = _state(name, incarnation)
        self.table = members.MemberTable(self.own, now)
        self.frozen = False
        self.leaving = False
        self.seen = {}
        self.due = []


def _state(name, incarnation):
    return members.MemberState(
        name, "zone", f"h-{name}", f"c-{name}", incarnation, 0, "entry"
    )


class Model:
    """Runs the tables in steps of true time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cut = set()
        self.lists = []
        self.incarnation = 1000
        self.processes = {}
        for name in NAMES:
            self.start(name)
        self.lists = [set(self.processes)] * LIST_LAG_S
        for process in self.processes.values():
            self.observe(process)

    def start(self, name):
        self.incarnation += 1000
        process = _Process(name, self.incarnation, self.now)
        self.processes[name] = process
        if self.lists:
            self.observe(process)

    def observe(self, process):
        listed = [
            api.Listed(name, f"h-{name}", f"c-{name}", "zone", "live")
            for name in sorted(self.lists[-LIST_LAG_S])
        ]
        process.table.observe_listed(listed, self.now)

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.now % 1 == 0:
                self.lists.append(set(self.processes))
            for process in list(self.processes.values()):
                if not process.frozen:
                    self.step(process)

    def step(self, process):
        for at, name in [d for d in process.due if d[0] <= self.now]:
            process.due.remove((at, name))
            process.table.exchange_failed(name, self.now)
        process.table.tick(self.now)
        if self.now % 1 == 0:
            self.observe(process)
            targets = process.table.gossip_targets(self.rng, EXCHANGES)
            for target in targets:
                self.exchange(process, target.name)
        self.check(process)

    def exchange(self, process, name):
        peer = self.processes.get(name)
        linked = frozenset((process.own.name, name)) not in self.cut
        if linked and peer is None:
            process.table.exchange_failed(name, self.now, refused=True)
            return
        if not linked or peer.frozen:
            process.due.append((self.now + DEADLINE_S, name))
            return
        sent = process.table.states_for_message(to=name)
        peer.table.merge(sent, self.now)
        answer = peer.table.states_for_message(to=process.own.name)
        assert max(len(sent), len(answer)) <= members.BURST_STATES
        process.table.heard_from(name, self.now)
        process.table.merge(answer, self.now)

    def check(self, process):
        own = process.table.own.state
        expected = members.LEAVING if process.leaving else members.LIVE
        assert own == expected, f"{process.own.name} says it is {own}"
        for state in process.table.all():
            order = (state.incarnation, state.state)
            before = process.seen.get(state.name, order)
            assert order >= before, f"{state.name} went back to {order}"
            process.seen[state.name] = order
            owner = self.processes.get(state.name)
            if owner is not None:
                highest = owner.table.own.incarnation
                assert state.incarnation <= highest, "not by its owner"

    def check_settled(self):
        want = sorted(n for n, p in self.processes.items() if not p.leaving)
        for name, process in self.processes.items():
            got = [item.name for item in process.table.addresses(self.now)]
            assert got == want, f"{name} gives {got} instead of {want}"

    def check_gone(self, gone):
        for name, process in self.processes.items():
            got = [item.name for item in process.table.addresses(self.now)]
            assert gone not in got, f"{name} still gives {gone}"

    def check_voters(self):
        """A running entry counts wherever it is known and listed."""
        listed = self.lists[-LIST_LAG_S]
        for name, process in self.processes.items():
            voters = process.table.voters()
            for other, peer in self.processes.items():
                known = process.table.get(other)
                if known is None or peer.leaving or other not in listed:
                    continue
                assert other in voters, f"{name} does not count {other}"


class MembersMachine(stateful.RuleBasedStateMachine):
    names = st.sampled_from(NAMES)

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.model = Model(seed)
        self.model.run(SETTLED_WITHIN_S)
        self.model.check_settled()

    @stateful.rule(seconds=st.sampled_from((0.5, 1, 3, 8)))
    def run(self, seconds):
        self.model.run(seconds)

    @stateful.rule(one=names, other=names)
    def cut_link(self, one, other):
        self.model.cut.add(frozenset((one, other)))

    @stateful.rule(side=st.sets(names), seconds=st.sampled_from((2, 6, 12)))
    def partition(self, side, seconds):
        for one in side:
            for other in set(NAMES) - side:
                self.model.cut.add(frozenset((one, other)))
        self.model.run(seconds)
        self.model.check_voters()

    @stateful.rule(name=names, seconds=st.sampled_from((1, 4, 20)))
    def pause(self, name, seconds):
        process = self.model.processes.get(name)
        if process is not None:
            process.frozen = True
            self.model.run(seconds)
            process.frozen = False

    @stateful.rule(name=names)
    def start(self, name):
        self.model.start(name)

    @stateful.rule(name=names, settled=st.booleans(), leave=st.booleans())
    def end(self, name, settled, leave):
        process = self.model.processes.get(name)
        if process is None or len(self.model.processes) < 3:
            return
        if settled:
            self.settle()
        if leave:
            process.table.leave(self.model.now)
            process.leaving = True
        else:
            del self.model.processes[name]
        if settled:
            self.model.run(GONE_WITHIN_S)
            self.model.check_gone(name)
        self.model.processes.pop(name, None)

    @stateful.rule()
    def settle(self):
        self.model.cut.clear()
        self.model.run(SETTLED_WITHIN_S)
        self.model.check_settled()


MembersFuzz = MembersMachine.TestCase

if __name__ == "__main__":
    unittest.main()
