"""Guards against groups that differ from a ranking of all members."""

import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.admission import groups
from dandelionlead.core import hashing

_STEPS = strategies.lists(
    strategies.tuples(strategies.booleans(), strategies.integers(0, 12)),
    max_size=40,
)


class GroupsTest(unittest.TestCase):
    @hypothesis.given(_STEPS, strategies.integers(1, 6))
    def test_same_as_ranking_all_members(self, steps, size):
        kept = groups.Groups(size)
        members = set()
        for adds, number in steps:
            name = f"entry-{number}"
            if adds:
                kept.add(name)
                members.add(name)
            else:
                kept.remove(name)
                members.discard(name)
            for endpoint in ("engine-1", "engine-2", f"engine-{number}"):
                expected = hashing.rank(endpoint, members)[:size]
                self.assertEqual(kept.get(endpoint), expected)


if __name__ == "__main__":
    unittest.main()
