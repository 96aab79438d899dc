"""Tests for calls and heartbeats of peers, and the end of a stop."""

import collections

import pytest
import trio

from crocusrouter import fleet
from crocusrouter.controllers import peers as controller_peers
from crocusrouter.mesh import messages
from crocusrouter.pools import clocks
from crocusrouter.pools import peers


class _Link:
    def __init__(self, answer_s=0.0):
        self._answer_s = answer_s

    async def run(self):
        await trio.sleep_forever()

    async def call(self, message, timeout_s):
        await trio.sleep(self._answer_s)
        return messages.Beat("b", 1, 0.0, (), True)


def _make_peers(answer_s=0.0, on_answer=lambda beat, at: None, asks_all=False):
    entry_peers = peers.Peers(
        "a",
        lambda name, address: _Link(answer_s),
        clocks.Clock(trio.current_time, trio.current_time),
        lambda: messages.Beat("a", 1, 0.0, (), True),
        on_answer,
        set,
        lambda: asks_all,
    )
    entry_peers.set_members({"b": "b:1"})
    return entry_peers


async def _run_and_stop(run):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def test_call_at_the_end_of_a_stop_opens_no_connection(autojump_clock):
    """A call at the end of a stop must not open a connection.

    The task that runs the connections has ended, and the entry ended with an
    error instead of stopping.
    """
    entry_peers = _make_peers()
    entry_peers.set_members({})
    await _run_and_stop(entry_peers.run)
    entry_peers.set_members({"b": "b:1"})
    assert await entry_peers.call("b", messages.AskConfig()) is None


async def test_peer_listed_at_the_end_of_a_stop_opens_no_connection(
    autojump_clock,
):
    """The same with the VM list, which is read until the end."""
    controller = controller_peers.PeerController(
        "a", "secret12", 1.0, None, lambda: None, lambda beat: None
    )
    await _run_and_stop(controller.run)
    vm = fleet.Vm("b", fleet.Role.ENTRY, "127.0.0.1:1", "liege")
    controller.set_fleet(fleet.Fleet({"b": vm}, 0.0))
    assert controller.find_link("b") is None


async def test_late_answer_counts_from_its_request(
    autojump_clock,
):
    """An owner must not renew leases because of a peer's late answer."""
    asked_times = []
    entry_peers = _make_peers(0.6, lambda _, at: asked_times.append(at))
    with trio.move_on_after(0.65):
        await entry_peers.run()
    assert asked_times == [0.0]


# Guards against an owner that hears only of some members whether they have
# succeeded it, and against more calls than one a member and second.
@pytest.mark.parametrize("asks_all", [False, True])
async def test_all_members_are_asked_while_ownership_is_unsure(
    asks_all, autojump_clock
):
    asked_names = collections.Counter()

    class Link(_Link):
        def __init__(self, name):
            super().__init__()
            self._name = name

        async def call(self, message, timeout_s):
            asked_names[self._name] += 1
            return await super().call(message, timeout_s)

    entry_peers = _make_peers(asks_all=asks_all)
    entry_peers._make_link = lambda name, address: Link(name)
    names = {f"e{number}" for number in range(96)}
    entry_peers.set_members({name: f"{name}:1" for name in names})
    with trio.move_on_after(9.5):
        await entry_peers.run()
    if asks_all:
        assert asked_names == dict.fromkeys(names, 10)
    else:
        assert asked_names.total() <= 3 * 10


async def test_served_peers_are_asked_for_help_first(autojump_clock):
    entry_peers = _make_peers()
    entry_peers.set_members({name: f"{name}:1" for name in "bcdef"})
    entry_peers.note_answer(messages.Beat("f", 1, None, (), True), 0.0)
    entry_peers.note_answer(messages.Beat("b", 1, None, (), False), 0.0)
    assert entry_peers.choose_helpers()[0] == "f"


async def test_unrequested_heartbeat_shows_that_a_peer_is_served(
    autojump_clock,
):
    """A peer's own heartbeat shows that the outage is not shared.

    Callers of an entry that the store refused were sent away for long, although
    a peer that the entry did not ask would have served them.
    """
    entry_peers = _make_peers()
    entry_peers.note_answer(messages.Beat("b", 1, 0.0, (), False), 10.5)
    assert entry_peers.shares_outage(10.0)
    entry_peers.note_unrequested(messages.Beat("c", 1, 0.0, (), True), 10.6)
    assert not entry_peers.shares_outage(10.0)


@pytest.mark.parametrize(
    ("answers", "is_shared"),
    [
        ([], False),
        ([("b", 9.0, False)], False),
        ([("b", 10.5, False)], True),
        ([("b", 10.5, False), ("c", 10.6, True)], False),
        ([("b", 10.1, True), ("c", 10.6, False)], True),
    ],
)
def test_outage_is_shared_if_no_peer_is_served(answers, is_shared):
    """The store is down for all, or refuses this entry alone.

    Heartbeats from before the outage, or from its first moment, prove nothing.
    """
    entry_peers = _make_peers()
    for name, at, served in answers:
        entry_peers.note_answer(messages.Beat(name, 1, 0.0, (), served), at)
    assert entry_peers.shares_outage(10.0) is is_shared
