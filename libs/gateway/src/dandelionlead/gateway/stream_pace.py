"""Measures how fast a generation's events arrive, and when it is silent."""

from __future__ import annotations

from dandelionlead.core import clock

# A run whose KV cache is also on another engine is resumed there once its
# present engine has sent nothing for this multiple of the mean gap between
# writes, clamped to the two limits below. MIN_SILENCE_S is low enough that the
# whole gap stays shorter than what callers count as a stall.
SILENCE_GAP_FACTOR = 3.0
MIN_SILENCE_S = 0.12
MAX_SILENCE_S = 0.8
# Weight of the newest gap in the moving average of gaps.
_GAP_WEIGHT = 0.1


class StreamPace:
    """Times of the events of one generation.

    Attributes:
        last_progress_s: Instant of the last complete event of the present
            engine, or of the start of its response, in seconds.
        longest_gap_s: Longest time between two writes to the caller, in
            seconds.
    """

    __slots__ = (
        "last_progress_s",
        "longest_gap_s",
        "_last_write_s",
        "_mean_gap_s",
        "_silence_factor",
    )

    def __init__(self) -> None:
        self.last_progress_s = 0.0
        self.longest_gap_s = 0.0
        self._last_write_s = 0.0
        self._mean_gap_s = MIN_SILENCE_S / SILENCE_GAP_FACTOR
        self._silence_factor = 1.0

    def record_progress(self) -> None:
        """Records that the engine has made progress now."""
        self.last_progress_s = clock.boottime()

    def record_start(self, now_s: float) -> None:
        """Records that the response to the caller starts now."""
        self._last_write_s = now_s

    def record_kept(self) -> None:
        """Records that the silent engine keeps the run.

        Until its next event, the silence after which it is asked again is
        twice as long each time.
        """
        self._silence_factor *= 2.0

    def record_write(self) -> None:
        """Records that events are written to the caller now."""
        now_s = clock.boottime()
        gap_s = now_s - self._last_write_s
        self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_write_s = now_s
        self._silence_factor = 1.0
        self._mean_gap_s += _GAP_WEIGHT * (gap_s - self._mean_gap_s)

    def compute_silence_timeout_s(self) -> float:
        """Returns after how many seconds without an event a run is resumed."""
        timeout_s = max(MIN_SILENCE_S, SILENCE_GAP_FACTOR * self._mean_gap_s)
        return min(MAX_SILENCE_S, timeout_s * self._silence_factor)

    def is_silent(self) -> bool:
        """Returns whether no event has been complete for that time."""
        silent_s = clock.boottime() - self.last_progress_s
        return silent_s > self.compute_silence_timeout_s()
