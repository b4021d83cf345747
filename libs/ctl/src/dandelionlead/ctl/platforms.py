"""The platform's services that the commands use."""

from __future__ import annotations

from dandelionlead.config import head
from dandelionlead.config import model
from dandelionlead.config import parts as config_parts
from dandelionlead.core import errors
from dandelionlead.ctl import apply
from dandelionlead.platform import api


def read_head(platform: api.Platform) -> head.Head | errors.Failure:
    """Returns the accepted head; `head.NONE_YET` before the first apply."""
    rows = platform.table.read([apply.HEAD_KEY])
    if isinstance(rows, errors.Failure):
        return rows
    return head.from_plain(rows[0].value if rows[0] else None)


def read_content(
    platform: api.Platform, accepted: head.Head
) -> model.Operators | errors.Failure:
    """Returns the content of a head from the object store, checked."""
    content = {}
    for name, digest in accepted.parts.items():
        data = platform.objects.get(digest)
        if isinstance(data, errors.Failure):
            return data
        if config_parts.digest(data) != digest:
            return errors.Failure(
                errors.Kind.PLATFORM_UNAVAILABLE,
                f"the object store returned other content for part {name}",
            )
        content[name] = data
    return config_parts.join(content)
