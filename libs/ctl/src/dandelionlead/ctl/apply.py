"""Makes a checked configuration the accepted one, or says why it is not.

The answer is one of three: accepted (with its version), refused (it is not in
force and never will be) or unknown. An answer that was lost is settled by
reading the head back. While the head is unchanged, the lost write may still
land late, so only the same write is sent again: its condition lets it take
effect at most once.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from collections.abc import Mapping

from dandelionlead.config import head
from dandelionlead.config import parts as config_parts
from dandelionlead.core import errors
from dandelionlead.platform import api

HEAD_KEY = api.Key(head.TABLE, head.KEY)
VERSION_KEY = api.Key(head.TABLE, head.VERSION_KEY)

DEFAULT_LIMIT_S = 20.0
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
_APPLY_ID_BYTES = 8


class Accepted:
    """The configuration has the version `head.version`.

    Attributes:
        head: The head as it was written; for an unchanged configuration, the
            head that was found.
        changed: False if the content was in force already.
        superseded_by: Newest version known; 0 if it is this one.
    """

    __slots__ = ("head", "changed", "superseded_by")

    def __init__(
        self,
        accepted: head.Head,
        *,
        changed: bool = True,
        superseded_by: int = 0,
    ) -> None:
        self.head = accepted
        self.changed = changed
        self.superseded_by = superseded_by


class Refused:
    """The configuration is not in force and will not be.

    Attributes:
        kind: `conflict` when another `apply` won, else why it failed.
        reason: Sentence with the particulars.
        winner_version: Version that won, if it is known; else 0.
        winner_id: Apply id that won, if it is known; else empty.
    """

    __slots__ = ("kind", "reason", "winner_version", "winner_id")

    def __init__(
        self,
        kind: errors.Kind,
        reason: str,
        *,
        winner_version: int = 0,
        winner_id: str = "",
    ) -> None:
        self.kind = kind
        self.reason = reason
        self.winner_version = winner_version
        self.winner_id = winner_id


class Unknown:
    """The configuration may be in force now or later; says why."""

    __slots__ = ("reason", "version")

    def __init__(self, reason: str, version: int) -> None:
        self.reason = reason
        self.version = version


Result = Accepted | Refused | Unknown


class Timing:
    """Clock and waiting of one `apply`, and the time that it may take.

    Attributes:
        now: Returns seconds of a clock that also counts suspended time.
        wait: Waits for a number of seconds.
        limit_s: Bound on all attempts together.
    """

    __slots__ = ("now", "wait", "limit_s")

    def __init__(
        self,
        now: Callable[[], float],
        wait: Callable[[float], None],
        limit_s: float = DEFAULT_LIMIT_S,
    ) -> None:
        self.now = now
        self.wait = wait
        self.limit_s = limit_s


def new_apply_id() -> str:
    """Returns a random apply id."""
    return secrets.token_hex(_APPLY_ID_BYTES)


def run(
    parts: Mapping[str, bytes],
    table: api.TableService,
    objects: api.ObjectStore,
    timing: Timing,
    *,
    apply_id: str,
    if_version: int | None = None,
) -> Result:
    """Makes `parts` the accepted configuration.

    Args:
        parts: Content of each part by its name.
        table: Table service with the head row.
        objects: Object store for the parts.
        timing: Clock, waiting and time limit.
        apply_id: Unique id of this run.
        if_version: Version that the head must have; None takes any.
    """
    return _Run(table, objects, timing, apply_id).apply(parts, if_version)


class _Retry:
    """Pauses between attempts until the time limit."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._ends_at = timing.now() + timing.limit_s
        self._pause_s = _FIRST_PAUSE_S

    def again(self) -> bool:
        """Waits and returns whether there is time for another attempt."""
        if self._timing.now() + self._pause_s >= self._ends_at:
            return False
        self._timing.wait(self._pause_s)
        self._pause_s = min(_LONGEST_PAUSE_S, 2 * self._pause_s)
        return self._timing.now() < self._ends_at


class _Run:
    """One `apply`; `_in_doubt` is set once a sent write has no answer."""

    def __init__(
        self,
        table: api.TableService,
        objects: api.ObjectStore,
        timing: Timing,
        apply_id: str,
    ) -> None:
        self._table = table
        self._objects = objects
        self._apply_id = apply_id
        self._retry = _Retry(timing)
        self._in_doubt = False

    def apply(
        self, parts: Mapping[str, bytes], if_version: int | None
    ) -> Result:
        rows = self._read_first()
        if isinstance(rows, errors.Failure):
            return _refused(rows)
        row, version_row = rows
        base = head.from_plain(row.value if row else None)
        if isinstance(base, errors.Failure):
            return _refused(base)
        if if_version is not None and base.version != if_version:
            return _beaten(base, base.version, base.apply_id)
        digests = config_parts.digests(parts)
        failure = self._store(parts, digests)
        if failure is not None:
            return _refused(failure)
        if base.version and base.parts == digests:
            return Accepted(base, changed=False)
        wanted = head.follow(base, self._apply_id, digests)
        writes = [
            api.Write(HEAD_KEY, _row_version(row), wanted.to_plain()),
            api.Write(
                VERSION_KEY, _row_version(version_row), wanted.version_row()
            ),
        ]
        return self._commit(writes, base, wanted)

    def _read_first(self) -> list[api.Row | None] | errors.Failure:
        while True:
            rows = self._table.read([HEAD_KEY, VERSION_KEY])
            if not isinstance(rows, errors.Failure) or not self._retry.again():
                return rows

    def _read_head(self) -> api.Row | None | errors.Failure:
        rows = self._table.read([HEAD_KEY])
        return rows if isinstance(rows, errors.Failure) else rows[0]

    def _store(
        self, parts: Mapping[str, bytes], digests: Mapping[str, str]
    ) -> errors.Failure | None:
        for name, data in parts.items():
            while True:
                failure = self._store_part(name, data, digests[name])
                if failure is None:
                    break
                if not self._retry.again():
                    return failure
        return None

    def _store_part(
        self, name: str, data: bytes, digest: str
    ) -> errors.Failure | None:
        """Writes one part unless the store has it, and reads it back."""
        if self._objects.get(digest) == data:
            return None
        stored = self._objects.put(data)
        if isinstance(stored, errors.Failure):
            return stored
        found = self._objects.get(digest)
        if isinstance(found, errors.Failure):
            return found
        if found != data:
            return errors.Failure(
                errors.Kind.PLATFORM_UNAVAILABLE,
                f"the object store returned other content for part {name}",
            )
        return None

    def _commit(
        self, writes: list[api.Write], base: head.Head, wanted: head.Head
    ) -> Result:
        while True:
            outcome = self._table.transact(writes)
            if isinstance(outcome, api.Committed):
                return Accepted(wanted)
            if isinstance(outcome, api.OutcomeUnknown):
                self._in_doubt = True
            settled, reason = self._settle(outcome, base, wanted)
            if settled is not None:
                return settled
            if not self._retry.again():
                return self._give_up(reason, wanted)

    def _settle(
        self, outcome: api.Outcome, base: head.Head, wanted: head.Head
    ) -> tuple[Result | None, str]:
        """Returns the result, if it is known now, and the latest reason."""
        if isinstance(outcome, api.Unavailable) and not self._in_doubt:
            return None, outcome.reason
        row = self._read_head()
        found = row
        if not isinstance(row, errors.Failure):
            found = head.from_plain(row.value if row else None)
        if isinstance(found, errors.Failure):
            if isinstance(outcome, api.Conflict) and not self._in_doubt:
                return _beaten(base, 0, ""), found.reason
            return None, found.reason
        if isinstance(outcome, api.Conflict) and not self._in_doubt:
            return _beaten_by(base, found), ""
        return self._compare(base, wanted, found)

    def _compare(
        self, base: head.Head, wanted: head.Head, found: head.Head
    ) -> tuple[Result | None, str]:
        """Settles a write in doubt by the head that was read back."""
        if found.version_of(self._apply_id) is not None:
            newer = found.version if found.version > wanted.version else 0
            return Accepted(wanted, superseded_by=newer), ""
        if found.version == base.version:
            return None, "the head is unchanged; the write may still land"
        if found.winner_of(wanted.version) is not None:
            return _beaten_by(base, found), ""
        return Unknown(
            f"the head went from version {base.version} to {found.version}, "
            f"and its history does not say who wrote {wanted.version}",
            wanted.version,
        ), ""

    def _give_up(self, reason: str, wanted: head.Head) -> Result:
        if self._in_doubt:
            return Unknown(reason, wanted.version)
        return Refused(errors.Kind.PLATFORM_UNAVAILABLE, reason)


def _row_version(row: api.Row | None) -> int:
    return row.version if row else 0


def _refused(failure: errors.Failure) -> Refused:
    return Refused(failure.kind, failure.reason)


def _beaten_by(base: head.Head, found: head.Head) -> Refused:
    """Returns the refusal that names the version after `base`."""
    version = base.version + 1
    return _beaten(base, version, found.winner_of(version) or "")


def _beaten(base: head.Head, version: int, winner_id: str) -> Refused:
    if not version:
        reason = f"another apply changed version {base.version} first"
    else:
        by_id = f" (apply id {winner_id})" if winner_id else ""
        reason = f"another apply won; it wrote version {version}{by_id}"
    return Refused(
        errors.Kind.CONFLICT,
        reason,
        winner_version=version,
        winner_id=winner_id,
    )
