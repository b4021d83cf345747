"""Connections to engines and plain services."""

from __future__ import annotations

from typing import Any

import eventlet
import urllib3

from dandelionlead.core import errors
from dandelionlead.streams import relay

CONNECT_TIMEOUT_S = 1.0
# Between two tokens an engine may be silent for this long.
SILENCE_S = 2.0
CONTROL_TIMEOUT_S = 2.0
_READ_BYTES = 65536
_LOST_STATUS = (404, 410)


class EngineReader(relay.Reader):
    """One streamed answer of an engine."""

    def __init__(self, resp: urllib3.BaseHTTPResponse) -> None:
        self._resp = resp

    def read(self) -> bytes | errors.Failure:
        """Returns what has arrived, as one piece."""
        # The time limit of the socket is that of the first answer, which is
        # longer.
        with eventlet.Timeout(SILENCE_S, False):
            return self._read()
        return _failed(f"no bytes for {SILENCE_S:g} s")

    def _read(self) -> bytes | errors.Failure:
        try:
            return self._resp.read1(_READ_BYTES)
        except urllib3.exceptions.ReadTimeoutError:
            return _failed(f"no bytes for {SILENCE_S:g} s")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return _failed(f"the connection broke: {exc}")

    def close(self) -> None:
        """Closes the connection; it is never used for another answer."""
        self._resp.close()


class EngineStart:
    """Answer of an engine to the start of a generation.

    Attributes:
        reader: Brings the events.
        engine_start: Incarnation of the engine.
        version: Version that the engine runs.
    """

    __slots__ = ("reader", "engine_start", "version")

    def __init__(
        self, reader: EngineReader, engine_start: str, version: str
    ) -> None:
        self.reader = reader
        self.engine_start = engine_start
        self.version = version


class EngineClient:
    """Starts, attaches to and cancels generations.

    Connections carry one streamed answer and are closed after it, so that
    bytes left over from one answer can never reach another request.
    """

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(
            num_pools=64,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=SILENCE_S),
        )

    def start(
        self,
        address: str,
        path: str,
        body: bytes,
        *,
        request_id: str,
        generation_id: str,
        route: str,
        priority: int,
        first_answer_s: float,
    ) -> EngineStart | errors.Failure:
        """Starts a generation with a streamed answer.

        Returns:
            The answer once its headers are there, or a failure:
            ENDPOINT_UNREACHABLE if nothing was sent, OVERLOADED if the
            engine refused the generation, ENDPOINT_FAILED otherwise.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
            "X-Generation-Id": generation_id,
            "X-Route": route,
            "X-Priority": str(priority),
            "Connection": "close",
        }
        resp = self._open(
            "POST",
            f"http://{address}{path}",
            headers=headers,
            body=body,
            read_s=first_answer_s,
        )
        if isinstance(resp, errors.Failure):
            return resp
        if resp.status != 200:
            return _refused(resp)
        echoed = resp.headers.get("X-Generation-Id")
        if echoed != generation_id:
            resp.close()
            return _failed(f"the answer is of generation {echoed}")
        return EngineStart(
            EngineReader(resp),
            resp.headers.get("X-Engine-Start", ""),
            resp.headers.get("X-Version", ""),
        )

    def attach(
        self, address: str, generation_id: str, after: int
    ) -> EngineReader | errors.Failure:
        """Attaches to a generation after a position."""
        resp = self._open(
            "GET",
            f"http://{address}/v1/generations/{generation_id}?after={after}",
            headers={"Connection": "close"},
            read_s=SILENCE_S,
        )
        if isinstance(resp, errors.Failure):
            return resp
        if resp.status in _LOST_STATUS:
            resp.close()
            return errors.Failure(
                errors.Kind.GENERATION_UNKNOWN,
                "the endpoint no longer has the generation",
            )
        if resp.status != 200:
            return _refused(resp)
        if resp.headers.get("X-Generation-Id") != generation_id:
            resp.close()
            return _failed("the answer is of another generation")
        return EngineReader(resp)

    def cancel(self, address: str, generation_id: str) -> bool:
        """Cancels a generation; returns whether the engine confirmed it."""
        with eventlet.Timeout(CONTROL_TIMEOUT_S, False):
            resp = self._open(
                "DELETE",
                f"http://{address}/v1/generations/{generation_id}",
                headers={"Connection": "close"},
                read_s=CONTROL_TIMEOUT_S,
            )
            if isinstance(resp, errors.Failure):
                return False
            resp.close()
            return resp.status in (200, 204, *_LOST_STATUS)
        return False

    def load(self, address: str) -> dict[str, Any] | errors.Failure:
        """Returns the load report of an engine."""
        report = _failed("no whole load report in time")
        with eventlet.Timeout(CONTROL_TIMEOUT_S, False):
            resp = self._open(
                "GET",
                f"http://{address}/load",
                headers={"Connection": "close"},
                read_s=CONTROL_TIMEOUT_S,
            )
            if isinstance(resp, errors.Failure):
                return resp
            report = _json_object(resp)
        return report

    def _open(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str],
        read_s: float,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse | errors.Failure:
        try:
            return self._http.request(
                method,
                url,
                headers=headers,
                body=body,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return errors.Failure(
                errors.Kind.ENDPOINT_UNREACHABLE, f"{url}: {exc}"
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return _failed(f"{url}: {exc}")


def _json_object(
    resp: urllib3.BaseHTTPResponse,
) -> dict[str, Any] | errors.Failure:
    try:
        value = resp.json()
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        return _failed(f"the answer cannot be read: {exc}")
    finally:
        resp.close()
    if resp.status != 200 or not isinstance(value, dict):
        return _failed(f"the answer has status {resp.status}")
    return value


def _refused(resp: urllib3.BaseHTTPResponse) -> errors.Failure:
    status = resp.status
    resp.close()
    if status in (429, 503):
        return errors.Failure(
            errors.Kind.OVERLOADED, f"the endpoint refused with {status}"
        )
    return _failed(f"the endpoint answered {status}")


def _failed(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_FAILED, reason)
