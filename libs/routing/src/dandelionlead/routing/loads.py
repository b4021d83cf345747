"""Tracks the load of each endpoint, caused by this process and its peers."""

from __future__ import annotations

from collections.abc import Callable


class Load:
    """Load of one endpoint.

    Attributes:
        runs: Number of requests in progress.
        tokens: Engine memory in tokens that these requests and copies will
            take by the time they end.
        prefill: Prompt tokens of requests without a first event yet.
        unsaved: Number of generations that are lost if the endpoint stops
            now, because no other engine holds a copy of their memory.
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
        """Adds another load to this one.

        Args:
            other: The load to add.
            times: Factor of the other load; -1 subtracts it.
        """
        self.runs += times * other.runs
        self.tokens += times * other.tokens
        self.prefill += times * other.prefill
        self.unsaved += times * other.unsaved

    def is_zero(self) -> bool:
        """Whether all counts are zero."""
        return not (self.runs or self.tokens or self.prefill or self.unsaved)


class Ticket:
    """Share of one request, or of one copy, in the load of an endpoint.

    Attributes:
        endpoint_id: Id of the endpoint.
        tokens: Engine memory in tokens that it will take by its end.
        prefill: Prompt tokens that the engine has yet to read.
        runs: 1 for a request, 0 for a copy.
        unsaved: 1 if the generation is lost with the endpoint, else 0.
    """

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
    """Loads of this process and the loads last received from each peer.

    Attributes:
        changed: Callback that receives the id of an endpoint after each
            change in the load of this process's generations there.
    """

    def __init__(self) -> None:
        self.changed: Callable[[str], None] = _ignore
        self._own_loads: dict[str, Load] = {}
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        # Sums over all peers, so that no routing decision has to add them up.
        self._peer_sums: dict[str, Load] = {}
        # Earliest time at which the loads of a peer expire.
        self._expires_s = float("inf")

    def begin(
        self, endpoint_id: str, tokens: int, prefill: int, *, runs: int = 1
    ) -> Ticket:
        """Adds the load of a request or copy to an endpoint.

        Args:
            endpoint_id: Id of the endpoint.
            tokens: Engine memory in tokens that it will take by its end.
            prefill: Prompt tokens that the engine has to read.
            runs: 1 for a request, 0 for a copy that only takes memory.

        Returns:
            A ticket to pass to `end` when the work ends.
        """
        load = self._own_loads.setdefault(endpoint_id, Load())
        load.add(Load(runs, tokens, prefill))
        self._notify(endpoint_id, tokens)
        return Ticket(endpoint_id, tokens, prefill, runs)

    def prefilled(self, ticket: Ticket) -> None:
        """Records that the engine has read the prompt of a request."""
        if ticket.prefill:
            self._own_loads[ticket.endpoint_id].prefill -= ticket.prefill
            ticket.prefill = 0
            self.changed(ticket.endpoint_id)

    def expose(self, ticket: Ticket) -> None:
        """Records that a generation is lost if its endpoint stops."""
        self._set_unsaved(ticket, 1)

    def save(self, ticket: Ticket) -> None:
        """Records that another engine holds a copy of a generation's memory."""
        self._set_unsaved(ticket, 0)

    def unsaved(self, endpoint_id: str, now_s: float) -> int:
        """Returns how many generations are lost if an endpoint stops.

        Those of live peers are included.
        """
        return self.total(endpoint_id, now_s).unsaved

    def unsaved_of_peers(
        self, endpoint_id: str, now_s: float
    ) -> dict[str, int]:
        """Returns the unsaved generations of each live peer at an endpoint.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: Current time in seconds.

        Returns:
            Numbers of generations by name of the peer; peers without any are
            left out.
        """
        self._remove_expired_peers(now_s)
        unsaved_by_peer = {}
        for peer, (_, loads) in self._peer_loads.items():
            load = loads.get(endpoint_id)
            if load is not None and load.unsaved:
                unsaved_by_peer[peer] = load.unsaved
        return unsaved_by_peer

    def _notify(self, endpoint_id: str, tokens: int) -> None:
        """Calls the listener if the work takes engine memory.

        Peers receive the load of other calls with the next heartbeat.
        """
        if tokens:
            self.changed(endpoint_id)

    def _set_unsaved(self, ticket: Ticket, unsaved: int) -> None:
        """Sets the unsaved count of a ticket, 0 or 1."""
        if ticket.unsaved != unsaved:
            load = self._own_loads[ticket.endpoint_id]
            load.unsaved += unsaved - ticket.unsaved
            ticket.unsaved = unsaved
            self.changed(ticket.endpoint_id)

    def end(self, ticket: Ticket) -> None:
        """Removes the load of work that ended or left the endpoint."""
        self.save(ticket)
        load = self._own_loads[ticket.endpoint_id]
        load.add(Load(-ticket.runs, -ticket.tokens, -ticket.prefill))
        if not load.runs and not load.tokens:
            del self._own_loads[ticket.endpoint_id]
        self._notify(ticket.endpoint_id, ticket.tokens)

    def hear(self, peer: str, loads: dict[str, Load], until_s: float) -> None:
        """Replaces the stored loads of a peer with newer loads.

        Args:
            peer: Name of the peer.
            loads: Loads that the peer causes, by endpoint id.
            until_s: Time in seconds until which these loads count.
        """
        self._remove_peer(peer)
        self._peer_loads[peer] = (until_s, loads)
        self._expires_s = min(self._expires_s, until_s)
        for endpoint_id, load in loads.items():
            self._add_to_peer_sums(endpoint_id, load)

    def hear_change(self, peer: str, loads: dict[str, Load]) -> None:
        """Updates the loads of a peer at some endpoints.

        The peer's loads at other endpoints stay, and so does the time at which
        all of them expire. A peer without current loads is ignored.

        Args:
            peer: Name of the peer.
            loads: New loads by endpoint id.
        """
        stored = self._peer_loads.get(peer)
        if stored is None:
            return
        for endpoint_id, load in loads.items():
            previous = stored[1].get(endpoint_id)
            if previous is not None:
                self._add_to_peer_sums(endpoint_id, previous, -1)
            self._add_to_peer_sums(endpoint_id, load)
            stored[1][endpoint_id] = load

    def own(self) -> dict[str, Load]:
        """Returns the loads that this process causes, by endpoint id."""
        return self._own_loads

    def total(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the load of one endpoint from this process and live peers."""
        self._remove_expired_peers(now_s)
        total = Load()
        for loads in (self._own_loads, self._peer_sums):
            load = loads.get(endpoint_id)
            if load is not None:
                total.add(load)
        return total

    def totals(self, now_s: float) -> dict[str, Load]:
        """Returns the loads from this process and live peers, by endpoint id.

        Endpoints without load are left out.
        """
        endpoint_ids = {*self._own_loads, *self._peer_sums}
        totals = {
            endpoint_id: self.total(endpoint_id, now_s)
            for endpoint_id in endpoint_ids
        }
        return {
            endpoint_id: load
            for endpoint_id, load in totals.items()
            if not load.is_zero()
        }

    def _remove_expired_peers(self, now_s: float) -> None:
        """Removes the loads of peers that have expired."""
        if now_s <= self._expires_s:
            return
        expired = [
            peer
            for peer, (until_s, _) in self._peer_loads.items()
            if now_s > until_s
        ]
        for peer in expired:
            self._remove_peer(peer)
        self._expires_s = min(
            (until_s for until_s, _ in self._peer_loads.values()),
            default=float("inf"),
        )

    def _remove_peer(self, peer: str) -> None:
        """Removes the loads of a peer, also from the sums."""
        _, loads = self._peer_loads.pop(peer, (0.0, {}))
        for endpoint_id, load in loads.items():
            self._add_to_peer_sums(endpoint_id, load, -1)

    def _add_to_peer_sums(
        self, endpoint_id: str, load: Load, times: int = 1
    ) -> None:
        """Adds a peer's load, times a factor, to the sums over all peers."""
        total = self._peer_sums.setdefault(endpoint_id, Load())
        total.add(load, times)
        if total.is_zero():
            del self._peer_sums[endpoint_id]


def _ignore(_: str) -> None:
    """Does nothing; the default listener for load changes."""
