"""Groups of members by endpoint, kept up to date member by member.

Ranking 400 members takes 325 us; at 3,600 endpoints a second that would be more
than a core. A member that comes costs one weight for each endpoint, one that
goes only the endpoints in whose groups it was.
"""

from __future__ import annotations

import bisect

from dandelionlead.core import hashing


class Groups:
    """The members with the highest rendezvous weights for each endpoint."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._members: set[str] = set()
        # Pairs of negated weight and name in order, by endpoint.
        self._ranked: dict[str, list[tuple[int, str]]] = {}

    def add(self, member: str) -> None:
        """Adds a member; nothing happens if it is there."""
        if member in self._members:
            return
        self._members.add(member)
        for endpoint, ranked in self._ranked.items():
            bisect.insort(ranked, _key(endpoint, member))
            del ranked[self._size :]

    def remove(self, member: str) -> None:
        """Removes a member, if it is there."""
        self._members.discard(member)
        self._ranked = {
            endpoint: ranked
            for endpoint, ranked in self._ranked.items()
            if all(name != member for _, name in ranked)
        }

    def get(self, endpoint: str) -> list[str]:
        """Returns the group of an endpoint, the preferred member first."""
        ranked = self._ranked.get(endpoint)
        if ranked is None:
            keys = sorted(_key(endpoint, name) for name in self._members)
            ranked = keys[: self._size]
            self._ranked[endpoint] = ranked
        return [name for _, name in ranked]


def _key(endpoint: str, member: str) -> tuple[int, str]:
    return -hashing.weight(endpoint, member), member
