"""Chooses which ready processes are named to callers."""

from __future__ import annotations

from collections.abc import Sequence

# Processes that are cut off from a service are left out if the others are at
# least this share of all. The others then get at most three times their calls.
_MIN_REMAINING_SHARE = 1 / 3


class Candidate:
    """A process that is ready.

    Attributes:
        address: Address (IP:PORT) at which it accepts calls.
        is_cut_off: Whether it does not reach a service that others reach.
    """

    __slots__ = ("address", "is_cut_off")

    def __init__(self, address: str, is_cut_off: bool) -> None:
        self.address = address
        self.is_cut_off = is_cut_off


def choose_addresses(candidates: Sequence[Candidate]) -> list[str]:
    """Returns the addresses of those candidates that callers should use.

    If few candidates would remain without those that are cut off, all are
    returned: a process that is cut off passes its calls on, but the few others
    could not accept the connections of all callers.

    Args:
        candidates: All processes that are ready.
    """
    reaching = [item for item in candidates if not item.is_cut_off]
    if len(reaching) < _MIN_REMAINING_SHARE * len(candidates):
        reaching = list(candidates)
    return [item.address for item in reaching]
