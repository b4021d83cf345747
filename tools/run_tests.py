"""Runs the test files of all libraries and of the platform adapter.

Each file runs in its own process. Prints one line per file and, at the end,
`N passed, N failed, N skipped`. Tests that KNOWN-RED.txt lists as known
failures are skipped, and their names are printed.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_MIN_FILE_TIMEOUT_S = 540
# Files with this suffix start many processes and check time limits, so they run
# one at a time, after the other files.
_EXCLUSIVE_SUFFIX = "_process.py"
_FUZZ_SUFFIX = "_fuzz.py"
_PARALLEL_FILES = 4
_TEST_PATTERNS = ("libs/*/tests/test_*.py", "platform/tests/test_*.py")
# Start of the line in which a child process reports its test counts.
_RESULT_MARK = "RESULT "
_DEFAULT_MAX_EXAMPLES = 60


def main() -> int:
    """Runs the test files given on the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--child", help=argparse.SUPPRESS)
    parser.add_argument("--fuzz-only", action="store_true")
    parser.add_argument("files", nargs="*", help="test files; all if none")
    args = parser.parse_args()
    if args.child:
        return _run_test_file(pathlib.Path(args.child))
    files = [pathlib.Path(name).resolve() for name in args.files] or sorted(
        path for pattern in _TEST_PATTERNS for path in _ROOT.glob(pattern)
    )
    if args.fuzz_only:
        files = [path for path in files if path.name.endswith(_FUZZ_SUFFIX)]
    return _run_files(files)


def _run_files(files: list[pathlib.Path]) -> int:
    """Runs test files; returns 1 if a test failed or none passed, else 0."""
    concurrent_files = [
        path for path in files if not path.name.endswith(_EXCLUSIVE_SUFFIX)
    ]
    exclusive_files = [
        path for path in files if path.name.endswith(_EXCLUSIVE_SUFFIX)
    ]
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    with concurrent.futures.ThreadPoolExecutor(_PARALLEL_FILES) as pool:
        for result in pool.map(_run_file_in_subprocess, concurrent_files):
            _add_counts(counts, result)
    for path in exclusive_files:
        _add_counts(counts, _run_file_in_subprocess(path))
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return 1 if counts["failed"] or not counts["passed"] else 0


def _add_counts(counts: dict[str, int], result: dict[str, int]) -> None:
    for key in counts:
        counts[key] += result[key]


def _run_file_in_subprocess(path: pathlib.Path) -> dict[str, int]:
    """Runs a file in a child process; returns its test counts by result.

    A file that prints no result or exceeds its timeout counts as one failure.
    """
    name = path.relative_to(_ROOT)
    started_s = time.monotonic()
    try:
        completed = subprocess.run(
            [sys.executable, __file__, "--child", str(path)],
            capture_output=True,
            text=True,
            cwd=_ROOT,
            timeout=_get_file_timeout_s(),
            check=False,
        )
        stdout, stderr = completed.stdout, completed.stderr
    except subprocess.TimeoutExpired:
        stdout, stderr = (
            "",
            f"the file did not end within {_get_file_timeout_s():g} s",
        )
    result = {"passed": 0, "failed": 1, "skipped": 0}
    for line in stdout.splitlines():
        if line.startswith(_RESULT_MARK):
            result = json.loads(line.removeprefix(_RESULT_MARK))
        elif line.startswith("known red"):
            print(line)
    status = "ok" if not result["failed"] else "FAILED"
    elapsed_s = time.monotonic() - started_s
    print(f"{status:6} {name} {result['passed']} tests {elapsed_s:.1f} s")
    if result["failed"]:
        print(stdout[-20_000:])
        print(stderr[-20_000:])
    sys.stdout.flush()
    return result


def _read_max_examples() -> int:
    """Returns the number of examples of each fuzz test."""
    return int(os.environ.get("DANDELION_FUZZ_EXAMPLES", _DEFAULT_MAX_EXAMPLES))


def _get_file_timeout_s() -> float:
    """Returns the timeout of one file.

    The timeout grows with the number of examples of each fuzz test.
    """
    return _MIN_FILE_TIMEOUT_S * max(
        1.0, _read_max_examples() / _DEFAULT_MAX_EXAMPLES
    )


def _run_test_file(path: pathlib.Path) -> int:
    """Runs a file in this process and prints its test counts by result.

    Returns:
        1 if a test failed, else 0.
    """
    _configure_hypothesis()
    sys.path.insert(0, str(path.parent))
    suite = unittest.defaultTestLoader.loadTestsFromName(path.stem)
    known_failures = _read_known_failures()
    selected_tests = unittest.TestSuite()
    skipped = 0
    for test in _list_tests(suite):
        name = f"{path.relative_to(_ROOT)}::{test.id()}"
        if name in known_failures:
            print(f"known red, passed over: {name}")
            skipped += 1
        else:
            selected_tests.addTest(test)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(
        selected_tests
    )
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped += len(result.skipped)
    failed_tests = {
        getattr(test, "test_case", test).id()
        for test, _ in result.failures + result.errors
    }
    passed = result.testsRun - len(result.skipped) - len(failed_tests)
    counts = {"passed": max(0, passed), "failed": failed, "skipped": skipped}
    print(_RESULT_MARK + json.dumps(counts))
    return 1 if failed else 0


def _list_tests(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the test cases of a suite and of its nested suites."""
    tests: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests += _list_tests(item)
        else:
            tests.append(item)
    return tests


def _read_known_failures() -> set[str]:
    """Returns the names of the tests that KNOWN-RED.txt lists."""
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {
        line.removeprefix("test: ").strip()
        for line in path.read_text().splitlines()
        if line.startswith("test: ")
    }


def _configure_hypothesis() -> None:
    """Sets the number of examples and the seed of the fuzz tests.

    Without DANDELION_FUZZ_SEED, each run draws the same examples.
    """
    import hypothesis

    seed = os.environ.get("DANDELION_FUZZ_SEED")
    hypothesis.settings.register_profile(
        "project",
        max_examples=_read_max_examples(),
        deadline=None,
        database=None,
        derandomize=seed is None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.settings.load_profile("project")
    if seed is not None:
        hypothesis.core.global_force_seed = int(seed)


if __name__ == "__main__":
    sys.exit(main())
