"""One real entry amid stand-ins for all other members, endpoints and teams.

The other members are peer servers on loopback addresses of their own in one
process. They answer and start exchanges, answer the entry's reports and asks,
and report to it on the endpoints that it owns, as often as real ones do.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import urllib3

from capacity import common
from capacity import streams
from dandelionlead.config import head as config_head
from dandelionlead.config import parts as config_parts
from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.core import hashing
from dandelionlead.membership import members
from dandelionlead.platform import api
from dandelionlead.platform import http
from dandelionlead.standins import deployment
from dandelionlead.wire import client
from dandelionlead.wire import framing
from dandelionlead.wire import server
from dandelionlead.wire.gen import ttypes

_ENTRY = "entry-own"
_PORT = 19_080
_GROUP = 16
_SETTLE_S = 25.0
_ENGINES = 4
_TEAM_KEY = "capacity"
_HANDSHAKE_BYTES = (48, 48)
_GENERATION_ID = "0123456789abcdef0123456789abcdef-400"


def measure(
    members: list[int], teams: list[int], endpoints: list[int], seconds: float
) -> None:
    """Measures one entry at several sizes of the whole system."""
    rows = []
    answers = []
    for size in zip(members, teams, endpoints, strict=True):
        row, more = _measure_one(*size, seconds)
        rows.append((*size, *row))
        answers += more
    common.show(
        f"one real entry among stand-ins, {seconds:g} s each; payload bytes "
        "with peers",
        (
            "members",
            "teams",
            "endpoints",
            "control core %",
            "control core % again",
            "peer B/s out",
            "peer B/s in",
            "list body B",
            "RSS KB",
            "private KB",
            "owned",
        ),
        rows,
    )
    common.show(
        "requests to the same entry",
        (
            "members",
            "endpoints",
            "kind",
            "rate/s",
            "done/s",
            "core %",
            "ms each",
        ),
        answers,
    )


def _measure_one(
    count: int, teams: int, endpoints: int, seconds: float
) -> tuple[tuple, list[tuple]]:
    operators = common.operators(teams=teams, endpoints=endpoints)
    digest = config_parts.digest(_TEAM_KEY.encode())
    operators.teams["team-00000"].key_digests = (digest,)
    operators.teams["team-00000"].max_concurrent = 10_000
    deploy = deployment.Deployment({"endpoints": _engine_items()})
    others: subprocess.Popen | None = None
    with deploy:
        try:
            deploy.start_platform()
            deploy.start_endpoints(step_s="0.02", step_s_per_running="0")
            starts = _place_endpoints(deploy, operators)
            _put_in_force(deploy, operators)
            deploy.start_entry(_ENTRY, "zone-00")
            names = [f"entry-{number:04}" for number in range(count - 1)]
            for number, name in enumerate(names):
                deploy.controls[name] = f"{_host(number)}:{_PORT}"
                deploy.entries[name] = f"{_host(number)}:8080"
                deploy.register(name, f"zone-{number % common.ZONES:02}")
            others = _start_others(deploy, names, starts)
            deploy.wait_ready(_ENTRY)
            time.sleep(_SETTLE_S)
            row = _control_row(deploy, seconds)
            more = [
                (count, endpoints, *item)
                for item in (
                    *_request_rows(deploy, seconds),
                    *_address_rows(deploy, seconds),
                )
            ]
        finally:
            if others is not None:
                others.kill()
                others.wait()
    return row, more


def _control_row(deploy: deployment.Deployment, seconds: float) -> tuple:
    pid = streams.pid_of(deploy, _ENTRY)
    shares = []
    totals = [_totals(deploy)]
    for _ in range(2):
        shares.append(streams.processor_share(pid, seconds) * 100)
        totals.append(_totals(deploy))
    spent_s = totals[-1]["at"] - totals[0]["at"]
    out = (totals[-1]["in"] - totals[0]["in"]) / spent_s
    back = (totals[-1]["out"] - totals[0]["out"]) / spent_s
    _, listed = deploy.ask("GET", f"http://{deploy.platform}/instances")
    memory = common.memory_kb(pid)
    owned = len(deploy.state(_ENTRY)["owned_endpoints"])
    return (
        *shares,
        out,
        back,
        len(listed),
        memory["Rss"],
        memory["Private"],
        owned,
    )


def _request_rows(deploy: deployment.Deployment, seconds: float) -> list[tuple]:
    pid = streams.pid_of(deploy, _ENTRY)
    idle = streams.processor_share(pid, seconds)
    rows = []
    for rate in (10, 20, 38):
        used, done, _ = streams.paced(
            deploy.entries[_ENTRY],
            pid,
            rate,
            seconds,
            20,
            model="model-03",
            key=_TEAM_KEY,
        )
        each = (used - idle) * seconds / max(1, done) * 1e3
        rows.append(("20 tokens", rate, done / seconds, used * 100, each))
    return rows


def _address_rows(deploy: deployment.Deployment, seconds: float) -> list[tuple]:
    pid = streams.pid_of(deploy, _ENTRY)
    pool = urllib3.PoolManager(retries=False, maxsize=1, timeout=5.0)
    url = f"http://{deploy.entries[_ENTRY]}/v1/addresses"
    rows = []
    idle = streams.processor_share(pid, seconds)
    for rate in (20, 100, 10_000):
        before, at = common.processor_s(pid), time.monotonic()
        done = size = 0
        while (now := time.monotonic()) < at + seconds:
            left_s = at + done / rate - now
            if left_s > 0:
                time.sleep(left_s)
                continue
            size = len(pool.request("GET", url).data)
            done += 1
        used = (common.processor_s(pid) - before) / seconds
        each = (used - idle) * seconds / done * 1e3
        label = f"addresses, {size} B"
        rows.append((label, rate, done / seconds, used * 100, each))
    return rows


def serve_others(plan: str) -> None:
    """Plays all other members until the process is killed."""
    import eventlet

    eventlet.monkey_patch()
    cfg = json.loads(pathlib.Path(plan).read_text())
    framing.FrameTransport = _CountingTransport
    key = bytes.fromhex(cfg["key"])
    log = events.Log("others")
    counts: dict[str, Any] = {"digest": ""}
    for number, name in enumerate(cfg["names"]):
        handler = _Member(name, number, cfg, counts)
        listener = eventlet.listen((_host(number), _PORT), backlog=64)
        eventlet.spawn_n(server.Server(listener, key, handler, log).serve)
        if number < 3:
            eventlet.spawn_n(_exchange_forever, handler, cfg, key)
    owned = _owned_reports(cfg)
    for name, endpoints in owned.items():
        eventlet.spawn_n(_report_forever, name, endpoints, cfg, key)
    while True:
        totals = {**_CountingTransport.totals, "at": time.time()}
        target = pathlib.Path(cfg["totals"])
        fresh = target.with_suffix(".new")
        fresh.write_text(json.dumps(totals))
        fresh.rename(target)
        eventlet.sleep(0.5)


class _CountingTransport(framing.FrameTransport):
    """Adds up the bytes of all connections, with those of the handshake."""

    totals = {"in": 0, "out": 0, "connections": 0}

    def __init__(self, conn: Any) -> None:
        super().__init__(conn)
        self.totals["connections"] += 1
        self.totals["in"] += _HANDSHAKE_BYTES[0]
        self.totals["out"] += _HANDSHAKE_BYTES[1]

    def flush(self) -> None:
        before = self.bytes_out
        super().flush()
        self.totals["out"] += self.bytes_out - before

    def _read_frame(self) -> None:
        before = self.bytes_in
        super()._read_frame()
        self.totals["in"] += self.bytes_in - before


class _Member:
    """One other entry, as far as the measured one can see."""

    def __init__(self, name: str, number: int, cfg: dict, counts: dict) -> None:
        self._name = name
        self._number = number
        self._cfg = cfg
        self._counts = counts

    def exchange(self, gossip: ttypes.Gossip) -> ttypes.Gossip:
        """Answers with six states and the sender's own digest of counts."""
        self._counts["digest"] = gossip.counts_digest
        return self.message(gossip.freshness)

    def message(self, fresh: ttypes.Freshness | None) -> ttypes.Gossip:
        """Returns this member's gossip."""
        version = fresh.head_version if fresh is not None else 1
        count = len(self._cfg["names"])
        first = int(clock.boottime() * 5)
        numbers = [self._number, *((first + n) % count for n in range(5))]
        return ttypes.Gossip(
            sender=self._name,
            members=[_wire_state(self._cfg, number) for number in numbers],
            freshness=ttypes.Freshness(
                head_version=version,
                confirmed_s_ago=0.3,
                platform_failed_s_ago=-1.0,
                vouchers=b"",
            ),
            counts_digest=self._counts["digest"],
        )

    def report(self, request: ttypes.ReportRequest) -> ttypes.ReportReply:
        """Answers as the owner of endpoints with free units."""
        return ttypes.ReportReply(
            endpoints=[
                self._status(item.endpoint) for item in request.endpoints
            ]
        )

    def acquire(self, request: ttypes.AcquireRequest) -> ttypes.AcquireReply:
        """Grants what is asked for."""
        status = self._status(request.endpoint)
        grant = ttypes.Grant(
            grant_id=f"{self._name}-{time.perf_counter_ns()}",
            endpoint=request.endpoint,
            incarnation=status.incarnation,
            units=request.units,
            valid_for_s=2.0,
            stamp=status.stamp,
        )
        return ttypes.AcquireReply(
            grant=grant, refused_reason="", status=status
        )

    def get_parts(self, digests: list[str]) -> dict[str, bytes]:
        """Has no parts; the object store has them."""
        del digests
        return {}

    def notify(self, head: ttypes.ConfigHead) -> ttypes.NotifyReply:
        """Confirms any head."""
        return ttypes.NotifyReply(version_in_force=head.version, reason="")

    def _status(self, endpoint: str) -> ttypes.EndpointStatus:
        stamp = f"{self._name}-1780000000000-1@{clock.boottime()!r}"
        return ttypes.EndpointStatus(
            endpoint=endpoint,
            incarnation=self._cfg["starts"][endpoint],
            limit_units=120_000,
            free_units=100_000,
            accepts_work=True,
            reason="",
            stamp=stamp,
        )


def _exchange_forever(handler: _Member, cfg: dict, key: bytes) -> None:
    import eventlet

    pool = client.Pool(key)
    while True:
        # Most exchanges come from members without an open connection.
        pool.forget(cfg["entry"])
        pool.call(cfg["entry"], "exchange", handler.message(None))
        eventlet.sleep(1.0)


def _report_forever(
    name: str, endpoints: list[str], cfg: dict, key: bytes
) -> None:
    import eventlet

    pool = client.Pool(key)
    stamps: dict[str, str] = {}
    while True:
        reports = [
            ttypes.EndpointReport(
                endpoint=endpoint,
                incarnation=cfg["starts"][endpoint],
                units_in_use=1200,
                units_open=100,
                generations=[f"{n}{_GENERATION_ID}" for n in range(3)],
                first_token_s=[0.3],
                failed=False,
                part=1 / _GROUP,
                delegate_for_s=2.0,
                stamp=stamps.get(endpoint, ""),
                covered_stamp=stamps.get(endpoint, ""),
            )
            for endpoint in endpoints
        ]
        request = ttypes.ReportRequest(member=name, endpoints=reports)
        reply = pool.call(cfg["entry"], "report", request)
        if isinstance(reply, ttypes.ReportReply):
            for item in reply.endpoints:
                stamps[item.endpoint] = item.stamp
        eventlet.sleep(1.0)


def _owned_reports(cfg: dict) -> dict[str, list[str]]:
    """Returns the endpoints that each member reports on to the entry."""
    found: dict[str, list[str]] = {}
    for endpoint in cfg["starts"]:
        group = hashing.rank(endpoint, [*cfg["names"], _ENTRY])[:_GROUP]
        if group[0] != _ENTRY:
            continue
        for name in group[1:]:
            found.setdefault(name, []).append(endpoint)
    return found


def _wire_state(cfg: dict, number: int) -> ttypes.MemberState:
    return ttypes.MemberState(
        name=cfg["names"][number],
        availability_zone=f"zone-{number % common.ZONES:02}",
        http_address=f"{_host(number)}:8080",
        control_address=f"{_host(number)}:{_PORT}",
        incarnation=1_780_000_000_000,
        state=members.LIVE,
        role=members.ROLE_ENTRY,
    )


def _start_others(
    deploy: deployment.Deployment, names: list[str], starts: dict[str, str]
) -> subprocess.Popen:
    plan = deploy.folder / "others.json"
    plan.write_text(
        json.dumps(
            {
                "names": names,
                "key": deploy._peer_key,
                "entry": deploy.controls[_ENTRY],
                "starts": starts,
                "totals": str(deploy.folder / "totals.json"),
            }
        )
    )
    with (deploy.folder / "others.log").open("wb") as output:
        return subprocess.Popen(
            [sys.executable, sys.argv[0], "others", f"--plan={plan}"],
            stdout=output,
            stderr=output,
        )


def _totals(deploy: deployment.Deployment) -> dict[str, Any]:
    return json.loads((deploy.folder / "totals.json").read_text())


def _engine_items() -> dict[str, Any]:
    return {
        f"engine-{number}": {
            "kind": "engine",
            "version": "v1",
            "memory_tokens": 4_000_000,
        }
        for number in range(_ENGINES)
    }


def _place_endpoints(
    deploy: deployment.Deployment, operators: Any
) -> dict[str, str]:
    """Puts all endpoints on the stand-ins; returns their incarnations."""
    addresses = [
        item["address"] for item in deploy.operators["endpoints"].values()
    ]
    incarnations = []
    for address in addresses:
        _, body = deploy.ask("GET", f"http://{address}/load")
        incarnations.append(json.loads(body)["engine_start"])
    starts = {}
    for number, item in enumerate(operators.endpoints.values()):
        item.address = addresses[number % _ENGINES]
        starts[item.name] = incarnations[number % _ENGINES]
    return starts


def _put_in_force(deploy: deployment.Deployment, operators: Any) -> None:
    transport = http.Transport(deploy.platform)
    objects = http.HttpObjects(transport)
    content = config_parts.split(operators)
    for data in content.values():
        objects.put(data)
    head = config_head.Head(1, "capacity", config_parts.digests(content))
    keys = (config_head.KEY, config_head.VERSION_KEY)
    values = (head.to_plain(), head.version_row())
    outcome = http.HttpTable(transport).transact(
        [
            api.Write(api.Key(config_head.TABLE, key), 0, value)
            for key, value in zip(keys, values, strict=True)
        ]
    )
    if not isinstance(outcome, api.Committed):
        raise RuntimeError(f"the head was not committed: {outcome}")


def _host(number: int) -> str:
    return f"127.1.{number // 250}.{number % 250 + 1}"
