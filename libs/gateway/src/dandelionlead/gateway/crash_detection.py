"""Checks whether an endpoint crashed after a connection to it broke.

The result feeds the detection of requests that crash their endpoints: a broken
connection counts as a crash only if nothing answers in the endpoint's name.
"""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.routing import calls
from dandelionlead.routing import crashes
from dandelionlead.routing import model
from dandelionlead.routing import reach
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# Pauses before the first and the second connection attempt. The listening
# socket of an endpoint closes as soon as its process ends. It opens again some
# seconds later, after the restart.
_DELAYS_S = (0.05, 0.4)
_CONNECT_TIMEOUT_S = 0.3
# Longest time until it is known whether this process alone has lost its paths
# to the service, and the pause between two looks at that.
_MAX_DOUBT_S = 1.5
_DOUBT_PAUSE_S = 0.1
# Number of parts of a prompt that are suspected, and length of their ids. Both
# come from callers, and suspected parts are sent to all peers.
_MAX_PARTS = 16
_MAX_PART_ID_LENGTH = 32


class CrashDetector:
    """Checks endpoints whose connections broke.

    At most one check of each endpoint is in progress at a time.

    Args:
        scheduler: Records the suspected requests and the crashes.
        view: Holds which endpoints are leaving.
        log: Receives one line for each crash.
        find_absence: Returns why an endpoint of a service has ended or cannot
            be reached within some seconds, or None.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
        find_absence: Callable[
            [model.Endpoint, model.Service | None, float],
            errors.Failure | None,
        ],
    ) -> None:
        self._scheduler = scheduler
        self._find_absence = find_absence
        self._view = view
        self._log = log
        self._endpoint_ids_in_check: set[str] = set()

    def start_check(self, endpoint: model.Endpoint) -> None:
        """Starts a check in the background after a connection broke."""
        endpoint_id = endpoint.endpoint_id
        if endpoint_id not in self._endpoint_ids_in_check:
            self._endpoint_ids_in_check.add(endpoint_id)
            eventlet.spawn_n(self._check, endpoint)

    def is_crash_possible(self, endpoint: model.Endpoint) -> bool:
        """Whether a broken connection to an endpoint may indicate a crash.

        The connections of a leaving endpoint are expected to break.
        """
        return not self._view.is_leaving(endpoint.endpoint_id)

    def _check(self, endpoint: model.Endpoint) -> None:
        """Looks for the endpoint twice; records a crash if it has ended."""
        try:
            for delay_s in _DELAYS_S:
                eventlet.sleep(delay_s)
                if self._record_if_crashed(endpoint):
                    return
        finally:
            self._endpoint_ids_in_check.discard(endpoint.endpoint_id)

    def confirm_failure(
        self, endpoint: model.Endpoint, record: Callable[[], None]
    ) -> None:
        """Records a failed connection, unless only its path is lost.

        Args:
            endpoint: The endpoint that was not reached.
            record: Records the failure. It is called at once, or in the
                background if it is in doubt whether this process has lost its
                paths to the service.
        """
        if self._scheduler.is_reach_in_doubt(
            endpoint.service, clock.boottime()
        ):
            eventlet.spawn_n(self._record_unless_cut_off, endpoint, record)
        else:
            record()

    def _record_unless_cut_off(
        self, endpoint: model.Endpoint, record: Callable[[], None]
    ) -> None:
        if not self._has_lost_path(endpoint):
            record()

    def _has_lost_path(self, endpoint: model.Endpoint) -> bool:
        """Returns whether only this process does not reach an endpoint.

        Waits while this is in doubt; then the endpoint counts as crashed. One
        connection to another endpoint of the service settles it, even if
        connections to further crashed endpoints fail after it.
        """
        started_s = clock.boottime()
        deadline_s = started_s + _MAX_DOUBT_S
        while True:
            now_s = clock.boottime()
            state = self._scheduler.assess_reach(endpoint.service, now_s)
            if state is reach.Reach.CUT_OFF:
                return True
            if (
                now_s >= deadline_s
                or self._scheduler.get_last_reached_s(endpoint.service)
                >= started_s
                or not self._scheduler.is_reach_in_doubt(
                    endpoint.service, now_s
                )
            ):
                return False
            eventlet.sleep(_DOUBT_PAUSE_S)

    def _record_if_crashed(self, endpoint: model.Endpoint) -> bool:
        """Records a crash and returns True if the endpoint has ended.

        It is no crash if this process has lost its paths to the service.
        """
        configuration = self._view.configuration
        services = configuration.services if configuration else {}
        failure = self._find_absence(
            endpoint, services.get(endpoint.service), _CONNECT_TIMEOUT_S
        )
        if failure is None:
            return False
        self._scheduler.health_tracker.record_unreachable(
            endpoint.endpoint_id, clock.boottime()
        )
        if self._has_lost_path(endpoint):
            return True
        if self._scheduler.record_endpoint_lost(endpoint, clock.boottime()):
            self._log.event(
                "endpoint_crashed",
                endpoint=endpoint.endpoint_id,
                reason=failure.reason,
            )
        return True


class RequestCrashes:
    """Evidence on whether one request crashes the endpoints that run it.

    The request itself may do so, and so may a part of its prompt. The last part
    belongs to the request alone or to its session, and is never suspected.

    Args:
        detector: Checks the endpoints whose connections broke.
        scheduler: Records the evidence.
        admitted: The request.
    """

    def __init__(
        self,
        detector: CrashDetector,
        scheduler: scheduling.Scheduler,
        admitted: calls.AdmittedCall,
    ) -> None:
        self._detector = detector
        self._request_tracker = scheduler.crash_tracker
        self._prompt_tracker = scheduler.prompt_crash_tracker
        self._fingerprint = crashes.compute_fingerprint(admitted)
        self._part_ids = tuple(
            part_id[:_MAX_PART_ID_LENGTH]
            for part_id, _ in admitted.call.prompt_parts[:-1][:_MAX_PARTS]
        )
        self._has_event = False

    def record_broken_connection(self, endpoint: model.Endpoint) -> None:
        """Records that an endpoint's connection broke with the request."""
        if not self._detector.is_crash_possible(endpoint):
            return
        now_s = clock.boottime()
        self._request_tracker.record_broken_connection(
            self._fingerprint, endpoint.incarnation, now_s
        )
        if not self._has_event:
            self._prompt_tracker.record_broken_connection(
                self._part_ids, endpoint.incarnation, now_s
            )
        self._detector.start_check(endpoint)

    def record_first_event(self) -> None:
        """Records that an engine has begun to answer the prompt."""
        self._has_event = True
        self._prompt_tracker.record_sound(self._part_ids, clock.boottime())

    def record_completed(self) -> None:
        """Records that an endpoint has responded to the request."""
        self._request_tracker.record_completed(
            self._fingerprint, clock.boottime()
        )

    def find_failure(self) -> errors.Failure | None:
        """Returns why the request must not be sent to an endpoint, or None.

        A request that an engine has begun to answer may be resumed in any case.
        """
        if self._has_event:
            return None
        now_s = clock.boottime()
        if self._request_tracker.is_quarantined(self._fingerprint, now_s):
            return errors.Failure(
                errors.Kind.REQUEST_QUARANTINED,
                "too many endpoints crashed while they ran this request",
            )
        part_id = self._prompt_tracker.find_quarantined(self._part_ids, now_s)
        if part_id is None:
            return None
        return errors.Failure(
            errors.Kind.REQUEST_QUARANTINED,
            f"too many engines crashed that answered the prompt part {part_id}",
        )
