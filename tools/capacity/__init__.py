"""Measurements of what each role costs."""
