"""The platform's VM control in memory: takes VMs down for upkeep, in waves.

A VM keeps its name when its worker is replaced: VM "w1" runs worker "w1", then
"w1+17", and so on.
"""

from typing import Protocol

import orjson
import trio

from crocusrouter.work import vms
from crocusrouter.work import worker_port
from standins.emulator import oracle as oracles
from standins.emulator import rules
from standins.emulator import worker as workers

# Rules that are checked on the orders of upkeep.
RULES = frozenset({rules.Rule.AVAIL, rules.Rule.LIMIT_WAVES, rules.Rule.ONE})

WAVES_PREFIX = "op/wave/"
_STATUS_PREFIX = "status/wave/"
_UPKEEP_DURATION_S = 2.0
_ANSWER_DELAY_S = 0.005


class ClusterPort(Protocol):
    """The part of the cluster that the VM control uses."""

    workers: dict[str, workers.Worker]
    oracle: oracles.JobOracle

    def crash_worker(self, name: str) -> None:
        """Crash a worker."""
        ...

    def add_worker(self, name: str, rack: str) -> None:
        """Start a worker and write its entry."""
        ...


def parse_wave(key: str, value: bytes) -> vms.Wave:
    """Decode a wave as operators write it."""
    number, names, within_s, most = orjson.loads(value)
    return vms.Wave(number, frozenset(names), within_s, most)


def dump_wave(wave: vms.Wave) -> bytes:
    """Encode a wave as operators write it."""
    return orjson.dumps(
        [wave.number, sorted(wave.vms), wave.within_s, wave.most_at_once]
    )


def build_status(wave: int, is_over: bool) -> tuple[str, bytes]:
    """Return the key and the value that report a wave's status to operators."""
    return f"{_STATUS_PREFIX}{wave}", b"completed" if is_over else b"running"


class VmControl:
    """All VMs, with checks of the rules on waves.

    Attributes:
        most_at_once: How many VMs may be down at once.
        upkeep_begun: Names of the VMs whose upkeep has begun.
        lost_answer_share: Every second answer is lost if this is above 0.
    """

    def __init__(self, cluster: ClusterPort) -> None:
        self.most_at_once = 1
        self.upkeep_begun: set[str] = set()
        self.lost_answer_share = 0.0
        self._cluster = cluster
        self._vms_down: set[str] = set()
        self._highest_epochs: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._answers_counted = 0

    def list_all(self) -> tuple[vms.Vm, ...]:
        """Return all VMs with their states."""
        vms_by_name = {}
        for name, worker in self._cluster.workers.items():
            vm = name.partition("+")[0]
            if worker.alive:
                state = vms.VmState.UP
                vms_by_name[vm] = vms.Vm(vm, worker.entry.pool, state, name)
            else:
                vms_by_name.setdefault(
                    vm,
                    vms.Vm(vm, worker.entry.pool, vms.VmState.UPKEEP, ""),
                )
        return tuple(vms_by_name.values())

    def begin(self, holder: str, epoch: int, vm: str) -> vms.Upkeep:
        """Begin the upkeep of a VM, once for each wave, and check the order."""
        first_holder = self._holders.setdefault((vm, epoch), holder)
        if first_holder != holder:
            self._report(
                f"one: {vm} ordered by {first_holder} and {holder} "
                f"in epoch {epoch}"
            )
        if epoch < self._highest_epochs.get(vm, 0):
            self._report(
                f"one: {vm} ordered in epoch {epoch} after a later epoch"
            )
        self._highest_epochs[vm] = max(epoch, self._highest_epochs.get(vm, 0))
        if vm in self.upkeep_begun:
            return vms.Upkeep.DONE
        vm_row = next(
            (
                candidate
                for candidate in self.list_all()
                if candidate.name == vm
            ),
            None,
        )
        if vm_row is None or vm_row.state is not vms.VmState.UP:
            return vms.Upkeep.BUSY
        if len(self._vms_down) >= self.most_at_once:
            self._report(
                f"limit: {vm} goes down while {sorted(self._vms_down)} are down"
            )
        self._check_absence(vm_row.worker)
        self.upkeep_begun.add(vm)
        self._vms_down.add(vm)
        trio.lowlevel.spawn_system_task(self._run_upkeep, vm_row)
        return vms.Upkeep.DONE

    def should_lose_answer(self) -> bool:
        """Tell whether to lose this answer: every second one, if any."""
        self._answers_counted += 1
        return self.lost_answer_share > 0 and self._answers_counted % 2 == 1

    async def _run_upkeep(self, vm: vms.Vm) -> None:
        worker = self._cluster.workers[vm.worker]
        rack = next(label for label in worker.entry.labels if "-" in label)
        self._cluster.crash_worker(vm.worker)
        await trio.sleep(_UPKEEP_DURATION_S)
        self._vms_down.discard(vm.name)
        restarted_at = trio.current_time()
        self._cluster.add_worker(f"{vm.name}+{restarted_at:.0f}", rack)

    def _check_absence(self, worker: str) -> None:
        """Report running tasks on a worker whose step limits absences."""
        for key in self._cluster.workers[worker].tasks:
            step = self._cluster.oracle.jobs[key.job].steps[key.step]
            if step.may_miss:
                self._report(f"avail: {key} still at work on {worker}")

    def _report(self, line: str) -> None:
        now = trio.current_time()
        self._cluster.oracle.broken.append(f"{now:.3f} {line}")


class VmControlView:
    """The VM control as one entry calls it; implements `VmPort`."""

    def __init__(self, control: VmControl, entry: str) -> None:
        self._control = control
        self._entry = entry

    async def list_vms(self) -> tuple[vms.Vm, ...] | worker_port.NoAnswer:
        """Return all VMs with their states."""
        await trio.sleep(_ANSWER_DELAY_S)
        return self._control.list_all()

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> vms.Upkeep | worker_port.NoAnswer:
        """Begin the upkeep of a VM; the answer may be lost."""
        await trio.sleep(_ANSWER_DELAY_S)
        outcome = self._control.begin(holder, epoch, vm)
        if self._control.should_lose_answer():
            return worker_port.NoAnswer("lost")
        return outcome

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""
