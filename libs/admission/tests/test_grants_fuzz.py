"""Guards against an entry that uses units it does not hold.

The oracle keeps a plain list of the grants that were accepted and the units
taken since, and checks expiry, incarnations, reports and the number of asks.
"""

import unittest

from hypothesis import stateful
from hypothesis import strategies as st

from dandelionlead.admission import grants
from dandelionlead.admission import ownership

ENDPOINTS = ("x", "y")
units = st.integers(1, 50)
endpoints = st.sampled_from(ENDPOINTS)


class GrantsMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.pool = grants.GrantPool()
        self.now = 100.0
        # Per endpoint: incarnation, [units, expiry] of grants, asks, leases.
        self.current = dict.fromkeys(ENDPOINTS, 0)
        self.free = {name: [] for name in ENDPOINTS}
        self.asks = {}
        self.leases = []
        self.serial = 0

    def live(self, endpoint):
        return [item for item in self.free[endpoint] if self.now < item[1]]

    def name(self, endpoint):
        return f"{endpoint}{self.current[endpoint]}"

    @stateful.rule(seconds=st.sampled_from((0.01, 0.3, 0.9, 1.1, 6.0)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(endpoint=endpoints, amount=units)
    def take(self, endpoint, amount):
        held = sum(item[0] for item in self.live(endpoint))
        lease = self.pool.take(endpoint, amount, self.now)
        assert (lease is not None) == (held >= amount)
        if lease is None:
            return
        assert lease.incarnation == self.name(endpoint)
        slices = []
        for item in self.live(endpoint):
            part = min(amount, item[0])
            item[0] -= part
            amount -= part
            slices.append((item, part))
        self.serial += 1
        lease.generation_id = f"g{self.serial}"
        self.leases.append([lease, slices, "open"])

    @stateful.rule()
    def ask(self):
        wanted = self.pool.wanted(self.now)
        # An ask that is not answered for 1 s is given up: its answer is void.
        self.asks = {
            name: asked
            for name, asked in self.asks.items()
            if self.now - asked[0] < 1.0
        }
        for ask in wanted:
            assert ask.endpoint not in self.asks, "one ask at a time"
            assert 0 < ask.least_units <= ask.units
            self.asks[ask.endpoint] = (self.now, ask.units)

    @stateful.rule(
        endpoint=endpoints,
        valid=st.sampled_from((0.5, 2.0)),
        stale=st.booleans(),
    )
    def grant(self, endpoint, valid, stale):
        if endpoint not in self.asks:
            return
        asked_at, amount = self.asks.pop(endpoint)
        known = self.pool.incarnation(endpoint)
        bound = f"{endpoint}-other" if stale else self.name(endpoint)
        if stale and not known:
            return
        grant = ownership.Grant("g", endpoint, bound, amount, valid, "l@1.0")
        added = self.pool.add(grant, asked_at)
        assert added == (not stale and known in ("", bound))
        if added:
            self.free[endpoint].append([amount, asked_at + valid])
        assert not self.pool.add(grant, asked_at), "a second answer is void"

    @stateful.rule(endpoint=endpoints, amount=units)
    def obtain(self, endpoint, amount):
        self.take(endpoint, amount)
        self.ask()
        self.grant(endpoint, 2.0, False)
        self.take(endpoint, max(1, amount // 2))

    @stateful.rule(endpoint=endpoints)
    def refuse(self, endpoint):
        if endpoint in self.asks:
            self.pool.refused(endpoint, self.asks.pop(endpoint)[0], self.now)
            self.ask()
            assert endpoint not in self.asks, "a refused ask waits"

    @stateful.rule(index=st.integers(0, 50), restarted=st.booleans())
    def confirm(self, index, restarted):
        waiting = [item for item in self.leases if item[2] == "open"]
        if not waiting:
            return
        entry = waiting[index % len(waiting)]
        lease = entry[0]
        if restarted or lease.incarnation != self.name(lease.endpoint):
            self.end(lease.endpoint, restarted)
        name = self.name(lease.endpoint)
        same = lease.incarnation == name
        assert self.pool.confirm(lease, name) == same
        entry[2] = "used"

    def end(self, endpoint, restarted):
        if restarted:
            self.current[endpoint] += 1
            self.free[endpoint].clear()
            self.leases = [
                item
                for item in self.leases
                if item[0].endpoint != endpoint or item[2] == "open"
            ]

    @stateful.rule(index=st.integers(0, 50))
    def release(self, index):
        if not self.leases:
            return
        lease, slices, state = self.leases.pop(index % len(self.leases))
        self.pool.release(lease, self.now)
        if state == "open":
            for item, part in slices:
                item[0] += part

    @stateful.rule(endpoint=endpoints)
    def report(self, endpoint):
        usage = self.pool.usage(endpoint, self.now)
        mine = [item for item in self.leases if item[0].endpoint == endpoint]
        used = sum(item[0].units for item in mine if item[2] == "used")
        opened = sum(item[0].units for item in mine if item[2] == "open")
        opened += sum(item[0] for item in self.live(endpoint))
        assert (usage.units_in_use, usage.units_open) == (used, opened)
        names = {item[0].generation_id for item in mine}
        assert set(usage.generations) == names

    @stateful.invariant()
    def unused_units_agree(self):
        for endpoint in ENDPOINTS:
            held = sum(item[0] for item in self.live(endpoint))
            assert self.pool.unused(endpoint, self.now) == held


class GrantsFuzz(GrantsMachine.TestCase):
    pass


class DemandTest(unittest.TestCase):
    def test_idle_endpoints_are_not_asked(self):
        # Guards against asks without end after the last request.
        pool = grants.GrantPool()
        pool.take("x", 10, 0.0)
        (ask,) = pool.wanted(0.0)
        grant = ownership.Grant("g", "x", "i", ask.units, 2.0, "l@0.0")
        pool.add(grant, 0.0)
        pool.release(pool.take("x", 10, 0.1), 0.1)
        self.assertEqual(pool.wanted(30.0), [])

    def test_steady_requests_seldom_find_no_units(self):
        pool = grants.GrantPool()
        missed = 0
        for step in range(1000):
            now = step * 0.02
            lease = pool.take("x", 10, now)
            missed += lease is None
            if lease:
                pool.confirm(lease, "i")
                pool.release(lease, now)
            for ask in pool.wanted(now):
                grant = ownership.Grant("g", "x", "i", ask.units, 2.0, "l@0.0")
                pool.add(grant, now)
        self.assertLess(missed, 20)


if __name__ == "__main__":
    unittest.main()
