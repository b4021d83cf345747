"""Costs of the configuration: parts, head, changes, rules in force."""

from __future__ import annotations

import gc
import json
import pathlib
import subprocess
import sys
import tempfile
import urllib.parse

from capacity import common
from dandelionlead.config import head as config_head
from dandelionlead.config import model
from dandelionlead.config import parts
from dandelionlead.daemon import rules
from dandelionlead.membership import spread


def measure(teams: list[int], endpoints: list[int], runs: int) -> None:
    """Measures all sizes of a configuration."""
    pairs = list(zip(teams, endpoints, strict=True))
    pairs += [(teams[-1], endpoints[0]), (teams[0], endpoints[-1])]
    rows = [_time_row(count, ends, runs) for count, ends in pairs]
    common.show(
        "time to split, join and put in force (milliseconds of processor)",
        (
            "teams",
            "endpoints",
            "parts",
            "parts KB",
            "split",
            "join",
            "in force",
        ),
        rows,
    )
    rows = [_change_row(count, ends) for count, ends in pairs]
    common.show(
        "head row and parts that a change moves (bytes)",
        (
            "teams",
            "endpoints",
            "head row",
            "head message",
            "one team",
            "one endpoint",
            "one zone",
        ),
        rows,
    )
    rows = [
        (count, ends, *[_memory(count, ends) for _ in range(runs)])
        for count, ends in pairs
    ]
    common.show(
        "private memory of one set of rules in force, with its parts (KB)",
        ("teams", "endpoints", *[f"run {n + 1}" for n in range(runs)]),
        rows,
    )


def show_memory(folder: str) -> None:
    """Prints the memory that parts from a folder take once they are in force.

    The process must be fresh: memory that an earlier step gave back to the
    allocator would be used again and not be seen.
    """
    keeper = rules.RulesKeeper()
    names = sorted(path.name for path in pathlib.Path(folder).iterdir())
    gc.collect()
    before = common.memory_kb()["Private"]
    content = {
        urllib.parse.unquote(name, "ascii"): pathlib.Path(
            folder, name
        ).read_bytes()
        for name in names
    }
    _put_in_force(keeper, content)
    del content
    gc.collect()
    after = common.memory_kb()["Private"]
    print(after - before, keeper.current.version)


def routing_cost(sizes: list[int], runs: int) -> None:
    """Measures the listing of a model's engines, done for each placement."""
    rows = []
    for size in sizes:
        current = rules.Rules(1, common.operators(teams=10, endpoints=size))
        used = common.processor_us(
            lambda current=current: current.engines("model-03"), runs=runs
        )
        rows.append((size, common.median_range(used)))
    common.show(
        "engines of one model, for one look at one request",
        ("endpoints", "us"),
        rows,
    )


def _time_row(teams: int, endpoints: int, runs: int) -> tuple:
    operators = common.operators(teams=teams, endpoints=endpoints)
    content = parts.split(operators)
    split = common.processor_us(lambda: parts.split(operators), runs=runs)
    join = common.processor_us(lambda: parts.join(content), runs=runs)
    force = common.processor_us(lambda: _in_force(content), runs=runs)
    size = sum(len(data) for data in content.values())
    return (
        teams,
        endpoints,
        len(content),
        size / 1e3,
        *[
            common.median_range([t / 1e3 for t in us])
            for us in (split, join, force)
        ],
    )


def _change_row(teams: int, endpoints: int) -> tuple:
    operators = common.operators(teams=teams, endpoints=endpoints)
    before = parts.split(operators)
    digests = parts.digests(before)
    history = tuple(f"{number:016x}" for number in range(16))
    head = config_head.Head(4711, "0123456789abcdef", digests, history)
    row = len(json.dumps(head.to_plain()).encode())
    message = len(json.dumps(digests, separators=(",", ":")))
    operators.teams[f"team-{teams // 2:05}"].weight = 3.0
    team = _moved(before, parts.split(operators))
    operators.endpoints[f"engine-{endpoints // 2:04}"].state = model.LEAVING
    after = parts.split(operators)
    endpoint = _moved(before, after) - team
    operators.availability_zones["zone-03"].state = model.CLOSED
    zone = _moved(after, parts.split(operators))
    return teams, endpoints, row, message, team, endpoint, zone


def _moved(before: dict[str, bytes], after: dict[str, bytes]) -> int:
    return sum(
        len(data) for name, data in after.items() if before.get(name) != data
    )


def _memory(teams: int, endpoints: int) -> int:
    content = parts.split(common.operators(teams=teams, endpoints=endpoints))
    with tempfile.TemporaryDirectory() as folder:
        for name, data in content.items():
            file = urllib.parse.quote(name, safe="")
            pathlib.Path(folder, file).write_bytes(data)
        done = subprocess.run(
            [sys.executable, sys.argv[0], "rules-memory", f"--folder={folder}"],
            capture_output=True,
            text=True,
            check=True,
        )
    return int(done.stdout.split()[0])


def _in_force(content: dict[str, bytes]) -> rules.RulesKeeper:
    keeper = rules.RulesKeeper()
    _put_in_force(keeper, content)
    return keeper


def _put_in_force(keeper: rules.RulesKeeper, content: dict[str, bytes]) -> None:
    keeper.learn(spread.Head(1, "apply", parts.digests(content)), 0.0)
    keeper.add_parts({parts.digest(data): data for data in content.values()})
    keeper.advance()
