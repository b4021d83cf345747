"""Decides which states of other processes this one requests."""

from __future__ import annotations

from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes

# Largest number of states in one request.
_MAX_REQUESTED = 32
# Time for which the state of a process is not requested again, and shortest
# time between two requests for the states of all processes.
_REQUEST_PAUSE_S = 0.5
_ALL_REQUEST_PAUSE_S = 1.0
# The states of all processes are requested while fewer than this fraction of
# the listed instances are known, but not more often than this, because listed
# instances may be gone.
_KNOWN_FRACTION = 0.9
_MAX_ALL_REQUESTS = 4


class StateRequests:
    """Requests for states that were sent lately.

    Args:
        process_id: Id of this process.
        members: The other processes.
    """

    def __init__(self, process_id: int, members: roster.Roster) -> None:
        self._process_id = process_id
        self._members = members
        # Times of the requests in seconds, by process id.
        self._requested_s: dict[int, float] = {}
        self._last_all_s = float("-inf")
        self._all_count = 0

    def drop_old(self, now_s: float) -> None:
        """Allows states to be requested again that did not arrive."""
        self._requested_s = {
            process_id: requested_s
            for process_id, requested_s in self._requested_s.items()
            if now_s - requested_s < _REQUEST_PAUSE_S
        }

    def choose(self, message: ttypes.Gossip, now_s: float) -> list[int]:
        """Returns the ids of processes whose states to request.

        Args:
            message: Message that mentions processes and their versions.
            now_s: Current time in seconds.
        """
        versions = {message.process: 0}
        if message.beats is not None:
            versions |= dict.fromkeys(message.beats.processes, 0)
        if message.digests is not None:
            versions |= dict(
                zip(
                    message.digests.processes,
                    message.digests.state_versions,
                    strict=True,
                )
            )
        wanted = [
            process_id
            for process_id, version in versions.items()
            if self._lacks(process_id, version)
            and process_id not in self._requested_s
        ][:_MAX_REQUESTED]
        for process_id in wanted:
            self._requested_s[process_id] = now_s
        return wanted

    def must_request_all(self, now_s: float) -> bool:
        """Returns whether to request the states of all processes now."""
        known_count = len(self._members.list_members())
        if known_count >= _KNOWN_FRACTION * self._members.count_listed_hosts():
            return False
        if now_s - self._last_all_s < _ALL_REQUEST_PAUSE_S:
            return False
        if self._all_count >= _MAX_ALL_REQUESTS:
            return False
        self._last_all_s = now_s
        self._all_count += 1
        return True

    def _lacks(self, process_id: int, version: int) -> bool:
        if process_id == self._process_id:
            return False
        member = self._members.get(process_id)
        return member is None or member.state.version < version
