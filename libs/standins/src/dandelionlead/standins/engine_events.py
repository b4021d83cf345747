"""Bytes of an engine's streamed events and of its complete answers."""

from __future__ import annotations

from typing import Any

from dandelionlead.standins import tokens

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class Writer:
    """Writes the events of one generation."""

    __slots__ = ("_id", "_length", "_head", "_middle", "_tail", "_last_tail")

    def __init__(
        self, generation_id: str, length: int, path: str, finish_reason: str
    ) -> None:
        """Prepares the constant parts of all events.

        Args:
            generation_id: The generation.
            length: Number of its tokens.
            path: Path that the caller asked, which selects the form.
            finish_reason: Reason that the last token's event gives.
        """
        self._id = generation_id
        self._length = length
        name = tokens.tag(generation_id)
        if path == CHAT_PATH:
            kind, opening, closing = "chat.completion.chunk", _DELTA, '"}'
        else:
            kind, opening, closing = "text_completion", _TEXT, '"'
        self._head = f"id: {generation_id}:"
        self._middle = (
            f'\ndata: {{"id":"{generation_id}","object":"{kind}",'
            f'"choices":[{{"index":0,{opening}{name}.'
        )
        end = f' {closing},"finish_reason":'
        self._tail = f"{end}null}}]}}\n\n"
        self._last_tail = f'{end}"{finish_reason}"}}]}}\n\n'

    def token(self, position: int) -> bytes:
        """Returns the event of one token."""
        tail = self._last_tail if position == self._length else self._tail
        text = f"{self._head}{position}{self._middle}{position}{tail}"
        return text.encode()

    def span(self, first: int, last: int) -> bytes:
        """Returns the events of the tokens from `first` to `last`."""
        if first == last:
            return self.token(first)
        return b"".join(self.token(at) for at in range(first, last + 1))

    def done(self) -> bytes:
        """Returns the event that ends the stream."""
        return f"{self._head}{self._length + 1}\ndata: [DONE]\n\n".encode()


def answer(
    generation_id: str,
    path: str,
    *,
    model: str,
    prompt_tokens: int,
    length: int,
    finish_reason: str,
) -> dict[str, Any]:
    """Returns the complete answer of a generation that was not streamed."""
    text = tokens.output_text(generation_id, length)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if path == CHAT_PATH:
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        kind = "text_completion"
        choice["text"] = text
    return {
        "id": generation_id,
        "object": kind,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": length,
            "total_tokens": prompt_tokens + length,
        },
    }


_DELTA = '"delta":{"content":"'
_TEXT = '"text":"'
