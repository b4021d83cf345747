"""Runs a benchmark with several variants of the policy and compares scores.

Each variant runs in a copy of this repository that has its own
`deploy/policy.jsonc`. The benchmark is an external program, given by its path;
one run of it simulates one day of one site. Prints a table of the scores and
writes a plot.
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
# Fields of the policy file of each variant. The first variant is the baseline
# and uses the policy file as it is.
VARIANTS: dict[str, dict[str, object]] = {
    "as committed": {},
    "no backups": {"backups": False},
    "no moves": {"moves": False},
    "neither": {"moves": False, "backups": False},
}
_BAR_WIDTH_PX, _GROUP_GAP_PX, _PLOT_HEIGHT_PX, _LEGEND_HEIGHT_PX = (
    22,
    26,
    240,
    120,
)
_COLOURS = ("#3b6fb6", "#d98c3f", "#5a9e5f", "#a65a8b", "#777777")

_app = cyclopts.App(name="variants", help=__doc__, version_flags=())


class BenchResult:
    """Result of one benchmark run: one day at one site with one variant.

    Attributes:
        variant: Name of the variant.
        site_day: Name of the site and name of the day.
        score: Score of the benchmark, 0 to 1.
        violated_rules: Rules of the benchmark that were violated.
    """

    __slots__ = ("variant", "site_day", "score", "violated_rules")

    def __init__(
        self,
        variant: str,
        site_day: str,
        score: float,
        violated_rules: list[str],
    ) -> None:
        self.variant = variant
        self.site_day = site_day
        self.score = score
        self.violated_rules = violated_rules


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
    """Runs the benchmark for each site, day and variant.

    Args:
        bench: Path of the benchmark program.
        site: Files that describe one site each.
        day: Names of the days to run.
        seed: Seed of all days; each day has a seed of its own by default.
        plot: File that the plot (SVG) is written to.
        jobs: Number of benchmark runs at the same time.
        variant: Names of variants; all variants by default.

    Returns:
        1 if a rule of the benchmark was violated, else 0.
    """
    names = variant or list(VARIANTS)
    with tempfile.TemporaryDirectory(dir=_ROOT.parent) as folder:
        repositories = {
            name: _copy_repository(pathlib.Path(folder), name) for name in names
        }
        runs = [
            (name, path, day_name, seed)
            for path in site
            for day_name in day
            for name in names
        ]
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            results = list(
                pool.map(
                    lambda args: _run_bench(bench, repositories, *args), runs
                )
            )
    _print_table(names, results)
    plot.write_bytes(_draw_plot(names, results))
    return 1 if any(result.violated_rules for result in results) else 0


def _copy_repository(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Copies this repository and writes the policy of a variant into it."""
    target = folder / name.replace(" ", "-")
    git_files = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    for line in git_files.stdout.splitlines():
        source = _ROOT / line
        if source.is_file() and not line.startswith("journal/"):
            copied_file = target / line
            copied_file.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, copied_file)
    if VARIANTS[name]:
        (target / _POLICY).write_text(json.dumps(VARIANTS[name]))
    subprocess.run(["git", "init", "--quiet"], cwd=target, check=True)
    return target


def _run_bench(
    bench: pathlib.Path,
    repositories: dict[str, pathlib.Path],
    variant: str,
    site: pathlib.Path,
    day: str,
    seed: int | None,
) -> BenchResult:
    """Runs the benchmark in the repository of a variant; reads its report."""
    report_path = repositories[variant] / f"{site.stem}-{day}.json"
    command = [str(bench.resolve()), "run", str(site.resolve()), day]
    command += ["--no-cpu", "--report", str(report_path), "--jobs", "1"]
    command += ["--why", f"variant {variant}"]
    if seed is not None:
        command += ["--seed", str(seed)]
    subprocess.run(
        command,
        cwd=repositories[variant],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    fields = json.loads(report_path.read_text())
    violated_rules = [str(rule) for rule in fields["breaks"]]
    return BenchResult(
        variant, f"{site.stem} {day}", fields["G"], violated_rules
    )


def _list_site_days(results: list[BenchResult]) -> list[str]:
    return list(dict.fromkeys(result.site_day for result in results))


def _print_table(names: list[str], results: list[BenchResult]) -> None:
    results_by_key = {
        (result.variant, result.site_day): result for result in results
    }
    print(f"| day | {' | '.join(names)} |")
    print("|---" * (len(names) + 1) + "|")
    for site_day in _list_site_days(results):
        cells = [_format_cell(results_by_key[name, site_day]) for name in names]
        print(f"| {site_day} | {' | '.join(cells)} |")


def _format_cell(result: BenchResult) -> str:
    violations_text = (
        f" violated rules: {', '.join(result.violated_rules)}"
        if result.violated_rules
        else ""
    )
    return f"{result.score:.3f}{violations_text}"


def _draw_plot(names: list[str], results: list[BenchResult]) -> bytes:
    """Returns an SVG bar chart with one group of bars per site and day."""
    site_days = _list_site_days(results)
    scores_by_key = {
        (result.variant, result.site_day): result.score for result in results
    }
    group_width_px = _BAR_WIDTH_PX * len(names) + _GROUP_GAP_PX
    width = group_width_px * len(site_days) + _GROUP_GAP_PX
    height = _PLOT_HEIGHT_PX + _LEGEND_HEIGHT_PX
    svg = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        viewBox=f"0 0 {width} {height}",
    )
    for day_index, site_day in enumerate(site_days):
        left_px = _GROUP_GAP_PX + day_index * group_width_px
        for variant_index, name in enumerate(names):
            score = max(0.0, scores_by_key[name, site_day])
            x = left_px + variant_index * _BAR_WIDTH_PX
            _draw_bar(svg, x, score, _COLOURS[variant_index % len(_COLOURS)])
        _draw_text(svg, left_px, _PLOT_HEIGHT_PX + 16, site_day)
    for variant_index, name in enumerate(names):
        y = _PLOT_HEIGHT_PX + 36 + 16 * variant_index
        colour = _COLOURS[variant_index % len(_COLOURS)]
        _draw_text(svg, _GROUP_GAP_PX, y, name, colour)
    return ElementTree.tostring(svg)


def _draw_bar(
    svg: ElementTree.Element, x: int, score: float, colour: str
) -> None:
    bar_height_px = score * (_PLOT_HEIGHT_PX - 20)
    ElementTree.SubElement(
        svg,
        "rect",
        x=str(x),
        y=f"{_PLOT_HEIGHT_PX - bar_height_px:.1f}",
        width=str(_BAR_WIDTH_PX - 4),
        height=f"{bar_height_px:.1f}",
        fill=colour,
    )
    _draw_text(svg, x, int(_PLOT_HEIGHT_PX - bar_height_px) - 3, f"{score:.2f}")


def _draw_text(
    svg: ElementTree.Element, x: int, y: int, text: str, colour: str = "#222"
) -> None:
    text_element = ElementTree.SubElement(
        svg,
        "text",
        x=str(x),
        y=str(y),
        fill=colour,
        style="font-size:10px",
    )
    text_element.text = text


def main() -> int:
    """Runs the tool; returns the exit code."""
    return _app(result_action="return_value")


if __name__ == "__main__":
    sys.exit(main())
