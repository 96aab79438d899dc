"""Tests of the speeds of workers that are learned on simulated days."""

import pytest

from bench import replay
from crocusrouter import work

_LENGTH_S = 34.0


def _play_day(site_name, seed):
    site = replay.SITES[site_name]
    return replay.play_day(
        site,
        replay.draw_arrivals(site, seed, _LENGTH_S),
        replay.draw_disruptions(site, seed, _LENGTH_S),
        work.PlannerPolicy(),
        seed,
        read_clock=lambda: 0.0,
    )


def test_learned_groups_agree_with_the_true_speeds():
    """Guards against groups that come late in a day or are wrong.

    On this day 17% of the workers slow down to 1/6.5 and 10% stall.
    """
    outcome = _play_day("uneven", 302)
    assert any(groups.is_split for at, groups in outcome.speed_groups if at < 8)
    for start, wrong_share in ((6.0, 0.15), (12.0, 0.08)):
        checked = [
            groups
            for at, groups in outcome.speed_groups
            if start < at < _LENGTH_S and groups.is_split
        ]
        assert checked
        for groups in checked:
            wrong = [
                name
                for name in groups.fast | groups.slow
                if (name in groups.fast) != (outcome.true_speeds[name] > 1.0)
            ]
            known = len(groups.fast) + len(groups.slow)
            assert len(wrong) <= wrong_share * known


# A worker's speed is 0.8, 1.0 or 1.25 on "rosario" and 1.0 on "fbusw"; the run
# times of a step's tasks differ by up to 30%.
@pytest.mark.parametrize("site", ["rosario", "fbusw"])
@pytest.mark.parametrize("seed", [300, 301, 302, 303])
def test_alike_workers_are_never_split(site, seed):
    """Guards against rules for two kinds of workers where there are none."""
    outcome = _play_day(site, seed)
    assert outcome.speed_groups
    assert not any(groups.is_split for _, groups in outcome.speed_groups)
