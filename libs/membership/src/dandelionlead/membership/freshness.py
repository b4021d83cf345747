"""Whether a process may dispatch under the rules that it has in force.

A process is `fresh` while a read of the table service, its own or one that a
peer relays, has confirmed its head within the last `BOUND_S`. Otherwise it may
dispatch only in a `common_outage`: a majority of the known entries (itself
included) told within `BOUND_S` that they know no higher head and cannot read
the platform either.

What is guaranteed:
  * An entry that can read the table service, or reaches one that can, does
    not dispatch under older rules later than `BOUND_S` after a commit.
  * A change that `spread.accepted` calls accepted is in force in a majority
    of the entries. Any majority that lets another entry go on shares a member
    with it, so no entry dispatches under older rules later than `BOUND_S`
    after the acceptance, whatever partition there is. This assumes that
    `apply` and the entry count the same entries; the two counts may differ by
    fewer entries than the two majorities have in common.
  * A change that is committed but not accepted, because a majority of the
    entries is cut off both from the platform and from the operator, may be
    unknown to that majority, which then continues under the older rules.
"""

from __future__ import annotations

import enum
import hashlib
import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dandelionlead.membership import members as members_
    from dandelionlead.membership import spread

# The requirement is 4 s from acceptance; one second is left for the time
# between the check and the first byte, and for differences of clock rates.
BOUND_S = 3.0
# Answers to exchanges that were sent sooner after the start do not let an
# entry start without the platform. A round of `notify` takes at most 1 s, so
# an entry that confirmed a change and restarted reads its peers only after
# the others of that majority have the change.
START_HOLD_S = 1.5

# A relayed answer takes 4 bytes: 3 of the hash of the name, 1 of its age.
# 400 members take 1.6 KB in each answer, 9.6 KB/s, during an outage only. In a
# model of 400 entries in an outage, 1.6% of the dispatches were refused with
# an exchange every third of a second, and 17% with three at once each second.
_HASH_BYTES = 3
_VOUCHER_BYTES = _HASH_BYTES + 1
_AGE_STEP_S = 1 / 64


class State(enum.Enum):
    """Why a process may or may not dispatch."""

    FRESH = "fresh"
    COMMON_OUTAGE = "common_outage"
    CUT_OFF = "cut_off"
    STARTING = "starting"


class Verdict:
    """State of the rules of a process.

    Attributes:
        state: The state.
        since: Time at which this state began.
        reason: One sentence for `statez` and the log.
    """

    __slots__ = ("state", "since", "reason")

    def __init__(self, state: State, since: float, reason: str) -> None:
        self.state = state
        self.since = since
        self.reason = reason


class Report:
    """What a process tells its peers; the fields of the peer message.

    Attributes:
        head_version: Highest version that the process has heard of.
        confirmed_s_ago: Age of the latest confirmation in seconds; negative
            while the process starts.
        platform_failed_s_ago: Age of the last failed read in seconds; negative
            if the last read succeeded or there was none.
        vouchers: Answers of other entries that agree with the head in force,
            packed; empty unless this process cannot read the platform.
    """

    __slots__ = (
        "head_version",
        "confirmed_s_ago",
        "platform_failed_s_ago",
        "vouchers",
    )

    def __init__(
        self,
        head_version: int,
        confirmed_s_ago: float,
        platform_failed_s_ago: float,
        vouchers: bytes,
    ) -> None:
        self.head_version = head_version
        self.confirmed_s_ago = confirmed_s_ago
        self.platform_failed_s_ago = platform_failed_s_ago
        self.vouchers = vouchers


class Freshness:
    """Judges whether the head in force is recent enough to dispatch.

    Times are seconds of `clock.boottime()`.
    """

    def __init__(
        self, name: str, heads: spread.HeadKeeper, started_at: float
    ) -> None:
        """Starts in state `STARTING`.

        Args:
            name: Name of this process in the member table.
            heads: The head in force and the highest one known.
            started_at: Present time.
        """
        self._name = name
        self._heads = heads
        self._started_at = started_at
        self._started = False
        self._confirmed: dict[int, float] = {}
        self._platform_failed_at = -math.inf
        self._answers: dict[str, _Answer] = {}
        self._voters: set[str] = {name}
        self._verdict = Verdict(State.STARTING, started_at, "no head read yet")

    def platform_confirmed(self, version: int, at: float) -> None:
        """Notes that the table service holds this head.

        Args:
            version: Version of the head row.
            at: Time before the read was sent.
        """
        self._heads.learn_version(version, at)
        self._confirm(version, at)
        if at >= self._platform_failed_at:
            self._platform_failed_at = -math.inf

    def platform_failed(self, at: float) -> None:
        """Notes that a read of the head failed or missed its deadline.

        Args:
            at: Time at which the failure was seen.
        """
        self._platform_failed_at = max(at, self._platform_failed_at)

    def peer_report(
        self,
        name: str,
        head_version: int,
        confirmed_s_ago: float,
        platform_failed_s_ago: float,
        at: float,
        *,
        vouchers: bytes = b"",
    ) -> None:
        """Takes in a peer's answer to an exchange that this process started.

        A request that a peer sent must not be passed here: it may have waited
        in a socket for any time, so that its ages are not bounded. For such a
        request, call only `HeadKeeper.learn` and `learn_version`.

        Args:
            name: The peer.
            head_version: From the peer's report, like all others.
            confirmed_s_ago: From the report.
            platform_failed_s_ago: From the report.
            at: Time before the exchange was sent.
            vouchers: From the report.
        """
        self._heads.learn_version(head_version, at)
        if confirmed_s_ago < 0:
            return
        self._confirm(head_version, at - confirmed_s_ago)
        # A peer that neither failed nor succeeded lately, such as one that was
        # paused, cannot tell whether the platform is down.
        tried = (
            0 <= platform_failed_s_ago <= BOUND_S or confirmed_s_ago <= BOUND_S
        )
        if tried:
            self._answer(name, head_version, at)
        for other, age_s in _unpack(vouchers, self._voters):
            self._answer(other, head_version, at - age_s)

    def verdict(self, now: float, members: members_.MemberTable) -> Verdict:
        """Returns the state now; call it at least once a second."""
        self._voters = members.voters()
        self._forget(now)
        self._start(now)
        state, reason = self._judge(now)
        since = now if state is not self._verdict.state else self._verdict.since
        self._verdict = Verdict(state, since, reason)
        return self._verdict

    def may_dispatch(self, now: float) -> bool:
        """Whether a request may be dispatched; call it right before."""
        if not self._started:
            return False
        return self._is_fresh(now) or not self._outage_fault(now)

    def report(self, now: float, *, answering: bool = True) -> Report:
        """Returns what to tell a peer.

        Args:
            now: Present time.
            answering: Whether the report goes into an answer. In a request
                the vouchers are left out, since the receiver may not use them.
        """
        confirmed_s_ago = -1.0
        if self._started and self._confirmed:
            confirmed_s_ago = max(0.0, now - max(self._confirmed.values()))
        failed_s_ago = -1.0
        vouchers = b""
        if self._platform_failed_at > -math.inf:
            failed_s_ago = max(0.0, now - self._platform_failed_at)
            vouchers = self._pack(now) if answering else b""
        return Report(
            self._heads.highest_known, confirmed_s_ago, failed_s_ago, vouchers
        )

    def _confirm(self, version: int, at: float) -> None:
        for other, when in self._confirmed.items():
            if other <= version and when >= at:
                return
        # A later confirmation of a lower or equal version says more.
        self._confirmed = {
            other: when
            for other, when in self._confirmed.items()
            if other < version or when > at
        }
        self._confirmed[version] = at
        self._drop_superseded()

    def _drop_superseded(self) -> None:
        current = self._heads.version
        usable = [v for v in self._confirmed if v <= current]
        if len(usable) < 2:
            return
        latest = max(usable, key=lambda v: self._confirmed[v])
        for version in usable:
            if version != latest:
                del self._confirmed[version]

    def _answer(self, name: str, head_version: int, at: float) -> None:
        known = self._answers.get(name)
        if name != self._name and (known is None or at > known.at):
            self._answers[name] = _Answer(at, head_version)

    def _forget(self, now: float) -> None:
        self._answers = {
            name: answer
            for name, answer in self._answers.items()
            if now - answer.at <= BOUND_S
        }

    def _start(self, now: float) -> None:
        if self._started or self._heads.version < self._heads.highest_known:
            return
        self._started = self._is_fresh(now) or not self._outage_fault(now)

    def _judge(self, now: float) -> tuple[State, str]:
        if not self._started:
            return State.STARTING, self._why_not_fresh(now)
        if self._is_fresh(now):
            return State.FRESH, "the head was confirmed recently"
        fault = self._outage_fault(now)
        if not fault:
            return State.COMMON_OUTAGE, "no entry can read the platform"
        return State.CUT_OFF, f"{self._why_not_fresh(now)}; {fault}"

    def _is_fresh(self, now: float) -> bool:
        current = self._heads.version
        for version, at in self._confirmed.items():
            if version <= current and now - at <= BOUND_S:
                return current > 0
        return False

    def _why_not_fresh(self, now: float) -> str:
        if self._heads.highest_known > self._heads.version:
            return (
                f"head {self._heads.highest_known} is known and not complete, "
                f"{self._heads.version} is in force"
            )
        if not self._confirmed:
            return "the head was never confirmed"
        age_s = now - max(self._confirmed.values())
        return f"the head was last confirmed {age_s:.1f} s ago"

    def _outage_fault(self, now: float) -> str:
        """Returns why there is no common outage; empty if there is one."""
        if not self._heads.version:
            return "no head is in force"
        if now - self._heads.behind_since > BOUND_S:
            return "a higher head is known"
        if now - self._platform_failed_at > BOUND_S:
            return "the platform was not tried within the bound"
        count = len(self._agreeing(now))
        # While it starts, a process has no knowledge to add to a majority.
        count += self._started and self._name in self._voters
        if 2 * count > len(self._voters):
            return ""
        return f"{count} of {len(self._voters)} entries answer and agree"

    def _agreeing(self, now: float) -> dict[str, float]:
        earliest = now - BOUND_S
        if not self._started:
            earliest = max(earliest, self._started_at + START_HOLD_S)
        return {
            name: answer.at
            for name, answer in self._answers.items()
            if answer.at >= earliest
            and name in self._voters
            and answer.head_version <= self._heads.version
        }

    def _pack(self, now: float) -> bytes:
        agreeing = self._agreeing(now)
        if not self._started:
            return b""
        packed = bytearray()
        for name, at in agreeing.items():
            steps = math.ceil((now - at) / _AGE_STEP_S)
            packed += _hash(name)
            packed.append(max(0, min(255, steps)))
        return bytes(packed)


class _Answer:
    """Latest answer of one peer: its highest known head at that time."""

    __slots__ = ("at", "head_version")

    def __init__(self, at: float, head_version: int) -> None:
        self.at = at
        self.head_version = head_version


def _unpack(packed: bytes, names: Iterable[str]) -> Iterable[tuple[str, float]]:
    if not packed:
        return
    by_hash: dict[bytes, str] = {}
    twice = set()
    for name in names:
        key = _hash(name)
        if key in by_hash:
            twice.add(key)
        by_hash[key] = name
    for start in range(0, len(packed) - _HASH_BYTES, _VOUCHER_BYTES):
        key = packed[start : start + _HASH_BYTES]
        # Of two entries with the same hash, the one meant is not known.
        if key in by_hash and key not in twice:
            yield by_hash[key], packed[start + _HASH_BYTES] * _AGE_STEP_S


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
