"""Commits single conditional writes of many callers in one transaction.

The table service takes several hundred writes a second, an entry may have more
orders than that. Calls block; the module uses only `threading` and `queue`, so
that it works with ordinary threads and with eventlet's monkey-patched ones.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Sequence

from dandelionlead.core import errors
from dandelionlead.platform import api

GROUP_WAIT_S = 0.005
GROUP_LIMIT = 100
# Transactions in flight at once, so that one slow answer does not hold up
# the next group.
WORKERS = 4
# Writes that wait for a group; more would wait longer than callers do.
PENDING_LIMIT = 2000
# Longer than one transaction and one reading back, each of which the table
# client bounds itself.
ANSWER_WAIT_S = 10.0
# How often an idle worker looks whether the committer was closed.
_IDLE_S = 0.5

_WAITING, _TAKEN, _WITHDRAWN = range(3)


class GroupCommitter:
    """Collects writes for a short time and commits them together.

    Args:
        table: The table service.
        group_wait_s: How long the first write of a group waits for others.
        group_limit: Largest number of writes in one transaction.
        workers: Transactions in flight at once.
        pending_limit: Writes that may wait; further ones are `Unavailable`.
        answer_wait_s: Longest time that `commit` blocks.
    """

    def __init__(
        self,
        table: api.TableService,
        *,
        group_wait_s: float = GROUP_WAIT_S,
        group_limit: int = GROUP_LIMIT,
        workers: int = WORKERS,
        pending_limit: int = PENDING_LIMIT,
        answer_wait_s: float = ANSWER_WAIT_S,
    ) -> None:
        self._table = table
        self._group_wait_s = group_wait_s
        self._group_limit = group_limit
        self._answer_wait_s = answer_wait_s
        self._queue: queue.Queue[_Item] = queue.Queue(pending_limit)
        # Held while a group is collected: one worker at a time fills a group.
        self._collecting = threading.Lock()
        # Writes that were taken from the queue but whose key is already in
        # the group; they open the next group.
        self._deferred: list[_Item] = []
        self._closed = False
        self._workers = [
            threading.Thread(
                target=self._work, name=f"group-commit-{index}", daemon=True
            )
            for index in range(workers)
        ]
        for worker in self._workers:
            worker.start()

    def commit(self, write: api.Write) -> api.Outcome:
        """Commits one write and returns its own outcome.

        `Committed` holds one version, `Conflict` the index 0. `Unavailable`
        means that the write did not and will not take effect. Never raises.
        """
        item = _Item(write)
        if self._closed:
            return api.Unavailable("The group committer is closed.")
        try:
            self._queue.put_nowait(item)
        except queue.Full:
            return api.Unavailable("Too many writes wait for a transaction.")
        if item.done.wait(self._answer_wait_s):
            return item.outcome
        if item.withdraw():
            return api.Unavailable("No transaction took the write in time.")
        if item.done.is_set():
            return item.outcome
        return api.OutcomeUnknown("The transaction did not end in time.")

    def close(self, *, timeout_s: float = 5.0) -> None:
        """Ends the workers after the writes that already wait."""
        self._closed = True
        for worker in self._workers:
            worker.join(timeout_s)

    def _work(self) -> None:
        while True:
            with self._collecting:
                group = self._collect()
            if group:
                self._commit_group(group)
            elif self._closed:
                return

    def _collect(self) -> list[_Item]:
        group: dict[api.Key, _Item] = {}
        waiting, self._deferred = self._deferred, []
        for item in waiting:
            self._place(item, group)
        if not group:
            try:
                self._place(self._queue.get(timeout=_IDLE_S), group)
            except queue.Empty:
                return []
        ends_at = time.monotonic() + self._group_wait_s
        while len(group) < self._group_limit:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            try:
                item = self._queue.get(timeout=left_s)
            except queue.Empty:
                break
            self._place(item, group)
        return [item for item in group.values() if item.take()]

    def _place(self, item: _Item, group: dict[api.Key, _Item]) -> None:
        # Two writes of one row in one transaction could not both meet their
        # conditions.
        full = len(group) >= self._group_limit
        if full or item.write.key in group:
            self._deferred.append(item)
        else:
            group[item.write.key] = item

    def _commit_group(self, group: list[_Item]) -> None:
        outcomes = commit_together(self._table, [item.write for item in group])
        for item, outcome in zip(group, outcomes, strict=True):
            item.end(outcome)


def commit_together(
    table: api.TableService, writes: Sequence[api.Write]
) -> list[api.Outcome]:
    """Commits writes of different rows in as few transactions as possible.

    Returns:
        One outcome for each write. Writes whose condition failed get a
        `Conflict`, and the others are tried again without them.
    """
    outcomes: list[api.Outcome] = [
        api.Unavailable("Conflicts did not end.") for _ in writes
    ]
    left = list(range(len(writes)))
    # Each conflict answers at least one write, so this many rounds do.
    for _ in range(len(writes)):
        group = [writes[index] for index in left]
        outcome = _transact(table, group)
        if not isinstance(outcome, api.Conflict):
            ended = _each(table, group, outcome)
            for index, own in zip(left, ended, strict=True):
                outcomes[index] = own
            return outcomes
        failed = set(outcome.failed)
        for at, index in enumerate(left):
            if at in failed:
                outcomes[index] = api.Conflict([0])
        left = [index for at, index in enumerate(left) if at not in failed]
        if not left:
            return outcomes
    return outcomes


def _transact(
    table: api.TableService, writes: Sequence[api.Write]
) -> api.Outcome:
    try:
        outcome = table.transact(writes)
    except Exception as exc:
        # An error of the table client says nothing of the transaction.
        return api.OutcomeUnknown(f"The table client failed: {exc!r}.")
    whole = not isinstance(outcome, api.Committed) or (
        len(outcome.versions) == len(writes)
    )
    if not whole:
        return api.OutcomeUnknown("The answer lists other rows.")
    return outcome


def _each(
    table: api.TableService, writes: Sequence[api.Write], outcome: api.Outcome
) -> list[api.Outcome]:
    if isinstance(outcome, api.Committed):
        return [api.Committed([version]) for version in outcome.versions]
    if isinstance(outcome, api.OutcomeUnknown):
        return _read_back(table, writes, outcome)
    return [outcome] * len(writes)


def _read_back(
    table: api.TableService,
    writes: Sequence[api.Write],
    outcome: api.OutcomeUnknown,
) -> list[api.Outcome]:
    """Reads the rows; a row that holds the write shows the commit.

    A row that does not hold it proves nothing: the transaction may take effect
    later, or the value may have been replaced since.
    """
    try:
        rows = table.read([write.key for write in writes])
    except Exception as exc:
        rows = errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, repr(exc))
    if isinstance(rows, errors.Failure) or len(rows) != len(writes):
        return [outcome] * len(writes)
    return [
        api.Committed([row.version])
        if row is not None and row.value == write.value
        else outcome
        for write, row in zip(writes, rows, strict=True)
    ]


class _Item:
    """One write on its way through a group."""

    __slots__ = ("write", "outcome", "done", "_state", "_lock")

    def __init__(self, write: api.Write) -> None:
        self.write = write
        self.outcome: api.Outcome = api.OutcomeUnknown("No outcome yet.")
        self.done = threading.Event()
        self._state = _WAITING
        self._lock = threading.Lock()

    def take(self) -> bool:
        """Claims the write for a transaction; false if it was withdrawn."""
        return self._move(_TAKEN)

    def withdraw(self) -> bool:
        """Keeps the write out of every transaction; false if it is in one."""
        return self._move(_WITHDRAWN)

    def end(self, outcome: api.Outcome) -> None:
        """Gives the waiting caller its outcome."""
        self.outcome = outcome
        self.done.set()

    def _move(self, state: int) -> bool:
        with self._lock:
            if self._state != _WAITING:
                return False
            self._state = state
            return True
