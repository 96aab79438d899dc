"""The platform's control of VMs in memory: upkeep in waves.

A VM keeps its name over all lives of its worker: "w1" runs "w1", then
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

# What the VMs judge of the orders that they get.
RULES = frozenset({rules.Rule.AVAIL, rules.Rule.LIMIT_WAVES, rules.Rule.ONE})

WAVES = "op/wave/"
_STATUS = "status/wave/"
_UPKEEP_S = 2.0
_ANSWER_S = 0.005


class Host(Protocol):
    """What the VMs need of the cluster."""

    workers: dict[str, workers.Worker]
    oracle: oracles.Oracle

    def crash_worker(self, name: str) -> None:
        """End a worker."""
        ...

    def add_worker(self, name: str, rack: str) -> None:
        """Start a worker and list it."""
        ...


def parse_wave(key: str, value: bytes) -> vms.Wave:
    """Decode a wave."""
    number, names, within_s, most = orjson.loads(value)
    return vms.Wave(number, frozenset(names), within_s, most)


def dump_wave(wave: vms.Wave) -> bytes:
    """Encode a wave as operators write it."""
    return orjson.dumps(
        [wave.number, sorted(wave.vms), wave.within_s, wave.most_at_once]
    )


def build_status(wave: int, is_over: bool) -> tuple[str, bytes]:
    """Return the key and the body by which operators are told."""
    return f"{_STATUS}{wave}", b"completed" if is_over else b"running"


class Vms:
    """All VMs, and the rules of waves."""

    def __init__(self, host: Host) -> None:
        self.most_at_once = 1
        self.served: set[str] = set()
        self.lost_share = 0.0
        self._host = host
        self._down: set[str] = set()
        self._highest: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self._lost = 0

    def list_all(self) -> tuple[vms.Vm, ...]:
        """Return all VMs."""
        found = {}
        for name, worker in self._host.workers.items():
            vm = name.partition("+")[0]
            if worker.alive:
                state = vms.VmState.UP
                found[vm] = vms.Vm(vm, worker.entry.pool, state, name)
            else:
                found.setdefault(
                    vm,
                    vms.Vm(vm, worker.entry.pool, vms.VmState.UPKEEP, ""),
                )
        return tuple(found.values())

    def begin(self, holder: str, epoch: int, vm: str) -> vms.Upkeep:
        """Take a VM down, once for each wave."""
        other = self._holders.setdefault((vm, epoch), holder)
        if other != holder:
            self._note(f"one: {vm} ordered by {other} and {holder}, {epoch}")
        if epoch < self._highest.get(vm, 0):
            self._note(f"one: {vm} ordered under {epoch}, later one known")
        self._highest[vm] = max(epoch, self._highest.get(vm, 0))
        if vm in self.served:
            return vms.Upkeep.DONE
        held = next((row for row in self.list_all() if row.name == vm), None)
        if held is None or held.state is not vms.VmState.UP:
            return vms.Upkeep.BUSY
        if len(self._down) >= self.most_at_once:
            self._note(f"limit: {vm} goes down beside {sorted(self._down)}")
        self._check_away(held.worker)
        self.served.add(vm)
        self._down.add(vm)
        trio.lowlevel.spawn_system_task(self._serve, held)
        return vms.Upkeep.DONE

    def must_lose(self) -> bool:
        """Tell whether to lose this answer: each second one, if any."""
        self._lost += 1
        return self.lost_share > 0 and self._lost % 2 == 1

    async def _serve(self, vm: vms.Vm) -> None:
        worker = self._host.workers[vm.worker]
        rack = next(label for label in worker.entry.labels if "-" in label)
        self._host.crash_worker(vm.worker)
        await trio.sleep(_UPKEEP_S)
        self._down.discard(vm.name)
        life = trio.current_time()
        self._host.add_worker(f"{vm.name}+{life:.0f}", rack)

    def _check_away(self, worker: str) -> None:
        """A VM with a task at work that may not be missed must not go."""
        for key in self._host.workers[worker].tasks:
            step = self._host.oracle.jobs[key.job].steps[key.step]
            if step.may_miss:
                self._note(f"avail: {key} at work on {worker}")

    def _note(self, line: str) -> None:
        now = trio.current_time()
        self._host.oracle.broken.append(f"{now:.3f} {line}")


class VmsView:
    """The VMs as one entry meets them; implements `VmPort`."""

    def __init__(self, vms: Vms, entry: str) -> None:
        self._vms = vms
        self._entry = entry

    async def list_vms(self) -> tuple[vms.Vm, ...] | worker_port.NoAnswer:
        """Return all VMs."""
        await trio.sleep(_ANSWER_S)
        return self._vms.list_all()

    async def begin_upkeep(
        self, holder: str, epoch: int, vm: str, wave: int
    ) -> vms.Upkeep | worker_port.NoAnswer:
        """Take a VM down for its upkeep."""
        await trio.sleep(_ANSWER_S)
        answer = self._vms.begin(holder, epoch, vm)
        if self._vms.must_lose():
            return worker_port.NoAnswer("lost")
        return answer

    async def aclose(self) -> None:
        """Close nothing."""
