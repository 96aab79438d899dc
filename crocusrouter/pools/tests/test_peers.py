"""Peers while an entry stops."""

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


def _make_peers(answer_s=0.0):
    made = peers.Peers(
        "a",
        lambda name, address: _Link(answer_s),
        clocks.Clock(trio.current_time, trio.current_time),
        lambda: messages.Beat("a", 1, 0.0, (), True),
        lambda beat, at: None,
        set,
    )
    made.set_members({"b": "b:1"})
    return made


async def _run_and_stop(run):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()


async def test_caller_served_at_the_very_end_of_a_stop(autojump_clock):
    """An entry ends with an error instead of stopping: the task that keeps
    its links is gone, and a caller's request opens one more link.
    """
    made = _make_peers()
    made.set_members({})
    await _run_and_stop(made.run)
    made.set_members({"b": "b:1"})
    assert await made.call("b", messages.AskConfig()) is None


async def test_peer_that_is_listed_at_the_very_end_of_a_stop(autojump_clock):
    """The same with the VM list, which is read until the end."""
    held = controller_peers.PeerController(
        "a", "secret12", 1.0, None, lambda: None, lambda beat: None
    )
    await _run_and_stop(held.run)
    vm = fleet.Vm("b", fleet.Role.ENTRY, "127.0.0.1:1", "liege")
    held.set_fleet(fleet.Fleet({"b": vm}, 0.0))
    assert held.find_link("b") is None


async def test_late_answer_shows_a_peer_in_reach_when_it_was_asked(
    autojump_clock,
):
    """An owner renews leases by a peer's answer that was held up."""
    made = _make_peers(0.6)
    with trio.move_on_after(0.65):
        await made.run()
    assert made.may_hear(2.4)
    assert not made.may_hear(2.6)


async def test_help_is_asked_of_served_peers_first(autojump_clock):
    made = _make_peers()
    made.set_members({name: f"{name}:1" for name in "bcdef"})
    made.note_heard(messages.Beat("f", 1, None, (), True), 0.0)
    made.note_heard(messages.Beat("b", 1, None, (), False), 0.0)
    assert made.choose_helpers()[0] == "f"


async def test_peer_that_tells_of_itself_shows_that_others_are_served(
    autojump_clock,
):
    """Callers of an entry that the store turns away are sent away for long,
    although a peer that it does not ask would serve them.
    """
    made = _make_peers()
    made.note_heard(messages.Beat("b", 1, 0.0, (), False), 10.5)
    assert made.shares_outage(10.0)
    made.note_unasked(messages.Beat("c", 1, 0.0, (), True), 10.6)
    assert not made.shares_outage(10.0)


@pytest.mark.parametrize(
    ("heard", "shared"),
    [
        ([], False),
        ([("b", 9.0, False)], False),
        ([("b", 10.5, False)], True),
        ([("b", 10.5, False), ("c", 10.6, True)], False),
        ([("b", 10.1, True), ("c", 10.6, False)], True),
    ],
)
def test_outage_is_shared_if_no_peer_is_served(heard, shared):
    """The store is away for all, or turns this entry away alone. Beats from
    before, or from the first moment, say nothing.
    """
    made = _make_peers()
    for name, at, served in heard:
        made.note_heard(messages.Beat(name, 1, 0.0, (), served), at)
    assert made.shares_outage(10.0) is shared
