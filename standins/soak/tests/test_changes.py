"""Changes of the configuration at real entry processes."""

import random
import signal

import pytest
import trio

from standins.emulator import operators
from standins.emulator import store as stores
from standins.soak import config_calls
from standins.soak import world as worlds

_START_WAIT_S = 6.0
_LOST_ANSWERS_S = 0.1
_CALL_DURATION_S = 4.5
_CALL_INTERVAL_S = 0.05
_RECOVERY_S = 4.0
_ROUTE, _KEY = operators.ROUTES[0], operators.KEYS[0]


async def _change_while_peers_are_paused(world, config_tester, name, wait_s):
    """Change the configuration while all peers of one entry are paused."""
    others = [other for other in world.entry_names if other != name]
    world.store.entry_faults[name] = stores.StoreFault.SILENT
    await trio.sleep(_LOST_ANSWERS_S)
    del world.store.entry_faults[name]
    await trio.sleep(wait_s)
    for other in others:
        world.send_signal(other, signal.SIGSTOP)
    await trio.sleep(_CALL_INTERVAL_S)
    world.operators.toggle(_ROUTE, _KEY, trio.current_time())
    with trio.move_on_after(_CALL_DURATION_S):
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(config_tester.call_entry, name, _ROUTE, _KEY)
                await trio.sleep(_CALL_INTERVAL_S)
    for other in others:
        world.send_signal(other, signal.SIGCONT)


# Guards against an entry that serves a route removed seconds ago: the answer to
# its watch is lost, and its paused peers can't tell it about the change.
@pytest.mark.parametrize("wait_s", [1.1, 1.4, 1.9])
async def test_change_is_in_force_in_time_while_all_peers_are_paused(
    wait_s, tmp_path
):
    world = worlds.World(1, 3, 2, tmp_path)
    config_tester = config_calls.ConfigTester(world, random.Random(1))
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(world.run)
            await trio.sleep(_START_WAIT_S)
            for name in world.entry_names:
                await _change_while_peers_are_paused(
                    world, config_tester, name, wait_s
                )
                await trio.sleep(_RECOVERY_S)
            nursery.cancel_scope.cancel()
        await config_tester.aclose()
    finally:
        world.processes.stop_all()
    assert world.config_oracle.broken == []
    assert world.config_oracle.judged > 100
