"""Records under our own keys that somebody else has written over."""

import cbor2
import pytest
import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import keys
from crocusrouter.pools import members
from crocusrouter.pools import roster
from crocusrouter.pools import tenure
from standins import emulator
from standins.emulator import store as stores


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"10.0.0.1", b":7000", b"a:b", b"a:1 much"]
)
def test_member_that_is_none(value):
    with pytest.raises(ValueError, match="."):
        members.parse_member(value)


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", cbor2.dumps(5), cbor2.dumps([[1], "x"])]
)
async def test_list_of_workers_that_cannot_be_read(value, autojump_clock):
    """An owner failed at it, and so did each that took over: nobody was
    owner until the record was mended by hand.
    """
    store = stores.Store(1)
    store.put(keys.KNOWN_WORKERS + "match", value)
    view = stores.StoreView(store, "e0")
    held = tenure.Tenure(view, "match", tenure.Holder("e0"), clock.Clock())
    opened = roster.Roster(view, held, work.PoolState(1))
    await opened.load()
    assert opened.list_unlisted(0.0) == []


async def test_member_that_cannot_be_read_ends_no_entry(autojump_clock):
    """The entry that met one ended, and callers with it."""
    held = emulator.Cluster(2)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(4.0)
        held.store.put(keys.build_member_key("e1"), b"\xff")
        held.store.put(keys.build_member_key("odd"), b"nowhere")
        held.store.put(keys.build_member_key("new"), b"10.0.0.9:7000")
        await trio.sleep(3.0)
        members_of = [e.peers.list_members() for e in held.entries.values()]
        nursery.cancel_scope.cancel()
    assert len(members_of) == 4
    assert all("new" in found for found in members_of)
    assert not any("odd" in found for found in members_of)
