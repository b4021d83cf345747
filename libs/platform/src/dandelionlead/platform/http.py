"""HTTP clients of the platform's services, without automatic retries."""

from __future__ import annotations

import hashlib
import json
import re
import urllib.parse
from collections.abc import Sequence
from typing import Any

import urllib3
from urllib3 import connection
from urllib3 import exceptions

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.platform import api

TIMEOUT_S = 1.0
# A pooled connection may go silent while it is idle, which only a lost call
# would show; one that was idle for longer is replaced.
IDLE_LIMIT_S = 5.0
_POOLED_CONNECTIONS = 64
_CHUNK_BYTES = 1 << 20
_DIGEST = re.compile(r"[0-9a-f]{64}")
_LISTED_FIELDS = ("name", "http", "control", "availability_zone", "state")
# The request was not sent: no connection was made. The base class PoolError
# is not listed, because a ReadTimeoutError is one too.
_NOT_SENT = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
    exceptions.EmptyPoolError,
    exceptions.ClosedPoolError,
    exceptions.LocationValueError,
)
# With these statuses the service says that it did not run the request.
_REFUSED_STATUSES = frozenset((400, 401, 403, 404, 405, 413, 429, 503))


class _Reply:
    __slots__ = ("status", "headers", "data")

    def __init__(self, status: int, headers: Any, data: bytes) -> None:
        self.status = status
        self.headers = headers
        self.data = data


class _Unanswered:
    """A call without a complete response; `sent` if it may have run."""

    __slots__ = ("sent", "reason")

    def __init__(self, sent: bool, reason: str) -> None:
        self.sent = sent
        self.reason = reason


class _Connection(connection.HTTPConnection):
    """Connection that counts as dropped after it was idle for too long."""

    _used_at = 0.0

    @property
    def is_connected(self) -> bool:
        """Whether the pool may use the connection again."""
        if clock.boottime() - self._used_at > IDLE_LIMIT_S:
            return False
        return super().is_connected

    def getresponse(self) -> Any:
        """Receives a response's head and notes the time."""
        response = super().getresponse()
        self._used_at = clock.boottime()
        return response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Transport:
    """Connections to one platform address; shared by its clients."""

    def __init__(self, address: str, *, timeout_s: float = TIMEOUT_S) -> None:
        """Prepares a pool; the first call connects.

        Args:
            address: Address `ip:port` of the platform.
            timeout_s: Limit for connecting and for each wait for data.
        """
        host, _, port = address.rpartition(":")
        self._pool = _Pool(
            host,
            int(port),
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
            retries=False,
            maxsize=_POOLED_CONNECTIONS,
            block=False,
        )

    def request(
        self, method: str, path: str, body: bytes | None = None
    ) -> _Reply | _Unanswered:
        """Sends one request once and reads the complete response."""
        try:
            response = self._pool.urlopen(
                method, path, body=body, retries=False
            )
        except _NOT_SENT as exc:
            return _Unanswered(False, _describe(exc))
        except (exceptions.HTTPError, OSError) as exc:
            return _Unanswered(True, _describe(exc))
        return _Reply(response.status, response.headers, response.data)

    def count_bytes(self, path: str) -> _Reply | _Unanswered | int:
        """Returns the size of a body without keeping it in memory.

        A response with another status than 200 is returned as a reply.
        """
        response = None
        try:
            response = self._pool.urlopen(
                "GET", path, retries=False, preload_content=False
            )
            if response.status != 200:
                data = response.read()
                return _Reply(response.status, response.headers, data)
            return sum(len(part) for part in response.stream(_CHUNK_BYTES))
        except (exceptions.HTTPError, OSError) as exc:
            return _Unanswered(True, _describe(exc))
        finally:
            if response is not None:
                response.release_conn()

    def close(self) -> None:
        """Closes idle connections; the transport is not used afterwards."""
        self._pool.close()


def connect(address: str) -> api.Platform:
    """Returns clients of the platform's services at `ip:port`."""
    transport = Transport(address)
    return api.Platform(
        HttpTable(transport), HttpObjects(transport), HttpInstances(transport)
    )


class HttpTable(api.TableService):
    """Client of the table service."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def read(
        self, keys: Sequence[api.Key]
    ) -> list[api.Row | None] | errors.Failure:
        """Reads rows; fails when no complete response arrives."""
        body = {"keys": [[key.table, key.key] for key in keys]}
        reply = self._transport.request("POST", "/tables/read", _dump(body))
        value = _json_of(reply, "The table service")
        if isinstance(value, errors.Failure):
            return value
        try:
            rows = [_row(item) for item in value["rows"]]
        except (KeyError, TypeError, ValueError) as exc:
            return _unavailable(f"The table service sent bad rows: {exc!r}.")
        if len(rows) != len(keys):
            return _unavailable("The table service sent a wrong row count.")
        return rows

    def transact(self, ops: Sequence[api.Write]) -> api.Outcome:
        """Applies all writes or none of them; sends them once."""
        body = {"ops": [_op(op) for op in ops]}
        reply = self._transport.request("POST", "/tables/transact", _dump(body))
        if isinstance(reply, _Unanswered):
            if reply.sent:
                return api.OutcomeUnknown(reply.reason)
            return api.Unavailable(reply.reason)
        if reply.status in _REFUSED_STATUSES:
            return api.Unavailable(_refusal("The table service", reply))
        return _outcome(reply, len(ops))


class HttpObjects(api.ObjectStore):
    """Client of the object store."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def put(self, data: bytes) -> str | errors.Failure:
        """Stores an object; it may be stored even if this fails."""
        digest = hashlib.sha256(data).hexdigest()
        reply = self._transport.request("PUT", f"/objects/{digest}", data)
        failure = _failure_of(reply, "The object store")
        return digest if failure is None else failure

    def get(self, digest: str) -> bytes | errors.Failure:
        """Returns an object, after a check against its digest."""
        if not _DIGEST.fullmatch(digest):
            return errors.Failure(
                errors.Kind.BAD_REQUEST, f"{digest!r} is not a SHA-256 digest."
            )
        reply = self._transport.request("GET", f"/objects/{digest}")
        failure = _failure_of(reply, "The object store")
        if failure is not None:
            return failure
        if hashlib.sha256(reply.data).hexdigest() != digest:
            return _unavailable(f"The object {digest} has another content.")
        return reply.data


class HttpInstances(api.InstanceList):
    """Client of the instance list."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def fetch(self) -> list[api.Listed] | errors.Failure:
        """Returns the list as the platform shows it now."""
        reply = self._transport.request("GET", "/instances")
        value = _json_of(reply, "The instance list")
        if isinstance(value, errors.Failure):
            return value
        try:
            return [_listed(item) for item in value["instances"]]
        except (KeyError, TypeError, ValueError) as exc:
            return _unavailable(f"The instance list is malformed: {exc!r}.")


class HttpWeights(api.WeightStore):
    """Client of the weight store."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def fetch(self, name: str) -> int | errors.Failure:
        """Fetches weights and returns their size in bytes.

        A response of the rate limit gives a failure of kind `OVERLOADED` with
        the wait that the store asks for.
        """
        quoted = urllib.parse.quote(name, safe="")
        reply = self._transport.count_bytes(f"/weights/{quoted}")
        if isinstance(reply, int):
            return reply
        if isinstance(reply, _Reply) and reply.status == 429:
            return errors.Failure(
                errors.Kind.OVERLOADED,
                _refusal("The weight store", reply),
                retry_after_s=_retry_after_s(reply),
            )
        failure = _failure_of(reply, "The weight store")
        assert failure is not None
        return failure


def _describe(exc: Exception) -> str:
    return f"{type(exc).__name__}: {exc}"


def _unavailable(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, reason)


def _refusal(service: str, reply: _Reply) -> str:
    return f"{service} answered with status {reply.status}."


def _failure_of(
    reply: _Reply | _Unanswered, service: str
) -> errors.Failure | None:
    if isinstance(reply, _Unanswered):
        return _unavailable(f"{service} did not answer: {reply.reason}")
    if reply.status != 200:
        return _unavailable(_refusal(service, reply))
    return None


def _json_of(
    reply: _Reply | _Unanswered, service: str
) -> dict[str, Any] | errors.Failure:
    failure = _failure_of(reply, service)
    if failure is not None:
        return failure
    try:
        return _object(reply.data)
    except ValueError as exc:
        return _unavailable(f"{service} sent bad JSON: {exc}")


def _object(data: bytes) -> dict[str, Any]:
    value = json.loads(data)
    if not isinstance(value, dict):
        raise ValueError("The body is not a JSON object.")
    return value


def _dump(value: Any) -> bytes:
    return json.dumps(value).encode()


def _op(op: api.Write) -> dict[str, Any]:
    return {
        "table": op.key.table,
        "key": op.key.key,
        "if_version": op.if_version,
        "value": op.value,
    }


def _outcome(reply: _Reply, count: int) -> api.Outcome:
    try:
        value = _object(reply.data)
        if reply.status == 200:
            return api.Committed(_versions(value["versions"], count))
        if reply.status == 409:
            return api.Conflict(_indexes(value["failed"], count))
    except (KeyError, TypeError, ValueError) as exc:
        return api.OutcomeUnknown(f"The response is malformed: {exc!r}.")
    return api.OutcomeUnknown(_refusal("The table service", reply))


def _versions(items: list[Any], count: int) -> list[int]:
    if len(items) != count or not all(type(item) is int for item in items):
        raise ValueError(f"bad versions {items!r}")
    return items


def _indexes(items: list[Any], count: int) -> list[int]:
    known = set(range(count))
    if not items or not all(
        type(item) is int and item in known for item in items
    ):
        raise ValueError(f"bad indexes {items!r}")
    return items


def _row(item: dict[str, Any] | None) -> api.Row | None:
    if item is None:
        return None
    version, value = item["version"], item["value"]
    if type(version) is not int or not isinstance(value, dict):
        raise ValueError(f"bad row {item!r}")
    return api.Row(version, value)


def _listed(item: dict[str, Any]) -> api.Listed:
    fields = [item[name] for name in _LISTED_FIELDS]
    if not all(isinstance(field, str) for field in fields):
        raise ValueError(f"bad instance {item!r}")
    return api.Listed(*fields)


def _retry_after_s(reply: _Reply) -> float | None:
    try:
        return float(reply.headers.get("Retry-After", ""))
    except ValueError:
        return None
