"""List of the entries' addresses, as the entries themselves give it."""

from __future__ import annotations

import json
import random
import threading
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

# How long a list is used if the entry does not say.
DEFAULT_MAX_AGE_S = 5.0
# Pause after a fetch that failed; the old list is used meanwhile.
RETRY_S = 1.0


class AddressList:
    """Keeps the list for its maximum age and picks entries at random.

    Args:
        first: Addresses `ip:port` to start with, also used when all others
            fail.
        fetch: Returns the body of `GET /v1/addresses` of an entry, or None.
        clock: Monotonic seconds.
        rng: Source of the choice.
    """

    def __init__(
        self,
        first: Sequence[str],
        fetch: Callable[[str], bytes | None],
        *,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._first = list(first)
        self._current = list(first)
        self._fetch = fetch
        self._clock = clock
        self._rng = rng
        self._valid_until_s = float("-inf")
        self._lock = threading.Lock()

    def pick(self, tried: Collection[str] = ()) -> str:
        """Returns an entry, if possible one that was not tried yet."""
        self._refresh()
        choices = [a for a in self._current if a not in tried]
        choices = choices or [a for a in self._first if a not in tried]
        return self._rng.choice(choices or self._current)

    def expire(self) -> None:
        """Asks for a new list at the next pick; used when an entry fails."""
        self._valid_until_s = min(self._valid_until_s, self._clock())

    def _refresh(self) -> None:
        if self._clock() < self._valid_until_s:
            return
        # One thread asks; the others go on with the old list.
        if not self._lock.acquire(blocking=False):
            return
        try:
            self._ask()
        finally:
            self._lock.release()

    def _ask(self) -> None:
        known = list(dict.fromkeys([*self._current, *self._first]))
        self._rng.shuffle(known)
        for address in known[:3]:
            found = _parse(self._fetch(address))
            if found is not None:
                self._current, max_age_s = found
                self._valid_until_s = self._clock() + max_age_s
                return
        self._valid_until_s = self._clock() + RETRY_S


def _parse(body: bytes | None) -> tuple[list[str], float] | None:
    try:
        found = json.loads(body) if body is not None else None
    except ValueError:
        return None
    if not isinstance(found, dict):
        return None
    entries = found.get("addresses")
    if not isinstance(entries, list):
        return None
    addresses = [
        item["address"]
        for item in entries
        if isinstance(item, dict) and isinstance(item.get("address"), str)
    ]
    max_age_s = found.get("max_age_s", DEFAULT_MAX_AGE_S)
    if not addresses or not isinstance(max_age_s, int | float):
        return None
    return addresses, max(0.0, float(max_age_s))
