"""Guards against dispatch under older rules than an accepted change.

Several entries, the platform and an operator run in one model with cut links,
outages for some or all, pauses, restarts and clocks that run at different
rates. The oracle is the model's own log of heads in true time.
"""

import heapq
import itertools
import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.membership import freshness
from dandelionlead.membership import spread

NAMES = ("a", "b", "c", "d", "e")
MAJORITY = 3
LIMIT_S = 4.0
STEP_S = 0.25
RATES = (0.97, 1.0, 1.03)


class _Voters:
    """Member table in which nobody joins or leaves."""

    def voters(self):
        return set(NAMES)


class _Process:
    def __init__(self, name, rng, now):
        self.name = name
        self.rate = rng.choice(RATES)
        self.offset = rng.uniform(0, 1000)
        self.frozen = False
        self.inbox = []
        self.told_at = {}
        self.heads = spread.HeadKeeper()
        self.fresh = freshness.Freshness(name, self.heads, self.clock(now))

    def clock(self, now):
        return self.offset + now * self.rate


class Model:
    """Entries, links, platform and operator in true time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.queue = []
        self.cut = set()
        self.no_platform = set()
        self.no_operator = set()
        self.no_parts = False
        self.operator_platform = True
        self.head = spread.Head(1, "apply-1", {"p": "1"})
        self.committed = {1: 0.0}
        self.accepted = {1: 0.0}
        self.dispatched = 0
        self.processes = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.processes[name] = _Process(name, self.rng, self.now)

    def later(self, delay_s, job):
        at = self.now + delay_s
        heapq.heappush(self.queue, (at, next(self.order), job))

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            end = self.now + STEP_S
            while self.queue and self.queue[0][0] <= end:
                self.now, _, job = heapq.heappop(self.queue)
                job()
            self.now = end
            for process in list(self.processes.values()):
                if not process.frozen:
                    self.step(process)

    def step(self, process):
        if self.rng.random() < STEP_S:
            self.read(process)
        if self.rng.random() < 3 * STEP_S:
            self.exchange(process)
        process.fresh.verdict(process.clock(self.now), _Voters())
        self.dispatch(process)

    def to(self, process, job):
        """Runs a job in a process, once it is not frozen, if it still runs."""
        if self.processes[process.name] is not process:
            return
        if process.frozen:
            process.inbox.append(job)
        else:
            job()

    def delay(self):
        return self.rng.choice((0.01, 0.05, 0.3, 0.6))

    def read(self, process):
        sent = process.clock(self.now)

        def serve():
            if process.name in self.no_platform:
                lost = self.rng.choice((0.0, 1.0))
                self.later(lost, lambda: self.to(process, failed))
                return
            head = self.head
            self.later(self.delay(), lambda: self.to(process, answer(head)))

        def failed():
            process.fresh.platform_failed(process.clock(self.now))

        def answer(head):
            def job():
                self.learn(process, head)
                process.fresh.platform_confirmed(head.version, sent)

            return job

        self.later(self.delay(), serve)

    def exchange(self, process):
        peer_name = self.rng.choice([n for n in NAMES if n != process.name])
        sent = process.clock(self.now)

        def serve():
            peer = self.processes[peer_name]
            if not self.linked(process.name, peer_name):
                return
            self.to(peer, lambda: reply(peer))

        def reply(peer):
            report = peer.fresh.report(peer.clock(self.now))
            head = peer.heads.head_for_message(0)
            body = peer.heads.in_force
            self.later(
                self.delay(),
                lambda: self.to(process, lambda: take(report, head, body)),
            )

        def take(report, head, body):
            if head is not None:
                self.told(process, head.version)
                process.heads.learn(head, process.clock(self.now))
            if body is not None and self.rng.random() < 0.8:
                process.heads.advance(set(body.parts.values()))
            self.told(process, report.head_version)
            process.fresh.peer_report(
                peer_name,
                report.head_version,
                report.confirmed_s_ago,
                report.platform_failed_s_ago,
                sent,
                vouchers=report.vouchers,
            )

        self.later(self.delay(), serve)

    def linked(self, one, other):
        return frozenset((one, other)) not in self.cut

    def told(self, process, version):
        for known in range(1, version + 1):
            process.told_at.setdefault(known, self.now)

    def learn(self, process, head):
        self.told(process, head.version)
        process.heads.learn(head, process.clock(self.now))
        if process.name not in self.no_platform and not self.no_parts:
            process.heads.advance(set(head.parts.values()))

    def apply(self):
        if not self.operator_platform:
            return
        version = self.head.version + 1
        self.head = spread.Head(
            version, f"apply-{version}", {"p": str(version)}
        )
        self.committed[version] = self.now
        self.notify(self.head, rounds=8)

    def notify(self, head, rounds):
        confirmed = set()
        for process in self.processes.values():
            if process.name in self.no_operator:
                continue

            def tell(process=process):
                self.learn(process, head)
                if process.heads.version >= head.version:
                    confirmed.add(process.name)

            at = self.rng.uniform(0, 0.95)
            self.later(at, lambda p=process, t=tell: self.to(p, t))
        end = self.now + 1.0

        def finish():
            if spread.accepted(set(NAMES), set(confirmed)):
                self.accepted.setdefault(head.version, end)
            elif rounds > 1 and head is self.head:
                self.notify(head, rounds - 1)

        self.later(1.0, finish)

    def dispatch(self, process):
        if not process.fresh.may_dispatch(process.clock(self.now)):
            return
        self.dispatched += 1
        version = process.heads.version
        for newer in range(version + 1, self.head.version + 1):
            self.check(process, version, newer)

    def check(self, process, version, newer):
        before = self.now - LIMIT_S
        what = f"{process.name} dispatches under {version} at {self.now}"
        # A change accepted later than `newer` makes `newer` old as well.
        for later in range(newer, self.head.version + 1):
            if self.accepted.get(later, self.now) < before:
                raise AssertionError(f"{what}; {later} was accepted")
        if process.told_at.get(newer, self.now) < before:
            raise AssertionError(f"{what}; it was told of {newer}")
        if self.committed[newer] >= before:
            return
        # Only an entry that cannot read the platform may not know of it.
        if process.name not in self.no_platform and not self.recently_cut:
            raise AssertionError(f"{what}; it can read the platform")

    @property
    def recently_cut(self):
        return self.now - self.platform_changed < LIMIT_S

    platform_changed = 0.0

    def set_platform(self, without):
        self.no_platform = set(without)
        self.platform_changed = self.now


class FreshnessMachine(stateful.RuleBasedStateMachine):
    names = st.sampled_from(NAMES)
    groups = st.sets(names)

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.model = Model(seed)
        self.model.run(4)

    @stateful.rule(seconds=st.sampled_from((0.25, 0.5, 1, 2, 4, 8)))
    def run(self, seconds):
        self.model.run(seconds)

    @stateful.rule(without=groups)
    def cut_platform(self, without):
        self.model.set_platform(without)

    @stateful.rule()
    def total_outage(self):
        self.model.set_platform(NAMES)
        self.model.operator_platform = False

    @stateful.rule()
    def restore_platform(self):
        self.model.set_platform(())
        self.model.operator_platform = True

    @stateful.rule(up=st.booleans())
    def operator_platform(self, up):
        self.model.operator_platform = up

    @stateful.rule(without=groups)
    def cut_operator(self, without):
        self.model.no_operator = set(without)

    @stateful.rule(one=names, other=names)
    def cut_link(self, one, other):
        self.model.cut.add(frozenset((one, other)))

    @stateful.rule()
    def heal_links(self):
        self.model.cut.clear()
        self.model.no_operator.clear()

    @stateful.rule(
        side=st.sets(names, min_size=1, max_size=4),
        restarted=groups,
        wait=st.sampled_from((0, 0.5, 2, 5)),
        count=st.integers(0, 2),
    )
    def partition(self, side, restarted, wait, count):
        self.partition_now(side, restarted, wait, count)

    def partition_now(self, side, restarted, wait, count):
        """Splits the entries; one side keeps platform and operator."""
        without = set(NAMES) - side
        for one in side:
            for other in without:
                self.model.cut.add(frozenset((one, other)))
        self.model.set_platform(without)
        self.model.no_operator = set(without)
        self.model.run(wait)
        for _ in range(count):
            self.model.apply()
        for name in restarted:
            self.model.start(name)
        self.model.run(7)

    @stateful.rule(name=names)
    def freeze(self, name):
        self.model.processes[name].frozen = True

    @stateful.rule(name=names)
    def wake(self, name):
        model = self.model
        process = model.processes[name]
        if not process.frozen:
            return
        process.frozen = False
        # A request that waits is dispatched before anything else happens.
        model.dispatch(process)
        jobs, process.inbox = process.inbox, []
        for job in jobs:
            model.to(process, job)
            model.dispatch(process)

    @stateful.rule(
        name=names,
        seconds=st.sampled_from((1, 3, 5, 30)),
        changes=st.booleans(),
    )
    def pause(self, name, seconds, changes):
        self.freeze(name)
        if changes:
            self.model.apply()
        self.model.run(seconds)
        self.wake(name)

    @stateful.rule(name=names)
    def restart(self, name):
        self.model.start(name)

    @stateful.rule(rounds=st.integers(1, 8))
    def faults(self, rounds):
        """Shows many partitions, restarts and changes in a row."""
        rng = self.model.rng
        for _ in range(rounds):
            side = set(rng.sample(NAMES, rng.randint(1, 4)))
            restarted = rng.sample(NAMES, rng.choice((0, 0, 1, 2)))
            wait = rng.choice((0, 0.5, 2, 5))
            self.partition_now(side, restarted, wait, rng.randint(0, 2))
            if rng.random() < 0.5:
                self.heal_links()
                self.restore_platform()
                self.model.run(rng.choice((0.5, 2, 4)))

    @stateful.rule(available=st.booleans())
    def parts(self, available):
        self.model.no_parts = not available

    @stateful.rule(
        count=st.integers(1, 3),
        wait=st.sampled_from((0, 1, 6)),
        outage=st.booleans(),
    )
    def apply(self, count, wait, outage):
        for _ in range(count):
            self.model.apply()
            self.model.run(0.25)
        if outage:
            self.total_outage()
        self.model.run(wait)


FreshnessFuzz = FreshnessMachine.TestCase

if __name__ == "__main__":
    unittest.main()
