"""Operator settings for the movement, backup and queueing of generations."""

from __future__ import annotations


class Policy:
    """Switches and limits; the defaults equal those of `deploy/policy.jsonc`.

    Attributes:
        moves: Whether runs are moved off an engine that is about to stop.
        backups: Whether engines keep copies of the memory of runs on other
            engines, which are extended as the runs add tokens.
        backup_fill: Fraction of an engine's memory up to which it accepts
            backups.
        crowded_backup_fill: The same fraction for backups of runs on an engine
            with more runs without a backup than can be moved within the
            notice period of the engine.
        backup_mean_fill: Fraction of the memory of all open engines that may
            be reserved before no more backups are made. Above it, calls would
            have to wait for memory that backups take.
        movable_runs: Number of runs that can be moved within the notice period
            of an engine.
        run_fill: Fraction of an engine's memory that new runs may take. The
            rest is reserved for runs that have to move.
        short_run_fill: The same fraction for runs that can be restarted on
            another engine. It may exceed 1, because these runs may wait in the
            engine for memory that will soon be free.
        wait_part: Fraction of the time left until a call is due that it may
            wait for room on an engine before it is refused.
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
