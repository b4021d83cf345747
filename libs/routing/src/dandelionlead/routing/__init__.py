"""Routing decisions: which endpoint serves each call or run."""
