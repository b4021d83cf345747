"""Passes on what any process has found out, each thing once.

News counts by what it says, not by who says it: the first process that finds
out and all that hear of it pass on the same item.
"""

from __future__ import annotations

import random
from collections.abc import Hashable

from dandelionlead.cluster import rumors
from dandelionlead.cluster import state_handler
from dandelionlead.cluster.gen import ttypes

# Largest number of items in one message, and number of messages that contain an
# item when it is new.
_MAX_BATCH = 16
_SEND_COUNT = 2
# Number of items that each message of a round repeats, for processes that have
# missed them.
_REPEATED_COUNT = 2
# An item that is stated again with a later time counts as new only after this.
_STAMP_STEP_S = 1.0


class NewsSpreading:
    """News that this process has passed on, or still has to.

    Args:
        handler: Lists the news that this process knows.
        rng: Draws the items that are repeated.
    """

    def __init__(
        self, handler: state_handler.StateHandler, rng: random.Random
    ) -> None:
        self._handler = handler
        self._rng = rng
        self._queue: rumors.RumorQueue[state_handler.NewsItem] = (
            rumors.RumorQueue(_SEND_COUNT, _MAX_BATCH)
        )
        # Times of the news that were passed on, by key.
        self._spread_stamps_s: dict[Hashable, float] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def collect(self, now_s: float, *, passes_on: bool) -> None:
        """Queues the news that were not passed on yet.

        Args:
            now_s: Current time in seconds.
            passes_on: Whether to queue them; otherwise they are only noted,
                because all processes get them anyway.
        """
        news = self._handler.list_news(now_s)
        self._spread_stamps_s = {
            key: stamp_s
            for key, stamp_s in self._spread_stamps_s.items()
            if key in news
        }
        for key, item in news.items():
            stamp_s = self._spread_stamps_s.get(key)
            if stamp_s is not None and item.stamp_s <= stamp_s + _STAMP_STEP_S:
                continue
            self._spread_stamps_s[key] = item.stamp_s
            if passes_on:
                self._queue.add(key, item)

    def take(self) -> ttypes.News | None:
        """Returns the queued news for one message; None if there are none."""
        return _build_news(self._queue.take())

    def draw_repeated(self, now_s: float) -> ttypes.News | None:
        """Returns some of the known news; None if there are none."""
        news = list(self._handler.list_news(now_s).values())
        return _build_news(
            self._rng.sample(news, min(_REPEATED_COUNT, len(news)))
        )


def _build_news(items: list[state_handler.NewsItem]) -> ttypes.News | None:
    """Returns news as one structure; None if there are none."""
    if not items:
        return None
    news = ttypes.News([], [], [], [], [])
    for item in items:
        getattr(news, item.field).append(item.item)
    return news
