"""Runs stand-ins and entries as processes, for the demo, tests and bench."""

import dataclasses
import json
import pathlib
import time
from typing import Any
import urllib.request

from demo import processes
from standins import ports

MESH_SECRET = "demo-mesh-secret"
OPERATOR_KEY = "demo-operator-key"
DATA_CENTRE = "liege"
_READY_LIMIT_S = 20.0
_POLL_S = 0.05
_BULK_WORKERS_PER_RACK = 14


@dataclasses.dataclass(frozen=True)
class Shape:
    """Number of processes in a cluster, and settings of its entries."""

    entries: int = 3
    racks: int = 2
    workers_per_rack: int = 3
    accelerators: int = 8
    runners: int = 4
    slots: int = 8
    lag_s: float = 0.5
    bulk_workers: int = 0
    bulk_accelerators: int = 1
    settings: tuple[tuple[str, str], ...] = (
        ("OWNER_TTL_S", "1.0"),
        ("TASK_LEASE_S", "3.0"),
        ("VMS_POLL_S", "0.25"),
        ("HEARTBEAT_S", "0.5"),
    )

    @property
    def task_lease_s(self) -> float:
        """Lease of tasks in seconds."""
        return float(dict(self.settings).get("TASK_LEASE_S", "6.0"))


class Cluster:
    """Processes of one cluster on loopback ports."""

    def __init__(self, log_folder: pathlib.Path, shape: Shape) -> None:
        self.shape = shape
        self.processes = processes.Processes(log_folder)
        workers = shape.racks * shape.workers_per_rack
        single_port_count = 2 + workers + shape.runners + 2 * shape.entries
        free_ports = ports.reserve_ports(single_port_count + shape.bulk_workers)
        self.store_port, self.vms_port, *unassigned_ports = free_ports
        self.workers = {
            f"w{i + 1}": unassigned_ports.pop() for i in range(workers)
        }
        self.bulk = [unassigned_ports.pop() for _ in range(shape.bulk_workers)]
        self.runners = {
            f"run{i + 1}": unassigned_ports.pop() for i in range(shape.runners)
        }
        self.entries = {
            f"e{i + 1}": (unassigned_ports.pop(), unassigned_ports.pop())
            for i in range(shape.entries)
        }

    def start(self) -> None:
        """Start all processes and wait until the entries know all workers.

        Raises:
            TimeoutError: A process isn't ready in time, or an entry doesn't
                list all workers within 20 seconds.
        """
        self._start_standins()
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_ready(name)
        for name in self.entries:
            self._wait_for_workers(name)

    def start_entry(self, name: str) -> None:
        """Start one entry process."""
        listen, mesh_listen = self.entries[name]
        settings = {
            "NAME": name,
            "DATA_CENTRE": DATA_CENTRE,
            "LISTEN": f"127.0.0.1:{listen}",
            "MESH_LISTEN": f"127.0.0.1:{mesh_listen}",
            "STORE_URL": f"http://127.0.0.1:{self.store_port}",
            "VMS_URL": f"http://127.0.0.1:{self.vms_port}",
            "MESH_SECRET": MESH_SECRET,
            "OPERATOR_KEY": OPERATOR_KEY,
        } | dict(self.shape.settings)
        env = {f"CROCUSROUTER_{key}": text for key, text in settings.items()}
        self.processes.start(name, "crocusrouter", "serve", **env)

    def url(self, name: str) -> str:
        """Return the URL of an entry."""
        return f"http://127.0.0.1:{self.entries[name][0]}"

    def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready.

        Raises:
            TimeoutError: The entry is not ready within 20 seconds.
        """
        deadline = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < deadline:
            try:
                fetch("GET", f"{self.url(name)}/readyz")
                return
            except OSError:
                time.sleep(_POLL_S)
        raise TimeoutError(f"entry {name} is not ready")

    def _wait_for_workers(self, name: str) -> None:
        """Wait until an entry has read a VM list that has all workers.

        An entry is ready once it has read the list, which shows VMs only
        some time after they were added.
        """
        expected = len(self.workers) + len(self.bulk)
        deadline = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < deadline:
            if self._count_listed_workers(name) == expected:
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f"entry {name} doesn't list {expected} workers")

    def _count_listed_workers(self, name: str) -> int:
        rows = self._fetch_as_operator(name, "/v1/data-centres")["data_centres"]
        return sum(row["workers"] for row in rows)

    def fetch_status(self, name: str) -> dict[str, Any]:
        """Return an entry's status."""
        return self._fetch_as_operator(name, "/v1/status")

    def _fetch_as_operator(self, name: str, path: str) -> dict[str, Any]:
        key = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        document: dict[str, Any] = fetch(
            "GET", f"{self.url(name)}{path}", headers=key
        )
        return document

    def put_template(self, document: dict[str, Any], entry: str) -> int:
        """Write a template through an entry; return the revision."""
        reply: dict[str, int] = fetch(
            "PUT",
            f"{self.url(entry)}/v1/templates/{document['customer']}",
            document,
            {"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return reply["revision"]

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the VM list, as the platform would."""
        fetch("DELETE", f"http://127.0.0.1:{self.vms_port}/v1/vms/{name}")

    def _start_standins(self) -> None:
        start = self.processes.start
        start("store", "standins", "store", "--port", str(self.store_port))
        lag = ("--lag-s", str(self.shape.lag_s))
        start("vms", "standins", "vms", "--port", str(self.vms_port), *lag)
        for name, port in self.workers.items():
            start(name, "standins", "worker", name, "--port", str(port))
        for name, port in self.runners.items():
            start(name, "standins", "runner", name, "--port", str(port))
        standin_ports = [self.store_port, self.vms_port]
        for port in [
            *standin_ports,
            *self.workers.values(),
            *self.runners.values(),
        ]:
            processes.wait_for_port(port)
        self._start_bulk()
        self._list_vms()

    def _start_bulk(self) -> None:
        """Start many workers in one process."""
        if not self.bulk:
            return
        port_list = ",".join(map(str, self.bulk))
        size = str(self.shape.bulk_accelerators)
        self.processes.start(
            "bulk", "standins", "workers", port_list, "--accelerators", size
        )
        processes.wait_for_port(self.bulk[-1])

    def _list_vms(self) -> None:
        shape = self.shape
        for number, (name, port) in enumerate(self.workers.items()):
            rack = f"r{number // shape.workers_per_rack + 1}"
            self._put_vm(
                name, "worker", port, rack=rack, accelerators=shape.accelerators
            )
        for number, port in enumerate(self.bulk):
            self._put_vm(
                f"w{port}",
                "worker",
                port,
                rack=f"r{number // _BULK_WORKERS_PER_RACK}",
                accelerators=shape.bulk_accelerators,
            )
        for name, port in self.runners.items():
            self._put_vm(
                name, "runner", port, service="matching", slots=shape.slots
            )
        for name, (_, mesh_port) in self.entries.items():
            self._put_vm(name, "entry", mesh_port)

    def _put_vm(self, name: str, role: str, port: int, **fields: Any) -> None:
        vm = {
            "name": name,
            "role": role,
            "address": f"127.0.0.1:{port}",
            "data_centre": DATA_CENTRE,
        } | fields
        url = f"http://127.0.0.1:{self.vms_port}/v1/vms/{name}"
        fetch("PUT", url, vm)


def fetch(
    method: str,
    url: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Send one request to a loopback port and return the JSON answer.

    Raises:
        OSError: There is no answer, or its status is 400 or higher.
    """
    body = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        text = response.read()
    return json.loads(text) if text else None
