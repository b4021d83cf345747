"""Reads and checks policy files in JSON with comments."""
