"""Guards against tokens lost, repeated or of another generation.

The oracle is the list of events of the generation: what the relay passed on
must at any moment be a prefix of it that ends at an event boundary.
"""

import unittest

import hypothesis
from hypothesis import strategies

from dandelionlead.core import errors
from dandelionlead.streams import relay

_EVENTS = [b'id: g1:%d\ndata: {"t":"w%d"}\n\n' % (n, n) for n in range(1, 13)]
_EVENTS.append(b"id: g1:13\ndata: [DONE]\n\n")
_OTHER = [b'id: g2:%d\ndata: {"t":"x%d"}\n\n' % (n, n) for n in range(1, 13)]

_FAULTS = strategies.sampled_from(
    ["skip", "repeat", "cross", "garbage", "truncate", "silent", "cut", "none"]
)
_CONNECTIONS = strategies.lists(
    strategies.tuples(
        _FAULTS,
        strategies.integers(0, 14),
        strategies.lists(strategies.integers(1, 90), max_size=8),
    ),
    max_size=10,
)


class _ScriptedReader(relay.Reader):
    def __init__(self, events, fault, at, sizes):
        self.closed = False
        events = list(events)
        self._end = b""
        if fault == "skip":
            del events[at : at + 1]
        elif fault == "repeat":
            events[at:at] = events[at - 1 : at]
        elif fault == "cross":
            events[at:at] = _OTHER[at : at + 1]
        elif fault == "garbage":
            events.insert(at, b"\x00left over\n\n")
        data = b"".join(events)
        if fault in ("truncate", "silent", "cut"):
            data = data[: at * 20]
            if fault != "truncate":
                self._end = errors.Failure(errors.Kind.ENDPOINT_FAILED, fault)
        self._parts = []
        for size in sizes:
            self._parts.append(data[:size])
            data = data[size:]
        self._parts.append(data)

    def read(self):
        while self._parts:
            part = self._parts.pop(0)
            if part:
                return part
        return self._end

    def close(self):
        self.closed = True


class _ScriptedSource(relay.Source):
    def __init__(self, script):
        self._script = list(script)
        self.readers = []

    def attach(self, after):
        if not self._script:
            return errors.Failure(errors.Kind.GENERATION_LOST, "script ended")
        fault, at, sizes = self._script.pop(0)
        reader = _ScriptedReader(_EVENTS[after:], fault, at, sizes)
        self.readers.append(reader)
        return reader


class RelayTest(unittest.TestCase):
    @hypothesis.given(_CONNECTIONS, strategies.integers(0, 13))
    def test_output_is_a_prefix_of_one_generation(self, script, position):
        source = _ScriptedSource(script)
        relayed = relay.Relay("g1", source, position=position)
        expected = b"".join(_EVENTS[position:])
        output = b""
        for chunk in relayed.chunks():
            output += chunk
            self.assertTrue(expected.startswith(output), (output, script))
            self.assertTrue(output.endswith(b"\n\n"))
        if relayed.finished:
            self.assertEqual(output, expected)
        else:
            self.assertIsNotNone(relayed.failure)
        self.assertTrue(all(reader.closed for reader in source.readers))

    @hypothesis.given(_CONNECTIONS)
    def test_a_good_connection_at_the_end_completes_the_stream(self, script):
        source = _ScriptedSource(script[:2] + [("none", 0, [])])
        relayed = relay.Relay("g1", source)
        self.assertEqual(b"".join(relayed.chunks()), b"".join(_EVENTS))
        self.assertTrue(relayed.finished)


if __name__ == "__main__":
    unittest.main()
