"""Stand-ins and entries of the demo, and of tests with real processes."""

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


@dataclasses.dataclass(frozen=True)
class Shape:
    """How large the cluster is."""

    entries: int = 3
    racks: int = 2
    workers_per_rack: int = 3
    accelerators: int = 8
    runners: int = 4
    slots: int = 8
    lag_s: float = 0.5
    owner_ttl_s: float = 1.0
    task_lease_s: float = 3.0


class Cluster:
    """All processes on loopback ports."""

    def __init__(self, log_folder: pathlib.Path, shape: Shape) -> None:
        self.shape = shape
        self.processes = processes.Processes(log_folder)
        workers = shape.racks * shape.workers_per_rack
        free = ports.find_ports(2 + workers + shape.runners + 2 * shape.entries)
        self.store_port, self.vms_port, *rest = free
        self.workers = {f"w{i + 1}": rest.pop() for i in range(workers)}
        self.runners = {f"run{i + 1}": rest.pop() for i in range(shape.runners)}
        self.entries = {
            f"e{i + 1}": (rest.pop(), rest.pop()) for i in range(shape.entries)
        }

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        self._start_standins()
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_ready(name)

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
            "OWNER_TTL_S": str(self.shape.owner_ttl_s),
            "TASK_LEASE_S": str(self.shape.task_lease_s),
            "VMS_POLL_S": "0.25",
            "HEARTBEAT_S": "0.5",
        }
        env = {f"CROCUSROUTER_{key}": text for key, text in settings.items()}
        self.processes.start(name, "crocusrouter", "serve", **env)

    def url(self, name: str) -> str:
        """Return the URL of an entry."""
        return f"http://127.0.0.1:{self.entries[name][0]}"

    def wait_ready(self, name: str) -> None:
        """Wait until an entry takes work.

        Raises:
            TimeoutError: It doesn't within 20 seconds.
        """
        limit = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < limit:
            try:
                fetch("GET", f"{self.url(name)}/readyz")
                return
            except OSError:
                time.sleep(_POLL_S)
        raise TimeoutError(f"entry {name} is not ready")

    def fetch_status(self, name: str) -> dict[str, Any]:
        """Return an entry's status."""
        key = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        status: dict[str, Any] = fetch(
            "GET", f"{self.url(name)}/v1/status", headers=key
        )
        return status

    def remove_vm(self, name: str) -> None:
        """Take a VM from the list, as the platform would."""
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
        own = [self.store_port, self.vms_port]
        for port in [*own, *self.workers.values(), *self.runners.values()]:
            processes.wait_for_port(port)
        self._list_vms()

    def _list_vms(self) -> None:
        shape = self.shape
        for number, (name, port) in enumerate(self.workers.items()):
            rack = f"r{number // shape.workers_per_rack + 1}"
            self._put_vm(
                name, "worker", port, rack=rack, accelerators=shape.accelerators
            )
        for name, port in self.runners.items():
            self._put_vm(
                name, "runner", port, service="matching", slots=shape.slots
            )
        for name, (_, mesh_port) in self.entries.items():
            self._put_vm(name, "entry", mesh_port)

    def _put_vm(self, name: str, role: str, port: int, **more: Any) -> None:
        vm = {
            "name": name,
            "role": role,
            "address": f"127.0.0.1:{port}",
            "data_centre": DATA_CENTRE,
        } | more
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
        OSError: No answer, or a status from 400 on.
    """
    body = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        text = response.read()
    return json.loads(text) if text else None
