"""Cost of orders: table writes and processor time by orders at one time."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import urllib3

from capacity import common
from dandelionlead.core import errors
from dandelionlead.orders import group_commit
from dandelionlead.orders import runner
from dandelionlead.orders import steps
from dandelionlead.platform import http
from dandelionlead.standins import deployment

_ORDERS = 1500
_BODY = b'{"buyer": "b1", "buckets": 3}'


def measure(sizes: list[int], runs: int) -> None:
    """Runs orders through the runner, the committer and a platform stand-in.

    Each run is a process of its own with green threads, like an entry.
    """
    rows = []
    with deployment.Deployment({"endpoints": {}}) as deploy:
        deploy.start_platform()
        for size in sizes:
            results = [_run(deploy.platform, size) for _ in range(runs)]
            rows.append(_row(size, results))
    common.show(
        f"{_ORDERS} orders through one process, so many at one time",
        (
            "at a time",
            "orders/s",
            "transactions/order",
            "rows written/order",
            "reads/order",
            "ms an order, waiting",
            "ms of processor an order",
        ),
        rows,
    )


def run_once(platform: str, size: int) -> None:
    """Prints the result of one run, for `measure`."""
    import eventlet

    eventlet.monkey_patch()
    table = http.HttpTable(http.Transport(platform))
    orders = runner.OrderRunner(
        group_commit.GroupCommitter(table), table, _send, entry="entry-1"
    )
    pool = eventlet.GreenPool(size)
    run_id = time.time_ns()
    spent = []

    def one(number: int) -> None:
        started = time.monotonic()
        order = steps.Order(
            "team",
            "order",
            f"{run_id}-{number}",
            _BODY,
            deadline_s=runner.core_clock.boottime() + 30,
        )
        reply = orders.run(order)
        if isinstance(reply, errors.Failure):
            raise RuntimeError(reply.reason)
        spent.append(time.monotonic() - started)

    one(-1)
    spent.clear()
    before = _counts(platform)
    processor, at = time.process_time(), time.monotonic()
    for number in range(_ORDERS):
        pool.spawn_n(one, number)
    pool.waitall()
    processor = time.process_time() - processor
    wall = time.monotonic() - at
    after = _counts(platform)
    print(
        json.dumps(
            {
                "rate": len(spent) / wall,
                "transactions": (after["writes"] - before["writes"]) / _ORDERS,
                "rows": (after["rows_written"] - before["rows_written"])
                / _ORDERS,
                "reads": (after["reads"] - before["reads"]) / _ORDERS,
                "waiting": common.quantile(spent, 0.5) * 1e3,
                "processor": processor / _ORDERS * 1e3,
            }
        )
    )


def _run(platform: str, size: int) -> dict[str, float]:
    done = subprocess.run(
        [
            sys.executable,
            "-Wignore",
            sys.argv[0],
            "orders-once",
            f"--platform={platform}",
            f"--size={size}",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


def _row(size: int, results: list[dict[str, float]]) -> tuple:
    names = ("rate", "transactions", "rows", "reads", "waiting", "processor")
    return (
        size,
        *[
            common.median_range([item[name] for item in results])
            for name in names
        ],
    )


def _send(order: steps.Order, attempt: str) -> steps.Sent:
    del order, attempt
    return steps.Answered(200, [("Content-Type", "text/plain")], b"confirmed")


def _counts(platform: str) -> dict[str, int]:
    reply = urllib3.request("GET", f"http://{platform}/counts")
    return json.loads(reply.data)
