"""Strict HTTP/1.1 channels, callers' listener and event streams."""
