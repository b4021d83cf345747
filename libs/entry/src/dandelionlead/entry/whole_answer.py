"""Answer to a request without streaming, from the events of its generation."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from dandelionlead.core import clock

if TYPE_CHECKING:
    from dandelionlead.entry import generation


def build(data: bytes, call: generation.Call) -> dict[str, Any]:
    """Returns the answer of a request without streaming from its events.

    Args:
        data: All events of the generation, the last one included.
        call: The request.
    """
    chat = call.path.endswith("/chat/completions")
    texts = []
    finish_reason = "stop"
    count = 0
    for line in data.split(b"\n"):
        if not line.startswith(b"data: ") or line == b"data: [DONE]":
            continue
        choice = json.loads(line[6:])["choices"][0]
        part = choice["delta"].get("content") if chat else choice.get("text")
        if part:
            texts.append(part)
            count += 1
        finish_reason = choice.get("finish_reason") or finish_reason
    text = "".join(texts)
    choice = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = call.wanted.prompt_tokens
    return {
        "id": call.request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": int(clock.unix_time()),
        "model": call.wanted.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": count,
            "total_tokens": prompt_tokens + count,
        },
    }
