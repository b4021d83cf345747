"""Fakes of the platform in process, with faults that a test scripts.

The fakes are deterministic: a fault affects the call that it was planned for,
and a late commit takes effect after a given number of further calls.
"""

from __future__ import annotations

import collections
import enum
import hashlib
from collections.abc import Sequence

from dandelionlead.core import errors
from dandelionlead.platform import api
from dandelionlead.platform import rows


class Fault(enum.Enum):
    """What happens to one transaction.

    Attributes:
        NONE: The transaction is served.
        OUTAGE: It is refused and never takes effect (`Unavailable`).
        LOST_REQUEST: It never takes effect (`OutcomeUnknown`).
        LOST_ANSWER: It takes effect at once (`OutcomeUnknown`).
        LATE_COMMIT: It takes effect, conditions included, at a later call
            (`OutcomeUnknown`).
    """

    NONE = "none"
    OUTAGE = "outage"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE_COMMIT = "late_commit"


class MemoryTable(api.TableService):
    """Table service in memory.

    Attributes:
        outage: While true, all calls are refused without effect.
        reads: Number of rows read, those of refused calls not included.
        writes: Number of transactions that took effect.
    """

    def __init__(self) -> None:
        self.outage = False
        self.reads = 0
        self.writes = 0
        self._rows = rows.Rows()
        self._planned: collections.deque[tuple[Fault, int]] = (
            collections.deque()
        )
        self._late: list[_LateCommit] = []

    def plan(self, fault: Fault, *, late_by_calls: int = 1) -> None:
        """Appends the fault of one transaction to the script.

        Args:
            fault: What happens to the first transaction without a fault.
            late_by_calls: For `LATE_COMMIT`: the transaction takes effect
                just before the further call of this number, reads included.
        """
        self._planned.append((fault, late_by_calls))

    def clear_plan(self) -> None:
        """Removes planned faults; late commits still take effect."""
        self._planned.clear()

    def deliver_late(self) -> None:
        """Lets all late commits take effect now, the oldest first."""
        late, self._late = self._late, []
        for item in late:
            self._apply(item.ops)

    @property
    def late(self) -> int:
        """Number of transactions that may still take effect."""
        return len(self._late)

    def read(
        self, keys: Sequence[api.Key]
    ) -> list[api.Row | None] | errors.Failure:
        """Reads rows; fails during an outage."""
        self._advance()
        if self.outage:
            return _unavailable("The table service is out of service.")
        self.reads += len(keys)
        return self._rows.read(keys)

    def transact(self, ops: Sequence[api.Write]) -> api.Outcome:
        """Applies all writes or none, subject to the planned fault."""
        self._advance()
        if self.outage:
            return api.Unavailable("The table service is out of service.")
        fault, late_by_calls = Fault.NONE, 0
        if self._planned:
            fault, late_by_calls = self._planned.popleft()
        if fault is Fault.OUTAGE:
            return api.Unavailable("The table service refused the call.")
        if fault is Fault.LOST_REQUEST:
            return api.OutcomeUnknown("The request was lost.")
        if fault is Fault.LATE_COMMIT:
            self._late.append(_LateCommit(ops, late_by_calls))
            return api.OutcomeUnknown("The call timed out.")
        outcome = self._apply(ops)
        if fault is Fault.LOST_ANSWER:
            return api.OutcomeUnknown("The answer was lost.")
        return outcome

    def snapshot(self) -> dict[api.Key, api.Row]:
        """Returns copies of all rows, whatever faults are planned."""
        return self._rows.snapshot()

    def _advance(self) -> None:
        due = []
        for item in self._late:
            item.calls_left -= 1
            if item.calls_left <= 0:
                due.append(item)
        self._late = [item for item in self._late if item.calls_left > 0]
        for item in due:
            self._apply(item.ops)

    def _apply(self, ops: Sequence[api.Write]) -> api.Outcome:
        outcome = self._rows.transact(ops)
        if isinstance(outcome, api.Committed):
            self.writes += 1
        return outcome


class MemoryObjects(api.ObjectStore):
    """Object store in memory.

    Attributes:
        outage: While true, all calls are refused.
        missing: Digests that the store does not find although it has them.
        lose_answers: Number of next puts that are stored but answered by a
            failure.
    """

    def __init__(self) -> None:
        self.outage = False
        self.missing: set[str] = set()
        self.lose_answers = 0
        self._objects: dict[str, bytes] = {}

    def put(self, data: bytes) -> str | errors.Failure:
        """Stores an object and returns its digest."""
        if self.outage:
            return _unavailable("The object store is out of service.")
        digest = hashlib.sha256(data).hexdigest()
        self._objects[digest] = bytes(data)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return _unavailable("The answer to a put was lost.")
        return digest

    def get(self, digest: str) -> bytes | errors.Failure:
        """Returns an object; fails if it is absent."""
        if self.outage:
            return _unavailable("The object store is out of service.")
        if digest in self.missing or digest not in self._objects:
            return _unavailable(f"The object {digest} is not in the store.")
        return self._objects[digest]


class MemoryInstances(api.InstanceList):
    """Instance list in memory.

    Attributes:
        outage: While true, the list cannot be fetched.
        frozen: While true, fetches show the list as it was before.
    """

    def __init__(self, listed: Sequence[api.Listed] = ()) -> None:
        self.outage = False
        self.frozen = False
        self._actual = {item.name: item for item in listed}
        self._shown = list(listed)

    def set(self, item: api.Listed) -> None:
        """Adds an instance or replaces the one of the same name."""
        self._actual[item.name] = item

    def remove(self, name: str) -> None:
        """Removes an instance; an unknown name is passed over."""
        self._actual.pop(name, None)

    def fetch(self) -> list[api.Listed] | errors.Failure:
        """Returns the list, or the old list while it is frozen."""
        if self.outage:
            return _unavailable("The instance list is out of service.")
        if not self.frozen:
            self._shown = list(self._actual.values())
        return list(self._shown)


class MemoryWeights(api.WeightStore):
    """Weight store in memory.

    Attributes:
        outage: While true, all fetches are refused.
        limited: Number of next fetches that meet the rate limit.
    """

    def __init__(self, sizes: dict[str, int]) -> None:
        self.outage = False
        self.limited = 0
        self._sizes = dict(sizes)

    def fetch(self, name: str) -> int | errors.Failure:
        """Returns the size of the weights in bytes."""
        if self.outage:
            return _unavailable("The weight store is out of service.")
        if self.limited > 0:
            self.limited -= 1
            return errors.Failure(
                errors.Kind.OVERLOADED, "The weight store limits its rate."
            )
        if name not in self._sizes:
            return _unavailable(f"The weight store has no weights {name}.")
        return self._sizes[name]


class _LateCommit:
    __slots__ = ("ops", "calls_left")

    def __init__(self, ops: Sequence[api.Write], calls_left: int) -> None:
        self.ops = list(ops)
        self.calls_left = calls_left


def _unavailable(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, reason)
