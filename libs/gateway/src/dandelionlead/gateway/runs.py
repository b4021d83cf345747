"""Holds the state of one generation while it is relayed to its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model

if TYPE_CHECKING:
    import eventlet.event


class Run:
    """One execution of a call at an endpoint, mostly a generation.

    Attributes:
        admitted: The call.
        endpoint: The endpoint that runs the call; an engine for a generation.
        ticket: The run's share of the endpoint's load.
        tokens: KV cache tokens that the run needs at its end.
        moving: Whether the run is queued for migration by an evacuation.
        copy: The newest copy of the run's KV cache; None without one.
        copy_at: The engine that receives the copies; None without one.
        copy_ticket: The copy's share of that engine's load.
        stopped: Event that is sent the HTTP status of the request for the
            final copy, 0 if that failed; None before the request.
        moves: Number of attempts to resume the run at an engine.
        active: Whether the run is being relayed.
        backup_at: The engine that keeps a continuously updated copy of the
            run's KV cache; None without a backup.
        backup_ticket: The backup's share of that engine's load.
        sent_s: Instant at which the call was sent to its first endpoint, in
            seconds.
        queued_tokens: Prompt tokens that the endpoint had to process then up
            to the first event of this run.
    """

    __slots__ = (
        "admitted",
        "endpoint",
        "ticket",
        "tokens",
        "moving",
        "copy",
        "copy_at",
        "copy_ticket",
        "stopped",
        "moves",
        "active",
        "backup_at",
        "backup_ticket",
        "sent_s",
        "queued_tokens",
    )

    def __init__(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        ticket: loads.LoadReservation,
        tokens: int,
    ) -> None:
        self.admitted = admitted
        self.endpoint = endpoint
        self.ticket = ticket
        self.tokens = tokens
        self.moving = False
        self.copy: calls.MemoryCopy | None = None
        self.copy_at: model.Endpoint | None = None
        self.copy_ticket: loads.LoadReservation | None = None
        self.stopped: eventlet.event.Event | None = None
        self.moves = 0
        self.active = True
        self.backup_at: model.Endpoint | None = None
        self.backup_ticket: loads.LoadReservation | None = None
        self.sent_s = 0.0
        self.queued_tokens = 0

    @property
    def request_id(self) -> str:
        """Returns the request id of the call."""
        return self.admitted.call.request_id

    def forget_copy(self, book: loads.LoadTracker) -> None:
        """Removes the copy and its share of the target's load.

        The engine is not asked to free the copy.

        Args:
            book: The loads that `copy_ticket` belongs to.
        """
        self.copy = None
        self.copy_at = None
        if self.copy_ticket is not None:
            book.release(self.copy_ticket)
            self.copy_ticket = None
