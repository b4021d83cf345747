"""Writes the event log: one line of key=value pairs for each event."""

from __future__ import annotations

import os
import re
import sys

import logbook

from dandelionlead.core import clock

# Limits of a token bucket: lines that a process may write per second on
# average, and lines in one burst. 500 short calls per second with one line each
# and 100 generations per second with four lines each need 900 lines per second.
MAX_LINES_PER_S = 1_000.0
MAX_BURST_LINES = 4_000.0
# Writes of up to this size to a pipe are atomic (PIPE_BUF on Linux).
_MAX_LINE_BYTES = 4_096
_NEEDS_QUOTES = re.compile(r'[ "=\n\r\t]')


class Log:
    """Writes the events of one process.

    Args:
        process: Name of the process, which is written in each line.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._logger = logbook.Logger(process)

    def event(self, name: str, *, req: str = "", **fields: object) -> None:
        """Writes one line with the time, the process and the given fields.

        The time is in seconds since the Unix epoch.

        Args:
            name: Event name in lower case with underscores.
            req: Request id; empty if the event does not belong to a request.
            **fields: Values of further fields by key, written in the order in
                which they are passed.
        """
        now_s = clock.unix_time()
        pairs = {"event": name, "process": self._process}
        if req:
            pairs["req"] = req
        pairs.update(fields)
        line = " ".join(
            f"{key}={_format_value(value)}" for key, value in pairs.items()
        )
        self._logger.info("{}", f"ts={now_s:.6f} {line}")


class PipeHandler(logbook.Handler):
    """Writes log lines to a file descriptor without ever blocking.

    A line is dropped and counted if the descriptor accepts no data or if the
    rate limit is exceeded. The next line that is written is preceded by a
    `log_dropped` line with the number of lines dropped before it. A line that
    is longer than an atomic write to a pipe is truncated.

    Args:
        descriptor: File descriptor, such as that of a pipe; it is set to
            non-blocking mode.
        max_lines_per_s: Lines per second that may be written on average.
        max_burst_lines: Lines that may be written in one burst.

    Attributes:
        dropped_since_write: Number of lines dropped since the last line was
            written.
        dropped_total: Number of lines dropped since the handler was created.
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
        self._max_lines_per_s = max_lines_per_s
        self._max_burst_lines = max_burst_lines
        self.dropped_since_write = 0
        self.dropped_total = 0
        self._available_tokens = max_burst_lines
        self._last_refill_s = clock.boottime()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes the message of a record as one line, or drops it."""
        if not self._acquire_token():
            self._count_dropped_line()
            return
        line = record.message + "\n"
        if self.dropped_since_write:
            line = f"event=log_dropped lines={self.dropped_since_write}\n{line}"
        # A longer write is not atomic and could stop in the middle of a line.
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

    def _acquire_token(self) -> bool:
        """Takes a token of the rate limit; returns False if none is left."""
        now_s = clock.boottime()
        refilled_tokens = (now_s - self._last_refill_s) * self._max_lines_per_s
        self._last_refill_s = now_s
        self._available_tokens = min(
            self._max_burst_lines, self._available_tokens + refilled_tokens
        )
        if self._available_tokens < 1.0:
            return False
        self._available_tokens -= 1.0
        return True


def install_stdout_handler() -> PipeHandler:
    """Installs and returns a `PipeHandler` for standard output."""
    handler = PipeHandler(sys.stdout.fileno())
    handler.push_application()
    return handler


def _format_value(value: object) -> str:
    """Returns a value as text, quoted and escaped if necessary."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
