"""Queues what a process has to pass on, each item a limited number of times."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

_Item = TypeVar("_Item")


class RumorQueue(Generic[_Item]):
    """Items that the next messages contain, the oldest first.

    Args:
        send_count: Number of messages that contain an item.
        max_batch: Largest number of items in one message.
    """

    def __init__(self, send_count: int, max_batch: int) -> None:
        self._send_count = send_count
        self._max_batch = max_batch
        # Items and the number of messages that are still to contain them, by
        # key. An item that is added again replaces the one with its key.
        self._items: dict[Hashable, tuple[_Item, int]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, key: Hashable, item: _Item) -> None:
        """Adds an item, in place of an earlier one with the same key."""
        self._items.pop(key, None)
        self._items[key] = (item, self._send_count)

    def take(self) -> list[_Item]:
        """Returns the items for one message."""
        batch = list(self._items.items())[: self._max_batch]
        for key, (item, remaining) in batch:
            del self._items[key]
            if remaining > 1:
                self._items[key] = (item, remaining - 1)
        return [item for _, (item, _) in batch]
