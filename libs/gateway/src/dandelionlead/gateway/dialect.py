"""What the gateway needs translated to and from a platform's own words."""

from __future__ import annotations

import abc

from dandelionlead.core import errors
from dandelionlead.http import channel
from dandelionlead.routing import calls
from dandelionlead.routing import model


class Message:
    """A control request to an endpoint."""

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: channel.Headers,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Dialect(abc.ABC):
    """Translates calls, answers and control requests of one platform."""

    @abc.abstractmethod
    def read_call(
        self,
        method: bytes,
        target: bytes,
        headers: channel.Headers,
        now_s: float,
    ) -> calls.Call | errors.Failure:
        """Reads the head of a caller's request."""

    @abc.abstractmethod
    def call_headers(
        self,
        admitted: calls.Admitted,
        endpoint: model.Endpoint,
        left_s: float,
        *,
        resumption: calls.Resumption | None = None,
        backup: model.Endpoint | None = None,
    ) -> channel.Headers:
        """Returns the headers of a call as it is sent to an endpoint."""

    @abc.abstractmethod
    def read_answer(self, head: channel.Head) -> calls.AnswerHead:
        """Reads the head of an endpoint's response."""

    @abc.abstractmethod
    def failure_headers(
        self, failure: errors.Failure, request_id: str
    ) -> channel.Headers:
        """Returns the headers of an answer that the system itself gives."""

    @abc.abstractmethod
    def copy_run(
        self,
        source: model.Endpoint,
        destination: model.Endpoint,
        request_id: str,
        *,
        stop: bool,
    ) -> Message:
        """Returns the request that copies a run's memory; `stop` ends it."""

    @abc.abstractmethod
    def read_copy(self, body: bytes) -> calls.Copy | None:
        """Reads what `copy_run` was answered; None without a handle."""

    @abc.abstractmethod
    def free_copy(self, source: model.Endpoint, handle: str) -> Message:
        """Returns the request that frees an unused copy."""

    @abc.abstractmethod
    def ask_report(self, endpoint: model.Endpoint) -> Message:
        """Returns the request for an engine's own report."""

    @abc.abstractmethod
    def read_report(self, body: bytes) -> calls.Report | None:
        """Reads an engine's report; None if it cannot be read."""
