"""Head of the configuration: which one is known, wanted and in force."""

from __future__ import annotations

import math
from collections.abc import Container
from collections.abc import Mapping


class Head:
    """A configuration head as the table service holds it.

    Attributes:
        version: Rises by each accepted change.
        apply_id: Identifies the `apply` that wrote it.
        parts: Part name to SHA-256 digest in hexadecimal.
    """

    __slots__ = ("version", "apply_id", "parts")

    def __init__(
        self, version: int, apply_id: str, parts: Mapping[str, str]
    ) -> None:
        self.version = version
        self.apply_id = apply_id
        self.parts = dict(parts)


class HeadKeeper:
    """Decides which head to put in force; the version only rises.

    Only the highest known head is a candidate. A process that starts
    therefore never puts a head in force that is older than one that the table
    service or a peer has named.
    """

    def __init__(self) -> None:
        self._in_force: Head | None = None
        self._newest: Head | None = None
        self._highest_known = 0
        self._behind_since = math.inf

    @property
    def in_force(self) -> Head | None:
        """The head in force; None before the first."""
        return self._in_force

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self._in_force is None else self._in_force.version

    @property
    def highest_known(self) -> int:
        """Highest version that this process has heard of."""
        return self._highest_known

    @property
    def behind_since(self) -> float:
        """Time since which a higher head has been known; inf if none is."""
        return self._behind_since

    def learn(self, head: Head, now: float) -> bool:
        """Takes in a head; returns whether it is now the wanted one."""
        self.learn_version(head.version, now)
        known = 0 if self._newest is None else self._newest.version
        if head.version <= known:
            return False
        self._newest = head
        return True

    def learn_version(self, version: int, now: float) -> None:
        """Takes in the version of a head whose parts are not known yet."""
        if version <= self._highest_known:
            return
        self._highest_known = version
        self._behind_since = min(self._behind_since, now)

    def wanted(self) -> Head | None:
        """Returns the head to complete, or None if nothing is to be done."""
        newest = self._newest
        if newest is None or newest.version < self._highest_known:
            return None
        return newest if newest.version > self.version else None

    def body_missing(self) -> bool:
        """Whether a higher version is known whose head must be asked for."""
        known = 0 if self._newest is None else self._newest.version
        return known < self._highest_known

    def missing(self, have: Container[str]) -> list[str]:
        """Returns the digests of the wanted head that are not in `have`."""
        head = self.wanted()
        if head is None:
            return []
        return sorted({d for d in head.parts.values() if d not in have})

    def advance(self, have: Container[str]) -> Head | None:
        """Puts the wanted head in force if all its parts are in `have`.

        Returns:
            The head that is in force from now on, or None if nothing changed.
        """
        head = self.wanted()
        if head is None or self.missing(have):
            return None
        self._in_force = head
        # A version learned since then would have made this head unwanted.
        self._behind_since = math.inf
        return head

    def head_for_message(self, receiver_version: int) -> Head | None:
        """Returns the newest head if the receiver does not have it."""
        newest = self._newest
        if newest is None or newest.version <= receiver_version:
            return None
        return newest


def accepted(voters: set[str], confirmed: set[str]) -> bool:
    """Whether a change may be reported to the operator as accepted.

    A committed head counts as accepted once a majority of the known entries
    has it in force. Every majority that could declare a common outage shares
    an entry with this one, so that no entry dispatches under older rules on
    the word of such a majority more than `freshness.BOUND_S` later.

    Args:
        voters: Names of all known entries (`MemberTable.voters`).
        confirmed: Names of entries that answered `notify` with this version
            or a higher one in force, all within one round of `notify`.
    """
    return 2 * len(voters & confirmed) > len(voters)
