"""Demo of the whole system with local processes on loopback addresses."""
