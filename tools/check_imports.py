"""Checks imports: modules only, from lower libraries only, and no circle."""

from __future__ import annotations

import ast
import importlib
import pathlib
import sys
import warnings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ALLOWED = ("__future__", "typing", "collections.abc")
_PACKAGE = "dandelionlead"
# What the modules of each library may import beside its own.
_LOWER = {
    "core": (),
    "http": ("core",),
    "routing": ("core", "http"),
    "cluster": ("core", "http"),
    "config": ("core", "routing"),
    "gateway": ("core", "http", "routing", "cluster"),
    "ctl": ("core",),
}


def main() -> int:
    # docs/style.md says why eventlet is used.
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    faults = []
    uses: dict[str, set[str]] = {}
    for path in sorted(_ROOT.glob("libs/*/src/**/*.py")):
        if "gen" not in path.parts:
            module = ".".join(path.with_suffix("").parts[-3:])
            uses[module] = _used(path)
            faults += _names(path) + _upward(path, uses[module])
    for path in sorted(_ROOT.glob("tools/*.py")):
        faults += _names(path)
    faults += _circles(uses)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


def _imports(path: pathlib.Path) -> list[ast.ImportFrom]:
    return [
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module not in _ALLOWED
    ]


def _names(path: pathlib.Path) -> list[str]:
    """Finds names that are imported in place of their module."""
    return [
        f"{path.relative_to(_ROOT)}:{node.lineno}: {alias.name} "
        f"is not a module; import {node.module} instead"
        for node in _imports(path)
        for alias in node.names
        if not _is_module(f"{node.module}.{alias.name}")
    ]


def _used(path: pathlib.Path) -> set[str]:
    """Returns the modules of this project that a module imports."""
    return {
        f"{node.module}.{alias.name}"
        for node in _imports(path)
        if str(node.module).startswith(_PACKAGE)
        for alias in node.names
    }


def _upward(path: pathlib.Path, used: set[str]) -> list[str]:
    """Finds imports from libraries that are not below the module's own."""
    own = path.relative_to(_ROOT).parts[1]
    allowed = (own, *_LOWER[own])
    return [
        f"{path.relative_to(_ROOT)}: {name}: {own} may import "
        f"only {', '.join(allowed)}"
        for name in sorted(used)
        if name.split(".")[1] not in allowed
    ]


def _circles(uses: dict[str, set[str]]) -> list[str]:
    """Finds modules that import each other, over any number of steps."""
    faults = []
    done: set[str] = set()

    def visit(name: str, way: tuple[str, ...]) -> None:
        if name in way:
            circle = way[way.index(name) :]
            faults.append(f"import circle: {' -> '.join((*circle, name))}")
            return
        if name in done:
            return
        for other in sorted(uses.get(name, ())):
            visit(other, (*way, name))
        done.add(name)

    for name in sorted(uses):
        visit(name, ())
    return faults


def _is_module(name: str) -> bool:
    try:
        importlib.import_module(name)
    except ImportError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
