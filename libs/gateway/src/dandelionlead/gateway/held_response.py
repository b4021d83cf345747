"""Keeps an endpoint's error response while another endpoint is tried."""

from __future__ import annotations

from dandelionlead.http import body_buffer
from dandelionlead.http import intake
from dandelionlead.http import intake_memory
from dandelionlead.http import response_account
from dandelionlead.routing import calls


class HeldResponse:
    """The error response that a caller gets if no later attempt succeeds.

    Args:
        memory: Counts the body.

    Attributes:
        head: Status and headers; None while no response is kept.
        body: The whole body; None while no response is kept.
    """

    __slots__ = ("head", "body", "_memory", "_account")

    def __init__(self, memory: intake.Intake) -> None:
        self.head: calls.EndpointResponseHead | None = None
        self.body: body_buffer.BodyBuffer | None = None
        self._memory = memory
        self._account: response_account.ResponseAccount | None = None

    def try_keep(
        self, head: calls.EndpointResponseHead, body: body_buffer.BodyBuffer
    ) -> bool:
        """Keeps a response in place of an earlier one, if there is room.

        Args:
            head: Status and headers.
            body: The whole body.

        Returns:
            Whether the response is kept.
        """
        self.drop()
        account = self._memory.open_response(self.drop)
        try:
            account.hold(body.size)
        except intake_memory.IntakeFullError:
            account.close()
            return False
        self.head, self.body, self._account = head, body, account
        return True

    def drop(self) -> None:
        """Drops the response that is kept, if any."""
        if self._account is not None:
            self._account.close()
        self.head = self.body = self._account = None
