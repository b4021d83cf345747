"""Requests of the cases for generations, and what became of them."""

from __future__ import annotations

import socket
import threading
import time

import standins

# Pages: `quote-draft` has a time limit of 39 s.
DEADLINE_MS = 39_000
_READ_TIMEOUT_S = 45.0


class Generation:
    """One requested generation and the answer to it."""

    def __init__(self, request_id: str, path: str) -> None:
        self.request_id = request_id
        self.path = path
        self.answer = standins.Answer()

    @property
    def event_ids(self) -> list[int]:
        """Ids of the events that the requester got, in order."""
        lines = self.answer.body.decode("latin-1").split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]

    def is_shown_as_complete(self) -> bool:
        """Whether the requester has to take the stream as complete."""
        return self.answer.status == 200 and self.answer.is_complete


class Requesters:
    """Sends generations one after another, each on a channel of its own."""

    def __init__(self, case: standins.Case, paths: list[str]) -> None:
        self._case = case
        self._paths = paths
        self._threads: list[threading.Thread] = []
        self.generations: list[Generation] = []

    def send(self, count: int, pause_s: float) -> None:
        """Sends generations with a pause after each."""
        for _ in range(count):
            number = len(self.generations)
            path = self._paths[number % len(self._paths)]
            generation = Generation(f"gen-{number}", path)
            self.generations.append(generation)
            thread = threading.Thread(
                target=self._run, args=(generation, number), daemon=True
            )
            self._threads.append(thread)
            thread.start()
            time.sleep(pause_s)

    def wait(self) -> None:
        """Waits until all have got their answer."""
        for thread in self._threads:
            thread.join()

    def _run(self, generation: Generation, number: int) -> None:
        entries = self._case.entries
        entry = entries[number // len(self._paths) % len(entries)]
        body = b"a specification"
        head = standins.make_head(
            "POST",
            generation.path,
            generation.request_id,
            DEADLINE_MS,
            "X-Dandelionlead-Model: m",
            "X-Dandelionlead-Token-Usage: 1500,240",
            f"X-Dandelionlead-Prefix-Hash: 5c1e07a2:79,{number:08x}:1421",
            f"Content-Length: {len(body)}",
        )
        record = self._case.record
        record.write(f"{generation.request_id} is sent to {entry.name}")
        try:
            with socket.create_connection(entry.front, 2.0) as sock:
                sock.sendall(head + body)
                generation.answer = standins.read_answer(sock, _READ_TIMEOUT_S)
        except OSError as exc:
            record.write(f"{generation.request_id}: {exc!r}")
        answer, ids = generation.answer, generation.event_ids
        record.write(
            f"{generation.request_id} {generation.path} is answered"
            f" {answer.status}, {len(ids)} events, last {ids[-1:]},"
            f" {'ends as complete' if answer.is_complete else 'is cut'}"
        )


class Run:
    """One run at a worker, from its log."""

    def __init__(self, worker_id: str, request_id: str, began_s: float) -> None:
        self.worker_id = worker_id
        self.request_id = request_id
        self.began_s = began_s
        self.ended_s = float("inf")


def read_runs(case: standins.Case, workers: list[standins.Worker]) -> list[Run]:
    """Returns the runs of all workers, and records what the workers wrote."""
    runs = []
    for worker in workers:
        open_runs: dict[str, Run] = {}
        log = case.read_log(f"worker-{worker.worker_id}")
        for line in log.splitlines():
            time_s, word, request_id, *rest = line.split()
            if word != "arrives":
                case.record.write(
                    f"worker {worker.worker_id} at {time_s}:"
                    f" {word} {request_id} {' '.join(rest)}"
                )
            if word == "begins":
                run = Run(worker.worker_id, request_id, float(time_s))
                open_runs[request_id] = run
                runs.append(run)
            elif word == "ends" and request_id in open_runs:
                open_runs.pop(request_id).ended_s = float(time_s)
    return runs
