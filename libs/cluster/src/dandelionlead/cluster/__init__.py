"""Heartbeats, roster, copies of tables and reading duties of peers."""
