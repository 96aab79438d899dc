"""Reads the list of VMs from the platform at regular intervals."""

from collections.abc import Callable
import random

import httpcore
import trio

from crocusrouter import fleet
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_STATUS_OK = 200
_STATUS_NOT_MODIFIED = 304
_READ_TIMEOUT_S = 2.0
_POLL_JITTER = 0.2


class VmListReader:
    """Polls the VM list and keeps the latest fleet.

    The list is large and seldom changes, so each request names the version
    that was read last (ETag). The service sends the list only if it changed.

    Attributes:
        fleet: The fleet as last read.
        listeners: Called with the fleet after each change.
    """

    def __init__(
        self,
        url: str,
        poll_interval_s: float,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet.Fleet()
        self.listeners: list[Callable[[fleet.Fleet], None]] = []
        self._url = url.rstrip("/") + "/v1/vms"
        self._poll_interval_s = poll_interval_s
        self._metrics = metrics
        self._random = rng
        self._etag = b""
        self._connection_pool = httpcore.AsyncConnectionPool()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            try:
                await self._read_list()
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                ValueError,
            ) as error:
                self._metrics.count_event("vms-unread")
                log("vms:unread", error=f"{type(error).__name__}: {error}")
            jitter_factor = 1.0 + _POLL_JITTER * (self._random.random() - 0.5)
            await trio.sleep(self._poll_interval_s * jitter_factor)

    async def _read_list(self) -> None:
        timeout_names = ("connect", "read", "write", "pool")
        response = await self._connection_pool.request(
            "GET",
            self._url,
            headers=[("If-None-Match", self._etag)] if self._etag else [],
            extensions={
                "timeout": dict.fromkeys(timeout_names, _READ_TIMEOUT_S)
            },
        )
        if response.status == _STATUS_NOT_MODIFIED:
            return
        if response.status != _STATUS_OK:
            raise ValueError(f"unexpected status {response.status}")
        vms = fleet.parse_vms(response.content)
        headers = {name.lower(): value for name, value in response.headers}
        self._etag = headers.get(b"etag", b"")
        self.fleet = fleet.Fleet(
            {vm.name: vm for vm in vms}, trio.current_time()
        )
        for listener in self.listeners:
            listener(self.fleet)
