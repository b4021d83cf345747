"""Guards against service that stops in an outage, and against false starts."""

import unittest

from dandelionlead.membership import freshness
from dandelionlead.membership import spread
from dandelionlead.membership.freshness import State


class _Voters:
    def __init__(self, names):
        self._names = set(names)

    def voters(self):
        return self._names


class _Entry:
    def __init__(self, name, voters, started_at=0.0, head=1):
        self.name = name
        self.voters = _Voters(voters)
        self.heads = spread.HeadKeeper()
        self.fresh = freshness.Freshness(name, self.heads, started_at)
        if head:
            self.learn(head, started_at)

    def learn(self, version, now):
        self.heads.learn(spread.Head(version, "apply", {"p": "1"}), now)
        self.heads.advance({"1"})

    def ask(self, peer, at):
        report = peer.fresh.report(at)
        self.fresh.peer_report(
            peer.name,
            report.head_version,
            report.confirmed_s_ago,
            report.platform_failed_s_ago,
            at,
            vouchers=report.vouchers,
        )

    def state(self, now):
        return self.fresh.verdict(now, self.voters).state


def _running(names, now=0.0):
    entries = {name: _Entry(name, names, now) for name in names}
    for entry in entries.values():
        entry.fresh.platform_confirmed(1, now)
        entry.state(now)
    return entries


class FreshnessTest(unittest.TestCase):
    def test_answers_are_relayed_so_that_few_exchanges_show_a_majority(self):
        entries = _running("abcdefg")
        for entry in entries.values():
            entry.fresh.platform_failed(3.0)
        for asks, answers in ("bc", "cd", "de"):
            entries[asks].ask(entries[answers], 3.0)
        # The chain relays: a asks b only, which heard of c and so on.
        for asks, answers in ("dc", "cb", "bd", "ab"):
            entries[asks].ask(entries[answers], 3.5)
        self.assertEqual(entries["a"].state(3.6), State.COMMON_OUTAGE)
        self.assertEqual(entries["g"].state(3.6), State.CUT_OFF)
        self.assertFalse(entries["a"].fresh.may_dispatch(6.2))

    def test_higher_head_that_is_not_complete_ends_freshness(self):
        entry = _running("abc")["a"]
        entry.heads.learn_version(2, 1.0)
        entry.fresh.platform_confirmed(2, 1.0)
        self.assertTrue(entry.fresh.may_dispatch(2.9))
        self.assertFalse(entry.fresh.may_dispatch(3.1))

    def test_start_needs_the_platform_or_a_majority_of_others(self):
        entries = _running("abc")
        for name in "ab":
            entries[name].fresh.platform_failed(10.0)
        starter = _Entry("c", "abc", started_at=10.0)
        starter.fresh.platform_failed(10.0)
        cases = [
            # An answer soon after the start may precede an acceptance that
            # an earlier life of this entry confirmed.
            ("ab", 10.5, State.STARTING),
            # Its own knowledge does not count towards the majority.
            ("a", 12.0, State.STARTING),
            ("ab", 12.0, State.COMMON_OUTAGE),
        ]
        for asked, at, expected in cases:
            with self.subTest(asked=asked, at=at):
                for name in asked:
                    entries[name].fresh.platform_failed(at)
                    starter.ask(entries[name], at)
                starter.fresh.platform_failed(at)
                self.assertEqual(starter.state(at + 0.1), expected)

    def test_start_never_uses_an_older_head_than_a_peer_named(self):
        starter = _Entry("c", "abc", head=0)
        starter.heads.learn_version(2, 0.0)
        starter.learn(1, 0.1)
        self.assertEqual(starter.heads.version, 0)
        starter.learn(2, 0.2)
        self.assertEqual(starter.heads.version, 2)

    def test_answer_with_a_higher_head_does_not_agree(self):
        entries = _running("abc")
        for entry in entries.values():
            entry.fresh.platform_failed(4.0)
        entries["b"].learn(2, 4.0)
        entries["a"].ask(entries["b"], 4.0)
        self.assertEqual(entries["a"].state(4.1), State.CUT_OFF)


if __name__ == "__main__":
    unittest.main()
