"""Guards against messages that two decoders read differently, and waits."""

import unittest

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from dandelionlead.wire import framing
from dandelionlead.wire.gen import ttypes


class _Connection:
    def __init__(self, data=b""):
        self.data = data

    def sendall(self, data):
        self.data += data

    def recv(self, count):
        part, self.data = self.data[:count], self.data[count:]
        return part


def _frame(payload):
    return _Connection(len(payload).to_bytes(4, "big") + payload)


def _decode(payload, kind=ttypes.Gossip):
    transport = framing.FrameTransport(_frame(payload))
    # The head of a message is read before its struct, and fetches the frame.
    transport.read(0)
    value = kind()
    value.read(framing.protocol(transport))
    return value


def _encode(value):
    conn = _Connection()
    transport = framing.FrameTransport(conn)
    value.write(framing.protocol(transport))
    transport.flush()
    return conn.data[4:]


def _gossip():
    state = ttypes.MemberState(
        name="entry-ü", incarnation=1_780_000_000_000, state=2, role="entry"
    )
    suspect = ttypes.Suspect(
        fingerprint="f", crashed={"a", "b"}, cleared=True, expires_in_s=0.5
    )
    return ttypes.Gossip(
        sender="entry-1",
        members=[state] * 20,
        head=ttypes.ConfigHead(version=7, apply_id="x", parts={"a": "b"}),
        freshness=ttypes.Freshness(
            head_version=7,
            confirmed_s_ago=-1.0,
            platform_failed_s_ago=0.25,
            vouchers=b"\x00\xff",
        ),
        suspects=[suspect],
        counts_digest="",
        counts={"entry-1": -(2**62)},
    )


class FramingTest(unittest.TestCase):
    def test_plain_decoder_reads_the_same(self):
        data = _encode(_gossip())
        buffer = TTransport.TMemoryBuffer(data)
        plain = ttypes.Gossip()
        plain.read(TCompactProtocol.TCompactProtocol(buffer))
        self.assertEqual(plain, _gossip())

    def test_messages_of_the_plain_encoder_are_read(self):
        buffer = TTransport.TMemoryBuffer()
        _gossip().write(TCompactProtocol.TCompactProtocol(buffer))
        self.assertEqual(_decode(buffer.getvalue()), _gossip())

    def test_message_beyond_its_frame_is_refused_without_a_wait(self):
        data = _encode(_gossip())
        with self.assertRaises(TTransport.TTransportException):
            _decode(data[:-30])

    def test_faulty_messages_raise_what_callers_catch(self):
        cases = {
            "string of 2 GB": b"\x18\xff\xff\xff\xff\x07x",
            "list of 2**31 members": b"\x29\xfc\xff\xff\xff\xff\x07",
            "nesting without end": b"\xfc" + b"\x1c" * 3_000_000,
        }
        for name, payload in cases.items():
            with (
                self.subTest(name),
                self.assertRaises(framing.MESSAGE_FAULTS),
            ):
                _decode(payload)


if __name__ == "__main__":
    unittest.main()
