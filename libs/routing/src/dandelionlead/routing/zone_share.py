"""Decides which share of the calls leaves the availability zone of a process.

Traffic between zones is slower and costs money, so that a call stays in the
zone of its process as long as that costs the caller little. All processes of a
zone see the same loads, a little late. If each sent all its calls to where the
load is lowest, the calls of a zone would leave it at the same moment and return
at the next one. So the share that leaves rises with the gain.

The loads that this answers: a zone whose own endpoints are too few for its
callers, and callers that move from one zone to another.
"""

from __future__ import annotations


class ZoneRule:
    """When it pays to leave a zone, in the costs of `endpoint_selection`.

    Attributes:
        min_gain: Gain from which a call may leave.
        full_gain: Gain from which all calls leave.
    """

    __slots__ = ("min_gain", "full_gain")

    def __init__(self, min_gain: float, full_gain: float) -> None:
        self.min_gain = min_gain
        self.full_gain = full_gain

    def compute_share(self, gain: float) -> float:
        """Returns the share of the calls that leaves, from 0 to 1.

        Args:
            gain: Cost of the best endpoint in the zone, less that of the best
                one elsewhere.
        """
        if gain <= self.min_gain:
            return 0.0
        if gain >= self.full_gain:
            return 1.0
        return (gain - self.min_gain) / (self.full_gain - self.min_gain)


def make_step(cost: float) -> ZoneRule:
    """Returns the rule for work that leaves if the gain exceeds a cost."""
    return ZoneRule(cost, cost)
