"""Names of the incarnations of a worker.

A worker's process may start again under the id that it had. It knows nothing
of before, so whatever is believed of a worker belongs to one incarnation: the
id together with the start of the process.
"""

_SEPARATOR = "@"


def build_incarnation(worker: str, born_ms: int | None) -> str:
    """Return the name of one incarnation.

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
    """Return the id that an incarnation shares with others.

    >>> find_worker("w1@1700000000000"), find_worker("w1")
    ('w1', 'w1')
    """
    worker, _, born = incarnation.rpartition(_SEPARATOR)
    return worker if worker and born.isdecimal() else incarnation
