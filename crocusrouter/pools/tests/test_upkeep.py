"""The duty of a pool whose wave concerns other pools as well."""

import types

import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import keys
from crocusrouter.pools import upkeep as duties
from crocusrouter.store import key_value
from crocusrouter.work import upkeep
from crocusrouter.work import vms
from crocusrouter.work.tests import build
from standins.emulator import store as stores

_WAVE = vms.Wave(1, frozenset({"m1"}), 20.0, 1)
_KEY = keys.build_wave_key(1)


class _Vms:
    """One VM of another pool; counts how often it is listed."""

    def __init__(self):
        self.listed = 0

    async def list_vms(self):
        self.listed += 1
        return (vms.Vm("m1", "other", vms.VmState.UP, "w1"),)

    async def begin_upkeep(self, holder, epoch, vm, wave):
        raise AssertionError("not ours to order")

    async def aclose(self):
        pass


def _make_duty(store, platform):
    owner = store.put("owner", b"e0")
    held = types.SimpleNamespace(
        pool="ours",
        epoch=owner,
        guard=key_value.Guard("owner", owner),
        is_valid=lambda: True,
    )
    waves = duties.Waves(
        duties.Upkeeping(
            "op/wave/",
            lambda key, value: _WAVE,
            lambda: platform,
            lambda wave, over: (f"status/{wave}", str(over).encode()),
        )
    )
    waves.open["op/wave/1"] = _WAVE
    return duties.UpkeepDuty(
        held,
        "e0",
        stores.StoreView(store, "e0"),
        work.Book(1),
        clock.Clock(trio.current_time, lambda: 0.0),
        waves,
        lambda: None,
    )


# Operators pay for a list of VMs twice a second for ever: the owner of one
# pool keeps the record that it read first, and never sees that the owner of
# the other pool has finished the wave.
async def test_owner_sees_what_other_owners_have_done(autojump_clock):
    store = stores.Store(1)
    platform = _Vms()
    begun = upkeep.WaveRecord(begun={"m1": "w1"})
    store.put(_KEY, upkeep.dump_record(begun))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_make_duty(store, platform).run)
        await trio.sleep(6.0)
        assert platform.listed > 2
        store.put(_KEY, upkeep.dump_record(upkeep.WaveRecord(done={"m1"})))
        await trio.sleep(2.0)
        listed = platform.listed
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert platform.listed == listed
    assert store.items["status/1"].value == b"True"


class _Restarting(_Vms):
    """One VM of ours; the worker on it keeps its id over its upkeep."""

    def __init__(self):
        super().__init__()
        self.ordered = 0

    async def list_vms(self):
        return (vms.Vm("m1", "ours", vms.VmState.UP, "w1"),)

    async def begin_upkeep(self, holder, epoch, vm, wave):
        self.ordered += 1
        return vms.Upkeep.DONE


async def test_wave_ends_where_the_worker_starts_again_under_its_id(
    autojump_clock,
):
    """The VM counted as down for ever, and the wave never ended."""
    store = stores.Store(1)
    platform = _Restarting()
    duty = _make_duty(store, platform)
    book = duty._book
    book.set_worker(build.make_entry("w1@5"), 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(duty.run)
        await trio.sleep(6.0)
        assert platform.ordered == 1
        assert store.items["status/1"].value == b"False"
        book.unlist_worker("w1@5")
        book.set_worker(build.make_entry("w1@9"), 6.0)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert store.items["status/1"].value == b"True"
