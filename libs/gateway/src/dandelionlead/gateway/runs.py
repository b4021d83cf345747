"""Holds the state of one run while its response is forwarded."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model

if TYPE_CHECKING:
    import eventlet.event


class StopResult(enum.Enum):
    """What is known of a run after its final copy was requested.

    Attributes:
        STOPPED: The engine has stopped the run.
        NOT_STOPPED: The engine states that this request did not stop the run,
            which therefore ends by itself or had ended before. A run that was
            preempted may also be unknown to the engine until it goes on.
        UNREACHABLE: The engine has ended, or accepts no connection.
        UNKNOWN: The engine may have stopped the run. There was no response, or
            one that does not tell.
    """

    STOPPED = "stopped"
    NOT_STOPPED = "not_stopped"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class Run:
    """One execution of a call: a generation or a request to a plain service.

    A generation that is resumed at another engine keeps its `Run` object.

    Attributes:
        admitted: The call.
        endpoint: The endpoint that runs the call; an engine for a generation.
        reservation: The run's share of the endpoint's load.
        memory_tokens: KV cache tokens that the run occupies when it ends; 0 for
            a plain service.
        is_migration_queued: Whether the run is queued for migration by an
            evacuation.
        memory_copy: The newest copy of the run's KV cache that was made for a
            migration or to stop the run; None if there is no copy. Set by the
            evacuation or the stop, and only while `copy_target` is the engine
            that the copy was made for. Removed by the relay, before it tries
            to resume the run from it.
        copy_target: The engine that receives the copies; None before it is
            chosen. Set by the evacuation or the stop, removed together with
            `memory_copy`.
        copy_reservation: The copy's share of the load of `copy_target`.
        stop_event: Event that is triggered when the request for the final copy
            ends; its value is a `StopResult`. None until the final copy is
            requested.
        resumption_count: Number of attempts to resume the run at an engine.
        is_active: Whether the run is in progress; False once its relay has
            ended.
        backup_engine: The engine that keeps a backup of the run's KV cache;
            None if there is no backup.
        backup_reservation: The backup's share of the load of `backup_engine`.
        sent_s: Instant at which the call was sent to the first endpoint of the
            run, in seconds.
        prefill_backlog_tokens: Prompt tokens that the first endpoint had yet to
            read at `sent_s`, including the prompt of the run.
    """

    __slots__ = (
        "admitted",
        "endpoint",
        "reservation",
        "memory_tokens",
        "is_migration_queued",
        "memory_copy",
        "copy_target",
        "copy_reservation",
        "stop_event",
        "resumption_count",
        "is_active",
        "backup_engine",
        "backup_reservation",
        "sent_s",
        "prefill_backlog_tokens",
    )

    def __init__(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        reservation: loads.LoadReservation,
        memory_tokens: int,
    ) -> None:
        self.admitted = admitted
        self.endpoint = endpoint
        self.reservation = reservation
        self.memory_tokens = memory_tokens
        self.is_migration_queued = False
        self.memory_copy: calls.MemoryCopy | None = None
        self.copy_target: model.Endpoint | None = None
        self.copy_reservation: loads.LoadReservation | None = None
        self.stop_event: eventlet.event.Event | None = None
        self.resumption_count = 0
        self.is_active = True
        self.backup_engine: model.Endpoint | None = None
        self.backup_reservation: loads.LoadReservation | None = None
        self.sent_s = 0.0
        self.prefill_backlog_tokens = 0

    @property
    def request_id(self) -> str:
        """Returns the request id of the call."""
        return self.admitted.call.request_id

    @property
    def is_stop_pending(self) -> bool:
        """Whether a request for the final copy is in progress."""
        return self.stop_event is not None and not self.stop_event.ready()

    @property
    def may_be_stopped(self) -> bool:
        """Whether a request for the final copy may have stopped the run."""
        if self.stop_event is None or self.is_stop_pending:
            return self.stop_event is not None
        return self.stop_event.wait() in (
            StopResult.STOPPED,
            StopResult.UNKNOWN,
        )

    def clear_copy(self, load_tracker: loads.LoadTracker) -> None:
        """Removes the copy and its share of the target's load.

        Sends no request to free the copy at the engine.

        Args:
            load_tracker: Tracks the load that `copy_reservation` is part of.
        """
        self.memory_copy = None
        self.copy_target = None
        if self.copy_reservation is not None:
            load_tracker.release(self.copy_reservation)
            self.copy_reservation = None
