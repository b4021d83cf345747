"""Verdicts on versions, which are final for a rollout, and local shares."""

from __future__ import annotations

from collections.abc import Iterable


class Verdict:
    """Says that a version is bad; final for its rollout.

    Attributes:
        model: Model of the rollout.
        version: The version that is taken back.
        rollout_id: The rollout.
        reason: One sentence for operators.
    """

    __slots__ = ("model", "version", "rollout_id", "reason")

    def __init__(
        self, model: str, version: str, rollout_id: str, reason: str
    ) -> None:
        self.model = model
        self.version = version
        self.rollout_id = rollout_id
        self.reason = reason


class VerdictBook:
    """The verdicts that a process knows, its own and those of its peers."""

    def __init__(self) -> None:
        self._verdicts: dict[str, Verdict] = {}

    def add(self, verdict: Verdict) -> bool:
        """Adds a verdict; returns whether it is the first of its rollout."""
        if verdict.rollout_id in self._verdicts:
            return False
        self._verdicts[verdict.rollout_id] = verdict
        return True

    def merge(self, verdicts: Iterable[Verdict]) -> list[Verdict]:
        """Adds verdicts from a message; returns those that are new."""
        return [item for item in verdicts if self.add(item)]

    def get(self, rollout_id: str) -> Verdict | None:
        """Returns the verdict on a rollout, or None."""
        return self._verdicts.get(rollout_id)

    def for_message(self) -> list[Verdict]:
        """Returns all verdicts of rollouts that are kept."""
        return [self._verdicts[key] for key in sorted(self._verdicts)]

    def keep(self, rollout_ids: set[str]) -> None:
        """Forgets rollouts that the configuration no longer names."""
        self._verdicts = {
            key: item
            for key, item in self._verdicts.items()
            if key in rollout_ids
        }

    def share(self, rollout_id: str, row_share: float) -> float:
        """Returns the share to use here.

        Args:
            rollout_id: The rollout.
            row_share: Share in the rollout row, which only the lease holder
                raises. An entry never uses a higher one.
        """
        return 0.0 if rollout_id in self._verdicts else row_share
