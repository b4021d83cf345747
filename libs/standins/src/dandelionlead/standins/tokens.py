"""Text of prompts and tokens, as the engine stand-in counts and writes them."""

from __future__ import annotations

import hashlib
import json
from typing import Any

CHARS_PER_TOKEN = 4
# A cache block holds this many tokens; prefix hashes stand for whole blocks.
BLOCK_TOKENS = 64
_TAG_BYTES = 4
_HASH_HEX_DIGITS = 16


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the prompt of a chat or text completion as one text."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "".join(_message_text(item) for item in messages)
    return _content_text(body.get("prompt", ""))


def count(text: str) -> int:
    """Returns the number of tokens of a text; at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def prefix_hashes(text: str) -> list[str]:
    """Returns one hash for each whole block, of all text up to its end."""
    block_chars = BLOCK_TOKENS * CHARS_PER_TOKEN
    running = hashlib.sha256()
    hashes = []
    for start in range(0, len(text) - block_chars + 1, block_chars):
        running.update(text[start : start + block_chars].encode())
        hashes.append(running.hexdigest()[:_HASH_HEX_DIGITS])
    return hashes


def tag(generation_id: str) -> str:
    """Returns the part of a token's text that names its generation."""
    data = generation_id.encode()
    return hashlib.blake2b(data, digest_size=_TAG_BYTES).hexdigest()


def token_text(generation_id: str, position: int) -> str:
    """Returns the text of one token; positions start at 1."""
    return f"{tag(generation_id)}.{position} "


def output_text(generation_id: str, length: int) -> str:
    """Returns the text of a complete generation of `length` tokens."""
    name = tag(generation_id)
    return "".join(f"{name}.{index} " for index in range(1, length + 1))


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        return _content_text(message)
    role = message.get("role", "")
    return f"{role}: {_content_text(message.get('content', ''))}\n"


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    return json.dumps(content)
