"""Stand-ins and entries in one process and one event loop, for tests.

The parts communicate over real loopback sockets. Tests access the stand-ins
directly to set faults and read records, and start no processes.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib
from typing import Any

import httpcore
import orjson
import trio

from crocusrouter import controllers
from crocusrouter import http
from crocusrouter import mesh
from crocusrouter import settings
from crocusrouter.http import app
from crocusrouter.telemetry import Metrics
from standins import ports
from standins import runner
from standins import serving
from standins import store
from standins import vmlist
from standins import worker

DATA_CENTRE = "dc"
OPERATOR_KEY = "operator-key"
CUSTOMER_KEY = "customer-key"
_POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Reply:
    """An HTTP answer as a caller sees it."""

    status: int
    headers: dict[str, str]
    document: Any


@dataclasses.dataclass
class RunningEntry:
    """One running entry."""

    entry: controllers.Entry
    port: int
    scope: trio.CancelScope


class World:
    """Stand-ins and entries, with an HTTP client to call them."""

    def __init__(self, nursery: trio.Nursery, **options: Any) -> None:
        self.nursery = nursery
        self.options = options
        self.store = store.Store()
        self.vms = vmlist.VmList(lag_s=0.0)
        self.runners: dict[str, runner.Runner] = {}
        self.workers: dict[str, worker.Worker] = {}
        self.entries: dict[str, RunningEntry] = {}
        self.pool = httpcore.AsyncConnectionPool(max_connections=100)
        self._store_port, self._vms_port = ports.reserve_ports(2)

    async def start_platform(self) -> None:
        """Start the key-value service and the VM list."""
        apps = (
            (store.StoreApp(self.store).app, self._store_port),
            (vmlist.VmListApp(self.vms).app, self._vms_port),
        )
        for application, port in apps:
            await self.nursery.start(serving.serve, application, port)

    async def add_runner(self, name: str, slots: int = 8) -> None:
        """Start a runner and add it to the VM list."""
        [port] = ports.reserve_ports(1)
        new_runner = self.runners[name] = runner.Runner(name, slots)
        application = runner.RunnerApp(new_runner).app
        await self.nursery.start(serving.serve, application, port)
        self.list_vm(name, "runner", port, service="matching", slots=8)

    def add_worker(self, name: str, rack: str, accelerators: int = 8) -> None:
        """Start a worker and add it to the VM list."""
        [port] = ports.reserve_ports(1)
        new_worker = self.workers[name] = worker.Worker(name, accelerators)
        self.nursery.start_soon(worker.WorkerServer(new_worker).run, port)
        self.list_vm(name, "worker", port, rack=rack, accelerators=8)

    def list_vm(self, name: str, role: str, port: int, **fields: Any) -> None:
        """Add a VM to the VM list."""
        vm = {
            "name": name,
            "role": role,
            "address": f"127.0.0.1:{port}",
            "data_centre": DATA_CENTRE,
        }
        self.vms.change(name, vm | fields, trio.current_time())

    def unlist_vm(self, name: str) -> None:
        """Remove a VM from the VM list."""
        self.vms.change(name, None, trio.current_time())

    async def add_entry(self, name: str, *, wait: bool = True) -> RunningEntry:
        """Start an entry; by default, wait until the entry is ready."""
        port, mesh_port = ports.reserve_ports(2)
        entry_settings = {
            "name": name,
            "data_centre": DATA_CENTRE,
            "listen": f"127.0.0.1:{port}",
            "mesh_listen": f"127.0.0.1:{mesh_port}",
            "store_url": f"http://127.0.0.1:{self._store_port}",
            "vms_url": f"http://127.0.0.1:{self._vms_port}",
            "mesh_secret": "mesh-secret",
            "operator_key": OPERATOR_KEY,
            "owner_ttl_s": 0.6,
            "task_lease_s": 1.2,
            "vms_poll_s": 0.05,
            "heartbeat_s": 0.1,
            "stop_timeout_s": 2.0,
        } | self.options
        self.list_vm(name, "entry", mesh_port)
        entry = controllers.Entry(
            settings.load_serve_settings(entry_settings),
            Metrics(),
            seed=len(self.entries),
        )
        served = RunningEntry(entry, port, trio.CancelScope())
        self.entries[name] = served
        await self.nursery.start(self._run_entry, served, mesh_port)
        if wait:
            await self.wait_for(lambda: entry.is_ready)
        return served

    async def _run_entry(
        self,
        served: RunningEntry,
        mesh_port: int,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        entry = served.entry
        config = http.build_server_config(
            entry.settings.listen, 0.2, entry.metrics
        )
        with served.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    mesh.serve_mesh,
                    entry.answer_peer,
                    "127.0.0.1",
                    mesh_port,
                    entry.settings.mesh_secret,
                )
                nursery.start_soon(entry.run)
                await nursery.start(
                    http.serve_http,
                    app.build_app(entry),
                    config,
                    trio.sleep_forever,
                )
                task_status.started()

    async def wait_for(self, condition: Any, timeout_s: float = 10.0) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: The condition doesn't hold within `timeout_s`.
        """
        with trio.move_on_after(timeout_s):
            while not condition():
                await trio.sleep(_POLL_INTERVAL_S)
            return
        raise TimeoutError("the condition didn't hold in time")

    async def ask(
        self,
        method: str,
        path: str,
        document: Any = None,
        *,
        entry: str = "e1",
        key: str | None = CUSTOMER_KEY,
        body: bytes | None = None,
        **headers: str,
    ) -> Reply:
        """Send one request; underscores in header names become hyphens."""
        sent_headers = {
            name.replace("_", "-"): text for name, text in headers.items()
        }
        if key is not None:
            sent_headers["Authorization"] = f"Bearer {key}"
        if body is None and document is not None:
            body = orjson.dumps(document)
        response = await self.pool.request(
            method,
            f"http://127.0.0.1:{self.entries[entry].port}{path}",
            headers=list(sent_headers.items()),
            content=body,
        )
        received_headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        is_json = "json" in received_headers.get("content-type", "")
        content = response.content
        return Reply(
            response.status,
            received_headers,
            orjson.loads(content) if is_json and content else content,
        )

    async def put_template(self, **fields: Any) -> Reply:
        """Write customer "a"'s template; wait until all entries have it."""
        document = build_template() | fields
        reply = await self.ask(
            "PUT", "/v1/templates/a", document, key=OPERATOR_KEY
        )
        for served in self.entries.values():
            configuration = served.entry.configuration
            revision = (reply.document or {}).get("revision", 0)
            await self.wait_for(
                lambda c=configuration, r=revision: c.catalog.revision >= r
            )
        return reply

    async def wait_owned(self) -> None:
        """Wait until the data centre has an owner that knows its workers."""

        def is_owned() -> bool:
            return any(
                owner.is_ready
                and set(owner.scheduler_state.workers) >= set(self.workers)
                and all(
                    entry_worker.inventory_known
                    for entry_worker in owner.scheduler_state.workers.values()
                )
                for served in self.entries.values()
                for owner in served.entry.local_owners.values()
            )

        await self.wait_for(is_owned)


def build_template() -> dict[str, Any]:
    """Return a template for customer "a" as JSON."""
    return {
        "customer": "a",
        "key_sha256": hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest(),
        "guarantee": [],
        "job_kinds": {
            "tag": {"accelerators": 1, "level": "worker", "run_time_s": 0.05}
        },
        "request_kinds": {
            "match": {"service": "matching", "idempotent": True},
            "reserve": {"service": "matching", "idempotent": False},
        },
    }


@contextlib.asynccontextmanager
async def open_world(
    entries: int = 1, runners: int = 2, workers: int = 2, **options: Any
) -> AsyncIterator[World]:
    """Run a world for the duration of a block; options are settings."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, **options)
        await world.start_platform()
        for number in range(runners):
            await world.add_runner(f"run{number}")
        for number in range(workers):
            world.add_worker(f"w{number}", f"r{number // 2}")
        for number in range(entries):
            await world.add_entry(f"e{number + 1}")
        yield world
        await world.pool.aclose()
        nursery.cancel_scope.cancel()
