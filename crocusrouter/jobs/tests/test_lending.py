import pytest

from crocusrouter.jobs import cells
from crocusrouter.jobs import claims
from crocusrouter.jobs import lending
from crocusrouter.jobs import model
from crocusrouter.jobs.tests import build
from crocusrouter.templates import Level

# Two racks of two workers with four accelerators each.
_DEMANDS = (
    cells.CellDemand("a", Level.RACK, 8, 0),
    cells.CellDemand("b", Level.WORKER, 2, 0),
    cells.CellDemand("b", Level.WORKER, 2, 1),
)


def _allocate(job_id, cell, worker, mask):
    members = (model.Member(worker, mask),)
    claim = model.CellClaim(cell, members)
    return claims.JobAllocation(job_id, "b", members, (claim,))


def _build_capacities(job_allocations):
    capacities = build.build_capacities(15, 15, 15, 15)
    return cells.subtract_allocations(
        capacities,
        [job_allocation.allocation for job_allocation in job_allocations],
    )


@pytest.mark.parametrize(
    ("placed", "lent"),
    [
        ([], []),
        ([("j1", 0, "w0", 0b11)], []),
        # Each rack has lost a part to a claim.
        ([("j1", 0, "w0", 0b11), ("j2", 1, "w2", 0b11)], ["j1"]),
        ([("j2", 1, "w2", 0b11), ("j1", 0, "w0", 0b11)], ["j2"]),
    ],
    ids=["empty", "embeds", "first-goes", "order-decides"],
)
def test_claims_are_lent_if_other_cells_need_their_place(placed, lent):
    """A customer's guaranteed rack stays broken up while claims stay there."""
    job_allocations = [_allocate(*fields) for fields in placed]
    assert (
        lending.choose_claims_to_lend(
            _DEMANDS, job_allocations, _build_capacities(job_allocations)
        )
        == lent
    )


def test_no_claim_is_lent_without_need():
    """A claim that is in nobody's way must not become reclaimable."""
    job_allocations = [
        _allocate("j0", 0, "w1", 0b0001),
        _allocate("j2", 1, "w2", 0b11),
        _allocate("j1", 0, "w1", 0b0010),
    ]
    assert lending.choose_claims_to_lend(
        _DEMANDS, job_allocations, _build_capacities(job_allocations)
    ) == ["j2"]


def test_no_claim_is_lent_in_vain():
    """Claims stay if the guarantees exceed what there is."""
    demands = (*_DEMANDS, cells.CellDemand("c", Level.RACK, 8, 0))
    job_allocations = [
        _allocate("j1", 0, "w0", 0b11),
        _allocate("j2", 1, "w2", 0b11),
    ]
    assert not lending.choose_claims_to_lend(
        demands, job_allocations, _build_capacities(job_allocations)
    )
