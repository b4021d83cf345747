"""Progress of one accepted call: who may have run it, what its caller got."""

from __future__ import annotations

import enum
from collections.abc import Callable

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import server
from dandelionlead.routing import calls
from dandelionlead.routing import model


class Phase(enum.Enum):
    """How far a call has come.

    Attributes:
        WAITING: No endpoint has the call, and none may have run it.
        SENT: An endpoint may run the call or may have run it. The caller has
            received nothing.
        RESPONDING: The caller has received a part of the response.
        ENDED: The caller has received the whole response or has disconnected.
    """

    WAITING = "waiting"
    SENT = "sent"
    RESPONDING = "responding"
    ENDED = "ended"


class CallProgress:
    """Tracks one call from its admission to its end.

    Attributes:
        admitted: The call.
        endpoint_id: Id of the endpoint that was tried last; empty for none.
        tried_ids: Ids of the endpoints that were tried.
    """

    __slots__ = (
        "admitted",
        "endpoint_id",
        "tried_ids",
        "_response_writer",
        "_endpoint_in_attempt",
        "_possible_run_endpoints",
        "_is_at_peer",
        "_possible_peer_runs",
        "_has_begun",
        "_has_ended",
        "_on_begun",
    )

    def __init__(
        self,
        admitted: calls.AdmittedCall,
        response_writer: server.ResponseWriter,
        on_begun: Callable[[calls.AdmittedCall, float], None] | None = None,
    ) -> None:
        """Starts to track a call that waits for an endpoint.

        Args:
            admitted: The call.
            response_writer: Writes the response to the caller.
            on_begun: Called once, when an endpoint has begun to run the call,
                with the call and the time in seconds; None if nobody counts.
        """
        self.admitted = admitted
        self.endpoint_id = ""
        self.tried_ids: set[str] = set()
        self._response_writer = response_writer
        self._endpoint_in_attempt: model.Endpoint | None = None
        # Endpoints that ran the call or may have run it, by incarnation.
        self._possible_run_endpoints: dict[str, model.Endpoint] = {}
        self._is_at_peer = False
        # Number of peers that were sent the call and may have run it.
        self._possible_peer_runs = 0
        self._has_begun = False
        self._has_ended = False
        self._on_begun = on_begun

    @property
    def phase(self) -> Phase:
        """Present phase of the call."""
        if self._has_ended or self._response_writer.has_ended:
            return Phase.ENDED
        if self._response_writer.has_started:
            return Phase.RESPONDING
        if (
            self._endpoint_in_attempt
            or self._is_at_peer
            or self.possible_run_count
        ):
            return Phase.SENT
        return Phase.WAITING

    @property
    def possible_run_endpoints(self) -> list[model.Endpoint]:
        """Endpoints that ran the call in an ended attempt, or may have."""
        return list(self._possible_run_endpoints.values())

    @property
    def possible_run_count(self) -> int:
        """Number of ended attempts that ran the call, or may have run it.

        A peer that may have run the call counts like one endpoint.
        """
        return len(self._possible_run_endpoints) + self._possible_peer_runs

    @property
    def may_run_again(self) -> bool:
        """Whether the call may be sent once more after its ended attempts."""
        route = self.admitted.route
        return not self.possible_run_count or (
            route.is_repeatable and self.possible_run_count < route.max_attempts
        )

    def record_begun(self, began_s: float) -> None:
        """Records that an endpoint has begun to run the call.

        Only the first time counts.

        Args:
            began_s: When it began, in seconds of `clock.boottime`.
        """
        if self._has_begun:
            return
        self._has_begun = True
        if self._on_begun is not None:
            self._on_begun(self.admitted, began_s)

    def begin_attempt(self, endpoint: model.Endpoint) -> None:
        """Records that the call is about to be sent to an endpoint."""
        self._endpoint_in_attempt = endpoint
        self.endpoint_id = endpoint.endpoint_id
        self.tried_ids.add(endpoint.endpoint_id)

    def end_attempt(self, run_state: errors.RunState) -> None:
        """Records the end of an attempt.

        Args:
            run_state: Whether the endpoint ran the call.
        """
        endpoint, self._endpoint_in_attempt = self._endpoint_in_attempt, None
        if run_state is not errors.RunState.NOT_RUN:
            self.record_possible_run(endpoint)

    def begin_relay(self) -> None:
        """Records that the call is about to be sent to a peer."""
        self._is_at_peer = True

    def end_relay(self, run_state: errors.RunState) -> None:
        """Records the end of an attempt at a peer.

        Args:
            run_state: Whether an endpoint ran the call for the peer.
        """
        self._is_at_peer = False
        if run_state is not errors.RunState.NOT_RUN:
            self._possible_peer_runs += 1

    def record_possible_run(self, endpoint: model.Endpoint) -> None:
        """Records that an endpoint runs the call or may have run it."""
        self._possible_run_endpoints[endpoint.incarnation] = endpoint

    def end(self) -> None:
        """Records that the caller gets nothing more."""
        self._has_ended = True

    def to_log_fields(self) -> dict[str, object]:
        """Returns the progress as fields of a log line."""
        age_s = clock.boottime() - self.admitted.call.arrived_s
        return {
            "req": self.admitted.call.request_id,
            "route": self.admitted.route.name,
            "phase": self.phase.value,
            "endpoint": self.endpoint_id,
            "age_ms": int(age_s * 1e3),
        }
