"""Decides whether this process accepts calls and reports itself as ready."""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.routing import calls
from dandelionlead.routing import routing_view

# A process that can reach neither the platform nor a peer keeps accepting calls
# for this time after its configuration was last confirmed. The limit does not
# apply during an outage of the platform that affects all processes, since
# heartbeats from peers still arrive.
MAX_UNCONFIRMED_S = 10.0
# Expected duration of a generation on an engine that runs many other
# generations: seconds to the first event, and seconds for each output token.
_FIRST_EVENT_S = 0.6
_SECONDS_PER_TOKEN = 0.012


class ServingState:
    """Decides whether one process accepts calls.

    Attributes:
        is_stopping: Whether a stop of the process was requested.
        stop_deadline_s: Latest instant at which the process stops, in seconds;
            infinite while no stop was requested.
        is_isolated: Whether no heartbeats from peers arrive.
    """

    __slots__ = ("is_stopping", "stop_deadline_s", "is_isolated")

    def __init__(self) -> None:
        self.is_stopping = False
        self.stop_deadline_s = float("inf")
        self.is_isolated = False

    def can_finish(self, call: calls.Call, now_s: float) -> bool:
        """Returns whether a call is expected to end before this process stops.

        Args:
            call: The call.
            now_s: Present instant, in seconds.
        """
        output_tokens = call.estimate_memory_tokens() - call.prompt_tokens
        expected_s = _FIRST_EVENT_S + output_tokens * _SECONDS_PER_TOKEN
        return now_s + expected_s < self.stop_deadline_s

    def check_serving(
        self, now_s: float, view: routing_view.RoutingView
    ) -> errors.Failure | None:
        """Returns why no call can be accepted now, or None.

        Args:
            now_s: Present instant, in seconds.
            view: Holds the configuration and the endpoints in force.

        Returns:
            `NOT_READY` before the first configuration; `STALE_RULES` if the
            configuration was confirmed more than `MAX_UNCONFIRMED_S` ago and no
            heartbeats from peers arrive; else None.
        """
        if view.configuration is None:
            return errors.Failure(
                errors.Kind.NOT_READY,
                "this process has not received a configuration yet",
                retry_after_s=0.3,
            )
        if (
            self.is_isolated
            and now_s - view.last_confirmed_s > MAX_UNCONFIRMED_S
        ):
            return errors.Failure(
                errors.Kind.STALE_RULES,
                "this process can reach neither the platform nor a peer",
                retry_after_s=0.5,
            )
        return None

    def is_ready(self, now_s: float, view: routing_view.RoutingView) -> bool:
        """Returns whether callers should send requests to this process."""
        if self.is_stopping or not view.endpoints:
            return False
        return self.check_serving(now_s, view) is None
