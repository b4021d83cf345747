"""Command `trace`: events of one request from all processes, by time."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable
from collections.abc import Sequence

from dandelionlead.core import errors
from dandelionlead.ctl import answers
from dandelionlead.ctl import exits
from dandelionlead.ctl import peers
from dandelionlead.platform import api

_LINE = re.compile(r"ts=(\d+\.\d+) (event=.*)")
_PROCESS = re.compile(r"(?: |^)process=(\S+)")
# A log line has its time in microseconds; the ring has the whole float.
_TIME_DIGITS = 6
_NO_ANSWER = "it did not answer in time"


def run(
    request_id: str,
    platform: api.Platform,
    asked: peers.Peers,
    logs: Sequence[pathlib.Path] = (),
) -> answers.Answer:
    """Asks all listed processes and reads log files."""
    events: list[peers.Event] = []
    missing: list[str] = []
    listed = platform.instances.fetch()
    if isinstance(listed, errors.Failure):
        missing.append(f"The instance list: {answers.sentence(listed.reason)}")
        listed = []
    names = {item.control: item.name for item in listed}
    replies = asked.trace(list(names), request_id)
    for address, name in names.items():
        reply = replies.get(address)
        if isinstance(reply, list):
            events += reply
        else:
            reason = reply.reason if reply is not None else _NO_ANSWER
            missing.append(f"{name} at {address}: {answers.sentence(reason)}")
    for path in logs:
        found = read_log(path, request_id)
        if isinstance(found, errors.Failure):
            missing.append(f"{path}: {answers.sentence(found.reason)}")
        else:
            events += found
    return _answer(request_id, merge(events), missing)


def read_log(
    path: pathlib.Path, request_id: str
) -> list[peers.Event] | errors.Failure:
    """Returns the events of a request in a log file."""
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            return list(_parse(file, request_id))
    except OSError as exc:
        return errors.Failure(errors.Kind.BAD_REQUEST, f"{exc.strerror}")


def merge(events: Iterable[peers.Event]) -> list[peers.Event]:
    """Returns the events by time; one seen in two places is listed once."""
    distinct = {}
    for event in events:
        key = (round(event.at_unix_s, _TIME_DIGITS), event.line)
        distinct.setdefault(key, event)
    return [distinct[key] for key in sorted(distinct)]


def _parse(lines: Iterable[str], request_id: str) -> Iterable[peers.Event]:
    wanted = re.compile(rf"(?: |^)req={re.escape(request_id)}(?: |$)")
    for text in lines:
        match = _LINE.match(text.rstrip("\r\n"))
        if match is None or not wanted.search(match[2]):
            continue
        process = _PROCESS.search(match[2])
        yield peers.Event(
            process[1] if process else "", float(match[1]), match[2]
        )


def _answer(
    request_id: str, events: list[peers.Event], missing: list[str]
) -> answers.Answer:
    code = exits.DONE
    if not events:
        code = exits.NOT_FOUND
    if missing:
        code = exits.PARTIAL
    plain = {
        "result": {exits.DONE: "complete", exits.NOT_FOUND: "not_found"}.get(
            code, "partial"
        ),
        "request_id": request_id,
        "events": [event.to_plain() for event in events],
        "missing": missing,
    }
    lines = [f"{event.at_unix_s:.6f} {event.line}" for event in events]
    if not events:
        lines.append(f"No event of request {request_id} was found.")
    lines += [f"Missing: {item}" for item in missing]
    return answers.Answer(code, plain, lines)
