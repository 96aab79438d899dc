"""Choice of the next VM of a wave of upkeep, and evacuation of its worker.

Upkeep ends everything that runs on a VM, so the VM is emptied first: no new
task starts there, tasks with checkpoints are stopped, and tasks that end in
time may do so. Lasting tasks are stopped one by one, within the number of tasks
that their step may miss at a time.
"""

import dataclasses

import cbor2

from crocusrouter.work import gang_progress
from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import tracking
from crocusrouter.work import vms

# Time from the order until the next worker answers: two seconds of upkeep by
# the platform, its listing of the worker, and our polling of the list.
_DOWNTIME_S = 4.0
_READY_PERCENT = 100.0


@dataclasses.dataclass
class WaveRecord:
    """Progress of a wave; all owners share it in the store.

    Attributes:
        started: VMs that are being emptied or whose order has no answer yet,
            with the worker that was there.
        down: VMs whose order was answered, with the worker that was there.
        done: VMs that are back or have been removed.
    """

    started: dict[str, str] = dataclasses.field(default_factory=dict)
    down: dict[str, str] = dataclasses.field(default_factory=dict)
    done: set[str] = dataclasses.field(default_factory=set)

    def count_away(self) -> int:
        """Return how many VMs may be down for the wave now.

        A VM counts before its order is sent, since an order without an answer
        may be carried out at any later time.
        """
        return len(self.started) + len(self.down)


def dump_record(record: WaveRecord) -> bytes:
    """Encode a record for the store.

    >>> parse_record(dump_record(WaveRecord({"m": "w"}))).started
    {'m': 'w'}
    """
    return cbor2.dumps([record.started, record.down, sorted(record.done)])


def parse_record(data: bytes) -> WaveRecord:
    """Decode what `dump_record` encoded.

    Raises:
        ValueError: The bytes are not a record of a wave.
    """
    try:
        begun, down, done = cbor2.loads(data)
        return WaveRecord(dict(begun), dict(down), set(done))
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not a record of a wave: {error}") from error


def choose_vm(
    pool_state: pool_states.PoolState,
    pool: str,
    wave: vms.Wave,
    record: WaveRecord,
    listed: tuple[vms.Vm, ...],
    now: float,
) -> vms.Vm | None:
    """Return the VM whose evacuation costs least; None if none may go now.

    A worker that has not reported to this owner yet may run anything.

    Args:
        pool_state: State of the pool; not changed.
        pool: Only VMs of this pool are chosen.
        wave: The operators' request.
        record: Progress of the wave.
        listed: All VMs as the platform lists them.
        now: Steady time in seconds.
    """
    if record.count_away() >= wave.most_at_once:
        return None
    candidates = [
        vm
        for vm in listed
        if vm.name in wave.vms
        and vm.name not in record.done
        and vm.name not in record.started
        and vm.name not in record.down
        and vm.pool == pool
        and vm.state is vms.VmState.UP
        and vm.worker in pool_state.workers
        and not pool_state.workers[vm.worker].has_unknown_runs
    ]
    return min(
        candidates,
        key=lambda vm: (
            _measure_evacuation_loss(pool_state, vm.worker, now),
            vm.name,
        ),
        default=None,
    )


def _measure_evacuation_loss(
    pool_state: pool_states.PoolState, worker_id: str, now: float
) -> float:
    """Return the core-seconds that are lost if a worker is emptied now."""
    total_loss = 0.0
    for run in pool_state.workers[worker_id].runs.values():
        if run.tracked_step is not None:
            total_loss += preemption.measure_loss(run, run.tracked_step, now)
    return total_loss


def measure_evacuation_s(wave: vms.Wave) -> float:
    """Return the seconds that emptying one VM may take.

    VMs go down in batches of `most_at_once`; each batch has an equal share of
    the wave's time.

    >>> measure_evacuation_s(vms.Wave(1, frozenset("abcd"), 40.0, 2))
    16.0
    """
    batch_count = -(-len(wave.vms) // max(1, wave.most_at_once))
    return max(0.0, wave.within_s / max(1, batch_count) - _DOWNTIME_S)


def list_evacuations(
    pool_state: pool_states.PoolState,
    worker_id: str,
    now: float,
    leave_by: float,
) -> list[tuple[tracking.Run, str]]:
    """Return the runs to stop now so that a worker's VM can go down.

    Args:
        pool_state: State of the pool; not changed.
        worker_id: The worker to empty.
        now: Steady time in seconds.
        leave_by: Steady time at which the worker should be empty.
    """
    stops_by_task: dict[model.TaskKey, tuple[tracking.Run, str]] = {}
    worker = pool_state.workers.get(worker_id)
    stops_left: dict[model.StepKey, int] = {}
    for key in sorted(worker.runs) if worker is not None else ():
        run = pool_state.runs[key]
        tracked_step = run.tracked_step
        if tracked_step is None or run.phase is not tracking.Phase.RUNNING:
            continue
        if not _should_stop(
            pool_state, run, tracked_step, stops_left, now, leave_by
        ):
            continue
        members = (
            pool_state.list_step_runs(tracked_step)
            if tracked_step.step.gang
            else [run]
        )
        for member in members:
            reason = "its worker's VM has upkeep"
            stops_by_task.setdefault(member.key, (member, reason))
    return list(stops_by_task.values())


def _should_stop(
    pool_state: pool_states.PoolState,
    run: tracking.Run,
    tracked_step: tracking.TrackedStep,
    stops_left: dict[model.StepKey, int],
    now: float,
    leave_by: float,
) -> bool:
    """Tell whether a run should be stopped now.

    Args:
        pool_state: State of the pool; not changed.
        run: The run.
        tracked_step: The step of the run.
        stops_left: How many more lasting tasks may be stopped, by step;
            updated.
        now: Steady time in seconds.
        leave_by: Steady time at which the worker should be empty.
    """
    if tracked_step.step.lasting:
        if not tracked_step.step.may_miss:
            return True
        if tracked_step.key not in stops_left:
            stops_left[tracked_step.key] = (
                tracked_step.step.may_miss
                - count_away(pool_state, tracked_step)
            )
        stops_left[tracked_step.key] -= 1
        return stops_left[tracked_step.key] >= 0
    if tracked_step.step.checkpoints:
        return True
    remaining_s = gang_progress.estimate_remaining_s(run, tracked_step, now)
    return now >= leave_by or now + remaining_s > leave_by


def count_away(
    pool_state: pool_states.PoolState, tracked_step: tracking.TrackedStep
) -> int:
    """Return how many tasks of a lasting step are not at work."""
    at_work_count = sum(
        run.phase is tracking.Phase.RUNNING and run.percent >= _READY_PERCENT
        for run in pool_state.list_step_runs(tracked_step)
    )
    return tracked_step.step.count - at_work_count


def mark_returned_vms(record: WaveRecord, listed: tuple[vms.Vm, ...]) -> bool:
    """Mark the VMs as done that are back with another worker or removed.

    Returns:
        Whether the record has changed.
    """
    by_name = {vm.name: vm for vm in listed}
    changed = False
    for name, old_worker in [*record.down.items(), *record.started.items()]:
        vm = by_name.get(name)
        is_back = (
            vm is not None
            and name in record.down
            and vm.state is vms.VmState.UP
            and vm.worker not in ("", old_worker)
        )
        if vm is None or is_back:
            record.started.pop(name, None)
            record.down.pop(name, None)
            record.done.add(name)
            changed = True
    return changed


def waits_for_other_pools(
    wave: vms.Wave,
    record: WaveRecord,
    listed: tuple[vms.Vm, ...],
    pool: str,
) -> bool:
    """Tell whether VMs of other pools still wait for their upkeep."""
    return any(
        vm.pool != pool and vm.name in wave.vms and vm.name not in record.done
        for vm in listed
    )


def is_over(
    wave: vms.Wave, record: WaveRecord, listed: tuple[vms.Vm, ...]
) -> bool:
    """Tell whether every remaining VM of a wave has had its upkeep."""
    present = {vm.name for vm in listed}
    return all(name in record.done for name in wave.vms & present)
