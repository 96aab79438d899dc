"""Whose turn it is to take a pool, and whom an entry believes in."""

import pytest

from crocusrouter.pools import members
from crocusrouter.pools import owner_leases
from crocusrouter.pools import ownership

_OURS = owner_leases.Holder("e1", "10.0.0.1:7", "b2")
_SMALL = members.Member("10.0.0.1:7", 0.5)
_LARGE = members.Member("10.0.0.2:7", 2.0)


def _open():
    replaced = []
    opened = ownership.OwnerTable(
        _OURS, lambda pool, epoch: replaced.append((pool, epoch))
    )
    return opened, replaced


@pytest.mark.parametrize(
    ("candidates", "waited_s", "may"),
    [
        # Alone it can't tell yet whether a larger VM is there.
        ({"e1": _SMALL}, 0.5, False),
        ({"e1": _SMALL}, 0.7, True),
        # The larger VM goes first.
        ({"e1": _SMALL, "e2": _LARGE}, 0.0, False),
        ({"e1": _SMALL, "e2": _LARGE}, 0.2, True),
        ({"e1": _LARGE, "e2": _SMALL}, 0.0, True),
    ],
)
def test_candidates_take_turns(candidates, waited_s, may):
    opened, _ = _open()
    opened.note_vacant("p", 5.0)
    assert opened.may_take("p", candidates, 5.0 + waited_s) is may


@pytest.mark.parametrize(
    ("value", "may"),
    [
        (b"e2 10.0.0.2:7 a1", False),
        (b"e1 10.0.0.1:7 a1", True),  # our VM's, before it lost power
        (b"e1 10.0.0.1:7 b2", False),
    ],
)
def test_only_what_our_own_vm_left_behind_is_taken_at_once(value, may):
    opened, _ = _open()
    opened.take_key("p", value, 7)
    assert opened.may_take("p", {"e1": _SMALL, "e2": _LARGE}, 0.0) is may
    assert opened.find_left_behind("p") == (7 if may else 0)
    opened.take_key("p", b"e2 10.0.0.2:7 a1", 8)
    assert opened.find_left_behind("p") == 0


@pytest.mark.parametrize(
    ("name", "epoch", "known"),
    [("e3", 8, "e3"), ("e3", 6, "e2"), ("", 9, "e2")],
)
def test_latest_owner_that_a_peer_names_wins(name, epoch, known):
    opened, replaced = _open()
    opened.take_key("p", b"e2 10.0.0.2:7 a1", 7)
    opened.take_rows((("p", epoch, name),))
    assert opened.find_owner("p") == known
    assert replaced == [("p", 7)] + ([("p", 8)] if known == "e3" else [])


def test_epoch_outlives_its_owner():
    """A peer that has not heard of the end must not bring the owner back."""
    opened, _ = _open()
    opened.take_key("p", b"e2 10.0.0.2:7 a1", 7)
    opened.note_vacant("p", 1.0)
    opened.take_rows((("p", 7, "e2"),))
    assert opened.find_owner("p") is None
    assert opened.list_names() == set()
    assert opened.list_rows() == (("p", 7, ""),)


def test_entry_that_has_tried_leaves_others_a_tenure():
    opened, _ = _open()
    opened.note_vacant("p", 5.0)
    opened.note_tried("p", 6.0)
    candidates = {"e1": _LARGE, "e2": _SMALL}
    assert not opened.may_take("p", candidates, 6.0 + owner_leases.TTL_S - 0.1)
    assert opened.may_take("p", candidates, 6.0 + owner_leases.TTL_S)
