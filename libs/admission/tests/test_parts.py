"""Guards against parts whose sum exceeds one."""

import random
import unittest

from dandelionlead.admission import parts


def settled(name, peers, now=100.0):
    """Returns a member that all peers have counted for a while, at `now`."""
    part = parts.MemberPart(name, 0.0)
    counts = dict.fromkeys([*peers, name], 1)
    part.listed(counts, now - 1)
    for at in (now - 4, now):
        for peer in peers:
            part.heard(peer, counts, True, at)
    part.fresh(now, common_outage=False)
    return part


class MemberPartTest(unittest.TestCase):
    def test_sum_is_at_most_one_in_views_that_contain_all_carriers(self):
        rng = random.Random(1)
        names = [f"entry-{index}" for index in range(40)]
        for size in (2, 15, 16, 17, 30):
            carriers = names[:size]
            members = []
            for name in carriers:
                more = rng.sample(names[size:], rng.randint(0, 10))
                peers = [peer for peer in carriers + more if peer != name]
                members.append(settled(name, peers))
            for endpoint in ("x", "y", "z"):
                total = sum(one.part(endpoint, 100.0) for one in members)
                with self.subTest(size=size, endpoint=endpoint):
                    self.assertLessEqual(total, 1 + 1e-9)
                    self.assertGreater(total, 0.3)

    def test_a_joiner_waits_until_all_have_counted_it_for_a_while(self):
        part = parts.MemberPart("new", 0.0)
        counts = {"a": 1, "b": 1}
        part.listed(["a", "b", "new"], 19.0)
        steps = [(20.0, "a")] + [(21.0 + step, "ab") for step in range(5)]
        for at, counting in steps:
            part.fresh(at, common_outage=False)
            for peer in "ab":
                part.heard(peer, counts, peer in counting, at)
            self.assertEqual(part.part("x", at) > 0, at == 25.0)

    def test_words_that_waited_through_a_pause_do_not_count(self):
        part = settled("a", ["b"])
        counts = {"a": 1, "b": 1}
        # Sent before the pause, read after it; b has stopped to count a.
        part.heard("b", counts, True, 140.0)
        for step in range(8):
            at = 140.0 + step
            part.fresh(at, common_outage=True)
            part.heard("b", {"b": 1}, False, at)
            self.assertEqual(part.part("x", at), 0.0, at)

    def test_the_word_of_a_predecessor_does_not_count(self):
        part = settled("a", ["b", "c"])
        part.heard("b", {"b": 2, "c": 1}, False, 100.0)
        self.assertEqual(part.part("x", 100.0), 0.0)

    def test_a_member_that_is_not_fresh_or_not_listed_carries_nothing(self):
        part = settled("a", ["b"])
        self.assertEqual(part.part("x", 100.0), 0.5)
        self.assertEqual(part.part("x", 103.5), 0.0)
        part = settled("a", ["b"])
        part.listed(["b"], 100.0)
        self.assertEqual(part.part("x", 100.0), 0.0)

    def test_a_silent_member_is_counted_until_the_list_drops_it(self):
        part = settled("a", ["b"])
        for tick in range(100, 200):
            shown = ["a", "b"] if tick < 150 else ["a"]
            part.listed(shown, float(tick))
            part.fresh(float(tick), common_outage=False)
            gone = tick > 149 + parts.UNLISTED_S
            expected = 1.0 if gone else 0.5
            self.assertEqual(part.part("x", float(tick)), expected, tick)

    def test_nobody_is_dropped_while_the_list_cannot_be_read(self):
        part = settled("a", ["b"])
        for tick in range(100, 300):
            part.fresh(float(tick), common_outage=True)
            self.assertEqual(part.part("x", float(tick)), 0.5)

    def test_a_member_that_was_frozen_joins_again(self):
        # Guards against a part that survives while others forget the member.
        part = settled("a", ["b", "c"])
        self.assertGreater(part.part("x", 100.0), 0)
        for tick in range(140, 160):
            part.fresh(float(tick), common_outage=True)
            self.assertEqual(part.part("x", float(tick)), 0.0)

    def test_carriers_read_the_list_again_before_a_joiner_settles(self):
        part = parts.MemberPart("new", 0.0)
        part.listed(["new", "a"], 8.0)
        for tick in range(8, 80):
            now = float(tick)
            part.fresh(now, common_outage=tick < 40)
            if tick >= 40:
                part.listed(["new", "a"], now)
            carries = part.part("x", now) > 0
            self.assertEqual(carries, tick > 39 + parts.SETTLE_S, tick)

    def test_hearsay_does_not_bring_back_a_member_that_left(self):
        part = settled("a", ["b", "c"])
        part.left("c")
        part.heard("b", {"b": 1, "c": 1}, True, 100.0)
        self.assertEqual(set(part.counted(100.0)), {"b"})
        part.heard("b", {"b": 1, "c": 2}, True, 100.0)
        self.assertEqual(set(part.counted(100.0)), {"b", "c"})


if __name__ == "__main__":
    unittest.main()
