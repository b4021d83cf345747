"""Runs one blocking call for each of many names, within a time limit."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")

# At 400 entries and 5 ms a call, 32 threads need about 65 ms.
_THREADS = 32


def run(
    names: Sequence[str], call: Callable[[str], T], limit_s: float
) -> dict[str, T]:
    """Returns the results by name of the calls that ended in time.

    Calls that are still running are abandoned: their threads do not keep the
    program from exiting.
    """
    todo: queue.SimpleQueue[str] = queue.SimpleQueue()
    done: queue.SimpleQueue[tuple[str, T]] = queue.SimpleQueue()
    distinct = set(names)
    for name in distinct:
        todo.put(name)
    for _ in range(min(_THREADS, len(distinct))):
        threading.Thread(
            target=_work, args=(todo, done, call), daemon=True
        ).start()
    return _gather(done, len(distinct), limit_s)


def _work(
    todo: queue.SimpleQueue[str],
    done: queue.SimpleQueue[tuple[str, T]],
    call: Callable[[str], T],
) -> None:
    while True:
        try:
            name = todo.get_nowait()
        except queue.Empty:
            return
        done.put((name, call(name)))


def _gather(
    done: queue.SimpleQueue[tuple[str, T]], count: int, limit_s: float
) -> dict[str, T]:
    ends_at = time.monotonic() + limit_s
    results: dict[str, T] = {}
    while len(results) < count:
        left_s = ends_at - time.monotonic()
        try:
            name, result = done.get(timeout=max(0.0, left_s))
        except queue.Empty:
            break
        results[name] = result
    return results
