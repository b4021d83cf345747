"""Defines the interface that adapts the gateway to a platform's protocol.

A platform has its own headers, control requests and report formats. An
implementation of `PlatformCodec` converts them from and to the gateway's types.
"""

from __future__ import annotations

import abc

from dandelionlead.core import errors
from dandelionlead.http import client
from dandelionlead.routing import calls
from dandelionlead.routing import model


class ControlRequest:
    """A control request to an endpoint.

    Attributes:
        method: HTTP method.
        target: Path and query of the URL.
        headers: All headers.
        body: The complete body.
    """

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: client.Headers,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class PlatformCodec(abc.ABC):
    """Converts calls, responses and control requests of one platform."""

    @abc.abstractmethod
    def decode_call(
        self,
        method: bytes,
        target: bytes,
        headers: client.Headers,
        now_s: float,
    ) -> calls.Call | errors.Failure:
        """Converts the head of a caller's request.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers.
            now_s: Instant at which the head of the request was read, in
                seconds.

        Returns:
            The call without its body, or a failure if a header is not valid.
        """

    @abc.abstractmethod
    def encode_call_headers(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        remaining_s: float,
        *,
        resumption: calls.ResumePoint | None = None,
        backup_engine: model.Endpoint | None = None,
    ) -> client.Headers:
        """Returns the headers with which a call is sent to an endpoint.

        Args:
            admitted: The call.
            endpoint: The endpoint that gets the call.
            remaining_s: Seconds until the call's deadline.
            resumption: Point at which the endpoint resumes the call's earlier
                run; None if the endpoint runs the call from its start.
            backup_engine: Engine that keeps a backup of the run's KV cache;
                None for no backup.
        """

    @abc.abstractmethod
    def encode_relay_headers(
        self,
        call: calls.Call,
        remaining_s: float,
        origin: calls.RelayOrigin,
    ) -> client.Headers:
        """Returns the headers with which a call is passed on to a peer.

        The peer decodes the same call from them, API key included.

        Args:
            call: The call as its caller sent it.
            remaining_s: Seconds until the call's deadline.
            origin: States to the peer where the call comes from.
        """

    @abc.abstractmethod
    def decode_relay_origin(self, headers: client.Headers) -> calls.RelayOrigin:
        """Converts the headers that only a peer sends.

        Args:
            headers: All headers of a request that arrived at the port for
                peers. Names that are missing become empty.
        """

    @abc.abstractmethod
    def decode_response_head(
        self, head: client.ResponseHead
    ) -> calls.EndpointResponseHead:
        """Converts the head of an endpoint's response."""

    @abc.abstractmethod
    def encode_failure_headers(
        self, failure: errors.Failure, request_id: str
    ) -> client.Headers:
        """Returns the headers of the error response for a failure.

        Args:
            failure: Why no endpoint's response is forwarded.
            request_id: Id of the request; empty if the request could not be
                decoded.
        """

    @abc.abstractmethod
    def encode_copy_request(
        self,
        source: model.Endpoint,
        target: model.Endpoint,
        request_id: str,
        *,
        stops_source: bool,
    ) -> ControlRequest:
        """Returns the request to copy a run's KV cache to another engine.

        Args:
            source: Engine that runs the generation; the request is sent to it.
            target: Engine that receives the copy.
            request_id: Id of the run's request.
            stops_source: Whether the source stops the run for this copy.
        """

    @abc.abstractmethod
    def decode_copy_response(self, body: bytes) -> calls.MemoryCopy | None:
        """Converts the body of the response to a copy request.

        Returns:
            The copy; None if the body contains no handle.
        """

    @abc.abstractmethod
    def encode_free_copy_request(
        self, source: model.Endpoint, handle: str
    ) -> ControlRequest:
        """Returns the request to free an unused copy.

        Args:
            source: Engine that the copy was requested from.
            handle: Identifies the copy at that engine.
        """

    @abc.abstractmethod
    def encode_report_request(self, endpoint: model.Endpoint) -> ControlRequest:
        """Returns the request for an engine's report on itself."""

    @abc.abstractmethod
    def encode_status_request(
        self, endpoint: model.Endpoint, service: model.Service
    ) -> ControlRequest:
        """Returns the request for what an endpoint states of itself.

        Args:
            endpoint: The endpoint.
            service: Service of the endpoint.
        """

    @abc.abstractmethod
    def decode_status(
        self,
        head: calls.EndpointResponseHead,
        body: bytes,
        endpoint: model.Endpoint,
        service: model.Service,
        request_id: str,
    ) -> calls.EndpointStatus:
        """Converts the response to a request for an endpoint's status.

        Args:
            head: Head of the response.
            body: Body of the response.
            endpoint: The endpoint that the request was sent to.
            service: Service of the endpoint.
            request_id: Id of the call whose run is looked for in the response.
        """

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> calls.EngineReport | None:
        """Converts an engine's report; returns None if it is not valid."""
