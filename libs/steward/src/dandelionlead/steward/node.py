"""One steward process: gossip, lease, rollouts and orders."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import eventlet

from dandelionlead.admission import parts
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.daemon import gossip
from dandelionlead.daemon import loops
from dandelionlead.daemon import peer_handler
from dandelionlead.daemon import rollouts
from dandelionlead.daemon import rules
from dandelionlead.membership import freshness
from dandelionlead.membership import members
from dandelionlead.rollout import lease
from dandelionlead.steward import driver
from dandelionlead.steward import orders
from dandelionlead.wire import client
from dandelionlead.wire import server

if TYPE_CHECKING:
    import socket

    from dandelionlead.config import model
    from dandelionlead.core import events
    from dandelionlead.platform import api

STEP_S = 1.0


class Node:
    """A steward with everything that it runs.

    Args:
        cfg: The process's own settings.
        platform: Table service, object store and instance list.
        log: Event log.
    """

    def __init__(
        self, cfg: model.Process, platform: api.Platform, log: events.Log
    ) -> None:
        now = clock.boottime()
        incarnation = int(clock.unix_time() * 1000)
        self._cfg = cfg
        self._platform = platform
        self._log = log
        self._keeper = rules.RulesKeeper()
        self._fresh = freshness.Freshness(cfg.name, self._keeper.heads, now)
        self._table = members.MemberTable(
            members.MemberState(
                cfg.name,
                cfg.availability_zone,
                "",
                cfg.advertised_control,
                incarnation,
                members.LIVE,
                members.ROLE_STEWARD,
            ),
            now,
        )
        self._gossip = gossip.Gossip(
            cfg.name,
            self._table,
            self._fresh,
            self._keeper,
            parts.MemberPart(cfg.name, now),
            platform,
            client.Pool(cfg.peer_key).call,
            log,
            self._rules_changed,
        )
        self._rollouts = rollouts.Rollouts(cfg.name, incarnation, log)
        self._gossip.extensions.append(self._rollouts)
        self._lease = lease.LeaseKeeper(
            platform.table, f"{cfg.name}-{incarnation}", clock.boottime
        )
        self._orders = orders.Orders(self._lease, log)
        self._handler = peer_handler.PeerHandler(
            cfg.name,
            self._gossip,
            peer_handler.NoEndpoints(),
            self._keeper,
            log,
            self.dump,
        )
        self._held = False
        self._stop = loops.StopSignal()

    def serve(self, listener: socket.socket) -> None:
        """Serves until SIGTERM or SIGINT, then gives up the lease."""
        self._stop.install()
        peer_server = server.Server(
            listener, self._cfg.peer_key, self._handler, self._log
        )
        eventlet.spawn_n(peer_server.serve)
        duties = {
            "poll": self._gossip.poll_forever,
            "list": self._gossip.list_forever,
            "exchange": self._gossip.exchange_forever,
        }
        for name, loop in duties.items():
            eventlet.spawn_n(loops.forever, name, loop, self._log)
        steps = eventlet.spawn(
            loops.forever, "duties", self._do_duties, self._log
        )
        self._log.event("started", control=self._cfg.control_address)
        self._stop.wait()
        # No order may be under way when the lease is given up.
        steps.kill()
        self._table.leave(clock.boottime())
        self._lease.release()
        self._log.event("stopped")

    def dump(self) -> str:
        """Returns the state of this process as JSON, without secrets."""
        now = clock.boottime()
        verdict = self._fresh.verdict(now, self._table)
        state = {
            "process": self._cfg.name,
            "availability_zone": self._cfg.availability_zone,
            "rules": {
                "version": self._keeper.heads.version,
                "state": verdict.state.value,
                "reason": verdict.reason,
            },
            "lease": {
                "held": self._lease.holds(now),
                "fence": self._lease.fence,
            },
            "rollouts": self._rollouts.dump(),
            "members": [
                {name: getattr(item, name) for name in item.__slots__}
                for item in self._table.all()
            ],
        }
        return json.dumps(state, indent=1, sort_keys=True)

    def step(self) -> None:
        """Does the duties once, as far as the lease allows."""
        self._lease.step()
        self._rollouts.look()
        held = self._lease.holds(clock.boottime())
        if held != self._held:
            self._held = held
            self._log.event("lease", held=held, fence=self._lease.fence)
        current = self._keeper.current
        if not held or current is None:
            return
        if not self._fresh.may_dispatch(clock.boottime()):
            return
        for item in current.operators.models.values():
            if item.next and self._lease.holds(clock.boottime()):
                self._drive(item)
        self._orders.step(orders.engines_of(current.operators, current.is_open))

    def _drive(self, item: model.Model) -> None:
        key = rollouts.row_key(item.name)
        rows = self._platform.table.read([key])
        if isinstance(rows, errors.Failure):
            return
        verdict = self._rollouts.book.get(rollouts.rollout_id(item))
        write = driver.decide(
            item,
            rows[0],
            driver.Evidence(
                bad=verdict.reason if verdict else "",
                good=self._rollouts.is_good(item),
                requests=self._rollouts.requests(item),
            ),
            fence=self._lease.fence,
            now_unix_s=clock.unix_time(),
        )
        if write is None:
            return
        # The row's version is the condition, so a late write cannot undo a
        # later one, and a lost answer is settled by the next read.
        outcome = self._platform.table.transact([write])
        self._log.event(
            "rollout_step",
            model=item.name,
            state=write.value["state"],
            share=write.value["share"],
            reason=write.value["reason"],
            outcome=type(outcome).__name__,
        )

    def _do_duties(self) -> None:
        while True:
            self.step()
            eventlet.sleep(STEP_S)

    def _rules_changed(self) -> None:
        self._rollouts.configure(self._keeper.current.operators)
        self._gossip.watched = self._rollouts.watched()
