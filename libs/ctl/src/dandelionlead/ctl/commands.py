"""Commands of `dandelionctl` that need no platform, and what others share."""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Iterable

import cyclopts
import urllib3

from dandelionlead.ctl import exits
from dandelionlead.ctl import story
from dandelionlead.ctl import table

ANSWER_LIMIT_S = 3.0

app = cyclopts.App(
    name="dandelionctl",
    help="Checks files, shows what the platform and the processes hold, "
    "and tells what became of a request. Exit codes: 0 done, 2 faulty file "
    "or command, 3 nothing found, 4 not reachable.",
    version_flags=(),
)
check = cyclopts.App(name="check", help="Checks a file; names all faults.")
show = cyclopts.App(name="show", help="Shows what the platform's store holds.")
app.command(check)
app.command(show)


@app.command
def state(*processes: str) -> exits.Exit:
    """Shows what each process has in force, and how old it is.

    Args:
        processes: IP:PORT of their `control` addresses.
    """
    rows = []
    code = exits.Exit.DONE
    for address in processes:
        found = _ask_state(address)
        if found is None:
            code = exits.Exit.UNREACHABLE
            continue
        rows.append(
            (
                found["process"],
                found["ready"],
                found["configuration_version"],
                found["orders"]["confirmed_s_ago"],
                found["endpoints_table"]["confirmed_s_ago"],
                ",".join(found["closed_zones"]) or "-",
                len(found["endpoints"]),
                len(found["peers"]),
            )
        )
    titles = (
        "process",
        "ready",
        "configuration",
        "orders s ago",
        "endpoints s ago",
        "closed zones",
        "endpoints",
        "peers",
    )
    if rows:
        print_lines(table.lines(titles, rows))
    return code


@app.command
def dump(process: str, /) -> exits.Exit:
    """Prints the whole state of a process as JSON.

    Args:
        process: IP:PORT of its `control` address.
    """
    found = _ask_state(process)
    if found is None:
        return exits.Exit.UNREACHABLE
    print(json.dumps(found, indent=2))
    return exits.Exit.DONE


@app.command
def trace(request_id: str, /, *logs: pathlib.Path) -> exits.Exit:
    """Tells what became of a request, from the logs of all processes.

    Args:
        request_id: Id of the caller's attempt.
        logs: Log files.
    """
    told = story.tell(request_id, logs)
    print_lines(story.lines(told))
    for text in told.unread:
        print(text, file=sys.stderr)
    if told.unread:
        return exits.Exit.UNREACHABLE
    if not told.events:
        print(f"no line of request {request_id}", file=sys.stderr)
        return exits.Exit.NOT_FOUND
    return exits.Exit.DONE


def report(file: pathlib.Path, faults: Iterable[object]) -> exits.Exit:
    """Prints the faults of a file; returns the exit code."""
    faults = list(faults)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return exits.Exit.FAULTY
    print(f"{file}: no faults")
    return exits.Exit.DONE


def run() -> int:
    """Runs one command; returns the exit code."""
    try:
        code = app(
            exit_on_error=False,
            print_error=False,
            result_action="return_value",
        )
    except cyclopts.CycloptsError as exc:
        print(f"dandelionctl: {exc}", file=sys.stderr)
        return exits.Exit.FAULTY
    # Help returns nothing.
    return exits.Exit.DONE if code is None else code


def _ask_state(address: str) -> dict[str, object] | None:
    """Returns a process's state; None, with a line why, if it has none."""
    try:
        reply = urllib3.request(
            "GET",
            f"http://{address}/state",
            timeout=ANSWER_LIMIT_S,
            retries=False,
        )
        if reply.status == 200:
            return json.loads(reply.data)
        reason = f"it answered {reply.status}"
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        reason = str(exc)
    print(f"{address}: {reason}", file=sys.stderr)
    return None


def print_lines(lines: Iterable[str]) -> None:
    """Prints each line."""
    for line in lines:
        print(line)
