"""What this process and its peers saw of each endpoint's answers lately."""

from __future__ import annotations

# Evidence loses half of its weight in this time.
HALF_LIFE_S = 4.0
# An endpoint that cannot be reached is left alone for so long, doubled with
# each further failure.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Weight of the prior: an endpoint without evidence is taken to be sound.
_PRIOR_ANSWERS = 4.0
# Peers are told of endpoints with so many failures and so large a share of
# them; less may be due to the requests.
_TOLD_FAILURES = 1.5
_TOLD_SHARE = 0.3


class Evidence:
    """What one process saw of an endpoint lately.

    Attributes:
        answers: Answers, older ones counting less.
        failures: Those of them that were failures.
    """

    __slots__ = ("answers", "failures")

    def __init__(self, answers: float, failures: float) -> None:
        self.answers = answers
        self.failures = failures


class _Record:
    __slots__ = ("at_s", "answers", "failures", "in_row", "paused_until_s")

    def __init__(self) -> None:
        self.at_s = 0.0
        self.answers = 0.0
        self.failures = 0.0
        self.in_row = 0
        self.paused_until_s = 0.0

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.at_s) / HALF_LIFE_S)
        self.answers *= factor
        self.failures *= factor
        self.at_s = now_s


class HealthBook:
    """Share of failures by endpoint, and pauses after lost connections."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._peers: dict[str, tuple[float, dict[str, Evidence]]] = {}

    def doubtful(self, now_s: float) -> dict[str, Evidence]:
        """Returns what peers should know, by endpoint."""
        found = {}
        for endpoint_id, record in self._records.items():
            record.decay(now_s)
            if record.failures < _TOLD_FAILURES:
                continue
            if record.failures >= _TOLD_SHARE * record.answers:
                found[endpoint_id] = Evidence(record.answers, record.failures)
        return found

    def hear(
        self, peer: str, evidence: dict[str, Evidence], until_s: float
    ) -> None:
        """Takes a peer's evidence; it replaces the last.

        Args:
            peer: Its name.
            evidence: What it saw, by endpoint.
            until_s: Instant up to which it counts.
        """
        if evidence:
            self._peers[peer] = (until_s, evidence)
        else:
            self._peers.pop(peer, None)

    def answered(self, endpoint_id: str, now_s: float, *, failed: bool) -> None:
        """Notes an answer; `failed` if its status tells of a fault."""
        record = self._record(endpoint_id, now_s)
        record.answers += 1
        record.failures += failed
        record.in_row = 0
        record.paused_until_s = 0.0

    def unreachable(self, endpoint_id: str, now_s: float) -> None:
        """Notes a connection that failed or stayed silent."""
        record = self._record(endpoint_id, now_s)
        record.answers += 1
        record.failures += 1
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**record.in_row)
        record.in_row = min(8, record.in_row + 1)
        record.paused_until_s = now_s + pause_s

    def paused(self, endpoint_id: str, now_s: float) -> bool:
        """Whether the endpoint is left alone for now."""
        record = self._records.get(endpoint_id)
        return record is not None and now_s < record.paused_until_s

    def failure_share(self, endpoint_id: str, now_s: float) -> float:
        """Returns the share of failures lately, 0 to 1."""
        answers, failures = _PRIOR_ANSWERS, 0.0
        record = self._records.get(endpoint_id)
        if record is not None:
            record.decay(now_s)
            answers += record.answers
            failures += record.failures
        for until_s, evidence in self._peers.values():
            seen = evidence.get(endpoint_id)
            if seen is not None and now_s <= until_s:
                answers += seen.answers
                failures += seen.failures
        return failures / answers

    def keep(self, endpoint_ids: set[str]) -> None:
        """Forgets endpoints that no longer exist."""
        for gone in set(self._records) - endpoint_ids:
            del self._records[gone]

    def _record(self, endpoint_id: str, now_s: float) -> _Record:
        record = self._records.setdefault(endpoint_id, _Record())
        record.decay(now_s)
        return record
