"""Detects requests that crash the endpoints that run them.

A request becomes a suspect if its connection to an endpoint breaks. A crash is
recorded if the endpoint then becomes unreachable, or if its entry is removed
without a leaving notice. A request that crashed several endpoints is rejected.
Callers may send a request again through any process, so processes share the
crashes with each other. No crash is recorded for a request that completed
recently at any endpoint, because such a request merely ran on the endpoint that
crashed and did not cause the crash.
"""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from dandelionlead.routing import calls

# Number of endpoints that a request must crash to be rejected. Each start of an
# endpoint counts.
CRASH_LIMIT = 3
# A crash is recorded if the endpoint is lost within this time in seconds after
# the connection broke.
CRASH_CONFIRM_S = 4.0
# Time for which a crash or a completed request counts.
EVIDENCE_EXPIRY_S = 600.0
# Time for which a crash of a request that is not quarantined is sent to peers,
# and the maximum number of crashes that are shared. They go to all peers,
# also over slow links.
SHARE_S = 10.0
MAX_SHARED = 32
# Maximum numbers of crashes and of completed requests that are kept.
_MAX_CRASHES = 256
_MAX_COMPLETED = 2_048


def compute_fingerprint(admitted: calls.AdmittedCall) -> str:
    """Returns a hexadecimal digest that identifies repeats of a request.

    The digest covers the method, target, team and body.
    """
    call = admitted.call
    team = admitted.team.name if admitted.team else ""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.target, team.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


_Suspect = TypeVar("_Suspect", bound=Hashable)


class SuspectTable(Generic[_Suspect]):
    """What may have crashed an endpoint, until it is found lost."""

    def __init__(self) -> None:
        # Times in seconds at which connections broke, by endpoint and then by
        # suspect.
        self._broken_s: dict[str, dict[_Suspect, float]] = {}

    def add(self, suspect: _Suspect, endpoint_id: str, now_s: float) -> None:
        """Records that a connection broke that carried the suspect."""
        self._broken_s.setdefault(endpoint_id, {})[suspect] = now_s

    def pop(self, endpoint_id: str, now_s: float) -> dict[_Suspect, float]:
        """Removes and returns the suspects of an endpoint that was lost.

        Returns:
            Times in seconds at which the connections broke, by suspect; those
            of the last `CRASH_CONFIRM_S` only.
        """
        return {
            suspect: broken_s
            for suspect, broken_s in self._broken_s.pop(endpoint_id, {}).items()
            if now_s - broken_s <= CRASH_CONFIRM_S
        }


class CrashTracker:
    """Crashes by request, recorded by this process and its peers."""

    def __init__(self) -> None:
        self._suspects: SuspectTable[str] = SuspectTable()
        # Times in seconds of crashes, by pair of fingerprint and endpoint id.
        self._crashes: dict[tuple[str, str], float] = {}
        # Times in seconds at which requests completed, by fingerprint; the
        # latest is last.
        self._completed: dict[str, float] = {}

    def record_broken_connection(
        self, fingerprint: str, endpoint_id: str, now_s: float
    ) -> None:
        """Records that the connection of a request to an endpoint broke."""
        self._suspects.add(fingerprint, endpoint_id, now_s)

    def record_endpoint_lost(self, endpoint_id: str, now_s: float) -> None:
        """Records that an endpoint was lost without a leaving notice.

        A crash is recorded for each request whose connection to the endpoint
        broke within the last `CRASH_CONFIRM_S`.
        """
        for fingerprint in self._suspects.pop(endpoint_id, now_s):
            self._record_crash(fingerprint, endpoint_id, now_s)

    def record_completed(self, fingerprint: str, now_s: float) -> None:
        """Records that a request completed, which removes its crashes."""
        self._completed.pop(fingerprint, None)
        self._completed[fingerprint] = now_s
        if len(self._completed) > _MAX_COMPLETED:
            del self._completed[next(iter(self._completed))]
        if not self._crashes:
            return
        cleared = [pair for pair in self._crashes if pair[0] == fingerprint]
        for pair in cleared:
            del self._crashes[pair]

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request must be rejected because of its crashes.

        This is the case if the request crashed at least `CRASH_LIMIT` different
        endpoints within the last `EVIDENCE_EXPIRY_S`.
        """
        crash_count = sum(
            pair[0] == fingerprint and now_s - crashed_s <= EVIDENCE_EXPIRY_S
            for pair, crashed_s in self._crashes.items()
        )
        return crash_count >= CRASH_LIMIT

    def list_crashes(self, now_s: float) -> list[tuple[str, str]]:
        """Returns the crashes to send to peers, at most `MAX_SHARED`.

        Those of quarantined requests come first, for processes that start
        later, then the newest of the last `SHARE_S`. Each is a pair of the
        request's fingerprint and the endpoint.
        """
        counting = [
            (pair, now_s - crashed_s)
            for pair, crashed_s in reversed(self._crashes.items())
            if now_s - crashed_s <= EVIDENCE_EXPIRY_S
        ]
        crash_counts = collections.Counter(pair[0] for pair, _ in counting)
        quarantined, recent = [], []
        for pair, age_s in counting:
            if crash_counts[pair[0]] >= CRASH_LIMIT:
                quarantined.append(pair)
            elif age_s <= SHARE_S:
                recent.append(pair)
        return (quarantined + recent)[:MAX_SHARED]

    def add_peer_crashes(
        self, crashes: Iterable[tuple[str, str]], now_s: float
    ) -> None:
        """Records crashes that a peer sent, as returned by `list_crashes`."""
        for fingerprint, endpoint_id in crashes:
            self._record_crash(fingerprint, endpoint_id, now_s)

    def _record_crash(
        self, fingerprint: str, endpoint_id: str, now_s: float
    ) -> None:
        """Records a crash unless the request completed recently."""
        completed_s = self._completed.get(fingerprint)
        if completed_s is not None and now_s - completed_s <= EVIDENCE_EXPIRY_S:
            return
        self._crashes.setdefault((fingerprint, endpoint_id), now_s)
        while len(self._crashes) > _MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
