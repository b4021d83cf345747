"""Parts of the configuration, stored and fetched under their digests."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from dandelionlead.config import model
from dandelionlead.core import errors

# With 10,000 teams a bucket holds about 160 of them (27 KB), so that a change
# to one team moves 27 KB to each entry instead of 1.3 MB.
TEAM_BUCKETS = 64
# Every bucket adds about 80 bytes to the head row, which each process reads
# once a second; 32 buckets of 3,600 endpoints hold at most 28 KB each.
ENDPOINT_BUCKETS = 32

_BUCKETS = {"teams": TEAM_BUCKETS, "endpoints": ENDPOINT_BUCKETS}


def split(operators: model.Operators) -> dict[str, bytes]:
    """Returns the parts by name, as canonical JSON.

    A part is named after its section; a section with buckets has parts
    `SECTION/NN`. Empty buckets have no part.
    """
    plain = operators.to_plain()
    parts: dict[str, bytes] = {}
    for section, content in plain.items():
        if section in _BUCKETS:
            parts.update(_split_buckets(section, content))
        else:
            parts[section] = _encode(content)
    return parts


def join(parts: Mapping[str, bytes]) -> model.Operators | errors.Failure:
    """Returns the content that `parts` hold.

    Parts of unknown sections are ignored: a later release may have written
    them.

    Returns:
        The content, or a failure of kind `bad_config`.
    """
    plain: dict[str, Any] = {}
    for name, data in parts.items():
        content = _decode(data)
        if content is None:
            return _failure(f"part {name} is not a JSON object")
        plain.setdefault(name.partition("/")[0], {}).update(content)
    missing = [name for name in model.Operators.__slots__ if name not in plain]
    missing = [name for name in missing if name not in _BUCKETS]
    if missing:
        return _failure(f"these parts are missing: {', '.join(missing)}")
    try:
        return model.Operators.from_plain(plain)
    except (AttributeError, KeyError, TypeError) as exc:
        return _failure(f"the parts do not fit the schema: {exc}")


def digest(data: bytes) -> str:
    """Returns the SHA-256 of a part in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def digests(parts: Mapping[str, bytes]) -> dict[str, str]:
    """Returns the digest of each part by its name, as the head lists them."""
    return {name: digest(data) for name, data in parts.items()}


def _split_buckets(section: str, content: dict[str, Any]) -> dict[str, bytes]:
    count = _BUCKETS[section]
    buckets: dict[int, dict[str, Any]] = {}
    for name, item in content.items():
        buckets.setdefault(_bucket(name, count), {})[name] = item
    return {
        f"{section}/{number:02}": _encode(items)
        for number, items in buckets.items()
    }


def _bucket(name: str, count: int) -> int:
    first = hashlib.sha256(name.encode()).digest()[:8]
    return int.from_bytes(first, "big") % count


def _encode(content: dict[str, Any]) -> bytes:
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return text.encode()


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        content = json.loads(data)
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def _failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.BAD_CONFIG, reason)
