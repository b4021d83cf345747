"""Guards against events that are cut, doubled or lost over several engines.

Oracle: the caller has exactly the events 1 to N, each whole and once, however
the bytes of each engine were cut and wherever it broke off.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.http import sse

_EVENTS = 12


def _stream(first: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(first, _EVENTS + 1)
    )


class RelayFuzz(unittest.TestCase):
    @hypothesis.given(strategies.data())
    def test_caller_has_each_event_once(
        self, data: strategies.DataObject
    ) -> None:
        splitter = sse.EventSplitter()
        got = b""
        for _ in range(data.draw(strategies.integers(0, 4))):
            sent = _stream(splitter.last_id + 1)
            cut = data.draw(strategies.integers(0, len(sent)))
            got += self._feed(data, splitter, sent[:cut])
            splitter.drop_tail()
        got += self._feed(data, splitter, _stream(splitter.last_id + 1))
        self.assertEqual(got, _stream(1))
        self.assertEqual(splitter.last_id, _EVENTS)
        self.assertEqual(splitter.events, _EVENTS)
        self.assertEqual(splitter.tail, b"")

    def _feed(
        self,
        data: strategies.DataObject,
        splitter: sse.EventSplitter,
        sent: bytes,
    ) -> bytes:
        got = b""
        while sent:
            size = data.draw(strategies.integers(1, 40))
            whole = splitter.feed(sent[:size])
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
            got += whole
            sent = sent[size:]
        return got


if __name__ == "__main__":
    unittest.main()
