"""Benchmarks of the program; run them with python -m bench."""
