"""Changes the configuration and checks it by calls to every entry."""

import random

import httpcore
import trio

from standins.emulator import config_oracle as config_oracles
from standins.emulator import operators
from standins.soak import cut_requests
from standins.soak import world as worlds

_CHANGES_PER_S = 0.5
_CALL_INTERVAL_S = 0.1
_TIMEOUT_S = 3.0
_CONNECTIONS = 100


class ConfigTester:
    """Changes routes and keys, and calls every entry with them."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Prepare a tester; nothing is written yet.

        Args:
            world: The world whose operators write and whose entries are called.
            rng: Random generator that changes and calls are drawn from.
        """
        self._world = world
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=_CONNECTIONS)

    async def write_changes(self) -> None:
        """Write random changes until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(_CHANGES_PER_S))
            self._world.operators.draw_change(self._rng, trio.current_time())

    async def call_all_entries(self) -> None:
        """Call every entry with random routes and keys until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for name in self._world.entry_names:
                    route = self._rng.choice((worlds.PREFIX, *operators.ROUTES))
                    key = self._rng.choice((worlds.KEY, *operators.KEYS))
                    nursery.start_soon(self.call_entry, name, route, key)
                await trio.sleep(_CALL_INTERVAL_S)

    async def call_entry(self, name: str, route: str, key: str) -> None:
        """Call an entry on a route with a key, and check the answer.

        No job has the requested id, so the answer depends on the
        configuration alone.
        """
        incarnation = self._world.start_counts[name]
        sent_at = trio.current_time()
        call = config_oracles.SentCall(name, incarnation, route, key, sent_at)
        try:
            response = await self._pool.request(
                "GET",
                f"{self._world.urls[name]}{route}none",
                headers={"Host": worlds.HOST, "X-Api-Key": key},
                extensions={
                    "timeout": dict.fromkeys(
                        ("connect", "read", "write", "pool"), _TIMEOUT_S
                    )
                },
            )
        except (httpcore.ConnectError, httpcore.TimeoutException):
            return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            now = trio.current_time()
            self._world.cut_checker.check_cut_request(
                cut_requests.CutRequest(name, sent_at, now)
            )
            return
        if self._world.start_counts[name] != incarnation:
            return
        now = trio.current_time()
        self._world.config_oracle.check_answer(call, response.status, now)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
