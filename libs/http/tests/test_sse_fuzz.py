"""Guards against incomplete, repeated or lost events after a change of engine.

Oracle: the caller receives exactly the events 1 to N, each complete and once,
no matter into which parts the bytes of an engine are split and where its stream
breaks off.

The source of the function under `hypothesis.given` decides which examples are
drawn without DANDELION_FUZZ_SEED: renaming in it changes the examples.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.http import sse

# Number of events of the whole stream.
_EVENTS = 12


def _stream(first_id: int) -> bytes:
    """Encodes the events from `first_id` to the last one."""
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (event_id, event_id)
        for event_id in range(first_id, _EVENTS + 1)
    )


class EventSplitterFuzz(unittest.TestCase):
    @hypothesis.given(strategies.data())
    def test_caller_has_each_event_once(
        self, data: strategies.DataObject
    ) -> None:
        splitter = sse.EventSplitter()
        got = b""
        for _ in range(data.draw(strategies.integers(0, 4))):
            sent = _stream(splitter.last_event_id + 1)
            cut = data.draw(strategies.integers(0, len(sent)))
            got += self._feed(data, splitter, sent[:cut])
            splitter.drop_incomplete_event()
        got += self._feed(data, splitter, _stream(splitter.last_event_id + 1))
        self.assertEqual(got, _stream(1))
        self.assertEqual(splitter.last_event_id, _EVENTS)
        self.assertEqual(splitter.event_count, _EVENTS)
        self.assertEqual(splitter.incomplete_event, b"")

    def _feed(
        self,
        data: strategies.DataObject,
        splitter: sse.EventSplitter,
        sent: bytes,
    ) -> bytes:
        """Feeds bytes in pieces of random size; returns the complete events."""
        received = b""
        while sent:
            size = data.draw(strategies.integers(1, 40))
            events = splitter.feed(sent[:size])
            self.assertTrue(not events or events.endswith(b"\n\n"))
            received += events
            sent = sent[size:]
        return received


if __name__ == "__main__":
    unittest.main()
