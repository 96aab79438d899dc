"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    WRONG_USAGE = 2
    REFUSED = 3
    NOT_FOUND = 4
    CONFLICT = 5
    UNREACHABLE = 6


_NOT_FOUND_STATUS = 404
_CONFLICT_STATUSES = (409, 412)
_FIRST_ERROR_STATUS = 400


def choose_exit_code(status: int) -> ExitCode:
    """Return the exit code for an HTTP status.

    >>> choose_exit_code(412)
    <ExitCode.CONFLICT: 5>
    """
    if status < _FIRST_ERROR_STATUS:
        return ExitCode.OK
    if status == _NOT_FOUND_STATUS:
        return ExitCode.NOT_FOUND
    if status in _CONFLICT_STATUSES:
        return ExitCode.CONFLICT
    return ExitCode.REFUSED
