"""Calls the system: picks entries, retries what is safe, resumes streams."""

from __future__ import annotations

import functools
import json
import random
import time
import uuid
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import urllib3

from dandelionlead.client import addresses
from dandelionlead.client import answers
from dandelionlead.client import streams

CONNECT_S = 1.0
READ_S = 60.0
DEADLINE_S = 120.0
PAUSE_FIRST_S = 0.05
PAUSE_LONGEST_S = 2.0
_READ_BYTES = 65536

_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Client:
    """Library for callers; safe for use by several threads.

    Each request uses a connection of its own: a pooled connection that was
    closed meanwhile would leave it unknown whether the request arrived.

    Args:
        key: API key of the team.
        entries: Some addresses `ip:port` to start with.
        connect_s: Limit for opening a connection.
        read_s: Limit for each wait for a whole answer.
        rng: Source of random choices.
        clock: Monotonic seconds.
        sleep: Waits a number of seconds.
    """

    def __init__(
        self,
        key: str,
        entries: Sequence[str],
        *,
        connect_s: float = CONNECT_S,
        read_s: float = READ_S,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Connection": "close",
        }
        self._connect_s = connect_s
        self._read_s = read_s
        self._rng = rng or random.Random()
        self._clock = clock
        self._sleep = sleep
        self._http = urllib3.PoolManager(retries=False)
        self.addresses = addresses.AddressList(
            entries, self._fetch_addresses, clock=clock, rng=self._rng
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        headers: Mapping[str, str] | None = None,
        repeatable: bool = False,
        deadline_s: float = DEADLINE_S,
    ) -> answers.Answer | answers.Failure:
        """Makes a call and returns its whole answer.

        Args:
            method: HTTP method.
            path: Path, with a leading slash.
            body: Bytes, or an object that is sent as JSON.
            headers: Further headers.
            repeatable: The call may run more than once, so that it is sent
                again after a lost answer.
            deadline_s: Longest time for all tries together, in seconds.
        """
        return self._tries(
            method, path, body, headers, deadline_s, repeatable=repeatable
        )

    def order(
        self,
        path: str,
        body: Any,
        *,
        idempotency_key: str | None = None,
        headers: Mapping[str, str] | None = None,
        deadline_s: float = DEADLINE_S,
    ) -> answers.Answer | answers.Failure:
        """Makes a call that runs at most once, and repeats it with one key.

        The key is new unless it is given. A caller that repeats an order after
        a failure must give the key of the first call; the tries of such calls
        are not numbered, since the earlier ones are not known here.
        """
        numbered = idempotency_key is None
        key = idempotency_key or uuid.uuid4().hex
        return self._tries(
            "POST",
            path,
            body,
            dict(headers or {}) | {"Idempotency-Key": key},
            deadline_s,
            repeatable=True,
            numbered=numbered,
        )

    def stream(
        self,
        path: str,
        body: Mapping[str, Any],
        *,
        headers: Mapping[str, str] | None = None,
        deadline_s: float = DEADLINE_S,
    ) -> streams.Stream | answers.Failure:
        """Starts a streamed generation.

        It is started again only while it has certainly not run; from then on
        it is resumed, never started again.
        """
        tried: list[str] = []
        found = self._tries(
            "POST",
            path,
            dict(body) | {"stream": True},
            headers,
            deadline_s,
            repeatable=False,
            streamed=True,
            tried=tried,
        )
        if isinstance(found, answers.Failure):
            return found
        if isinstance(found, answers.Answer):
            return answers.Failure(
                "bad_answer",
                answers.UNKNOWN,
                "The answer is not an event stream.",
                status=found.status,
            )
        return streams.Stream(
            found,
            functools.partial(self._resume, tried),
            clock=self._clock,
            sleep=self._sleep,
        )

    def _tries(
        self,
        method: str,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None,
        deadline_s: float,
        *,
        repeatable: bool,
        numbered: bool = False,
        streamed: bool = False,
        tried: list[str] | None = None,
    ) -> answers.Answer | answers.Failure | urllib3.BaseHTTPResponse:
        ends_at = self._clock() + deadline_s
        data, sent = _encode(body, headers)
        tried = [] if tried is None else tried
        number = 0
        # An entry that refuses a later try as `not_run` may speak of this try
        # only, so an earlier one that may have run stays in doubt.
        in_doubt = False
        while True:
            address = self.addresses.pick(tried)
            tried.append(address)
            if numbered:
                sent["X-Order-Try"] = str(number + 1)
            left_s = max(0.1, ends_at - self._clock())
            found = self._send(
                method, address, path, data, sent, left_s, streamed
            )
            if not isinstance(found, answers.Failure):
                return found
            number += 1
            in_doubt = in_doubt or found.run != answers.NOT_RUN
            pause_s = self._pause_s(number, found)
            late = self._clock() + pause_s >= ends_at
            if late or not _may_repeat(found, repeatable):
                if in_doubt and found.run == answers.NOT_RUN:
                    found.run = answers.UNKNOWN
                return found
            self._sleep(pause_s)

    def _send(
        self,
        method: str,
        address: str,
        path: str,
        data: bytes | None,
        headers: Mapping[str, str],
        left_s: float,
        streamed: bool,
    ) -> answers.Answer | answers.Failure | urllib3.BaseHTTPResponse:
        read_s = streams.SILENCE_S if streamed else self._read_s
        timeout = urllib3.Timeout(
            connect=min(self._connect_s, left_s), read=min(read_s, left_s)
        )
        try:
            response = self._http.request(
                method,
                f"http://{address}{path}",
                body=data,
                headers=dict(headers) | self._headers,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
            kind = response.headers.get("Content-Type") or ""
            if streamed and kind.startswith("text/event-stream"):
                return response
            whole = self._read(response, self._clock() + left_s)
        except _NOT_SENT as exc:
            self.addresses.expire()
            return answers.Failure(
                "connection_refused", answers.NOT_RUN, f"{address}: {exc}"
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self.addresses.expire()
            return answers.Failure(
                "connection_lost", answers.UNKNOWN, f"{address}: {exc}"
            )
        answer = answers.Answer(
            response.status, response.headers, whole, address
        )
        failure = answers.failure_in(answer)
        return answer if failure is None else failure

    def _read(
        self, response: urllib3.BaseHTTPResponse, ends_at: float
    ) -> bytes:
        """Returns the whole body; raises if it is cut or late."""
        parts = []
        try:
            while part := response.read1(_READ_BYTES):
                parts.append(part)
                if self._clock() >= ends_at:
                    raise TimeoutError("the answer was not whole in time")
        finally:
            response.close()
        return b"".join(parts)

    def _resume(
        self, tried: list[str], headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse | answers.Failure:
        # Only the last entry is avoided: an earlier one may be back.
        address = self.addresses.pick(tried[-1:])
        tried[:] = [address]
        found = self._send(
            "GET", address, "/v1/streams", None, headers, self._read_s, True
        )
        if isinstance(found, answers.Answer):
            return answers.Failure(
                "bad_answer",
                answers.UNKNOWN,
                f"{address}: the answer is not an event stream.",
                status=found.status,
            )
        return found

    def _fetch_addresses(self, address: str) -> bytes | None:
        timeout = urllib3.Timeout(connect=self._connect_s, read=2.0)
        try:
            response = self._http.request(
                "GET",
                f"http://{address}/v1/addresses",
                headers=self._headers,
                timeout=timeout,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return response.data if response.status == 200 else None

    def _pause_s(self, number: int, failure: answers.Failure) -> float:
        step = min(PAUSE_LONGEST_S, PAUSE_FIRST_S * 2 ** min(number, 10))
        pause_s = self._rng.uniform(step / 2, step)
        return max(pause_s, failure.retry_after_s or 0.0)


def _encode(
    body: Any, headers: Mapping[str, str] | None
) -> tuple[bytes | None, dict[str, str]]:
    sent = dict(headers or {})
    if body is None or isinstance(body, bytes):
        return body, sent
    sent.setdefault("Content-Type", "application/json")
    return json.dumps(body).encode(), sent


def _may_repeat(failure: answers.Failure, repeatable: bool) -> bool:
    if failure.kind == "connection_refused":
        return True
    if failure.kind == "connection_lost":
        return repeatable
    if failure.retry_after_s is None:
        return False
    return failure.run == answers.NOT_RUN or repeatable
