import math
import random

import pytest

from crocusrouter.work import model
from crocusrouter.work import progress as progresses
from crocusrouter.work import speed_groups
from crocusrouter.work import speeds
from crocusrouter.work import tracking
from crocusrouter.work import worker_port
from crocusrouter.work.tests import build

_EQUAL = (1.0,)
_TWO_KINDS = (0.7, 0.7, 1.7)
_CONTINUUM = (0.8, 1.0, 1.25)


class _Pool:
    """Workers of given speeds that advance runs and report once a second."""

    def __init__(self, true_speeds, seed=1, racks=None):
        self.random = random.Random(seed)
        self.true_speeds = dict(true_speeds)
        self.slowdowns = {}
        entries = {
            worker_id: tracking.Worker(
                build.make_entry(worker_id, (racks or {}).get(worker_id, "r0"))
            )
            for worker_id in self.true_speeds
        }
        self.speeds = speeds.WorkerSpeeds(entries)
        self.now = 0.0
        self.runs = []
        self.work_s = {}
        self.done_s = {}
        self.step_count = 0

    def start(self, worker_ids, work_s, *, spread=0.0, **overrides):
        """Start one run of a new step on each of some workers."""
        self.step_count += 1
        overrides = {"expected_s": 3.0} | overrides
        step = build.make_step(len(worker_ids), **overrides)
        key = model.StepKey(f"j{self.step_count}", 0, 0)
        tracked_step = tracking.TrackedStep(
            key, step, progresses.StepProgress(), set()
        )
        for index, worker_id in enumerate(worker_ids):
            run = tracking.Run(
                model.TaskKey(*key, index),
                self.step_count,
                worker_id,
                self.now,
                tracking.Phase.RUNNING,
                self.now,
            )
            tracked_step.runs_by_index[index] = run
            run.tracked_step = tracked_step
            self.runs.append(run)
            factor = math.exp(self.random.gauss(0.0, spread))
            self.work_s[run.key] = work_s * factor
            self.done_s[run.key] = 0.0
        return tracked_step

    def advance(self, duration_s, tick_s=0.1):
        """Let the runs progress; each worker reports at its own moment."""
        for _ in range(round(duration_s / tick_s)):
            self.now += tick_s
            tick = round(self.now / tick_s)
            reporting = {
                worker_id
                for number, worker_id in enumerate(self.true_speeds)
                if (tick + 3 * number) % round(1 / tick_s) == 0
            }
            for run in self.runs:
                worker_id = run.worker_id
                self.done_s[run.key] += (
                    tick_s
                    * self.true_speeds[worker_id]
                    * self.slowdowns.get(worker_id, 1.0)
                )
                if worker_id in reporting:
                    self.report(run, self.find_percent(run))
            self._end_runs()

    def find_percent(self, run):
        return min(100.0, 100 * self.done_s[run.key] // self.work_s[run.key])

    def report(self, run, percent):
        run.percent = percent
        step = run.tracked_step
        self.speeds.observe(run, step, step.runs_by_index.values(), self.now)

    def _end_runs(self):
        """End finished runs; a gang ends with its slowest member."""
        for run in list(self.runs):
            step = run.tracked_step
            is_over = self.done_s[run.key] >= self.work_s[run.key]
            if step.step.gang:
                is_over = all(
                    self.done_s[member.key] >= self.work_s[member.key]
                    for member in step.runs_by_index.values()
                )
            if is_over:
                self.runs.remove(run)

    def play(self, duration_s, *, idle=frozenset(), spread=0.15, apart=False):
        """Keep all workers busy with random gangs and single tasks.

        Args:
            duration_s: Seconds to play.
            idle: Workers that get nothing.
            spread: Spread of the tasks' work within a step.
            apart: Whether the tasks of a step all get workers of one speed.
        """
        splits = []
        for _ in range(round(duration_s / 0.5)):
            busy = {run.worker_id for run in self.runs}
            free = sorted(self.true_speeds.keys() - busy - idle)
            if apart:
                kind = self.random.choice(
                    sorted(set(self.true_speeds.values()))
                )
                free = [name for name in free if self.true_speeds[name] == kind]
            self.random.shuffle(free)
            while len(free) > 1:
                width = self.random.choice((2, 3, 5, 13))
                chosen, free = free[:width], free[width:]
                is_straggler = self.random.random() < 0.03
                self.start(
                    chosen,
                    self.random.uniform(1.0, 6.0) * (7 if is_straggler else 1),
                    spread=spread,
                    gang=self.random.random() < 0.7,
                )
            self.advance(0.5)
            splits.append(self.speeds.find_groups().is_split)
        return splits

    def list_wrong(self, boundary=1.0):
        """Return the workers with an estimate that are in the wrong group."""
        groups = self.speeds.find_groups()
        return [
            worker_id
            for worker_id in groups.fast | groups.slow
            if (worker_id in groups.fast)
            != (self.true_speeds[worker_id] > boundary)
        ]


def _make_pool(kinds, count=60, seed=1):
    return _Pool(
        {f"w{n:03}": kinds[n % len(kinds)] for n in range(count)}, seed
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("kinds", "count", "duration_s"),
    [(_TWO_KINDS, 60, 10.0), (_TWO_KINDS, 176, 10.0), ((0.6, 1.2), 100, 20.0)],
)
def test_two_kinds_of_workers_are_told_apart_within_seconds(
    kinds, count, duration_s, seed
):
    """Guards against a split that comes too late to be of use in a day."""
    pool = _make_pool(kinds, count, seed)
    pool.play(duration_s)
    groups = pool.speeds.find_groups()
    assert groups.is_split
    assert len(groups.fast | groups.slow) > 0.9 * count
    assert len(pool.list_wrong()) < 0.08 * count
    ratio = groups.fast_speed / groups.slow_speed
    assert ratio == pytest.approx(max(kinds) / min(kinds), rel=0.25)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [24, 60, 176])
@pytest.mark.parametrize("kinds", [_EQUAL, _CONTINUUM])
def test_alike_workers_are_not_split(kinds, count, seed):
    """Guards against groups that noise or a continuum of speeds forms."""
    assert not any(_make_pool(kinds, count, seed).play(20.0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transient_slow_down_of_some_workers_is_no_group(seed):
    """Guards against a group of a fifth of the workers that are disturbed."""
    pool = _make_pool(_EQUAL, 60, seed)
    splits = pool.play(5.0)
    pool.slowdowns = dict.fromkeys(list(pool.true_speeds)[::5], 0.2)
    splits += pool.play(7.0)
    pool.slowdowns = {}
    splits += pool.play(10.0)
    assert not any(splits)


@pytest.mark.parametrize("kinds", [_EQUAL, _CONTINUUM, _TWO_KINDS])
def test_workers_that_never_ran_have_no_estimate(kinds):
    """Guards against groups that include workers of which nothing is known."""
    pool = _make_pool(kinds, 60)
    idle = frozenset(list(pool.true_speeds)[:18])
    splits = pool.play(12.0, idle=idle)
    groups = pool.speeds.find_groups()
    assert groups.is_split == (kinds == _TWO_KINDS)
    assert any(splits) == (kinds == _TWO_KINDS)
    assert not idle & (groups.fast | groups.slow)
    assert all(pool.speeds.find_speed(worker_id) is None for worker_id in idle)


def _play_one_step(percents, *, gang=True, **overrides):
    """Return a pool after one step of which the first run reports `percents`.

    The other two runs progress by 20 percent a second.
    """
    pool = _Pool({"w0": 1.0, "w1": 1.0, "w2": 1.0})
    step = pool.start(["w0", "w1", "w2"], 5.0, gang=gang, **overrides)
    first, *others = step.runs_by_index.values()
    for number, percent in enumerate(percents):
        pool.now += 1.0
        pool.report(first, percent)
        for run in others:
            pool.report(run, 20.0 * (number + 1))
    return pool


@pytest.mark.parametrize(
    ("percents", "low", "high"),
    [
        ([20.0, 40.0], 0.9, 1.1),
        ([40.0, 80.0], 1.7, 2.3),
        ([10.0, 20.0], 0.4, 0.6),
        ([60.0, 100.0, 100.0], 2.5, 3.5),  # waits at 100 for the others
        ([0.0, 100.0, 100.0], 1.2, 3.0),  # only a lower bound is known
        ([40.0, 999.0, 999.0], 1.7, 2.6),  # progress above 100
        ([40.0, 80.0, 10.0, 50.0], 1.7, 2.3),  # falling: measured anew
        ([40.0, 80.0, -5.0], None, None),  # falling: unknown until measured
        ([0.0, 0.0, 0.0], None, None),  # no progress is ever reported
        ([math.nan, math.nan], None, None),
        ([math.nan, 40.0, 60.0], 0.9, 1.1),
    ],
)
@pytest.mark.parametrize("gang", [True, False])
def test_progress_of_one_run(percents, low, high, gang):
    """Guards against reports that break an estimate."""
    pool = _play_one_step(percents, gang=gang)
    speed, other = map(pool.speeds.find_speed, ("w0", "w1"))
    assert other is not None and math.isfinite(other)
    if low is None:
        assert speed is None or 0.3 < speed / other < 3.0
    else:
        assert low < speed / other < high


@pytest.mark.parametrize(
    "overrides",
    [{"lasting": True}, {"fills": True}],
)
def test_steps_that_are_not_observed(overrides):
    pool = _play_one_step([20.0, 40.0], gang=False, **overrides)
    assert pool.speeds.list_estimates() == []


@pytest.mark.parametrize(
    "change",
    [
        {"pace": 50},
        {"phase": tracking.Phase.STOPPING},
        {"confirmed_at": None},
    ],
)
def test_runs_that_are_not_observed(change):
    """Guards against runs whose rate tells nothing of their worker."""
    pool = _Pool({"w0": 1.0, "w1": 1.0})
    step = pool.start(["w0", "w1"], 5.0)
    for name, value in change.items():
        setattr(step.runs_by_index[0], name, value)
    pool.advance(3.0)
    assert pool.speeds.list_estimates() == []


def test_step_on_one_worker_is_not_observed():
    """Guards against a speed that has nothing to be compared with."""
    pool = _Pool({"w0": 1.0})
    pool.start(["w0", "w0"], 5.0)
    pool.advance(3.0)
    assert pool.speeds.find_speed("w0") is None


def test_gang_begins_to_work_with_its_last_member():
    """Guards against low rates of members that have waited for others."""
    pool = _Pool({"w0": 1.0, "w1": 1.0})
    step = pool.start(["w0", "w1"], 5.0, gang=True)
    step.runs_by_index[1].confirmed_at = None
    for run in step.runs_by_index.values():
        pool.now = 4.0
        pool.report(run, 0.0)
    step.runs_by_index[1].confirmed_at = 4.5
    for pool.now, percent in ((5.5, 20.0), (6.5, 40.0)):
        for run in step.runs_by_index.values():
            pool.report(run, percent)
    estimates = pool.speeds.list_estimates()
    assert [estimate.speed for estimate in estimates] == [
        pytest.approx(estimates[0].speed)
    ] * 2


@pytest.mark.parametrize("is_resumed", [True, False])
@pytest.mark.parametrize("gang", [True, False])
def test_run_with_unknown_start_is_measured_between_reports(gang, is_resumed):
    """Guards against high rates of runs that were adopted or are resumed."""
    pool = _Pool({"w0": 1.0, "w1": 1.0})
    step = pool.start(["w0", "w1"], 5.0, gang=gang)
    if is_resumed:
        step.progress.checkpoints[0] = "c"
    else:
        step.runs_by_index[0].confirmed_at = 1.0
    for pool.now, percent in ((1.0, 60.0), (2.0, 80.0), (3.0, 95.0)):
        pool.report(step.runs_by_index[0], percent)
        pool.report(step.runs_by_index[1], 20.0 * pool.now)
    speeds_by_worker = [pool.speeds.find_speed(w) for w in ("w0", "w1")]
    assert speeds_by_worker[0] == pytest.approx(speeds_by_worker[1], rel=0.2)


def test_tasks_outside_the_rack_of_their_data_are_compared_apart():
    """Guards against slow workers that are only far from their step's data."""
    racks = {"w0": "r0-0", "w1": "r0-0", "w2": "r0-1", "w3": "r0-1"}
    pool = _Pool(dict.fromkeys(racks, 1.0), racks=racks)
    step = pool.start(list(racks), 5.0, rack="r0-0")
    for index in (2, 3):
        pool.work_s[step.runs_by_index[index].key] *= 3
    pool.advance(4.0)
    estimates = pool.speeds.list_estimates()
    assert len(estimates) == 4
    for estimate in estimates:
        assert estimate.speed == pytest.approx(estimates[0].speed, rel=0.1)


def test_straggler_task_does_not_make_its_worker_slow():
    """Guards against a slow worker because of one task that is long itself."""
    names = [f"w{n}" for n in range(6)]
    pool = _Pool(dict.fromkeys(names, 1.0))
    for _ in range(3):
        pool.start(names, 4.0)
        pool.advance(4.5)
    step = pool.start(names, 4.0)
    pool.work_s[step.runs_by_index[0].key] *= 7
    for _ in range(6):
        pool.advance(1.0)
        assert not pool.speeds.is_slowed("w0", pool.now)
    assert pool.speeds.find_speed("w0") == pytest.approx(
        pool.speeds.find_speed("w1"), rel=0.2
    )


def _play_slow_down(factor):
    """Return a pool whose worker "w0" was measured before it slows down."""
    names = [f"w{n}" for n in range(4)]
    pool = _Pool(dict.fromkeys(names, 1.0))
    for _ in range(2):
        pool.start(names, 4.0)
        pool.advance(4.5)
    pool.start(names, 20.0)
    pool.start(names, 20.0)
    pool.advance(5.0)
    assert not pool.speeds.is_slowed("w0", pool.now)
    pool.slowdowns = {"w0": factor}
    return pool


@pytest.mark.parametrize("factor", [0.0, 0.15, 0.25])
def test_transient_slow_down_is_found_and_ends(factor):
    """Guards against work on a slowed worker, and a mark that never ends."""
    pool = _play_slow_down(factor)
    pool.advance(3.0)
    assert pool.speeds.is_slowed("w0", pool.now)
    assert not pool.speeds.is_slowed("w1", pool.now)
    pool.advance(4.0)
    assert pool.speeds.is_slowed("w0", pool.now)
    pool.slowdowns = {}
    pool.advance(2.5)
    assert not pool.speeds.is_slowed("w0", pool.now)
    assert pool.speeds.find_speed("w0") == pytest.approx(
        pool.speeds.find_speed("w1"), rel=0.1
    )


def test_slow_down_ends_without_evidence():
    """Guards against a worker that gets no work for ever as it has no runs."""
    pool = _play_slow_down(0.1)
    pool.advance(3.0)
    pool.runs = [run for run in pool.runs if run.worker_id != "w0"]
    assert pool.speeds.is_slowed("w0", pool.now)
    assert not pool.speeds.is_slowed("w0", pool.now + 4.1)


def test_one_of_two_slow_runs_is_no_slow_down():
    """Guards against a slowed worker because one of its runs has stalled."""
    pool = _play_slow_down(1.0)
    stalled = next(run for run in pool.runs if run.worker_id == "w0")
    percent = stalled.percent
    pool.runs.remove(stalled)
    for _ in range(4):
        pool.advance(1.0)
        pool.report(stalled, percent)
        assert not pool.speeds.is_slowed("w0", pool.now)


def test_clock_that_does_not_advance_between_two_reports():
    """Guards against a division by no elapsed time."""
    pool = _Pool({"w0": 1.0, "w1": 1.0})
    step = pool.start(["w0", "w1"], 5.0)
    for pool.now, percent in ((1.0, 20.0), (1.0, 30.0), (0.5, 35.0)):
        for run in step.runs_by_index.values():
            pool.report(run, percent)
    for pool.now, percent in ((2.0, 40.0), (3.0, 60.0)):
        for run in step.runs_by_index.values():
            pool.report(run, percent)
    assert len({round(e.speed, 6) for e in pool.speeds.list_estimates()}) == 1


def test_incarnation_that_restarts_as_another_kind():
    """Guards against the speed of a process that is gone."""
    names = [f"w{n}" for n in range(9)]
    pool = _Pool(dict.fromkeys(names, 1.0) | {"w0": 3.0})
    for _ in range(4):
        pool.start(names, 6.0)
        pool.advance(6.5)
    assert pool.speeds.find_speed("w0") > 2 * pool.speeds.find_speed("w1")
    pool.speeds.forget("w0")
    assert pool.speeds.find_speed("w0") is None
    assert all(e.worker_id != "w0" for e in pool.speeds.list_estimates())
    pool.true_speeds["w0"] = 1.0
    for _ in range(2):
        pool.start(names, 6.0)
        pool.advance(6.5)
    assert pool.speeds.find_speed("w0") == pytest.approx(
        pool.speeds.find_speed("w1"), rel=0.1
    )


def test_forgotten_worker_leaves_its_group():
    """Guards against groups that name workers that are gone."""
    pool = _make_pool(_TWO_KINDS)
    pool.play(10.0)
    gone = sorted(pool.speeds.find_groups().fast)[0]
    pool.speeds.forget(gone)
    groups = pool.speeds.find_groups()
    assert groups.is_split
    assert gone not in groups.fast | groups.slow


def test_restored_estimates_are_used_until_two_runs_replace_them():
    """Guards against speeds that a successor takes over and never drops."""
    names = [f"w{n}" for n in range(24)]
    pool = _Pool(dict.fromkeys(names, 1.0))
    pool.speeds.restore(
        speeds.SpeedEstimate(name, 0.7 if n % 3 else 1.7, 8, -5.0)
        for n, name in enumerate(names)
    )
    assert pool.speeds.find_groups().is_split
    assert pool.speeds.find_speed("w0") == pytest.approx(1.7)
    estimate = pool.speeds.list_estimates()[0]
    assert (estimate.runs, estimate.since) == (1, -5.0)
    for _ in range(3):
        pool.start(names, 4.0, expected_s=4.0)
        pool.advance(4.5)
    assert not pool.speeds.find_groups().is_split
    assert pool.speeds.find_speed("w0") == pytest.approx(
        pool.speeds.find_speed("w1"), rel=0.1
    )


@pytest.mark.parametrize("speed", [0.0, -1.0, math.nan, math.inf])
def test_restored_estimates_that_make_no_sense_are_ignored(speed):
    pool = _Pool({"w0": 1.0})
    pool.speeds.restore([speeds.SpeedEstimate("w0", speed, 2, 0.0)])
    assert pool.speeds.find_speed("w0") is None


def test_changes_are_taken_once():
    """Guards against a log line for each report."""
    names = [f"w{n}" for n in range(9)]
    pool = _Pool(dict.fromkeys(names, 1.0) | {"w0": 2.0})
    pool.start(names, 6.0)
    pool.advance(3.0)
    changes = pool.speeds.take_changes()
    assert {change.worker_id for change in changes} == set(names)
    assert {change.before for change in changes} == {None}
    assert pool.speeds.take_changes() == []
    pool.speeds.restore([])
    assert pool.speeds.take_changes() == []
    pool.true_speeds["w0"] = 1.0
    pool.advance(4.0)
    for _ in range(8):
        pool.start(names, 6.0)
        pool.advance(6.5)
    (change,) = [c for c in pool.speeds.take_changes() if c.worker_id == "w0"]
    assert change.before > 1.25 * change.after
    assert change.runs > 1


def test_scale_follows_the_declared_times():
    """Guards against speeds that are right only relative to each other."""
    names = [f"w{n:02}" for n in range(12)]
    pool = _Pool({name: 0.5 for name in names})
    for _ in range(40):
        pool.start(names, 2.0, expected_s=2.0)
        pool.advance(4.2)
    assert pool.speeds.find_speed("w00") == pytest.approx(0.5, rel=0.2)


# A job may declare no run time, or, by a client's fault, an endless one. The
# scale has no logarithm of either, and such steps say nothing about it.
@pytest.mark.parametrize("expected_s", [0.0, math.inf])
def test_steps_without_a_usable_run_time_leave_the_scale(expected_s):
    pool = _make_pool(_TWO_KINDS)
    pool.play(10.0)
    names = sorted(pool.true_speeds)
    for _ in range(40):
        pool.start(names[:12], 1.0, expected_s=expected_s)
        pool.advance(0.5)
    groups = pool.speeds.find_groups()
    assert groups.fast_speed == pytest.approx(1.7, rel=0.5)
    assert groups.slow_speed == pytest.approx(0.7, rel=0.5)


# Placement by speed keeps fast and slow workers in separate steps. Without
# common steps their estimates were drawn together, and the split went away.
def test_split_remains_while_steps_keep_to_one_group():
    pool = _make_pool(_TWO_KINDS)
    pool.play(15.0)
    assert pool.speeds.find_groups().is_split
    assert all(pool.play(200.0, apart=True))
    assert len(pool.list_wrong()) <= 3


def test_memory_is_bounded():
    """Guards against an owner that keeps every step it has seen."""
    pool = _make_pool(_EQUAL, 60)
    pool.play(60.0)
    state = pool.speeds
    assert pool.step_count > 100
    assert len(state._steps) < 60
    assert all(len(w.samples) <= 16 for w in state._workers.values())


def test_memory_is_bounded_if_nothing_is_asked():
    """Guards against growth in an owner that makes no plans."""
    pool = _Pool({"w0": 1.0, "w1": 1.0})
    for _ in range(1100):
        pool.start(["w0", "w1"], 0.2)
        pool.advance(0.2)
        for run in list(pool.runs):
            pool.report(run, 50.0)
        pool.runs.clear()
    assert len(pool.speeds._steps) <= 1000


def _make_estimates(values, count=8):
    return {
        f"w{n}": speed_groups.Estimate(
            math.log(value), ((math.log(value), 1.0),) * count
        )
        for n, value in enumerate(values)
    }


@pytest.mark.parametrize(
    ("values", "fast_count"),
    [
        ([0.7] * 8 + [1.7] * 4, 4),
        ([0.7] * 4 + [1.7] * 3, 0),  # fewer than eight workers
        ([0.7] * 10 + [1.7] * 2, 0),  # less than a quarter
        ([0.7] * 2 + [1.7] * 10, 0),
        ([1.0] * 6 + [1.45] * 6, 0),  # less than a factor of 1.5
        ([0.8, 1.0, 1.25] * 8, 0),
        ([1.0] * 24, 0),
        ([1.3**n for n in range(12)], 0),  # no gap
    ],
)
def test_conditions_of_groups(values, fast_count):
    estimates = _make_estimates(values)
    assert len(speed_groups.find_fast(estimates, frozenset())) == fast_count


def test_few_runs_form_no_groups():
    """Guards against groups from the first runs after a takeover."""
    estimates = _make_estimates([0.7] * 8 + [1.7] * 4, count=1)
    assert not speed_groups.find_fast(estimates, frozenset())


@pytest.mark.parametrize(
    ("speed", "was_fast", "is_fast"),
    [
        (1.15, False, False),  # above the boundary of 1.09, but not by 10%
        (1.25, False, True),
        (1.04, True, True),
        (0.95, True, False),
    ],
)
def test_worker_near_the_boundary_keeps_its_group(speed, was_fast, is_fast):
    """Guards against workers that change their group at every report."""
    values = [0.7] * 30 + [1.7] * 15
    estimates = _make_estimates([*values, speed])
    before = {f"w{n}" for n in range(30, 45)} | ({"w45"} if was_fast else set())
    fast = speed_groups.find_fast(estimates, frozenset(before))
    assert ("w45" in fast) == is_fast


def test_worker_near_the_boundary_starts_in_the_nearer_group():
    estimates = _make_estimates([0.7] * 30 + [1.7] * 15 + [1.15])
    assert "w45" in speed_groups.find_fast(estimates, frozenset())


def test_adopted_runs_are_measured_from_their_adoption():
    """Guards against speeds from starts that a new owner does not know."""
    pool_state = build.make_pool_state(
        build.make_job("j", build.make_step(2, gpu=8))
    )
    for now, percents in ((5.0, (70, 10)), (6.0, (80, 20)), (7.0, (90, 30))):
        for index, percent in enumerate(percents):
            row = worker_port.ReportedRun(
                model.TaskKey("j", 0, 0, index), 7, "", percent
            )
            build.apply_report(pool_state, f"w{index}", now=now, running=(row,))
    estimates = pool_state.speeds.list_estimates()
    assert len(estimates) == 2
    assert estimates[0].speed == pytest.approx(estimates[1].speed)
