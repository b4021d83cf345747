"""HTTP interface of the plain service stand-in."""

from __future__ import annotations

import json
from typing import Any

import eventlet

from dandelionlead.standins import listening
from dandelionlead.standins import service_core
from dandelionlead.standins import web

_METHODS = ("GET", "POST")


class Service:
    """Answers any path from a `service_core.Core`."""

    def __init__(
        self, core: service_core.Core, listener: listening.Listener
    ) -> None:
        self._core = core
        self._listener = listener

    def __call__(self, req: web.Request) -> Any:
        """Answers one request."""
        if (req.method, req.path) == ("POST", "/faults"):
            return self._set_faults(req)
        if (req.method, req.path) == ("GET", "/faults"):
            return web.json_response(200, self._core.faults.values())
        if (req.method, req.path) == ("GET", "/counts"):
            return web.json_response(200, self._core.counts())
        if req.method not in _METHODS:
            return web.error(405, f"{req.method} is not served.")
        return self._call(req)

    def _call(self, req: web.Request) -> Any:
        call = service_core.Call(
            req.method,
            req.path,
            req.header("X-Request-Id"),
            req.header("Idempotency-Key"),
            req.body(),
        )
        if self._core.faults.take("delay"):
            eventlet.sleep(self._core.faults["delay_s"])
        ending = self._core.begin()
        if ending is service_core.Ending.FAIL_BEFORE:
            return web.error(503, "The service failed before the call ran.")
        own = self._core.execute(call)
        if ending is service_core.Ending.LOSE_ANSWER:
            return web.NO_ANSWER
        if ending is service_core.Ending.CROSS:
            return _response(self._core.crossed(own))
        self._core.answered(own)
        if ending is service_core.Ending.TRUNCATE:
            return _truncated(own)
        return _response(own)

    def _set_faults(self, req: web.Request) -> web.Response:
        try:
            self._core.faults.update(req.json())
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        refuse_s = self._core.faults["refuse_s"]
        if refuse_s > 0:
            self._core.faults.update({"refuse_s": 0.0})
            self._listener.refuse_for(refuse_s)
        return web.json_response(200, self._core.faults.values())


def _response(answer: service_core.Answer) -> web.Response:
    headers = {"X-Request-Id": answer.request_id}
    return web.json_response(200, answer.content, headers)


def _truncated(answer: service_core.Answer) -> web.Response:
    data = json.dumps(answer.content).encode()
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        "X-Request-Id": answer.request_id,
    }
    return web.Response(200, web.first_half(data), headers)
