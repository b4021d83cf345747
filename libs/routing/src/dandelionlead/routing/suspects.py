"""Finds requests that crash endpoints, and keeps them from crashing more.

The rule of two crashes alone quarantines innocents: two suspects that two
entries put on one endpoint before gossip arrived, or a suspect beside another
request that crashes endpoints, are both counted twice. Therefore evidence is
kept for each crash, as the set of fingerprints that ran there:

- A fingerprint with one crash is a suspect: one suspect an endpoint at a time.
- A fingerprint with two crashes runs only alone on an endpoint: the entry
  acquires all of the endpoint's units for it. It is held back (refused with a
  later retry) until the evidence on its crashes has settled.
- It is quarantined when it has two crashes and is the only candidate of one of
  them: it ran alone, or all others of that crash have ended well since. Other
  entries' evidence is awaited for `SETTLE_S` first.
- A run that ends well clears a fingerprint of the crashes known so far.

A request that crashes every endpoint never ends well, so it stays a candidate
of each crash that it caused, and nothing that ran beside it can be the only
one. Copies go to the endpoint that all entries rank first for the fingerprint.
The bound is three endpoints, two when the second run was alone, plus those on
which a copy ran already or was started before news of a crash arrived.

Deaths with another known cause (reclaimed, restarted, zone failure) must not
be reported as crashes. An innocent that is in one crash and then, as the only
candidate, in a second one of unknown cause is quarantined wrongly; so is one
whose companions' entry died before it could spread its evidence.
"""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Collection
from collections.abc import Iterable

from dandelionlead.core import hashing

EVIDENCE_S = 3600.0
QUARANTINE_S = 3600.0
# Gossip reaches all 400 processes in about 6 rounds of one second each.
SETTLE_S = 8.0
# Pairs of crash and fingerprint; a pair takes about 250 bytes, so that the
# registry stays below 2 MB.
PAIRS_LIMIT = 8192


class Verdict(enum.Enum):
    """How a request may run."""

    FREE = "free"
    SUSPECT = "suspect"
    ALONE = "alone"
    HELD = "held"
    QUARANTINED = "quarantined"


# A copy that started before the news of a crash may still run.
_RUN_ALONE = {Verdict.ALONE, Verdict.HELD, Verdict.QUARANTINED}


class Evidence:
    """What gossip carries; the fields of the wire's `Suspect`.

    Attributes:
        fingerprint: The request's fingerprint.
        crashed: Incarnations of endpoints that ended while they ran it.
        cleared: Whether a run that ended well cleared it of these crashes.
        expires_in_s: Seconds until the evidence expires.
    """

    __slots__ = ("fingerprint", "crashed", "cleared", "expires_in_s")

    def __init__(
        self,
        fingerprint: str,
        crashed: frozenset[str],
        cleared: bool,
        expires_in_s: float,
    ) -> None:
        self.fingerprint = fingerprint
        self.crashed = crashed
        self.cleared = cleared
        self.expires_in_s = expires_in_s


def fingerprint(model: str, prompt: str) -> str:
    """Returns the fingerprint of a request, without ids, team or buyer."""
    text = json.dumps([model, prompt])
    return hashlib.sha256(text.encode()).hexdigest()


class SuspectRegistry:
    """Evidence of one process on crashes; merged with that of others.

    Args:
        pairs_limit: Largest number of pairs of crash and fingerprint. The
            oldest crash is forgotten as a whole.
        settle_s: How long other entries' evidence on a crash is awaited.
    """

    def __init__(
        self, *, pairs_limit: int = PAIRS_LIMIT, settle_s: float = SETTLE_S
    ) -> None:
        self._pairs_limit = pairs_limit
        self._settle_s = settle_s
        self._crashes: dict[str, _Crash] = {}
        self._of: dict[str, set[str]] = {}
        self._pairs = 0
        self._until: dict[str, float] = {}

    def crashed(
        self, incarnation: str, fingerprints: Iterable[str], now_s: float
    ) -> None:
        """Notes what this process ran on an endpoint when it crashed."""
        for print_ in fingerprints:
            self._add(print_, incarnation, False, now_s)

    def ended_well(self, print_: str, now_s: float) -> None:
        """Clears a fingerprint of the crashes known so far."""
        for incarnation in self._of.get(print_, ()):
            crash = self._crashes[incarnation]
            if now_s < crash.at_s + EVIDENCE_S:
                crash.cleared[print_] = True

    def verdict(self, print_: str, now_s: float) -> Verdict:
        """Returns how a request with this fingerprint may run."""
        crashes = self._against(print_, now_s)
        identified = len(crashes) > 1 and any(
            self._is_only_candidate(print_, crash, now_s) for crash in crashes
        )
        if identified:
            latest = max(crash.at_s for crash in crashes)
            self._until[print_] = latest + QUARANTINE_S
        elif len(crashes) > 1:
            # Later evidence named other candidates.
            self._until.pop(print_, None)
        if now_s < self._until.get(print_, 0.0):
            return Verdict.QUARANTINED
        self._until.pop(print_, None)
        if len(crashes) < 2:
            return Verdict.SUSPECT if crashes else Verdict.FREE
        unsettled = any(
            now_s < crash.at_s + self._settle_s for crash in crashes
        )
        return Verdict.HELD if unsettled else Verdict.ALONE

    def may_run(
        self,
        print_: str,
        running: Collection[str],
        now_s: float,
        *,
        others: int = 0,
    ) -> bool:
        """Returns whether a request may run on an endpoint now.

        Args:
            print_: Fingerprint of the request.
            running: Fingerprints that this process runs on the endpoint.
            now_s: Time in seconds.
            others: Requests of other processes on the endpoint, from its load
                report.
        """
        verdict = self.verdict(print_, now_s)
        if verdict in (Verdict.QUARANTINED, Verdict.HELD):
            return False
        beside = {other for other in running if other != print_}
        if verdict is Verdict.ALONE:
            return not beside and not others
        found = {self.verdict(other, now_s) for other in beside}
        if found & _RUN_ALONE:
            return False
        return verdict is Verdict.FREE or Verdict.SUSPECT not in found

    def rank(self, print_: str, endpoints: Iterable[str]) -> list[str]:
        """Returns endpoints for a suspect, in the same order everywhere.

        Copies of a suspect meet on the first one, so that they crash it
        together and not one endpoint each.
        """
        return hashing.rank(print_, endpoints)

    def export(self, now_s: float) -> list[Evidence]:
        """Returns all evidence for gossip, one crash an item."""
        self._expire(now_s)
        return [
            Evidence(
                print_,
                frozenset({incarnation}),
                cleared,
                crash.at_s + EVIDENCE_S - now_s,
            )
            for incarnation, crash in self._crashes.items()
            for print_, cleared in crash.cleared.items()
        ]

    def merge(self, items: Iterable[Evidence], now_s: float) -> None:
        """Takes evidence of another process; the order does not matter."""
        for item in items:
            left_s = min(item.expires_in_s, EVIDENCE_S)
            if left_s <= 0:
                continue
            at_s = now_s + left_s - EVIDENCE_S
            for incarnation in item.crashed:
                self._add(item.fingerprint, incarnation, item.cleared, at_s)
        self._expire(now_s)

    def _against(self, print_: str, now_s: float) -> list[_Crash]:
        found = []
        for incarnation in self._of.get(print_, ()):
            crash = self._crashes[incarnation]
            fresh = now_s < crash.at_s + EVIDENCE_S
            if fresh and not crash.cleared[print_]:
                found.append(crash)
        return found

    def _is_only_candidate(
        self, print_: str, crash: _Crash, now_s: float
    ) -> bool:
        if now_s < crash.at_s + self._settle_s:
            return False
        return all(
            cleared or other == print_
            for other, cleared in crash.cleared.items()
        )

    def _add(
        self, print_: str, incarnation: str, cleared: bool, at_s: float
    ) -> None:
        crash = self._crashes.get(incarnation)
        if crash is None:
            crash = self._crashes[incarnation] = _Crash(at_s)
        crash.at_s = min(crash.at_s, at_s)
        if print_ not in crash.cleared:
            self._pairs += 1
            self._of.setdefault(print_, set()).add(incarnation)
        crash.cleared[print_] = crash.cleared.get(print_, False) or cleared
        while self._pairs > self._pairs_limit and len(self._crashes) > 1:
            self._forget(min(self._crashes, key=self._age_key))

    def _age_key(self, incarnation: str) -> tuple[float, str]:
        return self._crashes[incarnation].at_s, incarnation

    def _expire(self, now_s: float) -> None:
        old = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now_s >= crash.at_s + EVIDENCE_S
        ]
        for incarnation in old:
            self._forget(incarnation)
        ended = [key for key, until in self._until.items() if now_s >= until]
        for print_ in ended:
            del self._until[print_]

    def _forget(self, incarnation: str) -> None:
        for print_ in self._crashes.pop(incarnation).cleared:
            self._pairs -= 1
            self._of[print_].discard(incarnation)
            if not self._of[print_]:
                del self._of[print_]


class _Crash:
    """One crash: when it was first known, and who ran there (cleared?)."""

    __slots__ = ("at_s", "cleared")

    def __init__(self, at_s: float) -> None:
        self.at_s = at_s
        self.cleared: dict[str, bool] = {}
