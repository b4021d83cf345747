"""Plays days of the users' bench with variants of the policy, side by side.

Each variant is a copy of this tree with another `deploy/policy.jsonc`. Prints
a table of worth and writes a plot. The bench's program is given by its path.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import Annotated
from xml.etree import ElementTree

import cyclopts

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_POLICY = pathlib.Path("deploy", "policy.jsonc")
# Policy fields of each variant; the first one is what the others differ from.
VARIANTS: dict[str, dict[str, object]] = {
    "as committed": {},
    "no backups": {"backups": False},
    "no moves": {"moves": False},
    "neither": {"moves": False, "backups": False},
}
_BAR_PX, _GAP_PX, _HEIGHT_PX, _LABEL_PX = 22, 26, 240, 120
_COLOURS = ("#3b6fb6", "#d98c3f", "#5a9e5f", "#a65a8b", "#777777")

_app = cyclopts.App(name="variants", help=__doc__, version_flags=())


class Played:
    """One day of one variant.

    Attributes:
        variant: Its name.
        day: Name of the day, with its site.
        worth: Worth, 0 to 1.
        broken: Rules that were broken.
    """

    __slots__ = ("variant", "day", "worth", "broken")

    def __init__(
        self, variant: str, day: str, worth: float, broken: list[str]
    ) -> None:
        self.variant = variant
        self.day = day
        self.worth = worth
        self.broken = broken


@_app.default
def run(
    *,
    bench: pathlib.Path,
    site: list[pathlib.Path],
    day: list[str],
    seed: int | None = None,
    plot: pathlib.Path = pathlib.Path("variants.svg"),
    jobs: int = 2,
    variant: Annotated[list[str] | None, cyclopts.Parameter()] = None,
) -> int:
    """Plays each day of each site with each variant.

    Args:
        bench: The bench's program.
        site: Site files.
        day: Names of days.
        seed: Seed of the days; each day's own without it.
        plot: Where the plot goes.
        jobs: Days that are played at the same time.
        variant: Names of variants; all without it.
    """
    names = variant or list(VARIANTS)
    with tempfile.TemporaryDirectory(dir=_ROOT.parent) as folder:
        trees = {name: _tree(pathlib.Path(folder), name) for name in names}
        plays = [
            (name, path, one, seed)
            for path in site
            for one in day
            for name in names
        ]
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            played = list(
                pool.map(lambda play: _play(bench, trees, *play), plays)
            )
    _print(names, played)
    plot.write_bytes(_plot(names, played))
    return 1 if any(item.broken for item in played) else 0


def _tree(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Copies this tree, with the variant's policy."""
    target = folder / name.replace(" ", "-")
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    for line in listed.stdout.splitlines():
        source = _ROOT / line
        if source.is_file() and not line.startswith("journal/"):
            copy = target / line
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, copy)
    if VARIANTS[name]:
        (target / _POLICY).write_text(json.dumps(VARIANTS[name]))
    subprocess.run(["git", "init", "--quiet"], cwd=target, check=True)
    return target


def _play(
    bench: pathlib.Path,
    trees: dict[str, pathlib.Path],
    name: str,
    site: pathlib.Path,
    day: str,
    seed: int | None,
) -> Played:
    report = trees[name] / f"{site.stem}-{day}.json"
    command = [str(bench.resolve()), "run", str(site.resolve()), day]
    command += ["--no-cpu", "--report", str(report), "--jobs", "1"]
    command += ["--why", f"variant {name}"]
    if seed is not None:
        command += ["--seed", str(seed)]
    subprocess.run(
        command, cwd=trees[name], check=True, stdout=subprocess.DEVNULL
    )
    fields = json.loads(report.read_text())
    broken = [str(item) for item in fields["breaks"]]
    return Played(name, f"{site.stem} {day}", fields["G"], broken)


def _days(played: list[Played]) -> list[str]:
    return list(dict.fromkeys(item.day for item in played))


def _print(names: list[str], played: list[Played]) -> None:
    found = {(item.variant, item.day): item for item in played}
    print(f"| day | {' | '.join(names)} |")
    print("|---" * (len(names) + 1) + "|")
    for day in _days(played):
        cells = [_cell(found[name, day]) for name in names]
        print(f"| {day} | {' | '.join(cells)} |")


def _cell(item: Played) -> str:
    broken = f" broken: {', '.join(item.broken)}" if item.broken else ""
    return f"{item.worth:.3f}{broken}"


def _plot(names: list[str], played: list[Played]) -> bytes:
    """Draws a group of bars for each day."""
    days = _days(played)
    found = {(item.variant, item.day): item.worth for item in played}
    group_px = _BAR_PX * len(names) + _GAP_PX
    width = group_px * len(days) + _GAP_PX
    height = _HEIGHT_PX + _LABEL_PX
    svg = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        viewBox=f"0 0 {width} {height}",
    )
    for place, day in enumerate(days):
        left = _GAP_PX + place * group_px
        for number, name in enumerate(names):
            worth = max(0.0, found[name, day])
            x = left + number * _BAR_PX
            _bar(svg, x, worth, _COLOURS[number % len(_COLOURS)])
        _text(svg, left, _HEIGHT_PX + 16, day)
    for number, name in enumerate(names):
        y = _HEIGHT_PX + 36 + 16 * number
        colour = _COLOURS[number % len(_COLOURS)]
        _text(svg, _GAP_PX, y, name, colour)
    return ElementTree.tostring(svg)


def _bar(svg: ElementTree.Element, x: int, worth: float, colour: str) -> None:
    size = worth * (_HEIGHT_PX - 20)
    ElementTree.SubElement(
        svg,
        "rect",
        x=str(x),
        y=f"{_HEIGHT_PX - size:.1f}",
        width=str(_BAR_PX - 4),
        height=f"{size:.1f}",
        fill=colour,
    )
    _text(svg, x, int(_HEIGHT_PX - size) - 3, f"{worth:.2f}")


def _text(
    svg: ElementTree.Element, x: int, y: int, text: str, colour: str = "#222"
) -> None:
    item = ElementTree.SubElement(
        svg, "text", x=str(x), y=str(y), fill=colour, style="font-size:10px"
    )
    item.text = text


def main() -> int:
    """Runs the tool; returns the exit code."""
    return _app(result_action="return_value")


if __name__ == "__main__":
    sys.exit(main())
