"""Rules between values of one file, checked after the schema."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from dandelionlead.config import faults
from dandelionlead.config import fields
from dandelionlead.config import model
from dandelionlead.config import schema

Plain = dict[str, Any]
Rule = Callable[[Plain, fields.Context], None]


def check_operators(plain: Plain, ctx: fields.Context) -> None:
    """Adds the faults of an operators' file."""
    for rule in _OPERATORS_RULES:
        rule(plain, ctx)


def check_process(plain: Plain, ctx: fields.Context) -> None:
    """Adds the faults of a process's settings file."""
    for rule in _PROCESS_RULES:
        rule(plain, ctx)


def _check_rollouts(plain: Plain, ctx: fields.Context) -> None:
    for path, item in _entries(plain, "models"):
        versions = item.get("versions")
        if versions is None:
            continue
        for key in ("current", "next"):
            _check_reference(item, path, key, versions, ctx)
        _check_next(item, path, ctx)


def _check_next(item: Plain, path: fields.Path, ctx: fields.Context) -> None:
    if "next" in item and item["next"] == item.get("current"):
        ctx.add(
            (*path, "next"),
            "The next version is the current one.",
            'Name another version, or remove "next" and "deadline".',
        )
    if _has(item, path, "next", ctx) != _has(item, path, "deadline", ctx):
        present = "next" if "next" in item else "deadline"
        absent = "deadline" if "next" in item else "next"
        ctx.add(
            (*path, present),
            f'The key "{present}" is there without "{absent}".',
            "Write both or neither.",
        )


def _check_routes(plain: Plain, ctx: fields.Context) -> None:
    paths: dict[str, str] = {}
    for path, item in _entries(plain, "routes"):
        kind = item.get("kind")
        if kind == model.GENERATION:
            _check_generation_route(plain, item, path, ctx)
        elif kind == model.SERVICE:
            _check_service_route(plain, item, path, ctx)
            _check_unique(item, path, "path", paths, ctx)


def _check_generation_route(
    plain: Plain, item: Plain, path: fields.Path, ctx: fields.Context
) -> None:
    _require(item, path, "model", ctx)
    _forbid(item, path, ("service", "repeatable"), ctx)
    _check_reference(item, path, "model", plain.get("models", {}), ctx)
    if "path" in item and item["path"] not in schema.GENERATION_PATHS:
        allowed = '" or "'.join(schema.GENERATION_PATHS)
        ctx.add(
            (*path, "path"),
            f'No generation is served on "{item["path"]}".',
            f'Write "{allowed}".',
        )


def _check_service_route(
    plain: Plain, item: Plain, path: fields.Path, ctx: fields.Context
) -> None:
    _require(item, path, "service", ctx)
    _require(item, path, "repeatable", ctx)
    _forbid(item, path, ("model", "max_tokens"), ctx)
    services = plain.get("services", {})
    _check_reference(item, path, "service", services, ctx)
    service = services.get(item.get("service")) or {}
    base_path = service.get("base_path")
    if base_path is None or "path" not in item:
        return
    if not _is_below(item["path"], base_path):
        ctx.add(
            (*path, "path"),
            f'The path "{item["path"]}" is outside the service.',
            f'Start it with "{base_path}", the service\'s base path.',
        )


def _check_services(plain: Plain, ctx: fields.Context) -> None:
    for path, item in _entries(plain, "services"):
        expected = f"/v1/services/{path[-1]}"
        base_path = item.get("base_path")
        if base_path is not None and not _is_below(base_path, expected):
            ctx.add(
                (*path, "base_path"),
                f'The base path is "{base_path}".',
                f'Start it with "{expected}".',
            )


def _check_endpoints(plain: Plain, ctx: fields.Context) -> None:
    addresses: dict[str, str] = {}
    zones = plain.get("availability_zones", {})
    for path, item in _entries(plain, "endpoints"):
        _check_reference(item, path, "availability_zone", zones, ctx)
        _check_unique(item, path, "address", addresses, ctx)
        if item.get("kind") == model.ENGINE:
            _check_engine(plain, item, path, ctx)
        elif item.get("kind") == model.SERVICE:
            _check_service_endpoint(plain, item, path, ctx)


def _check_engine(
    plain: Plain, item: Plain, path: fields.Path, ctx: fields.Context
) -> None:
    for key in ("model", "version", "memory_tokens", "checks_fencing"):
        _require(item, path, key, ctx)
    _forbid(item, path, ("service", "max_concurrent"), ctx)
    models = plain.get("models", {})
    _check_reference(item, path, "model", models, ctx)
    named = models.get(item.get("model")) or {}
    if "versions" in named:
        _check_reference(item, path, "version", named["versions"], ctx)


def _check_service_endpoint(
    plain: Plain, item: Plain, path: fields.Path, ctx: fields.Context
) -> None:
    _require(item, path, "service", ctx)
    _require(item, path, "max_concurrent", ctx)
    engine_keys = ("model", "version", "memory_tokens", "checks_fencing")
    _forbid(item, path, engine_keys, ctx)
    services = plain.get("services", {})
    _check_reference(item, path, "service", services, ctx)


def _check_key_digests(plain: Plain, ctx: fields.Context) -> None:
    owners: dict[str, str] = {}
    for path, item in _entries(plain, "teams"):
        for index, digest in enumerate(item.get("key_digests", ())):
            owner = owners.setdefault(digest, f"{path[-1]}.{index}")
            if owner != f"{path[-1]}.{index}":
                ctx.add(
                    (*path, "key_digests", str(index)),
                    f'Team "{owner.rpartition(".")[0]}" has this key already.',
                    "Give each key to one team, once.",
                )


def _check_role(plain: Plain, ctx: fields.Context) -> None:
    required = _ROLE_KEYS.get(plain.get("role", ""), ())
    for key in required:
        _require(plain, (), key, ctx)


def _check_advertised(plain: Plain, ctx: fields.Context) -> None:
    for kind in ("http", "control"):
        listening, told = f"{kind}_address", f"advertised_{kind}"
        address = plain.get(told, plain.get(listening))
        if address is None:
            continue
        host = address.rpartition(":")[0].strip("[]")
        if ipaddress.ip_address(host).is_unspecified:
            ctx.add(
                (told if told in plain else listening,),
                f'Nobody can connect to "{address}".',
                f'Write the address that others use as "{told}".',
            )


def _check_distinct_keys(plain: Plain, ctx: fields.Context) -> None:
    keys = plain.get("resume_keys", ())
    if plain.get("peer_key") in keys:
        ctx.add(
            ("resume_keys",),
            "A resume key is the peer key.",
            "Use a different key for each purpose.",
        )
    if len(set(keys)) < len(keys):
        ctx.add(
            ("resume_keys",),
            "Both resume keys are the same.",
            "Write the newest key first, then the one it replaces.",
        )


_ROLE_KEYS = {
    model.ENTRY: (
        "availability_zone",
        "http_address",
        "control_address",
        "resume_keys",
    ),
    model.STEWARD: ("availability_zone", "control_address"),
}

_OPERATORS_RULES: tuple[Rule, ...] = (
    _check_rollouts,
    _check_routes,
    _check_services,
    _check_endpoints,
    _check_key_digests,
)

_PROCESS_RULES: tuple[Rule, ...] = (
    _check_role,
    _check_advertised,
    _check_distinct_keys,
)


def _entries(plain: Plain, section: str) -> Iterator[tuple[fields.Path, Plain]]:
    """Yields the entries of a section that are objects, with their paths."""
    for name, item in plain.get(section, {}).items():
        if item is not fields.INVALID:
            yield (section, name), item


def _has(item: Plain, path: fields.Path, key: str, ctx: fields.Context) -> bool:
    """Returns whether a key was written, with a valid value or not."""
    return key in item or (*path, key) in ctx.lines


def _require(
    item: Plain, path: fields.Path, key: str, ctx: fields.Context
) -> None:
    if _has(item, path, key, ctx):
        return
    kind = item.get("kind") or item.get("role")
    ctx.add(
        path,
        f'The key "{key}" is missing.',
        f'Add it: the kind or role "{kind}" needs it.',
    )


def _forbid(
    item: Plain, path: fields.Path, keys: tuple[str, ...], ctx: fields.Context
) -> None:
    for key in keys:
        if _has(item, path, key, ctx):
            ctx.add(
                (*path, key),
                f'The kind "{item["kind"]}" does not use this key.',
                "Remove it.",
            )


def _check_reference(
    item: Plain, path: fields.Path, key: str, known: Plain, ctx: fields.Context
) -> None:
    name = item.get(key)
    if name is not None and name not in known:
        ctx.add(
            (*path, key),
            f'The name "{name}" is not defined.',
            faults.suggestion(name, known),
        )


def _check_unique(
    item: Plain,
    path: fields.Path,
    key: str,
    seen: dict[str, str],
    ctx: fields.Context,
) -> None:
    value = item.get(key)
    if value is None:
        return
    other = seen.setdefault(value, path[-1])
    if other != path[-1]:
        ctx.add(
            (*path, key),
            f'"{other}" has the same {key} already.',
            f"Give each its own {key}.",
        )


def _is_below(path: str, base_path: str) -> bool:
    return path == base_path or path.startswith(f"{base_path}/")
