"""Command line: serves entries, and calls them for operators and callers."""
