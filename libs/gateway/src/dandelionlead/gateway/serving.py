"""Decides whether this process accepts calls and reports itself as ready."""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.routing import calls
from dandelionlead.routing import routing_view

# A process that can reach neither the platform nor a peer keeps accepting calls
# for this time after its configuration was last confirmed. The limit does not
# apply during an outage of the platform that affects all processes, since
# messages from peers still arrive.
MAX_UNCONFIRMED_S = 10.0
# Seconds for `Retry-After` of a call that another process can take at once.
_STOP_RETRY_AFTER_S = 0.05


class ServingState:
    """Decides whether one process accepts calls.

    Attributes:
        is_stopping: Whether a stop of the process was requested.
        stop_deadline_s: Latest instant at which the process stops, in seconds;
            infinite while no stop was requested.
        is_isolated: Whether no peer is live.
    """

    __slots__ = ("is_stopping", "stop_deadline_s", "is_isolated")

    def __init__(self) -> None:
        self.is_stopping = False
        self.stop_deadline_s = float("inf")
        self.is_isolated = False

    def can_finish(self, admitted: calls.AdmittedCall) -> bool:
        """Returns whether a call ends before this process stops.

        A call that is cut off at the end of the process gets no answer, and may
        have run. Its caller can go to another process at once. Therefore the
        latest end that a call may have decides, which is its deadline: even a
        short generation may wait for a long time in the queue of a full engine.

        Args:
            admitted: The call with its route.
        """
        return admitted.deadline_s < self.stop_deadline_s

    def find_stop_failure(
        self, admitted: calls.AdmittedCall
    ) -> errors.Failure | None:
        """Returns why this process must not start a call, or None.

        Args:
            admitted: The call; no endpoint may have run it.
        """
        return None if self.can_finish(admitted) else self.make_stop_failure()

    def make_stop_failure(self) -> errors.Failure:
        """Returns the failure of a call that this process must not start."""
        return errors.Failure(
            errors.Kind.NOT_READY,
            "this process is stopping and may end before the call does",
            retry_after_s=_STOP_RETRY_AFTER_S,
        )

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
            peer is live; else None.
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
