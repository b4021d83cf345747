"""Costs of rollouts in each daemon: counters of versions and their judges."""

from __future__ import annotations

from thrift.transport import TTransport

from capacity import common
from dandelionlead.core import events
from dandelionlead.daemon import rollouts
from dandelionlead.rollout import evidence
from dandelionlead.wire import framing
from dandelionlead.wire.gen import ttypes

_ROUTES = ("short", "long")
_MESSAGE = ttypes.Gossip(sender="entry-0001")


def measure(sizes: list[int], models: list[int], runs: int) -> None:
    """Measures looks and messages by members and models in a rollout."""
    rows = []
    for moving in models:
        for size in sizes:
            rows.append(_row(size, moving, runs))
    common.show(
        "rollouts in one process: two versions on two routes of each model",
        (
            "models moving",
            "members",
            "counter sets",
            "private KB",
            "us a look (each second)",
            "us a message",
            "message B",
        ),
        rows,
    )


def _row(size: int, moving: int, runs: int) -> tuple:
    before = common.memory_kb()["Private"]
    found = rollouts.Rollouts("entry-9999", 1, events.Log("entry-9999"))
    operators = common.operators(teams=1, endpoints=1)
    for item in list(operators.models.values())[:moving]:
        item.next = "v2"
        item.deadline = "2027-01-01T00:00:00Z"
    found.configure(operators)
    names = list(operators.models)[:moving]
    found.evidence.merge(
        (evidence.Source(name, version, route, f"entry-{n:04}", 1), _sample(n))
        for n in range(size)
        for name in names
        for version in ("v1", "v2")
        for route in _ROUTES
    )
    memory = common.memory_kb()["Private"] - before
    look = common.processor_us(found.look, at_least_s=0.1, runs=runs)
    fill = common.processor_us(
        lambda: found.fill(_MESSAGE), at_least_s=0.1, runs=runs
    )
    buffer = TTransport.TMemoryBuffer()
    _MESSAGE.write(framing.protocol(buffer))
    return (
        moving,
        size,
        size * moving * 4,
        memory,
        common.median_range(look),
        common.median_range(fill),
        len(buffer.getvalue()),
    )


def _sample(number: int) -> evidence.Sample:
    sample = evidence.Sample()
    for index in range(50):
        late_s = 0.2 + 0.01 * ((index * 7 + number) % 40)
        gap_s = 0.05 + 0.001 * ((index * 3 + number) % 20)
        sample.record(failed=False, first_token_s=late_s, token_gap_s=gap_s)
    return sample
