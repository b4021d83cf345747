"""Error kinds, clocks, event log, hashing and metrics of all libraries."""
