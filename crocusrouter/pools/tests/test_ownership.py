"""Tests for whose turn it is to take a pool, and which owners are known."""

import pytest

from crocusrouter.pools import members
from crocusrouter.pools import owner_leases
from crocusrouter.pools import ownership

_OWN_HOLDER = owner_leases.Holder("e1", "10.0.0.1:7", "b2")
_SMALL = members.Member("10.0.0.1:7", 0.5)
_LARGE = members.Member("10.0.0.2:7", 2.0)


def _open_table():
    replacements = []
    owner_table = ownership.OwnerTable(
        _OWN_HOLDER, lambda pool, epoch: replacements.append((pool, epoch))
    )
    return owner_table, replacements


@pytest.mark.parametrize(
    ("candidates", "waited_s", "may_take"),
    [
        # A single entry can't tell yet whether a larger VM exists.
        ({"e1": _SMALL}, 0.5, False),
        ({"e1": _SMALL}, 0.7, True),
        # The larger VM goes first.
        ({"e1": _SMALL, "e2": _LARGE}, 0.0, False),
        ({"e1": _SMALL, "e2": _LARGE}, 0.2, True),
        ({"e1": _LARGE, "e2": _SMALL}, 0.0, True),
    ],
)
def test_candidates_take_turns(candidates, waited_s, may_take):
    owner_table, _ = _open_table()
    owner_table.note_vacant("p", 5.0)
    assert owner_table.may_take("p", candidates, 5.0 + waited_s) is may_take


@pytest.mark.parametrize(
    ("value", "may_take"),
    [
        (b"e2 10.0.0.2:7 a1", False),
        (b"e1 10.0.0.1:7 a1", True),  # of our VM, before it lost power
        (b"e1 10.0.0.1:7 b2", False),
    ],
)
def test_only_a_key_left_by_our_own_vm_is_taken_at_once(value, may_take):
    owner_table, _ = _open_table()
    owner_table.apply_owner_key("p", value, 7)
    assert (
        owner_table.may_take("p", {"e1": _SMALL, "e2": _LARGE}, 0.0) is may_take
    )
    assert owner_table.find_replaceable_revision("p") == (7 if may_take else 0)
    owner_table.apply_owner_key("p", b"e2 10.0.0.2:7 a1", 8)
    assert owner_table.find_replaceable_revision("p") == 0


@pytest.mark.parametrize(
    ("name", "epoch", "expected"),
    [("e3", 8, "e3"), ("e3", 6, "e2"), ("", 9, "e2")],
)
def test_latest_owner_reported_by_a_peer_wins(name, epoch, expected):
    owner_table, replacements = _open_table()
    owner_table.apply_owner_key("p", b"e2 10.0.0.2:7 a1", 7)
    owner_table.apply_heartbeat_rows((("p", epoch, name),), 0.0)
    assert owner_table.find_owner("p") == expected
    assert replacements == [("p", 7)] + ([("p", 8)] if expected == "e3" else [])


def test_epoch_outlives_its_owner():
    """A peer that has not learned that the owner ended must not restore it."""
    owner_table, _ = _open_table()
    owner_table.apply_owner_key("p", b"e2 10.0.0.2:7 a1", 7)
    owner_table.note_vacant("p", 1.0)
    owner_table.apply_heartbeat_rows((("p", 7, "e2"),), 0.0)
    assert owner_table.find_owner("p") is None
    assert owner_table.list_names() == set()
    assert owner_table.list_heartbeat_rows() == (("p", 7, ""),)


def test_entry_waits_for_one_lease_after_its_attempt():
    owner_table, _ = _open_table()
    owner_table.note_vacant("p", 5.0)
    owner_table.note_attempt("p", 6.0)
    candidates = {"e1": _LARGE, "e2": _SMALL}
    assert not owner_table.may_take(
        "p", candidates, 6.0 + owner_leases.TTL_S - 0.1
    )
    assert owner_table.may_take("p", candidates, 6.0 + owner_leases.TTL_S)


# Guards against a pool without an owner that no entry takes: an entry that has
# started after the owner ended knows the owner from peers alone.
@pytest.mark.parametrize("is_stored", [False, True])
def test_owner_that_only_peers_report_is_doubted(is_stored):
    owner_table, _ = _open_table()
    owner_table.apply_heartbeat_rows((("p", 7, "e2"),), 10.0)
    if is_stored:
        owner_table.apply_owner_key("p", b"e2 10.0.0.2:7 a1", 7)
    candidates = {"e1": _LARGE, "e2": _SMALL}
    assert not owner_table.may_take("p", candidates, 11.0)
    assert owner_table.may_take("p", candidates, 20.0) is not is_stored
    owner_table.note_attempt("p", 20.0)
    assert not owner_table.may_take("p", candidates, 20.1)
