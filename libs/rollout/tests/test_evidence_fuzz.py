"""Guards against counters that are lost, counted twice or fall in gossip."""

import collections
import random
import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.rollout import evidence

NAMES = ("a", "b", "c")
VERSIONS = ("1", "2")
ROUTES = ("x", "y")


class EvidenceMachine(stateful.RuleBasedStateMachine):
    names = st.sampled_from(NAMES)

    @stateful.initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.life = 0
        self.tables = {}
        self.truth = collections.Counter()
        self.shown = {}
        self.messages = []
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.life += 1
        self.tables[name] = evidence.Evidence(name, self.life)
        self.shown = {k: v for k, v in self.shown.items() if k[0] != name}

    @stateful.rule(
        name=names,
        version=st.sampled_from(VERSIONS),
        route=st.sampled_from(ROUTES),
        failed=st.booleans(),
        seconds=st.sampled_from((0.0, 0.0005, 0.02, 1.0, 500.0)),
        count=st.integers(1, 20),
    )
    def record(self, name, version, route, failed, seconds, count):
        for _ in range(count):
            self.tables[name].record(
                "m", version, route, failed=failed, first_token_s=seconds
            )
        self.truth[version, route, "requests"] += count
        self.truth[version, route, "failures"] += failed * count

    @stateful.rule(source=names, limit=st.integers(1, 5))
    def send(self, source, limit):
        """Messages may be repeated, reordered or lost later on."""
        message = []
        for key, sample in self.tables[source].for_message(limit):
            copy = evidence.Sample()
            copy.add(sample)
            message.append((key, copy))
        self.messages.append(message)

    @stateful.rule(name=names)
    def deliver(self, name):
        if self.messages:
            self.tables[name].merge(self.rng.choice(self.messages))

    @stateful.rule(name=names)
    def restart(self, name):
        """What only this process knew is lost with it."""
        own = self.tables[name]
        for other in NAMES:
            if other != name:
                self.tables[other].merge(own.for_message(1000))
        self.start(name)

    @stateful.rule()
    def spread(self):
        for source in NAMES:
            for target in NAMES:
                message = self.tables[source].for_message(1000)
                self.tables[target].merge(message)
        for name in NAMES:
            message = self.tables[NAMES[-1]].for_message(1000)
            self.tables[name].merge(message)
            for version in VERSIONS:
                for route in ROUTES:
                    self.check_complete(name, version, route)

    def check_complete(self, name, version, route):
        total = self.tables[name].total("m", version, route)
        want = self.truth[version, route, "requests"]
        assert total.requests == want, f"{total.requests} of {want} at {name}"
        assert total.failures == self.truth[version, route, "failures"]
        assert sum(total.first_token) == want

    @stateful.invariant()
    def never_falls_or_exceeds(self):
        for name in getattr(self, "tables", ()):
            for version in VERSIONS:
                for route in ROUTES:
                    key = (name, version, route)
                    total = self.tables[name].total("m", version, route)
                    assert total.requests >= self.shown.get(key, 0)
                    assert total.requests <= self.truth[(*key[1:], "requests")]
                    self.shown[key] = total.requests


EvidenceFuzz = EvidenceMachine.TestCase

if __name__ == "__main__":
    unittest.main()
