"""Runs clusters of real processes and reads their usage."""

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
    """Run a cluster while the context is open."""
    with tempfile.TemporaryDirectory() as folder:
        demo_cluster = cluster.Cluster(pathlib.Path(folder), shape)
        try:
            demo_cluster.start()
            yield demo_cluster
        finally:
            demo_cluster.processes.stop_all()


def find_owner(demo_cluster: cluster.Cluster, entry: str) -> str:
    """Return the owner of the data centre as one entry reports it."""
    owners = demo_cluster.fetch_status(entry)["owners"]
    return str(owners.get(cluster.DATA_CENTRE, {}).get("owner", ""))


def wait_for_workers(demo_cluster: cluster.Cluster, count: int) -> str:
    """Wait until the owner knows `count` workers and return its name.

    Raises:
        TimeoutError: No owner knows them within 30 seconds.
    """
    deadline = time.monotonic() + OWNED_LIMIT_S
    while time.monotonic() < deadline:
        for name in demo_cluster.entries:
            for owned in demo_cluster.fetch_status(name)["owned"]:
                if owned["workers"] >= count:
                    return name
        time.sleep(_POLL_S)
    raise TimeoutError(f"no owner knows {count} workers")


def measure_window(
    demo_cluster: cluster.Cluster, name: str, seconds: float
) -> accounting.Usage:
    """Return the usage of a process over some seconds."""
    pid = demo_cluster.processes.pid(name)
    before = accounting.read_accounts(pid)
    time.sleep(seconds)
    return accounting.compare(before, accounting.read_accounts(pid))


def read_store_calls(demo_cluster: cluster.Cluster) -> dict[str, Any]:
    """Return the number of calls that the key-value service served, by kind."""
    calls: dict[str, Any] = cluster.fetch(
        "GET", f"http://127.0.0.1:{demo_cluster.store_port}/calls"
    )
    return calls
