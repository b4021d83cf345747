"""Shows the system on real processes, beside stand-ins of a platform.

Starts three entries, two engines and two plain workers on loopback addresses,
and talks to them as callers do. Every line says what was seen; the last one is
`demo: ok`.
"""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import tempfile
import warnings

# docs/style.md says why eventlet is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))

import bed  # noqa: E402
import eventlet  # noqa: E402

_ENTRIES = 3
_EVENTS = 60
_MOVE_AT_EVENT = 15
_START_LIMIT_S = 20.0
_STEP_LIMIT_S = 10.0


class DemoError(Exception):
    """What was seen is not what the system promises."""


class Demo:
    """Steps of the demo.

    Args:
        folder: Takes settings and logs of the entries.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._place = bed.Bed()
        self._engines = [self._place.worker("engines") for _ in range(2)]
        self._workers = [self._place.worker("plain") for _ in range(2)]
        self._entries: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Starts the entries and waits until all are named to callers."""
        for _ in range(_ENTRIES):
            self._start_entry()
        self._place.wait(self._all_named, _START_LIMIT_S)
        print(f"{_ENTRIES} entries serve, and each names all of them")

    def order_runs_once(self) -> None:
        """An order whose worker breaks off is not sent to another one."""
        for worker in self._workers:
            worker.behave = "cut"
        answer = self._ask("/order/1")
        ran = sum(len(worker.ran) for worker in self._workers)
        _expect(answer.status == 502 and ran == 1, f"an order ran {ran} times")
        for worker in self._workers:
            worker.behave = "ok"
        print("an order whose worker broke off ran once; its caller got 502")

    def generation_moves(self) -> None:
        """A generation outlives its engine."""
        for engine in self._engines:
            engine.events = _EVENTS
        asking = self._asking("/stream/draft/1")
        self._place.wait(self._has_begun, _STEP_LIMIT_S)
        source = next(item for item in self._engines if item.working)
        self._place.store.put(
            "servers", source.worker_id, source.entry("draining")
        )
        answer = asking.result()
        numbers = [
            int(line.removeprefix("id: "))
            for line in answer.body.decode().splitlines()
            if line.startswith("id: ")
        ]
        whole = answer.whole and numbers == list(range(1, _EVENTS + 1))
        _expect(whole, f"events {numbers}")
        _expect(bool(self._other(source).ran), "the run did not move")
        print(f"a generation moved to another engine: {_EVENTS} events, once")
        self._place.store.put("servers", source.worker_id, source.entry())

    def entry_dies(self) -> None:
        """Callers are not sent to an entry that was killed."""
        address, killed = next(iter(self._entries.items()))
        killed.kill()
        killed.wait()
        del self._entries[address]
        self._place.wait(self._all_named, _STEP_LIMIT_S)
        answer = self._ask("/stock/1")
        _expect(answer.status == 200, f"status {answer.status}")
        print("an entry was killed; the others name only those that live")

    def stop(self) -> None:
        """Stops the entries as an operator does."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGTERM)
        codes = [entry.wait(_STEP_LIMIT_S) for entry in self._entries.values()]
        self._entries.clear()
        _expect(codes == [0] * len(codes), f"exit codes {codes}")
        print("the entries ended by themselves after SIGTERM")

    def end(self) -> None:
        """Ends what is left."""
        for entry in self._entries.values():
            entry.kill()
            entry.wait()

    def _start_entry(self) -> None:
        host = bed.next_ip()
        self._entries[host] = bed.start_program(
            host, self._place.store.address, self._folder
        )

    def _all_named(self) -> bool:
        wanted = {f"{host}:8740" for host in self._entries}
        with eventlet.Timeout(1.0, False):
            return all(_named(host) == wanted for host in self._entries)
        return False

    def _has_begun(self) -> bool:
        return any(
            made >= _MOVE_AT_EVENT
            for engine in self._engines
            for made in engine.working.values()
        )

    def _other(self, engine: object) -> object:
        first, second = self._engines
        return second if engine is first else first

    def _asking(self, path: str) -> bed.Asking:
        host = next(iter(self._entries))
        return bed.Asking((host, 8740), path, deadline_ms=9_000)

    def _ask(self, path: str) -> bed.Answer:
        return self._asking(path).result()


def _named(host: str) -> set[str]:
    """Returns the addresses that an entry names; none if it is not up."""
    try:
        return set(bed.named(host))
    except ConnectionError:
        return set()  # Not listening yet.


def _expect(holds: bool, seen: str) -> None:
    if not holds:
        raise DemoError(seen)


def main() -> int:
    """Runs all steps; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.start()
            demo.order_runs_once()
            demo.generation_moves()
            demo.entry_dies()
            demo.stop()
        except (DemoError, AssertionError) as exc:
            print(f"demo: failed: {exc}")
            return 1
        finally:
            demo.end()
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
