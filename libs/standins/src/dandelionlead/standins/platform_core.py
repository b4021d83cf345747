"""Tables, objects, instance list and weights of the platform stand-in.

The module holds the state and the faults; it takes the time as an argument
and uses no sockets.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Any

from dandelionlead.platform import api
from dandelionlead.platform import rows
from dandelionlead.standins import faults

DEFAULT_WEIGHT_BYTES = 1_000_000
DEFAULT_WEIGHT_BYTES_PER_S = 50_000_000.0

_FAULTS = {
    # All services answer 503.
    "outage": False,
    # Each request waits before it is served.
    "delay_s": 0.0,
    # The next transactions take effect, but get no answer.
    "lose_answers": 0,
    # The next transactions have no effect and get no answer.
    "lose_requests": 0,
    # A transaction whose answer is lost takes effect so much later.
    "late_commit_s": 0.0,
    # The instance list does not change any more.
    "list_frozen": False,
    # Digests that the object store does not find.
    "missing_objects": [],
}
_LISTED_FIELDS = ("http", "control", "availability_zone", "state")
_STATES = ("live", "leaving")


class Lost:
    """The transaction gets no answer."""

    __slots__ = ()


class Limited:
    """The weight store's rate is used up for so many seconds."""

    __slots__ = ("retry_after_s",)

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


class Tables:
    """Table service with lost answers and late commits."""

    def __init__(self, active: faults.Faults) -> None:
        self._faults = active
        self._rows = rows.Rows()
        self._late: list[tuple[float, list[api.Write]]] = []

    def read(self, keys: Sequence[api.Key], now: float) -> list[api.Row | None]:
        """Returns rows as they are at `now` (seconds)."""
        self.advance(now)
        return self._rows.read(keys)

    def transact(
        self, ops: Sequence[api.Write], now: float
    ) -> api.Committed | api.Conflict | Lost:
        """Applies all writes or none, subject to the faults.

        Raises:
            ValueError: A row is named twice or a value is not an object.
        """
        self.advance(now)
        if self._faults.take("lose_requests"):
            return Lost()
        lost = self._faults.take("lose_answers")
        late_s = self._faults["late_commit_s"]
        if lost and late_s > 0:
            self._late.append((now + late_s, list(ops)))
            return Lost()
        outcome = self._rows.transact(ops)
        return Lost() if lost else outcome

    def advance(self, now: float) -> None:
        """Lets late commits that are due take effect, in their order."""
        due = [item for item in self._late if item[0] <= now]
        self._late = [item for item in self._late if item[0] > now]
        for _, ops in sorted(due, key=lambda item: item[0]):
            self._rows.transact(ops)


class Objects:
    """Object store, addressed by content."""

    def __init__(self, active: faults.Faults) -> None:
        self._faults = active
        self._objects: dict[str, bytes] = {}

    def put(self, digest: str, data: bytes) -> bool:
        """Stores an object; returns False if the digest is not its own."""
        if hashlib.sha256(data).hexdigest() != digest:
            return False
        self._objects[digest] = data
        return True

    def get(self, digest: str) -> bytes | None:
        """Returns an object; None if the store does not find it."""
        if digest in self._faults["missing_objects"]:
            return None
        return self._objects.get(digest)


class Instances:
    """Instance list that shows the state of `lag_s` seconds ago."""

    def __init__(self, active: faults.Faults, lag_s: float) -> None:
        self._faults = active
        self._lag_s = lag_s
        self._actual: dict[str, dict[str, str]] = {}
        self._changes: list[tuple[float, list[dict[str, str]]]] = []
        self._shown: list[dict[str, str]] = []

    def set(self, name: str, fields: dict[str, Any], now: float) -> None:
        """Adds or replaces an instance.

        Raises:
            ValueError: A field is missing or wrong.
        """
        for field in _LISTED_FIELDS:
            if not isinstance(fields.get(field), str):
                raise ValueError(f"The field {field} is missing or no text.")
        if fields["state"] not in _STATES:
            raise ValueError(f"The state is not one of {_STATES}.")
        shown = {field: fields[field] for field in _LISTED_FIELDS}
        self._actual[name] = {"name": name} | shown
        self._changed(now)

    def remove(self, name: str, now: float) -> None:
        """Removes an instance; an unknown name is passed over."""
        self._actual.pop(name, None)
        self._changed(now)

    def shown(self, now: float) -> list[dict[str, str]]:
        """Returns the rows that the list shows at `now` (seconds)."""
        if self._faults["list_frozen"]:
            return self._shown
        while self._changes and self._changes[0][0] + self._lag_s <= now:
            self._shown = self._changes.pop(0)[1]
        return self._shown

    def _changed(self, now: float) -> None:
        self._changes.append((now, list(self._actual.values())))


class Weights:
    """Weight store with a rate limit in bytes a second (token bucket)."""

    def __init__(self, bytes_per_s: float, weight_bytes: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._default_bytes = weight_bytes
        self._sizes: dict[str, int] = {}
        self._free_at = 0.0

    def set_size(self, name: str, size: int) -> None:
        """Sets the size of one set of weights in bytes."""
        self._sizes[name] = size

    def fetch(self, name: str, now: float) -> int | Limited:
        """Returns the size in bytes, or the wait that the limit asks for."""
        if now < self._free_at:
            return Limited(self._free_at - now)
        size = self._sizes.get(name, self._default_bytes)
        self._free_at = now + size / self._bytes_per_s
        return size


class Platform:
    """All services of the platform stand-in.

    Attributes:
        faults: Active faults.
        counts: Calls served, by name.
    """

    def __init__(
        self,
        *,
        list_lag_s: float = 0.0,
        weight_bytes: int = DEFAULT_WEIGHT_BYTES,
        weight_bytes_per_s: float = DEFAULT_WEIGHT_BYTES_PER_S,
    ) -> None:
        self.faults = faults.Faults(_FAULTS)
        self.tables = Tables(self.faults)
        self.objects = Objects(self.faults)
        self.instances = Instances(self.faults, list_lag_s)
        self.weights = Weights(weight_bytes_per_s, weight_bytes)
        self.counts: dict[str, int] = {
            "reads": 0,
            "rows_read": 0,
            "writes": 0,
            "rows_written": 0,
            "conflicts": 0,
            "lost": 0,
            "refused": 0,
            "object_puts": 0,
            "object_gets": 0,
            "lists": 0,
            "weight_fetches": 0,
            "weight_refusals": 0,
        }

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a count."""
        self.counts[name] += amount
