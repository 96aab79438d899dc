"""Exit codes of the command line."""

import enum


class Exit(enum.IntEnum):
    """What a command came to."""

    OK = 0
    FAILED = 1
    WRONG_USAGE = 2
    REFUSED = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNREACHABLE = 6


_NOT_FOUND = 404
_CONFLICTS = (409, 412)
_FIRST_ERROR = 400


def choose_exit(status: int) -> Exit:
    """Return the exit code for an HTTP status.

    >>> choose_exit(412)
    <Exit.CONFLICT: 5>
    """
    if status < _FIRST_ERROR:
        return Exit.OK
    if status == _NOT_FOUND:
        return Exit.NOT_FOUND
    if status in _CONFLICTS:
        return Exit.CONFLICT
    return Exit.REFUSED
