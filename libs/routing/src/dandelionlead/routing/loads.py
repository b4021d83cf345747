"""How much work each endpoint has, from this process and from its peers."""

from __future__ import annotations

from collections.abc import Callable


class Load:
    """Work at one endpoint.

    Attributes:
        runs: Requests under way.
        tokens: Engine memory that they will take when they end.
        prefill: Prompt tokens of requests that have no first event yet.
        unsaved: Generations that are lost if the endpoint ends now.
    """

    __slots__ = ("runs", "tokens", "prefill", "unsaved")

    def __init__(
        self,
        runs: int = 0,
        tokens: int = 0,
        prefill: int = 0,
        unsaved: int = 0,
    ) -> None:
        self.runs = runs
        self.tokens = tokens
        self.prefill = prefill
        self.unsaved = unsaved

    def add(self, other: Load, times: int = 1) -> None:
        """Adds another load to this one, or takes it off with -1."""
        self.runs += times * other.runs
        self.tokens += times * other.tokens
        self.prefill += times * other.prefill
        self.unsaved += times * other.unsaved

    def is_zero(self) -> bool:
        """Whether there is no work."""
        return not (self.runs or self.tokens or self.prefill or self.unsaved)


class Ticket:
    """One request's share of the load of an endpoint."""

    __slots__ = ("endpoint_id", "tokens", "prefill", "runs", "unsaved")

    def __init__(
        self, endpoint_id: str, tokens: int, prefill: int, runs: int
    ) -> None:
        self.endpoint_id = endpoint_id
        self.tokens = tokens
        self.prefill = prefill
        self.runs = runs
        self.unsaved = 0


class LoadBook:
    """Own requests and the latest word of each peer.

    Attributes:
        changed: Called with the id of an endpoint after each change of the
            own generations there.
    """

    def __init__(self) -> None:
        self.changed: Callable[[str], None] = _nothing
        self._own: dict[str, Load] = {}
        self._peers: dict[str, tuple[float, dict[str, Load]]] = {}
        # Sums over all peers, so that a choice need not add them up.
        self._heard: dict[str, Load] = {}
        # No peer's word ends before this instant.
        self._expires_s = float("inf")

    def begin(
        self, endpoint_id: str, tokens: int, prefill: int, *, runs: int = 1
    ) -> Ticket:
        """Counts work at an endpoint.

        Args:
            endpoint_id: The endpoint.
            tokens: Engine memory that it will take when it ends.
            prefill: Prompt tokens that have to be read.
            runs: 1 for a request, 0 for a copy that only takes memory.
        """
        load = self._own.setdefault(endpoint_id, Load())
        load.add(Load(runs, tokens, prefill))
        self._tell(endpoint_id, tokens)
        return Ticket(endpoint_id, tokens, prefill, runs)

    def prefilled(self, ticket: Ticket) -> None:
        """Notes that the prompt of a request has been read."""
        if ticket.prefill:
            self._own[ticket.endpoint_id].prefill -= ticket.prefill
            ticket.prefill = 0
            self.changed(ticket.endpoint_id)

    def expose(self, ticket: Ticket) -> None:
        """Notes that a generation would be lost with its endpoint."""
        self._mark(ticket, 1)

    def save(self, ticket: Ticket) -> None:
        """Notes that a generation's memory is elsewhere, too."""
        self._mark(ticket, 0)

    def unsaved(self, endpoint_id: str, now_s: float) -> int:
        """Returns the generations that would be lost with an endpoint."""
        return self.total(endpoint_id, now_s).unsaved

    def unsaved_of_peers(
        self, endpoint_id: str, now_s: float
    ) -> dict[str, int]:
        """Returns how many of them each live peer has, if it has any."""
        self._expire(now_s)
        found = {}
        for peer, (_, loads) in self._peers.items():
            load = loads.get(endpoint_id)
            if load is not None and load.unsaved:
                found[peer] = load.unsaved
        return found

    def _tell(self, endpoint_id: str, tokens: int) -> None:
        """Tells of work that takes memory; short calls wait for a heartbeat."""
        if tokens:
            self.changed(endpoint_id)

    def _mark(self, ticket: Ticket, unsaved: int) -> None:
        if ticket.unsaved != unsaved:
            load = self._own[ticket.endpoint_id]
            load.unsaved += unsaved - ticket.unsaved
            ticket.unsaved = unsaved
            self.changed(ticket.endpoint_id)

    def end(self, ticket: Ticket) -> None:
        """Takes work off that ended or left the endpoint."""
        self.save(ticket)
        load = self._own[ticket.endpoint_id]
        load.add(Load(-ticket.runs, -ticket.tokens, -ticket.prefill))
        if not load.runs and not load.tokens:
            del self._own[ticket.endpoint_id]
        self._tell(ticket.endpoint_id, ticket.tokens)

    def hear(self, peer: str, loads: dict[str, Load], until_s: float) -> None:
        """Takes a peer's word on its own requests; it replaces the last.

        Args:
            peer: Its name.
            loads: Its load by endpoint.
            until_s: Instant up to which the word counts.
        """
        self._forget(peer)
        self._peers[peer] = (until_s, loads)
        self._expires_s = min(self._expires_s, until_s)
        for endpoint_id, load in loads.items():
            self._add_heard(endpoint_id, load)

    def hear_change(self, peer: str, loads: dict[str, Load]) -> None:
        """Takes a peer's word on some endpoints; the others stay."""
        known = self._peers.get(peer)
        if known is None:
            return
        for endpoint_id, load in loads.items():
            last = known[1].get(endpoint_id)
            if last is not None:
                self._add_heard(endpoint_id, last, -1)
            self._add_heard(endpoint_id, load)
            known[1][endpoint_id] = load

    def own(self) -> dict[str, Load]:
        """Returns the loads that this process causes, by endpoint."""
        return self._own

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the load of one endpoint, that of live peers included."""
        self._expire(now_s)
        total = Load()
        for book in (self._own, self._heard):
            load = book.get(endpoint_id)
            if load is not None:
                total.add(load)
        return total

    def totals(self, now_s: float) -> dict[str, Load]:
        """Returns the loads by endpoint, those of live peers included."""
        found = {*self._own, *self._heard}
        totals = {name: self.total(name, now_s) for name in found}
        return {
            name: load for name, load in totals.items() if not load.is_zero()
        }

    def _expire(self, now_s: float) -> None:
        """Forgets peers whose word has ended."""
        if now_s <= self._expires_s:
            return
        late = [
            peer
            for peer, (until_s, _) in self._peers.items()
            if now_s > until_s
        ]
        for peer in late:
            self._forget(peer)
        self._expires_s = min(
            (until_s for until_s, _ in self._peers.values()),
            default=float("inf"),
        )

    def _forget(self, peer: str) -> None:
        """Takes a peer's word off the sums."""
        _, loads = self._peers.pop(peer, (0.0, {}))
        for endpoint_id, load in loads.items():
            self._add_heard(endpoint_id, load, -1)

    def _add_heard(self, endpoint_id: str, load: Load, times: int = 1) -> None:
        total = self._heard.setdefault(endpoint_id, Load())
        total.add(load, times)
        if total.is_zero():
            del self._heard[endpoint_id]


def _nothing(_: str) -> None:
    """Stands for a listener where there is none."""
