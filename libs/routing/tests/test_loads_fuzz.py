"""Guards against sums of loads that drift from what processes told.

Oracle: adding up the own work and the latest word of each live peer.
"""

from __future__ import annotations

import unittest

import hypothesis.stateful
from hypothesis import strategies

from dandelionlead.routing import loads

_PEERS = ("p0", "p1", "p2")
_ENDPOINTS = ("e0", "e1")
_LIMIT_S = 3.0
_peers = strategies.sampled_from(_PEERS)
_endpoints = strategies.sampled_from(_ENDPOINTS)
_words = strategies.dictionaries(
    _endpoints,
    strategies.tuples(*[strategies.integers(0, 3)] * 4),
    max_size=2,
)
_Word = dict[str, tuple[int, int, int, int]]


class LoadMachine(hypothesis.stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.book = loads.LoadBook()
        self.now_s = 0.0
        self.words: dict[str, tuple[float, _Word]] = {}
        self.tickets: list[loads.Ticket] = []

    @hypothesis.stateful.rule(peer=_peers, word=_words)
    def heartbeat(self, peer: str, word: _Word) -> None:
        until_s = self.now_s + _LIMIT_S
        self.book.hear(peer, _loads(word), until_s)
        self.words[peer] = (until_s, dict(word))

    @hypothesis.stateful.rule(peer=_peers, word=_words)
    def change(self, peer: str, word: _Word) -> None:
        self._expire()
        self.book.total("e0", self.now_s)
        self.book.hear_change(peer, _loads(word))
        if peer in self.words:
            self.words[peer][1].update(word)

    @hypothesis.stateful.rule(
        endpoint_id=_endpoints, tokens=strategies.integers(0, 5)
    )
    def begin(self, endpoint_id: str, tokens: int) -> None:
        self.tickets.append(self.book.begin(endpoint_id, tokens, tokens))

    @hypothesis.stateful.rule(which=strategies.integers(0, 9))
    def go_on(self, which: int) -> None:
        if self.tickets:
            ticket = self.tickets[which % len(self.tickets)]
            self.book.prefilled(ticket)
            self.book.expose(ticket)

    @hypothesis.stateful.rule(which=strategies.integers(0, 9))
    def end(self, which: int) -> None:
        if self.tickets:
            self.book.end(self.tickets.pop(which % len(self.tickets)))

    @hypothesis.stateful.rule(seconds=strategies.floats(0.0, 2.0))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    def _expire(self) -> None:
        self.words = {
            peer: word
            for peer, word in self.words.items()
            if self.now_s <= word[0]
        }

    @hypothesis.stateful.invariant()
    def sums_are_right(self) -> None:
        self._expire()
        for endpoint_id in _ENDPOINTS:
            expected = [0, 0, 0, 0]
            for _, word in self.words.values():
                for place, value in enumerate(word.get(endpoint_id, (0,) * 4)):
                    expected[place] += value
            for ticket in self.tickets:
                if ticket.endpoint_id == endpoint_id:
                    own = (1, ticket.tokens, ticket.prefill, ticket.unsaved)
                    for place, value in enumerate(own):
                        expected[place] += value
            total = self.book.total(endpoint_id, self.now_s)
            found = [total.runs, total.tokens, total.prefill, total.unsaved]
            assert found == expected, (endpoint_id, found, expected)


def _loads(word: _Word) -> dict[str, loads.Load]:
    return {name: loads.Load(*values) for name, values in word.items()}


LoadFuzz = LoadMachine.TestCase


if __name__ == "__main__":
    unittest.main()
