"""Small deployment for the scripts of the third review.

A store, runners and a machine service behave as PROTOCOL.md says; entries are
the project's own processes.
"""
