import pytest

from crocusrouter.jobs import cells
from crocusrouter.jobs import model
from crocusrouter.jobs import placement
from crocusrouter.jobs.tests import build
from crocusrouter.templates import Level


@pytest.mark.parametrize(
    ("urgent", "spare_mask", "allocated"),
    [
        (False, 0xFF, "w2"),
        # An urgent job would lose a loan again.
        (True, 0xFF, None),
        (False, 0x07, None),
    ],
    ids=["borrows", "urgent", "nothing-free"],
)
def test_claim_of_several_cells_of_which_one_is_out_of_use(
    urgent, spare_mask, allocated
):
    """A job would wait for ever for a cell on a worker on which it failed."""
    demands = tuple(
        cells.CellDemand("c", Level.WORKER, 4, index) for index in range(2)
    )
    bindings = {
        ("c", index): (model.Member(f"w{index}", 0x0F),) for index in range(2)
    }
    context = placement.PlacementContext(
        build.build_capacities(0, 0x0F, spare_mask), demands, bindings
    )
    request = placement.PlacementRequest(
        "dc.1", "c", Level.DATA_CENTRE, 8, urgent
    )
    result = placement.place_job(request, context)
    if allocated is None:
        assert isinstance(result, placement.NoPlacement)
        assert "on which the job failed" in result.detail
    else:
        assert [member.worker for member in result.allocation] == [allocated]
        assert result.claims == ()
