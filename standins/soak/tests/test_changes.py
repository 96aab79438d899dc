"""Changes of the configuration at real entry processes."""

import random
import signal

import pytest
import trio

from standins.emulator import operators
from standins.emulator import store as stores
from standins.soak import changing
from standins.soak import world as worlds

_SETTLED_S = 6.0
_LOST_S = 0.1
_ASKED_S = 4.5
_ASKING_S = 0.05
_REST_S = 4.0
_ROUTE, _KEY = operators.ROUTES[0], operators.KEYS[0]


async def _change_alone(world, calls, name, wait_s):
    """Change the configuration where one entry alone can notice."""
    others = [other for other in world.entries if other != name]
    world.store.entry_faults[name] = stores.StoreFault.SILENT
    await trio.sleep(_LOST_S)
    del world.store.entry_faults[name]
    await trio.sleep(wait_s)
    for other in others:
        world.signal(other, signal.SIGSTOP)
    await trio.sleep(_ASKING_S)
    world.operators.toggle(_ROUTE, _KEY, trio.current_time())
    with trio.move_on_after(_ASKED_S):
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(calls.ask, name, _ROUTE, _KEY)
                await trio.sleep(_ASKING_S)
    for other in others:
        world.signal(other, signal.SIGCONT)


# Callers of an entry are served on a route that was taken away seconds ago:
# its watch has lost one answer, and no peer runs that could tell it.
@pytest.mark.parametrize("wait_s", [1.1, 1.4, 1.9])
async def test_change_is_in_force_in_time_while_all_peers_are_paused(
    wait_s, tmp_path
):
    world = worlds.World(1, 3, 2, tmp_path)
    calls = changing.Changing(world, random.Random(1))
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(world.run)
            await trio.sleep(_SETTLED_S)
            for name in world.entries:
                await _change_alone(world, calls, name, wait_s)
                await trio.sleep(_REST_S)
            nursery.cancel_scope.cancel()
        await calls.aclose()
    finally:
        world.processes.stop_all()
    assert world.changes.broken == []
    assert world.changes.judged > 100
