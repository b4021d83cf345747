"""Clients of the platform: tables, objects, instance list, weights."""
