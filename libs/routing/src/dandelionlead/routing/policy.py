"""Operator settings for the migration, backup and queueing of runs."""

from __future__ import annotations


class Policy:
    """Switches and limits; the defaults equal those of `deploy/policy.jsonc`.

    Attributes:
        moves: Whether runs are migrated off an engine that is about to stop.
        backups: Whether engines hold backups of runs on other engines: copies
            of the KV cache that are updated while the runs go on.
        backup_fill: Fraction of an engine's memory up to which it accepts
            backups.
        crowded_backup_fill: The same fraction for backups of runs on an engine
            that has at least `movable_runs` runs without a backup, because only
            `movable_runs` runs can be migrated within its notice period.
        backup_mean_fill: Fraction of the memory of all open engines that may
            be reserved; above it, no more backups are made, because calls
            would have to wait for the memory that backups take.
        movable_runs: Number of runs that can be migrated off an engine within
            its notice period, from its leaving notice until it stops.
        run_fill: Fraction of an engine's memory up to which it accepts new
            runs. The rest is reserved for runs that have to be migrated.
        short_run_fill: The same fraction for runs that can be restarted on
            another engine. It may exceed 1, because these runs may wait in the
            engine for memory that will soon be free.
        wait_part: Fraction of the time left until a call's deadline that the
            call may wait for room on an engine before it is rejected.
        endpoint_paces: Whether the measured speed of each engine counts when
            one is chosen.
        zone_share: Whether the share of the calls that leave their availability
            zone increases with the gain; if not, all leave for a small gain.
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
        "endpoint_paces",
        "zone_share",
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
        endpoint_paces: bool = True,
        zone_share: bool = True,
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
        self.endpoint_paces = endpoint_paces
        self.zone_share = zone_share
