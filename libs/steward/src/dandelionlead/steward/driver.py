"""Decides what to write to the rows of rollouts; only the lease holder asks."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from dandelionlead.daemon import rollouts
from dandelionlead.platform import api
from dandelionlead.rollout import schedule

if TYPE_CHECKING:
    from dandelionlead.config import model


class Evidence:
    """What is known of a next version now.

    Attributes:
        bad: Why it is bad; empty if it is not known to be.
        good: Whether every route with requests is judged good.
        requests: Requests of the next version so far.
    """

    __slots__ = ("bad", "good", "requests")

    def __init__(self, *, bad: str, good: bool, requests: int) -> None:
        self.bad = bad
        self.good = good
        self.requests = requests


def decide(
    item: model.Model,
    row: api.Row | None,
    found: Evidence,
    *,
    fence: int,
    now_unix_s: float,
) -> api.Write | None:
    """Returns the write that moves a rollout on, or None.

    A row that was written under a higher fencing number is left alone: this
    process has lost its lease without knowing it yet.

    Args:
        item: Model with a next version and a deadline.
        row: The present row.
        found: Evidence on the next version.
        fence: Fencing number of the lease.
        now_unix_s: Seconds since the epoch.
    """
    wanted = rollouts.rollout_id(item)
    value = row.value if row is not None else {}
    if value.get("fence", 0) > fence:
        return None
    version = row.version if row is not None else 0
    key = rollouts.row_key(item.name)
    if value.get("rollout_id") != wanted:
        state = _schedule(item, now_unix_s).begin()
        new = _to_row(item, state, now_unix_s, 0, fence)
        return api.Write(key, version, new)
    state = _from_row(value)
    start = value["started_unix_s"]
    since = max(0, found.requests - value["requests_at_step"])
    following = _schedule(item, start).next(
        state,
        now_unix_s,
        bad=found.bad,
        good=found.good,
        requests=since,
    )
    if following is state:
        return None
    new = _to_row(item, following, start, found.requests, fence)
    return api.Write(key, version, new)


def _schedule(item: model.Model, start: float) -> schedule.Schedule:
    return schedule.Schedule(
        start,
        item.deadline_unix_s,
        max_unjudged_share=item.max_unjudged_share,
    )


def _to_row(
    item: model.Model,
    state: schedule.State,
    start: float,
    requests: int,
    fence: int,
) -> dict[str, Any]:
    return {
        "rollout_id": rollouts.rollout_id(item),
        "current": item.current,
        "next": item.next,
        "share": state.share,
        "state": state.state,
        "reason": state.reason,
        "judged": state.judged,
        "step_at": state.step_at,
        "started_unix_s": start,
        "requests_at_step": requests,
        "fence": fence,
    }


def _from_row(value: dict[str, Any]) -> schedule.State:
    return schedule.State(
        value["share"],
        value["state"],
        value["reason"],
        value["judged"],
        value["step_at"],
    )
