"""Detects parts of prompts that crash the engines that answer them.

A generation becomes a suspect if its engine's connection breaks before the
first event. A crash is recorded if the engine then becomes unreachable. It
counts against each part of the prompt that has not been found sound since then.
A part is sound if any generation with it has produced an event. Calls with a
quarantined part are rejected.

Other generations that wait at a crashed engine, and other parts of the fatal
prompts, are suspected as well. Most of them are soon found sound elsewhere. If
all engines crash, they are not; then the crashes are attributed to the parts
that were found sound the longest time ago, or never.

Processes share crashes and sound parts with each other, because calls with the
same part arrive at any process.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from dandelionlead.routing import crashes

# Number of incidents after which a part is quarantined. Crashes at nearly the
# same time count as one incident, because a failure of the infrastructure may
# have caused them.
INCIDENT_LIMIT = 3
INCIDENT_GAP_S = 0.2
# Time since the first crash before which no part is quarantined. Within this
# time, peers report which of the suspected parts are sound.
CONFIRM_S = 1.0
# Time for which new evidence is sent to peers. Crashes of quarantined parts are
# sent as long as they count, for processes that start later.
SHARE_S = 10.0
# Maximum numbers of crashes and of sound parts that are shared. They go to
# all peers, also over slow links.
MAX_SHARED = 16
# Maximum numbers of crashes and of sound parts that are kept.
_MAX_CRASHES = 1_024
_MAX_SOUND_PARTS = 4_096
# Time for which an evaluation is used again if there is no new evidence.
_EVALUATION_INTERVAL_S = 0.1
# Last time at which a part was found sound if it never was.
_NEVER_S = float("-inf")


class PromptCrash:
    """A crash of an engine before it answered a certain prompt.

    Attributes:
        part_ids: Ids of the parts of the prompt that may have caused it.
        incarnation: The engine and its start.
        crashed_s: Time in seconds at which the connection broke.
    """

    __slots__ = ("part_ids", "incarnation", "crashed_s")

    def __init__(
        self, part_ids: tuple[str, ...], incarnation: str, crashed_s: float
    ) -> None:
        self.part_ids = part_ids
        self.incarnation = incarnation
        self.crashed_s = crashed_s


class SoundPart:
    """A part of a prompt that an engine answered.

    Attributes:
        part_id: Id of the part.
        sound_s: Time in seconds of the latest first event of a generation whose
            prompt contains the part.
    """

    __slots__ = ("part_id", "sound_s")

    def __init__(self, part_id: str, sound_s: float) -> None:
        self.part_id = part_id
        self.sound_s = sound_s


class PromptCrashTracker:
    """Crashes and sound parts, recorded by this process and its peers.

    Attributes:
        change_listener: Called without arguments when this process records
            evidence that peers need soon.
    """

    def __init__(self) -> None:
        self.change_listener: Callable[[], None] = lambda: None
        self._suspects: crashes.SuspectTable[tuple[str, ...]] = (
            crashes.SuspectTable()
        )
        # Crashes by incarnation and parts. The crash that was recorded last is
        # last.
        self._crashes: dict[tuple[str, tuple[str, ...]], PromptCrash] = {}
        # Number of crashes in which each part is suspected, and times in
        # seconds of the latest ones.
        self._crash_counts: collections.Counter[str] = collections.Counter()
        self._last_crash_s: dict[str, float] = {}
        # Times in seconds at which parts were last found sound; the part that
        # was recorded last is last.
        self._sound: dict[str, float] = {}
        # Times in seconds until which a sound part is sent to peers.
        self._shared_until_s: dict[str, float] = {}
        # Result of the last evaluation: the incarnations that crashed, by
        # quarantined part. It is None after new evidence.
        self._quarantined: dict[str, set[str]] | None = None
        self._evaluated_s = 0.0

    def record_broken_connection(
        self, part_ids: tuple[str, ...], incarnation: str, now_s: float
    ) -> None:
        """Records that an engine's connection broke before the first event.

        Args:
            part_ids: Ids of the parts of the prompt.
            incarnation: The engine and its start.
            now_s: Current time in seconds.
        """
        if part_ids:
            self._suspects.add(part_ids, incarnation, now_s)

    def record_endpoint_lost(self, incarnation: str, now_s: float) -> None:
        """Records that an engine was lost without a leaving notice."""
        suspects = self._suspects.pop(incarnation, now_s)
        for part_ids, broken_s in suspects.items():
            self._add_crash(PromptCrash(part_ids, incarnation, broken_s))
        if suspects:
            self.change_listener()

    def record_sound(self, part_ids: Iterable[str], now_s: float) -> None:
        """Records the first event of a generation with these parts."""
        is_changed = False
        for part_id in part_ids:
            if self._has_counting_crash(part_id):
                self._shared_until_s[part_id] = now_s + SHARE_S
                is_changed = True
            self._set_sound(part_id, now_s)
        if is_changed:
            self.change_listener()

    def find_quarantined(
        self, part_ids: Collection[str], now_s: float
    ) -> str | None:
        """Returns the id of a part because of which a call must be rejected.

        A quarantined part is not a reason if all of its crashes are explained
        by another quarantined part, which this prompt does not contain: parts
        that always occur together are suspected together, and only such a call
        shows which of them is sound.

        Args:
            part_ids: Ids of the parts of the call's prompt.
            now_s: Current time in seconds.

        Returns:
            Id of the part; None if the call may be sent.
        """
        if not self._crashes:
            return None
        quarantined = self._evaluate(now_s)
        for part_id in part_ids:
            incarnations = quarantined.get(part_id)
            if incarnations is not None and not any(
                incarnations <= other_incarnations
                for other_id, other_incarnations in quarantined.items()
                if other_id not in part_ids
            ):
                return part_id
        return None

    def list_quarantined(self, now_s: float) -> list[str]:
        """Returns the ids of all parts that are quarantined."""
        return list(self._evaluate(now_s))

    def list_shared_crashes(self, now_s: float) -> list[PromptCrash]:
        """Returns the crashes to send to peers, at most `MAX_SHARED`.

        Those of quarantined parts come first, then the newest. Crashes that no
        longer count are left out.
        """
        quarantined_ids = set(self.list_quarantined(now_s))
        quarantined, recent = [], []
        for crash in reversed(self._crashes.values()):
            if not any(
                self._counts_against(crash, part_id, now_s)
                for part_id in crash.part_ids
            ):
                continue
            if quarantined_ids.intersection(crash.part_ids):
                quarantined.append(crash)
            elif now_s - crash.crashed_s <= SHARE_S:
                recent.append(crash)
        return (quarantined + recent)[:MAX_SHARED]

    def list_shared_sound_parts(self, now_s: float) -> list[SoundPart]:
        """Returns the sound parts to send to peers, at most `MAX_SHARED`."""
        self._shared_until_s = {
            part_id: until_s
            for part_id, until_s in self._shared_until_s.items()
            if now_s <= until_s and part_id in self._sound
        }
        newest = list(reversed(self._shared_until_s))[:MAX_SHARED]
        return [SoundPart(part_id, self._sound[part_id]) for part_id in newest]

    def add_peer_evidence(
        self,
        peer_crashes: Iterable[PromptCrash],
        sound_parts: Iterable[SoundPart],
        now_s: float,
    ) -> None:
        """Records the evidence that a peer sent.

        Args:
            peer_crashes: Crashes that the peer shared.
            sound_parts: Sound parts that the peer shared.
            now_s: Current time in seconds.
        """
        for item in sound_parts:
            if item.sound_s > self._sound.get(item.part_id, _NEVER_S):
                self._set_sound(item.part_id, item.sound_s)
        for crash in peer_crashes:
            self._add_crash(crash)
            for part_id in crash.part_ids:
                if self._sound.get(part_id, _NEVER_S) >= crash.crashed_s:
                    # The peer may not have received that the part is sound.
                    self._shared_until_s[part_id] = now_s + SHARE_S

    def _counts_against(
        self, crash: PromptCrash, part_id: str, now_s: float
    ) -> bool:
        """Whether a crash is recent and later than the part was sound."""
        return (
            now_s - crash.crashed_s <= crashes.EVIDENCE_EXPIRY_S
            and crash.crashed_s > self._sound.get(part_id, _NEVER_S)
        )

    def _has_counting_crash(self, part_id: str) -> bool:
        """Whether a part crashed an engine after it was last found sound."""
        crashed_s = self._last_crash_s.get(part_id, _NEVER_S)
        return crashed_s > self._sound.get(part_id, _NEVER_S)

    def _evaluate(self, now_s: float) -> dict[str, set[str]]:
        """Returns the incarnations that crashed, by quarantined part.

        Crashes of incarnations that a quarantined part explains do not count
        against parts that were found sound later than that part.
        """
        if (
            self._quarantined is not None
            and now_s - self._evaluated_s < _EVALUATION_INTERVAL_S
        ):
            return self._quarantined
        times_by_part = self._collect_crash_times(now_s)
        quarantined: dict[str, set[str]] = {}
        for part_id in sorted(
            times_by_part, key=lambda item: self._sound.get(item, _NEVER_S)
        ):
            explained = set()
            for other_id, incarnations in quarantined.items():
                if self._is_sound_earlier(other_id, part_id):
                    explained |= incarnations
            unexplained_s = [
                crashed_s
                for incarnation, crashed_s in times_by_part[part_id].items()
                if incarnation not in explained
            ]
            if _are_enough(unexplained_s, now_s):
                quarantined[part_id] = set(times_by_part[part_id])
        self._quarantined = quarantined
        self._evaluated_s = now_s
        return quarantined

    def _collect_crash_times(self, now_s: float) -> dict[str, dict[str, float]]:
        """Returns the times of the counting crashes.

        Returns:
            Times in seconds by part and then by incarnation, for the parts with
            at least `INCIDENT_LIMIT` crashes.
        """
        times_by_part: dict[str, dict[str, float]] = {}
        for crash in self._crashes.values():
            for part_id in crash.part_ids:
                if self._crash_counts[
                    part_id
                ] >= INCIDENT_LIMIT and self._counts_against(
                    crash, part_id, now_s
                ):
                    times_s = times_by_part.setdefault(part_id, {})
                    times_s.setdefault(crash.incarnation, crash.crashed_s)
        return times_by_part

    def _is_sound_earlier(self, part_id: str, other_id: str) -> bool:
        """Whether a part was last found sound before another, or never."""
        sound_s = self._sound.get(part_id, _NEVER_S)
        return sound_s < self._sound.get(other_id, _NEVER_S)

    def _add_crash(self, crash: PromptCrash) -> None:
        """Records a crash unless it is known."""
        key = (crash.incarnation, crash.part_ids)
        if key in self._crashes:
            return
        self._crashes[key] = crash
        for part_id in crash.part_ids:
            self._crash_counts[part_id] += 1
            self._last_crash_s[part_id] = max(
                crash.crashed_s, self._last_crash_s.get(part_id, _NEVER_S)
            )
        self._quarantined = None
        if len(self._crashes) > _MAX_CRASHES:
            self._remove_oldest_crash()

    def _remove_oldest_crash(self) -> None:
        """Removes the crash that was recorded first."""
        oldest = self._crashes.pop(next(iter(self._crashes)))
        for part_id in oldest.part_ids:
            self._crash_counts[part_id] -= 1
            if not self._crash_counts[part_id]:
                del self._crash_counts[part_id]
                del self._last_crash_s[part_id]

    def _set_sound(self, part_id: str, sound_s: float) -> None:
        """Records that a part was found sound."""
        if self._has_counting_crash(part_id):
            self._quarantined = None
        self._sound.pop(part_id, None)
        self._sound[part_id] = sound_s
        if len(self._sound) > _MAX_SOUND_PARTS:
            del self._sound[next(iter(self._sound))]


def _are_enough(times_s: list[float], now_s: float) -> bool:
    """Whether crashes at these times are enough for a quarantine."""
    incident_count = 0
    incident_s = _NEVER_S
    for crashed_s in sorted(times_s):
        if crashed_s - incident_s >= INCIDENT_GAP_S:
            incident_count += 1
            incident_s = crashed_s
    return incident_count >= INCIDENT_LIMIT and now_s - min(times_s) >= (
        CONFIRM_S
    )
