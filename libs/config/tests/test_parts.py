"""Guards against parts that lose content or change more than they must."""

import json
import unittest

import hypothesis
from hypothesis import strategies as st

from dandelionlead.config import model
from dandelionlead.config import parts
from dandelionlead.core import errors

_NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)


def _table(build):
    return st.lists(_NAMES, unique=True, max_size=12).map(
        lambda names: {name: build(name) for name in names}
    )


_OPERATORS = st.builds(
    model.Operators,
    availability_zones=_table(lambda n: model.AvailabilityZone(n, "amman")),
    teams=_table(lambda n: model.Team(n, 0.1 + len(n), ("a" * 64,), 7)),
    models=_table(
        lambda n: model.Model(
            n, {"v1": model.Version("v1", n)}, "v1", prior_output_tokens=9
        )
    ),
    routes=_table(lambda n: model.Route(n, "service", "/v1", service=n)),
    services=_table(lambda n: model.Service(n, f"/v1/services/{n}")),
    endpoints=_table(
        lambda n: model.Endpoint(n, "engine", "127.0.0.1:1", "z", model=n)
    ),
    admission=st.builds(model.Admission, deviations=st.floats(0, 10)),
)


def _full_size():
    zones = {f"z{i}": model.AvailabilityZone(f"z{i}", "r") for i in range(11)}
    teams = {
        f"team-{i:05}": model.Team(f"team-{i:05}", 1.0, (f"{i:064x}",), 100)
        for i in range(10_000)
    }
    endpoints = {
        f"e-{i:04}": model.Endpoint(
            f"e-{i:04}", "engine", f"10.0.{i // 250}.{i % 250}:80", "z1"
        )
        for i in range(3_600)
    }
    return model.Operators(
        zones, teams, {}, {}, {}, endpoints, model.Admission()
    )


class PartsTest(unittest.TestCase):
    @hypothesis.given(_OPERATORS)
    def test_split_and_join_are_inverse(self, operators):
        split = parts.split(operators)
        self.assertEqual(parts.join(split), operators)
        self.assertEqual(parts.split(parts.join(split)), split)

    def test_order_of_entries_does_not_change_parts(self):
        operators = _full_size()
        split = parts.split(operators)
        operators.teams = dict(reversed(operators.teams.items()))
        self.assertEqual(parts.split(operators), split)

    def test_one_change_moves_one_small_part(self):
        changes = {
            "zone closed": lambda o: setattr(
                o.availability_zones["z3"], "state", model.CLOSED
            ),
            "endpoint leaves": lambda o: setattr(
                o.endpoints["e-0007"], "state", model.LEAVING
            ),
            "team weight": lambda o: setattr(
                o.teams["team-00007"], "weight", 2
            ),
        }
        before = parts.split(_full_size())
        for name, change in changes.items():
            with self.subTest(change=name):
                operators = _full_size()
                change(operators)
                after = parts.split(operators)
                moved = [key for key in after if after[key] != before.get(key)]
                self.assertEqual(len(moved), 1)
                self.assertLess(len(after[moved[0]]), 32_000)

    def test_parts_of_another_release_are_read(self):
        split = parts.split(_full_size())
        zones = json.loads(split["availability_zones"])
        zones["z1"]["colour"] = "new key"
        del zones["z2"]["state"]
        split["availability_zones"] = json.dumps(zones).encode()
        split["a_new_section"] = b"{}"
        joined = parts.join(split)
        self.assertEqual(joined.availability_zones["z2"].state, model.OPEN)

    def test_bad_parts_are_refused(self):
        cases = [
            ("models", None),
            ("models", b"\xff"),
            ("models", b"[]"),
            ("models", b'{"m": 5}'),
            ("models", b'{"m": {}}'),
            ("teams/00", b'{"t": null}'),
            ("services", b'{"s": {}}'),
            ("admission", b"7"),
        ]
        for name, data in cases:
            with self.subTest(name=name, data=data):
                split = parts.split(_full_size())
                split[name] = data
                if data is None:
                    del split[name]
                refused = isinstance(parts.join(split), errors.Failure)
                self.assertTrue(refused)


if __name__ == "__main__":
    unittest.main()
