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

    def add(self, other: Load) -> None:
        """Adds another load to this one."""
        self.runs += other.runs
        self.tokens += other.tokens
        self.prefill += other.prefill
        self.unsaved += other.unsaved


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
        found = {}
        for peer, (until_s, loads) in self._peers.items():
            load = loads.get(endpoint_id)
            if load is not None and load.unsaved and now_s <= until_s:
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
        self._peers[peer] = (until_s, loads)

    def hear_change(self, peer: str, loads: dict[str, Load]) -> None:
        """Takes a peer's word on some endpoints; the others stay."""
        known = self._peers.get(peer)
        if known is None:
            return
        known[1].update(loads)

    def own(self) -> dict[str, Load]:
        """Returns the loads that this process causes, by endpoint."""
        return self._own

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the load of one endpoint, that of live peers included."""
        return self.totals(now_s).get(endpoint_id) or Load()

    def totals(self, now_s: float) -> dict[str, Load]:
        """Returns the loads by endpoint, those of live peers included."""
        totals: dict[str, Load] = {}
        for endpoint_id, load in self._own.items():
            totals.setdefault(endpoint_id, Load()).add(load)
        for peer, (until_s, loads) in list(self._peers.items()):
            if now_s > until_s:
                del self._peers[peer]
                continue
            for endpoint_id, load in loads.items():
                totals.setdefault(endpoint_id, Load()).add(load)
        return totals


def _nothing(_: str) -> None:
    """Stands for a listener where there is none."""
