"""Runs the test files of all members, each in a process of its own.

Prints one line a file and, last, `N passed, N failed`. Tests that
KNOWN-RED.txt lists are passed over and printed.
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
_FILE_TIMEOUT_S = 540
# Files that start many processes run alone, since they measure time bounds.
_EXCLUSIVE_SUFFIX = "_process.py"
_FUZZ_SUFFIX = "_fuzz.py"
_WORKERS = 4
_TEST_PATTERNS = ("libs/*/tests/test_*.py", "platform/tests/test_*.py")
_RESULT_MARK = "RESULT "
_DEFAULT_EXAMPLES = 60


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--child", help=argparse.SUPPRESS)
    parser.add_argument("--fuzz-only", action="store_true")
    parser.add_argument("files", nargs="*", help="test files; all if none")
    args = parser.parse_args()
    if args.child:
        return _run_child(pathlib.Path(args.child))
    files = [pathlib.Path(name).resolve() for name in args.files] or sorted(
        path for pattern in _TEST_PATTERNS for path in _ROOT.glob(pattern)
    )
    if args.fuzz_only:
        files = [path for path in files if path.name.endswith(_FUZZ_SUFFIX)]
    return _run_all(files)


def _run_all(files: list[pathlib.Path]) -> int:
    shared = [p for p in files if not p.name.endswith(_EXCLUSIVE_SUFFIX)]
    exclusive = [p for p in files if p.name.endswith(_EXCLUSIVE_SUFFIX)]
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    with concurrent.futures.ThreadPoolExecutor(_WORKERS) as pool:
        for result in pool.map(_run_file, shared):
            _add(counts, result)
    for path in exclusive:
        _add(counts, _run_file(path))
    print(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['skipped']} skipped"
    )
    return 1 if counts["failed"] or not counts["passed"] else 0


def _add(counts: dict[str, int], result: dict[str, int]) -> None:
    for key in counts:
        counts[key] += result[key]


def _run_file(path: pathlib.Path) -> dict[str, int]:
    name = path.relative_to(_ROOT)
    started = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, __file__, "--child", str(path)],
            capture_output=True,
            text=True,
            cwd=_ROOT,
            timeout=_file_timeout_s(),
            check=False,
        )
        stdout, stderr = done.stdout, done.stderr
    except subprocess.TimeoutExpired:
        stdout, stderr = "", f"no end within {_file_timeout_s():g} s"
    result = {"passed": 0, "failed": 1, "skipped": 0}
    for line in stdout.splitlines():
        if line.startswith(_RESULT_MARK):
            result = json.loads(line.removeprefix(_RESULT_MARK))
        elif line.startswith("known red"):
            print(line)
    verdict = "ok" if not result["failed"] else "FAILED"
    took_s = time.monotonic() - started
    print(f"{verdict:6} {name} {result['passed']} tests {took_s:.1f} s")
    if result["failed"]:
        print(stdout[-20_000:])
        print(stderr[-20_000:])
    sys.stdout.flush()
    return result


def _examples() -> int:
    return int(os.environ.get("DANDELION_FUZZ_EXAMPLES", _DEFAULT_EXAMPLES))


def _file_timeout_s() -> float:
    """Returns the bound for one file, longer for longer fuzz runs."""
    return _FILE_TIMEOUT_S * max(1.0, _examples() / _DEFAULT_EXAMPLES)


def _run_child(path: pathlib.Path) -> int:
    _configure_hypothesis()
    sys.path.insert(0, str(path.parent))
    suite = unittest.defaultTestLoader.loadTestsFromName(path.stem)
    red = _known_red()
    kept = unittest.TestSuite()
    skipped = 0
    for test in _flatten(suite):
        name = f"{path.relative_to(_ROOT)}::{test.id()}"
        if name in red:
            print(f"known red, passed over: {name}")
            skipped += 1
        else:
            kept.addTest(test)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(kept)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped += len(result.skipped)
    bad_tests = {
        getattr(test, "test_case", test).id()
        for test, _ in result.failures + result.errors
    }
    passed = result.testsRun - len(result.skipped) - len(bad_tests)
    counts = {"passed": max(0, passed), "failed": failed, "skipped": skipped}
    print(_RESULT_MARK + json.dumps(counts))
    return 1 if failed else 0


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests += _flatten(item)
        else:
            tests.append(item)
    return tests


def _known_red() -> set[str]:
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {
        line.removeprefix("test: ").strip()
        for line in path.read_text().splitlines()
        if line.startswith("test: ")
    }


def _configure_hypothesis() -> None:
    import hypothesis

    seed = os.environ.get("DANDELION_FUZZ_SEED")
    hypothesis.settings.register_profile(
        "project",
        max_examples=_examples(),
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
