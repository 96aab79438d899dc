"""Stand-in for the platform's VM list, which shows changes with a lag."""

import dataclasses
from typing import Any
import zlib

import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from standins import serving


@dataclasses.dataclass
class VmList:
    """The VMs that the list shows, and changes that it doesn't show yet."""

    lag_s: float
    listed_vms: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    pending_changes: list[tuple[float, str, dict[str, Any] | None]] = (
        dataclasses.field(default_factory=list)
    )

    def change(self, name: str, vm: dict[str, Any] | None, now: float) -> None:
        """Record that a VM was added, changed, or (with None) removed."""
        self.pending_changes.append((now + self.lag_s, name, vm))

    def show(self, now: float) -> list[dict[str, Any]]:
        """Return the VMs as the list shows them at `now`."""
        due_changes = [
            change for change in self.pending_changes if change[0] <= now
        ]
        self.pending_changes = [
            change for change in self.pending_changes if change[0] > now
        ]
        for _, name, vm in due_changes:
            if vm is None:
                self.listed_vms.pop(name, None)
            else:
                self.listed_vms[name] = vm
        return list(self.listed_vms.values())


class VmListApp:
    """HTTP interface of the list."""

    def __init__(self, vms: VmList) -> None:
        self.vms = vms
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/vms", self.show, methods=["GET"]),
                routing.Route("/v1/vms/{name}", self.put, methods=["PUT"]),
                routing.Route(
                    "/v1/vms/{name}", self.delete, methods=["DELETE"]
                ),
            ]
        )

    async def show(self, request: requests.Request) -> responses.Response:
        """Answer with the list, or with 304 if it has not changed."""
        body = orjson.dumps({"vms": self.vms.show(trio.current_time())})
        etag = f'"{zlib.crc32(body):08x}"'
        if request.headers.get("If-None-Match") == etag:
            return responses.Response(status_code=304)
        return responses.Response(
            body, media_type="application/json", headers={"ETag": etag}
        )

    async def put(self, request: requests.Request) -> responses.Response:
        """Add or change a VM."""
        vm = orjson.loads(await request.body())
        name = request.path_params["name"]
        self.vms.change(name, vm, trio.current_time())
        return responses.Response(status_code=204)

    async def delete(self, request: requests.Request) -> responses.Response:
        """Remove a VM."""
        name = request.path_params["name"]
        self.vms.change(name, None, trio.current_time())
        return responses.Response(status_code=204)


async def run(port: int, lag_s: float) -> None:
    """Serve a VM list on a loopback port."""
    await serving.serve(VmListApp(VmList(lag_s)).app, port)
