"""Loads a file, or reports all its faults at once."""

from __future__ import annotations

from typing import Any

from dandelionlead.config import faults
from dandelionlead.config import fields
from dandelionlead.config import model
from dandelionlead.config import rules
from dandelionlead.config import schema
from dandelionlead.config import source


def load_operators(
    text: str, filename: str
) -> model.Operators | list[faults.Fault]:
    """Returns the content of an operators' file, or its faults."""
    report = faults.Report(filename)
    plain = _read(text, schema.OPERATORS, rules.check_operators, report)
    found = report.faults()
    if found:
        return found
    _set_max_tokens(plain)
    return model.Operators.from_plain(plain)


def load_process(
    text: str, filename: str
) -> model.Process | list[faults.Fault]:
    """Returns the content of a process's settings file, or its faults."""
    report = faults.Report(filename)
    plain = _read(text, schema.PROCESS, rules.check_process, report)
    found = report.faults()
    if found:
        return found
    return model.Process(**plain)


def _read(
    text: str,
    layout: fields.Object,
    check_rules: rules.Rule,
    report: faults.Report,
) -> dict[str, Any]:
    """Returns the valid values of a text and adds its faults to `report`."""
    tree = source.parse(text)
    if isinstance(tree, source.SyntaxFault):
        report.add(tree.line, (), tree.wrong, tree.right)
        return {}
    ctx = fields.Context(report)
    plain = layout.read(tree, (), ctx)
    if plain is fields.INVALID:
        return {}
    check_rules(plain, ctx)
    return plain


def _set_max_tokens(plain: dict[str, Any]) -> None:
    """Gives generation routes the default limit; service routes have none."""
    for route in plain["routes"].values():
        if route["kind"] == model.GENERATION:
            route.setdefault("max_tokens", model.DEFAULT_MAX_TOKENS)
