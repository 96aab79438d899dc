"""Measurements: python -m bench."""
