"""The demo: the whole path as plain processes on loopback addresses."""
