"""Measurements of what each role costs; `tools/measure_capacity.py` runs them."""
