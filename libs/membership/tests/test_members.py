"""Guards against a count of entries that is too small for a majority."""

import unittest

from dandelionlead.membership import members
from dandelionlead.platform import api


class VotersTest(unittest.TestCase):
    def test_last_state_and_later_list_decide(self):
        live, leaving, dead = members.LIVE, members.LEAVING, members.DEAD
        cases = [
            # States that arrive, list read afterwards, whether it counts.
            ([live], None, True),
            ([live], [], True),
            ([live, dead], None, True),
            ([live, dead], [], False),
            ([live, dead], ["live"], True),
            ([live, leaving], None, False),
            ([live, leaving, dead], None, False),
            ([live, leaving, dead], [], False),
            ([live, leaving, dead], ["leaving"], False),
            # The name was started again, and gossip has not told of it.
            ([live, leaving, dead], ["live"], True),
        ]
        for states, listed, counts in cases:
            with self.subTest(states=states, listed=listed):
                table = members.MemberTable(_state("a", live), 0.0)
                for now, state in enumerate(states):
                    table.merge([_state("b", state)], float(now))
                if listed is not None:
                    items = [
                        api.Listed("b", "h", "c", "zone", state)
                        for state in listed
                    ]
                    table.observe_listed(items, 10.0)
                self.assertEqual("b" in table.voters(), counts)


def _state(name, state):
    return members.MemberState(name, "zone", "h", "c", 1, state, "entry")


if __name__ == "__main__":
    unittest.main()
