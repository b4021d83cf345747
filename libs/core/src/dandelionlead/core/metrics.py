"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections.abc import Callable

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)


class Registry:
    """Metrics by name, written in the Prometheus text format.

    Args:
        help_texts: What each metric means, by its name without labels. Names
            end with their unit.
    """

    def __init__(self, help_texts: dict[str, str]) -> None:
        self._help = help_texts
        self._counters: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, *, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        series = self._counters.setdefault(name, {})
        key = ",".join(f'{label}="{labels[label]}"' for label in sorted(labels))
        series[key] = series.get(key, 0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a value that is read when the metrics are asked for."""
        self._gauges[name] = read

    def record(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        hist = self._histograms.get(name)
        if hist is None:
            hist = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[name] = hist
        hist.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def render(self) -> str:
        """Returns all metrics as text, sorted by name."""
        lines = []
        for name, series in sorted(self._counters.items()):
            lines += self._head(name, "counter")
            for labels, value in sorted(series.items()):
                shown = f"{{{labels}}}" if labels else ""
                lines.append(f"{name}{shown} {value}")
        for name, read in sorted(self._gauges.items()):
            lines += [*self._head(name, "gauge"), f"{name} {read():g}"]
        for name, hist in sorted(self._histograms.items()):
            lines += self._head(name, "summary")
            for quantile in _QUANTILES:
                value = hist.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f'{name}{{quantile="{quantile}"}} {value:g}')
            lines.append(f"{name}_count {hist.get_total_count()}")
        return "\n".join(lines) + "\n"

    def _head(self, name: str, kind: str) -> list[str]:
        return [f"# HELP {name} {self._help[name]}", f"# TYPE {name} {kind}"]
