"""Start of the program `dandelion-steward`."""

from __future__ import annotations

import warnings


def run() -> None:
    """Runs the program.

    The standard library is patched before anything else is imported, so that
    all waits of this process are on one loop. eventlet warns at its import
    that it only gets bug fixes; docs/style.md says why it is used.
    """
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
    from dandelionlead.steward import program

    program.app()
