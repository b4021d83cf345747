"""Checks a configuration before it is sent, and compares it to another one.

The configuration has been decoded, so that each field is valid by itself. What
is found here concerns several fields: entries that can never match, and limits
that contradict each other.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from dandelionlead.routing import model

_SLASH = "/"


class Level(enum.Enum):
    """Weight of a finding.

    Attributes:
        ERROR: Calls fail because of it.
        DEAD: The entry has no effect.
        CONFLICT: Two limits contradict each other; one has no effect.
        CHANGE: A difference from the configuration in force.
    """

    ERROR = "error"
    DEAD = "never matches"
    CONFLICT = "contradiction"
    CHANGE = "change"


class Finding:
    """One thing that was found.

    Attributes:
        level: Its weight.
        place: The entry that it concerns.
        text: What was found, and what follows.
    """

    __slots__ = ("level", "place", "text")

    def __init__(self, level: Level, place: str, text: str) -> None:
        self.level = level
        self.place = place
        self.text = text


def check(
    configuration: model.Configuration, team_keys: Iterable[tuple[str, str]]
) -> list[Finding]:
    """Returns what is wrong with a configuration.

    Args:
        configuration: The configuration.
        team_keys: Name of the team and API key of each entry, in order.
    """
    findings: list[Finding] = []
    for route in configuration.routes:
        findings += _check_route(route, configuration)
    findings += _find_shadowed_routes(configuration.routes)
    findings += _find_unused_services(configuration)
    findings += _find_shared_keys(team_keys)
    findings += _check_limits(configuration)
    return findings


def compare(
    old: model.Configuration, new: model.Configuration
) -> list[Finding]:
    """Returns how a configuration differs from the one in force."""
    findings = []
    if new.version <= old.version:
        findings.append(
            Finding(
                Level.ERROR,
                "version",
                f"{new.version} is not newer than {old.version}, which is in"
                " force, and would have no effect",
            )
        )
    findings += _compare_entries(
        "route",
        {_format_route(route): route for route in old.routes},
        {_format_route(route): route for route in new.routes},
    )
    findings += _compare_entries("service", old.services, new.services)
    findings += _compare_entries("limits", {"": old.limits}, {"": new.limits})
    findings += _compare_teams(old, new)
    return findings


def _check_route(
    route: model.Route, configuration: model.Configuration
) -> list[Finding]:
    place = f"route {_format_route(route)}"
    findings = [
        Finding(Level.ERROR, place, f"there is no service {target.service}")
        for target in route.targets
        if target.service not in configuration.services
    ]
    prefix = route.path_prefix
    if not (prefix.startswith(_SLASH) and prefix.endswith(_SLASH)):
        findings.append(
            Finding(
                Level.ERROR, place, "a prefix must begin and end with a slash"
            )
        )
    if not any(target.weight > 0 for target in route.targets):
        findings.append(Finding(Level.ERROR, place, "all weights are 0"))
    elif any(target.weight <= 0 for target in route.targets):
        findings.append(
            Finding(Level.DEAD, place, "a target of weight 0 gets no calls")
        )
    if route.timeout_s < route.latency_objective_s:
        findings.append(
            Finding(
                Level.CONFLICT,
                place,
                "the timeout is shorter than the latency objective",
            )
        )
    if route.max_attempts > 1 and not route.is_repeatable:
        findings.append(
            Finding(
                Level.CONFLICT,
                place,
                "further attempts are allowed, but calls may run only once",
            )
        )
    if route.resumable and route.kind is not model.CallKind.STREAMING:
        findings.append(
            Finding(Level.CONFLICT, place, "only streams can be resumed")
        )
    return findings


def _find_shadowed_routes(routes: Iterable[model.Route]) -> list[Finding]:
    """Finds routes whose host and prefix another route has before them."""
    first: dict[tuple[str, str], model.Route] = {}
    findings = []
    for route in routes:
        key = (route.host, route.path_prefix)
        if key in first:
            findings.append(
                Finding(
                    Level.DEAD,
                    f"route {_format_route(route)}",
                    f"route {first[key].name or 'before it'} has the same host"
                    " and prefix",
                )
            )
        first.setdefault(key, route)
    return findings


def _find_unused_services(
    configuration: model.Configuration,
) -> list[Finding]:
    used = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    return [
        Finding(Level.DEAD, f"service {name}", "no route leads to it")
        for name in configuration.services
        if name not in used
    ]


def _find_shared_keys(team_keys: Iterable[tuple[str, str]]) -> list[Finding]:
    """Finds API keys that several teams hold; the last team gets the calls."""
    holders: dict[str, str] = {}
    findings = []
    for team, key in team_keys:
        if holders.get(key, team) != team:
            findings.append(
                Finding(
                    Level.DEAD,
                    f"team {holders[key]}",
                    f"team {team} holds one of its API keys as well",
                )
            )
        holders[key] = team
    return findings


def _check_limits(configuration: model.Configuration) -> list[Finding]:
    limits = configuration.limits
    findings = []
    if limits.header_timeout_s <= 0 or limits.idle_timeout_s <= 0:
        findings.append(
            Finding(Level.ERROR, "limits", "a timeout of 0 ends all requests")
        )
    if limits.header_timeout_s > limits.idle_timeout_s:
        findings.append(
            Finding(
                Level.CONFLICT,
                "limits",
                "a request may take longer to arrive than to be idle",
            )
        )
    if limits.max_body_bytes == 0:
        findings.append(
            Finding(Level.ERROR, "limits", "no request may have a body")
        )
    return findings


def _compare_entries(
    kind: str, old: dict[str, object], new: dict[str, object]
) -> list[Finding]:
    """Compares entries by name, and the fields of those in both."""
    findings = []
    for name in sorted(old.keys() | new.keys()):
        place = f"{kind} {name}".strip()
        if name not in new:
            findings.append(Finding(Level.CHANGE, place, "is removed"))
        elif name not in old:
            findings.append(Finding(Level.CHANGE, place, "is added"))
        else:
            findings += [
                Finding(Level.CHANGE, place, text)
                for text in _compare_fields(old[name], new[name])
            ]
    return findings


def _compare_fields(old: object, new: object) -> list[str]:
    """Returns a text for each field of an entry that differs."""
    texts = []
    for field in type(new).__slots__:
        before, after = (
            _format_value(getattr(item, field)) for item in (old, new)
        )
        if before != after:
            texts.append(f"{field}: {before} -> {after}")
    return texts


def _compare_teams(
    old: model.Configuration, new: model.Configuration
) -> list[Finding]:
    """Compares the number of API keys of each team; keys are not shown."""
    counts = [_count_keys(item) for item in (old, new)]
    return [
        Finding(
            Level.CHANGE,
            f"team {name}",
            f"API keys: {counts[0].get(name, 0)} -> {counts[1].get(name, 0)}",
        )
        for name in sorted(counts[0].keys() | counts[1].keys())
        if counts[0].get(name, 0) != counts[1].get(name, 0)
    ] + _find_replaced_keys(old, new, counts)


def _find_replaced_keys(
    old: model.Configuration,
    new: model.Configuration,
    counts: list[dict[str, int]],
) -> list[Finding]:
    """Finds teams with as many API keys as before, but others."""
    replaced = {
        team.name
        for key, team in (old.teams or {}).items()
        if key not in (new.teams or {})
    }
    return [
        Finding(Level.CHANGE, f"team {name}", "API keys are replaced")
        for name in sorted(replaced)
        if counts[0].get(name) == counts[1].get(name)
    ]


def _count_keys(configuration: model.Configuration) -> dict[str, int]:
    counts: dict[str, int] = {}
    for team in (configuration.teams or {}).values():
        counts[team.name] = counts.get(team.name, 0) + 1
    return counts


def _format_route(route: model.Route) -> str:
    return f"{route.name} ({route.host}{route.path_prefix})".strip()


def _format_value(value: object) -> str:
    """Returns a field's value as text, with the fields of nested entries."""
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return ", ".join(_format_value(item) for item in value)
    slots = getattr(type(value), "__slots__", None)
    if slots:
        return " ".join(
            f"{name}={_format_value(getattr(value, name))}" for name in slots
        )
    return str(value)
