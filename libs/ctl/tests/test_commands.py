"""Guards against commands that hide failures or report them untruthfully."""

import contextlib
import io
import json
import pathlib
import re
import tempfile
import threading
import unittest

from dandelionlead import config
from dandelionlead.config import head
from dandelionlead.core import errors
from dandelionlead.ctl import apply
from dandelionlead.ctl import applying
from dandelionlead.ctl import confirm
from dandelionlead.ctl import exits
from dandelionlead.ctl import fanout
from dandelionlead.ctl import main
from dandelionlead.ctl import peers
from dandelionlead.ctl import show
from dandelionlead.ctl import status
from dandelionlead.ctl import trace
from dandelionlead.platform import api

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_DOWN = errors.Failure(errors.Kind.PLATFORM_UNAVAILABLE, "out of service")


class Fake(api.TableService, api.ObjectStore, api.InstanceList):
    def __init__(self, *names):
        self.rows = {}
        self.objects = {}
        self.listed = [
            api.Listed(name, f"{name}:1", f"{name}:2", "z", "live")
            for name in names
        ]
        self.outcome = None
        self.down = False

    def read(self, keys):
        return _DOWN if self.down else [self.rows.get(key) for key in keys]

    def transact(self, ops):
        if self.outcome is not None:
            return self.outcome
        for op in ops:
            self.rows[op.key] = api.Row(op.if_version + 1, op.value)
        return api.Committed([op.if_version + 1 for op in ops])

    def put(self, data):
        digest = apply.config_parts.digest(data)
        self.objects[digest] = data
        return digest

    def get(self, digest):
        return self.objects.get(digest, _DOWN)

    def fetch(self):
        return _DOWN if self.listed is None else self.listed


class Notified(confirm.Notifier):
    """Answers each round with the next of the scripted replies."""

    def __init__(self, **replies):
        self.replies = {f"{name}:2": list(r) for name, r in replies.items()}

    def notify(self, addresses, new, limit_s):
        found = {}
        for address in addresses:
            left = self.replies.get(address, [])
            if left:
                found[address] = left.pop(0) if len(left) > 1 else left[0]
        return found


class Clock:
    def __init__(self):
        self.time_s = 0.0

    def wait(self, seconds):
        self.time_s += seconds

    def timing(self):
        return apply.Timing(lambda: self.time_s, self.wait, 5.0)


def _content(user="haddad"):
    text = (_EXAMPLES / user / "operators.jsonc").read_text()
    return config.load_operators(text, user)


def _apply(fake, notified=None, **kwargs):
    platform = api.Platform(fake, fake, fake)
    notified = notified or Notified()
    timing = Clock().timing()
    return applying.run(_content(), platform, notified, timing, **kwargs)


class ApplyTest(unittest.TestCase):
    def test_exit_codes_and_results(self):
        unknown = api.OutcomeUnknown("timed out")
        cases = [
            ("accepted", {}, None, exits.DONE, "accepted"),
            ("conflict", {}, api.Conflict([0]), exits.CONFLICT, "refused"),
            ("other base", {"if_version": 7}, None, exits.CONFLICT, "refused"),
            ("outage", {}, api.Unavailable("x"), exits.REFUSED, "refused"),
            ("lost", {}, unknown, exits.UNKNOWN, "unknown"),
        ]
        for name, kwargs, outcome, code, result in cases:
            with self.subTest(name=name):
                fake = Fake()
                fake.outcome = outcome
                answer = _apply(fake, **kwargs)
                self.assertEqual(answer.code, code, answer.lines)
                self.assertEqual(answer.plain["result"], result)
                json.loads(answer.text(as_json=True))

    def test_same_content_makes_no_new_version(self):
        fake = Fake()
        _apply(fake)
        answer = _apply(fake)
        self.assertEqual(answer.plain["version"], 1)
        self.assertFalse(answer.plain["changed"])

    def test_each_process_is_reported_with_its_reason(self):
        refused = errors.Failure(errors.Kind.PEER_REFUSED, "another key")
        notified = Notified(
            slow=[confirm.Reply(0, "parts are missing"), confirm.Reply(1)],
            stuck=[confirm.Reply(0, "parts are missing")],
            stranger=[refused],
            ahead=[confirm.Reply(9)],
        )
        names = ("slow", "stuck", "stranger", "ahead", "silent")
        answer = _apply(Fake(*names), notified)
        self.assertEqual(answer.code, exits.NOT_CONFIRMED)
        self.assertEqual(answer.plain["result"], "accepted")
        reasons = {
            item["name"]: item["reason"]
            for item in answer.plain["confirmations"]
        }
        self.assertEqual(reasons["slow"], "")
        self.assertEqual(reasons["ahead"], "")
        self.assertEqual(reasons["stuck"], "parts are missing")
        self.assertEqual(reasons["stranger"], "another key")
        self.assertEqual(reasons["silent"], "it did not answer in time")

    def test_accepted_is_said_although_nobody_can_be_notified(self):
        fake = Fake()
        fake.listed = None
        answer = _apply(fake)
        self.assertEqual(answer.code, exits.NOT_CONFIRMED)
        self.assertEqual(answer.plain["result"], "accepted")

    def test_a_lost_object_is_never_accepted(self):
        fake = Fake()
        fake.get = lambda digest: _DOWN
        self.assertEqual(_apply(fake).code, exits.REFUSED)
        self.assertEqual(fake.rows, {})


class ReadTest(unittest.TestCase):
    def setUp(self):
        self.fake = Fake()
        self.platform = api.Platform(self.fake, self.fake, self.fake)

    def test_show_and_status_before_the_first_apply(self):
        for command in (show.run, status.run):
            with self.subTest(command=command):
                answer = command(self.platform)
                self.assertEqual(answer.code, exits.NOT_FOUND)

    def test_show_returns_what_was_applied(self):
        _apply(self.fake)
        answer = show.run(self.platform)
        self.assertEqual(answer.code, exits.DONE)
        self.assertEqual(answer.plain["content"], _content().to_plain())

    def test_altered_parts_and_heads_are_refused(self):
        _apply(self.fake)
        row = self.fake.rows[apply.HEAD_KEY]
        for value in ({}, {**row.value, "version": "1"}, {"version": 1}):
            with self.subTest(value=value):
                self.fake.rows[apply.HEAD_KEY] = api.Row(1, value)
                self.assertEqual(show.run(self.platform).code, 7)
        self.fake.rows[apply.HEAD_KEY] = row
        self.fake.objects = dict.fromkeys(self.fake.objects, b"{}")
        self.assertEqual(show.run(self.platform).code, exits.UNREACHABLE)

    def test_status_shows_rollouts_and_zones(self):
        _apply(self.fake)
        row = {"state": "rolled_back", "reason": "failures", "share": 0.0}
        key = api.Key("rollout", "quote-writer")
        self.fake.rows[key] = api.Row(1, row)
        answer = status.run(self.platform)
        rollout = answer.plain["rollouts"]["quote-writer"]
        self.assertEqual(rollout["state"], "rolled_back")
        zones = answer.plain["availability_zones"]
        self.assertEqual(
            zones["amman-a"], {"state": "open", "endpoints": 4, "leaving": 0}
        )
        self.assertIn("failures", "\n".join(answer.lines))
        self.fake.down = True
        self.assertEqual(status.run(self.platform).code, exits.UNREACHABLE)


class Traced(peers.Peers):
    def __init__(self, replies):
        super().__init__(b"")
        self._replies = replies

    def trace(self, addresses, request_id):
        return self._replies


class TraceTest(unittest.TestCase):
    def test_events_are_merged_by_time_and_gaps_are_named(self):
        log = (
            "ts=3.000000 event=ended process=a req=r1\n"
            "ts=2.000000 event=sent process=gone req=r1 note=x\n"
            "ts=2.500000 event=sent process=gone req=r10\n"
            "no event\n"
        )
        events = [
            peers.Event("a", 1.0, "event=began process=a req=r1"),
            peers.Event("a", 3.0000000001, "event=ended process=a req=r1"),
        ]
        fake = Fake("a", "b", "c")
        platform = api.Platform(fake, fake, fake)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "gone.log"
            path.write_text(log)
            refused = errors.Failure(errors.Kind.PEER_REFUSED, "another key.")
            asked = Traced({"a:2": events, "b:2": refused})
            answer = trace.run("r1", platform, asked, (path,))
        names = [event["line"].split()[0] for event in answer.plain["events"]]
        self.assertEqual(names, ["event=began", "event=sent", "event=ended"])
        self.assertEqual(answer.code, exits.PARTIAL)
        self.assertEqual(
            answer.plain["missing"],
            ["b at b:2: another key.", "c at c:2: it did not answer in time."],
        )

    def test_unknown_request_is_not_found(self):
        fake = Fake("a")
        platform = api.Platform(fake, fake, fake)
        answer = trace.run("r1", platform, Traced({"a:2": []}))
        self.assertEqual(answer.code, exits.NOT_FOUND)


class ProgramTest(unittest.TestCase):
    def test_exit_codes_of_check_and_usage(self):
        haddad = str(_EXAMPLES / "haddad" / "operators.jsonc")
        entry = str(_EXAMPLES / "haddad" / "entry.jsonc")
        cases = [
            (["check", haddad], exits.DONE),
            (["check", "--process", entry], exits.DONE),
            (["check", entry], exits.FAULTS),
            (["check", "/nowhere"], exits.FAULTS),
            (["show", "--settings", haddad], exits.FAULTS),
            (["check"], exits.USAGE),
            (["unknown"], exits.USAGE),
            (["apply", haddad, "--limit-s", "soon"], exits.USAGE),
        ]
        for args, code in cases:
            with (
                self.subTest(args=args),
                contextlib.redirect_stdout(io.StringIO()),
                contextlib.redirect_stderr(io.StringIO()),
            ):
                self.assertEqual(main.main(args), code)


class ExitCodesTest(unittest.TestCase):
    def test_the_guide_lists_every_exit_code(self):
        guide = (_EXAMPLES.parent / "docs" / "operators.md").read_text()
        listed = {int(code) for code in re.findall(r"^\| (\d) \|", guide, re.M)}
        codes = {val for val in vars(exits).values() if isinstance(val, int)}
        self.assertEqual(listed, codes)


class FanoutTest(unittest.TestCase):
    def test_a_call_that_hangs_does_not_hold_the_others(self):
        hang = threading.Event()

        def call(name):
            if name == "hangs":
                hang.wait(30)
            return name.upper()

        found = fanout.run(["a", "hangs", "b", "a"], call, 0.3)
        hang.set()
        self.assertEqual(found, {"a": "A", "b": "B"})


class HeadTest(unittest.TestCase):
    def test_history_names_the_writers_of_earlier_versions(self):
        newest = head.NONE_YET
        for number in range(1, 30):
            newest = head.follow(newest, f"id-{number}", {"a": "1"})
        newest = head.from_plain(newest.to_plain())
        self.assertEqual(newest.version, 29)
        self.assertEqual(newest.winner_of(29), "id-29")
        self.assertEqual(newest.winner_of(13), "id-13")
        self.assertIsNone(newest.winner_of(12))
        self.assertIsNone(newest.winner_of(30))
        self.assertEqual(newest.version_of("id-20"), 20)
        self.assertIsNone(newest.version_of("id-1"))


if __name__ == "__main__":
    unittest.main()
