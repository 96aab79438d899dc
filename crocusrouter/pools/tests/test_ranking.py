import pytest

from crocusrouter.pools import members
from crocusrouter.pools import ranking

_SMALL = members.Member("a:1", 0.5)
_LARGE = members.Member("b:1", 2.0)


# Callers waited seconds for a first start: the owner was on the smallest VM and
# its decisions queued up while larger VMs were idle.
@pytest.mark.parametrize("pool", ["match", "tag", "sync"])
def test_largest_vm_owns_a_pool(pool):
    candidates = {f"s{n}": _SMALL for n in range(9)} | {"l0": _LARGE}
    assert ranking.rank_candidates(pool, candidates)[0] == "l0"


def test_pools_are_spread_over_vms_of_one_size():
    candidates = {f"l{n}": _LARGE for n in range(4)}
    first_choices = {
        ranking.rank_candidates(f"pool {n}", candidates)[0] for n in range(40)
    }
    assert first_choices == set(candidates)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"b:1 2", _LARGE),
        (b"b:1", members.Member("b:1")),
        (b"[fd00::1]:7000 1", members.Member("[fd00::1]:7000", 1.0)),
        (b"vm-1.example:65535", members.Member("vm-1.example:65535")),
    ],
)
def test_stored_member_is_parsed(data, expected):
    assert members.parse_member(data) == expected
