"""What a command prints and its exit code."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from dandelionlead.config import faults
from dandelionlead.core import errors
from dandelionlead.ctl import exits


class Answer:
    """Result of one command.

    Attributes:
        code: Exit code.
        plain: JSON object for `--json`.
        lines: Text for people.
    """

    __slots__ = ("code", "plain", "lines")

    def __init__(
        self, code: int, plain: dict[str, Any], lines: Sequence[str]
    ) -> None:
        self.code = code
        self.plain = plain
        self.lines = list(lines)

    def text(self, *, as_json: bool) -> str:
        """Returns what is printed."""
        if as_json:
            return json.dumps(self.plain, indent=2, sort_keys=True)
        return "\n".join(self.lines)


def of_faults(found: Sequence[faults.Fault]) -> Answer:
    """Returns the answer for a file that has faults."""
    noun = "fault" if len(found) == 1 else "faults"
    lines = [str(fault) for fault in found]
    lines.append(f"The file has {len(found)} {noun}.")
    plain = {"result": "faults", "faults": [f.to_plain() for f in found]}
    return Answer(exits.FAULTS, plain, lines)


def of_failure(what: str, failure: errors.Failure) -> Answer:
    """Returns the answer when something could not be reached or read."""
    plain = {
        "result": "unreachable",
        "kind": failure.kind.value,
        "reason": failure.reason,
    }
    line = f"{what} ({failure.kind.value}): {sentence(failure.reason)}"
    return Answer(exits.UNREACHABLE, plain, [line])


def sentence(text: str) -> str:
    """Returns a text with one full stop; reasons come with and without."""
    return f"{text.rstrip('.')}."
