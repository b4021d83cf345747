"""Which endpoints a request may use now, and whether it may be retried."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from dandelionlead.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from dandelionlead.config import model
    from dandelionlead.entry import generation
    from dandelionlead.entry import rules


class RoutingView:
    """Candidates and retries for this entry."""

    def __init__(self, current: Callable[[], rules.Rules | None]) -> None:
        self._current = current
        self._rng = random.Random()
        self._running: dict[str, int] = {}

    def candidates(self, call: generation.Call) -> list[model.Endpoint]:
        """Returns the engines that may run a call now, the best first."""
        current = self._current()
        if current is None:
            return []
        found = current.engines(call.wanted.model)
        self._rng.shuffle(found)
        return found

    def healthy(self, found: list[model.Endpoint]) -> list[model.Endpoint]:
        """Returns those of the endpoints that are not ejected."""
        return list(found)

    def first_try(self) -> None:
        """Notes a first try, which earns budget for retries."""

    def retry_pause_s(
        self, failure: errors.Failure, attempt: int, *, repeatable: bool = True
    ) -> float | None:
        """Returns the pause before a retry; None if there must be none."""
        if attempt >= 3 or not repeatable:
            return None
        if failure.kind in (
            errors.Kind.ENDPOINT_UNREACHABLE,
            errors.Kind.ENDPOINT_FAILED,
            errors.Kind.GENERATION_LOST,
            errors.Kind.GENERATION_UNKNOWN,
            errors.Kind.NO_ENDPOINT,
        ):
            return 0.05 * attempt
        return None

    def running(self, endpoint: str) -> None:
        """Notes that a request runs on an endpoint."""
        self._running[endpoint] = self._running.get(endpoint, 0) + 1

    def ended(self, endpoint: str) -> None:
        """Notes that a request no longer runs on an endpoint."""
        self._running[endpoint] -= 1
