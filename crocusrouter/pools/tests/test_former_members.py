"""How long an entry that is no longer registered must be asked."""

import pytest

from crocusrouter.pools import former_members

_ADDRESS = "10.0.0.2:7"


# Guards against an owner that renews leases beside its successor: the key of
# the successor had expired, and was back when the owner heard nothing any more.
@pytest.mark.parametrize(
    ("heard_before", "heard_since", "now", "is_listed"),
    [
        ([], [], 107.0, True),  # unknown, so it may have run until now
        ([], [], 108.0, False),
        ([99.0], [], 100.0, True),
        ([99.0], [], 107.0, False),
        ([91.0], [], 100.0, False),  # its process had ended
        ([99.0], [105.0], 112.0, True),
        ([99.0], [105.0], 113.0, False),
        ([99.0, 98.0], [], 106.5, True),
    ],
)
def test_former_member_is_asked_while_it_may_run(
    heard_before, heard_since, now, is_listed
):
    former = former_members.FormerMembers()
    for heard_at in heard_before:
        former.note_heard("b", heard_at)
    former.note_removed("b", _ADDRESS, 100.0, is_owner=True)
    for heard_at in heard_since:
        former.note_heard("b", heard_at)
    assert former.list_addresses(now) == ({"b": _ADDRESS} if is_listed else {})


def test_member_that_registers_again_is_none():
    former = former_members.FormerMembers()
    former.note_removed("b", _ADDRESS, 100.0, is_owner=True)
    former.note_registered("b")
    assert former.is_empty()
    assert former.list_addresses(100.1) == {}


def test_present_member_is_none():
    former = former_members.FormerMembers()
    former.note_heard("b", 100.0)
    assert former.list_addresses(100.1) == {}


@pytest.mark.parametrize(("now", "is_listed"), [(107.0, True), (108.0, False)])
def test_entry_that_owns_no_pool_counts_from_the_removal(now, is_listed):
    """It may take over soon, and can't tell for how long the other ran."""
    former = former_members.FormerMembers()
    former.note_heard("b", 50.0)
    former.note_removed("b", _ADDRESS, 100.0, is_owner=False)
    assert bool(former.list_addresses(now)) is is_listed
