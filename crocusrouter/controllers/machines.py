"""Reading of the VM list."""

from collections.abc import Callable
import random

import httpcore
import trio

from crocusrouter import fleet
from crocusrouter.telemetry import Metrics
from crocusrouter.telemetry import log

_OK = 200
_NOT_MODIFIED = 304
_TIMEOUT_S = 2.0
_JITTER = 0.2


class MachineList:
    """The fleet as the VM list showed it last.

    The list is large and changes seldom, so each reading names the version
    that is known (ETag) and gets the list only if it changed.
    """

    def __init__(
        self,
        url: str,
        poll_s: float,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.fleet = fleet.Fleet()
        self.listeners: list[Callable[[fleet.Fleet], None]] = []
        self._url = url.rstrip("/") + "/v1/vms"
        self._poll_s = poll_s
        self._metrics = metrics
        self._random = rng
        self._etag = b""
        self._pool = httpcore.AsyncConnectionPool()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            try:
                await self._read()
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                ValueError,
            ) as error:
                self._metrics.count_event("vms-unread")
                log("vms:unread", error=f"{type(error).__name__}: {error}")
            spread = 1.0 + _JITTER * (self._random.random() - 0.5)
            await trio.sleep(self._poll_s * spread)

    async def _read(self) -> None:
        names = ("connect", "read", "write", "pool")
        response = await self._pool.request(
            "GET",
            self._url,
            headers=[("If-None-Match", self._etag)] if self._etag else [],
            extensions={"timeout": dict.fromkeys(names, _TIMEOUT_S)},
        )
        if response.status == _NOT_MODIFIED:
            return
        if response.status != _OK:
            raise ValueError(f"status {response.status}")
        vms = fleet.parse_vms(response.content)
        headers = {name.lower(): value for name, value in response.headers}
        self._etag = headers.get(b"etag", b"")
        self.fleet = fleet.Fleet(
            {vm.name: vm for vm in vms}, trio.current_time()
        )
        for listener in self.listeners:
            listener(self.fleet)
