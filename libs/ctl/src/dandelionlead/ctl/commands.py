"""Commands of `dandelionctl` that do not read the platform's store.

Also defines the cyclopts application, to which the program `dandelionctl` adds
the commands that read the store, and the functions that these commands and the
ones in this module share.
"""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Iterable

import cyclopts
import urllib3

from dandelionlead.ctl import exit_codes
from dandelionlead.ctl import request_trace
from dandelionlead.ctl import table

# Timeout of a request to a process or to the platform's store.
RESPONSE_TIMEOUT_S = 3.0

app = cyclopts.App(
    name="dandelionctl",
    help="Checks files, shows data of the platform and of processes, and "
    "traces requests through log files. Exit codes: 0 done, 2 faulty file "
    "or command, 3 nothing found, 4 not reachable.",
    version_flags=(),
)
check_app = cyclopts.App(
    name="check", help="Checks a file and lists all faults."
)
show_app = cyclopts.App(name="show", help="Shows data of the platform's store.")
app.command(check_app)
app.command(show_app)


@app.command
def state(*processes: str) -> exit_codes.ExitCode:
    """Shows which data each process uses, and the age of that data.

    The data are the configuration, the operator's orders and the endpoints.
    The last columns list rows of the store whose present version is not valid,
    and the services that the process does not reach: `cut_off` if its peers
    reach them, `down` if nobody does.

    Args:
        processes: `control` address (IP:PORT) of each process.
    """
    rows = []
    exit_code = exit_codes.ExitCode.DONE
    for address in processes:
        process_state = _fetch_state(address)
        if process_state is None:
            exit_code = exit_codes.ExitCode.UNREACHABLE
            continue
        rows.append(
            (
                process_state["process"],
                process_state["ready"],
                process_state["configuration_version"],
                process_state["orders"]["confirmed_s_ago"],
                process_state["endpoints_table"]["confirmed_s_ago"],
                ",".join(process_state["closed_zones"]) or "-",
                len(process_state["endpoints"]),
                len(process_state["peers"]),
                ",".join(process_state.get("unreadable_rows", ())) or "-",
                _format_reach(process_state.get("reach", {})),
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
        "unreadable rows",
        "not reached",
    )
    if rows:
        print_lines(table.format_table(titles, rows))
    return exit_code


@app.command
def peers(process: str, /) -> exit_codes.ExitCode:
    """Shows what a process knows of the others, by availability zone.

    Beats are signs of life that processes pass on. If the oldest beat of a zone
    is some seconds old, news to or from that zone are late.

    Args:
        process: `control` address (IP:PORT) of the process.
    """
    process_state = _fetch_state(process)
    if process_state is None:
        return exit_codes.ExitCode.UNREACHABLE
    by_zone: dict[str, list[dict[str, object]]] = {}
    for peer in process_state["peers"]:
        by_zone.setdefault(peer["availability_zone"], []).append(peer)
    rows = []
    for zone, members in sorted(by_zone.items()):
        ages_s = sorted(peer["beat_s_ago"] for peer in members)
        rows.append(
            (
                zone,
                len(members),
                sum(peer["ready"] for peer in members),
                ages_s[len(ages_s) // 2],
                ages_s[-1],
                ",".join(
                    sorted(
                        peer["name"]
                        for peer in members
                        if not peer["reads_store"]
                    )
                )
                or "-",
            )
        )
    titles = (
        "zone",
        "live",
        "ready",
        "median beat s ago",
        "oldest beat s ago",
        "turned away by the store",
    )
    if not rows:
        print(f"{process}: knows no other process", file=sys.stderr)
        return exit_codes.ExitCode.NOT_FOUND
    print_lines(table.format_table(titles, rows))
    return exit_codes.ExitCode.DONE


@app.command
def dump(process: str, /) -> exit_codes.ExitCode:
    """Prints the whole state of one process as JSON.

    Args:
        process: `control` address (IP:PORT) of the process.
    """
    process_state = _fetch_state(process)
    if process_state is None:
        return exit_codes.ExitCode.UNREACHABLE
    print(json.dumps(process_state, indent=2))
    return exit_codes.ExitCode.DONE


@app.command
def trace(request_id: str, /, *logs: pathlib.Path) -> exit_codes.ExitCode:
    """Shows the events of one request from the logs of all processes.

    Args:
        request_id: Request id of the caller's attempt.
        logs: Log files of the processes.
    """
    collected_trace = request_trace.trace_request(request_id, logs)
    print_lines(request_trace.format_trace(collected_trace))
    for text in collected_trace.read_errors:
        print(text, file=sys.stderr)
    if collected_trace.read_errors:
        return exit_codes.ExitCode.UNREACHABLE
    if not collected_trace.events:
        print(f"no log line of request {request_id} found", file=sys.stderr)
        return exit_codes.ExitCode.NOT_FOUND
    return exit_codes.ExitCode.DONE


def print_faults(
    file: pathlib.Path, faults: Iterable[object]
) -> exit_codes.ExitCode:
    """Prints the faults of a file to standard error, one per line.

    Prints a line to standard output instead if the file has no faults.

    Args:
        file: The file that was checked.
        faults: Faults that were found.

    Returns:
        `FAULTY` if there are faults, else `DONE`.
    """
    faults = list(faults)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return exit_codes.ExitCode.FAULTY
    print(f"{file}: no faults")
    return exit_codes.ExitCode.DONE


def run() -> int:
    """Runs the command given on the command line; returns its exit code.

    The exit code for a faulty command line is `FAULTY`; the fault is printed to
    standard error.
    """
    try:
        exit_code = app(
            exit_on_error=False,
            print_error=False,
            result_action="return_value",
        )
    except cyclopts.CycloptsError as exc:
        print(f"dandelionctl: {exc}", file=sys.stderr)
        return exit_codes.ExitCode.FAULTY
    # The command that prints the help returns None.
    return exit_codes.ExitCode.DONE if exit_code is None else exit_code


def _format_reach(reach: dict[str, str]) -> str:
    """Returns the services that a process does not reach, and why."""
    unreached = [
        f"{service}:{state}"
        for service, state in sorted(reach.items())
        if state in ("cut_off", "down")
    ]
    return ",".join(unreached) or "-"


def _fetch_state(address: str) -> dict[str, object] | None:
    """Fetches the state of a process.

    Args:
        address: `control` address (IP:PORT) of the process.

    Returns:
        The state, or None if it could not be fetched; the reason is then
        printed to standard error.
    """
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}/state",
            timeout=RESPONSE_TIMEOUT_S,
            retries=False,
        )
        if response.status == 200:
            return json.loads(response.data)
        reason = f"HTTP status {response.status}"
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        reason = str(exc)
    print(f"{address}: {reason}", file=sys.stderr)
    return None


def print_lines(lines: Iterable[str]) -> None:
    """Prints lines to standard output."""
    for line in lines:
        print(line)
