"""Resume tokens: what any entry needs to take up an interrupted stream."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json
from collections.abc import Sequence

from dandelionlead.core import errors

MAX_TOKEN_CHARS = 2048


class ResumeToken:
    """Identity of one generation for one team.

    Attributes:
        request_id: Request that started the generation.
        generation_id: The generation at its endpoint.
        endpoint: Name of the endpoint that runs it.
        team: Team that may read it.
        route: Route of the request.
        units: Units of engine memory that the generation holds.
        expires_unix_s: Seconds since the epoch after which it is void.
    """

    __slots__ = (
        "request_id",
        "generation_id",
        "endpoint",
        "team",
        "route",
        "units",
        "expires_unix_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        generation_id: str,
        endpoint: str,
        team: str,
        route: str,
        units: int,
        expires_unix_s: float,
    ) -> None:
        self.request_id = request_id
        self.generation_id = generation_id
        self.endpoint = endpoint
        self.team = team
        self.route = route
        self.units = units
        self.expires_unix_s = expires_unix_s


class Signer:
    """Signs with the first key and accepts all keys, for key rotation."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("at least one resume key is required")
        self._keys = list(keys)

    def sign(self, token: ResumeToken) -> str:
        """Returns the token as text that is safe in a header."""
        values = [getattr(token, name) for name in ResumeToken.__slots__]
        payload = json.dumps(values, separators=(",", ":")).encode()
        signature = _signature(self._keys[0], payload)
        return f"{_encode(payload)}.{_encode(signature)}"

    def verify(
        self, text: str, *, team: str, now_unix_s: float
    ) -> ResumeToken | errors.Failure:
        """Checks signature, team and expiry.

        Args:
            text: The token as the caller sent it.
            team: Team that the caller's API key belongs to.
            now_unix_s: Seconds since the epoch.

        Returns:
            The token, or a failure of kind TOKEN_INVALID or TOKEN_EXPIRED.
        """
        payload = self._checked_payload(text)
        if payload is None:
            return errors.Failure(
                errors.Kind.TOKEN_INVALID, "the signature does not match"
            )
        values = json.loads(payload)
        if len(values) != len(ResumeToken.__slots__):
            return errors.Failure(
                errors.Kind.TOKEN_INVALID, "the token has another format"
            )
        token = ResumeToken(
            **dict(zip(ResumeToken.__slots__, values, strict=True))
        )
        if token.team != team:
            return errors.Failure(
                errors.Kind.TOKEN_INVALID, "the token is of another team"
            )
        if token.expires_unix_s <= now_unix_s:
            return errors.Failure(
                errors.Kind.TOKEN_EXPIRED, "the resume window is over"
            )
        return token

    def _checked_payload(self, text: str) -> bytes | None:
        if len(text) > MAX_TOKEN_CHARS:
            return None
        encoded, dot, signature = text.partition(".")
        if not dot:
            return None
        try:
            payload = _decode(encoded)
            given = _decode(signature)
        except (binascii.Error, ValueError):
            return None
        for key in self._keys:
            if hmac.compare_digest(given, _signature(key, payload)):
                return payload
        return None


def _signature(key: bytes, payload: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).digest()


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    data = text.encode("ascii")
    padding = b"=" * (-len(data) % 4)
    return base64.b64decode(data + padding, altchars=b"-_", validate=True)
