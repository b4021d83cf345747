"""Command `status`: availability zones and rollouts, with reasons."""

from __future__ import annotations

from typing import Any

from dandelionlead.config import model
from dandelionlead.core import errors
from dandelionlead.ctl import answers
from dandelionlead.ctl import exits
from dandelionlead.ctl import platforms
from dandelionlead.platform import api

ROLLOUT_TABLE = "rollout"

_NOT_STARTED = "not_started"
_SETTLED = "settled"


def run(platform: api.Platform) -> answers.Answer:
    """Returns the state of zones and rollouts as the platform has it."""
    accepted = platforms.read_head(platform)
    if isinstance(accepted, errors.Failure):
        return answers.of_failure("The head cannot be read", accepted)
    if not accepted.version:
        return answers.Answer(
            exits.NOT_FOUND,
            {"result": "none", "version": 0},
            ["No configuration has been applied yet."],
        )
    content = platforms.read_content(platform, accepted)
    if isinstance(content, errors.Failure):
        return answers.of_failure("The parts cannot be read", content)
    keys = [api.Key(ROLLOUT_TABLE, name) for name in content.models]
    rows = platform.table.read(keys)
    if isinstance(rows, errors.Failure):
        return answers.of_failure("The rollouts cannot be read", rows)
    rollouts = {
        item.name: _rollout(item, row)
        for item, row in zip(content.models.values(), rows, strict=True)
    }
    zones = {
        name: _zone(content, name, item.state)
        for name, item in content.availability_zones.items()
    }
    plain = {
        "result": "shown",
        "version": accepted.version,
        "availability_zones": zones,
        "rollouts": rollouts,
    }
    return answers.Answer(exits.DONE, plain, _lines(plain))


def _zone(content: model.Operators, name: str, state: str) -> dict[str, Any]:
    inside = [
        item
        for item in content.endpoints.values()
        if item.availability_zone == name
    ]
    leaving = [item for item in inside if item.state == model.LEAVING]
    return {"state": state, "endpoints": len(inside), "leaving": len(leaving)}


def _rollout(item: model.Model, row: api.Row | None) -> dict[str, Any]:
    """Returns the row's fields with the configured versions in front."""
    plain: dict[str, Any] = {
        "current": item.current,
        "next": item.next,
        "deadline": item.deadline,
        "state": _NOT_STARTED if item.next else _SETTLED,
        "reason": "",
    }
    if row is not None:
        plain.update(row.value)
    return plain


def _lines(plain: dict[str, Any]) -> list[str]:
    lines = [f"Version {plain['version']}."]
    for name, zone in plain["availability_zones"].items():
        lines.append(
            f"Availability zone {name}: {zone['state']}, "
            f"{zone['endpoints']} endpoints, {zone['leaving']} leaving."
        )
    for name, item in plain["rollouts"].items():
        lines.append(_rollout_line(name, item))
    return lines


def _rollout_line(name: str, item: dict[str, Any]) -> str:
    moves = f"{item['current']} to {item['next']}"
    what = moves if item["next"] else f"{item['current']} only"
    line = f"Model {name}: {what}, {item['state']}"
    if "share" in item:
        line += f", share {item['share']}"
    if item["deadline"]:
        line += f", deadline {item['deadline']}"
    if item["reason"]:
        line += f", because {item['reason']}"
    return answers.sentence(line)
