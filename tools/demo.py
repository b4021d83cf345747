"""Demonstrates the system with real entry processes and a simulated platform.

Starts three entry processes on loopback addresses and sends requests to them as
callers do. The platform's store, two model engines and two workers of a plain
service are simulated in this process. Each step prints a line with the observed
result; the last line is `demo: ok`.
"""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import tempfile
import warnings

# Eventlet is deprecated; docs/style.md explains why this project uses it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(_ROOT / "platform" / "tests"))

import eventlet  # noqa: E402
import harness  # noqa: E402

_ENTRY_COUNT = 3
# Number of events of the generation.
_EVENT_COUNT = 60
# Number of sent events after which the state of the engine becomes draining.
_DRAIN_AFTER_EVENTS = 15
_START_TIMEOUT_S = 20.0
_STEP_TIMEOUT_S = 10.0


class DemoError(Exception):
    """Raised if an observed result differs from the expected one."""


class Demo:
    """Runs the processes and the steps of the demonstration.

    Args:
        folder: Directory for the settings and logs of the entry processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._testbed = harness.Testbed()
        self._engines = [
            self._testbed.start_worker("engines") for _ in range(2)
        ]
        self._workers = [self._testbed.start_worker("plain") for _ in range(2)]
        self._entries: dict[str, subprocess.Popen] = {}

    def start_entries(self) -> None:
        """Starts the entries and waits until each entry lists all entries."""
        for _ in range(_ENTRY_COUNT):
            self._start_entry()
        self._testbed.wait_until(self._are_all_entries_listed, _START_TIMEOUT_S)
        print(f"{_ENTRY_COUNT} entries are ready, and each lists all of them")

    def check_order_runs_once(self) -> None:
        """Checks that an order is not retried if the worker disconnects.

        An order is a request that is not idempotent.
        """
        for worker in self._workers:
            worker.behaviour = "cut"
        response = self._send_request("/order/1")
        run_count = sum(len(worker.run_headers) for worker in self._workers)
        _check(
            response.status == 502 and run_count == 1,
            f"an order ran {run_count} times",
        )
        for worker in self._workers:
            worker.behaviour = "ok"
        print(
            "an order whose worker closed the connection ran once; "
            "the caller got 502"
        )

    def check_generation_migrates(self) -> None:
        """Checks that a generation migrates when its engine is draining."""
        for engine in self._engines:
            engine.stream_length = _EVENT_COUNT
        pending_request = self._start_request("/stream/draft/1")
        self._testbed.wait_until(
            self._has_generation_progressed, _STEP_TIMEOUT_S
        )
        source = next(engine for engine in self._engines if engine.events_sent)
        self._testbed.store.put_row(
            "servers", source.worker_id, source.make_entry("draining")
        )
        response = pending_request.read_response()
        event_ids = [
            int(line.removeprefix("id: "))
            for line in response.body.decode().splitlines()
            if line.startswith("id: ")
        ]
        is_stream_complete = response.is_complete and event_ids == list(
            range(1, _EVENT_COUNT + 1)
        )
        _check(is_stream_complete, f"events {event_ids}")
        _check(
            bool(self._get_other_engine(source).run_headers),
            "the generation did not migrate to the other engine",
        )
        print(
            f"a generation migrated to another engine: {_EVENT_COUNT} events, "
            "each received once"
        )
        self._testbed.store.put_row(
            "servers", source.worker_id, source.make_entry()
        )

    def check_killed_entry_is_unlisted(self) -> None:
        """Checks that other entries stop listing a killed entry to callers."""
        address, killed_entry = next(iter(self._entries.items()))
        killed_entry.kill()
        killed_entry.wait()
        del self._entries[address]
        self._testbed.wait_until(self._are_all_entries_listed, _STEP_TIMEOUT_S)
        response = self._send_request("/stock/1")
        _check(response.status == 200, f"status {response.status}")
        print("an entry was killed; the others list only running entries")

    def terminate_entries(self) -> None:
        """Stops the entries with SIGTERM, as an operator does."""
        for entry in self._entries.values():
            entry.send_signal(signal.SIGTERM)
        exit_codes = [
            entry.wait(_STEP_TIMEOUT_S) for entry in self._entries.values()
        ]
        self._entries.clear()
        _check(exit_codes == [0] * len(exit_codes), f"exit codes {exit_codes}")
        print("all entries exited with code 0 after SIGTERM")

    def kill_entries(self) -> None:
        """Kills the entry processes that are still running."""
        for entry in self._entries.values():
            entry.kill()
            entry.wait()

    def _start_entry(self) -> None:
        host = harness.next_ip()
        self._entries[host] = harness.start_entry_program(
            host, self._testbed.store.address, self._folder
        )

    def _are_all_entries_listed(self) -> bool:
        expected_addresses = {f"{host}:8740" for host in self._entries}
        with eventlet.Timeout(1.0, False):
            return all(
                _fetch_listed_addresses(host) == expected_addresses
                for host in self._entries
            )
        return False

    def _has_generation_progressed(self) -> bool:
        return any(
            event_count >= _DRAIN_AFTER_EVENTS
            for engine in self._engines
            for event_count in engine.events_sent.values()
        )

    def _get_other_engine(self, engine: object) -> object:
        first, second = self._engines
        return second if engine is first else first

    def _start_request(self, path: str) -> harness.ClientRequest:
        host = next(iter(self._entries))
        return harness.ClientRequest((host, 8740), path, deadline_ms=9_000)

    def _send_request(self, path: str) -> harness.Response:
        return self._start_request(path).read_response()


def _fetch_listed_addresses(host: str) -> set[str]:
    """Returns the addresses that an entry lists; none if it is unreachable."""
    try:
        return set(harness.list_addresses_at(host))
    except ConnectionError:
        return set()  # The entry does not listen yet.


def _check(is_expected: bool, observation: str) -> None:
    """Raises DemoError with the observed result if it is not the expected one.

    Args:
        is_expected: Whether the observed result is the expected one.
        observation: The observed result.
    """
    if not is_expected:
        raise DemoError(observation)


def main() -> int:
    """Runs all steps in order; returns 0 if they succeed, else 1."""
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.start_entries()
            demo.check_order_runs_once()
            demo.check_generation_migrates()
            demo.check_killed_entry_is_unlisted()
            demo.terminate_entries()
        except (DemoError, AssertionError) as exc:
            print(f"demo: failed: {exc}")
            return 1
        finally:
            demo.kill_entries()
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
