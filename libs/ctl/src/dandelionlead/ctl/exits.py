"""Exit codes of `dandelionctl`; docs/operators.md explains them."""

from __future__ import annotations

DONE = 0
FAULTS = 1
USAGE = 2
CONFLICT = 3
REFUSED = 4
UNKNOWN = 5
NOT_CONFIRMED = 6
UNREACHABLE = 7
PARTIAL = 8
NOT_FOUND = 9
