"""Guards the check of a configuration against findings that it misses."""

from __future__ import annotations

import unittest

from dandelionlead.config import configuration_check
from dandelionlead.http import limits
from dandelionlead.routing import model

_LEVEL = configuration_check.Level


def _make_route(name: str = "r", **fields: object) -> model.Route:
    values = {
        "host": "a.example",
        "path_prefix": "/x/",
        "kind": model.CallKind.IDEMPOTENT,
        "targets": (model.Target("s", 1.0),),
        "timeout_s": 2.0,
        "latency_objective_s": 0.1,
    } | fields
    return model.Route(name, **values)


def _make_configuration(
    *routes: model.Route, version: int = 1, **fields: object
) -> model.Configuration:
    values = {
        "services": {"s": model.Service("s", 10, 0.0, None)},
        "limits": limits.RequestLimits(),
        "teams": None,
    } | fields
    return model.Configuration(
        version,
        routes or (_make_route(),),
        values["services"],
        values["limits"],
        values["teams"],
    )


class CheckTest(unittest.TestCase):
    """Guards against faulty configurations that pass."""

    CASES = (
        ("sound", _make_configuration(), None),
        (
            "service is missing",
            _make_configuration(_make_route(targets=(model.Target("t", 1),))),
            _LEVEL.ERROR,
        ),
        (
            "prefix without a slash",
            _make_configuration(_make_route(path_prefix="/x")),
            _LEVEL.ERROR,
        ),
        (
            "no weight",
            _make_configuration(_make_route(targets=(model.Target("s", 0),))),
            _LEVEL.ERROR,
        ),
        (
            "same host and prefix",
            _make_configuration(_make_route("a"), _make_route("b")),
            _LEVEL.DEAD,
        ),
        (
            "service without a route",
            _make_configuration(
                services={
                    name: model.Service(name, 10, 0.0, None)
                    for name in ("s", "t")
                }
            ),
            _LEVEL.DEAD,
        ),
        (
            "timeout below the objective",
            _make_configuration(_make_route(timeout_s=0.05)),
            _LEVEL.CONFLICT,
        ),
        (
            "repeated calls that may run once",
            _make_configuration(
                _make_route(kind=model.CallKind.NON_IDEMPOTENT, max_attempts=2)
            ),
            _LEVEL.CONFLICT,
        ),
        (
            "header timeout above the idle timeout",
            _make_configuration(
                limits=limits.RequestLimits(header_timeout_s=60.0)
            ),
            _LEVEL.CONFLICT,
        ),
    )

    def test_findings_have_the_expected_level(self) -> None:
        for name, configuration, level in self.CASES:
            with self.subTest(name):
                findings = configuration_check.check(configuration, ())
                levels = {finding.level for finding in findings}
                self.assertIn(level, levels or {None})

    def test_key_of_two_teams_is_found(self) -> None:
        keys = (("a", "k1"), ("b", "k2"), ("b", "k1"))
        findings = configuration_check.check(_make_configuration(), keys)
        self.assertEqual([item.place for item in findings], ["team a"])


class CompareTest(unittest.TestCase):
    """Guards against changes that are not shown, and keys that are."""

    def test_each_change_is_shown(self) -> None:
        teams = {"old-key": model.Team("a", None)}
        old = _make_configuration(
            _make_route("a"), _make_route("b", path_prefix="/b/"), teams=teams
        )
        new = _make_configuration(
            _make_route("a", timeout_s=5.0),
            _make_route("c", path_prefix="/c/"),
            version=2,
            teams={"new-key": model.Team("a", None)},
        )
        findings = configuration_check.compare(old, new)
        texts = [f"{item.place}: {item.text}" for item in findings]
        for expected in (
            "route a (a.example/x/): timeout_s: 2.0 -> 5.0",
            "route b (a.example/b/): is removed",
            "route c (a.example/c/): is added",
            "team a: API keys are replaced",
        ):
            self.assertIn(expected, texts)
        self.assertNotIn("key-", "".join(texts))
        self.assertFalse([i for i in findings if i.level is _LEVEL.ERROR])

    def test_version_that_is_not_newer_is_an_error(self) -> None:
        findings = configuration_check.compare(
            _make_configuration(version=3), _make_configuration(version=3)
        )
        self.assertEqual([item.level for item in findings], [_LEVEL.ERROR])


if __name__ == "__main__":
    unittest.main()
