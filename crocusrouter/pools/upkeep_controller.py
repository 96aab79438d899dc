"""Carries out waves of upkeep for the VMs of one pool.

Owners of several pools share a wave. They change its record in the store by
compare-and-swap, so that together they never take down more VMs at once than
the wave allows. A VM counts as away from before its order is sent until it is
back, whichever owner sends the order.
"""

from collections.abc import Callable
import dataclasses

import trio

from crocusrouter import work
from crocusrouter.pools import clocks
from crocusrouter.pools import keys
from crocusrouter.pools import owner_leases
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import upkeep
from crocusrouter.work import vms as vm_port
from crocusrouter.work import worker_port

_STEP_INTERVAL_S = 0.5
# An order of an earlier owner may be in flight for this long after it was
# deposed; two owners must not send alternating orders within this time.
_PREDECESSOR_ORDER_S = 3.5

BuildStatus = Callable[[int, bool], tuple[str, bytes]]


@dataclasses.dataclass(frozen=True)
class UpkeepPlatform:
    """How waves are read and carried out on the platform.

    Attributes:
        waves_prefix: Key prefix under which operators write waves.
        parse_wave: Decodes a wave.
        make_vms: Opens the platform's control of VMs.
        build_status: Returns key and body that tell operators of a wave's
            state.
    """

    waves_prefix: str
    parse_wave: Callable[[str, bytes], vm_port.Wave | None]
    make_vms: Callable[[], vm_port.VmPort]
    build_status: BuildStatus


class OpenWaves:
    """The waves that operators requested, as known to one entry."""

    def __init__(self, platform: UpkeepPlatform | None) -> None:
        """Start without waves.

        Args:
            platform: How waves are read and carried out; None if the platform
                has no upkeep.
        """
        self.open: dict[str, vm_port.Wave] = {}
        self.platform = platform

    def apply_events(self, events: tuple[records.Event, ...]) -> None:
        """Apply the events of a watch of the operators' keys."""
        if self.platform is None:
            return
        for event in events:
            if isinstance(event, records.Removed):
                self.open.pop(event.key, None)
                continue
            key = event.record.key
            if not key.startswith(self.platform.waves_prefix):
                continue
            wave = self.platform.parse_wave(key, event.record.value)
            if wave is not None:
                log("wave:asked", wave=wave.number, vms=len(wave.vms))
                self.open[key] = wave


class UpkeepController:
    """Does one pool's part of all open waves, under the owner's epoch."""

    def __init__(
        self,
        owner_lease: owner_leases.OwnerLease,
        holder: str,
        store: key_value.KeyValueStore,
        pool_state: work.PoolState,
        clock: clocks.Clock,
        waves: OpenWaves,
        on_change: Callable[[], None],
    ) -> None:
        """Prepare a controller; `run` starts it.

        Args:
            owner_lease: The owner's lease and epoch.
            holder: Name under which orders are sent.
            store: The key-value service.
            pool_state: The pool's workers and runs.
            clock: Source of the current time.
            waves: The waves that operators requested.
            on_change: Called when the pool's state has changed.
        """
        self._owner_lease = owner_lease
        self._holder = holder
        self._store = store
        self._pool_state = pool_state
        self._clock = clock
        self._waves = waves
        self._on_change = on_change
        self._records: dict[int, upkeep.WaveRecord] = {}
        self._revisions: dict[int, int] = {}
        self._completed: set[int] = set()
        self._emptying_since: dict[str, float] = {}
        self._is_fenced = False

    async def run(self) -> None:
        """Work on open waves until cancelled."""
        upkeep_platform = self._waves.platform
        if upkeep_platform is None:
            return
        await trio.sleep(_PREDECESSOR_ORDER_S)
        try:
            await self._run_wave_loop(upkeep_platform)
        finally:
            # Allow new work on the workers that were being emptied.
            self._pool_state.set_evacuating(set())

    async def _run_wave_loop(self, upkeep_platform: UpkeepPlatform) -> None:
        while not self._is_fenced:
            await trio.sleep(_STEP_INTERVAL_S)
            waves = [
                wave
                for wave in self._waves.open.values()
                if wave.number not in self._completed
            ]
            if not waves:
                self._pool_state.set_evacuating(set())
                continue
            await self._advance_waves(waves, upkeep_platform)

    async def _advance_waves(
        self, waves: list[vm_port.Wave], upkeep_platform: UpkeepPlatform
    ) -> None:
        """Advance each wave by one step; lists the platform's VMs once."""
        vms = upkeep_platform.make_vms()
        try:
            listed_vms = await vms.list_vms()
            if isinstance(listed_vms, worker_port.NoAnswer):
                log("vms:no-answer", cause=listed_vms.cause)
                return
            listed_vms = self._name_incarnations(listed_vms)
            for wave in waves:
                await self._advance_wave(wave, listed_vms, vms)
            self._update_resting_workers(listed_vms)
        except client.StoreUnavailableError as error:
            log("wave:no-store", cause=str(error))
        finally:
            with trio.CancelScope(shield=True):
                await vms.aclose()

    def _name_incarnations(
        self, listed_vms: tuple[vm_port.Vm, ...]
    ) -> tuple[vm_port.Vm, ...]:
        """Replace the worker id of each VM by the incarnation on it."""
        incarnation_by_worker = work.map_incarnations(self._pool_state)
        return tuple(
            dataclasses.replace(
                vm, worker=incarnation_by_worker.get(vm.worker, "")
            )
            for vm in listed_vms
        )

    async def _advance_wave(
        self,
        wave: vm_port.Wave,
        listed_vms: tuple[vm_port.Vm, ...],
        vms: vm_port.VmPort,
    ) -> None:
        record = self._records.get(wave.number)
        pool = self._owner_lease.pool
        if record is None or upkeep.waits_for_other_pools(
            wave, record, listed_vms, pool
        ):
            # Owners of other pools change the record too.
            record = await self._load_record(wave.number)
        record_before = upkeep.dump_record(record)
        upkeep.mark_returned_vms(record, listed_vms)
        now = self._clock.steady()
        chosen_vm = upkeep.choose_vm(
            self._pool_state, pool, wave, record, listed_vms, now
        )
        if chosen_vm is not None:
            record.started[chosen_vm.name] = chosen_vm.worker
        is_over = upkeep.is_over(wave, record, listed_vms)
        has_changed = is_over or upkeep.dump_record(record) != record_before
        if has_changed and not await self._write_record(
            wave.number, record, is_over
        ):
            return
        if is_over:
            self._completed.add(wave.number)
            log("wave:completed", wave=wave.number)
            return
        await self._empty_and_order_vms(wave, record, listed_vms, vms)

    async def _empty_and_order_vms(
        self,
        wave: vm_port.Wave,
        record: upkeep.WaveRecord,
        listed_vms: tuple[vm_port.Vm, ...],
        vms: vm_port.VmPort,
    ) -> None:
        """Empty the VMs whose upkeep has begun; order upkeep of empty ones."""
        now = self._clock.steady()
        pool_vms = {
            vm.name: vm
            for vm in listed_vms
            if vm.pool == self._owner_lease.pool
        }
        for vm_name in list(record.started):
            vm = pool_vms.get(vm_name)
            if vm is None or vm.state is not vm_port.VmState.UP:
                continue
            emptying_since = self._emptying_since.setdefault(vm_name, now)
            worker_state = self._pool_state.workers.get(vm.worker)
            evacuate_by = emptying_since + upkeep.measure_evacuation_s(wave)
            for run, why in upkeep.list_evacuations(
                self._pool_state, vm.worker, now, evacuate_by
            ):
                self._pool_state.stop_run(run, why, now)
                self._on_change()
            if (
                worker_state is None
                or not worker_state.evacuating
                or worker_state.has_unknown_runs
                or worker_state.runs
            ):
                continue
            await self._order_upkeep(wave.number, record, vm, vms)

    async def _order_upkeep(
        self,
        wave: int,
        record: upkeep.WaveRecord,
        vm: vm_port.Vm,
        vms: vm_port.VmPort,
    ) -> None:
        if not self._owner_lease.is_valid():
            return
        answer = await vms.begin_upkeep(
            self._holder, self._owner_lease.epoch, vm.name, wave
        )
        log("upkeep:ordered", wave=wave, vm=vm.name, answer=str(answer))
        if answer is vm_port.Upkeep.FENCED:
            self._is_fenced = True
        if answer is vm_port.Upkeep.FOREIGN:
            record.started.pop(vm.name)
            record.done.add(vm.name)
            await self._write_record(wave, record, False)
        if answer is vm_port.Upkeep.DONE:
            # Stored with the incarnation from before the first order: that
            # order may have been carried out although its answer was lost, and
            # the VM may already be back.
            record.down[vm.name] = record.started.pop(vm.name)
            await self._write_record(wave, record, False)

    def _update_resting_workers(
        self, listed_vms: tuple[vm_port.Vm, ...]
    ) -> None:
        """Keep new work off the workers that are being emptied."""
        begun_vms = {
            vm_name
            for record in self._records.values()
            for vm_name in record.started
        }
        self._pool_state.set_evacuating(
            {vm.worker for vm in listed_vms if vm.name in begun_vms}
        )
        self._on_change()

    # The record in the store.

    async def _load_record(self, wave: int) -> upkeep.WaveRecord:
        stored = await self._store.read(keys.build_wave_key(wave))
        self._revisions[wave] = stored.revision if stored is not None else 0
        record = (
            upkeep.parse_record(stored.value)
            if stored is not None
            else upkeep.WaveRecord()
        )
        self._records[wave] = record
        return record

    async def _write_record(
        self, wave: int, record: upkeep.WaveRecord, is_over: bool
    ) -> bool:
        """Write a wave's record and the status that operators read.

        Returns:
            Whether both are stored. If not, the record must be read again
            before it is used: another owner may have changed it, or this write
            may still be carried out.
        """
        key = keys.build_wave_key(wave)
        assert self._waves.platform is not None
        status_key, body = self._waves.platform.build_status(wave, is_over)
        outcome = await self._store.write(
            (
                self._owner_lease.guard,
                key_value.Guard(key, self._revisions[wave]),
            ),
            (
                key_value.Write(key, upkeep.dump_record(record)),
                key_value.Write(status_key, body),
            ),
        )
        if isinstance(outcome, key_value.Written):
            self._revisions[wave] = outcome.revision
            return True
        log("wave:not-written", wave=wave, outcome=type(outcome).__name__)
        del self._records[wave]
        return False
