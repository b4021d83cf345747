"""Picture of the endpoints' prefix caches, from late events with gaps."""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Iterable
from collections.abc import Sequence

from dandelionlead.core import hashing

BLOCK_BYTES = 512
BLOCKS_LIMIT = 16
# Prefixes remembered for each endpoint; at 120 bytes an entry and a subset of
# 20 endpoints the picture stays below 10 MB.
PREFIXES_LIMIT = 4096
# Without events for so long, the picture is no better than hashing.
FRESH_S = 10.0


class CacheEvent:
    """One event of an endpoint's prefix cache (`op` is `add` or `evict`)."""

    __slots__ = ("seq", "prefix", "op")

    def __init__(self, seq: int, prefix: str, op: str) -> None:
        self.seq = seq
        self.prefix = prefix
        self.op = op


def prefixes(model: str, prompt: str) -> list[str]:
    """Returns the digests of the prompt's prefixes, the shortest first."""
    data = prompt.encode()
    digest = hashlib.sha256(model.encode() + b"\0")
    found = []
    for start in range(0, len(data), BLOCK_BYTES)[:BLOCKS_LIMIT]:
        digest.update(data[start : start + BLOCK_BYTES])
        found.append(digest.hexdigest()[:16])
    return found


class PrefixPicture:
    """Which prefixes each endpoint probably holds.

    Args:
        prefixes_limit: Prefixes kept for each endpoint; the least recently
            used one is dropped.
        fresh_s: Seconds after the last event for which a picture is used.
    """

    def __init__(
        self,
        *,
        prefixes_limit: int = PREFIXES_LIMIT,
        fresh_s: float = FRESH_S,
    ) -> None:
        self._limit = prefixes_limit
        self._fresh_s = fresh_s
        self._endpoints: dict[str, _Cache] = {}

    def set_endpoints(self, names: Iterable[str]) -> None:
        """Forgets all other endpoints."""
        self._endpoints = {
            name: self._endpoints.get(name) or _Cache() for name in names
        }

    def apply(
        self,
        name: str,
        incarnation: str,
        events: Sequence[CacheEvent],
        now_s: float,
    ) -> None:
        """Applies events in order of their numbers.

        A gap may hide evictions, so older entries are dropped at a gap, as
        they are when the endpoint has a new incarnation.
        """
        cache = self._endpoints.setdefault(name, _Cache())
        if cache.incarnation != incarnation:
            cache.reset(incarnation)
        cache.heard_s = now_s
        for event in sorted(events, key=lambda item: item.seq):
            if event.seq <= cache.seq:
                continue
            if event.seq != cache.seq + 1:
                cache.held.clear()
            cache.seq = event.seq
            if event.op == "add":
                cache.add(event.prefix, self._limit)
            else:
                cache.held.pop(event.prefix, None)

    def sent(self, name: str, chain: Sequence[str]) -> None:
        """Notes that a request with these prefixes was sent there."""
        cache = self._endpoints.setdefault(name, _Cache())
        for prefix in chain:
            cache.add(prefix, self._limit)

    def after(self, name: str) -> int:
        """Returns the number after which events are to be asked for."""
        cache = self._endpoints.get(name)
        return cache.seq if cache else 0

    def cached_share(
        self, chain: Sequence[str], names: Sequence[str], now_s: float
    ) -> dict[str, float]:
        """Returns the share (0 to 1) of the prompt that each endpoint holds.

        Endpoints without recent events are left to hashing: of these, the one
        with the highest rendezvous weight for the first prefix gets 0.5.
        """
        if not chain:
            return dict.fromkeys(names, 0.0)
        shares = {}
        unheard = []
        for name in names:
            cache = self._endpoints.get(name)
            fresh = cache and now_s - cache.heard_s <= self._fresh_s
            shares[name] = cache.share(chain) if fresh else 0.0
            if not fresh:
                unheard.append(name)
        favourite = hashing.pick(chain[0], unheard)
        if favourite is not None and not any(shares.values()):
            shares[favourite] = 0.5
        return shares


class _Cache:
    """Picture of one endpoint's cache."""

    __slots__ = ("incarnation", "seq", "heard_s", "held")

    def __init__(self) -> None:
        self.incarnation = ""
        self.seq = 0
        self.heard_s = float("-inf")
        self.held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def reset(self, incarnation: str) -> None:
        """Starts again for a new incarnation."""
        self.incarnation = incarnation
        self.seq = 0
        self.held.clear()

    def add(self, prefix: str, limit: int) -> None:
        """Adds a prefix as the most recently used one."""
        self.held[prefix] = None
        self.held.move_to_end(prefix)
        if len(self.held) > limit:
            self.held.popitem(last=False)

    def share(self, chain: Sequence[str]) -> float:
        """Returns the share of the chain that is held without a break."""
        count = 0
        for prefix in chain:
            if prefix not in self.held:
                break
            count += 1
        return count / len(chain)
