"""Mutual authentication of two processes that share the peer key.

The server sends a nonce; the client answers with its own nonce and an
HMAC-SHA256 over both; the server proves its key in the same way. All messages
have a fixed length, so nothing is parsed before the key is proved.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import socket

NONCE_BYTES = 16
DIGEST_BYTES = 32
_CLIENT_LABEL = b"dandelionlead peer client v1"
_SERVER_LABEL = b"dandelionlead peer server v1"


def authenticate_client(conn: socket.socket, key: bytes) -> bool:
    """Runs the client's side; returns whether the server knows the key."""
    server_nonce = _receive(conn, NONCE_BYTES)
    if server_nonce is None:
        return False
    nonce = secrets.token_bytes(NONCE_BYTES)
    conn.sendall(nonce + _digest(key, _CLIENT_LABEL, server_nonce, nonce))
    proof = _receive(conn, DIGEST_BYTES)
    if proof is None:
        return False
    expected = _digest(key, _SERVER_LABEL, server_nonce, nonce)
    return hmac.compare_digest(proof, expected)


def authenticate_server(conn: socket.socket, key: bytes) -> bool:
    """Runs the server's side; returns whether the client knows the key."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    conn.sendall(nonce)
    answer = _receive(conn, NONCE_BYTES + DIGEST_BYTES)
    if answer is None:
        return False
    client_nonce, proof = answer[:NONCE_BYTES], answer[NONCE_BYTES:]
    expected = _digest(key, _CLIENT_LABEL, nonce, client_nonce)
    if not hmac.compare_digest(proof, expected):
        return False
    conn.sendall(_digest(key, _SERVER_LABEL, nonce, client_nonce))
    return True


def _digest(key: bytes, label: bytes, first: bytes, second: bytes) -> bytes:
    return hmac.new(key, label + first + second, hashlib.sha256).digest()


def _receive(conn: socket.socket, count: int) -> bytes | None:
    data = b""
    while len(data) < count:
        part = conn.recv(count - len(data))
        if not part:
            return None
        data += part
    return data
