"""A generation that is being relayed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model

if TYPE_CHECKING:
    import eventlet.event


class Run:
    """One generation on its way to the caller.

    Attributes:
        admitted: The call.
        endpoint: The engine that runs it.
        ticket: Its share of that engine's load.
        tokens: Engine memory that it will take at its end.
        moving: Whether it is in the queue of an evacuation.
        copy: The newest copy of its memory.
        copy_at: The engine that holds the copy.
        copy_ticket: The copy's share of that engine's load.
        stopped: Receives a `calls.Copy` or a failure once the last copy was
            asked for; None before.
        moves: Times that it has moved.
        active: Whether it has not ended.
        backup_at: The engine that keeps a growing copy of its memory.
        backup_ticket: The backup's share of that engine's load.
        sent_s: When it was sent to its first engine.
        queued_tokens: Prompt tokens that the engine had to read for it then.
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
        admitted: calls.Admitted,
        endpoint: model.Endpoint,
        ticket: loads.Ticket,
        tokens: int,
    ) -> None:
        self.admitted = admitted
        self.endpoint = endpoint
        self.ticket = ticket
        self.tokens = tokens
        self.moving = False
        self.copy: calls.Copy | None = None
        self.copy_at: model.Endpoint | None = None
        self.copy_ticket: loads.Ticket | None = None
        self.stopped: eventlet.event.Event | None = None
        self.moves = 0
        self.active = True
        self.backup_at: model.Endpoint | None = None
        self.backup_ticket: loads.Ticket | None = None
        self.sent_s = 0.0
        self.queued_tokens = 0

    @property
    def request_id(self) -> str:
        """The id of the caller's attempt."""
        return self.admitted.call.request_id

    def forget_copy(self, book: loads.LoadBook) -> None:
        """Forgets the copy and the load that it stands for."""
        self.copy = None
        self.copy_at = None
        if self.copy_ticket is not None:
            book.end(self.copy_ticket)
            self.copy_ticket = None
