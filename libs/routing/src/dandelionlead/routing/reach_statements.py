"""Decides what a process states of the services that it reaches.

A process states nothing while all processes reach all services. It states that
it does not reach a service, and answers peers that do not: peers are asked by
such a statement, and only connections that were opened after it count.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from dandelionlead.routing import reach

# Limit on the services that are stated; it bounds the size of messages.
MAX_SERVICES = 16
# The time of the last connection is stated again if it is later by this.
_REFRESH_S = 1.5


class Statement:
    """What this process states of one service.

    Attributes:
        service: Name of the service.
        reached_s: Time in seconds of the last connection that was opened; minus
            infinity if there is none that counts.
        is_unreached: Whether connections to many endpoints failed.
        is_cut_off: Whether a peer reaches the service meanwhile.
    """

    __slots__ = ("service", "reached_s", "is_unreached", "is_cut_off")

    def __init__(
        self,
        service: str,
        reached_s: float,
        *,
        is_unreached: bool,
        is_cut_off: bool,
    ) -> None:
        self.service = service
        self.reached_s = reached_s
        self.is_unreached = is_unreached
        self.is_cut_off = is_cut_off

    def is_outdated_by(self, other: Statement) -> bool:
        """Whether another statement has to replace this one."""
        return (
            self.is_unreached != other.is_unreached
            or self.is_cut_off != other.is_cut_off
            or other.reached_s - self.reached_s >= _REFRESH_S
        )


class ReachStatements:
    """What this process states at present.

    Args:
        tracker: Holds the evidence of this process and its peers.
    """

    def __init__(self, tracker: reach.ReachTracker) -> None:
        self._tracker = tracker
        # By name of the service.
        self._statements: dict[str, Statement] = {}
        # Time in seconds since which a peer states not to reach a service, by
        # name of the service.
        self._asked_since_s: dict[str, float] = {}

    def list_all(self) -> list[Statement]:
        """Returns the present statements."""
        return list(self._statements.values())

    def is_cut_off(self) -> bool:
        """Whether this process is cut off from any service."""
        return any(item.is_cut_off for item in self._statements.values())

    def awaits_answer(self) -> bool:
        """Whether this process asks its peers who reaches a service."""
        return any(
            item.is_unreached and not item.is_cut_off
            for item in self._statements.values()
        )

    def is_unreached(self, service: str) -> bool:
        """Whether this process states that it does not reach a service."""
        statement = self._statements.get(service)
        return statement is not None and statement.is_unreached

    def is_cut_off_from(self, service: str) -> bool:
        """Whether this process states that it is cut off from a service."""
        statement = self._statements.get(service)
        return statement is not None and statement.is_cut_off

    def get_asked_since_s(self, service: str) -> float | None:
        """Returns since when peers ask who reaches a service; None if none."""
        return self._asked_since_s.get(service)

    def update(
        self, services: Mapping[str, Collection[str]], now_s: float
    ) -> bool:
        """Updates the statements; returns whether any has changed.

        Args:
            services: Ids of the endpoints, by name of the service.
            now_s: Current time in seconds.
        """
        previous = self._statements
        self._statements = {}
        for service in list(services)[:MAX_SERVICES]:
            statement = self._make_statement(service, services[service], now_s)
            if statement is None:
                continue
            old = previous.get(service)
            is_kept = old is not None and not old.is_outdated_by(statement)
            self._statements[service] = old if is_kept else statement
        return previous != self._statements

    def _make_statement(
        self, service: str, endpoint_ids: Collection[str], now_s: float
    ) -> Statement | None:
        """Returns what is to be stated of a service now, or None."""
        if self._tracker.list_doubting_peers(service):
            self._asked_since_s.setdefault(service, now_s)
        else:
            self._asked_since_s.pop(service, None)
        if self._tracker.is_unreached(endpoint_ids, now_s):
            return Statement(
                service,
                float("-inf"),
                is_unreached=True,
                is_cut_off=self._tracker.is_cut_off(
                    service, endpoint_ids, now_s
                ),
            )
        asked_since_s = self._asked_since_s.get(service, float("inf"))
        reached_s = self._tracker.get_last_reached_s(endpoint_ids)
        if reached_s < asked_since_s:
            return None
        return Statement(
            service, reached_s, is_unreached=False, is_cut_off=False
        )
