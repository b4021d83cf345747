"""Checks that `from` imports bring in modules, not the names inside them."""

from __future__ import annotations

import ast
import importlib
import pathlib
import sys
import warnings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ALLOWED = ("__future__", "typing", "collections.abc")


def main() -> int:
    # docs/style.md says why eventlet is used.
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    faults = []
    for path in sorted(_ROOT.glob("libs/*/src/**/*.py")):
        if "gen" not in path.parts:
            faults += _faults(path)
    for path in sorted(_ROOT.glob("tools/*.py")):
        faults += _faults(path)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


def _faults(path: pathlib.Path) -> list[str]:
    faults = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in _ALLOWED:
            continue
        for alias in node.names:
            if not _is_module(f"{node.module}.{alias.name}"):
                faults.append(
                    f"{path.relative_to(_ROOT)}:{node.lineno}: {alias.name} "
                    f"is not a module; import {node.module} instead"
                )
    return faults


def _is_module(name: str) -> bool:
    try:
        importlib.import_module(name)
    except ImportError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
