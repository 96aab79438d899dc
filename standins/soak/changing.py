"""Operators who change the configuration, and callers who notice."""

import random

import httpcore
import trio

from standins.emulator import config_oracle as config_oracles
from standins.emulator import operators
from standins.soak import cuts
from standins.soak import world as worlds

_CHANGES_PER_S = 0.5
_ASKING_S = 0.1
_TIMEOUT_S = 3.0
_CONNECTIONS = 100


class Changing:
    """Changes routes and keys, and calls every entry on them."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        """Prepare; nothing is written yet.

        Args:
            world: Whose operators write, and whose entries are called.
            rng: Draws changes and calls.
        """
        self._world = world
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=_CONNECTIONS)

    async def change(self) -> None:
        """Write drawn changes until cancelled."""
        while True:
            await trio.sleep(self._rng.expovariate(_CHANGES_PER_S))
            self._world.operators.draw_change(self._rng, trio.current_time())

    async def ask_all(self) -> None:
        """Call every entry on drawn routes and keys until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for name in self._world.entries:
                    route = self._rng.choice((worlds.PREFIX, *operators.ROUTES))
                    key = self._rng.choice((worlds.KEY, *operators.KEYS))
                    nursery.start_soon(self.ask, name, route, key)
                await trio.sleep(_ASKING_S)

    async def ask(self, name: str, route: str, key: str) -> None:
        """Call an entry on a route with a key; the answer is judged.

        No job has the id that is asked for, so that only the configuration
        decides what is answered.
        """
        life = self._world.lives[name]
        sent_at = trio.current_time()
        asked = config_oracles.SentCall(name, life, route, key, sent_at)
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
            self._world.cuts.note_cut(cuts.Cut(name, sent_at, now))
            return
        if self._world.lives[name] != life:
            return
        now = trio.current_time()
        self._world.changes.check_answer(asked, response.status, now)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
