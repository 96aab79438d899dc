"""Tests for a pool's upkeep in waves that concern other pools as well."""

import types

import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import upkeep_controller
from crocusrouter.store import key_value
from crocusrouter.work import upkeep
from crocusrouter.work import vms
from crocusrouter.work.tests import build
from standins.emulator import store as stores

_WAVE = vms.Wave(1, frozenset({"m1"}), 20.0, 1)
_KEY = keys.build_wave_key(1)


class _Vms:
    """One VM of another pool; counts how often VMs are listed."""

    def __init__(self):
        self.list_calls = 0

    async def list_vms(self):
        self.list_calls += 1
        return (vms.Vm("m1", "other", vms.VmState.UP, "w1"),)

    async def begin_upkeep(self, holder, epoch, vm, wave):
        raise AssertionError("not ours to order")

    async def aclose(self):
        pass


def _make_controller(store, vms_platform):
    owner = store.put("owner", b"e0")
    owner_lease = types.SimpleNamespace(
        pool="ours",
        epoch=owner,
        guard=key_value.Guard("owner", owner),
        is_valid=lambda: True,
    )
    waves = upkeep_controller.OpenWaves(
        upkeep_controller.UpkeepPlatform(
            "op/wave/",
            lambda key, value: _WAVE,
            lambda: vms_platform,
            lambda wave, over: (f"status/{wave}", str(over).encode()),
        )
    )
    waves.open["op/wave/1"] = _WAVE
    return upkeep_controller.UpkeepController(
        owner_lease,
        "e0",
        stores.StoreView(store, "e0"),
        work.PoolState(1),
        clocks.Clock(trio.current_time, lambda: 0.0),
        waves,
        lambda: None,
    )


# An owner must see changes to a shared wave's record. It kept the record that
# it had read first and never saw that the owner of the other pool had finished
# the wave. Operators paid for a list of VMs twice a second for ever.
async def test_owner_sees_progress_of_other_owners(autojump_clock):
    store = stores.Store(1)
    vms_platform = _Vms()
    begun_record = upkeep.WaveRecord(started={"m1": "w1"})
    store.put(_KEY, upkeep.dump_record(begun_record))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_make_controller(store, vms_platform).run)
        await trio.sleep(6.0)
        assert vms_platform.list_calls > 2
        store.put(_KEY, upkeep.dump_record(upkeep.WaveRecord(done={"m1"})))
        await trio.sleep(2.0)
        list_calls_before = vms_platform.list_calls
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert vms_platform.list_calls == list_calls_before
    assert store.items["status/1"].value == b"True"


class _RestartingVms(_Vms):
    """One VM of our pool; its worker keeps its id over the upkeep."""

    def __init__(self):
        super().__init__()
        self.order_calls = 0

    async def list_vms(self):
        return (vms.Vm("m1", "ours", vms.VmState.UP, "w1"),)

    async def begin_upkeep(self, holder, epoch, vm, wave):
        self.order_calls += 1
        return vms.Upkeep.DONE


async def test_wave_ends_when_the_worker_restarts_under_its_id(
    autojump_clock,
):
    """The VM counted as down for ever, and the wave never ended."""
    store = stores.Store(1)
    vms_platform = _RestartingVms()
    controller = _make_controller(store, vms_platform)
    pool_state = controller._pool_state
    pool_state.set_worker(build.make_entry("w1@5"), 0.0)
    build.mark_usable(pool_state.workers["w1@5"])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(controller.run)
        await trio.sleep(6.0)
        assert vms_platform.order_calls == 1
        assert store.items["status/1"].value == b"False"
        pool_state.unlist_worker("w1@5")
        pool_state.set_worker(build.make_entry("w1@9"), 6.0)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert store.items["status/1"].value == b"True"
