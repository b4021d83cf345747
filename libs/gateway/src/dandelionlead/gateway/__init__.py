"""Forwards calls and token streams to endpoints of an operator's platform."""
