"""Rendezvous hashing: a choice that all processes compute alike."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, candidate: str) -> int:
    """Returns the rendezvous weight of a candidate for a key."""
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates for a key, the best first."""
    return sorted(candidates, key=lambda name: (-weight(key, name), name))
