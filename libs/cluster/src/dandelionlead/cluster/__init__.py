"""Gossip between processes, copies of loads and tables, and read duty."""
