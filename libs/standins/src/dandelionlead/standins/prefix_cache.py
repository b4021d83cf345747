"""Prefix cache of the engine stand-in, with late and incomplete events."""

from __future__ import annotations

import collections
import random
from collections.abc import Sequence
from typing import Any

from dandelionlead.standins import tokens

_KEPT_EVENTS = 10_000


class Cache:
    """Least recently used blocks; a prefix is cached up to its first gap."""

    def __init__(
        self, total_tokens: int, *, lag_s: float, event_loss: float, seed: int
    ) -> None:
        """Creates an empty cache.

        Args:
            total_tokens: Memory of the cache.
            lag_s: Seconds after which an event can be seen.
            event_loss: Share of the events that are never seen, 0 to 1.
            seed: Seed of the choice of lost events.
        """
        self._blocks_total = total_tokens // tokens.BLOCK_TOKENS
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._lag_s = lag_s
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._seq = 0
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=_KEPT_EVENTS)
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, hashes: Sequence[str]) -> int:
        """Returns how many tokens of a prefix need no work; marks them used."""
        hits = 0
        while hits < len(hashes) and hashes[hits] in self._blocks:
            hits += 1
        self._touch(hashes[:hits])
        return hits * tokens.BLOCK_TOKENS

    def insert(self, hashes: Sequence[str], now: float) -> None:
        """Adds the blocks of a prefix and evicts others for them."""
        kept = hashes[: self._blocks_total]
        for prefix in kept:
            if prefix not in self._blocks:
                self._blocks[prefix] = None
                self._record("add", prefix, now)
        self._touch(kept)
        while len(self._blocks) > self._blocks_total:
            prefix, _ = self._blocks.popitem(last=False)
            self._record("remove", prefix, now)

    def clear(self, now: float) -> None:
        """Evicts all blocks."""
        for prefix in self._blocks:
            self._record("remove", prefix, now)
        self._blocks.clear()

    def events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Returns the events that can be seen and follow a sequence number."""
        return [
            event
            for at, event in self._events
            if event["seq"] > after and at + self._lag_s <= now
        ]

    def _touch(self, hashes: Sequence[str]) -> None:
        # The end of a prefix is evicted before its start, which alone is of
        # use to other prompts.
        for prefix in reversed(hashes):
            self._blocks.move_to_end(prefix)

    def _record(self, operation: str, prefix: str, now: float) -> None:
        self._seq += 1
        if self._random.random() < self._event_loss:
            return
        event = {"seq": self._seq, "prefix": prefix, "op": operation}
        self._events.append((now, event))
