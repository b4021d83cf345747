"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import contextlib
import json
import os
import re
import sys
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import eventlet
from eventlet import event as event_module

from dandelionlead.core import clock
from dandelionlead.standins import engine_control
from dandelionlead.standins import engine_core
from dandelionlead.standins import engine_events
from dandelionlead.standins import engine_faults
from dandelionlead.standins import listening
from dandelionlead.standins import sockets
from dandelionlead.standins import web

CRASH_EXIT_CODE = 70
RECLAIMED_EXIT_CODE = 0
_GENERATIONS = "/v1/generations/"
# Interval at which a reader without new tokens checks its connection.
_PEER_CHECK_S = 1.0
_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
_REFUSALS = {
    engine_core.Refusal.EXISTS: 409,
    engine_core.Refusal.TOO_LONG: 400,
    engine_core.Refusal.COLD_OVERLOAD: 500,
    engine_core.Refusal.CRASHED: 500,
}


class _Served:
    """What the HTTP layer knows of a generation beside the core."""

    __slots__ = ("gen", "path", "model", "reason", "version", "writer")

    def __init__(
        self,
        gen: engine_core.Generation,
        path: str,
        body: dict[str, Any],
        version: str,
    ) -> None:
        self.gen = gen
        self.path = path
        self.model = str(body.get("model", ""))
        self.reason = "stop" if "standin_tokens" in body else "length"
        self.version = version
        self.writer = engine_events.Writer(
            gen.id, gen.asked.output_tokens, path, self.reason
        )


class Server:
    """Answers requests from an `engine_core.Engine` in real time."""

    def __init__(
        self,
        settings: engine_core.Settings,
        control: engine_control.Control,
        listener: listening.Listener,
        *,
        order_s: float = 0.0,
    ) -> None:
        """Creates a server; `run_steps` has to run beside it.

        Args:
            settings: Speed, memory and faults of the engine.
            control: State that orders change.
            listener: Listener, which a fault can close for a while.
            order_s: Seconds that the engine takes to follow an order.
        """
        self._settings = settings
        self._control = control
        self._listener = listener
        self._order_s = order_s
        self._engine = engine_core.Engine(settings, clock.boottime())
        self._engine_start = uuid.uuid4().hex
        self._faults = engine_faults.EngineFaults(settings.seed)
        self._served: dict[str, _Served] = {}
        self._changes: dict[str, event_module.Event] = {}
        self._work = event_module.Event()
        self._stalled_until = 0.0
        self._counts = {
            "requests": 0,
            "submitted": 0,
            "submitted_while_draining": 0,
            "attached": 0,
            "cancelled": 0,
            "failed": 0,
            "refused": 0,
        }
        self._last_submit_at: float | None = None
        self._exact: dict[tuple[str, str], Callable] = {
            ("POST", engine_events.CHAT_PATH): self._generate,
            ("POST", engine_events.TEXT_PATH): self._generate,
            ("GET", "/load"): self._load,
            ("GET", "/cache_events"): self._cache_events,
            ("POST", "/control"): self._order,
            ("GET", "/control"): self._show_control,
        }
        self._admin: dict[tuple[str, str], Callable] = {
            ("POST", "/faults"): self._set_faults,
            ("GET", "/faults"): self._show_faults,
            ("GET", "/counts"): self._show_counts,
        }

    def __call__(self, req: web.Request) -> Any:
        """Answers one request."""
        admin = self._admin.get((req.method, req.path))
        if admin is not None:
            return admin(req)
        self._wait_out_stall()
        handler = self._exact.get((req.method, req.path))
        if handler is not None:
            return handler(req)
        if req.path.startswith(_GENERATIONS):
            generation_id = req.path.removeprefix(_GENERATIONS)
            if req.method == "GET":
                return self._attach(req, generation_id)
            if req.method == "DELETE":
                return self._cancel(generation_id)
        return web.error(404, f"There is no {req.method} {req.path}.")

    def run_steps(self) -> None:
        """Runs the engine's steps when they are due; never returns."""
        while True:
            self._wait_for_step()
            self._engine.slow_factor = self._faults.slow_factor(
                running=self._engine.running, version=self._control.version
            )
            for gen in self._engine.advance(clock.boottime()):
                self._wake(gen.id)
            self._exit_if_crashed()
            self._forget()

    def _wait_for_step(self) -> None:
        due = self._engine.next_step_at()
        if due is None:
            self._work = event_module.Event()
            self._work.wait()
            return
        eventlet.sleep(max(0.0, due - clock.boottime()))

    def _wake(self, generation_id: str) -> None:
        change = self._changes.pop(generation_id, None)
        if change is not None:
            change.send(True)

    def _exit_if_crashed(self) -> None:
        if self._engine.crashed:
            sys.stderr.write(f"crash reason={self._engine.crashed!r}\n")
            sys.stderr.flush()
            os._exit(CRASH_EXIT_CODE)

    def _forget(self) -> None:
        if len(self._served) <= 2 * engine_core.KEPT_ENDED:
            return
        now = clock.boottime()
        self._served = {
            name: served
            for name, served in self._served.items()
            if self._engine.find(name, now) is not None
        }

    def _generate(self, req: web.Request) -> Any:
        self._counts["requests"] += 1
        body = req.json()
        generation_id = req.header("X-Generation-Id") or uuid.uuid4().hex
        if not _ID.fullmatch(generation_id):
            raise web.BadRequestError("X-Generation-Id is not an id.")
        asked = self._asked(req, body, generation_id)
        doom = self._faults.doom(
            route=req.header("X-Route"),
            running=self._engine.running,
            version=self._control.version,
        )
        if doom is engine_faults.Doom.STATUS:
            self._counts["failed"] += 1
            return self._refused(req, generation_id, 500, "The engine failed.")
        gen = self._engine.submit(asked, clock.boottime())
        self._exit_if_crashed()
        if isinstance(gen, engine_core.Refusal):
            self._counts["refused"] += 1
            status = _REFUSALS[gen]
            return self._refused(req, generation_id, status, gen.value)
        self._count_submission()
        served = _Served(gen, req.path, body, self._control.version)
        self._served[gen.id] = served
        fails_at = 0
        if doom is engine_faults.Doom.MID_STREAM:
            self._counts["failed"] += 1
            fails_at = asked.output_tokens // 2 + 1
        script = self._faults.script(
            silent_after=_optional_number(body, "standin_silent_after"),
            fails_at=fails_at,
        )
        self._engine.attach(gen, clock.boottime())
        if body.get("stream"):
            return self._stream_response(req, served, 0, script)
        return self._complete_response(req, served, script)

    def _asked(
        self, req: web.Request, body: dict[str, Any], generation_id: str
    ) -> engine_core.Submission:
        try:
            return engine_core.submission(
                generation_id,
                body,
                request_id=req.header("X-Request-Id"),
                priority=int(req.header("X-Priority", "0")),
                crash_marker=self._settings.crash_marker,
            )
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc

    def _count_submission(self) -> None:
        self._counts["submitted"] += 1
        if self._faults.active["draining"]:
            self._counts["submitted_while_draining"] += 1
        self._last_submit_at = clock.boottime()
        if not self._work.ready():
            self._work.send()

    def _refused(
        self, req: web.Request, generation_id: str, status: int, reason: str
    ) -> web.Response:
        headers = self._headers(req, generation_id, self._control.version)
        return web.json_response(status, {"error": reason}, headers)

    def _headers(
        self, req: web.Request, generation_id: str, version: str
    ) -> dict[str, str]:
        return {
            "X-Generation-Id": generation_id,
            "X-Request-Id": req.header("X-Request-Id"),
            "X-Engine-Start": self._engine_start,
            "X-Version": version,
        }

    def _stream_response(
        self,
        req: web.Request,
        served: _Served,
        after: int,
        script: engine_faults.Script,
    ) -> web.Response:
        headers = self._headers(req, served.gen.id, served.version)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-cache"
        events = self._events(req, served, after, script)
        return web.Response(200, events, headers)

    def _events(
        self,
        req: web.Request,
        served: _Served,
        after: int,
        script: engine_faults.Script,
    ) -> Iterator[bytes]:
        try:
            if script.empty:
                yield from self._plain_events(req, served, after)
            else:
                yield from self._faulty_events(req, served, after, script)
        finally:
            self._engine.detach(served.gen, clock.boottime())

    def _plain_events(
        self, req: web.Request, served: _Served, after: int
    ) -> Iterator[bytes]:
        gen, writer = served.gen, served.writer
        position = after
        while True:
            made = gen.generated
            if position < made:
                if self._stalled_until:
                    self._wait_out_stall()
                yield writer.span(position + 1, made)
                position = made
            elif gen.state is engine_core.State.FINISHED:
                if position == made:
                    yield writer.done()
                return
            elif gen.ended:
                raise web.AbortError
            else:
                self._wait_for_change(req, gen)

    def _faulty_events(
        self,
        req: web.Request,
        served: _Served,
        after: int,
        script: engine_faults.Script,
    ) -> Iterator[bytes]:
        gen, writer = served.gen, served.writer
        last = gen.asked.output_tokens + 1
        for position in range(after + 1, last + 1):
            if script.silent_after == position - 1 - after:
                self._stay_silent(req)
            while gen.generated < min(position, last - 1):
                if gen.ended:
                    raise web.AbortError
                self._wait_for_change(req, gen)
            if position == script.fails_at:
                self._engine.fail(gen, clock.boottime())
                raise web.AbortError
            self._wait_out_stall()
            event = (
                writer.done() if position == last else writer.token(position)
            )
            yield from _distorted(script, position, event)

    def _wait_for_change(
        self, req: web.Request, gen: engine_core.Generation
    ) -> None:
        change = self._changes.get(gen.id)
        if change is None:
            change = self._changes[gen.id] = event_module.Event()
        if change.wait(timeout=_PEER_CHECK_S) is None:
            _abort_if_closed(req)

    def _stay_silent(self, req: web.Request) -> None:
        while True:
            eventlet.sleep(_PEER_CHECK_S)
            _abort_if_closed(req)

    def _complete_response(
        self, req: web.Request, served: _Served, script: engine_faults.Script
    ) -> Any:
        gen = served.gen
        try:
            while not gen.ended:
                self._wait_for_change(req, gen)
        except web.AbortError:
            return web.NO_ANSWER
        finally:
            self._engine.detach(gen, clock.boottime())
        failed = gen.state is not engine_core.State.FINISHED
        if failed or script.fails_at:
            reason = "The generation failed."
            return self._refused(req, gen.id, 500, reason)
        if script.silent_after is not None:
            with contextlib.suppress(web.AbortError):
                self._stay_silent(req)
            return web.NO_ANSWER
        self._wait_out_stall()
        return self._answer(req, served, script)

    def _answer(
        self, req: web.Request, served: _Served, script: engine_faults.Script
    ) -> web.Response:
        gen = served.gen
        headers = self._headers(req, gen.id, served.version)
        shown_id = gen.id
        if script.protocol == "cross":
            shown_id = _other_id(gen.id)
            headers["X-Generation-Id"] = shown_id
            headers["X-Request-Id"] = _other_id(headers["X-Request-Id"])
        content = engine_events.answer(
            shown_id,
            served.path,
            model=served.model,
            prompt_tokens=gen.asked.prompt_tokens,
            length=gen.asked.output_tokens,
            finish_reason=served.reason,
        )
        if script.protocol != "truncate":
            return web.json_response(200, content, headers)
        return _truncated(content, headers)

    def _attach(self, req: web.Request, generation_id: str) -> web.Response:
        after = req.number("after", 0)
        gen = self._engine.find(generation_id, clock.boottime())
        served = self._served.get(generation_id)
        lost = (engine_core.State.FAILED, engine_core.State.CANCELLED)
        if gen is None or served is None or gen.state in lost:
            return web.error(404, f"There is no generation {generation_id}.")
        if not 0 <= after <= gen.asked.output_tokens + 1:
            return web.error(400, f"There is no position {after}.")
        self._counts["attached"] += 1
        self._engine.attach(gen, clock.boottime())
        script = self._faults.script()
        return self._stream_response(req, served, after, script)

    def _cancel(self, generation_id: str) -> web.Response:
        if not self._engine.cancel(generation_id, clock.boottime()):
            return web.error(404, f"There is no generation {generation_id}.")
        self._counts["cancelled"] += 1
        self._served.pop(generation_id, None)
        self._wake(generation_id)
        return web.json_response(200, {"id": generation_id})

    def _load(self, _req: web.Request) -> web.Response:
        report = self._engine.load(clock.boottime())
        report["engine_start"] = self._engine_start
        report["draining"] = self._faults.active["draining"]
        return web.json_response(200, report | self._control.state())

    def _cache_events(self, req: web.Request) -> web.Response:
        after = req.number("after", 0)
        found = self._engine.cache_events(after, clock.boottime())
        return web.json_response(200, {"events": found})

    def _order(self, req: web.Request) -> web.Response:
        order = req.json()
        try:
            refused = self._control.check(order)
            if refused is None:
                eventlet.sleep(self._order_s)
                refused = self._control.follow(order)
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        if refused is not None:
            reason = f"The fence is older than {refused.newest}."
            return web.error(409, reason)
        return web.json_response(200, self._control.state())

    def _show_control(self, _req: web.Request) -> web.Response:
        shown = self._control.state() | {"orders": self._control.orders}
        return web.json_response(200, shown)

    def _set_faults(self, req: web.Request) -> web.Response:
        try:
            self._faults.update(req.json())
        except ValueError as exc:
            raise web.BadRequestError(str(exc)) from exc
        self._start_timed_faults()
        return self._show_faults(req)

    def _start_timed_faults(self) -> None:
        now = clock.boottime()
        stall_s = self._faults.take_once("stall_s")
        if stall_s > 0:
            self._stalled_until = now + stall_s
        refuse_s = self._faults.take_once("refuse_s")
        if refuse_s > 0:
            self._listener.refuse_for(refuse_s)
        cold_s = self._faults.take_once("turn_cold_s")
        if cold_s > 0:
            self._engine.turn_cold(cold_s, now)
            if self._faults.active["turn_cold_new_start"]:
                self._engine_start = uuid.uuid4().hex
        exit_after_s = self._faults.take_once("exit_after_s")
        if exit_after_s > 0:
            eventlet.spawn_after(exit_after_s, os._exit, RECLAIMED_EXIT_CODE)

    def _show_faults(self, _req: web.Request) -> web.Response:
        return web.json_response(200, self._faults.active.values())

    def _show_counts(self, _req: web.Request) -> web.Response:
        counts: dict[str, Any] = dict(self._counts)
        counts["tokens"] = self._engine.tokens
        counts["preemptions"] = self._engine.preemptions
        counts["last_submit_s_ago"] = None
        if self._last_submit_at is not None:
            ago_s = clock.boottime() - self._last_submit_at
            counts["last_submit_s_ago"] = ago_s
        return web.json_response(200, counts)

    def _wait_out_stall(self) -> None:
        left_s = self._stalled_until - clock.boottime()
        if self._stalled_until and left_s > 0:
            eventlet.sleep(left_s)


def _distorted(
    script: engine_faults.Script, position: int, event: bytes
) -> Iterator[bytes]:
    if not script.protocol or position != script.position:
        yield event
    elif script.protocol == "duplicate":
        yield event
        yield event
    elif script.protocol == "cross":
        name, _, rest = event.partition(b":")[2].partition(b":")
        other = _other_id(name.strip().decode()).encode()
        yield b"id: " + other + b":" + rest
    elif script.protocol == "truncate":
        yield event[: len(event) // 2]
        raise web.AbortError


def _other_id(name: str) -> str:
    return f"other-{name}"


def _truncated(
    content: dict[str, Any], headers: dict[str, str]
) -> web.Response:
    data = json.dumps(content).encode()
    headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(data))
    return web.Response(200, web.first_half(data), headers)


def _optional_number(body: dict[str, Any], name: str) -> int | None:
    value = body.get(name)
    if value is not None and type(value) is not int:
        raise web.BadRequestError(f"{name} is not a whole number.")
    return value


def _abort_if_closed(req: web.Request) -> None:
    if sockets.closed_by_peer(req.sock):
        raise web.AbortError
