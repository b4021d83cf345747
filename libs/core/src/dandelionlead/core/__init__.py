"""Error kinds, clocks, event log, hashing and metrics for all libraries."""
