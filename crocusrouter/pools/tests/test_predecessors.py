"""Tests for the end of the leases of earlier owners."""

import pytest

from crocusrouter.mesh import messages
from crocusrouter.pools import lease_contract
from crocusrouter.pools import predecessors as earlier_owners

_EPOCH = 9
_OWN = earlier_owners.Attester("x", "x:1")
# When leases have ended if the predecessor stopped renewing at 0.
_ENDED_S = 7.7
# The same if nothing tells when it stopped.
_BOUND_S = (
    lease_contract.MAX_ATTESTED_S
    + lease_contract.LEASE_S / lease_contract.MIN_CLOCK_RATE
    + lease_contract.SAFETY_MARGIN_S
)


def _make_predecessor(*names, epoch=3):
    return earlier_owners.Predecessor(
        epoch,
        frozenset(earlier_owners.Attester(name, f"{name}:1") for name in names),
    )


def _make_predecessors(*recorded):
    predecessors = earlier_owners.Predecessors(_OWN, _EPOCH, 0.0)
    predecessors.set_recorded(recorded)
    return predecessors


def _find_end(predecessors):
    """Return when leases of earlier owners have ended, in tenths of seconds."""
    return next(
        now / 10 for now in range(400) if predecessors.have_ended(now / 10)
    )


@pytest.mark.parametrize(
    ("recorded", "end"),
    [
        ([], 0.0),
        ([_make_predecessor("a", "x")], _ENDED_S),
        ([_make_predecessor("a", "b")], _BOUND_S),
        ([_make_predecessor("a", "x"), _make_predecessor("a")], _BOUND_S),
        ([earlier_owners.UNKNOWN], _BOUND_S),
    ],
)
def test_successor_waits_for_owners_that_do_not_ask_it(recorded, end):
    assert _find_end(_make_predecessors(*recorded)) == pytest.approx(
        end, abs=0.1
    )


# Guards against a successor that takes the member whose name it has for itself
# although that one may still run elsewhere.
def test_entry_at_another_address_is_another_attester():
    moved = earlier_owners.Attester("x", "x:2")
    predecessors = _make_predecessors(
        earlier_owners.Predecessor(3, frozenset({moved}))
    )
    assert not predecessors.have_ended(_ENDED_S)


def test_nothing_has_ended_before_the_record_is_known():
    predecessors = earlier_owners.Predecessors(_OWN, _EPOCH, 0.0)
    assert not predecessors.have_ended(_ENDED_S)


# Guards against a successor that goes by a confirmation of a process that has
# ended: the member's next process attests to the predecessor again.
@pytest.mark.parametrize(
    ("answers", "end"),
    [
        # Times of answers, processes, epochs.
        ([(1.0, "p", 9), (8.0, "p", 9)], None),
        ([(1.0, "p", 9), (8.8, "p", 9)], 8.8),
        ([(1.0, "p", 9), (8.8, "q", 9)], None),
        ([(1.0, "p", 9), (5.0, "q", 9), (8.8, "q", 9)], None),
        ([(1.0, "p", 9), (5.0, "q", 9), (12.8, "q", 9)], 12.8),
        ([(1.0, "p", 8), (8.8, "p", 9)], None),
        ([(1.0, "p", 10), (8.8, "p", 10)], 8.8),
    ],
)
def test_attester_confirms_until_leases_have_ended(answers, end):
    predecessors = _make_predecessors(_make_predecessor("a", "b"))
    has_ended = False
    for at, process, epoch in answers:
        predecessors.note_confirmed(
            "b", messages.OwnerConfirmed(epoch, process), at, at
        )
        has_ended = predecessors.have_ended(at)
    assert has_ended is (end is not None)


def test_each_predecessor_needs_an_attester_of_its_own():
    first, second = _make_predecessor("a"), _make_predecessor("b", epoch=5)
    predecessors = _make_predecessors(first, second)
    for at in (1.0, 8.8):
        reply = messages.OwnerConfirmed(_EPOCH, "p")
        predecessors.note_confirmed("b", reply, at, at)
    assert predecessors.list_unsettled(8.8) == (first,)


def test_members_of_owners_that_ask_this_entry_need_not_confirm():
    predecessors = _make_predecessors(
        _make_predecessor("a", "x"), _make_predecessor("b", "c")
    )
    assert predecessors.list_askable(0.0) == {"b", "c"}


# Guards against a record that loses a predecessor which still renews, so that
# the next successor doesn't wait for it.
def test_predecessor_is_listed_until_its_leases_have_ended():
    predecessor = _make_predecessor("a", "x")
    predecessors = _make_predecessors(predecessor)
    assert predecessors.list_unsettled(_ENDED_S - 0.1) == (predecessor,)
    assert predecessors.list_unsettled(_ENDED_S) == ()
