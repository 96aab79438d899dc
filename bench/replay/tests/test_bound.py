"""Tests that no simulated day exceeds its bound and simple bounds are tight."""

import dataclasses

import pytest

from bench import replay
from crocusrouter import work

_LENGTH_S = 34.0
_IDLE_END_S = 25.0


def _measure_bound(site, arrivals, disruptions, seed):
    return replay.measure_bound(
        site, arrivals, disruptions, seed, _LENGTH_S + _IDLE_END_S
    )


@pytest.mark.parametrize("site_name", ["fbusw", "kilima", "rosario"])
@pytest.mark.parametrize("seed", range(500, 504))
@pytest.mark.parametrize("workers_share", [1.0, 0.5])
def test_no_day_earns_more_than_its_bound(site_name, seed, workers_share):
    site = replay.SITES[site_name]
    workers = round(workers_share * site.workers)
    site = dataclasses.replace(site, workers=workers)
    arrivals = replay.draw_arrivals(site, seed, _LENGTH_S)
    disruptions = replay.draw_disruptions(site, seed, _LENGTH_S)
    outcome = replay.play_day(
        site, arrivals, disruptions, work.PlannerPolicy(), seed, lambda: 0.0
    )
    earned = replay.score_day(outcome.job_results, outcome.wasted).whole_day
    assert earned <= _measure_bound(site, arrivals, disruptions, seed) + 1e-9


def _build_pair_of_jobs(interval_s):
    """Return a pool of one worker and two jobs that each need all of it.

    Each job runs for 2 s and has an objective of 3 s. If both arrive together,
    one ends late and earns a quarter of its value.
    """
    kind = replay.SITES["fbusw"].kinds[0]
    kind = dataclasses.replace(kind, value_on_time=4.0, value_late=1.0)
    site = dataclasses.replace(
        replay.SITES["fbusw"], workers=1, kinds=(kind,), speeds=(1.0,)
    )
    step = work.Step(1, work.Room(32_000, 1000, 8), 2.0)
    jobs = [
        work.Job(f"{n:016x}", "q", "p", "c0", 1, 3, 1.5, 0.0, "", (step,), 0.0)
        for n in range(2)
    ]
    arrivals = [
        replay.Arrival(n * interval_s, kind, job, (2.0,), False, None, 3.0, 4.0)
        for n, job in enumerate(jobs)
    ]
    return site, arrivals


@pytest.mark.parametrize(
    ("interval_s", "least", "most"),
    [
        (10.0, 1.0, 1.0),
        # In 3 s the worker completes one and a half jobs; the rest is late.
        (0.0, 0.8, 0.83),
    ],
)
def test_bound_of_two_jobs(interval_s, least, most):
    site, arrivals = _build_pair_of_jobs(interval_s)
    assert least <= _measure_bound(site, arrivals, [], 1) <= most


def test_bound_without_jobs_is_1():
    assert _measure_bound(replay.SITES["fbusw"], [], [], 1) == 1.0
