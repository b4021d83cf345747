"""State of a process in tests of gossip: loads, news and table versions."""

from __future__ import annotations

from collections.abc import Hashable

from dandelionlead.cluster import state_handler
from dandelionlead.cluster.gen import ttypes


class RecordingHandler(state_handler.StateHandler):
    """State of one process, and what it has heard of the others.

    Attributes:
        own_loads: Runs of this process by endpoint id.
        loads: Runs of other processes, by node and endpoint id.
        news: Times in seconds at which news arrived, by name.
        tables: Versions of the tables of this process.
        newer_hosts: Hosts whose tables were newer, in order of arrival.
        limit_named_s: Times in seconds at which endpoints stated their limits
            to this process, by endpoint id.
        limit_errors_s: For each limit that arrived, by how many seconds it
            seemed to have been stated later than it was.
    """

    def __init__(self, name: str, host: str, zone: str) -> None:
        self.name, self.host, self.zone = name, host, zone
        self.is_ready = True
        self.own_loads: dict[str, int] = {}
        self.loads: dict[str, dict[str, int]] = {}
        self.news: dict[str, float] = {}
        self.tables = state_handler.TableVersions(1, 1, 0.0, 0.0)
        self.newer_hosts: list[str] = []
        self.limit_named_s: dict[str, float] = {}
        self.limit_errors_s: list[float] = []

    def build_state(self, version, now_s):
        return ttypes.MemberState(
            self.name,
            1,
            version,
            self.host,
            self.zone,
            f"{self.host}:80",
            self.is_ready,
            False,
            True,
            [],
            [],
        )

    def get_own_load(self, endpoint_id):
        runs = self.own_loads.get(endpoint_id, 0)
        return ttypes.EndpointLoad(
            endpoint_id, runs, runs * 3_500, 0, runs, 0, 0
        )

    def list_own_loads(self):
        return [self.get_own_load(name) for name in self.own_loads]

    def list_own_limits(self, endpoint_ids, now_s):
        # The count of sent requests holds the true time in milliseconds.
        return [
            ttypes.EndpointLimit(
                name, 3.0, int((now_s - named_s) * 1e3), int(named_s * 1e3), 0
            )
            for name, named_s in self.limit_named_s.items()
            if endpoint_ids is None or name in endpoint_ids
        ]

    def list_news(self, now_s) -> dict[Hashable, state_handler.NewsItem]:
        return {
            name: state_handler.NewsItem(
                "leaving", ttypes.LeavingEndpoint(name, name)
            )
            for name in self.news
        }

    def get_table_versions(self):
        return self.tables

    def apply_state(self, state):
        pass

    def apply_load(self, node, load):
        self.loads.setdefault(node, {})[load.endpoint_id] = load.runs

    def replace_loads(self, node, loads):
        self.loads[node] = {load.endpoint_id: load.runs for load in loads}

    def apply_limit(self, member, limit, now_s):
        named_s = now_s - limit.named_ms_ago / 1e3
        self.limit_errors_s.append(named_s - limit.sent_count / 1e3)

    def apply_news(self, news, now_s):
        for item in news.leaving:
            self.news.setdefault(item.endpoint_id, now_s)

    def apply_table_versions(self, host, versions):
        if versions.orders_version > self.tables.orders_version:
            self.newer_hosts.append(host)
        else:
            self.tables.orders_confirmed_s = max(
                self.tables.orders_confirmed_s, versions.orders_confirmed_s
            )

    def forget(self, state):
        self.loads.pop(state.node, None)
