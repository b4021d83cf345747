"""Reads and checks configuration files in JSON with comments."""
