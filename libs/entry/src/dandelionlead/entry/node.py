"""One entry process: its parts, its loops and its orderly end."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.admission import parts
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.core import metrics
from dandelionlead.daemon import gossip
from dandelionlead.daemon import loops
from dandelionlead.daemon import peer_handler
from dandelionlead.daemon import rollouts
from dandelionlead.daemon import rules
from dandelionlead.entry import app
from dandelionlead.entry import capacity
from dandelionlead.entry import engine_client
from dandelionlead.entry import generation
from dandelionlead.entry import http_server
from dandelionlead.entry import outcomes
from dandelionlead.entry import owners
from dandelionlead.entry import placement
from dandelionlead.entry import routing_view
from dandelionlead.entry import services
from dandelionlead.membership import freshness
from dandelionlead.membership import members
from dandelionlead.orders import group_commit
from dandelionlead.orders import runner
from dandelionlead.streams import tokens
from dandelionlead.wire import client
from dandelionlead.wire import server

if TYPE_CHECKING:
    import socket

    from dandelionlead.config import model
    from dandelionlead.platform import api

# Time between a caller's last use of an old address list and its arrival here.
LEAVE_MARGIN_S = 1.0
# Between two looks at the evidence on new versions.
LOOK_PERIOD_S = 1.0
_DRAIN_POLL_S = 0.1
_READY_PERIOD_S = 0.2
# Streams that are handed over end with their next events.
_HAND_OVER_S = 3.0


class Node:
    """An entry with everything that it runs.

    Args:
        cfg: The process's own settings.
        platform: Table service, object store and instance list.
        log: Event log.
    """

    def __init__(
        self, cfg: model.Process, platform: api.Platform, log: events.Log
    ) -> None:
        now = clock.boottime()
        self._cfg = cfg
        self._log = log
        self._metrics = metrics.Registry()
        self._keeper = rules.RulesKeeper()
        self._fresh = freshness.Freshness(cfg.name, self._keeper.heads, now)
        incarnation = int(clock.unix_time() * 1000)
        self._table = members.MemberTable(_own_state(cfg, incarnation), now)
        self._part = parts.MemberPart(cfg.name, now)
        self._pool = client.Pool(cfg.peer_key)
        self._gossip = gossip.Gossip(
            cfg.name,
            self._table,
            self._fresh,
            self._keeper,
            self._part,
            platform,
            self._pool.call,
            log,
            self._rules_changed,
        )
        self._engines = engine_client.EngineClient()
        self._capacity = capacity.Capacity(
            cfg.name,
            self._part,
            self._call_member,
            self._live_entries,
            self._units_changed,
        )
        self._owners = owners.Owners(
            f"{cfg.name}-{incarnation}",
            self._find_endpoint,
            self._engines,
            log,
            self._capacity.saw_incarnation,
        )
        self._placement = placement.Placement(
            self._capacity, lambda: len(self._live_entries())
        )
        self._capacity.reserved = self._placement.reserved
        self._rollouts = rollouts.Rollouts(cfg.name, incarnation, log)
        self._view = routing_view.RoutingView(
            cfg.availability_zone,
            self._current,
            self._capacity,
            self._engines,
            self._rollouts,
            log,
        )
        self._gossip.extensions += [self._view, self._rollouts]
        self._outcomes = outcomes.Outcomes(self._metrics, self._rollouts)
        signer = tokens.Signer(cfg.resume_keys)
        self._generations = generation.Generations(
            self._engines,
            self._capacity,
            self._placement,
            self._view,
            self._outcomes,
            signer,
            log,
            self._metrics,
            self._may_dispatch,
        )
        self._services = services.Services(
            self._current,
            self._may_dispatch,
            lambda: len(self._live_entries()),
            self._view,
            log,
        )
        committer = group_commit.GroupCommitter(platform.table)
        self._orders = runner.OrderRunner(
            committer,
            platform.table,
            self._services.send_order,
            entry=cfg.name,
            log=log,
        )
        self._services.use_orders(self._orders)
        self._app = app.Application(
            current=self._current,
            refusal=self._refusal,
            quarantined=self._view.refusal,
            generations=self._generations,
            plain_services=self._services,
            signer=signer,
            addresses=self._addresses,
            ready=self._ready_failure,
            dump=self.dump,
            registry=self._metrics,
            log=log,
            max_body_bytes=cfg.max_body_bytes,
        )
        self._handler = peer_handler.PeerHandler(
            cfg.name,
            self._gossip,
            self._owners,
            self._keeper,
            log,
            self.dump,
        )
        self._leaving = False
        self._stop = loops.StopSignal()
        self._http_thread: Any = None

    def serve(
        self, http_listener: socket.socket, control_listener: socket.socket
    ) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns."""
        self._stop.install()
        peer_server = server.Server(
            control_listener, self._cfg.peer_key, self._handler, self._log
        )
        eventlet.spawn_n(peer_server.serve)
        for name, loop in self._loops().items():
            eventlet.spawn_n(loops.forever, name, loop, self._log)
        http_pool = eventlet.GreenPool(http_server.MAX_CONNECTIONS)
        self._http_thread = eventlet.spawn(
            http_server.serve, http_listener, self._app, http_pool
        )
        self._log.event(
            "started",
            http=self._cfg.http_address,
            control=self._cfg.control_address,
            availability_zone=self._cfg.availability_zone,
        )
        self._stop.wait()
        self._drain(http_listener)

    def dump(self) -> str:
        """Returns the state of this process as JSON, without secrets."""
        now = clock.boottime()
        verdict = self._fresh.verdict(now, self._table)
        current = self._keeper.current
        state = {
            "process": self._cfg.name,
            "availability_zone": self._cfg.availability_zone,
            "leaving": self._leaving,
            "rules": {
                "version": self._keeper.heads.version,
                "highest_known": self._keeper.heads.highest_known,
                "state": verdict.state.value,
                "since_s": now - verdict.since,
                "reason": verdict.reason,
                "fault": self._keeper.fault,
                "closed_availability_zones": [
                    zone.name
                    for zone in current.operators.availability_zones.values()
                    if zone.state != "open"
                ]
                if current
                else [],
            },
            "members": [
                {name: getattr(item, name) for name in item.__slots__}
                for item in self._table.all()
            ],
            "owned_endpoints": self._owners.dump(),
            "capacity": self._capacity.dump(),
            "routing": self._view.dump(),
            "rollouts": self._rollouts.dump(),
            "outcomes": self._outcomes.dump(),
            "requests": {
                "in_flight": self._app.in_flight,
                "open_streams": self._generations.open_streams,
                **self._placement.dump(),
                "order_ends_to_record": self._orders.pending_repairs(),
            },
        }
        return json.dumps(state, indent=1, sort_keys=True)

    def _loops(self) -> dict[str, Callable[[], None]]:
        return {
            "poll": self._gossip.poll_forever,
            "list": self._gossip.list_forever,
            "exchange": self._gossip.exchange_forever,
            "owners": self._owners.run,
            "ask": self._capacity.ask_forever,
            "report": lambda: self._capacity.report_forever(
                self._endpoint_names
            ),
            "pump": self._placement.pump_forever,
            "ready": self._watch_ready,
            "judge": self._judge_versions,
        }

    def _watch_ready(self) -> None:
        while True:
            self._announce_ready()
            eventlet.sleep(_READY_PERIOD_S)

    def _announce_ready(self) -> None:
        ready = self._ready_failure() is None
        self._table.set_ready(ready, clock.boottime())

    def _judge_versions(self) -> None:
        while True:
            self._rollouts.look()
            eventlet.sleep(LOOK_PERIOD_S)

    def _drain(self, http_listener: socket.socket) -> None:
        """Leaves without cutting a request.

        New requests are served until no caller may still use this address;
        then the listener closes and what is open ends by itself.
        """
        self._leaving = True
        self._table.leave(clock.boottime())
        self._log.event("leaving", reason="signal")
        # A list that a peer gives out before it knows counts from then on.
        self._gossip.tell_all()
        eventlet.sleep(self._cfg.address_max_age_s + LEAVE_MARGIN_S)
        # The server closes idle connections when its thread ends; open ones
        # are served to their end.
        http_listener.close()
        self._http_thread.kill()
        self._wait_idle(self._cfg.drain_limit_s)
        if self._busy():
            self._generations.hand_over()
            self._wait_idle(_HAND_OVER_S)
        self._log.event(
            "stopped",
            open_streams=self._generations.open_streams,
            order_ends_to_record=self._orders.pending_repairs(),
        )

    def _wait_idle(self, limit_s: float) -> None:
        ends_at = clock.boottime() + limit_s
        while clock.boottime() < ends_at and self._busy():
            eventlet.sleep(_DRAIN_POLL_S)

    def _busy(self) -> bool:
        return bool(self._app.in_flight or self._orders.pending_repairs())

    def _current(self) -> rules.Rules | None:
        return self._keeper.current

    def _rules_changed(self) -> None:
        operators = self._keeper.current.operators
        self._rollouts.configure(operators)
        self._gossip.watched = self._rollouts.watched()
        self._view.configure(operators)
        self._placement.configure(operators)
        self._placement.pump()

    def _units_changed(self) -> None:
        self._placement.pump()

    def _may_dispatch(self) -> bool:
        return self._fresh.may_dispatch(clock.boottime())

    def _refusal(self) -> errors.Failure | None:
        if self._may_dispatch():
            return None
        verdict = self._fresh.verdict(clock.boottime(), self._table)
        return errors.Failure(
            errors.Kind.STALE_RULES,
            f"the rules are {verdict.state.value}: {verdict.reason}",
        )

    def _ready_failure(self) -> errors.Failure | None:
        if self._leaving:
            return errors.Failure(
                errors.Kind.NOT_READY, "this entry is shutting down"
            )
        if self._keeper.current is None:
            return errors.Failure(
                errors.Kind.NOT_READY, "no configuration is in force yet"
            )
        return self._refusal()

    def _addresses(self) -> dict[str, Any]:
        # An entry that has just become ready names itself at once.
        self._announce_ready()
        found = [
            {
                "address": item.http_address,
                "availability_zone": item.availability_zone,
            }
            for item in self._table.addresses(clock.boottime())
        ]
        return {"addresses": found, "max_age_s": self._cfg.address_max_age_s}

    def _endpoint_names(self) -> list[str]:
        current = self._keeper.current
        if current is None:
            return []
        return [
            item.name
            for item in current.operators.endpoints.values()
            if item.kind == "engine" and self._part.uses(item.name)
        ]

    def _find_endpoint(self, name: str) -> model.Endpoint | None:
        current = self._keeper.current
        return current.operators.endpoints.get(name) if current else None

    def _live_entries(self) -> list[str]:
        return [
            item.name
            for item in self._table.live(clock.boottime())
            if item.role != members.ROLE_STEWARD
        ]

    def _call_member(self, name: str, method: str, *args: Any) -> Any:
        if name == self._cfg.name:
            return getattr(self._handler, method)(*args)
        state = self._table.get(name)
        if state is None:
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE, f"{name} is not a member"
            )
        return self._pool.call(state.control_address, method, *args)


def _own_state(cfg: model.Process, incarnation: int) -> members.MemberState:
    return members.MemberState(
        cfg.name,
        cfg.availability_zone,
        cfg.advertised_http,
        cfg.advertised_control,
        incarnation,
        members.LIVE,
        members.ROLE_ENTRY_NOT_READY,
    )
