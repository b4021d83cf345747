"""Tracks recent failures of each endpoint and pauses unreachable ones.

Evidence that peers send about failing endpoints counts as well. An outcome is
a response, a response that did not arrive in time, or a failed connection.
"""

from __future__ import annotations

from collections.abc import Collection

# Time in seconds in which the weight of an outcome falls to one half.
HALF_LIFE_S = 4.0
# First and longest time for which an unreachable endpoint is paused. The time
# doubles with each consecutive failed connection.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Number of successes that are added to the outcomes of each endpoint, so that
# an endpoint without evidence counts as healthy.
_PRIOR_SUCCESSES = 4.0
# Minimum number and share of failures for which the evidence about an endpoint
# is sent to peers. Fewer failures may be caused by the requests instead of the
# endpoint.
_MIN_REPORTED_FAILURES = 1.5
_MIN_REPORTED_SHARE = 0.3


class Evidence:
    """Recent outcomes of one process's requests to an endpoint.

    Attributes:
        outcomes: Number of outcomes, with exponential decay by age.
        failures: Number of failures among them, with the same decay.
    """

    __slots__ = ("outcomes", "failures")

    def __init__(self, outcomes: float, failures: float) -> None:
        self.outcomes = outcomes
        self.failures = failures


class _Record:
    """Recent outcomes of this process's requests to an endpoint.

    Attributes:
        decayed_until_s: Time in seconds up to which the counts have decayed.
        outcomes: Number of outcomes, with exponential decay by age.
        failures: Number of failures among them, with the same decay.
        failed_connections: Number of failed connections since the last outcome
            of another kind, at most 8.
        paused_until_s: Time in seconds until which the endpoint is paused.
    """

    __slots__ = (
        "decayed_until_s",
        "outcomes",
        "failures",
        "failed_connections",
        "paused_until_s",
    )

    def __init__(self) -> None:
        self.decayed_until_s = 0.0
        self.outcomes = 0.0
        self.failures = 0.0
        self.failed_connections = 0
        self.paused_until_s = 0.0

    def decay(self, now_s: float) -> None:
        """Reduces the counts by the decay since `decayed_until_s`."""
        factor = 0.5 ** (max(0.0, now_s - self.decayed_until_s) / HALF_LIFE_S)
        self.outcomes *= factor
        self.failures *= factor
        self.decayed_until_s = now_s


class HealthTracker:
    """Outcomes and pauses of each endpoint.

    An endpoint is paused after a failed connection. Pauses are not shared with
    peers.
    """

    def __init__(self) -> None:
        # Records by endpoint id.
        self._records: dict[str, _Record] = {}
        # Times in seconds until which the evidence counts, and the evidence by
        # endpoint id, by name of the peer.
        self._peer_evidence: dict[str, tuple[float, dict[str, Evidence]]] = {}

    def get_reportable_evidence(self, now_s: float) -> dict[str, Evidence]:
        """Returns the evidence to send to peers, by endpoint id.

        Only endpoints with enough failures, in number and share, are included.
        """
        evidence = {}
        for endpoint_id, record in self._records.items():
            record.decay(now_s)
            if record.failures < _MIN_REPORTED_FAILURES:
                continue
            if record.failures >= _MIN_REPORTED_SHARE * record.outcomes:
                evidence[endpoint_id] = Evidence(
                    record.outcomes, record.failures
                )
        return evidence

    def replace_peer_evidence(
        self, peer: str, evidence: dict[str, Evidence], expires_s: float
    ) -> None:
        """Replaces the stored evidence of a peer with newer evidence.

        Args:
            peer: Name of the peer.
            evidence: Evidence by endpoint id; if empty, none is stored.
            expires_s: Time in seconds until which the evidence counts.
        """
        if evidence:
            self._peer_evidence[peer] = (expires_s, evidence)
        else:
            self._peer_evidence.pop(peer, None)

    def record_response(
        self, endpoint_id: str, now_s: float, *, failed: bool
    ) -> None:
        """Records a response and ends the pause of the endpoint.

        Also records that a response did not arrive in time: the endpoint may
        need longer than the call may take, so this does not pause it.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: Current time in seconds.
            failed: Whether the request counts as failed; True if its response
                did not arrive in time.
        """
        record = self._get_record(endpoint_id, now_s)
        record.outcomes += 1
        record.failures += failed
        record.failed_connections = 0
        record.paused_until_s = 0.0

    def record_unreachable(self, endpoint_id: str, now_s: float) -> None:
        """Records a failed connection and pauses the endpoint.

        A connection fails if it cannot be opened, if it breaks, or if the body
        of a response cannot be read completely.
        """
        record = self._get_record(endpoint_id, now_s)
        record.outcomes += 1
        record.failures += 1
        pause_s = min(
            LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**record.failed_connections
        )
        record.failed_connections = min(8, record.failed_connections + 1)
        record.paused_until_s = now_s + pause_s

    def is_paused(self, endpoint_id: str, now_s: float) -> bool:
        """Whether the endpoint is paused."""
        record = self._records.get(endpoint_id)
        return record is not None and now_s < record.paused_until_s

    def compute_failure_share(self, endpoint_id: str, now_s: float) -> float:
        """Returns the share of failures among recent outcomes, 0 to 1.

        Evidence of peers is included until it expires.
        """
        outcomes, failures = _PRIOR_SUCCESSES, 0.0
        record = self._records.get(endpoint_id)
        if record is not None:
            record.decay(now_s)
            outcomes += record.outcomes
            failures += record.failures
        for expires_s, evidence in self._peer_evidence.values():
            reported = evidence.get(endpoint_id)
            if reported is not None and now_s <= expires_s:
                outcomes += reported.outcomes
                failures += reported.failures
        return failures / outcomes

    def retain(self, endpoint_ids: set[str]) -> None:
        """Removes the records of all endpoints that are not in the set."""
        for endpoint_id in set(self._records) - endpoint_ids:
            del self._records[endpoint_id]

    def forget(self, endpoint_ids: Collection[str]) -> None:
        """Removes the records of some endpoints, and so ends their pauses."""
        for endpoint_id in endpoint_ids:
            self._records.pop(endpoint_id, None)

    def _get_record(self, endpoint_id: str, now_s: float) -> _Record:
        """Returns the record of an endpoint, decayed to the current time.

        A missing record is created.
        """
        record = self._records.setdefault(endpoint_id, _Record())
        record.decay(now_s)
        return record
