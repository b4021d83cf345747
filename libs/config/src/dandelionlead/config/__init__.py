"""Checks the settings of this system."""
