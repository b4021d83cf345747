"""Processor time, memory, byte counts and synthetic configurations."""

from __future__ import annotations

import gc
import hashlib
import os
import statistics
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from dandelionlead.config import model
from dandelionlead.wire import client
from dandelionlead.wire import framing
from dandelionlead.wire.gen import Peer

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MODELS = 14
REGIONS = 3
ZONES = 11


def processor_s(pid: int) -> float:
    """Returns the user and system time of a process, from /proc."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_kb(pid: int | str = "self") -> dict[str, int]:
    """Returns resident (`Rss`) and private memory of a process in KB."""
    found = {}
    with open(f"/proc/{pid}/smaps_rollup") as file:
        for line in file:
            name, _, rest = line.partition(":")
            if rest.strip().endswith("kB"):
                found[name] = int(rest.split()[0])
    private = found["Private_Clean"] + found["Private_Dirty"]
    return {"Rss": found["Rss"], "Private": private}


def processor_us(
    call: Callable[[], Any], *, at_least_s: float = 0.3, runs: int = 3
) -> list[float]:
    """Returns the processor time of one call in microseconds, for each run."""
    call()
    results = []
    for _ in range(runs):
        gc.collect()
        count = 0
        started = time.process_time()
        while (spent := time.process_time() - started) < at_least_s:
            call()
            count += 1
        results.append(spent / count * 1e6)
    return results


def median_range(values: Sequence[float]) -> str:
    """Returns `median [least to most]`."""
    middle = statistics.median(values)
    return f"{_short(middle)} [{_short(min(values))} to {_short(max(values))}]"


def line_fit(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Returns slope and intercept of the least-squares line."""
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def quantile(values: Sequence[float], part: float) -> float:
    """Returns a quantile (0 to 1) of unsorted values; 0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def show(title: str, columns: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Prints one table."""
    table = [list(columns)]
    table += [[_short(item) for item in row] for row in rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(columns))]
    print(f"\n{title}", flush=True)
    for row in table:
        cells = (
            text.rjust(width) for text, width in zip(row, widths, strict=True)
        )
        print("  " + "  ".join(cells), flush=True)


def operators(*, teams: int, endpoints: int) -> model.Operators:
    """Returns a valid configuration with 14 models and 11 zones."""
    zones = [
        model.AvailabilityZone(
            f"zone-{number:02}", f"region-{number % REGIONS}"
        )
        for number in range(ZONES)
    ]
    models = [_model(number) for number in range(MODELS)]
    routes = [
        model.Route(
            f"route-{number:02}-{kind}",
            model.GENERATION,
            "/v1/chat/completions",
            model=f"model-{number:02}",
            max_tokens=longest,
        )
        for number in range(MODELS)
        for kind, longest in (("short", 400), ("long", 32_000))
    ]
    return model.Operators(
        _by_name(zones),
        _by_name(_team(number) for number in range(teams)),
        _by_name(models),
        _by_name(routes),
        {},
        _by_name(_endpoint(number) for number in range(endpoints)),
        model.Admission(),
    )


class Link:
    """In-process connection of a peer client and a handler.

    Messages go through the real client, framing, protocol and processor;
    bytes are counted by the framing.
    """

    def __init__(self, handler: Any) -> None:
        self._to_server = _Pipe()
        self._to_client = _Pipe()
        self._to_client.fill = self._serve
        self.connection = client.Connection(
            _End(self._to_client, self._to_server)
        )
        self._transport = framing.FrameTransport(
            _End(self._to_server, self._to_client)
        )
        self._protocol = framing.protocol(self._transport)
        self._processor = Peer.Processor(handler)

    @property
    def request_bytes(self) -> int:
        """Bytes that the client sent, frame headers included."""
        return self.connection.transport.bytes_out

    @property
    def reply_bytes(self) -> int:
        """Bytes that the client received, frame headers included."""
        return self.connection.transport.bytes_in

    def _serve(self) -> None:
        self._processor.process(self._protocol, self._protocol)


class _Pipe:
    def __init__(self) -> None:
        self.data = b""
        self.fill: Callable[[], None] | None = None


class _End:
    def __init__(self, source: _Pipe, sink: _Pipe) -> None:
        self._source = source
        self._sink = sink

    def sendall(self, data: bytes) -> None:
        self._sink.data += data

    def recv(self, count: int) -> bytes:
        if not self._source.data and self._source.fill is not None:
            self._source.fill()
        data = self._source.data[:count]
        self._source.data = self._source.data[count:]
        return data

    def fileno(self) -> int:
        return 0

    def close(self) -> None:
        return


def _by_name(items: Iterable[Any]) -> dict[str, Any]:
    return {item.name: item for item in items}


def _model(number: int) -> model.Model:
    name = f"model-{number:02}"
    versions = [model.Version(f"v{v}", f"{name}-v{v}") for v in (1, 2)]
    return model.Model(name, _by_name(versions), "v1")


def _team(number: int) -> model.Team:
    name = f"team-{number:05}"
    return model.Team(name, 1.0, [hashlib.sha256(name.encode()).hexdigest()])


def _endpoint(number: int) -> model.Endpoint:
    return model.Endpoint(
        f"engine-{number:04}",
        model.ENGINE,
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}:8000",
        f"zone-{number % ZONES:02}",
        model=f"model-{number % MODELS:02}",
        version="v1",
        memory_tokens=120_000,
    )


def _short(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}" if abs(value) < 1000 else f"{value:.0f}"
    return str(value)
