"""Writes the event log: one line of key=value pairs for each event."""

from __future__ import annotations

import os
import re
import sys

import logbook

from dandelionlead.core import clock

# Limits of a token bucket: lines that a process may write per second on average
# and in one burst. 500 short calls per second with one line each and 100
# generations per second with four lines each need 900 lines per second.
MAX_LINES_PER_S = 1_000.0
MAX_BURST_LINES = 4_000.0
# Writes to a pipe of up to this size are atomic (PIPE_BUF on Linux).
_MAX_LINE_BYTES = 4_096
_NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]')


class Log:
    """Writes the events of one process.

    Args:
        process: Name of the process; each line contains it.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._logger = logbook.Logger(process)

    def event(self, name: str, *, req: str = "", **fields: object) -> None:
        """Writes one line with the time, the process and the given fields.

        Args:
            name: Event name, lower case with underscores.
            req: Request id; empty if the event does not belong to a request.
            **fields: Further values by key, written in this order.
        """
        now_s = clock.unix_time()
        pairs = {"event": name, "process": self._process}
        if req:
            pairs["req"] = req
        pairs.update(fields)
        line = " ".join(
            f"{key}={_format_value(val)}" for key, val in pairs.items()
        )
        self._logger.info("{}", f"ts={now_s:.6f} {line}")


class PipeHandler(logbook.Handler):
    """Writes log lines to a file descriptor without ever blocking.

    A line is dropped and counted if the descriptor accepts no data or if the
    rate limit is exceeded. The next line that is written is preceded by a line
    with the number of dropped lines.

    Args:
        descriptor: File descriptor, such as that of a pipe; it is set to
            non-blocking mode.
        max_lines_per_s: Lines per second that may be written on average.
        max_burst_lines: Lines that may be written in one burst.

    Attributes:
        dropped_since_write: Number of lines dropped since the last line was
            written.
        dropped_total: Number of lines dropped since the start.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        max_lines_per_s: float = MAX_LINES_PER_S,
        max_burst_lines: float = MAX_BURST_LINES,
    ) -> None:
        super().__init__(logbook.INFO)
        self._descriptor = descriptor
        self._lines_per_s = max_lines_per_s
        self._burst_lines = max_burst_lines
        self.dropped_since_write = 0
        self.dropped_total = 0
        self._available_lines = max_burst_lines
        self._last_refill_s = clock.boottime()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one line or drops it."""
        if not self._acquire_line():
            self._count_dropped_line()
            return
        line = record.message + "\n"
        if self.dropped_since_write:
            line = f"event=log_dropped lines={self.dropped_since_write}\n{line}"
        # A longer write is not atomic and could end in the middle of a line.
        data = line.encode(errors="replace")[:_MAX_LINE_BYTES]
        try:
            os.write(self._descriptor, data)
        except OSError:
            self._count_dropped_line()
        else:
            self.dropped_since_write = 0

    def _count_dropped_line(self) -> None:
        self.dropped_since_write += 1
        self.dropped_total += 1

    def _acquire_line(self) -> bool:
        """Takes one line from the token bucket; False if it is empty."""
        now_s = clock.boottime()
        refill_lines = (now_s - self._last_refill_s) * self._lines_per_s
        self._last_refill_s = now_s
        self._available_lines = min(
            self._burst_lines, self._available_lines + refill_lines
        )
        if self._available_lines < 1.0:
            return False
        self._available_lines -= 1.0
        return True


def install_stdout_handler() -> PipeHandler:
    """Installs and returns a handler for standard output that never blocks."""
    handler = PipeHandler(sys.stdout.fileno())
    handler.push_application()
    return handler


def _format_value(value: object) -> str:
    """Returns a value as text, quoted and escaped where needed."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
