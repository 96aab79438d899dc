"""Measures the idle cost of an entry: links, mesh, memory, store calls."""

import json
import time

from bench import accounting
from bench import clusters
from bench import figures
from demo import cluster

_WINDOW_S = 6.0
_SETTLE_S = 2.0
_REPETITIONS = 3
_WORKERS = (0, 70, 140, 280)
_ENTRIES = (1, 3, 6, 9)
_LEASES = ("6.0", "18.0", "30.0")
_LEASE_WORKERS = 140


def measure_worker_link() -> list[figures.Figure]:
    """Measure an owner with different numbers of workers and leases."""
    measured = []
    for count in _WORKERS:
        measured += _measure_owner(count, "6.0", f"{count} workers, lease 6 s")
    for lease_s in _LEASES[1:]:
        size = f"{_LEASE_WORKERS} workers, lease {float(lease_s):.0f} s"
        measured += _measure_owner(_LEASE_WORKERS, lease_s, size)
    return measured


def _measure_owner(count: int, lease_s: str, size: str) -> list[figures.Figure]:
    shape = cluster.Shape(
        entries=1,
        racks=0,
        runners=0,
        bulk_workers=count,
        settings=(("TASK_LEASE_S", lease_s),),
    )
    with clusters.run_cluster(shape) as demo_cluster:
        if count:
            clusters.wait_for_workers(demo_cluster, count)
        time.sleep(_SETTLE_S)
        window_s = max(_WINDOW_S, float(lease_s) / 3)
        usages = [
            clusters.measure_window(demo_cluster, "e1", window_s)
            for _ in range(_REPETITIONS)
        ]
        memory = accounting.read_memory(demo_cluster.processes.pid("e1"))
    return [
        _summarize_cpu("worker_link_cpu_percent", usages, size),
        _summarize_bytes("worker_link_bytes_per_s", usages, size),
        figures.Figure("worker_link_memory_mb", round(memory, 2), "MB", size),
    ]


def measure_mesh() -> list[figures.Figure]:
    """Measure entries without workers: mesh heartbeats, watches, memory."""
    measured = []
    for count in _ENTRIES:
        shape = cluster.Shape(entries=count, racks=0, runners=0, settings=())
        with clusters.run_cluster(shape) as demo_cluster:
            time.sleep(_SETTLE_S)
            before = clusters.read_store_calls(demo_cluster)
            usages = [
                clusters.measure_window(demo_cluster, "e1", _WINDOW_S)
                for _ in range(_REPETITIONS)
            ]
            after = clusters.read_store_calls(demo_cluster)
            memory = accounting.read_memory(demo_cluster.processes.pid("e1"))
        size = f"{count} entries"
        call_count = _sum_calls(after) - _sum_calls(before)
        rate = call_count / (_WINDOW_S * _REPETITIONS * count)
        measured += [
            _summarize_cpu("mesh_cpu_percent", usages, size),
            _summarize_bytes("mesh_bytes_per_s_all", usages, size),
            figures.Figure("process_memory_mb", round(memory, 2), "MB", size),
            figures.Figure(
                "store_calls_per_entry_idle", round(rate, 3), "calls/s", size
            ),
        ]
    return measured


def _sum_calls(calls: dict[str, int]) -> int:
    return sum(n for name, n in calls.items() if name != "waiting")


def _summarize_cpu(
    name: str, usages: list[accounting.Usage], size: str
) -> figures.Figure:
    values = [usage.cpu_percent for usage in usages]
    return figures.summarize(name, values, "% of a core", size)


def _summarize_bytes(
    name: str, usages: list[accounting.Usage], size: str
) -> figures.Figure:
    values = [usage.bytes_per_s for usage in usages]
    return figures.summarize(name, values, "B/s", size)


def measure_owned() -> list[figures.Figure]:
    """Measure the store calls of an idle cluster with one owner."""
    shape = cluster.Shape(
        entries=3, racks=1, workers_per_rack=1, runners=0, settings=()
    )
    with clusters.run_cluster(shape) as demo_cluster:
        clusters.wait_for_workers(demo_cluster, 1)
        time.sleep(_SETTLE_S)
        before = clusters.read_store_calls(demo_cluster)
        time.sleep(_WINDOW_S * _REPETITIONS)
        after = clusters.read_store_calls(demo_cluster)
    writes = (after["txn"] - before["txn"]) / (_WINDOW_S * _REPETITIONS)
    size = "1 data centre, TTL 2 s"
    return [
        figures.Figure(
            "owner_renewal_writes_per_s", round(writes, 3), "calls/s", size
        ),
        figures.Figure(
            "store_watches_waiting", after["waiting"], "calls", "3 entries"
        ),
    ]


def measure_vm_list_bytes(count: int) -> int:
    """Return the size of a VM list of `count` workers in bytes."""
    vm = {
        "name": "worker-0123",
        "role": "worker",
        "address": "10.10.10.10:10000",
        "data_centre": "liege",
        "rack": "r10",
        "accelerators": 2,
    }
    return len(json.dumps({"vms": [vm] * count}))


def measure_vm_list() -> list[figures.Figure]:
    """Measure the size of one full response with the VM list."""
    return [
        figures.Figure(
            "vm_list_bytes",
            measure_vm_list_bytes(count),
            "B",
            f"{count} workers",
        )
        for count in (140, 700, 1400)
    ]
