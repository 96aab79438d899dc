"""Which VM of a wave goes down next, and what must leave it before.

Upkeep ends all that runs on a VM, so a VM is emptied first: nothing new goes
there, what makes checkpoints is stopped, what ends in time may end. Tasks
that last go one by one, as many of their step as may be away at a time.
"""

import dataclasses

import cbor2

from crocusrouter.work import model
from crocusrouter.work import pool_state as pool_states
from crocusrouter.work import preemption
from crocusrouter.work import runs
from crocusrouter.work import vms

# From the order until the next worker answers: the platform's two seconds of
# upkeep, its listing, and our reading of the list.
_DOWN_S = 4.0
_AT_WORK_PERCENT = 100.0


@dataclasses.dataclass
class WaveRecord:
    """How far a wave is; kept in the store by all owners together.

    Attributes:
        begun: VMs that are being emptied, or ordered down without an answer
            so far, with the worker that was there.
        down: VMs whose order was answered, with the worker before.
        done: VMs that are back, or have left for good.
    """

    begun: dict[str, str] = dataclasses.field(default_factory=dict)
    down: dict[str, str] = dataclasses.field(default_factory=dict)
    done: set[str] = dataclasses.field(default_factory=set)

    def count_away(self) -> int:
        """Return how many VMs may be down for the wave now.

        A VM counts before its order is sent, since an order without an
        answer may be carried out at any time after.
        """
        return len(self.begun) + len(self.down)


def dump_record(record: WaveRecord) -> bytes:
    """Encode for the store.

    >>> parse_record(dump_record(WaveRecord({"m": "w"}))).begun
    {'m': 'w'}
    """
    return cbor2.dumps([record.begun, record.down, sorted(record.done)])


def parse_record(data: bytes) -> WaveRecord:
    """Decode what `dump_record` encoded.

    Raises:
        ValueError: The bytes are no record of a wave.
    """
    try:
        begun, down, done = cbor2.loads(data)
        return WaveRecord(dict(begun), dict(down), set(done))
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not a record of a wave: {error}") from error


def choose_vm(
    pool_state: pool_states.Book,
    pool: str,
    wave: vms.Wave,
    record: WaveRecord,
    listed: tuple[vms.Vm, ...],
    now: float,
) -> vms.Vm | None:
    """Return the VM whose emptying costs least; None if none may go now.

    Args:
        pool_state: State of the pool; not changed.
        pool: Only VMs of this pool are chosen.
        wave: What the operators want.
        record: How far it is.
        listed: All VMs as the platform lists them.
        now: Steady time in seconds.
    """
    if record.count_away() >= wave.most_at_once:
        return None
    open_vms = [
        vm
        for vm in listed
        if vm.name in wave.vms
        and vm.name not in record.done
        and vm.name not in record.begun
        and vm.name not in record.down
        and vm.pool == pool
        and vm.state is vms.VmState.UP
        and vm.worker in pool_state.workers
    ]
    return min(
        open_vms,
        key=lambda vm: (_measure_emptying(pool_state, vm.worker, now), vm.name),
        default=None,
    )


def _measure_emptying(
    pool_state: pool_states.Book, worker: str, now: float
) -> float:
    """Return the core-seconds that are lost if a worker is emptied now."""
    total = 0.0
    for run in pool_state.workers[worker].runs.values():
        if run.work is not None:
            total += preemption.measure_loss(run, run.work, now)
    return total


def measure_patience(wave: vms.Wave) -> float:
    """Return the seconds that emptying one VM may take.

    VMs go down `most_at_once` at a time; each turn has its share of the
    wave's time.

    >>> measure_patience(vms.Wave(1, frozenset("abcd"), 40.0, 2))
    16.0
    """
    turns = -(-len(wave.vms) // max(1, wave.most_at_once))
    return max(0.0, wave.within_s / max(1, turns) - _DOWN_S)


def list_evacuations(
    pool_state: pool_states.Book, worker: str, now: float, leave_by: float
) -> list[tuple[runs.Run, str]]:
    """Return the runs to stop now so that a worker can go down.

    Args:
        pool_state: State of the pool; not changed.
        worker: The worker to empty.
        now: Steady time in seconds.
        leave_by: Steady time at which it should be empty.
    """
    found: dict[model.TaskKey, tuple[runs.Run, str]] = {}
    held = pool_state.workers.get(worker)
    spared: dict[model.StepKey, int] = {}
    for key in sorted(held.runs) if held is not None else ():
        run = pool_state.runs[key]
        work = run.work
        if work is None or run.phase is not runs.Phase.RUNNING:
            continue
        if not _may_leave(pool_state, run, work, spared, now, leave_by):
            continue
        members = pool_state.list_step_runs(work) if work.step.gang else [run]
        for member in members:
            why = "its worker's VM has upkeep"
            found.setdefault(member.key, (member, why))
    return list(found.values())


def _may_leave(
    pool_state: pool_states.Book,
    run: runs.Run,
    work: runs.StepWork,
    spared: dict[model.StepKey, int],
    now: float,
    leave_by: float,
) -> bool:
    """Tell whether a run should be stopped now."""
    if work.step.lasting:
        if not work.step.may_miss:
            return True
        if work.key not in spared:
            spared[work.key] = work.step.may_miss - count_away(pool_state, work)
        spared[work.key] -= 1
        return spared[work.key] >= 0
    if work.step.checkpoints:
        return True
    rest = preemption.estimate_rest(run, work, now)
    return now >= leave_by or now + rest > leave_by


def count_away(pool_state: pool_states.Book, work: runs.StepWork) -> int:
    """Return how many tasks of a step that lasts are not at work."""
    at_work = sum(
        run.phase is runs.Phase.RUNNING and run.percent >= _AT_WORK_PERCENT
        for run in pool_state.list_step_runs(work)
    )
    return work.step.count - at_work


def note_back(record: WaveRecord, listed: tuple[vms.Vm, ...]) -> bool:
    """Count the VMs as done that are back with another worker, or gone.

    Returns:
        Whether the record has changed.
    """
    by_name = {vm.name: vm for vm in listed}
    changed = False
    for name, before in [*record.down.items(), *record.begun.items()]:
        vm = by_name.get(name)
        back = (
            vm is not None
            and name in record.down
            and vm.state is vms.VmState.UP
            and vm.worker not in ("", before)
        )
        if vm is None or back:
            record.begun.pop(name, None)
            record.down.pop(name, None)
            record.done.add(name)
            changed = True
    return changed


def is_shared(
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
    """Tell whether every VM of a wave that is still there has had upkeep."""
    present = {vm.name for vm in listed}
    return all(name in record.done for name in wave.vms & present)
