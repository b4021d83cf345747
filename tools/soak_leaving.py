"""Checks that whole streams of leaving engines reach their callers."""

from __future__ import annotations

import collections

# Time before the deadline of a request in which its end may arrive too late.
_DEADLINE_SLACK_S = 0.2


class StreamEnd:
    """How a leaving engine has ended a stream.

    Attributes:
        description: The engine and what its address does after its exit.
        header_notice_s: When it announced that it leaves, in seconds of
            `clock.boottime`; infinite if its row stated it too.
        ended_s: When it ended the stream, in seconds of `clock.boottime`.
        is_whole: Whether it had sent all events.
        has_last_chunk: Whether it marked the end; otherwise, the stream ended
            with its connection.
        excuse: What the soak did that may have cut the stream; empty if it did
            nothing.
    """

    __slots__ = (
        "description",
        "header_notice_s",
        "ended_s",
        "is_whole",
        "has_last_chunk",
        "excuse",
    )

    def __init__(
        self,
        description: str,
        ended_s: float,
        *,
        header_notice_s: float = float("inf"),
        is_whole: bool,
        has_last_chunk: bool,
        excuse: str,
    ) -> None:
        self.description = description
        self.header_notice_s = header_notice_s
        self.ended_s = ended_s
        self.is_whole = is_whole
        self.has_last_chunk = has_last_chunk
        self.excuse = excuse


class LeavingEnds:
    """Ends of the streams of leaving engines.

    Attributes:
        engine_count: Number of engines that have left.
        end_count: Number of streams that leaving engines have ended.
    """

    def __init__(self) -> None:
        self.engine_count = 0
        self.end_count = 0
        self._whole_ends: dict[str, StreamEnd] = {}
        # Number of whole streams that were cut, by what allows it.
        self._cut_counts: collections.Counter[str] = collections.Counter()

    def record_end(self, request_id: str, end: StreamEnd) -> None:
        """Counts an end, and keeps it if the stream was whole."""
        self.end_count += 1
        if end.is_whole:
            self._whole_ends[request_id] = end

    def check_cut(
        self,
        request_id: str,
        deadline_s: float,
        *,
        is_entry_broken: bool,
        last_broken_s: float,
    ) -> str:
        """Counts a stream that was cut after its caller had all events.

        Without a last chunk, the end of an engine that has exited can not be
        told from a crash, so that such a stream may be cut.

        Args:
            request_id: Id of the request.
            deadline_s: Its deadline, in seconds of `clock.boottime`.
            is_entry_broken: Whether its entry was killed or suspended.
            last_broken_s: When any entry was last killed or suspended, in
                seconds of `clock.boottime`. It may be the only one that had
                received a header.

        Returns:
            The violation; empty if there is none.
        """
        end = self._whole_ends.get(request_id)
        if end is None:
            return ""
        if not end.has_last_chunk:
            excuse = "missing framing"
        elif is_entry_broken:
            excuse = "an entry that was killed or suspended"
        elif last_broken_s >= end.header_notice_s:
            excuse = "a notice to an entry that was killed or suspended"
        elif end.ended_s > deadline_s - _DEADLINE_SLACK_S:
            excuse = "the deadline"
        else:
            excuse = end.excuse
        self._cut_counts[excuse] += 1
        if excuse:
            return ""
        return f"whole answer cut: {request_id}, {end.description}"

    def __str__(self) -> str:
        framed_count = sum(
            end.has_last_chunk for end in self._whole_ends.values()
        )
        unframed_count = len(self._whole_ends) - framed_count
        cut_counts = "".join(
            f"; cut, allowed by {excuse}: {count}"
            for excuse, count in sorted(self._cut_counts.items())
            if excuse
        )
        return (
            f"{self.engine_count} left, {self.end_count} ends; whole with a"
            f" last chunk: {framed_count}, without framing: {unframed_count};"
            f" cut, not allowed: {self._cut_counts['']}{cut_counts}"
        )
