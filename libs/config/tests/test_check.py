"""Guards against faults that are missed, on a wrong line or without help."""

import pathlib
import re
import unittest

from dandelionlead import config
from dandelionlead.config import faults
from dandelionlead.config import model
from dandelionlead.config import source

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_DIGEST = "a" * 64
_KEY = "b" * 64

# Each line of this file is on a line of its own, so that a case can replace
# one line by its number.
_OPERATORS = f"""{{
  // Comment.
  "availability_zones": {{"z1": {{"region": "amman"}}}},
  "teams": {{
    "buyers": {{"weight": 2, "key_digests": ["{_DIGEST}"]}},
  }},
  "models": {{
    "writer": {{
      "versions": {{"v1": {{"weights": "w1"}}, "v2": {{"weights": "w2"}}}},
      "current": "v1",
      "next": "v2",
      "deadline": "2026-12-04T18:00:00Z",
    }},
  }},
  "services": {{"stock": {{"base_path": "/v1/services/stock"}}}},
  "routes": {{
    "draft": {{"kind": "generation", "path": "/v1/completions",
      "model": "writer"}},
    "lookup": {{"kind": "service", "path": "/v1/services/stock/look",
      "service": "stock", "repeatable": true}},
  }},
  "endpoints": {{
    "e1": {{"kind": "engine", "address": "127.0.0.1:1",
      "availability_zone": "z1", "model": "writer", "version": "v1",
      "memory_tokens": 1000, "checks_fencing": true}},
    "s1": {{"kind": "service", "address": "127.0.0.1:2",
      "availability_zone": "z1", "service": "stock", "max_concurrent": 4}},
  }},
  "admission": {{"policy": "lengths"}},
}}
"""

# Line to replace, its new text, line of the fault, path, what it says.
_OPERATORS_CASES = [
    (2, "  /* not closed", 31, "", "end of the file"),
    (5, '    "a": {"weight": 2 "x": 1},', 5, "", 'Unexpected """'),
    (5, "    nul", 6, "", "missing comma"),
    (3, '  "availability_zone": {"z1": {"region": "a"}},', 3,
     "availability_zone", 'Did you mean "availability_zones"?'),
    (3, '  "availability_zones": {"z1": {"region": "a", "state": "shut"}},', 3,
     "availability_zones.z1.state", 'Write one of "open", "closed".'),
    (3, '  "availability_zones": {"z 1": {"region": "a"}},', 3,
     "availability_zones.z 1", "Write letters, digits"),
    (3, f'  "availability_zones": {{"{"z" * 64}": {{"region": "a"}}}},', 3,
     f"availability_zones.{'z' * 63}", "At most 63 characters"),
    (4, '  "teams": {"buyers": {"weight": 1, "key_digests": ["aa"]},', 4,
     "teams.buyers.key_digests.0", "64 lower-case hexadecimal digits"),
    (4, f'  "teams": {{"b": {{"key_digests": ["{_DIGEST}"]}},', 5,
     "teams.buyers.key_digests.0", 'Team "b" has this key already.'),
    (4, f'  "teams": {{"buyers": {{"key_digests": ["{_KEY}"]}},', 5,
     "teams.buyers", "already on line 4"),
    (5, '    "buyers": {"weight": "heavy"},', 5, "teams.buyers.weight",
     "Write a number from 0.01 to 1000."),
    (5, '    "buyers": {"weight": NaN},', 5, "teams.buyers.weight", "NaN"),
    (5, '    "buyers": {"weight": 2},', 5, "teams.buyers",
     'The key "key_digests" is missing.'),
    (5, '    "buyers": {"max_concurrent": 1.5},', 5,
     "teams.buyers.max_concurrent", "Write a whole number"),
    (5, f'    "buyers": {{"max_concurrent": {"9" * 5000}}},', 5,
     "teams.buyers.max_concurrent", "from 1 to 100000"),
    (5, '    "buyers": [],', 5, "teams.buyers", "Write an object in braces."),
    (10, '      "current": "v3",', 10, "models.writer.current",
     "Known are: v1, v2."),
    (11, '      "next": "v1",', 11, "models.writer.next",
     "The next version is the current one."),
    (11, "", 12, "models.writer.deadline", 'there without "next"'),
    (12, '      "deadline": "2026-12-04 18:00",', 12, "models.writer.deadline",
     "Write an RFC 3339 time"),
    (12, '      "deadline": "2026-12-04T18:00:00",', 12,
     "models.writer.deadline", "Write an RFC 3339 time"),
    (12, '"deadline": "2026-12-04T18:00:00Z", "max_unjudged_share": 0.06,', 12,
     "models.writer.max_unjudged_share", "to 0.05."),
    (15, '  "services": {"stock": {"base_path": "/stock"}},', 15,
     "services.stock.base_path", 'Start it with "/v1/services/stock".'),
    (18, '      "model": "witer"},', 18, "routes.draft.model",
     'Did you mean "writer"?'),
    (18, '      "model": "writer", "service": "stock"},', 18,
     "routes.draft.service", "Remove it."),
    (19, '    "lookup": {"kind": "service", "path": "/v1/services/stocks/a",',
     19, "routes.lookup.path", 'Start it with "/v1/services/stock"'),
    (20, '      "service": "stock"},', 19, "routes.lookup",
     'The key "repeatable" is missing.'),
    (23, '    "e1": {"kind": "engine", "address": "localhost:1",', 23,
     "endpoints.e1.address", "Write an IP number and a port"),
    (23, '    "e1": {"kind": "engine", "address": "127.0.0.1:65536",', 23,
     "endpoints.e1.address", "Write an IP number and a port"),
    (24, '  "availability_zone": "z2", "model": "writer", "version": "v1",',
     24, "endpoints.e1.availability_zone", "Known are: z1."),
    (24, '  "availability_zone": "z1", "model": "writer", "version": "v9",',
     24, "endpoints.e1.version", "Known are: v1, v2."),
    (25, '      "memory_tokens": 1000},', 23, "endpoints.e1",
     'The key "checks_fencing" is missing.'),
    (26, '    "s1": {"kind": "service", "address": "127.0.0.1:1",', 26,
     "endpoints.s1.address", '"e1" has the same address already.'),
    (29, '  "admission": {"policy": "guess"},', 29, "admission.policy",
     '"lengths", "count", "load_report"'),
    (29, '  "admission": "count",', 29, "admission", "object in braces"),
]  # fmt: skip

_PROCESS = f"""{{
  "name": "entry-1", "role": "entry", "availability_zone": "z1",
  "http_address": "127.0.0.1:1", "control_address": "127.0.0.1:2",
  "platform": "http://127.0.0.1:3/",
  "peer_key": "{_KEY}",
  "resume_keys": ["{"c" * 64}"],
}}
"""

_PROCESS_CASES = [
    (2, '"name": "entry-1", "role": "entrance",', 2, "role", '"entry"'),
    (3, '  "http_address": "0.0.0.0:1", "control_address": "127.0.0.1:2",',
     3, "http_address", 'Nobody can connect to "0.0.0.0:1".'),
    (3, '  "control_address": "127.0.0.1:2",', 1, "",
     'The key "http_address" is missing.'),
    (4, '  "platform": "https://platform.example",', 4, "platform",
     'Write a URL such as "http://127.0.0.1:8080".'),
    (5, '  "peer_key": "secret-value",', 5, "peer_key", "not valid"),
    (6, f'  "resume_keys": ["{_KEY}"],', 6, "resume_keys", "the peer key"),
    (6, f'  "resume_keys": ["{_DIGEST}", "{_DIGEST}"],', 6, "resume_keys",
     "Both resume keys are the same."),
    (6, '  "resume_keys": [],', 6, "resume_keys", "1 to 2 values"),
]  # fmt: skip


def _replace(text, line, new):
    lines = text.split("\n")
    lines[line - 1] = new
    return "\n".join(lines)


class CheckTest(unittest.TestCase):
    def check_case(self, load, text, case):
        number, new, line, path, says = case
        found = load(_replace(text, number, new), "f.jsonc")
        self.assertIsInstance(found, list)
        shown = [str(fault) for fault in found]
        matching = [
            fault
            for fault in found
            if fault.line == line and fault.path == path and says in str(fault)
        ]
        self.assertTrue(matching, shown)
        self.assertTrue(all(fault.right for fault in found), shown)

    def test_valid_files_load(self):
        loaded = config.load_operators(_OPERATORS, "f.jsonc")
        self.assertIsInstance(loaded, model.Operators)
        self.assertEqual(loaded.routes["draft"].max_tokens, 4096)
        loaded = config.load_process(_PROCESS, "f.jsonc")
        self.assertIsInstance(loaded, model.Process)
        self.assertEqual(loaded.peer_key, b"\xbb" * 32)
        self.assertEqual(loaded.advertised_http, "127.0.0.1:1")

    def test_faults_of_operators_files(self):
        for case in _OPERATORS_CASES:
            with self.subTest(case=case):
                self.check_case(config.load_operators, _OPERATORS, case)

    def test_faults_of_process_files(self):
        for case in _PROCESS_CASES:
            with self.subTest(case=case):
                self.check_case(config.load_process, _PROCESS, case)

    def test_all_faults_are_found_in_one_run(self):
        text = _replace(_OPERATORS, 3, '  "availability_zones": {"z9": {}},')
        text = _replace(text, 5, '    "buyers": {"wait": 2},')
        text = _replace(text, 29, '  "admission": {"quantile": 2},')
        lines = [f.line for f in config.load_operators(text, "f.jsonc")]
        self.assertEqual(lines, [3, 5, 5, 24, 27, 29])

    def test_secrets_are_not_shown(self):
        text = _PROCESS.replace(_KEY, "secret-value")
        self.assertNotIn("secret-value", str(config.load_process(text, "f")))
        self.assertNotIn(_KEY, repr(config.load_process(_PROCESS, "f")))

    def test_any_text_is_answered(self):
        cases = ["", "{", "[]", "null", "[" * 5000, '{"a":' * 3000, "\0", "1e9"]
        for text in cases:
            with self.subTest(text=text[:10]):
                found = config.load_operators(text, "f.jsonc")
                self.assertIsInstance(found[0], faults.Fault)

    def test_plain_json_is_read_as_json5_is(self):
        plain = re.sub(r",(\s*})", r"\1", _OPERATORS.replace("// Comment.", ""))
        self.assertIsNotNone(source.parse_plain_json(plain))
        faulty = plain.replace('"v1",', '"v3",')
        for text in (plain, faulty, plain.replace("draft", "lookup")):
            fast = config.load_operators(text, "f")
            slow = config.load_operators(f"{text}// Comment.", "f")
            self.assertEqual(str(fast), str(slow))

    def test_examples_load(self):
        sizes = {"haddad": (4, 9, 4, 10), "quillacaya": (3, 6, 3, 10)}
        for user, size in sizes.items():
            folder = _EXAMPLES / user
            text = (folder / "operators.jsonc").read_text()
            loaded = config.load_operators(text, user)
            self.assertIsInstance(loaded, model.Operators, loaded)
            kinds = [item.kind for item in loaded.endpoints.values()]
            counts = (
                len(loaded.availability_zones),
                kinds.count(model.ENGINE),
                kinds.count(model.SERVICE),
                len(loaded.teams),
            )
            self.assertEqual(counts, size)
            for role in ("entry", "steward", "operator"):
                text = (folder / f"{role}.jsonc").read_text()
                process = config.load_process(text, role)
                self.assertIsInstance(process, model.Process, process)
                self.assertEqual(process.role, role)


if __name__ == "__main__":
    unittest.main()
