"""Heartbeats between processes, live peers, table copies and read duty."""
