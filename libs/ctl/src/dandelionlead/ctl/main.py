"""The program `dandelionctl`."""

from __future__ import annotations

import json
import pathlib
import sys
import time
from collections.abc import Callable
from typing import Annotated

import cyclopts

from dandelionlead.config import model
from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.ctl import answers
from dandelionlead.ctl import apply as apply_run
from dandelionlead.ctl import applying
from dandelionlead.ctl import connect
from dandelionlead.ctl import exits
from dandelionlead.ctl import files
from dandelionlead.ctl import show as show_run
from dandelionlead.ctl import status as status_run
from dandelionlead.ctl import trace as trace_run

_app = cyclopts.App(
    name="dandelionctl",
    help="Checks, applies and shows the configuration of dandelionlead.",
    version_flags=(),
)

_Json = Annotated[bool, cyclopts.Parameter(name="--json", negative=())]
_Settings = Annotated[
    pathlib.Path,
    cyclopts.Parameter(name="--settings", env_var="DANDELION_SETTINGS"),
]


@_app.command
def check(
    file: pathlib.Path, /, *, process: bool = False, as_json: _Json = False
) -> int:
    """Checks a file and reports all its faults.

    Args:
        file: Operators' file.
        process: Check a process's settings file instead.
        as_json: Print JSON.
    """
    load = files.process if process else files.operators
    found = load(file)
    if isinstance(found, list):
        return _print(answers.of_faults(found), as_json)
    answer = answers.Answer(
        exits.DONE,
        {"result": "valid", "file": str(file)},
        [f"{file}: no faults."],
    )
    return _print(answer, as_json)


@_app.command
def apply(
    file: pathlib.Path,
    /,
    *,
    settings: _Settings,
    if_version: int | None = None,
    limit_s: float = apply_run.DEFAULT_LIMIT_S,
    as_json: _Json = False,
) -> int:
    """Makes a file the accepted configuration.

    Args:
        file: Operators' file.
        settings: Settings file with the platform's URL and the peer key.
        if_version: Apply only if this version is the accepted one.
        limit_s: Seconds for all attempts to write it.
        as_json: Print JSON.
    """
    content = files.operators(file)
    if isinstance(content, list):
        return _print(answers.of_faults(content), as_json)
    timing = apply_run.Timing(clock.boottime, time.sleep, limit_s)
    return _run(
        settings,
        as_json,
        lambda cfg: applying.run(
            content,
            connect.to_platform(cfg),
            connect.to_peers(cfg),
            timing,
            if_version=if_version,
        ),
    )


@_app.command
def show(*, settings: _Settings, as_json: _Json = False) -> int:
    """Shows the accepted head and its content.

    Args:
        settings: Settings file with the platform's URL and the peer key.
        as_json: Print JSON.
    """
    return _run(
        settings,
        as_json,
        lambda cfg: show_run.run(connect.to_platform(cfg)),
    )


@_app.command
def status(*, settings: _Settings, as_json: _Json = False) -> int:
    """Shows availability zones and rollouts, with reasons.

    Args:
        settings: Settings file with the platform's URL and the peer key.
        as_json: Print JSON.
    """
    return _run(
        settings,
        as_json,
        lambda cfg: status_run.run(connect.to_platform(cfg)),
    )


@_app.command
def dump(
    address: str, /, *, settings: _Settings, as_json: _Json = False
) -> int:
    """Shows the state of one process.

    Args:
        address: Its control address, ip:port.
        settings: Settings file with the platform's URL and the peer key.
        as_json: Print JSON.
    """
    return _run(settings, as_json, lambda cfg: _dump(cfg, address))


@_app.command
def trace(
    request_id: str,
    /,
    *,
    settings: _Settings,
    log: tuple[pathlib.Path, ...] = (),
    as_json: _Json = False,
) -> int:
    """Shows what each process did with one request, by time.

    Args:
        request_id: The request's id, as in X-Request-Id.
        settings: Settings file with the platform's URL and the peer key.
        log: Log file to read as well; may be given several times.
        as_json: Print JSON.
    """
    return _run(
        settings,
        as_json,
        lambda cfg: trace_run.run(
            request_id, connect.to_platform(cfg), connect.to_peers(cfg), log
        ),
    )


def main(args: list[str]) -> int:
    """Runs one command and returns its exit code."""
    try:
        result = _app(args, exit_on_error=False, result_action="return_value")
    except cyclopts.CycloptsError:
        return exits.USAGE
    return result if isinstance(result, int) else exits.DONE


def run() -> None:
    """Entry point of the program."""
    sys.exit(main(sys.argv[1:]))


def _run(
    settings: pathlib.Path,
    as_json: bool,
    command: Callable[[model.Process], answers.Answer],
) -> int:
    """Runs a command with the settings of a file and prints its answer."""
    cfg = files.process(settings)
    if isinstance(cfg, list):
        return _print(answers.of_faults(cfg), as_json)
    return _print(command(cfg), as_json)


def _dump(cfg: model.Process, address: str) -> answers.Answer:
    text = connect.to_peers(cfg).dump(address)
    if isinstance(text, errors.Failure):
        return answers.of_failure("The dump failed", text)
    try:
        state = json.loads(text)
    except ValueError as exc:
        failure = errors.Failure(
            errors.Kind.INTERNAL, f"the dump is not JSON: {exc}"
        )
        return answers.of_failure("The dump failed", failure)
    lines = [json.dumps(state, indent=2)]
    return answers.Answer(exits.DONE, {"result": "shown", "dump": state}, lines)


def _print(answer: answers.Answer, as_json: bool) -> int:
    print(answer.text(as_json=as_json))
    return answer.code


if __name__ == "__main__":
    run()
