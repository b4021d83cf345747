"""Memory of an idle entry and of the state that grows with use."""

from __future__ import annotations

import gc
import hashlib
import json
import subprocess
import sys
import time

from capacity import common
from capacity import streams

# Each step is imported after those before it.
_STEPS = (
    ("interpreter", ""),
    ("eventlet and its server", "import eventlet, eventlet.wsgi"),
    ("urllib3", "import urllib3"),
    ("hdrhistogram", "from hdrh import histogram"),
    ("thrift and generated code", "from dandelionlead.wire.gen import Peer"),
    ("logbook", "import logbook"),
    ("json5", "import json5"),
    ("cyclopts", "import cyclopts"),
    ("the entry's own modules", "import dandelionlead.entry.program"),
)
_TOP = (
    "import sys; sys.path[:0] = {path!r}\n"
    "import json\n"
    "def size():\n"
    "    found = 0\n"
    "    for line in open('/proc/self/smaps_rollup'):\n"
    "        if line.startswith('Private_'):\n"
    "            found += int(line.split()[1])\n"
    "    return found\n"
    "sizes = []\n"
)


def measure(sizes: list[int], runs: int) -> None:
    """Measures an idle entry, its imports, lengths, suspects and the log."""
    columns = [_imports() for _ in range(runs)]
    rows = [
        (name, *[column[index] for column in columns])
        for index, (name, _) in enumerate(_STEPS)
    ]
    heads = [f"run {n + 1}" for n in range(runs)]
    common.show("private KB after each import", ("step", *heads), rows)
    with streams.start(1) as deploy:
        time.sleep(10)
        memory = common.memory_kb(streams.pid_of(deploy, "entry-1"))
    common.show(
        "idle entry with the example's configuration",
        ("RSS KB", "private KB"),
        [(memory["Rss"], memory["Private"])],
    )
    rows = [
        (kind, size, *[_grown(kind, size) for _ in range(runs)])
        for kind in _GROWN
        for size in sizes
    ]
    common.show(
        "private KB of state that grows",
        ("state", "items", *heads),
        rows,
    )


def grow(kind: str, size: int) -> None:
    """Prints the private memory that state of one kind takes here."""
    fill = _GROWN[kind]
    gc.collect()
    before = common.memory_kb()["Private"]
    kept = fill(size)
    gc.collect()
    after = common.memory_kb()["Private"]
    print(after - before)
    del kept


def _imports() -> list[int]:
    code = _TOP.format(path=sys.path)
    for _, step in _STEPS:
        code += f"{step}\nsizes.append(size())\n"
    code += "print(json.dumps(sizes))\n"
    done = subprocess.run(
        [sys.executable, "-Wignore", "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


def _grown(kind: str, size: int) -> int:
    done = subprocess.run(
        [
            sys.executable,
            "-Wignore",
            sys.argv[0],
            "grown",
            f"--kind={kind}",
            f"--size={size}",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(done.stdout)


def _lengths(size: int) -> object:
    from dandelionlead.admission import lengths

    learned = lengths.Lengths()
    for number in range(size):
        route, team = f"route-{number % 28}", f"team-{number:05}"
        for tokens in (50, 400, 3000):
            learned.observe(route, team, tokens)
        learned.remaining(route, team, 0, 4000)
    return learned


def _suspects(size: int) -> object:
    from dandelionlead.routing import suspects

    registry = suspects.SuspectRegistry()
    for number in range(size):
        print_ = hashlib.sha256(f"{number}".encode()).hexdigest()
        registry.crashed(f"engine-{number // 16}-1780000000", [print_], 1.0)
    return registry


def _log(size: int) -> object:
    import logbook

    from dandelionlead.core import events

    log = events.Log("entry-1")
    with logbook.NullHandler().applicationbound():
        for number in range(size):
            log.event(
                "dispatch",
                req=f"{number:032x}",
                endpoint="engine-0001",
                generation=f"{number:032x}-400",
                units=400,
            )
    return log


_GROWN = {"lengths": _lengths, "suspects": _suspects, "log events": _log}
