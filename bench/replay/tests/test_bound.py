"""No replayed day earns more than its bound, and simple bounds are tight."""

import dataclasses

import pytest

from bench import replay
from crocusrouter import work

_LENGTH_S = 34.0
_CALM_S = 25.0


def _bound(site, arrivals, troubles, seed):
    return replay.measure_bound(
        site, arrivals, troubles, seed, _LENGTH_S + _CALM_S
    )


@pytest.mark.parametrize("site_name", ["fbusw", "kilima", "rosario"])
@pytest.mark.parametrize("seed", range(500, 504))
@pytest.mark.parametrize("workers_share", [1.0, 0.5])
def test_no_day_earns_more_than_its_bound(site_name, seed, workers_share):
    site = replay.SITES[site_name]
    workers = round(workers_share * site.workers)
    site = dataclasses.replace(site, workers=workers)
    arrivals = replay.draw_arrivals(site, seed, _LENGTH_S)
    troubles = replay.draw_troubles(site, seed, _LENGTH_S)
    outcome = replay.play_day(
        site, arrivals, troubles, work.PlannerPolicy(), seed, lambda: 0.0
    )
    earned = replay.measure_worth(outcome.served, outcome.wasted).whole
    assert earned <= _bound(site, arrivals, troubles, seed) + 1e-9


def _pair(apart_s):
    """Return a pool of one worker and two jobs that each need all of it.

    Each takes 2 s and may take 3, so that one of two that come together is
    late, and earns a quarter.
    """
    kind = replay.SITES["fbusw"].kinds[0]
    kind = dataclasses.replace(kind, worth=4.0, late_worth=1.0)
    site = dataclasses.replace(
        replay.SITES["fbusw"], workers=1, kinds=(kind,), speeds=(1.0,)
    )
    step = work.Step(1, work.Room(32_000, 1000, 8), 2.0)
    jobs = [
        work.Job(f"{n:016x}", "q", "p", "c0", 1, 3, 1.5, 0.0, "", (step,), 0.0)
        for n in range(2)
    ]
    arrivals = [
        replay.Arrival(n * apart_s, kind, job, (2.0,), False, None, 3.0, 4.0)
        for n, job in enumerate(jobs)
    ]
    return site, arrivals


@pytest.mark.parametrize(
    ("apart_s", "least", "most"),
    [
        (10.0, 1.0, 1.0),
        # 3 s of the worker serve one and a half; the rest is late.
        (0.0, 0.8, 0.83),
    ],
)
def test_bound_of_two_jobs(apart_s, least, most):
    site, arrivals = _pair(apart_s)
    assert least <= _bound(site, arrivals, [], 1) <= most


def test_nothing_owed_is_whole():
    assert _bound(replay.SITES["fbusw"], [], [], 1) == 1.0
