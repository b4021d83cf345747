"""Rollouts as every daemon follows them: rows, evidence, verdicts, shares."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from dandelionlead.daemon import gossip
from dandelionlead.platform import api
from dandelionlead.rollout import evidence
from dandelionlead.rollout import judge
from dandelionlead.rollout import verdicts
from dandelionlead.wire.gen import ttypes

if TYPE_CHECKING:
    from dandelionlead.config import model
    from dandelionlead.core import events

TABLE = "rollout"
ROLLED_BACK = "rolled_back"
# Counters in one message: at 230 bytes each and 6 messages a second 5.5 KB/s,
# and only while rollouts are under way.
MESSAGE_SAMPLES = 4


class Progress:
    """The row of a rollout.

    Attributes:
        rollout_id: Identity of the rollout.
        share: Share of the next version, 0 to 1.
        state: `under_way`, `done` or `rolled_back`.
        reason: One sentence for operators.
    """

    __slots__ = ("rollout_id", "share", "state", "reason")

    def __init__(
        self, rollout_id: str, share: float, state: str, reason: str
    ) -> None:
        self.rollout_id = rollout_id
        self.share = share
        self.state = state
        self.reason = reason


def row_key(model_name: str) -> api.Key:
    """Returns the key of a model's rollout row."""
    return api.Key(TABLE, model_name)


def rollout_id(item: model.Model) -> str:
    """Returns the identity of a model's rollout; empty without one."""
    if not item.next:
        return ""
    return f"{item.name}/{item.current}>{item.next}@{item.deadline}"


class Rollouts(gossip.Extension):
    """Follows the rollouts of all models and judges their next versions.

    Args:
        member: Name of this process.
        incarnation: Start of this process.
        log: Event log.
        new_judge: Makes the judge of one route, given the number of routes
            of the model, which share the rate of wrong decisions.
    """

    def __init__(
        self,
        member: str,
        incarnation: int,
        log: events.Log,
        new_judge: Callable[[int], judge.Judge] | None = None,
    ) -> None:
        self.evidence = evidence.Evidence(member, incarnation)
        self.book = verdicts.VerdictBook()
        self._log = log
        self._new_judge = new_judge or _sequential_judge
        self._models: dict[str, model.Model] = {}
        self._rows: dict[str, Progress] = {}
        self._tests: dict[tuple[str, str], _RouteTest] = {}
        self._routes: dict[str, int] = {}

    def configure(self, operators: model.Operators) -> None:
        """Puts another configuration in force."""
        self._routes = collections.Counter(
            route.model for route in operators.routes.values() if route.model
        )
        before = {rollout_id(item) for item in self._models.values()}
        self._models = {
            name: item for name, item in operators.models.items() if item.next
        }
        kept = {rollout_id(item) for item in self._models.values()}
        self.book.keep(kept)
        self._tests = {
            key: test for key, test in self._tests.items() if key[0] in kept
        }
        for name, item in self._models.items():
            if rollout_id(item) not in before:
                self.evidence.forget(name)

    def watched(self) -> dict[api.Key, Callable[[api.Row | None], None]]:
        """Returns the rows to read each second, and who takes them."""
        return {row_key(name): self._reader_of(name) for name in self._models}

    def versions(
        self, item: model.Model, place: Callable[[float], str]
    ) -> list[str]:
        """Returns the versions for a request, the wanted one first.

        The second one may be used if the first has no endpoint that can take
        work; a request never falls back from the old version to one that is
        not judged.

        Args:
            item: The model.
            place: Returns the version for a share of the next one.
        """
        share = self.share(item)
        if not item.next or share <= 0.0:
            return [item.current]
        wanted = place(share)
        return [wanted] if wanted == item.current else [wanted, item.current]

    def share(self, item: model.Model) -> float:
        """Returns the share of the next version that this process uses."""
        wanted = rollout_id(item)
        row = self._rows.get(item.name)
        if row is None or row.rollout_id != wanted:
            return 0.0
        return self.book.share(wanted, row.share)

    def record(
        self,
        model_name: str,
        version: str,
        route: str,
        *,
        failed: bool,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Counts one request of a model that is in a rollout."""
        if model_name in self._models:
            self.evidence.record(
                model_name,
                version,
                route,
                failed=failed,
                first_token_s=first_token_s,
                token_gap_s=token_gap_s,
            )

    def look(self) -> None:
        """Judges all routes on what came since the last look."""
        for name, item in self._models.items():
            wanted = rollout_id(item)
            if self.book.get(wanted) is not None:
                continue
            for route in self.evidence.routes(name):
                test = self._tests.get((wanted, route))
                if test is None:
                    test = _RouteTest(self._new_judge(self._routes_of(name)))
                    self._tests[(wanted, route)] = test
                found = test.look(
                    self.evidence.total(name, item.next, route),
                    self.evidence.total(name, item.current, route),
                )
                if found.finding is judge.Finding.BAD:
                    self._take_back(item, f"route {route}: {found.reason}")

    def is_good(self, item: model.Model) -> bool:
        """Whether every route with requests of the next version is good."""
        wanted = rollout_id(item)
        tests = [
            self._tests.get((wanted, route))
            for route in self.evidence.routes(item.name)
            if self.evidence.total(item.name, item.next, route).requests
        ]
        return bool(tests) and all(
            test is not None and test.finding is judge.Finding.GOOD
            for test in tests
        )

    def requests(self, item: model.Model) -> int:
        """Returns the requests of the next version that are known."""
        return sum(
            self.evidence.total(item.name, item.next, route).requests
            for route in self.evidence.routes(item.name)
        )

    def fill(self, message: ttypes.Gossip) -> None:
        """Adds counters and verdicts to a message."""
        message.evidence = [
            ttypes.VersionEvidence(
                model=source.model,
                version=source.version,
                route=source.route,
                member=source.member,
                member_incarnation=source.incarnation,
                requests=sample.requests,
                failures=sample.failures,
                first_token_buckets=sample.first_token,
                token_gap_buckets=sample.token_gap,
            )
            for source, sample in self.evidence.for_message(MESSAGE_SAMPLES)
        ]
        message.verdicts = [
            ttypes.VersionVerdict(
                model=item.model,
                version=item.version,
                rollout_id=item.rollout_id,
                reason=item.reason,
            )
            for item in self.book.for_message()
        ]

    def read(self, message: ttypes.Gossip) -> None:
        """Takes in a peer's counters and verdicts."""
        self.evidence.merge(
            (
                evidence.Source(
                    item.model,
                    item.version,
                    item.route,
                    item.member,
                    item.member_incarnation,
                ),
                evidence.Sample(
                    item.requests,
                    item.failures,
                    item.first_token_buckets,
                    item.token_gap_buckets,
                ),
            )
            for item in message.evidence or []
            if item.model in self._models
        )
        current = {rollout_id(item) for item in self._models.values()}
        for item in message.verdicts or []:
            if item.rollout_id in current:
                self._add_verdict(
                    verdicts.Verdict(
                        item.model, item.version, item.rollout_id, item.reason
                    )
                )

    def dump(self) -> dict[str, Any]:
        """Returns shares, verdicts and counts of all rollouts."""
        found = {}
        for name, item in self._models.items():
            verdict = self.book.get(rollout_id(item))
            found[name] = {
                "next": item.next,
                "share": self.share(item),
                "bad": verdict.reason if verdict else "",
                "good": self.is_good(item),
                "requests": self.requests(item),
            }
        return found

    def _routes_of(self, name: str) -> int:
        return max(1, self._routes.get(name, 1))

    def _reader_of(self, name: str) -> Callable[[api.Row | None], None]:
        return lambda row: self._read_row(name, row)

    def _read_row(self, name: str, row: api.Row | None) -> None:
        item = self._models.get(name)
        if row is None or item is None:
            self._rows.pop(name, None)
            return
        value = row.value
        progress = Progress(
            str(value.get("rollout_id", "")),
            float(value.get("share", 0.0)),
            str(value.get("state", "")),
            str(value.get("reason", "")),
        )
        self._rows[name] = progress
        wanted = rollout_id(item)
        if progress.rollout_id == wanted and progress.state == ROLLED_BACK:
            self._add_verdict(
                verdicts.Verdict(name, item.next, wanted, progress.reason)
            )

    def _take_back(self, item: model.Model, reason: str) -> None:
        self._add_verdict(
            verdicts.Verdict(item.name, item.next, rollout_id(item), reason)
        )

    def _add_verdict(self, verdict: verdicts.Verdict) -> None:
        if self.book.add(verdict):
            self._log.event(
                "version_taken_back",
                model=verdict.model,
                version=verdict.version,
                reason=verdict.reason,
            )


def _sequential_judge(routes: int) -> judge.Judge:
    return judge.SequentialJudge(routes=routes)


class _RouteTest:
    """Judge of one route, with the totals of its last look."""

    __slots__ = ("finding", "_judge", "_new", "_old")

    def __init__(self, route_judge: judge.Judge) -> None:
        self.finding = judge.Finding.UNDECIDED
        self._judge = route_judge
        self._new = evidence.Sample()
        self._old = evidence.Sample()

    def look(
        self, new: evidence.Sample, old: evidence.Sample
    ) -> judge.Judgement:
        found = self._judge.look(new.since(self._new), old.since(self._old))
        self._new, self._old = new, old
        self.finding = found.finding
        return found
