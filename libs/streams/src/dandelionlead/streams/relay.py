"""Passes one generation's events on, across connections to its endpoint."""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Iterator

from dandelionlead.core import errors
from dandelionlead.streams import checks

# With 2 s of allowed silence, a first token may take 10 s; later three silent
# connections in a row mean that the endpoint is lost for the stream.
MAX_ATTEMPTS_BEFORE_FIRST = 5
MAX_ATTEMPTS = 3


class Reader(abc.ABC):
    """One connection that brings the events of a generation."""

    @abc.abstractmethod
    def read(self) -> bytes | errors.Failure:
        """Returns the bytes that have arrived; empty at the end.

        Silence beyond the bound and a broken connection are failures.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the connection; the generation goes on."""


class Source(abc.ABC):
    """Opens connections to one generation at its endpoint."""

    @abc.abstractmethod
    def attach(self, after: int) -> Reader | errors.Failure:
        """Attaches after a position.

        A failure of kind GENERATION_LOST or GENERATION_UNKNOWN is final;
        others are worth another attempt.
        """


class Relay:
    """Relays one generation to one reader.

    Args:
        generation_id: The generation at its endpoint.
        source: Opens connections to the endpoint.
        position: Last event that the reader already has.
        pause: Called with the number of attempts that failed so far before
            the next one; waits for the back-off.

    Attributes:
        failure: Why the relay ended early; None while it runs or when it
            ended with the last event.
        finished: Whether the last event was passed on.
        faults: What was wrong on connections, oldest first.
    """

    def __init__(
        self,
        generation_id: str,
        source: Source,
        *,
        position: int = 0,
        pause: Callable[[int], None] | None = None,
    ) -> None:
        self._checker = checks.EventChecker(generation_id, position)
        self._source = source
        self._pause = pause
        self._started_at = position
        self.failure: errors.Failure | None = None
        self.faults: list[str] = []

    @property
    def finished(self) -> bool:
        """Whether the last event was passed on."""
        return self._checker.finished

    @property
    def position(self) -> int:
        """Position of the last event that was passed on."""
        return self._checker.position

    def chunks(self, reader: Reader | None = None) -> Iterator[bytes]:
        """Yields whole events until the generation ends or is lost.

        Args:
            reader: Connection that already brings the events after the
                present position; None to attach first.
        """
        attempts = 0
        while attempts < self._max_attempts():
            if reader is None:
                reader = self._attach(attempts)
            if reader is not None:
                before = self.position
                yield from self._pass_on(reader)
                reader = None
                if self.finished:
                    return
                if self.position > before:
                    attempts = 0
            if self.failure is not None:
                return
            attempts += 1
        self.failure = errors.Failure(
            errors.Kind.GENERATION_LOST,
            f"the endpoint sent nothing over {attempts} connections",
        )

    def _max_attempts(self) -> int:
        if self.position == self._started_at:
            return MAX_ATTEMPTS_BEFORE_FIRST
        return MAX_ATTEMPTS

    def _attach(self, attempts: int) -> Reader | None:
        if attempts and self._pause is not None:
            self._pause(attempts)
        self._checker.restart()
        reader = self._source.attach(self.position)
        if isinstance(reader, errors.Failure):
            self.faults.append(reader.reason)
            if reader.kind in (
                errors.Kind.GENERATION_LOST,
                errors.Kind.GENERATION_UNKNOWN,
            ):
                self.failure = reader
            return None
        return reader

    def _pass_on(self, reader: Reader) -> Iterator[bytes]:
        try:
            while True:
                data = reader.read()
                if isinstance(data, errors.Failure):
                    self.faults.append(data.reason)
                    return
                if not data:
                    self.faults.append("the connection ended early")
                    return
                checked = self._checker.feed(data)
                if checked.data:
                    yield checked.data
                if checked.finished:
                    return
                if checked.fault:
                    self.faults.append(checked.fault)
                    return
        finally:
            reader.close()
