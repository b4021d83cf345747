"""Duties that one process at a time carries out for all."""
