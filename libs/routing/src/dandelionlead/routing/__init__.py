"""Decides where calls and generations go."""
