"""One key=value log line for each event."""

from __future__ import annotations

import os
import re
import sys

import logbook

from dandelionlead.core import clock

# Lines that a process writes a second over time, and at one moment. At four
# lines for a generation and one for a short call, the first is what 500 short
# calls and 100 generations a second write.
LINES_PER_S = 1_000.0
BURST_LINES = 4_000.0
# A pipe takes writes of this size whole or not at all.
_PIPE_LINE_BYTES = 4_096
_TO_QUOTE = re.compile(r'[ "=\n\r\t]')


class Log:
    """Writes the events of one process."""

    def __init__(self, process: str) -> None:
        self._process = process
        self._logger = logbook.Logger(process)

    def event(self, name: str, *, req: str = "", **fields: object) -> None:
        """Writes one line.

        Args:
            name: Event name, lower case with underscores.
            req: Request id, if the event belongs to a request.
            **fields: Further values; written in the order given.
        """
        now = clock.unix_time()
        pairs = {"event": name, "process": self._process}
        if req:
            pairs["req"] = req
        pairs.update(fields)
        line = " ".join(f"{key}={_quote(val)}" for key, val in pairs.items())
        self._logger.info("{}", f"ts={now:.6f} {line}")


class PipeHandler(logbook.Handler):
    """Writes lines to a descriptor that may be full; never waits for it.

    A line that does not fit, or is beyond the rate, is dropped and
    counted. The next one that is written is preceded by one that tells how
    many were.

    Attributes:
        dropped: Lines that were dropped since the last one written.
        dropped_total: Lines that were dropped at all.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        super().__init__(logbook.INFO)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self.dropped = 0
        self.dropped_total = 0
        self._allowance = burst_lines
        self._written_s = clock.boottime()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one line, or drops it."""
        if not self._may_write():
            self._drop()
            return
        line = record.message + "\n"
        if self.dropped:
            line = f"event=log_dropped lines={self.dropped}\n{line}"
        # Longer writes to a pipe could be cut in the middle of a line.
        data = line.encode(errors="replace")[:_PIPE_LINE_BYTES]
        try:
            os.write(self._descriptor, data)
        except OSError:
            self._drop()
        else:
            self.dropped = 0

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _may_write(self) -> bool:
        """Takes one line from the allowance; returns whether there was one."""
        now_s = clock.boottime()
        gained = (now_s - self._written_s) * self._lines_per_s
        self._written_s = now_s
        self._allowance = min(self._burst_lines, self._allowance + gained)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True


def log_to_stdout() -> PipeHandler:
    """Sends all log lines to standard output without ever waiting."""
    handler = PipeHandler(sys.stdout.fileno())
    handler.push_application()
    return handler


def _quote(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _TO_QUOTE.search(text) is None:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
