"""Command `apply`: commits a file's content and reports who confirmed it."""

from __future__ import annotations

from typing import Any

from dandelionlead.config import head
from dandelionlead.config import model
from dandelionlead.config import parts
from dandelionlead.core import errors
from dandelionlead.ctl import answers
from dandelionlead.ctl import apply
from dandelionlead.ctl import confirm
from dandelionlead.ctl import exits
from dandelionlead.platform import api


def run(
    operators: model.Operators,
    platform: api.Platform,
    notifier: confirm.Notifier,
    timing: apply.Timing,
    *,
    if_version: int | None = None,
) -> answers.Answer:
    """Applies checked content and waits for confirmations."""
    apply_id = apply.new_apply_id()
    result = apply.run(
        parts.split(operators),
        platform.table,
        platform.objects,
        timing,
        apply_id=apply_id,
        if_version=if_version,
    )
    if isinstance(result, apply.Refused):
        return _refused(result, apply_id)
    if isinstance(result, apply.Unknown):
        return _unknown(result, apply_id)
    return _confirm(result, platform, notifier, timing)


def _refused(result: apply.Refused, apply_id: str) -> answers.Answer:
    won = result.kind is errors.Kind.CONFLICT
    plain = {
        "result": "refused",
        "apply_id": apply_id,
        "kind": result.kind.value,
        "reason": result.reason,
        "winner_version": result.winner_version,
        "winner_id": result.winner_id,
    }
    reason = answers.sentence(result.reason)
    line = f"Refused, nothing was changed: {reason}"
    code = exits.CONFLICT if won else exits.REFUSED
    return answers.Answer(code, plain, [line])


def _unknown(result: apply.Unknown, apply_id: str) -> answers.Answer:
    plain = {
        "result": "unknown",
        "apply_id": apply_id,
        "version": result.version,
        "reason": result.reason,
    }
    lines = [
        f"Unknown: the change may be in force now or later, as version "
        f"{result.version}: {answers.sentence(result.reason)}",
        f"It was accepted if `show` lists apply id {apply_id}.",
    ]
    return answers.Answer(exits.UNKNOWN, plain, lines)


def _confirm(
    result: apply.Accepted,
    platform: api.Platform,
    notifier: confirm.Notifier,
    timing: apply.Timing,
) -> answers.Answer:
    accepted = result.head
    plain: dict[str, Any] = {
        "result": "accepted",
        "version": accepted.version,
        "apply_id": accepted.apply_id,
        "changed": result.changed,
        "superseded_by": result.superseded_by,
    }
    lines = [_accepted_line(result)]
    listed = platform.instances.fetch()
    if isinstance(listed, errors.Failure):
        plain["confirmations"] = None
        plain["reason"] = listed.reason
        lines.append(f"Nobody was notified: {answers.sentence(listed.reason)}")
        return answers.Answer(exits.NOT_CONFIRMED, plain, lines)
    bounded = apply.Timing(timing.now, timing.wait, confirm.LIMIT_S)
    found = confirm.collect(listed, accepted, notifier, bounded)
    plain["confirmations"] = [item.to_plain() for item in found]
    lines += _confirmation_lines(accepted, found)
    complete = all(item.confirmed for item in found)
    code = exits.DONE if complete else exits.NOT_CONFIRMED
    return answers.Answer(code, plain, lines)


def _accepted_line(result: apply.Accepted) -> str:
    line = f"Accepted as version {result.head.version}"
    if not result.changed:
        line = f"Unchanged: version {result.head.version} has this content"
    if result.superseded_by:
        line += f"; version {result.superseded_by} has followed"
    return f"{line} (apply id {result.head.apply_id})."


def _confirmation_lines(
    accepted: head.Head, found: list[confirm.Confirmation]
) -> list[str]:
    confirmed = sum(item.confirmed for item in found)
    lines = [
        f"{confirmed} of {len(found)} processes have version "
        f"{accepted.version} or a later one in force."
    ]
    for item in found:
        said = f"version {item.version}"
        if not item.confirmed:
            said = f"not confirmed: {item.reason}"
        said = answers.sentence(said)
        lines.append(f"  {item.name} ({item.state}): {said}")
    return lines
