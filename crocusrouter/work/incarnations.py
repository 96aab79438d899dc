"""Names of the incarnations of a worker.

A worker's process may restart under the same worker id, and then knows nothing
of the earlier process. State is therefore kept for each incarnation, which is
identified by the worker id together with the start time of the process.
"""

_SEPARATOR = "@"


def build_incarnation(worker: str, born_ms: int | None) -> str:
    """Return the name of an incarnation.

    Args:
        worker: The worker's id, which its incarnations share.
        born_ms: Unix milliseconds at which the process started; None if each
            process has an id of its own.

    >>> build_incarnation("w1", 1700000000000)
    'w1@1700000000000'
    >>> build_incarnation("w1", None)
    'w1'
    """
    return worker if born_ms is None else f"{worker}{_SEPARATOR}{born_ms}"


def find_worker(incarnation: str) -> str:
    """Return the worker id that an incarnation shares with others.

    >>> find_worker("w1@1700000000000"), find_worker("w1")
    ('w1', 'w1')
    """
    worker, _, born = incarnation.rpartition(_SEPARATOR)
    return worker if worker and born.isdecimal() else incarnation
