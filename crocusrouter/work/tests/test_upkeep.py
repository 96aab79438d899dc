import pytest

from crocusrouter.work import upkeep
from crocusrouter.work import vms
from crocusrouter.work.tests import build

_WAVE = vms.Wave(1, frozenset({"m0", "m1", "m2"}), 30.0, 2)
_UP = vms.VmState.UP


def _list_vms(**overrides):
    rows = {
        f"m{number}": vms.Vm(f"m{number}", "p", _UP, f"w{number}")
        for number in range(3)
    } | overrides
    return tuple(row for row in rows.values() if row is not None)


def _make_book(*jobs):
    return build.make_pool_state(*jobs, workers=("w0", "w1", "w2"))


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (upkeep.WaveRecord(), "m0"),
        (upkeep.WaveRecord(started={"m0": "w0"}), "m1"),
        (upkeep.WaveRecord(started={"m0": "w0"}, down={"m1": "w1"}), None),
        (upkeep.WaveRecord(done={"m0", "m1"}), "m2"),
        (upkeep.WaveRecord(done={"m0", "m1", "m2"}), None),
    ],
)
def test_no_more_vms_are_down_than_allowed(record, expected):
    vm = upkeep.choose_vm(_make_book(), "p", _WAVE, record, _list_vms(), 0.0)
    assert (vm.name if vm else None) == expected


@pytest.mark.parametrize(
    "vm",
    [
        vms.Vm("m0", "p", vms.VmState.MOVING, ""),
        vms.Vm("m0", "other", _UP, "w0"),
        vms.Vm("m0", "p", _UP, "unknown"),
        None,
    ],
)
def test_only_vms_of_the_pool_that_are_up_are_chosen(vm):
    chosen_vm = upkeep.choose_vm(
        _make_book(), "p", _WAVE, upkeep.WaveRecord(), _list_vms(m0=vm), 0.0
    )
    assert chosen_vm.name == "m1"


# Guards against lasting tasks that end by the upkeep of a VM which a new owner
# takes for empty, as its worker has not reported yet.
def test_vm_of_a_worker_that_has_not_reported_is_not_chosen():
    pool_state = _make_book()
    pool_state.workers["w0"].reached = False
    vm = upkeep.choose_vm(
        pool_state, "p", _WAVE, upkeep.WaveRecord(), _list_vms(), 0.0
    )
    assert vm.name == "m1"


def test_vm_whose_evacuation_loses_least_goes_first():
    pool_state = _make_book(build.make_job("j", build.make_step(2, gpu=8)))
    build.apply_plan(pool_state)
    vm = upkeep.choose_vm(
        pool_state, "p", _WAVE, upkeep.WaveRecord(), _list_vms(), 3.0
    )
    assert vm.name == "m2"


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
def test_runs_that_are_stopped_to_empty_a_worker(step, leave_by, stopped):
    pool_state = _make_book(build.make_job("j", step))
    build.apply_plan(pool_state)
    worker_id = next(iter(pool_state.runs.values())).worker_id
    assert (
        len(upkeep.list_evacuations(pool_state, worker_id, 1.0, leave_by))
        == stopped
    )


# Users of lasting tasks must not find too many of them down at a time: a
# stopped task counts towards the number that the step may miss, and so does a
# task that is not at work yet.
@pytest.mark.parametrize(
    ("percents", "may_miss", "stopped"),
    [
        ((100, 100, 100, 100), 1, 1),
        ((100, 100, 100, 100), 2, 2),
        ((100, 100, 100, 40), 1, 0),
        ((100, 100, 100, 40), 2, 1),
    ],
)
def test_lasting_tasks_are_stopped_one_by_one(percents, may_miss, stopped):
    step = build.make_step(4, gpu=2, lasting=True, may_miss=may_miss)
    pool_state = build.make_pool_state(
        build.make_job("j", step), workers=("w0",)
    )
    build.apply_plan(pool_state)
    for run, percent in zip(pool_state.runs.values(), percents, strict=True):
        run.percent = percent
    stops = upkeep.list_evacuations(pool_state, "w0", 1.0, 30.0)
    assert len(stops) == stopped


# A wave must not be reported as completed while a VM has not had its upkeep. A
# worker may crash meanwhile, and its next incarnation must not be taken for the
# one after the upkeep. Only an answered order counts.
@pytest.mark.parametrize(
    ("record", "vm", "done"),
    [
        (
            upkeep.WaveRecord(started={"m0": "w0"}),
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
        (upkeep.WaveRecord(started={"m0": "w0"}), None, True),
    ],
)
def test_which_vms_are_back(record, vm, done):
    upkeep.mark_returned_vms(record, _list_vms(m0=vm))
    assert ("m0" in record.done) is done


@pytest.mark.parametrize(
    ("done", "removed", "over"),
    [
        ({"m0", "m1", "m2"}, (), True),
        ({"m0", "m1"}, (), False),
        ({"m0", "m1"}, ("m2",), True),
    ],
)
def test_when_a_wave_is_over(done, removed, over):
    listed_vms = _list_vms(**dict.fromkeys(removed))
    record = upkeep.WaveRecord(done=done)
    assert upkeep.is_over(_WAVE, record, listed_vms) is over


def test_record_survives_the_store():
    record = upkeep.WaveRecord({"m0": "w0"}, {"m1": "w1"}, {"m2"})
    assert upkeep.parse_record(upkeep.dump_record(record)) == record
    with pytest.raises(ValueError, match="no|not"):
        upkeep.parse_record(b"\xff")
