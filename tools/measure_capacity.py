"""Measures what each role costs, as slopes over three sizes or more.

Each subcommand prints its tables; docs/CAPACITY.md names the subcommand of
each of its figures. All load stays on the loopback interface.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from typing import Any

from capacity import configuration
from capacity import memory
from capacity import node
from capacity import orders
from capacity import peers
from capacity import rollout
from capacity import streams


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    def add(
        name: str, text: str, run: Callable[..., None], **options: Any
    ) -> None:
        command = commands.add_parser(name, help=text)
        for option, default in options.items():
            _add_option(command, option, default)
        command.set_defaults(run=run, options=list(options))

    add(
        "streams",
        "open streams on one entry",
        streams.measure_streams,
        sizes=[50, 150, 300, 470],
        seconds=10.0,
        engines=8,
        direct=False,
    )
    add(
        "requests",
        "short requests to one entry",
        streams.measure_requests,
        rates=[10, 20, 38],
        seconds=8.0,
        engines=4,
    )
    add(
        "exchange",
        "gossip, and the upkeep of members",
        peers.measure_exchange,
        sizes=[10, 100, 400],
        runs=3,
    )
    add(
        "report",
        "report and acquire, and the owner's side",
        peers.measure_report,
        sizes=[1, 10, 144],
        generations=[0, 3, 10],
        runs=3,
    )
    add(
        "relay",
        "relay and checks of events, without sockets",
        peers.measure_relay,
        sizes=[1, 4, 16],
        runs=3,
    )
    add(
        "load-read",
        "the owner's reads of an engine's load",
        peers.measure_load_read,
        sizes=[0, 50, 200],
        runs=3,
    )
    add(
        "configuration",
        "parts, head row, changes, rules in force",
        configuration.measure,
        teams=[10, 1000, 10_000],
        endpoints=[13, 360, 3600],
        runs=3,
    )
    add(
        "rules-memory",
        "memory of the parts in a folder, for `configuration`",
        configuration.show_memory,
        folder="",
    )
    add(
        "candidates",
        "the listing of a model's engines",
        configuration.routing_cost,
        sizes=[13, 360, 3600],
        runs=3,
    )

    add(
        "node",
        "one entry at the size of the whole system",
        node.measure,
        members=[10, 100, 400],
        teams=[10, 1000, 10_000],
        endpoints=[13, 360, 3600],
        seconds=10.0,
    )
    add(
        "others",
        "stand-ins for members, for `node`",
        node.serve_others,
        plan="",
    )
    add(
        "rollout",
        "counters of versions and their judges",
        rollout.measure,
        sizes=[10, 100, 400],
        models=[1, 14],
        runs=3,
    )
    add(
        "orders",
        "orders through the group committer",
        orders.measure,
        sizes=[1, 10, 50],
        runs=3,
    )
    add(
        "orders-once",
        "one run, for `orders`",
        orders.run_once,
        platform="",
        size=1,
    )
    add(
        "memory",
        "an idle entry and state that grows",
        memory.measure,
        sizes=[1000, 4000, 8000],
        runs=3,
    )
    add("grown", "one state, for `memory`", memory.grow, kind="", size=0)

    args = parser.parse_args()
    args.run(**{name: getattr(args, name) for name in args.options})
    return 0


def _add_option(
    command: argparse.ArgumentParser, name: str, default: Any
) -> None:
    flag = f"--{name.replace('_', '-')}"
    if default is False:
        command.add_argument(flag, action="store_true")
    elif isinstance(default, list):
        command.add_argument(flag, type=_sizes, default=default)
    else:
        command.add_argument(flag, type=type(default), default=default)


def _sizes(text: str) -> list[int]:
    return [int(item) for item in text.split(",")]


if __name__ == "__main__":
    sys.exit(main())
