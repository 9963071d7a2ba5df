"""Benchmarks of directors; the docstring of each module describes what it measures."""
