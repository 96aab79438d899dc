"""Tests for the proof that nobody has succeeded an owner."""

import dataclasses

import pytest

from crocusrouter.mesh import messages
from crocusrouter.pools import attestations
from crocusrouter.pools import lease_contract

_VALID_UNTIL = 100.0
_EPOCH = 7


@dataclasses.dataclass
class _OwnerLease:
    pool: str = "p"
    epoch: int = _EPOCH
    valid_until: float = _VALID_UNTIL


def _attest(answers, others=("b", "c"), owners=()):
    """Return the attestations after answers, given as names and times."""
    attested = attestations.Attestations(_OwnerLease(), lambda: others)
    for name, asked_at in answers:
        beat = messages.Beat(name, 1, None, owners, False)
        attested.note_answer(beat, asked_at)
    return attested


# Guards against an owner that takes the answer of an entry with which it is cut
# off as proof that it has no successor.
@pytest.mark.parametrize(
    ("answers", "unsucceeded_at"),
    [
        ([], _VALID_UNTIL),
        ([("b", 101.0)], _VALID_UNTIL),
        ([("b", 101.0), ("b", 109.0)], _VALID_UNTIL),
        ([("b", 101.0), ("c", 102.0)], 101.0),
        ([("b", 109.0), ("c", 102.0)], 102.0),
        ([("b", 109.0), ("c", 102.0), ("c", 101.0)], 102.0),
        ([("b", 99.0), ("c", 99.0)], _VALID_UNTIL),
        ([("b", 101.0), ("c", 102.0), ("d", 100.5)], 101.0),
    ],
)
def test_all_members_must_attest(answers, unsucceeded_at):
    assert _attest(answers).find_unsucceeded_at() == unsucceeded_at


@pytest.mark.parametrize(
    ("owners", "is_proof"),
    [
        ((), True),
        ((("p", _EPOCH, "a"),), True),
        ((("p", _EPOCH - 1, "b"),), True),
        ((("other", _EPOCH + 1, "b"),), True),
        ((("p", _EPOCH + 1, "b"),), False),
        ((("p", _EPOCH + 1, ""),), False),
    ],
)
def test_member_that_knows_a_later_owner_attests_nothing(owners, is_proof):
    """Also one that has been the owner itself and no longer is."""
    attested = _attest([("b", 101.0), ("c", 101.0)], owners=owners)
    assert (attested.find_unsucceeded_at() > _VALID_UNTIL) is is_proof


def test_owner_without_known_members_relies_on_its_own_lease():
    """Members that it doesn't know of may have succeeded it."""
    attested = _attest([], others=())
    assert attested.find_unsucceeded_at() == _VALID_UNTIL


@pytest.mark.parametrize("answers", [[], [("b", 104.0), ("c", 103.0)]])
def test_leases_are_renewed_for_the_grace_time(answers):
    attested = _attest(answers)
    end = attested.find_unsucceeded_at() + lease_contract.RENEWAL_GRACE_S
    assert attested.may_renew(end - 0.01)
    assert not attested.may_renew(end)


# Guards against an owner that renews for longer than a successor waits which
# the owner doesn't ask.
@pytest.mark.parametrize("asked_at", [117.5, 118.0, 130.0])
def test_attested_leases_are_renewed_for_a_limited_time(asked_at):
    attested = _attest([("b", asked_at), ("c", asked_at)])
    end = _VALID_UNTIL + lease_contract.MAX_ATTESTED_S
    assert attested.may_renew(end - 0.01)
    assert not attested.may_renew(end)


# Guards against an owner that renews by the answers of some members although
# one that has to attest can't be asked.
def test_answers_prove_nothing_once_not_all_attesters_are_asked():
    attesters = ["b", "c"]
    attested = attestations.Attestations(_OwnerLease(), lambda: attesters)
    for name in attesters:
        attested.note_answer(messages.Beat(name, 1, None, (), False), 105.0)
    assert attested.find_unsucceeded_at() == 105.0
    attesters.clear()
    assert attested.find_unsucceeded_at() == _VALID_UNTIL


# Guards against an owner that stops asking an entry which may have registered
# again and succeeded it.
@pytest.mark.parametrize(
    ("renewed", "unsucceeded_at"), [(0.0, 101.0), (0.5, 109.0)]
)
def test_member_is_asked_until_the_owner_lease_is_renewed(
    renewed, unsucceeded_at
):
    others = ["b", "c"]
    owner_lease = _OwnerLease()
    attested = attestations.Attestations(owner_lease, lambda: others)
    for name, asked_at in (("b", 109.0), ("c", 101.0)):
        beat = messages.Beat(name, 1, None, (), False)
        attested.note_answer(beat, asked_at)
    assert attested.find_unsucceeded_at() == 101.0
    others.remove("c")
    owner_lease.valid_until += renewed
    assert attested.find_unsucceeded_at() == unsucceeded_at
