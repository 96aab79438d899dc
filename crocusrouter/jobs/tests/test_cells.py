import itertools

import hypothesis
from hypothesis import strategies
import pytest

from crocusrouter.jobs import cells
from crocusrouter.jobs.tests import build
from crocusrouter.templates import Level


def _build_demand(level, size, customer="c"):
    return cells.CellDemand(customer, Level(level), size)


@pytest.mark.parametrize(
    ("free_masks", "shapes", "fits"),
    [
        ((0xFF, 0xFF), [], True),
        ((0xFF, 0xFF), [("rack", 16)], True),
        ((0xFF, 0x7F), [("rack", 16)], False),
        ((0xFF, 0xFF, 0xFF, 0xFF), [("rack", 16), ("rack", 16)], True),
        ((0xFF, 0xFF, 0xFF, 0xFF), [("rack", 16), ("worker", 8)] * 2, False),
        # Enough accelerators in total, but at most 4 on one worker.
        ((0x0F, 0x0F), [("worker", 5)], False),
        ((0x0F, 0x0F), [("rack", 8)], True),
        ((0x0F, 0x0F, 0x0F), [("data-centre", 12)], True),
        # The small cell must not take the only worker that holds the large
        # cell.
        ((0x0F, 0xFF), [("worker", 4), ("worker", 8)], True),
        # A worker cell in the first rack would leave no rack for the rack cell.
        ((0xFF, 0xFF, 0xFF, 0x00), [("worker", 8), ("rack", 16)], True),
    ],
)
def test_embed(free_masks, shapes, fits):
    result = cells.embed(
        [_build_demand(*shape) for shape in shapes],
        build.build_capacities(*free_masks),
    )
    assert isinstance(result, cells.Embedding) is fits


def _is_valid(embedding, capacities):
    used_masks = dict.fromkeys(capacities, 0)
    for demand, allocation in zip(
        embedding.demands, embedding.allocations, strict=True
    ):
        assert sum(m.size for m in allocation) == demand.accelerators
        racks = {capacities[m.worker].rack for m in allocation}
        assert demand.level is Level.DATA_CENTRE or len(racks) == 1
        assert demand.level is not Level.WORKER or len(allocation) == 1
        for member in allocation:
            assert member.mask & ~capacities[member.worker].usable_mask == 0
            assert member.mask & used_masks[member.worker] == 0
            used_masks[member.worker] |= member.mask
    return True


def _search_exhaustively(demands, counts):
    """Tell whether an embedding exists, by brute force over the free counts."""
    if not demands:
        return True
    demand, *rest = demands
    units = {
        Level.WORKER: [[i] for i in range(len(counts))],
        Level.RACK: [[0, 1], [2, 3]],
        Level.DATA_CENTRE: [[0, 1, 2, 3]],
    }[demand.level]
    for unit in units:
        ranges = [range(min(counts[i], demand.accelerators) + 1) for i in unit]
        for used_counts in itertools.product(*ranges):
            if sum(used_counts) != demand.accelerators:
                continue
            remaining_counts = list(counts)
            for i, used_count in zip(unit, used_counts, strict=True):
                remaining_counts[i] -= used_count
            if _search_exhaustively(rest, remaining_counts):
                return True
    return False


_DEMANDS = strategies.lists(
    strategies.builds(
        cells.CellDemand,
        strategies.sampled_from("ab"),
        strategies.sampled_from(Level),
        strategies.integers(1, 5),
    ),
    max_size=4,
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    demands=_DEMANDS,
    free_masks=strategies.lists(
        strategies.integers(0, 15), min_size=4, max_size=4
    ),
)
def test_embed_agrees_with_brute_force(demands, free_masks):
    capacities = build.build_capacities(*free_masks)
    result = cells.embed(demands, capacities)
    exists = _search_exhaustively(
        demands, [mask.bit_count() for mask in free_masks]
    )
    if isinstance(result, cells.Embedding):
        assert exists
        assert _is_valid(result, capacities)
    else:
        # The search is bounded, but at this size it must be complete.
        assert not exists


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    demands=_DEMANDS,
    worker_masks=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 15), strategies.integers(0, 15)
        ),
        min_size=4,
        max_size=4,
    ),
)
def test_embed_among_loans_agrees_with_brute_force(demands, worker_masks):
    """Loans must not hide a place in which a guaranteed cell embeds."""
    capacities = {
        name: capacity._replace(reclaimable_mask=usable & ~capacity.free_mask)
        for (name, capacity), (_, usable) in zip(
            build.build_capacities(
                *(free & usable for free, usable in worker_masks)
            ).items(),
            worker_masks,
            strict=True,
        )
    }
    result = cells.embed(demands, capacities)
    if isinstance(result, cells.Embedding):
        assert _is_valid(result, capacities)
    else:
        assert not _search_exhaustively(
            demands, [usable.bit_count() for _, usable in worker_masks]
        )


def test_cells_embed_where_all_workers_hold_different_loans():
    """The only place of a small cell was not tried, as loans had to stop."""
    racks = {f"w{number}": f"r{number // 2}" for number in range(6)}
    masks = [(15, 0), (0, 12), (15, 0), (3, 12), (7, 8), (15, 0)]
    capacities = {
        name: cells.WorkerCapacity(name, rack, *masks[number])
        for number, (name, rack) in enumerate(racks.items())
    }
    shapes = [("rack", 8), ("rack", 8), ("worker", 4), ("worker", 2)]
    result = cells.embed(
        [_build_demand(*shape) for shape in shapes], capacities
    )
    assert isinstance(result, cells.Embedding)


def test_free_accelerators_are_used_before_reclaimable_ones():
    capacities = build.build_capacities(0x0F, 0xFF)
    capacities["w0"] = cells.WorkerCapacity(
        "w0", "r0", free_mask=0, reclaimable_mask=0xFF
    )
    allocation = cells.find_allocation(_build_demand("worker", 8), capacities)
    assert [m.worker for m in allocation] == ["w1"]
