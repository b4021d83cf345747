"""Ranks candidates by rendezvous hashing, alike in all processes."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def compute_weight(key: str, candidate: str) -> int:
    """Returns the rendezvous weight of a candidate for a key, 64 bits."""
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates for a key, the highest weight first.

    The order depends only on the key and the names, not on their order.
    """
    return sorted(
        candidates, key=lambda name: (-compute_weight(key, name), name)
    )
