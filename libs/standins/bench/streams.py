"""Measures how many tokens a second one engine stand-in can stream.

Usage: python libs/standins/bench/streams.py [--streams N] [--step-s X] ...

Prints, for each step time, the tokens a second over all streams, the tokens
in one read of the client, and the engine's processor time for each token.
"""

from __future__ import annotations

import argparse
import os
import selectors
import socket
import subprocess
import sys
import time

# Enough that no generation is preempted.
_MEMORY_TOKENS = 100_000_000
_READ_BYTES = 1 << 16


def main() -> None:
    """Runs one measurement for each step time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=50)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument(
        "--step-s", type=float, nargs="+", default=[0.02, 0.01, 0.005, 0.0025]
    )
    args = parser.parse_args()
    for step_s in args.step_s:
        _measure(step_s, args.streams, args.tokens)


def _measure(step_s: float, streams: int, tokens: int) -> None:
    proc = subprocess.Popen(
        [
            *(sys.executable, "-W", "ignore", "-m"),
            "dandelionlead.standins.engine_main",
            f"--step-s={step_s}",
            "--step-s-per-running=0",
            f"--memory-total={_MEMORY_TOKENS}",
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = proc.stdout.readline().strip()
        address = line.removeprefix("listening address=").split(":")
        cpu_s = _cpu_s(proc.pid)
        started = time.monotonic()
        reads = _stream((address[0], int(address[1])), streams, tokens)
        took_s = time.monotonic() - started
        cpu_s = _cpu_s(proc.pid) - cpu_s
    finally:
        proc.kill()
        proc.wait()
    total = streams * tokens
    print(
        f"step_s={step_s:g} streams={streams} "
        f"tokens_per_s={total / took_s:.0f} "
        f"tokens_per_read={total / reads:.2f} "
        f"cpu_us_per_token={cpu_s / total * 1e6:.1f} "
        f"cpu_share={cpu_s / took_s:.2f}"
    )


def _stream(address: tuple[str, int], streams: int, tokens: int) -> int:
    body = f'{{"prompt":"x","stream":true,"standin_tokens":{tokens}}}'
    request = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    chosen = selectors.DefaultSelector()
    for _ in range(streams):
        sock = socket.create_connection(address)
        sock.sendall(request.encode())
        chosen.register(sock, selectors.EVENT_READ)
    reads = 0
    while chosen.get_map():
        for key, _ in chosen.select():
            data = key.fileobj.recv(_READ_BYTES)
            reads += 1
            if not data:
                chosen.unregister(key.fileobj)
                key.fileobj.close()
    return reads


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
