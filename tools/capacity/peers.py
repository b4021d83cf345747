"""Costs of messages between processes, with the real thrift code in process."""

from __future__ import annotations

import functools
import time
from typing import Any

import eventlet

from capacity import common
from capacity import streams
from dandelionlead.admission import grants
from dandelionlead.admission import limits
from dandelionlead.admission import ownership
from dandelionlead.admission import parts
from dandelionlead.config import parts as config_parts
from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.daemon import gossip
from dandelionlead.daemon import peer_handler
from dandelionlead.daemon import rules
from dandelionlead.entry import capacity
from dandelionlead.entry import engine_client
from dandelionlead.entry import owners
from dandelionlead.membership import freshness
from dandelionlead.membership import members
from dandelionlead.membership import spread
from dandelionlead.platform import api
from dandelionlead.streams import relay

_RELAYED = 2000
_START_MS = 1_780_000_000_000
_GENERATION_ID = "0123456789abcdef0123456789abcdef-400"


class Peer:
    """One process's gossip side, without sockets or loops."""

    def __init__(self, number: int, names: int, teams: int) -> None:
        now = clock.boottime()
        self.name = _name(number)
        self.keeper = rules.RulesKeeper()
        self.table = members.MemberTable(_state(number), now)
        self.table.merge([_state(other) for other in range(names)], now)
        self.fresh = freshness.Freshness(self.name, self.keeper.heads, now)
        self.part = parts.MemberPart(self.name, now - 60, start_s=0)
        self.link: common.Link | None = None
        self.news = gossip.Gossip(
            self.name,
            self.table,
            self.fresh,
            self.keeper,
            self.part,
            None,
            lambda _, method, *args: getattr(self.link.connection, method)(
                *args
            ),
            events.Log(self.name),
            lambda: None,
        )
        content = config_parts.split(
            common.operators(teams=teams, endpoints=13)
        )
        self.head = spread.Head(1, "apply", config_parts.digests(content))
        self.keeper.add_parts(
            {config_parts.digest(d): d for d in content.values()}
        )
        self.keeper.learn(self.head, now)
        self.keeper.advance()
        self.confirm()
        self.count(names)
        self.handler = peer_handler.PeerHandler(
            self.name, self.news, None, self.keeper, events.Log(self.name), str
        )

    def confirm(self) -> None:
        """Notes a successful read of the head."""
        self.fresh.platform_confirmed(1, clock.boottime())

    def count(self, names: int, *, changed: int = 0) -> None:
        """Lets this process count all others, one with another incarnation."""
        now = clock.boottime()
        self.part.listed([_name(other) for other in range(names)], now)
        counts = {_name(other): _START_MS for other in range(names)}
        counts.pop(self.name)
        if changed:
            counts[_name(names - 1)] = _START_MS + changed
        self.part.heard(_name(names - 1), counts, True, now)


class _Engines(engine_client.EngineClient):
    def load(self, address: str) -> dict[str, Any]:
        """Returns an empty load report."""
        del address
        return {}


def measure_exchange(sizes: list[int], runs: int) -> None:
    """Measures one exchange, both sides together, per number of members."""
    rows = []
    for size in sizes:
        for label, teams in (
            ("same counts", 10),
            ("other counts", 10),
            ("head and counts", 10_000),
        ):
            rows.append(_exchange_row(size, label, teams, runs))
    common.show(
        "one exchange: bytes with frame headers, processor time of both sides",
        ("members", "case", "request B", "answer B", "us"),
        rows,
    )
    for size in sizes:
        _show_upkeep(size, runs)


def _exchange_row(size: int, label: str, teams: int, runs: int) -> tuple:
    first, second = Peer(0, size, teams), Peer(1, size, teams)
    first.link = common.Link(second.handler)
    target = first.table.get(second.name)
    changes = 0

    def exchange() -> None:
        nonlocal changes
        if label != "same counts":
            changes += 1
            first.count(size, changed=2 * changes)
            second.count(size, changed=2 * changes + 1)
        if label == "head and counts":
            # The peers take each other to lag by one version.
            first.news._peer_versions[second.name] = 0
            second.news._peer_versions[first.name] = 0
        first.news._exchange(target)

    for _ in range(30):
        exchange()
    sent, got = first.link.request_bytes, first.link.reply_bytes
    for _ in range(10):
        exchange()
    sent, got = first.link.request_bytes - sent, first.link.reply_bytes - got
    used = common.processor_us(exchange, runs=runs)
    return size, label, sent // 10, got // 10, common.median_range(used)


def _show_upkeep(size: int, runs: int) -> None:
    peer = Peer(0, size, 10)
    endpoints = [f"engine-{number:04}" for number in range(3600)]
    now = clock.boottime()
    listed = [
        api.Listed(_name(n), _http(n), _control(n), "zone-01", "live")
        for n in range(size)
    ]
    live = [item.name for item in peer.table.live(now)]
    delegations = ownership.Delegations(peer.part)
    calls = {
        "judge (each second)": peer.news.judge,
        "tick (each second)": lambda: peer.table.tick(clock.boottime()),
        "live entries (each ask or report)": lambda: peer.table.live(
            clock.boottime()
        ),
        "instance list taken in (each 2 s)": lambda: peer.table.observe_listed(
            listed, clock.boottime()
        ),
        "uses() of one endpoint": lambda: peer.part.uses("engine-0001"),
        "uses() of 3,600 endpoints (each second)": lambda: [
            item for item in endpoints if peer.part.uses(item)
        ],
        "offer() of one endpoint": lambda: delegations.offer(
            "engine-0001", live, clock.boottime()
        ),
    }
    rows = []
    for label, call in calls.items():
        used = common.processor_us(call, runs=runs)
        rows.append((label, common.median_range(used)))
    common.show(f"upkeep with {size} members", ("call", "us"), rows)


def measure_report(sizes: list[int], generations: list[int], runs: int) -> None:
    """Measures `report` and `acquire` through member and owner."""
    rows = []
    for listed in generations:
        for size in sizes:
            rows.append(_report_row(size, listed, runs))
    common.show(
        "one report: bytes with frame headers, processor time of both sides",
        (
            "endpoints",
            "generations each",
            "request B",
            "answer B",
            "B/endpoint",
            "us",
            "us/endpoint",
        ),
        rows,
    )
    _show_acquire(runs)
    _show_owner(runs)


class _Member:
    """Member's side of grants, linked to an owner in the same process."""

    def __init__(self, endpoints: int) -> None:
        now = clock.boottime()
        self.operators = common.operators(teams=10, endpoints=endpoints)
        self.owners = owners.Owners(
            f"entry-0001-{_START_MS}",
            self.operators.endpoints.get,
            _Engines(),
            events.Log("entry-0001"),
            lambda *_: None,
        )
        self.link = common.Link(self.owners)
        self.part = parts.MemberPart("entry-0000", now - 60, start_s=0)
        self.part.listed(["entry-0000"], now - 30)
        self.part.listed(["entry-0000"], now)
        self.part.fresh(now, common_outage=True)
        self.capacity = capacity.Capacity(
            "entry-0000",
            self.part,
            lambda _, method, *args: getattr(self.link.connection, method)(
                *args
            ),
            lambda: ["entry-0000"],
            lambda: None,
        )
        self.names = list(self.operators.endpoints)
        self.used = 0

    def report(self) -> None:
        """Sends one report on all endpoints."""
        now = clock.boottime()
        self.part.fresh(now, common_outage=True)
        self.capacity.report_once(self.names, now)
        eventlet.sleep(0)

    def load(self) -> None:
        """Gives the owner a load report of each endpoint."""
        now = clock.boottime()
        for name in self.names:
            ledger = self.owners._ledger(name)
            ledger.load_report(
                ownership.LoadReport(
                    "engine-1780000000",
                    [],
                    memory_total=120_000,
                    reported_s_ago=0.0,
                    asked_at=now,
                    draining=False,
                ),
                now,
            )

    def settle(self) -> None:
        """Delegates and brings the delegation into force."""
        self.report()
        self.load()
        self.report()
        time.sleep(ownership.DELIVERY_S + 0.1)
        self.report()
        self.load()
        self.report()

    def hold(self, count: int) -> None:
        """Lets the member have `count` generations on each endpoint."""
        for name in self.names:
            for number in range(count):
                self.capacity.pool.adopt(
                    name,
                    "engine-1780000000",
                    f"{number:03}{_GENERATION_ID}",
                    400,
                )


def _report_row(size: int, generations: int, runs: int) -> tuple:
    member = _Member(size)
    member.settle()
    member.hold(generations)
    member.report()
    link = member.link
    sent, got = link.request_bytes, link.reply_bytes
    for _ in range(10):
        member.report()
    sent = (link.request_bytes - sent) // 10
    got = (link.reply_bytes - got) // 10
    used = common.processor_us(member.report, runs=runs)
    return (
        size,
        generations,
        sent,
        got,
        (sent + got) / size,
        common.median_range(used),
        min(used) / size,
    )


def _show_acquire(runs: int) -> None:
    rows = []
    for size in (1, 10, 144):
        member = _Member(size)
        member.settle()
        turn = 0

        def acquire(member: _Member = member, size: int = size) -> None:
            nonlocal turn
            turn += 1
            name = member.names[turn % size]
            now = clock.boottime()
            member.part.fresh(now, common_outage=True)
            ask = grants.Ask(name, "engine-1780000000", 1, 1)
            member.capacity._ask(ask, now)

        link = member.link
        sent, got = link.request_bytes, link.reply_bytes
        for _ in range(size):
            acquire()
        sent = (link.request_bytes - sent) / size
        got = (link.reply_bytes - got) / size
        granted = sum(
            member.owners._ledger(name)._granted for name in member.names
        )
        # Short, so that the owner's lists of open grants stay short.
        used = common.processor_us(acquire, runs=runs, at_least_s=0.02)
        rows.append((size, granted, sent, got, common.median_range(used)))
    common.show(
        "acquire of one unit, by turns at all endpoints; both sides",
        ("endpoints", "granted", "request B", "answer B", "us"),
        rows,
    )


def _show_owner(runs: int) -> None:
    rows = []
    for count in (1, 4, 16):
        ledger, now = _ledger(count)
        stamp = ledger.stamp(now)

        def report(
            ledger: ownership.OwnerLedger = ledger,
            stamp: str = stamp,
            now: float = now,
        ) -> None:
            ledger.delegate("entry-0000", 3.0, now, part=1 / 16, stamp=stamp)
            ledger.report(
                "entry-0000",
                "engine-1",
                1200,
                [_GENERATION_ID] * 3,
                [0.3],
                False,
                now,
                units_open=100,
                stamp=stamp,
            )
            ledger.status(now)

        used = common.processor_us(report, runs=runs)
        tick = common.processor_us(
            lambda ledger=ledger, now=now: ledger.tick(now), runs=runs
        )
        rows.append(
            (count, common.median_range(used), common.median_range(tick))
        )
    common.show(
        "owner of one endpoint: ledger alone",
        ("members", "us a report", "us a tick"),
        rows,
    )


def _ledger(count: int) -> tuple[ownership.OwnerLedger, float]:
    now = clock.boottime()
    ledger = ownership.OwnerLedger(
        "engine-0001", "entry-1", limits.FirstTokenRamp(120_000)
    )
    stamp = ledger.stamp(now)
    for number in range(count):
        ledger.delegate(_name(number), 3.0, now, part=1 / 16, stamp=stamp)
    ledger.load_report(
        ownership.LoadReport(
            "engine-1",
            [
                ownership.Generation(
                    f"{n:03}{_GENERATION_ID}", attached=True, detached_s=0.0
                )
                for n in range(50)
            ],
            memory_total=120_000,
            reported_s_ago=0.0,
            asked_at=now,
            draining=False,
        ),
        now,
    )
    for number in range(count):
        claims = [f"{n:03}{_GENERATION_ID}" for n in range(number, 50, count)]
        ledger.report(
            _name(number), "engine-1", 1200, claims, [], False, now, stamp=stamp
        )
    return ledger, now


def measure_relay(sizes: list[int], runs: int) -> None:
    """Measures relay and checks alone, by events that one read brings."""
    rows = []
    for size in sizes:
        used = common.processor_us(lambda size=size: _relay(size), runs=runs)
        each = [value / _RELAYED for value in used]
        rows.append((size, common.median_range(each)))
    common.show(
        "relay and event checks without sockets",
        ("events/read", "us/event"),
        rows,
    )


class _Reads(relay.Reader):
    def __init__(self, reads: list[bytes]) -> None:
        self._reads = iter(reads)

    def read(self) -> bytes:
        return next(self._reads)

    def close(self) -> None:
        return


class _NoSource(relay.Source):
    def attach(self, after: int) -> relay.Reader:
        raise NotImplementedError


def _relay(size: int) -> None:
    found = relay.Relay(_GENERATION_ID, _NoSource())
    for _ in found.chunks(_Reads(_reads(size))):
        pass
    if not found.finished:
        raise RuntimeError(f"the relay stopped: {found.faults}")


@functools.cache
def _reads(size: int) -> list[bytes]:
    text = '{"choices":[{"index":0,"delta":{"content":"0123abcd.77 "}}]}'
    events = [
        f"id: {_GENERATION_ID}:{number}\ndata: {text}\n\n"
        for number in range(1, _RELAYED)
    ]
    events.append(f"id: {_GENERATION_ID}:{_RELAYED}\ndata: [DONE]\n\n")
    return [
        "".join(events[start : start + size]).encode()
        for start in range(0, _RELAYED, size)
    ]


def measure_load_read(sizes: list[int], runs: int) -> None:
    """Measures how an owner reads the load of an engine stand-in."""
    rows = []
    with streams.start(1) as deploy:
        item = deploy.operators["endpoints"]["quotation-1"]
        endpoint = common.operators(teams=1, endpoints=1).endpoints[
            "engine-0000"
        ]
        endpoint.address = item["address"]
        callers = streams.Callers()
        engines = engine_client.EngineClient()
        owned = owners.Owners(
            "entry-9-1",
            lambda _: endpoint,
            engines,
            events.Log("entry-9"),
            lambda *_: None,
        )
        ledger = owned._ledger(endpoint.name)
        for size in sizes:
            while len(callers.streams) < size:
                callers.open(item["address"], 4000)
                callers.run(0.02)
            callers.run_until_all_started()
            callers.run(2.5)
            listed = len(engines.load(endpoint.address)["generations"])
            _, body = deploy.ask("GET", f"http://{item['address']}/load")
            used = common.processor_us(
                lambda: owned._read_load(endpoint, ledger), runs=runs
            )
            rows.append((size, listed, len(body), common.median_range(used)))
        callers.close()
    common.show(
        "owner reads the load of one engine",
        ("generations", "listed", "body B", "us"),
        rows,
    )


def _state(number: int) -> members.MemberState:
    return members.MemberState(
        _name(number),
        f"zone-{number % common.ZONES:02}",
        _http(number),
        _control(number),
        _START_MS,
        members.LIVE,
        members.ROLE_ENTRY,
    )


def _name(number: int) -> str:
    return f"entry-{number:04}"


def _http(number: int) -> str:
    return f"10.1.{number // 250}.{number % 250 + 1}:8080"


def _control(number: int) -> str:
    return f"10.1.{number // 250}.{number % 250 + 1}:9080"
