"""Defines what gossip needs from the components that hold a process's state."""

from __future__ import annotations

import abc
from collections.abc import Hashable

from dandelionlead.cluster import roster
from dandelionlead.cluster.gen import ttypes


class NewsItem:
    """One thing that any process has found out.

    Attributes:
        field: Field of `ttypes.News` that contains it.
        item: The structure in that field.
        stamp_s: Time of what it states, in seconds; 0 if that never changes.
    """

    __slots__ = ("field", "item", "stamp_s")

    def __init__(self, field: str, item: object, stamp_s: float = 0.0) -> None:
        self.field = field
        self.item = item
        self.stamp_s = stamp_s


class TableVersions:
    """Versions of the replicated tables that a process holds.

    Attributes:
        orders_version: Version of the last change of the orders table.
        endpoints_version: Version of the last change of the endpoints table
            that affects the choice of an endpoint.
        orders_confirmed_s: Time at which the store confirmed to any process
            that the orders are current, in seconds of `clock.boottime`; minus
            infinity if never.
        endpoints_confirmed_s: The same for the endpoints.
    """

    __slots__ = (
        "orders_version",
        "endpoints_version",
        "orders_confirmed_s",
        "endpoints_confirmed_s",
    )

    def __init__(
        self,
        orders_version: int = -1,
        endpoints_version: int = -1,
        orders_confirmed_s: float = float("-inf"),
        endpoints_confirmed_s: float = float("-inf"),
    ) -> None:
        self.orders_version = orders_version
        self.endpoints_version = endpoints_version
        self.orders_confirmed_s = orders_confirmed_s
        self.endpoints_confirmed_s = endpoints_confirmed_s


class StateHandler(abc.ABC):
    """Provides the state of this process, and applies that of others."""

    @abc.abstractmethod
    def build_state(self, version: int, now_s: float) -> ttypes.MemberState:
        """Returns what this process says of itself, with a version."""

    @abc.abstractmethod
    def get_own_load(self, endpoint_id: str) -> ttypes.EndpointLoad:
        """Returns the load that this process causes at an endpoint."""

    @abc.abstractmethod
    def list_own_loads(self) -> list[ttypes.EndpointLoad]:
        """Returns all loads that this process causes."""

    @abc.abstractmethod
    def list_own_limits(
        self, endpoint_ids: set[str] | None, now_s: float
    ) -> list[ttypes.EndpointLimit]:
        """Returns the limits of endpoints as this process knows them.

        Args:
            endpoint_ids: Ids of the endpoints; None for all.
            now_s: Current time in seconds.
        """

    @abc.abstractmethod
    def list_news(self, now_s: float) -> dict[Hashable, NewsItem]:
        """Returns what all processes should know, by a key."""

    @abc.abstractmethod
    def get_table_versions(self) -> TableVersions:
        """Returns the versions of the tables of this process."""

    @abc.abstractmethod
    def apply_state(self, state: ttypes.MemberState) -> None:
        """Applies what another process says of itself."""

    @abc.abstractmethod
    def apply_load(self, node: str, load: ttypes.EndpointLoad) -> None:
        """Applies a changed load of another process."""

    @abc.abstractmethod
    def replace_loads(
        self, node: str, loads: list[ttypes.EndpointLoad]
    ) -> None:
        """Replaces all loads of another process; none if it is not live."""

    @abc.abstractmethod
    def apply_limit(
        self, member: roster.Member, limit: ttypes.EndpointLimit, now_s: float
    ) -> None:
        """Applies what another process knows of the limit of an endpoint."""

    @abc.abstractmethod
    def apply_news(self, news: ttypes.News, now_s: float) -> None:
        """Applies what another process has found out."""

    @abc.abstractmethod
    def apply_table_versions(self, host: str, versions: TableVersions) -> None:
        """Compares the versions of the tables of the process at a host."""

    @abc.abstractmethod
    def forget(self, state: ttypes.MemberState) -> None:
        """Drops what another process says of itself; it is not live."""
