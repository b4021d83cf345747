"""What callers and workers of the soak run have seen, and what was wrong."""

from __future__ import annotations

import os
import pathlib

import harness
import soak_cuts
import soak_leaving

from dandelionlead.core import clock

# Statuses of a response which state that the request did not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_EVENT_END = b"\n\n"
# Number of times that a request may run, by kind of request.
_MAX_RUNS = {"order": 1, "stock": 2}


class Observations:
    """Results of requests, as observed by callers and workers.

    Attributes:
        violations: One line for each violation of a guarantee, with its time
            and the load average of the machine.
        fault_lines: One line for each fault that was injected, with its time.
        response_counts: Number of responses by kind of request and HTTP status.
        run_counts: Number of times that each request id reached a worker.
        not_run_statuses: HTTP status by request id, for each response which
            states that the request did not run.
        cuts: Cuts of paths from entries to workers.
        early_ends: How workers ended streams early, by request id.
        early_complete_count: Number of complete streams of wrong events.
        leaving_ends: Ends of the streams of leaving engines.
        max_run_counts: Number of times that each request id may reach a worker;
            contains no requests for streams.
    """

    def __init__(self) -> None:
        self._started_s = clock.boottime()
        self.violations: list[str] = []
        self.fault_lines: list[str] = []
        self.response_counts: dict[tuple[str, int], int] = {}
        self.run_counts: dict[str, int] = {}
        self.not_run_statuses: dict[str, int] = {}
        self.cuts: list[soak_cuts.CutPaths] = []
        self.early_ends: dict[str, str] = {}
        self.early_complete_count = 0
        self.leaving_ends = soak_leaving.LeavingEnds()
        self.max_run_counts: dict[str, int] = {}

    def add_violation(self, text: str) -> None:
        """Records a violation with its time and the machine's load."""
        load_average, _, _ = os.getloadavg()
        self.violations.append(
            f"{text} (after {self._compute_elapsed_s():.1f} s,"
            f" load average {load_average:.1f})"
        )

    def add_fault(self, description: str) -> None:
        """Records a fault with its time."""
        self.fault_lines.append(
            f"{self._compute_elapsed_s():.2f} s {description}"
        )

    def limit_runs(self, kind: str, request_id: str) -> None:
        """Sets how often a request may run, by its kind."""
        if kind in _MAX_RUNS:
            self.max_run_counts[request_id] = _MAX_RUNS[kind]

    def record_first_try(
        self, host: str, kind: str, sent_at_s: float, *, is_served: bool
    ) -> None:
        """Counts a first try for each cut; see `soak_cuts`."""
        for cut in self.cuts:
            cut.record_try(host, kind, sent_at_s, is_served=is_served)

    def check_cuts(self) -> None:
        """Records a violation for each cut that callers noticed too much."""
        for cut in self.cuts:
            if cut.is_violated():
                self.add_violation(str(cut))

    def check_runs(self) -> None:
        """Records a violation for each request that should not have run.

        These are requests that ran although the status of their response states
        that they did not, and requests that ran too often.
        """
        for request_id, status in self.not_run_statuses.items():
            if self.run_counts.get(request_id):
                self.add_violation(f"{request_id} got {status} but ran")
        for request_id, max_runs in self.max_run_counts.items():
            run_count = self.run_counts.get(request_id, 0)
            if run_count > max_runs:
                self.add_violation(
                    f"{request_id} ran {run_count} times, limit {max_runs}"
                )

    def record_response(
        self,
        kind: str,
        request_id: str,
        response: harness.Response,
        event_count: int,
    ) -> None:
        """Counts and checks what a caller has received.

        Args:
            kind: Kind of the request.
            request_id: Its id.
            response: What the caller has received.
            event_count: Number of events of a whole stream.
        """
        key = (kind, response.status)
        self.response_counts[key] = self.response_counts.get(key, 0) + 1
        if response.status in _NOT_RUN_STATUSES:
            self.not_run_statuses[request_id] = response.status
        self.check_response(kind, request_id, response, event_count)

    def record_run(self, request_id: str, target: bytes, service: str) -> None:
        """Counts a run; checks that the service may run the request.

        Args:
            request_id: Id of the request.
            target: Target of the request.
            service: Service of the worker.
        """
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        expected = "engines" if b"/stream/" in target else "plain"
        if service != expected:
            self.add_violation(f"{request_id} ran at a worker of {service}")

    def check_logs(self, folder: pathlib.Path) -> None:
        """Checks that no process ended over a call without a response.

        Only streams that have begun may be cut at the end of a planned stop.

        Args:
            folder: Directory with the logs of the processes.
        """
        for path in sorted(folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                is_cut = "event=cut_at_stop" in line
                if is_cut and "phase=responding" not in line:
                    self.add_violation(f"cut without a response: {line}")

    def check_response(
        self,
        kind: str,
        request_id: str,
        response: harness.Response,
        event_count: int,
    ) -> None:
        """Checks the body of a response with status 200.

        An incomplete stream must contain the start of the expected bytes; an
        incomplete body of another kind is not checked.
        """
        if response.status != 200:
            return
        if kind in _MAX_RUNS:
            expected_body = b"whole of " + kind.encode()
            if response.is_complete and response.body != expected_body:
                self.add_violation(
                    f"{request_id} got an unexpected body: {response.body!r}"
                )
            return
        expected_stream = _make_stream(event_count)
        if response.is_complete and response.body != expected_stream:
            self.early_complete_count += 1
            self.add_violation(
                f"{request_id} got a complete stream of wrong events,"
                f" {response.body.count(_EVENT_END)} of {event_count};"
                f" {self.early_ends.get(request_id, 'no worker ended it')}"
            )
        if not expected_stream.startswith(response.body):
            self.add_violation(
                f"{request_id} got missing, repeated or wrong events"
            )

    def check_cut(
        self,
        request_id: str,
        response: harness.Response,
        deadline_s: float,
        event_count: int,
        *,
        is_entry_broken: bool,
        last_broken_s: float,
    ) -> None:
        """Records a violation if a whole stream was cut at its end.

        Args:
            request_id: Id of the request.
            response: What its caller has received.
            deadline_s: Deadline of the request in seconds of `clock.boottime`.
            event_count: Number of events of a whole stream.
            is_entry_broken: Whether its entry was killed or suspended.
            last_broken_s: When any entry was last killed or suspended.
        """
        if response.is_complete or response.body != _make_stream(event_count):
            return
        violation = self.leaving_ends.check_cut(
            request_id,
            deadline_s,
            is_entry_broken=is_entry_broken,
            last_broken_s=last_broken_s,
        )
        if violation:
            self.add_violation(violation)

    def _compute_elapsed_s(self) -> float:
        return clock.boottime() - self._started_s


def _make_stream(event_count: int) -> bytes:
    """Returns the body of a whole stream."""
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(1, event_count + 1)
    )
