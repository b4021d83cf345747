"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections.abc import Callable

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)


class Registry:
    """Metrics by name, written in the Prometheus text format."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount

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

    def counter(self, name: str) -> int:
        """Returns the value of a counter; 0 if it was never added to."""
        return self._counters.get(name, 0)

    def quantile_s(self, name: str, quantile: float) -> float:
        """Returns a quantile (0 to 1) in seconds; 0 without records."""
        hist = self._histograms.get(name)
        if hist is None:
            return 0.0
        return hist.get_value_at_percentile(quantile * 100) / 1e6

    def render(self) -> str:
        """Returns all metrics as text, sorted by name."""
        lines = []
        for name, value in sorted(self._counters.items()):
            lines += [f"# TYPE {name} counter", f"{name} {value}"]
        for name, read in sorted(self._gauges.items()):
            lines += [f"# TYPE {name} gauge", f"{name} {read():g}"]
        for name, hist in sorted(self._histograms.items()):
            lines.append(f"# TYPE {name} summary")
            for quantile in _QUANTILES:
                value = hist.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(f'{name}{{quantile="{quantile}"}} {value:g}')
            lines.append(f"{name}_count {hist.get_total_count()}")
        return "\n".join(lines) + "\n"
