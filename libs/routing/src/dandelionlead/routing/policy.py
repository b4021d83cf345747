"""What an operator may change in the way this system treats generations."""

from __future__ import annotations


class Policy:
    """Switches and limits; the defaults are those of `deploy/policy.jsonc`.

    Attributes:
        moves: Whether runs leave an engine that is about to end.
        backups: Whether engines keep growing copies of each other's runs.
        backup_fill: Part of an engine's memory up to which it takes backups.
        crowded_backup_fill: The same for runs on an engine that has more
            runs without a backup than can be moved within its notice.
        backup_mean_fill: Part of the memory of all open engines that may be
            spoken for before no more backups are made. Beyond it calls would
            wait for the room that backups take.
        movable_runs: How many runs can be moved within a notice.
        run_fill: Part of an engine's memory that new runs may take; the rest
            is left to runs that have to move.
        short_run_fill: The same for runs that can start anew elsewhere. They
            may wait in the engine for memory that is about to be free.
        wait_part: Part of the time that a call has left that it waits for
            room on an engine before it is refused.
    """

    __slots__ = (
        "moves",
        "backups",
        "backup_fill",
        "crowded_backup_fill",
        "backup_mean_fill",
        "movable_runs",
        "run_fill",
        "short_run_fill",
        "wait_part",
    )

    def __init__(
        self,
        *,
        moves: bool = True,
        backups: bool = True,
        backup_fill: float = 0.65,
        crowded_backup_fill: float = 0.85,
        backup_mean_fill: float = 0.7,
        movable_runs: int = 3,
        run_fill: float = 0.92,
        short_run_fill: float = 1.1,
        wait_part: float = 0.2,
    ) -> None:
        self.moves = moves
        self.backups = backups
        self.backup_fill = backup_fill
        self.crowded_backup_fill = crowded_backup_fill
        self.backup_mean_fill = backup_mean_fill
        self.movable_runs = movable_runs
        self.run_fill = run_fill
        self.short_run_fill = short_run_fill
        self.wait_part = wait_part
