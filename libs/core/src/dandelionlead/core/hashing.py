"""Ranks candidates by rendezvous hashing.

All processes compute the same ranks without coordination.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

# Weights that are kept, as the same candidates are ranked again and again.
_MAX_CACHED_WEIGHTS = 16_384


@functools.lru_cache(_MAX_CACHED_WEIGHTS)
def compute_weight(key: str, candidate: str) -> int:
    """Returns the rendezvous weight of a candidate, an unsigned 64-bit integer.

    Args:
        key: Name of the item that the candidates are ranked for. The weights of
            a candidate for different keys are independent of each other.
        candidate: Name of the candidate.
    """
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates in descending order of their weight for a key.

    The result depends only on the key and on the set of names, not on the order
    in which the names are passed.

    Args:
        key: Name of the item that the candidates are ranked for.
        candidates: Names of the candidates.
    """
    return sorted(
        candidates, key=lambda name: (-compute_weight(key, name), name)
    )
