"""What an entry costs when nothing happens: links, mesh, memory, store."""

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
    """Measure an owner with more and more workers, all else equal."""
    found = []
    for count in _WORKERS:
        found += _measure_owner(count, "6.0", f"{count} workers, lease 6 s")
    for lease_s in _LEASES[1:]:
        size = f"{_LEASE_WORKERS} workers, lease {float(lease_s):.0f} s"
        found += _measure_owner(_LEASE_WORKERS, lease_s, size)
    return found


def _measure_owner(count: int, lease_s: str, size: str) -> list[figures.Figure]:
    shape = cluster.Shape(
        entries=1,
        racks=0,
        runners=0,
        bulk_workers=count,
        settings=(("TASK_LEASE_S", lease_s),),
    )
    with clusters.run_cluster(shape) as held:
        if count:
            clusters.wait_for_workers(held, count)
        time.sleep(_SETTLE_S)
        window_s = max(_WINDOW_S, float(lease_s) / 3)
        usages = [
            clusters.measure_window(held, "e1", window_s)
            for _ in range(_REPETITIONS)
        ]
        memory = accounting.read_memory(held.processes.pid("e1"))
    return [
        _summarize_cpu("worker_link_cpu_percent", usages, size),
        _summarize_bytes("worker_link_bytes_per_s", usages, size),
        figures.Figure("worker_link_memory_mb", round(memory, 2), "MB", size),
    ]


def measure_mesh() -> list[figures.Figure]:
    """Measure entries alone: heartbeats in a full mesh, watches, memory."""
    found = []
    for count in _ENTRIES:
        shape = cluster.Shape(entries=count, racks=0, runners=0, settings=())
        with clusters.run_cluster(shape) as held:
            time.sleep(_SETTLE_S)
            calls = clusters.read_store_calls(held)
            usages = [
                clusters.measure_window(held, "e1", _WINDOW_S)
                for _ in range(_REPETITIONS)
            ]
            after = clusters.read_store_calls(held)
            memory = accounting.read_memory(held.processes.pid("e1"))
        size = f"{count} entries"
        made = _sum_calls(after) - _sum_calls(calls)
        rate = made / (_WINDOW_S * _REPETITIONS * count)
        found += [
            _summarize_cpu("mesh_cpu_percent", usages, size),
            _summarize_bytes("mesh_bytes_per_s_all", usages, size),
            figures.Figure("process_memory_mb", round(memory, 2), "MB", size),
            figures.Figure(
                "store_calls_per_entry_idle", round(rate, 3), "calls/s", size
            ),
        ]
    return found


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
    """Measure store calls of an owner beside an entry that owns nothing."""
    shape = cluster.Shape(
        entries=3, racks=1, workers_per_rack=1, runners=0, settings=()
    )
    with clusters.run_cluster(shape) as held:
        clusters.wait_for_workers(held, 1)
        time.sleep(_SETTLE_S)
        before = clusters.read_store_calls(held)
        time.sleep(_WINDOW_S * _REPETITIONS)
        after = clusters.read_store_calls(held)
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


def describe_vms(count: int) -> int:
    """Return the bytes of a VM list of `count` workers."""
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
    """Measure what one full reading of the VM list weighs."""
    return [
        figures.Figure(
            "vm_list_bytes", describe_vms(count), "B", f"{count} workers"
        )
        for count in (140, 700, 1400)
    ]
