"""The oracle of standing jobs reports just those that the rule names."""

import dataclasses

import pytest

from crocusrouter import work
from crocusrouter.work import worker_port
from standins.emulator import oracle as oracles
from standins.emulator import policy as policies
from standins.emulator import standing_oracle as standing_oracles
from standins.emulator import worker as workers

_WALL_S = 1_700_000_000.0
_STEP_S = 0.25
_TASK = work.TaskKey("j", 0, 0, 0)
_ROOM = work.Room(8000, 8000, 8)
# Two tasks of this size leave no room on a worker, and use its capacity.
_HALF = work.Room(4000, 4000, 4)
_SMALL = work.Room(1000, 1000, 1)
_WHOLE = work.Room(8000, 8000, 8)


def _make_job(*steps, **fields):
    return work.Job(
        "j", "q", "p", "a", 1, 2, 1.0, 1.0, "", steps, _WALL_S, **fields
    )


class _Scene:
    """An oracle with one job and workers, and a clock that tests advance."""

    def __init__(self, job, worker_count=2):
        self.job_oracle = oracles.JobOracle()
        self.job_oracle.jobs["j"] = job
        self.job_oracle.accepted.add("j")
        self.policy = policies.Policy()
        self.oracle = standing_oracles.StandingOracle(
            self.job_oracle, self.policy
        )
        self.workers = [self._make_worker(n) for n in range(worker_count)]
        self.unlisted = set()
        self.calm_since = -100.0
        self.now = 0.0

    def _make_worker(self, number):
        entry = worker_port.WorkerEntry(
            f"w{number}",
            "p",
            "",
            "dc",
            False,
            _ROOM,
            frozenset({"a", f"r0-{number}"}),
        )
        return workers.Worker(
            entry, self.job_oracle, workers.Gangs(), self.policy, number
        )

    def run_for(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            self.oracle.check(
                self.workers,
                lambda: [
                    worker
                    for worker in self.workers
                    if worker.entry.id not in self.unlisted
                ],
                self.calm_since,
                self.now,
                _WALL_S + self.now,
            )

    def start(self, key, number=0):
        self.job_oracle.note_start(f"w{number}", key, 1, self.now)
        self.workers[number].tasks[key] = workers.TaskRun(
            key, 1, self.now, self.now, None
        )

    def end(self, key, how="done", number=0):
        del self.workers[number].tasks[key]
        self.job_oracle.note_end(f"w{number}", key, 1, how, self.now)

    def fill(self, number, room):
        """Occupy room of a worker by a job of others."""
        self.job_oracle.jobs[f"other{number}"] = dataclasses.replace(
            _make_job(work.Step(1, room)), id=f"other{number}"
        )
        self.start(work.TaskKey(f"other{number}", 0, 0, 0), number)

    @property
    def is_broken(self):
        return bool(self.oracle.broken)


def test_job_that_stands_in_calm_is_reported_once():
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    scene.run_for(3.25)
    assert not scene.is_broken
    scene.run_for(20.0)
    assert len(scene.oracle.broken) == 1
    assert scene.oracle.judged == 1
    assert scene.oracle.longest_s > 20.0


def _drain(worker):
    worker.drain(0.0)


def _end_process(worker):
    worker.alive = False


def _supersede(worker):
    worker.superseded = True


# Room counts only if it is free, suits the step, and is there twice over.
@pytest.mark.parametrize(
    ("step", "change", "broken"),
    [
        (work.Step(1, _WHOLE), None, True),
        (work.Step(1, _WHOLE), _drain, False),
        (work.Step(1, _WHOLE), _end_process, False),
        (work.Step(1, _WHOLE), _supersede, False),
        (work.Step(1, _HALF), _drain, True),
        (work.Step(2, _WHOLE, gang=True), None, False),
        (work.Step(2, _HALF, gang=True), None, True),
        (work.Step(2, _HALF, gang=True, one_rack=True), None, True),
        (work.Step(2, _HALF, gang=True), _drain, False),
        (work.Step(3, _WHOLE), None, True),
        (work.Step(1, _WHOLE, label="r0-1"), None, False),
        (work.Step(1, _HALF, label="r0-1"), None, True),
        (work.Step(1, _SMALL, label="b"), None, False),
        (work.Step(1, _WHOLE, rack="r0-1"), None, True),
        (work.Step(1, _SMALL, per_worker=1), None, True),
        (work.Step(1, _SMALL, per_worker=1), _drain, False),
        (work.Step(2, _SMALL, gang=True, per_worker=1), None, False),
        (work.Step(2, _SMALL, gang=True, per_worker=2), None, True),
        (work.Step(1, work.Room(9000, 10, 0), fills=True), None, True),
        (work.Step(1, work.Room(9000, 10, 0)), None, False),
    ],
)
def test_room_twice_over(step, change, broken):
    scene = _Scene(_make_job(step))
    if change is not None:
        change(scene.workers[0])
    scene.run_for(4.0)
    assert scene.is_broken is broken


@pytest.mark.parametrize(("size", "broken"), [(_SMALL, True), (_HALF, False)])
def test_room_that_others_use_is_not_free(size, broken):
    scene = _Scene(_make_job(work.Step(3, _SMALL, gang=True)))
    scene.fill(0, size)
    scene.fill(1, _WHOLE)
    scene.run_for(4.0)
    assert scene.is_broken is broken


def test_workers_that_are_not_listed_have_no_room():
    scene = _Scene(_make_job(work.Step(1, _WHOLE)))
    scene.unlisted = {"w1"}
    scene.run_for(4.0)
    assert not scene.is_broken


@pytest.mark.parametrize(("advised", "broken"), [(True, False), (False, True)])
def test_only_workers_that_the_policy_allows_have_room(
    advised, broken, monkeypatch
):
    scene = _Scene(_make_job(work.Step(1, _WHOLE), advised=advised))
    monkeypatch.setattr(
        scene.policy, "may_run", lambda _, worker: worker == "w0"
    )
    scene.run_for(4.0)
    assert scene.is_broken is broken


def test_room_must_be_there_for_3_s_on_end():
    scene = _Scene(_make_job(work.Step(1, _WHOLE)))
    for _ in range(5):
        scene.run_for(2.0)
        scene.unlisted = {"w1"}
        scene.run_for(_STEP_S)
        scene.unlisted = set()
    assert not scene.is_broken


def test_run_between_two_checks_interrupts_the_standing():
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    for _ in range(5):
        scene.run_for(2.0)
        scene.now += 0.05
        scene.start(_TASK)
        scene.end(_TASK, "stopped")
    assert not scene.is_broken


# Calm: nothing impaired in the 3 s of standing and the 4 s before them.
@pytest.mark.parametrize(
    ("calm_since", "length_s", "broken", "excused"),
    [
        (-5.0, 4.0, True, 0),
        (0.0, 7.0, False, 0),
        (0.0, 7.5, True, 0),
        (8.0, 12.0, False, 1),
        (9.0, 12.0, False, 1),
    ],
)
def test_impairments_excuse_a_job_until_the_end(
    calm_since, length_s, broken, excused
):
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    scene.calm_since = calm_since
    scene.run_for(length_s)
    scene.start(_TASK)
    scene.run_for(_STEP_S)
    assert scene.is_broken is broken
    assert scene.oracle.excused == excused


# After the traffic impairments excuse nothing, but the use of the capacity.
@pytest.mark.parametrize(
    ("ended_at", "used", "broken"),
    [
        (0.0, _SMALL, True),
        (0.0, _HALF, True),
        (1.0, _SMALL, False),
        (0.0, _WHOLE, False),
    ],
)
def test_job_that_stands_after_the_traffic(ended_at, used, broken):
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    scene.calm_since = 1000.0
    scene.fill(0, used)
    scene.oracle.note_traffic_ended(ended_at)
    scene.run_for(17.5)
    assert scene.is_broken is broken


# The check's own process stood still, and the workers with it.
@pytest.mark.parametrize(("length_s", "broken"), [(6.75, False), (7.5, True)])
def test_stall_excuses_jobs_after_the_traffic_too(length_s, broken):
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    scene.oracle.note_traffic_ended(-100.0)
    scene.oracle.note_stall(0.0)
    scene.run_for(length_s)
    assert scene.is_broken is broken


def test_half_of_the_capacity_in_use_interrupts_the_standing():
    scene = _Scene(_make_job(work.Step(1, _SMALL)))
    scene.calm_since = 1000.0
    scene.oracle.note_traffic_ended(-100.0)
    scene.run_for(2.0)
    scene.fill(0, _WHOLE)
    scene.run_for(_STEP_S)
    scene.end(work.TaskKey("other0", 0, 0, 0), "stopped")
    scene.run_for(2.75)
    assert not scene.is_broken
    scene.run_for(1.0)
    assert scene.is_broken


def _cancel(scene):
    scene.job_oracle.cancels_sent.add("j")


def _reject(scene):
    scene.job_oracle.accepted.clear()


def _run(scene):
    scene.start(_TASK)


def _run_another_task(scene):
    scene.start(_TASK._replace(position=1))


def _finish(scene):
    for position in (0, 1):
        scene.start(_TASK._replace(position=position))
        scene.end(_TASK._replace(position=position))


def _finish_one(scene):
    scene.start(_TASK)
    scene.end(_TASK)


def _fail(scene):
    scene.start(_TASK)
    scene.end(_TASK, "failed")


def _fail_twice(scene):
    for _ in range(2):
        _fail(scene)


def _crash_twice(scene):
    for _ in range(2):
        scene.job_oracle.note_crash(_TASK, [_TASK], 0.0)


@pytest.mark.parametrize(
    ("event", "broken"),
    [
        (_cancel, False),
        (_reject, False),
        (_run, False),
        (_run_another_task, False),
        (_finish, False),
        (_finish_one, True),
        (_fail, True),
        (_fail_twice, False),
        (_crash_twice, False),
    ],
)
def test_jobs_that_run_or_have_ended_are_not_reported(event, broken):
    scene = _Scene(_make_job(work.Step(2, _SMALL)))
    event(scene)
    scene.run_for(4.0)
    assert scene.is_broken is broken


# The turn of a task comes when its occurrence is due and earlier steps are
# done; what may have to run again needs room as well.
@pytest.mark.parametrize(
    ("first_done", "may_rerun", "first_room", "broken"),
    [
        (False, False, _WHOLE, False),
        (True, False, _WHOLE, True),
        (True, True, _WHOLE, False),
        (True, True, _SMALL, True),
    ],
)
def test_turn_of_a_later_step(first_done, may_rerun, first_room, broken):
    steps = work.Step(1, first_room), work.Step(1, _SMALL, after=(0,))
    scene = _Scene(_make_job(*steps), worker_count=1)
    if first_done:
        scene.start(_TASK)
        scene.end(_TASK)
    if may_rerun:
        scene.job_oracle.allow_rerun(_TASK)
    scene.run_for(4.0)
    assert scene.is_broken is broken


@pytest.mark.parametrize(("length_s", "broken"), [(8.0, False), (8.5, True)])
def test_turn_of_an_occurrence(length_s, broken):
    job = _make_job(
        work.Step(1, _SMALL), repeats=2, first_due=_WALL_S + 5.0, interval_s=9.0
    )
    scene = _Scene(job)
    scene.run_for(length_s)
    assert scene.is_broken is broken


# A task that lasts stands for itself, from 6 s after its last run.
@pytest.mark.parametrize(
    ("has_run", "length_s", "broken"),
    [
        (False, 3.0, False),
        (False, 3.5, True),
        (True, 9.0, False),
        (True, 9.5, True),
    ],
)
def test_lasting_task_that_stands_beside_others(has_run, length_s, broken):
    scene = _Scene(_make_job(work.Step(2, _SMALL, lasting=True)))
    scene.start(_TASK._replace(position=1), number=1)
    if has_run:
        scene.start(_TASK)
        scene.run_for(2.0)
        scene.end(_TASK, "failed")
    scene.run_for(length_s)
    assert scene.is_broken is broken


def test_lasting_task_has_no_limit_of_attempts():
    scene = _Scene(_make_job(work.Step(2, _SMALL, lasting=True)))
    _fail_twice(scene)
    scene.run_for(9.5)
    assert scene.is_broken
