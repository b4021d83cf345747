"""Tracks the load of each endpoint, caused by this process and its peers."""

from __future__ import annotations

from collections.abc import Callable


class Load:
    """Load of one endpoint.

    Attributes:
        runs: Number of runs, or of requests to a plain service, in progress.
        memory_tokens: Engine memory in tokens that these runs, and the memory
            copies and backups of other engines' runs, will take by their end.
        unread_prompt_tokens: Prompt tokens of runs without a first event yet.
        unsaved_runs: Number of runs that are lost if the endpoint stops now,
            because their calls may not run again and no other engine holds a
            copy of their KV cache.
    """

    __slots__ = (
        "runs",
        "memory_tokens",
        "unread_prompt_tokens",
        "unsaved_runs",
    )

    def __init__(
        self,
        runs: int = 0,
        memory_tokens: int = 0,
        unread_prompt_tokens: int = 0,
        unsaved_runs: int = 0,
    ) -> None:
        self.runs = runs
        self.memory_tokens = memory_tokens
        self.unread_prompt_tokens = unread_prompt_tokens
        self.unsaved_runs = unsaved_runs

    def add(self, other: Load, times: int = 1) -> None:
        """Adds another load to this one.

        Args:
            other: The load to add.
            times: Factor by which the other load is multiplied; -1 subtracts
                it.
        """
        self.runs += times * other.runs
        self.memory_tokens += times * other.memory_tokens
        self.unread_prompt_tokens += times * other.unread_prompt_tokens
        self.unsaved_runs += times * other.unsaved_runs

    def is_zero(self) -> bool:
        """Whether all counts are zero."""
        return not (
            self.runs
            or self.memory_tokens
            or self.unread_prompt_tokens
            or self.unsaved_runs
        )


class LoadReservation:
    """Load that one request, or one copy, adds to an endpoint.

    A copy is a memory copy or a backup of a run on another engine.

    Attributes:
        endpoint_id: Id of the endpoint.
        memory_tokens: Engine memory in tokens that the request or copy will
            take by its end.
        unread_prompt_tokens: Prompt tokens that the engine has yet to read.
        runs: 1 for a request, 0 for a copy.
        unsaved_runs: 1 if the run is lost when the endpoint stops, else 0.
    """

    __slots__ = (
        "endpoint_id",
        "memory_tokens",
        "unread_prompt_tokens",
        "runs",
        "unsaved_runs",
    )

    def __init__(
        self,
        endpoint_id: str,
        memory_tokens: int,
        unread_prompt_tokens: int,
        runs: int,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.memory_tokens = memory_tokens
        self.unread_prompt_tokens = unread_prompt_tokens
        self.runs = runs
        self.unsaved_runs = 0


class LoadTracker:
    """Loads of this process and the loads last received from each peer.

    Attributes:
        change_listener: Callback that receives the id of an endpoint after each
            change in the load of this process's runs and copies there. It is
            not called when a request to a plain service begins or ends.
    """

    def __init__(self) -> None:
        self.change_listener: Callable[[str], None] = _ignore
        # Loads that this process causes, by endpoint id.
        self._own_loads: dict[str, Load] = {}
        # Times in seconds until which the loads count, and the loads by
        # endpoint id, by name of the peer.
        self._peer_loads: dict[str, tuple[float, dict[str, Load]]] = {}
        # Sums of the loads of all peers, by endpoint id, so that no routing
        # decision has to add them up.
        self._peer_sums: dict[str, Load] = {}
        # Earliest time in seconds at which the loads of a peer expire.
        self._next_expiry_s = float("inf")

    def reserve(
        self,
        endpoint_id: str,
        memory_tokens: int,
        unread_prompt_tokens: int,
        *,
        runs: int = 1,
    ) -> LoadReservation:
        """Adds the load of a request or copy to an endpoint.

        Args:
            endpoint_id: Id of the endpoint.
            memory_tokens: Engine memory in tokens that the request or copy
                will take by its end; 0 for a plain service.
            unread_prompt_tokens: Prompt tokens that the engine has to read.
            runs: 1 for a request, 0 for a copy, which only takes memory.

        Returns:
            A reservation to pass to `release` when the work ends.
        """
        load = self._own_loads.setdefault(endpoint_id, Load())
        load.add(Load(runs, memory_tokens, unread_prompt_tokens))
        self._notify_listener(endpoint_id, memory_tokens)
        return LoadReservation(
            endpoint_id, memory_tokens, unread_prompt_tokens, runs
        )

    def mark_prompt_read(self, reservation: LoadReservation) -> None:
        """Records that the engine has read the prompt of a request."""
        if reservation.unread_prompt_tokens:
            self._own_loads[
                reservation.endpoint_id
            ].unread_prompt_tokens -= reservation.unread_prompt_tokens
            reservation.unread_prompt_tokens = 0
            self.change_listener(reservation.endpoint_id)

    def mark_unsaved(self, reservation: LoadReservation) -> None:
        """Records that a run is lost if its endpoint stops."""
        self._set_unsaved_runs(reservation, 1)

    def mark_saved(self, reservation: LoadReservation) -> None:
        """Records that another engine holds a copy of a run's KV cache."""
        self._set_unsaved_runs(reservation, 0)

    def count_unsaved_runs(self, endpoint_id: str, now_s: float) -> int:
        """Returns how many runs are lost if an endpoint stops now.

        Runs of this process and of live peers are counted.
        """
        return self.sum_load(endpoint_id, now_s).unsaved_runs

    def count_unsaved_runs_by_peer(
        self, endpoint_id: str, now_s: float
    ) -> dict[str, int]:
        """Returns how many unsaved runs each live peer has at an endpoint.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: Current time in seconds.

        Returns:
            Numbers of runs by name of the peer; peers without unsaved runs are
            left out.
        """
        self._remove_expired_peers(now_s)
        unsaved_by_peer = {}
        for peer, (_, loads) in self._peer_loads.items():
            load = loads.get(endpoint_id)
            if load is not None and load.unsaved_runs:
                unsaved_by_peer[peer] = load.unsaved_runs
        return unsaved_by_peer

    def _notify_listener(self, endpoint_id: str, memory_tokens: int) -> None:
        """Calls the listener if the work takes engine memory.

        Peers receive the load of work without engine memory with the next
        round of messages.
        """
        if memory_tokens:
            self.change_listener(endpoint_id)

    def _set_unsaved_runs(
        self, reservation: LoadReservation, unsaved_runs: int
    ) -> None:
        """Sets the number of unsaved runs of a reservation to 0 or 1."""
        if reservation.unsaved_runs != unsaved_runs:
            load = self._own_loads[reservation.endpoint_id]
            load.unsaved_runs += unsaved_runs - reservation.unsaved_runs
            reservation.unsaved_runs = unsaved_runs
            self.change_listener(reservation.endpoint_id)

    def release(self, reservation: LoadReservation) -> None:
        """Removes the load of a request or copy that ended or was migrated."""
        self.mark_saved(reservation)
        load = self._own_loads[reservation.endpoint_id]
        load.add(
            Load(
                -reservation.runs,
                -reservation.memory_tokens,
                -reservation.unread_prompt_tokens,
            )
        )
        if not load.runs and not load.memory_tokens:
            del self._own_loads[reservation.endpoint_id]
        self._notify_listener(
            reservation.endpoint_id, reservation.memory_tokens
        )

    def replace_peer_loads(
        self, peer: str, loads: dict[str, Load], expires_s: float
    ) -> None:
        """Replaces the stored loads of a peer with newer loads.

        Args:
            peer: Name of the peer.
            loads: Loads that the peer causes, by endpoint id.
            expires_s: Time in seconds until which these loads count.
        """
        self.remove_peer(peer)
        self._peer_loads[peer] = (expires_s, loads)
        self._next_expiry_s = min(self._next_expiry_s, expires_s)
        for endpoint_id, load in loads.items():
            self._add_to_peer_sums(endpoint_id, load)

    def update_peer_loads(self, peer: str, loads: dict[str, Load]) -> None:
        """Updates the loads of a peer at some endpoints.

        The peer's loads at other endpoints stay, and so does the time at which
        all of them expire. A peer without stored loads is ignored.

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

    def remove_peer(self, peer: str) -> None:
        """Removes the loads of a peer, also from the sums."""
        _, loads = self._peer_loads.pop(peer, (0.0, {}))
        for endpoint_id, load in loads.items():
            self._add_to_peer_sums(endpoint_id, load, -1)

    def get_own_loads(self) -> dict[str, Load]:
        """Returns the loads that this process causes, by endpoint id.

        The dictionary is the one that the tracker updates, not a copy.
        """
        return self._own_loads

    def sum_load(self, endpoint_id: str, now_s: float) -> Load:
        """Returns the load of one endpoint from this process and live peers."""
        self._remove_expired_peers(now_s)
        total = Load()
        for loads in (self._own_loads, self._peer_sums):
            load = loads.get(endpoint_id)
            if load is not None:
                total.add(load)
        return total

    def sum_loads(self, now_s: float) -> dict[str, Load]:
        """Returns the loads from this process and live peers, by endpoint id.

        Endpoints without load are left out.
        """
        endpoint_ids = {*self._own_loads, *self._peer_sums}
        totals = {
            endpoint_id: self.sum_load(endpoint_id, now_s)
            for endpoint_id in endpoint_ids
        }
        return {
            endpoint_id: load
            for endpoint_id, load in totals.items()
            if not load.is_zero()
        }

    def _remove_expired_peers(self, now_s: float) -> None:
        """Removes the loads of peers whose loads have expired."""
        if now_s <= self._next_expiry_s:
            return
        expired = [
            peer
            for peer, (expires_s, _) in self._peer_loads.items()
            if now_s > expires_s
        ]
        for peer in expired:
            self.remove_peer(peer)
        self._next_expiry_s = min(
            (expires_s for expires_s, _ in self._peer_loads.values()),
            default=float("inf"),
        )

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
