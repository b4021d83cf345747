"""Guards against resume tokens that were forged, expired or of others."""

import unittest

from dandelionlead.core import errors
from dandelionlead.streams import tokens

_OLD, _NEW = b"old key", b"new key"


def _token(**changes):
    fields = {
        "request_id": "r1",
        "generation_id": "g1",
        "endpoint": "e1",
        "team": "t1",
        "route": "quotes",
        "units": 100,
        "expires_unix_s": 1000.0,
    }
    fields.update(changes)
    return tokens.ResumeToken(**fields)


class SignerTest(unittest.TestCase):
    def test_round_trip(self):
        signer = tokens.Signer([_NEW])
        back = signer.verify(signer.sign(_token()), team="t1", now_unix_s=1)
        for name in tokens.ResumeToken.__slots__:
            self.assertEqual(getattr(back, name), getattr(_token(), name))

    def test_key_rotation(self):
        cases = [
            ([_OLD], [_NEW, _OLD], True),
            ([_NEW, _OLD], [_OLD], False),
            ([_OLD], [_NEW], False),
        ]
        for signing, verifying, accepted in cases:
            with self.subTest(signing=signing, verifying=verifying):
                text = tokens.Signer(signing).sign(_token())
                result = tokens.Signer(verifying).verify(
                    text, team="t1", now_unix_s=1
                )
                self.assertEqual(bool(result), accepted)

    def test_refusals(self):
        signer = tokens.Signer([_NEW])
        good = signer.sign(_token())
        payload, _, signature = good.partition(".")
        other = signer.sign(_token(generation_id="g2")).partition(".")[0]
        cases = [
            ("other team", good, "t2", 1, "token_invalid"),
            ("expired", good, "t1", 1000, "token_expired"),
            ("spliced", f"{other}.{signature}", "t1", 1, "token_invalid"),
            ("cut", good[:-3], "t1", 1, "token_invalid"),
            ("no signature", payload, "t1", 1, "token_invalid"),
            ("not base64", "\x00!.é", "t1", 1, "token_invalid"),
            ("empty", "", "t1", 1, "token_invalid"),
            ("huge", "a" * 5000, "t1", 1, "token_invalid"),
        ]
        for name, text, team, now, kind in cases:
            with self.subTest(name):
                result = signer.verify(text, team=team, now_unix_s=now)
                self.assertIsInstance(result, errors.Failure)
                self.assertEqual(result.kind.value, kind)


if __name__ == "__main__":
    unittest.main()
