"""Keeps copies of the loads of each process, from updates in any order.

Each process numbers the updates of its loads. A copy is complete up to a number
if all updates up to it have arrived. What is missing for some time is requested
as a snapshot, from any process that has it.
"""

from __future__ import annotations

from collections.abc import Iterable

from dandelionlead.cluster import timed_limit
from dandelionlead.cluster.gen import ttypes

# Entries without load are dropped when a copy has more entries than this.
_MAX_ENTRIES = 64
# A copy that is incomplete for longer than this is requested, and again after
# the same time. Updates usually arrive within this time after the number that
# shows that they are missing.
REQUEST_AFTER_S = 0.5


class Replica:
    """Copy of the loads that one process causes.

    Attributes:
        loads: Loads by endpoint id, each with the number of its update.
        limits: Limits of endpoints as that process knows them, by endpoint id.
        complete_number: Number up to which all updates have arrived.
        later_numbers: Numbers of the updates beyond it that have arrived.
        known_number: Largest number that any process has mentioned.
        incomplete_since_s: Time in seconds since which the copy is incomplete,
            or of the last request; infinite if it is complete.
    """

    __slots__ = (
        "loads",
        "limits",
        "complete_number",
        "later_numbers",
        "known_number",
        "incomplete_since_s",
    )

    def __init__(self) -> None:
        self.loads: dict[str, tuple[int, ttypes.EndpointLoad]] = {}
        self.limits: dict[str, timed_limit.TimedLimit] = {}
        self.complete_number = 0
        self.later_numbers: set[int] = set()
        self.known_number = 0
        self.incomplete_since_s = float("inf")

    def accept(
        self, number: int, load: ttypes.EndpointLoad, now_s: float
    ) -> bool | None:
        """Applies an update.

        Args:
            number: Number of the update.
            load: The load at its endpoint.
            now_s: Current time in seconds.

        Returns:
            Whether the load is the newest known one of its endpoint; None if
            the update had arrived before.
        """
        if number <= self.complete_number or number in self.later_numbers:
            return None
        self.later_numbers.add(number)
        self.mention(number, now_s)
        self._advance(now_s)
        current = self.loads.get(load.endpoint_id)
        if current is not None and current[0] > number:
            return False
        self.loads[load.endpoint_id] = (number, load)
        if len(self.loads) > _MAX_ENTRIES:
            self._drop_empty_entries()
        return True

    def mention(self, number: int, now_s: float) -> None:
        """Records that an update with this number exists."""
        if number > self.known_number:
            self.known_number = number
        self._check_complete(now_s)

    def accept_snapshot(
        self, snapshot: ttypes.LoadSnapshot, now_s: float
    ) -> bool:
        """Replaces the loads by those of a snapshot, unless it is older.

        Later updates that have arrived are kept.
        """
        if snapshot.number <= self.complete_number:
            return False
        later = {
            endpoint_id: entry
            for endpoint_id, entry in self.loads.items()
            if entry[0] > snapshot.number
        }
        self.loads = {
            load.endpoint_id: (snapshot.number, load) for load in snapshot.loads
        } | later
        self.limits |= {
            item.endpoint_id: timed_limit.TimedLimit(item, now_s)
            for item in snapshot.limits
        }
        self.complete_number = snapshot.number
        self.later_numbers = {
            number for number in self.later_numbers if number > snapshot.number
        }
        self.known_number = max(self.known_number, snapshot.number)
        self._advance(now_s)
        return True

    def must_request(self, now_s: float) -> bool:
        """Returns whether to request a snapshot now, and notes the request."""
        if now_s - self.incomplete_since_s < REQUEST_AFTER_S:
            return False
        self.incomplete_since_s = now_s
        return True

    def list_loads(self) -> list[ttypes.EndpointLoad]:
        """Returns the loads at all endpoints that have one."""
        return [load for _, load in self.loads.values() if has_load(load)]

    def _advance(self, now_s: float) -> None:
        while self.complete_number + 1 in self.later_numbers:
            self.complete_number += 1
            self.later_numbers.discard(self.complete_number)
        self._check_complete(now_s)

    def _check_complete(self, now_s: float) -> None:
        if self.complete_number >= self.known_number:
            self.incomplete_since_s = float("inf")
        elif self.incomplete_since_s == float("inf"):
            self.incomplete_since_s = now_s

    def _drop_empty_entries(self) -> None:
        self.loads = {
            endpoint_id: (number, load)
            for endpoint_id, (number, load) in self.loads.items()
            if number > self.complete_number or has_load(load)
        }


def has_load(load: ttypes.EndpointLoad) -> bool:
    """Returns whether any count of a load is not zero."""
    return bool(
        load.runs or load.tokens or load.prefill_tokens or load.unsaved_runs
    )


def pack_updates(
    updates: Iterable[tuple[int, int, ttypes.EndpointLoad]],
) -> ttypes.LoadUpdates:
    """Returns updates, given as process id, number and load, as one message."""
    packed = ttypes.LoadUpdates([], [], [], [], [], [], [], [], [])
    for process_id, number, load in updates:
        packed.processes.append(process_id)
        packed.numbers.append(number)
        packed.endpoint_ids.append(load.endpoint_id)
        packed.runs.append(load.runs)
        packed.tokens.append(load.tokens)
        packed.prefill_tokens.append(load.prefill_tokens)
        packed.unsaved_runs.append(load.unsaved_runs)
        packed.read_counts.append(load.read_count)
        packed.read_us_per_token.append(load.read_us_per_token)
    return packed


def unpack_updates(
    packed: ttypes.LoadUpdates,
) -> list[tuple[int, int, ttypes.EndpointLoad]]:
    """Returns the updates of a message as process id, number and load."""
    return [
        (process_id, number, ttypes.EndpointLoad(*load))
        for process_id, number, *load in zip(
            packed.processes,
            packed.numbers,
            packed.endpoint_ids,
            packed.runs,
            packed.tokens,
            packed.prefill_tokens,
            packed.unsaved_runs,
            packed.read_counts,
            packed.read_us_per_token,
            strict=True,
        )
    ]
