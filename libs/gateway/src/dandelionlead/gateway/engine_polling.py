"""Polls engines for leaving notices while the endpoint list is stale.

Leaving notices normally arrive with the platform's endpoint list. While the
list cannot be read, the engines' own reports are their only source.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import sending
from dandelionlead.routing import model
from dandelionlead.routing import routing_view

# An engine gives its leaving notice 1.5 s or more before it stops, and a
# migration needs most of that time.
POLL_INTERVAL_S = 0.3
_REPORT_TIMEOUT_S = 0.5


class EnginePoller:
    """Polls all engines for as long as the endpoint list is stale."""

    def __init__(
        self,
        sender: sending.Sender,
        codec: platform_codec.PlatformCodec,
        view: routing_view.RoutingView,
        is_needed: Callable[[], bool],
        log: events.Log,
    ) -> None:
        """Creates the poller; `run` starts it.

        Args:
            sender: Sends the requests for reports.
            codec: Encodes the requests and decodes the reports.
            view: Holds the endpoints; receives the leaving notices.
            is_needed: Returns whether this process has to poll now.
            log: Receives one line for each report that an engine is leaving.
        """
        self._sender = sender
        self._codec = codec
        self._view = view
        self._is_needed = is_needed
        self._log = log

    def run(self) -> None:
        """Polls every `POLL_INTERVAL_S` seconds if needed; does not return."""
        while True:
            if self._is_needed():
                self.poll_engines()
            eventlet.sleep(POLL_INTERVAL_S)

    def poll_engines(self) -> None:
        """Requests the report of each engine, concurrently in the background.

        Engines that are already marked as leaving are skipped.
        """
        for endpoint in list(self._view.endpoints.values()):
            if self._should_poll(endpoint):
                eventlet.spawn_n(self._poll, endpoint)

    def _should_poll(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint is an engine that is not leaving."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        service = configuration.services.get(endpoint.service)
        is_engine = service is not None and service.engine is not None
        return is_engine and not self._view.is_leaving(endpoint.endpoint_id)

    def _poll(self, endpoint: model.Endpoint) -> None:
        """Requests an engine's report; marks the engine if it is leaving."""
        request = self._codec.encode_report_request(endpoint)
        result = self._sender.send_control_request(
            endpoint, request, _REPORT_TIMEOUT_S
        )
        if isinstance(result, errors.Failure):
            return  # Broken streams reveal a crash earlier than polls do.
        status, body = result
        report = self._codec.decode_report(body) if status == 200 else None
        if report is None or not report.is_leaving:
            return
        self._log.event(
            "engine_says_it_leaves",
            endpoint=endpoint.endpoint_id,
            leaves_in_s=report.leaves_in_s,
            at_s=clock.boottime(),
        )
        self._view.mark_leaving(endpoint.endpoint_id)
