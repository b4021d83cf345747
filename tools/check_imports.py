"""Checks the imports of all libraries and tools.

Three rules apply. A `from` import imports modules, not classes or functions. A
library imports only the libraries that it may depend on. Modules do not import
each other in a cycle.
"""

from __future__ import annotations

import ast
import importlib
import pathlib
import sys
import warnings

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Modules whose classes and functions may be imported by name.
_NAME_IMPORT_EXCEPTIONS = ("__future__", "typing", "collections.abc")
_PACKAGE = "dandelionlead"
# Other libraries that each library may import.
_DEPENDENCIES = {
    "core": (),
    "http": ("core",),
    "routing": ("core", "http"),
    "cluster": ("core", "http"),
    "config": ("core", "routing"),
    "gateway": ("core", "http", "routing", "cluster"),
    "ctl": ("core",),
    "duties": ("core",),
}


def main() -> int:
    """Prints all violations; returns 1 if there are any, else 0."""
    # Eventlet is deprecated; docs/style.md explains why this project uses it.
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    faults = []
    imports_by_module: dict[str, set[str]] = {}
    for path in sorted(_ROOT.glob("libs/*/src/**/*.py")):
        if "gen" not in path.parts:
            module = ".".join(path.with_suffix("").parts[-3:])
            imports_by_module[module] = _list_project_imports(path)
            faults += _find_name_imports(path) + _find_forbidden_imports(
                path, imports_by_module[module]
            )
    for path in sorted(_ROOT.glob("tools/*.py")):
        faults += _find_name_imports(path)
    faults += _find_import_cycles(imports_by_module)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


def _list_from_imports(path: pathlib.Path) -> list[ast.ImportFrom]:
    """Returns the `from` imports, except those of `_NAME_IMPORT_EXCEPTIONS`."""
    return [
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom)
        and node.module not in _NAME_IMPORT_EXCEPTIONS
    ]


def _find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns a fault for each imported name that is not a module."""
    return [
        f"{path.relative_to(_ROOT)}:{node.lineno}: {alias.name} "
        f"is not a module; import {node.module} instead"
        for node in _list_from_imports(path)
        for alias in node.names
        if not _is_module(f"{node.module}.{alias.name}")
    ]


def _list_project_imports(path: pathlib.Path) -> set[str]:
    """Returns the modules of this project that a file imports."""
    return {
        f"{node.module}.{alias.name}"
        for node in _list_from_imports(path)
        if str(node.module).startswith(_PACKAGE)
        for alias in node.names
    }


def _find_forbidden_imports(
    path: pathlib.Path, imported_modules: set[str]
) -> list[str]:
    """Returns a fault for each import of a library that is not allowed."""
    library = path.relative_to(_ROOT).parts[1]
    allowed = (library, *_DEPENDENCIES[library])
    return [
        f"{path.relative_to(_ROOT)}: {name}: {library} may import "
        f"only {', '.join(allowed)}"
        for name in sorted(imported_modules)
        if name.split(".")[1] not in allowed
    ]


def _find_import_cycles(imports_by_module: dict[str, set[str]]) -> list[str]:
    """Returns a fault for each cycle of imports, of any length."""
    faults = []
    checked_modules: set[str] = set()

    def visit(name: str, import_chain: tuple[str, ...]) -> None:
        if name in import_chain:
            cycle = import_chain[import_chain.index(name) :]
            faults.append(f"import cycle: {' -> '.join((*cycle, name))}")
            return
        if name in checked_modules:
            return
        for imported_module in sorted(imports_by_module.get(name, ())):
            visit(imported_module, (*import_chain, name))
        checked_modules.add(name)

    for name in sorted(imports_by_module):
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
