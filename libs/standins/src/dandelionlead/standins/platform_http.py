"""HTTP interface of the platform stand-in."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import eventlet

from dandelionlead.core import clock
from dandelionlead.platform import api
from dandelionlead.standins import platform_core
from dandelionlead.standins import web

_ADMIN_PATHS = ("/faults", "/counts")
_OBJECTS = "/objects/"
_INSTANCES = "/instances/"
_WEIGHTS = "/weights/"


class Service:
    """Answers requests from the state of a `platform_core.Platform`."""

    def __init__(self, platform: platform_core.Platform) -> None:
        self._platform = platform
        self._exact: dict[tuple[str, str], Callable] = {
            ("POST", "/tables/read"): self._read,
            ("POST", "/tables/transact"): self._transact,
            ("GET", "/instances"): self._list,
            ("POST", "/faults"): self._set_faults,
            ("GET", "/faults"): self._show_faults,
            ("GET", "/counts"): self._show_counts,
        }
        self._prefixed: dict[tuple[str, str], Callable] = {
            ("PUT", _OBJECTS): self._put_object,
            ("GET", _OBJECTS): self._get_object,
            ("PUT", _INSTANCES): self._put_instance,
            ("DELETE", _INSTANCES): self._delete_instance,
            ("PUT", _WEIGHTS): self._put_weights,
            ("GET", _WEIGHTS): self._get_weights,
        }

    def __call__(self, req: web.Request) -> Any:
        """Answers one request."""
        # An operator's changes of the list are no calls of the platform.
        operator = req.method != "GET" and req.path.startswith(_INSTANCES)
        if req.path not in _ADMIN_PATHS and not operator:
            eventlet.sleep(self._platform.faults["delay_s"])
            if self._platform.faults["outage"]:
                self._platform.count("refused")
                return web.error(503, "The platform is out of service.")
        handler = self._exact.get((req.method, req.path))
        if handler is not None:
            return handler(req)
        for (method, prefix), handler in self._prefixed.items():
            if req.method == method and req.path.startswith(prefix):
                return handler(req, req.path.removeprefix(prefix))
        return web.error(404, f"There is no {req.method} {req.path}.")

    def _read(self, req: web.Request) -> web.Response:
        keys = _keys(req.json())
        self._platform.count("reads")
        self._platform.count("rows_read", len(keys))
        found = self._platform.tables.read(keys, clock.boottime())
        return web.json_response(200, {"rows": [_row(row) for row in found]})

    def _transact(self, req: web.Request) -> Any:
        ops = _writes(req.json())
        try:
            outcome = self._platform.tables.transact(ops, clock.boottime())
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        if isinstance(outcome, platform_core.Lost):
            self._platform.count("lost")
            return web.NO_ANSWER
        if isinstance(outcome, api.Conflict):
            self._platform.count("conflicts")
            return web.json_response(409, {"failed": outcome.failed})
        self._platform.count("writes")
        self._platform.count("rows_written", len(ops))
        return web.json_response(200, {"versions": outcome.versions})

    def _put_object(self, req: web.Request, digest: str) -> web.Response:
        if not self._platform.objects.put(digest, req.body()):
            return web.error(400, "The digest is not that of the body.")
        self._platform.count("object_puts")
        return web.json_response(200, {"digest": digest})

    def _get_object(self, _req: web.Request, digest: str) -> web.Response:
        data = self._platform.objects.get(digest)
        self._platform.count("object_gets")
        if data is None:
            return web.error(404, f"There is no object {digest}.")
        return _binary(data)

    def _list(self, _req: web.Request) -> web.Response:
        self._platform.count("lists")
        shown = self._platform.instances.shown(clock.boottime())
        return web.json_response(200, {"instances": shown})

    def _put_instance(self, req: web.Request, name: str) -> web.Response:
        try:
            self._platform.instances.set(name, req.json(), clock.boottime())
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        return web.json_response(200, {"name": name})

    def _delete_instance(self, _req: web.Request, name: str) -> web.Response:
        self._platform.instances.remove(name, clock.boottime())
        return web.json_response(200, {"name": name})

    def _put_weights(self, req: web.Request, name: str) -> web.Response:
        size = req.json().get("bytes")
        if type(size) is not int or size < 0:
            raise web.BadRequestError("The field bytes is no whole number.")
        self._platform.weights.set_size(name, size)
        return web.json_response(200, {"name": name, "bytes": size})

    def _get_weights(self, _req: web.Request, name: str) -> web.Response:
        size = self._platform.weights.fetch(name, clock.boottime())
        if isinstance(size, platform_core.Limited):
            self._platform.count("weight_refusals")
            wait_s = math.ceil(size.retry_after_s)
            return web.json_response(
                429,
                {"error": "The rate limit is used up."},
                {"Retry-After": str(wait_s)},
            )
        self._platform.count("weight_fetches")
        return _binary(bytes(size))

    def _set_faults(self, req: web.Request) -> web.Response:
        try:
            self._platform.faults.update(req.json())
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        return self._show_faults(req)

    def _show_faults(self, _req: web.Request) -> web.Response:
        return web.json_response(200, self._platform.faults.values())

    def _show_counts(self, _req: web.Request) -> web.Response:
        return web.json_response(200, self._platform.counts)


def _binary(data: bytes) -> web.Response:
    headers = {"Content-Type": "application/octet-stream"}
    return web.Response(200, data, headers)


def _row(row: api.Row | None) -> dict[str, Any] | None:
    if row is None:
        return None
    return {"version": row.version, "value": row.value}


def _keys(body: dict[str, Any]) -> list[api.Key]:
    pairs = body.get("keys")
    if not isinstance(pairs, list):
        raise web.BadRequestError("The field keys is not a list.")
    return [_key(pair) for pair in pairs]


def _key(pair: Any) -> api.Key:
    if (
        not isinstance(pair, list)
        or len(pair) != 2
        or not all(isinstance(part, str) for part in pair)
    ):
        raise web.BadRequestError(f"A key is not [table, key]: {pair!r}.")
    return api.Key(*pair)


def _writes(body: dict[str, Any]) -> list[api.Write]:
    ops = body.get("ops")
    if not isinstance(ops, list):
        raise web.BadRequestError("The field ops is not a list.")
    return [_write(op) for op in ops]


def _write(op: Any) -> api.Write:
    if not isinstance(op, dict):
        raise web.BadRequestError(f"An operation is no object: {op!r}.")
    version = op.get("if_version")
    if type(version) is not int or version < 0:
        raise web.BadRequestError(f"if_version is not a version: {op!r}.")
    if "value" not in op:
        raise web.BadRequestError(f"An operation has no value: {op!r}.")
    key = _key([op.get("table"), op.get("key")])
    return api.Write(key, version, op["value"])
