"""Counts what one response body of an endpoint or of the store holds."""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.core import clock
from dandelionlead.http import intake_counts
from dandelionlead.http import intake_memory


class ResponseAccount(intake_memory.Account):
    """What one response body holds that an endpoint or the store sends."""

    __slots__ = ("_accounts", "_opened_s")

    def __init__(
        self,
        memory: intake_memory.IntakeMemory,
        accounts: set[ResponseAccount],
        evict: Callable[[], None],
    ) -> None:
        super().__init__(memory, evict)
        self._accounts = accounts
        self._opened_s = clock.boottime()

    def remove(self) -> bool:
        """Removes the account; returns whether it was there."""
        if self not in self._accounts:
            return False
        self._accounts.discard(self)
        return True

    def compute_age_s(self, now_s: float) -> float:
        """Returns for how long the body has been arriving."""
        return now_s - self._opened_s + intake_memory.MIN_AGE_S

    def note_eviction(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that the response was cut off."""
        counts.cut_responses += 1

    def note_refusal(self, counts: intake_counts.IntakeCounts) -> None:
        """Counts that the response was cut off."""
        counts.cut_responses += 1
