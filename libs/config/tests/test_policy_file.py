"""Guards against misread policy files and faults with a wrong line or message.

Also guards against checks that take too long because a file is large or has
very many faults.
"""

from __future__ import annotations

import pathlib
import tempfile
import time
import unittest

from dandelionlead.config import policy_file
from dandelionlead.routing import policy

_ROOT = pathlib.Path(__file__).resolve().parents[3]
# Processor time, so that other processes on the machine do not count.
_MAX_CHECK_S = 1.0


class PolicyFileTest(unittest.TestCase):
    """Policy files with and without faults."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._path = pathlib.Path(directory.name, "policy.jsonc")

    def _load(self, text: str | bytes) -> object:
        raw = text if isinstance(text, bytes) else text.encode()
        self._path.write_bytes(raw)
        return policy_file.load(self._path)

    def test_each_fault_has_a_line_and_a_correction(self) -> None:
        cases = (
            ("{torn", 1, "Missing a name"),
            ("[]", 1, "an object"),
            ('{\n"moves": 1}', 2, "write true or false"),
            ('{\n\n"backup_fil": 0.5}', 3, 'did you mean "backup_fill"'),
            ('{"zzz": 0.5}', 1, "the known fields are moves"),
            ('{"run_fill": 2}', 1, "from 0.1 to 1"),
            ('{"movable_runs": 2.5}', 1, "a whole number"),
            ('{"moves": true,\n"moves": false}', 2, "given twice"),
            ('// "zzz": 1\n{/* "zzz": */\n"zzz": 1}', 3, "not known"),
            (b'{"moves": true,\n"\xff": 1}', 2, "UTF-8"),
        )
        for text, line, expected in cases:
            with self.subTest(text=text):
                faults = self._load(text)
                self.assertEqual(len(faults), 1)
                self.assertEqual(faults[0].line, line)
                self.assertIn(expected, str(faults[0]))
                self.assertTrue(str(faults[0]).startswith(f"{self._path}:"))

    def test_missing_file_is_reported_as_a_fault(self) -> None:
        faults = policy_file.load(self._path)
        self.assertIn("cannot be read", str(faults[0]))

    def test_given_values_are_loaded_and_others_have_defaults(self) -> None:
        loaded = self._load('{"moves": false, /* why */ "wait_part": 0.5,}')
        self.assertFalse(loaded.moves)
        self.assertEqual(loaded.wait_part, 0.5)
        self.assertTrue(loaded.backups)

    def test_policy_file_of_the_repository_holds_the_defaults(self) -> None:
        loaded = policy_file.load(_ROOT / "deploy" / "policy.jsonc")
        default = policy.Policy()
        for name in policy.Policy.__slots__:
            with self.subTest(name=name):
                self.assertEqual(getattr(loaded, name), getattr(default, name))

    def test_unknown_field_at_the_end_of_5_mb_is_found_in_time(self) -> None:
        lines = ['// "wrong": 1 and other "text" with */ signs'] * 120_000
        text = "{\n" + "\n".join(lines) + '\n"wrong": 1}'
        self.assertGreater(len(text), 5_000_000)
        started_s = time.process_time()
        faults = self._load(text)
        self.assertLess(time.process_time() - started_s, _MAX_CHECK_S)
        self.assertEqual([fault.line for fault in faults], [120_002])

    def test_number_of_reported_faults_is_limited(self) -> None:
        fields = [f'"wrong_{number}": 1' for number in range(100_000)]
        started_s = time.process_time()
        faults = self._load("{" + ",\n".join(fields) + "}")
        self.assertLess(time.process_time() - started_s, _MAX_CHECK_S)
        self.assertEqual(len(faults), policy_file.MAX_FAULTS)


if __name__ == "__main__":
    unittest.main()
