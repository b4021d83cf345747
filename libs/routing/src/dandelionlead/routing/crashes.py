"""Finds requests that crash the endpoints that run them.

A connection that breaks off makes a request a suspect. It counts as a crash
once the endpoint cannot be reached any more, or its entry is gone without a
notice. A request with crashes at several endpoints is refused; its caller may
send it again through any process, so the evidence is shared by heartbeat. One
that lately ran to its end somewhere only happened to be there.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from dandelionlead.routing import calls

# Different endpoints that a request may crash before it is refused.
CRASH_LIMIT = 3
# A broken connection and the endpoint's end belong together within this time.
CONFIRM_S = 4.0
EVIDENCE_S = 600.0
_MOST_MARKS = 256
_MOST_INNOCENT = 2_048


def fingerprint(admitted: calls.Admitted) -> str:
    """Returns what stays the same when a caller sends a request again."""
    call = admitted.call
    team = admitted.team.name if admitted.team else ""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.target, team.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


class CrashBook:
    """Crashes by request, from this process and its peers."""

    def __init__(self) -> None:
        self._suspects: dict[str, dict[str, float]] = {}
        self._crashes: dict[tuple[str, str], float] = {}
        # Requests that ran to their end, and when; the latest are last.
        self._innocent: dict[str, float] = {}

    def broke_off(self, print_: str, endpoint_id: str, now_s: float) -> None:
        """Notes a request whose connection to an endpoint broke off."""
        self._suspects.setdefault(endpoint_id, {})[print_] = now_s

    def gone(self, endpoint_id: str, now_s: float) -> None:
        """Notes that an endpoint is gone that gave no notice."""
        for print_, at_s in self._suspects.pop(endpoint_id, {}).items():
            if now_s - at_s <= CONFIRM_S:
                self._add(print_, endpoint_id, now_s)

    def ended_well(self, print_: str, now_s: float) -> None:
        """Clears a request that an endpoint ran to its end."""
        self._innocent.pop(print_, None)
        self._innocent[print_] = now_s
        if len(self._innocent) > _MOST_INNOCENT:
            del self._innocent[next(iter(self._innocent))]
        if not self._crashes:
            return
        cleared = [pair for pair in self._crashes if pair[0] == print_]
        for pair in cleared:
            del self._crashes[pair]

    def refused(self, print_: str, now_s: float) -> bool:
        """Whether a request crashed too many endpoints to be run again."""
        crashed = sum(
            pair[0] == print_ and now_s - at_s <= EVIDENCE_S
            for pair, at_s in self._crashes.items()
        )
        return crashed >= CRASH_LIMIT

    def marks(self, now_s: float) -> list[tuple[str, str]]:
        """Returns pairs of request and endpoint that count, for the peers."""
        return [
            pair
            for pair, at_s in self._crashes.items()
            if now_s - at_s <= EVIDENCE_S
        ]

    def hear(self, marks: Iterable[tuple[str, str]], now_s: float) -> None:
        """Takes the marks of a peer."""
        for print_, endpoint_id in marks:
            self._add(print_, endpoint_id, now_s)

    def _add(self, print_: str, endpoint_id: str, now_s: float) -> None:
        well_s = self._innocent.get(print_)
        if well_s is not None and now_s - well_s <= EVIDENCE_S:
            return
        self._crashes.setdefault((print_, endpoint_id), now_s)
        while len(self._crashes) > _MOST_MARKS:
            del self._crashes[next(iter(self._crashes))]
