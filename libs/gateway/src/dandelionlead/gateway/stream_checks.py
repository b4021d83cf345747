"""Splits a generation's stream into events and checks them.

The stream may come from several engines in turn, if the run is resumed.
"""

from __future__ import annotations

from dandelionlead.core import errors
from dandelionlead.http import sse

# Largest event. More bytes without the end of an event are no event.
_MAX_EVENT_BYTES = 32_768
# Number of events that a stream may have beyond one for each output token, for
# events without a token.
_MAX_ADDITIONAL_EVENTS = 1_000


class StreamChecks:
    """Checks of the streams that engines send for one generation.

    Args:
        last_event_id: Id of the last event that the caller has already
            received; 0 for none.
        max_output_tokens: Largest number of tokens that the generation may
            have; 0 if it is not known.
    """

    __slots__ = (
        "_splitter",
        "_max_output_tokens",
        "_received_event_count",
        "_is_first_after_resumption",
        "_has_repeated_last_event",
        "_last_event",
        "_is_end_marked",
        "_engine_last_id",
        "_is_consecutive",
    )

    def __init__(self, last_event_id: int, max_output_tokens: int) -> None:
        self._splitter = sse.EventSplitter(last_event_id)
        self._max_output_tokens = max_output_tokens
        self._received_event_count = 0
        self._is_first_after_resumption = False
        self._has_repeated_last_event = False
        # Bytes of the last accepted event that has an id.
        self._last_event = b""
        # Whether an engine has marked the end after the last accepted event.
        self._is_end_marked = False
        # Last id in the present engine's stream, None before the first, and
        # whether its ids rise by one, None before the second.
        self._engine_last_id: int | None = None
        self._is_consecutive: bool | None = None

    @property
    def last_event_id(self) -> int:
        """Id of the last event that was accepted."""
        return self._splitter.last_event_id

    @property
    def event_count(self) -> int:
        """Number of events with an id that were accepted."""
        return self._splitter.event_count

    def accept(self, data: bytes) -> bytes | errors.Failure:
        """Adds bytes of a stream.

        Args:
            data: The next bytes; they may end in the middle of an event.

        Returns:
            The bytes of the events that are now complete, to be forwarded; may
            be empty. Or why the bytes are not accepted; no event of them
            counts then.
        """
        splitter = self._splitter
        previous_id, previous_count = (
            splitter.last_event_id,
            splitter.event_count,
        )
        complete_events = splitter.feed(data)
        if self._is_first_after_resumption:
            complete_events = self._drop_repeated_event(complete_events)
        failure = self._find_excess(complete_events)
        if failure is None:
            failure = self._find_wrong_resumption(complete_events, previous_id)
        if failure is None:
            failure = self._find_wrong_order(splitter.new_event_ids)
        if failure is None:
            if splitter.new_event_ids:
                self._last_event = sse.find_last_numbered_event(complete_events)
                self._is_end_marked = False
            return complete_events
        splitter.rewind(previous_id, previous_count)
        return failure

    def find_truncation(
        self, *, ends_with_connection: bool
    ) -> errors.Failure | None:
        """Returns why a stream that ended is incomplete; None if it may not be.

        A resumed stream without an event shows nothing by itself: a faulty
        engine may have sent it. But it confirms an end that the engine before
        has marked, if it marks its own end too.

        Args:
            ends_with_connection: Whether the stream has no other end than that
                of its connection.
        """
        if self._splitter.incomplete_event:
            return _make_failure("the stream ended inside an event")
        if self._is_first_after_resumption and not (
            self._has_repeated_last_event
            or (self._is_end_marked and not ends_with_connection)
        ):
            return _make_failure("the resumed stream ended without an event")
        if ends_with_connection and not self._splitter.event_count:
            return _make_failure("the stream ended without an event")
        self._is_end_marked = not ends_with_connection
        return None

    def drop_incomplete_event(self) -> None:
        """Drops the incomplete event; another engine will send it again."""
        self._splitter.drop_incomplete_event()

    def begin_resumed_stream(self) -> None:
        """Expects the next bytes from an engine that resumes the run.

        The first event must continue after the last one that was accepted, if
        there was one.
        """
        self._is_first_after_resumption = self._splitter.event_count > 0
        self._has_repeated_last_event = False
        self._engine_last_id = self._is_consecutive = None

    def _drop_repeated_event(self, complete_events: bytes) -> bytes:
        """Removes the last accepted event from the start of a resumed stream.

        An engine that resumes a run after the last event of its generation has
        none to add, and sends that event once more. This shows that it has the
        run, which an empty stream does not.

        Args:
            complete_events: Bytes of complete events; may be empty.

        Returns:
            The events that follow the repeated one, or all if none is repeated.
        """
        size = complete_events.find(sse.EVENT_END) + len(sse.EVENT_END)
        event = complete_events[:size]
        if (
            self._has_repeated_last_event
            or size < len(sse.EVENT_END)
            or event != self._last_event
        ):
            return complete_events
        self._has_repeated_last_event = True
        self._splitter.drop_first_event()
        return complete_events[size:]

    def _find_excess(self, complete_events: bytes) -> errors.Failure | None:
        """Returns why the bytes that arrived are no stream of events, or None.

        A faulty engine may send bytes without end.
        """
        if len(self._splitter.incomplete_event) > _MAX_EVENT_BYTES:
            return _make_failure("an event exceeds the size limit")
        self._received_event_count += complete_events.count(sse.EVENT_END)
        if self._max_output_tokens and self._received_event_count > (
            self._max_output_tokens + _MAX_ADDITIONAL_EVENTS
        ):
            return _make_failure(
                "the stream has more events than output tokens"
            )
        return None

    def _find_wrong_order(self, event_ids: list[int]) -> errors.Failure | None:
        """Returns why events do not follow the ones before them, or None.

        The ids of a stream rise. If its first two are consecutive, a later one
        that is not shows that an event is missing.

        Args:
            event_ids: Ids of the events that arrived; may be empty.
        """
        for event_id in event_ids:
            last_id, self._engine_last_id = self._engine_last_id, event_id
            if last_id is None:
                continue
            step = event_id - last_id
            if step < 1:
                return _make_failure(
                    f"event {event_id} arrived after event {last_id}"
                )
            if self._is_consecutive is None:
                self._is_consecutive = step == 1
            elif self._is_consecutive and step > 1:
                return _make_failure(
                    f"events are missing between {last_id} and {event_id}"
                )
        return None

    def _find_wrong_resumption(
        self, complete_events: bytes, previous_id: int
    ) -> errors.Failure | None:
        """Returns why events do not continue a resumed stream, or None.

        Only the first events after a resumption are checked.

        Args:
            complete_events: Bytes of complete events; may be empty.
            previous_id: Id of the last event that was accepted.
        """
        if not self._is_first_after_resumption or not complete_events:
            return None
        self._is_first_after_resumption = False
        first_id = sse.find_first_event_id(complete_events)
        if first_id == previous_id + 1:
            return None
        return errors.Failure(
            errors.Kind.GENERATION_LOST,
            "the resumed stream does not continue after the last"
            f" forwarded event, {previous_id}: its first event is {first_id}",
        )


def _make_failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_FAILED, reason)
