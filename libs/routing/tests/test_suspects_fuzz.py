"""Guards against requests that crash many endpoints, and quarantined innocents.

Copies of crashing requests come in through three entries under new ids,
beside innocent requests; gossip is late. The oracle knows which requests crash
endpoints, and which news each entry had when it started a copy.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.routing import suspects

ENTRIES = 3
ENDPOINTS = [f"e{number}" for number in range(4)]
CRASHING = ("bad0", "bad1", "bad2")
INNOCENT = tuple(f"good{number}" for number in range(6))
SETTLE_S = 8.0
# News is everywhere after this time, which is below the settling time.
GOSSIP_S = 3.0
INFORMED_LOSSES_LIMIT = 3


class Run:
    def __init__(self, entry, name, alone, heard):
        self.entry, self.name, self.alone = entry, name, alone
        # Pairs of crash and name that the entry knew when it started this.
        self.heard = set(heard)


class SuspectsMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.registries = [
            suspects.SuspectRegistry(settle_s=SETTLE_S) for _ in range(ENTRIES)
        ]
        self.runs = {name: [] for name in ENDPOINTS}
        self.restarts = dict.fromkeys(ENDPOINTS, 0)
        self.on_the_way = []
        # The oracle.
        self.crashes = {name: [] for name in CRASHING}
        self.heard = [set() for _ in range(ENTRIES)]
        self.losses = dict.fromkeys(CRASHING, 0)

    @stateful.rule(
        entry=st.integers(0, ENTRIES - 1),
        names=st.lists(
            st.sampled_from((*CRASHING, *INNOCENT)), min_size=1, max_size=6
        ),
        first=st.sampled_from(ENDPOINTS),
    )
    def send(self, entry, names, first):
        for name in names:
            self.place(entry, name, first)

    def place(self, entry, name, first):
        registry = self.registries[entry]
        verdict = registry.verdict(name, self.now)
        if verdict is suspects.Verdict.FREE:
            order = [first]
        else:
            order = registry.rank(name, ENDPOINTS)
        for endpoint in order:
            runs = self.runs[endpoint]
            own = {run.name for run in runs if run.entry == entry}
            others = sum(run.entry != entry for run in runs)
            reserved = any(run.alone and run.name != name for run in runs)
            if not reserved and registry.may_run(
                name, own, self.now, others=others
            ):
                alone = verdict is suspects.Verdict.ALONE
                runs.append(Run(entry, name, alone, self.heard[entry]))
                return

    @stateful.rule(data=st.data())
    def end_well(self, data):
        ready = [
            (endpoint, run)
            for endpoint, runs in self.runs.items()
            for run in runs
            if run.name in INNOCENT
        ]
        if ready:
            endpoint, run = data.draw(st.sampled_from(ready))
            self.runs[endpoint].remove(run)
            self.registries[run.entry].ended_well(run.name, self.now)

    @stateful.rule(data=st.data())
    def crash(self, data):
        ready = [
            endpoint
            for endpoint, runs in self.runs.items()
            if any(run.name in CRASHING for run in runs)
        ]
        if ready:
            self.crash_endpoint(data.draw(st.sampled_from(ready)))

    def crash_endpoint(self, endpoint):
        incarnation = f"{endpoint}#{self.restarts[endpoint]}"
        self.restarts[endpoint] += 1
        runs, self.runs[endpoint] = self.runs[endpoint], []
        for entry, registry in enumerate(self.registries):
            names = {run.name for run in runs if run.entry == entry}
            if names:
                registry.crashed(incarnation, names, self.now)
                self.heard[entry] |= {(incarnation, name) for name in names}
        for name in CRASHING:
            copies = [run for run in runs if run.name == name]
            if not copies:
                continue
            # A copy that was started without news of an earlier crash, or ran
            # when it happened, excuses the loss.
            earlier = set(self.crashes[name])
            if all(earlier <= run.heard for run in copies):
                self.losses[name] += 1
            self.crashes[name].append((incarnation, name))
            assert self.losses[name] <= INFORMED_LOSSES_LIMIT, "too many lost"

    @stateful.rule(
        sender=st.integers(0, ENTRIES - 1),
        receiver=st.integers(0, ENTRIES - 1),
        late=st.booleans(),
    )
    def gossip(self, sender, receiver, late):
        items = self.registries[sender].export(self.now)
        message = (self.now, receiver, items, set(self.heard[sender]))
        if late:
            self.on_the_way.append(message)
        else:
            self.receive(message)

    def receive(self, message):
        _, receiver, items, heard = message
        self.registries[receiver].merge(items, self.now)
        self.heard[receiver] |= heard

    @stateful.rule(seconds=st.sampled_from((0.5, 3.0, 3.0, 9.0)))
    def wait(self, seconds):
        passed = 0.0
        while passed < seconds:
            step = min(GOSSIP_S, seconds - passed)
            passed += step
            self.now += step
            if step == GOSSIP_S:
                self.spread()
        due = [m for m in self.on_the_way if self.now - m[0] >= GOSSIP_S]
        for message in due:
            self.on_the_way.remove(message)
            self.receive(message)

    def spread(self):
        for sender in range(ENTRIES):
            for receiver in range(ENTRIES):
                self.gossip(sender, receiver, False)

    @stateful.invariant()
    def innocents_are_not_quarantined(self):
        for registry in self.registries:
            for name in INNOCENT:
                verdict = registry.verdict(name, self.now)
                assert verdict is not suspects.Verdict.QUARANTINED, name

    def teardown(self):
        """Repeated without end, a crashing request ends in quarantine."""
        for endpoint, runs in self.runs.items():
            for run in [run for run in runs if run.name in INNOCENT]:
                runs.remove(run)
                self.registries[run.entry].ended_well(run.name, self.now)
            if runs:
                self.crash_endpoint(endpoint)
        for _ in range(INFORMED_LOSSES_LIMIT + 1):
            for name in CRASHING:
                self.wait(9.0)
                self.send_and_crash(name)
        self.wait(9.0)
        for registry in self.registries:
            for name in CRASHING:
                verdict = registry.verdict(name, self.now)
                assert verdict is suspects.Verdict.QUARANTINED, verdict
        self.innocents_are_not_quarantined()

    def send_and_crash(self, name):
        registry = self.registries[0]
        endpoint = registry.rank(name, ENDPOINTS)[0]
        if registry.may_run(name, (), self.now):
            self.runs[endpoint] = [Run(0, name, True, self.heard[0])]
            self.crash_endpoint(endpoint)


SuspectsMachine.TestCase.settings = hypothesis.settings(stateful_step_count=100)
SuspectsTest = SuspectsMachine.TestCase


if __name__ == "__main__":
    unittest.main()
