"""Tests for the record of the members that attest to an owner."""

import cbor2
import pytest
import trio

from crocusrouter.mesh import messages
from crocusrouter.pools import attester_record
from crocusrouter.pools import clocks
from crocusrouter.pools import journal
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.pools import predecessors as earlier_owners
from crocusrouter.telemetry import Metrics
from standins.emulator import store as stores

_KEY = keys.ATTESTERS + "p"


class _Peers:
    """Members that confirm an owner once they are asked."""

    def __init__(self, *names):
        self.addresses = {name: f"{name}:1" for name in names}
        self.asked = set()

    def list_addresses(self):
        return self.addresses

    async def call(self, name, message):
        self.asked.add(name)
        return messages.OwnerConfirmed(message.epoch, "p")


async def _open_record(store, peers, name="e0"):
    """Return the record of an owner that has just begun, and its lease."""
    view = stores.StoreView(store, name)
    clock = clocks.Clock(trio.current_time, trio.current_time)
    owner_lease = owner_leases.OwnerLease(
        view, "p", owner_leases.Holder(name), clock
    )
    assert await owner_lease.acquire()
    record = attester_record.AttesterRecord(
        view,
        owner_lease,
        earlier_owners.Attester(name, f"{name}:1"),
        peers,
        clock,
        Metrics(),
    )
    return record, owner_lease


def _read_rows(store):
    """Return the epochs and the names of attesters in the stored record."""
    return [
        (epoch, {name for name, _ in attesters})
        for epoch, attesters in cbor2.loads(store.items[_KEY].value)
    ]


def _end_ownership(store):
    store.remove(keys.build_owner_key("p"))


# Guards against an owner that lets members attest before a successor can know
# that they are asked.
async def test_members_attest_once_they_are_recorded(autojump_clock):
    store = stores.Store(1)
    peers = _Peers("e1", "e2")
    record, owner_lease = await _open_record(store, peers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        assert record.list_attesters() == set()
        await trio.sleep(1.0)
        assert record.list_attesters() == {"e1", "e2"}
        nursery.cancel_scope.cancel()
    assert _read_rows(store) == [(owner_lease.epoch, {"e0", "e1", "e2"})]


# Guards against an owner that stops asking a member which the stored record
# may still name, since as a successor that member waits for a short time only.
@pytest.mark.parametrize(
    ("fault", "attesters"),
    [
        (stores.StoreFault.SILENT, set()),  # the member has no address any more
        (stores.StoreFault.BUSY, set()),
        (stores.StoreFault.NONE, {"e1"}),
    ],
)
async def test_removed_member_must_attest_until_the_record_is_replaced(
    fault, attesters, autojump_clock
):
    store = stores.Store(1)
    peers = _Peers("e1", "e2")
    record, _ = await _open_record(store, peers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(1.0)
        store.fault = fault
        del peers.addresses["e2"]
        await trio.sleep(1.0)
        assert record.list_attesters() == attesters
        nursery.cancel_scope.cancel()


# Guards against an owner that asks only the members of one version while an
# unanswered write may have stored the other.
@pytest.mark.parametrize("is_carried_out", [False, True])
async def test_members_of_all_versions_attest_while_a_write_is_unanswered(
    is_carried_out, autojump_clock
):
    store = stores.Store(1)
    peers = _Peers("e1")
    record, owner_lease = await _open_record(store, peers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(1.0)
        store.fault = stores.StoreFault.SILENT
        if is_carried_out:
            store.fault = stores.StoreFault.LOST
        peers.addresses["e2"] = "e2:1"
        await trio.sleep(1.0)
        assert record.list_attesters() == {"e1", "e2"}
        store.fault = stores.StoreFault.NONE
        await trio.sleep(3.0)
        assert record.list_attesters() == {"e1", "e2"}
        nursery.cancel_scope.cancel()
    assert _read_rows(store) == [(owner_lease.epoch, {"e0", "e1", "e2"})]


# Guards against an owner that goes by the answers of another process at an
# address that a member had before.
async def test_nobody_attests_while_a_member_has_another_address(
    autojump_clock,
):
    store = stores.Store(1)
    peers = _Peers("e1", "e2")
    record, _ = await _open_record(store, peers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(1.0)
        peers.addresses["e2"] = "e2:2"
        assert record.list_attesters() == set()
        await trio.sleep(1.0)
        assert record.list_attesters() == {"e1", "e2"}
        nursery.cancel_scope.cancel()


# Guards against a second takeover after which nobody knows of the first owner,
# which may still renew leases.
@pytest.mark.parametrize("runs_s", [0.0, 1.0, 30.0])
async def test_record_names_earlier_owners_until_their_leases_have_ended(
    runs_s, autojump_clock
):
    store = stores.Store(1)
    epochs = []
    for name, peers in (("e0", _Peers("e1")), ("n0", _Peers())):
        record, owner_lease = await _open_record(store, peers, name)
        epochs.append(owner_lease.epoch)
        with trio.move_on_after(runs_s if peers.addresses == {} else 1.0):
            await record.run()
        _end_ownership(store)
    expected = [(epochs[0], {"e0", "e1"})] if runs_s < 30.0 else []
    assert _read_rows(store) == expected


async def test_attesters_of_an_owner_that_did_not_ask_us_are_asked(
    autojump_clock,
):
    store = stores.Store(1)
    first, _ = await _open_record(store, _Peers("e1"))
    with trio.move_on_after(1.0):
        await first.run()
    _end_ownership(store)
    peers = _Peers("e1", "e3")
    record, _ = await _open_record(store, peers, "n0")
    began_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        while not record.have_predecessors_ended(trio.current_time()):
            await trio.sleep(0.1)
        assert 7.6 < trio.current_time() - began_at < 9.0
        assert peers.asked == {"e1"}
        nursery.cancel_scope.cancel()


# Guards against an owner that ends, and its successors with it, because the
# record can't be read.
@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"\x9f",
        b"\x81" * 100_000,
        cbor2.dumps(3),
        cbor2.dumps([[1]]),
        cbor2.dumps([[1, 2]]),
        cbor2.dumps([["x", []]]),
        cbor2.dumps([[1e400, []]]),
        cbor2.dumps([[1, [["e1"]]]]),
        cbor2.dumps([[[], [[b"\xff", {}]]]]),
        cbor2.dumps({"a": 1}),
    ],
)
async def test_unreadable_record_names_an_owner_that_nobody_knows(
    value, autojump_clock
):
    store = stores.Store(1)
    store.put(_KEY, value)
    record, owner_lease = await _open_record(store, _Peers("e1"))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record.run)
        await trio.sleep(10.0)
        assert not record.have_predecessors_ended(trio.current_time())
        await trio.sleep(20.0)
        assert record.have_predecessors_ended(trio.current_time())
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert _read_rows(store) == [(owner_lease.epoch, {"e0", "e1"})]


async def test_owner_that_has_lost_the_pool_is_deposed(autojump_clock):
    store = stores.Store(1)
    peers = _Peers("e1")
    record, _ = await _open_record(store, peers)
    async with trio.open_nursery() as nursery:

        async def run():
            with pytest.RaisesGroup(
                pytest.RaisesExc(journal.DeposedError), flatten_subgroups=True
            ):
                await record.run()
            nursery.cancel_scope.cancel()

        nursery.start_soon(run)
        await trio.sleep(1.0)
        _end_ownership(store)
        peers.addresses["e2"] = "e2:1"
        with trio.fail_after(2.0):
            await trio.sleep_forever()
