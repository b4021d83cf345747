"""Asks engines whether they leave, while the platform's list cannot say it."""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt
from dandelionlead.gateway import dialect
from dandelionlead.routing import model
from dandelionlead.routing import view

# An engine's notice is 1.5 s and more; a move needs most of it.
ROUND_S = 0.3
_ANSWER_LIMIT_S = 0.5


class Prober:
    """Asks all engines in turn for as long as the list is out of date."""

    def __init__(
        self,
        sender: attempt.Sender,
        words: dialect.Dialect,
        known: view.View,
        needed: Callable[[], bool],
        log: events.Log,
    ) -> None:
        """Sets up the loop.

        Args:
            sender: Sends the questions.
            words: Their form.
            known: Gets notices of engines that leave.
            needed: Whether this process asks at present.
            log: Gets a line for each engine that says that it leaves.
        """
        self._sender = sender
        self._words = words
        self._view = known
        self._needed = needed
        self._log = log

    def run(self) -> None:
        """Runs for as long as the process."""
        while True:
            if self._needed():
                self.ask_all()
            eventlet.sleep(ROUND_S)

    def ask_all(self) -> None:
        """Asks each engine once, all at the same time."""
        for endpoint in list(self._view.endpoints.values()):
            if self._is_engine(endpoint):
                eventlet.spawn_n(self._ask, endpoint)

    def _is_engine(self, endpoint: model.Endpoint) -> bool:
        configuration = self._view.configuration
        if configuration is None:
            return False
        service = configuration.services.get(endpoint.service)
        is_engine = service is not None and service.engine is not None
        return is_engine and not self._view.is_leaving(endpoint.endpoint_id)

    def _ask(self, endpoint: model.Endpoint) -> None:
        message = self._words.ask_report(endpoint)
        result = self._sender.control(endpoint, message, _ANSWER_LIMIT_S)
        if isinstance(result, errors.Failure):
            return  # Runs on it tell of a crash sooner than this does.
        status, body = result
        report = self._words.read_report(body) if status == 200 else None
        if report is None or not report.draining:
            return
        self._log.event(
            "engine_says_it_leaves",
            endpoint=endpoint.endpoint_id,
            leaves_in_s=report.leaves_in_s,
            at_s=clock.boottime(),
        )
        self._view.leaving(endpoint.endpoint_id)
