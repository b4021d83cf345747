"""Command `show`: the accepted head and its content."""

from __future__ import annotations

import json

from dandelionlead.core import errors
from dandelionlead.ctl import answers
from dandelionlead.ctl import exits
from dandelionlead.ctl import platforms
from dandelionlead.platform import api


def run(platform: api.Platform) -> answers.Answer:
    """Returns the head and content from the platform."""
    accepted = platforms.read_head(platform)
    if isinstance(accepted, errors.Failure):
        return answers.of_failure("The head cannot be read", accepted)
    if not accepted.version:
        return answers.Answer(
            exits.NOT_FOUND,
            {"result": "none", "version": 0},
            ["No configuration has been applied yet."],
        )
    content = platforms.read_content(platform, accepted)
    if isinstance(content, errors.Failure):
        return answers.of_failure(
            f"The parts of version {accepted.version} cannot be read", content
        )
    plain = {
        "result": "shown",
        "version": accepted.version,
        "apply_id": accepted.apply_id,
        "parts": accepted.parts,
        "history": list(accepted.history),
        "content": content.to_plain(),
    }
    lines = [
        f"Version {accepted.version}, apply id {accepted.apply_id}, "
        f"{len(accepted.parts)} parts.",
        json.dumps(plain["content"], indent=2),
    ]
    return answers.Answer(exits.DONE, plain, lines)
