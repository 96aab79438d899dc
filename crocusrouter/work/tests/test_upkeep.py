import pytest

from crocusrouter.work import upkeep
from crocusrouter.work import vms
from crocusrouter.work.tests import build

_WAVE = vms.Wave(1, frozenset({"m0", "m1", "m2"}), 30.0, 2)
_UP = vms.VmState.UP


def _list(**changes):
    rows = {
        f"m{n}": vms.Vm(f"m{n}", "p", _UP, f"w{n}") for n in range(3)
    } | changes
    return tuple(row for row in rows.values() if row is not None)


def _make_book(*jobs):
    return build.make_book(*jobs, workers=("w0", "w1", "w2"))


@pytest.mark.parametrize(
    ("record", "chosen"),
    [
        (upkeep.WaveRecord(), "m0"),
        (upkeep.WaveRecord(begun={"m0": "w0"}), "m1"),
        (upkeep.WaveRecord(begun={"m0": "w0"}, down={"m1": "w1"}), None),
        (upkeep.WaveRecord(done={"m0", "m1"}), "m2"),
        (upkeep.WaveRecord(done={"m0", "m1", "m2"}), None),
    ],
)
def test_no_more_vms_are_away_than_allowed(record, chosen):
    found = upkeep.choose_vm(_make_book(), "p", _WAVE, record, _list(), 0.0)
    assert (found.name if found else None) == chosen


@pytest.mark.parametrize(
    "row",
    [
        vms.Vm("m0", "p", vms.VmState.MOVING, ""),
        vms.Vm("m0", "other", _UP, "w0"),
        vms.Vm("m0", "p", _UP, "unknown"),
        None,
    ],
)
def test_only_vms_of_the_pool_that_are_up_go(row):
    found = upkeep.choose_vm(
        _make_book(), "p", _WAVE, upkeep.WaveRecord(), _list(m0=row), 0.0
    )
    assert found.name == "m1"


def test_vm_whose_emptying_loses_least_goes_first():
    pool_state = _make_book(build.make_job("j", build.make_step(2, gpu=8)))
    build.start_planned(pool_state)
    found = upkeep.choose_vm(
        pool_state, "p", _WAVE, upkeep.WaveRecord(), _list(), 3.0
    )
    assert found.name == "m2"


@pytest.mark.parametrize(
    ("step", "leave_by", "stopped"),
    [
        (build.make_step(1), 10.0, 0),
        (build.make_step(1), 3.0, 1),
        (build.make_step(1, checkpoints=True), 10.0, 1),
        (build.make_step(1, lasting=True), 10.0, 1),
        (build.make_step(2, gpu=8, gang=True), 3.0, 2),
    ],
)
def test_what_is_stopped_to_empty_a_worker(step, leave_by, stopped):
    pool_state = _make_book(build.make_job("j", step))
    build.start_planned(pool_state)
    worker = next(iter(pool_state.runs.values())).worker
    assert (
        len(upkeep.list_evacuations(pool_state, worker, 1.0, leave_by))
        == stopped
    )


# Users of tasks that last see too many of them away at once: a stop counts
# against what the step may miss, as does a task that is not at work yet.
@pytest.mark.parametrize(
    ("percents", "may_miss", "stopped"),
    [
        ((100, 100, 100, 100), 1, 1),
        ((100, 100, 100, 100), 2, 2),
        ((100, 100, 100, 40), 1, 0),
        ((100, 100, 100, 40), 2, 1),
    ],
)
def test_tasks_that_last_leave_one_by_one(percents, may_miss, stopped):
    step = build.make_step(4, gpu=2, lasting=True, may_miss=may_miss)
    pool_state = build.make_book(build.make_job("j", step), workers=("w0",))
    build.start_planned(pool_state)
    for run, percent in zip(pool_state.runs.values(), percents, strict=True):
        run.percent = percent
    found = upkeep.list_evacuations(pool_state, "w0", 1.0, 30.0)
    assert len(found) == stopped


# Operators are told of a wave as completed although a VM has not had its
# upkeep: its worker crashed meanwhile, and its next life was taken for the
# one after the upkeep. Only an answered order counts.
@pytest.mark.parametrize(
    ("record", "row", "done"),
    [
        (
            upkeep.WaveRecord(begun={"m0": "w0"}),
            vms.Vm("m0", "p", _UP, "w9"),
            False,
        ),
        (
            upkeep.WaveRecord(down={"m0": "w0"}),
            vms.Vm("m0", "p", _UP, "w9"),
            True,
        ),
        (
            upkeep.WaveRecord(down={"m0": "w0"}),
            vms.Vm("m0", "p", _UP, "w0"),
            False,
        ),
        (
            upkeep.WaveRecord(down={"m0": "w0"}),
            vms.Vm("m0", "p", vms.VmState.UPKEEP, "w9"),
            False,
        ),
        (upkeep.WaveRecord(begun={"m0": "w0"}), None, True),
    ],
)
def test_which_vms_are_back(record, row, done):
    upkeep.note_back(record, _list(m0=row))
    assert ("m0" in record.done) is done


@pytest.mark.parametrize(
    ("done", "gone", "over"),
    [
        ({"m0", "m1", "m2"}, (), True),
        ({"m0", "m1"}, (), False),
        ({"m0", "m1"}, ("m2",), True),
    ],
)
def test_when_a_wave_is_over(done, gone, over):
    listed = _list(**dict.fromkeys(gone))
    record = upkeep.WaveRecord(done=done)
    assert upkeep.is_over(_WAVE, record, listed) is over


def test_record_survives_the_store():
    record = upkeep.WaveRecord({"m0": "w0"}, {"m1": "w1"}, {"m2"})
    assert upkeep.parse_record(upkeep.dump_record(record)) == record
    with pytest.raises(ValueError, match="no|not"):
        upkeep.parse_record(b"\xff")
