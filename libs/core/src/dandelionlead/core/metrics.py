"""Collects the counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections.abc import Callable

from hdrh import histogram

_MIN_DURATION_US = 1
_MAX_DURATION_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)


class Registry:
    """Metrics by name, rendered in the Prometheus text format.

    Args:
        help_texts: Description of each metric by its name without labels. Each
            name ends with the unit of the metric.
    """

    def __init__(self, help_texts: dict[str, str]) -> None:
        self._help_texts = help_texts
        self._counters: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, *, amount: int = 1, **labels: str) -> None:
        """Increments a counter.

        Args:
            name: Name of the metric.
            amount: Increment, 0 or more.
            **labels: Values of the labels by label name.
        """
        series = self._counters.setdefault(name, {})
        key = ",".join(f'{label}="{labels[label]}"' for label in sorted(labels))
        series[key] = series.get(key, 0) + amount

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge.

        Args:
            name: Name of the metric.
            read: Called at each `render`; returns the current value.
        """
        self._gauges[name] = read

    def record_duration(self, name: str, seconds: float) -> None:
        """Records a duration in a histogram.

        Args:
            name: Name of the metric.
            seconds: The duration in seconds. Less than a microsecond counts as
                one microsecond; a duration beyond the range of the histogram (a
                little more than an hour) is not recorded.
        """
        hist = self._histograms.get(name)
        if hist is None:
            hist = histogram.HdrHistogram(
                _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[name] = hist
        hist.record_value(max(_MIN_DURATION_US, int(seconds * 1e6)))

    def render(self) -> str:
        """Returns all metrics as text.

        The text lists counters, then gauges, then histograms, each group sorted
        by name. A histogram is rendered as a summary: its quantiles in seconds
        and the number of recorded durations.

        Raises:
            KeyError: If a metric has no help text.
        """
        lines = []
        for name, series in sorted(self._counters.items()):
            lines += self._build_header(name, "counter")
            for labels, value in sorted(series.items()):
                label_block = f"{{{labels}}}" if labels else ""
                lines.append(f"{name}{label_block} {value}")
        for name, read in sorted(self._gauges.items()):
            lines += [*self._build_header(name, "gauge"), f"{name} {read():g}"]
        for name, hist in sorted(self._histograms.items()):
            lines += self._build_header(name, "summary")
            for quantile in _QUANTILES:
                value = hist.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f'{name}{{quantile="{quantile}"}} {value:g}')
            lines.append(f"{name}_count {hist.get_total_count()}")
        return "\n".join(lines) + "\n"

    def _build_header(self, name: str, metric_type: str) -> list[str]:
        return [
            f"# HELP {name} {self._help_texts[name]}",
            f"# TYPE {name} {metric_type}",
        ]
