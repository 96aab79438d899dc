"""Real processes for measurements."""

from collections.abc import Iterator
import contextlib
import pathlib
import tempfile
import time
from typing import Any

from bench import accounting
from demo import cluster

OWNED_LIMIT_S = 30.0
_POLL_S = 0.1


@contextlib.contextmanager
def run_cluster(shape: cluster.Shape) -> Iterator[cluster.Cluster]:
    """Run a cluster for the length of a block."""
    with tempfile.TemporaryDirectory() as folder:
        held = cluster.Cluster(pathlib.Path(folder), shape)
        try:
            held.start()
            yield held
        finally:
            held.processes.stop_all()


def find_owner(held: cluster.Cluster, entry: str) -> str:
    """Return who owns the data centre, as an entry sees it."""
    owners = held.fetch_status(entry)["owners"]
    return str(owners.get(cluster.DATA_CENTRE, {}).get("owner", ""))


def wait_for_workers(held: cluster.Cluster, count: int) -> str:
    """Wait until the owner knows `count` workers and return its name.

    Raises:
        TimeoutError: It doesn't within 30 seconds.
    """
    limit = time.monotonic() + OWNED_LIMIT_S
    while time.monotonic() < limit:
        for name in held.entries:
            for owned in held.fetch_status(name)["owned"]:
                if owned["workers"] >= count:
                    return name
        time.sleep(_POLL_S)
    raise TimeoutError(f"no owner knows {count} workers")


def measure_window(
    held: cluster.Cluster, name: str, seconds: float
) -> accounting.Usage:
    """Return what a process uses over a window of time."""
    pid = held.processes.pid(name)
    before = accounting.read_accounts(pid)
    time.sleep(seconds)
    return accounting.compare(before, accounting.read_accounts(pid))


def read_store_calls(held: cluster.Cluster) -> dict[str, Any]:
    """Return the calls that the key-value service has taken."""
    calls: dict[str, Any] = cluster.fetch(
        "GET", f"http://127.0.0.1:{held.store_port}/calls"
    )
    return calls
