"""Runs all policy benches for one seed and prints their tables."""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
# Fewer rollouts than in docs/measurements.md, to stay within five minutes.
_BENCHES = (
    ("bench_admission.py", ()),
    ("bench_routing.py", ()),
    ("bench_rollout.py", ("--runs", "10", "--good-runs", "100")),
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    failed = 0
    for name, options in _BENCHES:
        started = time.monotonic()
        print(f"== {name} --seed {args.seed} {' '.join(options)}", flush=True)
        done = subprocess.run(
            [
                sys.executable,
                str(_FOLDER / name),
                "--seed",
                str(args.seed),
                *options,
            ],
            check=False,
        )
        failed += done.returncode != 0
        print(f"== {time.monotonic() - started:.0f} s\n", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
