"""Checked fields of a request for a generation."""

from __future__ import annotations

import json
from typing import Any

from dandelionlead.core import errors

MAX_MESSAGES = 1024
MAX_BUYER_CHARS = 128
# Bytes of prompt for one token, for reservation before the engine counts.
_BYTES_PER_TOKEN = 4


class GenerationInput:
    """What a caller asks an engine for.

    Attributes:
        model: Name of the model.
        prompt: Canonical text of prompt or messages, for fingerprints.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Limit on the output in tokens.
        stream: Whether the caller takes the answer as a stream.
        buyer: The team's customer, from the field `user`; may be empty.
    """

    __slots__ = (
        "model",
        "prompt",
        "prompt_tokens",
        "max_tokens",
        "stream",
        "buyer",
    )

    def __init__(
        self,
        *,
        model: str,
        prompt: str,
        max_tokens: int,
        stream: bool,
        buyer: str,
    ) -> None:
        self.model = model
        self.prompt = prompt
        self.prompt_tokens = len(prompt) // _BYTES_PER_TOKEN + 1
        self.max_tokens = max_tokens
        self.stream = stream
        self.buyer = buyer


def parse(
    body: dict[str, Any], *, chat: bool, limit_tokens: int
) -> GenerationInput | errors.Failure:
    """Checks the fields of a request body.

    Args:
        body: The parsed JSON object.
        chat: Whether `messages` are expected instead of `prompt`.
        limit_tokens: Largest `max_tokens` of the route.

    Returns:
        The input, or a failure of kind BAD_REQUEST that names the field.
    """
    prompt = _messages(body) if chat else _prompt(body)
    if isinstance(prompt, errors.Failure):
        return prompt
    max_tokens = body.get("max_tokens", limit_tokens)
    if not _is_int(max_tokens) or not 1 <= max_tokens <= limit_tokens:
        return _bad(
            f"max_tokens must be a whole number from 1 to {limit_tokens}"
        )
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return _bad("model must be the name of a model")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        return _bad("stream must be true or false")
    buyer = body.get("user", "")
    if (
        not isinstance(buyer, str)
        or len(buyer) > MAX_BUYER_CHARS
        or not _is_unicode(buyer)
    ):
        return _bad(
            f"user must be Unicode text of at most {MAX_BUYER_CHARS} characters"
        )
    return GenerationInput(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        stream=stream,
        buyer=buyer,
    )


def _messages(body: dict[str, Any]) -> str | errors.Failure:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad("messages must be a list of at least one message")
    if len(messages) > MAX_MESSAGES:
        return _bad(f"messages must be at most {MAX_MESSAGES}")
    for index, message in enumerate(messages):
        if (
            not isinstance(message, dict)
            or not isinstance(message.get("role"), str)
            or not isinstance(message.get("content"), str)
        ):
            return _bad(f"messages[{index}] must have role and content as text")
    return json.dumps(messages, sort_keys=True)


def _prompt(body: dict[str, Any]) -> str | errors.Failure:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt or not _is_unicode(prompt):
        return _bad("prompt must be Unicode text that is not empty")
    return prompt


def _is_unicode(text: str) -> bool:
    # JSON may hold lone surrogates, which cannot be encoded.
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_int(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _bad(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.BAD_REQUEST, reason)
