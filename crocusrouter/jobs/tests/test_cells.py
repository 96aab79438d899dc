import itertools

import hypothesis
from hypothesis import strategies
import pytest

from crocusrouter.jobs import cells
from crocusrouter.jobs.tests import build
from crocusrouter.templates import Level


def _need(level, size, customer="c"):
    return cells.Need(customer, Level(level), size)


@pytest.mark.parametrize(
    ("floor", "needs", "fits"),
    [
        ((0xFF, 0xFF), [], True),
        ((0xFF, 0xFF), [("rack", 16)], True),
        ((0xFF, 0x7F), [("rack", 16)], False),
        ((0xFF, 0xFF, 0xFF, 0xFF), [("rack", 16), ("rack", 16)], True),
        ((0xFF, 0xFF, 0xFF, 0xFF), [("rack", 16), ("worker", 8)] * 2, False),
        # Counts add up, shapes don't: 8 free, at most 4 on a worker.
        ((0x0F, 0x0F), [("worker", 5)], False),
        ((0x0F, 0x0F), [("rack", 8)], True),
        ((0x0F, 0x0F, 0x0F), [("data-centre", 12)], True),
        # The tight cell must not take the only worker that holds the wide one.
        ((0x0F, 0xFF), [("worker", 4), ("worker", 8)], True),
        # A worker cell in the wrong rack would break the rack cell.
        ((0xFF, 0xFF, 0xFF, 0x00), [("worker", 8), ("rack", 16)], True),
    ],
)
def test_embed(floor, needs, fits):
    found = cells.embed(
        [_need(*need) for need in needs], build.build_floor(*floor)
    )
    assert isinstance(found, cells.Embedding) is fits


def _is_valid(found, floor):
    taken = dict.fromkeys(floor, 0)
    for need, spot in zip(found.needs, found.spots, strict=True):
        assert sum(m.size for m in spot) == need.accelerators
        racks = {floor[m.worker].rack for m in spot}
        assert need.level is Level.DATA_CENTRE or len(racks) == 1
        assert need.level is not Level.WORKER or len(spot) == 1
        for member in spot:
            assert member.mask & ~floor[member.worker].usable == 0
            assert member.mask & taken[member.worker] == 0
            taken[member.worker] |= member.mask
    return True


def _search_all(needs, counts):
    """Brute force over counts per worker: exact for small fleets."""
    if not needs:
        return True
    need, *rest = needs
    units = {
        Level.WORKER: [[i] for i in range(len(counts))],
        Level.RACK: [[0, 1], [2, 3]],
        Level.DATA_CENTRE: [[0, 1, 2, 3]],
    }[need.level]
    for unit in units:
        ranges = [range(min(counts[i], need.accelerators) + 1) for i in unit]
        for taken in itertools.product(*ranges):
            if sum(taken) != need.accelerators:
                continue
            left = list(counts)
            for i, number in zip(unit, taken, strict=True):
                left[i] -= number
            if _search_all(rest, left):
                return True
    return False


_NEEDS = strategies.lists(
    strategies.builds(
        cells.Need,
        strategies.sampled_from("ab"),
        strategies.sampled_from(Level),
        strategies.integers(1, 5),
    ),
    max_size=4,
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    needs=_NEEDS,
    masks=strategies.lists(strategies.integers(0, 15), min_size=4, max_size=4),
)
def test_embed_agrees_with_brute_force(needs, masks):
    floor = build.build_floor(*masks)
    found = cells.embed(needs, floor)
    exists = _search_all(needs, [mask.bit_count() for mask in masks])
    if isinstance(found, cells.Embedding):
        assert exists
        assert _is_valid(found, floor)
    else:
        # The search is bounded, but at this size it must be complete.
        assert not exists


def test_loans_are_broken_last():
    floor = build.build_floor(0x0F, 0xFF)
    floor["w0"] = cells.Space("w0", "r0", free=0, lent=0xFF)
    spot = cells.find_spot(_need("worker", 8), floor)
    assert [m.worker for m in spot] == ["w1"]
