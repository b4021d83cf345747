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
    loaded = _load(text, filename, schema.OPERATORS, rules.check_operators)
    if isinstance(loaded, list):
        return loaded
    _set_max_tokens(loaded)
    return model.Operators.from_plain(loaded)


def load_process(
    text: str, filename: str
) -> model.Process | list[faults.Fault]:
    """Returns the content of a process's settings file, or its faults."""
    loaded = _load(text, filename, schema.PROCESS, rules.check_process)
    if isinstance(loaded, list):
        return loaded
    return model.Process(**loaded)


def _load(
    text: str, filename: str, layout: fields.Object, check_rules: rules.Rule
) -> dict[str, Any] | list[faults.Fault]:
    """Returns the values of a text, or its faults."""
    tree = source.parse_plain_json(text)
    if tree is not None:
        report = faults.Report(filename)
        plain = _read(tree, layout, check_rules, report)
        if not report.faults():
            return plain
    report = faults.Report(filename)
    tree = source.parse(text)
    if isinstance(tree, source.SyntaxFault):
        report.add(tree.line, (), tree.wrong, tree.right)
        return report.faults()
    plain = _read(tree, layout, check_rules, report)
    return report.faults() or plain


def _read(
    tree: source.Node,
    layout: fields.Object,
    check_rules: rules.Rule,
    report: faults.Report,
) -> dict[str, Any]:
    """Returns the valid values of a tree and adds its faults to `report`."""
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
