"""Carries out the planned stop of one process.

A stopping process is not ready any more, but serves the callers that still hold
its address. It ends once they have gone, or before the end of the grace period;
what is open then and has no response yet is answered.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.gateway import open_calls
from dandelionlead.gateway import serving
from dandelionlead.http import listener

# Interval at which a stopping process checks whether it may end.
_CHECK_INTERVAL_S = 0.1
# After the request to stop, callers may still send requests to this process
# until their cached lists of addresses are no longer valid.
_CALLER_LINGER_S = 3.3
# The process ends only after no request has arrived for this time.
_CALLER_QUIET_S = 1.0
# The wait for active requests ends this long before the end of the grace
# period.
_STOP_MARGIN_S = 0.6
# After that, requests are still read and refused for this time, so that one
# that has just been read is answered.
_LAST_ANSWERS_S = 0.25
_LAST_ANSWERS_PAUSE_S = 0.02


class Shutdown:
    """Stops one process.

    Args:
        serving_state: Decides which calls are accepted meanwhile.
        calls_in_progress: The calls that the process owes an answer.
        http_listener: Accepts the connections of callers.
        log: Receives a line at the start and at the end, and one for each call
            that is still open.
        peer_listener: Accepts the connections on which peers pass calls on;
            None if there is none.
    """

    def __init__(
        self,
        serving_state: serving.ServingState,
        calls_in_progress: open_calls.OpenCalls,
        http_listener: listener.Listener,
        log: events.Log,
        peer_listener: listener.Listener | None = None,
    ) -> None:
        self._serving_state = serving_state
        self._open_calls = calls_in_progress
        self._listeners = [http_listener]
        if peer_listener is not None:
            self._listeners.append(peer_listener)
        self._log = log

    def request(self, grace_s: float) -> bool:
        """Requests the stop.

        Args:
            grace_s: Seconds until the process is killed.

        Returns:
            Whether this is the first request; others have no effect.
        """
        if self._serving_state.is_stopping:
            return False
        self._serving_state.is_stopping = True
        self._serving_state.stop_deadline_s = (
            clock.boottime() + grace_s - _STOP_MARGIN_S
        )
        return True

    def run(self) -> None:
        """Waits for the active requests; returns when the process may end."""
        self._log.event("stopping", requests=self._count_active_connections())
        self._await_active_requests()
        self._log.event("stop", requests=self._count_active_connections())
        self._open_calls.log_all("open_at_stop")
        self._open_calls.interrupt_unanswered()
        self._send_last_answers()
        self._open_calls.log_all("cut_at_stop")
        # The interpreter takes about 0.1 s to exit. A request that arrived
        # meanwhile on an open connection would get no response.
        for http_listener in self._listeners:
            http_listener.abort_connections()

    def _await_active_requests(self) -> None:
        """Waits until no request is active or the stop deadline has passed.

        Idle connections are closed only after `_CALLER_LINGER_S`, because
        callers may still connect to this process until then. Some callers keep
        its address for longer; the process waits until they have gone, too.
        """
        started_s = clock.boottime()
        while (now_s := clock.boottime()) < self._serving_state.stop_deadline_s:
            if now_s - started_s > _CALLER_LINGER_S:
                self._close_idle_connections()
                last_request_s = max(
                    http_listener.last_request_s
                    for http_listener in self._listeners
                )
                if (
                    now_s - last_request_s > _CALLER_QUIET_S
                    and not self._count_active_connections()
                ):
                    break
            eventlet.sleep(_CHECK_INTERVAL_S)

    def _send_last_answers(self) -> None:
        """Accepts no more connections; answers what has already been read.

        A call that was interrupted gets its response meanwhile.
        """
        for http_listener in self._listeners:
            http_listener.stop_accepting()
        # What is read from now on is refused.
        now_s = self._serving_state.stop_deadline_s = clock.boottime()
        end_s = now_s + _LAST_ANSWERS_S
        while clock.boottime() < end_s:
            self._close_idle_connections()
            if not any(
                http_listener.connections for http_listener in self._listeners
            ):
                break
            eventlet.sleep(_LAST_ANSWERS_PAUSE_S)

    def _count_active_connections(self) -> int:
        return sum(
            http_listener.count_active_connections()
            for http_listener in self._listeners
        )

    def _close_idle_connections(self) -> None:
        for http_listener in self._listeners:
            http_listener.close_idle_connections()
