"""Carries waves of upkeep out for the VMs of one pool.

Owners of several pools share a wave: its record in the store is changed by
compare-and-swap, so that together they never take down more VMs at once than
the wave allows. A VM counts as away from before its order is sent until it
is back, whoever sends the order.
"""

from collections.abc import Callable
import dataclasses

import trio

from crocusrouter import work
from crocusrouter.pools import clock
from crocusrouter.pools import keys
from crocusrouter.pools import tenure as tenures
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import log
from crocusrouter.work import orders
from crocusrouter.work import upkeep
from crocusrouter.work import vms as vm_port

_TICK_S = 0.5
# An earlier owner's order may be on its way for this long after it was
# deposed; two holders must not order in turns within it.
_PREDECESSOR_S = 3.5

BuildStatus = Callable[[int, bool], tuple[str, bytes]]


@dataclasses.dataclass(frozen=True)
class Upkeeping:
    """How waves are met on the platform.

    Attributes:
        waves_prefix: Where operators write them.
        parse_wave: Decodes one.
        make_vms: Opens the platform's control of VMs.
        build_status: Returns where and how operators are told of a wave.
    """

    waves_prefix: str
    parse_wave: Callable[[str, bytes], vm_port.Wave | None]
    make_vms: Callable[[], vm_port.VmPort]
    build_status: BuildStatus


class Waves:
    """The waves that operators ask for, as one entry knows them."""

    def __init__(self, meeting: Upkeeping | None) -> None:
        """Know of none.

        Args:
            meeting: How waves are met; None if the platform has none.
        """
        self.open: dict[str, vm_port.Wave] = {}
        self.meeting = meeting

    def take_events(self, events: tuple[records.Event, ...]) -> None:
        """Take what a watch of the operators' keys saw."""
        if self.meeting is None:
            return
        for event in events:
            if isinstance(event, records.Removed):
                self.open.pop(event.key, None)
                continue
            key = event.record.key
            if not key.startswith(self.meeting.waves_prefix):
                continue
            wave = self.meeting.parse_wave(key, event.record.value)
            if wave is not None:
                log("wave:asked", wave=wave.number, vms=len(wave.vms))
                self.open[key] = wave


class UpkeepDuty:
    """Does one pool's part of all open waves, under the owner's epoch."""

    def __init__(
        self,
        held: tenures.Tenure,
        holder: str,
        store: key_value.KeyValueStore,
        book: work.Book,
        times: clock.Clock,
        waves: Waves,
        changed: Callable[[], None],
    ) -> None:
        """Prepare the duty; `run` does the rest.

        Args:
            held: The owner's tenure.
            holder: Name under which orders are given.
            store: The key-value service.
            book: The pool's book.
            times: The present time.
            waves: What operators ask for.
            changed: Called when the book has changed.
        """
        self._tenure = held
        self._holder = holder
        self._store = store
        self._book = book
        self._times = times
        self._waves = waves
        self._changed = changed
        self._records: dict[int, upkeep.WaveRecord] = {}
        self._revisions: dict[int, int] = {}
        self._over: set[int] = set()
        self._since: dict[str, float] = {}
        self._fenced = False

    async def run(self) -> None:
        """Work on open waves until cancelled."""
        meeting = self._waves.meeting
        if meeting is None:
            return
        await trio.sleep(_PREDECESSOR_S)
        try:
            await self._work_forever(meeting)
        finally:
            # Workers that were being emptied take work again.
            self._book.set_resting(set())

    async def _work_forever(self, meeting: Upkeeping) -> None:
        while not self._fenced:
            await trio.sleep(_TICK_S)
            waves = [
                wave
                for wave in self._waves.open.values()
                if wave.number not in self._over
            ]
            if not waves:
                self._book.set_resting(set())
                continue
            await self._work(waves, meeting)

    async def _work(
        self, waves: list[vm_port.Wave], meeting: Upkeeping
    ) -> None:
        """Take one step in each wave; the platform's list is read once."""
        vms = meeting.make_vms()
        try:
            listed = await vms.list_vms()
            if isinstance(listed, orders.Silent):
                log("vms:no-answer", cause=listed.cause)
                return
            listed = self._name_incarnations(listed)
            for wave in waves:
                await self._advance(wave, listed, vms)
            self._rest(listed)
        except client.StoreUnavailableError as error:
            log("wave:no-store", cause=str(error))
        finally:
            with trio.CancelScope(shield=True):
                await vms.aclose()

    def _name_incarnations(
        self, listed: tuple[vm_port.Vm, ...]
    ) -> tuple[vm_port.Vm, ...]:
        """Name the incarnation on each VM; the platform names its worker."""
        known = work.map_incarnations(self._book)
        return tuple(
            dataclasses.replace(vm, worker=known.get(vm.worker, ""))
            for vm in listed
        )

    async def _advance(
        self,
        wave: vm_port.Wave,
        listed: tuple[vm_port.Vm, ...],
        vms: vm_port.VmPort,
    ) -> None:
        record = self._records.get(wave.number)
        pool = self._tenure.pool
        if record is None or upkeep.is_shared(wave, record, listed, pool):
            # Owners of other pools change it too.
            record = await self._load(wave.number)
        before = upkeep.dump_record(record)
        upkeep.note_back(record, listed)
        now = self._times.steady()
        chosen = upkeep.choose_vm(self._book, pool, wave, record, listed, now)
        if chosen is not None:
            record.begun[chosen.name] = chosen.worker
        is_over = upkeep.is_over(wave, record, listed)
        changed = is_over or upkeep.dump_record(record) != before
        if changed and not await self._write(wave.number, record, is_over):
            return
        if is_over:
            self._over.add(wave.number)
            log("wave:completed", wave=wave.number)
            return
        await self._empty_and_order(wave, record, listed, vms)

    async def _empty_and_order(
        self,
        wave: vm_port.Wave,
        record: upkeep.WaveRecord,
        listed: tuple[vm_port.Vm, ...],
        vms: vm_port.VmPort,
    ) -> None:
        """Empty the VMs that are begun; order down those that are empty."""
        now = self._times.steady()
        ours = {vm.name: vm for vm in listed if vm.pool == self._tenure.pool}
        for name in list(record.begun):
            vm = ours.get(name)
            if vm is None or vm.state is not vm_port.VmState.UP:
                continue
            since = self._since.setdefault(name, now)
            held = self._book.workers.get(vm.worker)
            leave_by = since + upkeep.measure_patience(wave)
            for run, why in upkeep.list_evacuations(
                self._book, vm.worker, now, leave_by
            ):
                self._book.stop_run(run, why, now)
                self._changed()
            if held is None or not held.resting or held.runs:
                continue
            await self._order(wave.number, record, vm, vms)

    async def _order(
        self,
        wave: int,
        record: upkeep.WaveRecord,
        vm: vm_port.Vm,
        vms: vm_port.VmPort,
    ) -> None:
        if not self._tenure.is_valid():
            return
        answer = await vms.begin_upkeep(
            self._holder, self._tenure.epoch, vm.name, wave
        )
        log("upkeep:ordered", wave=wave, vm=vm.name, answer=str(answer))
        if answer is vm_port.Upkeep.FENCED:
            self._fenced = True
        if answer is vm_port.Upkeep.FOREIGN:
            record.begun.pop(vm.name)
            record.done.add(vm.name)
            await self._write(wave, record, False)
        if answer is vm_port.Upkeep.DONE:
            # Kept with the worker from before the first order: that one may
            # have been carried out and its answer lost, and the VM be back.
            record.down[vm.name] = record.begun.pop(vm.name)
            await self._write(wave, record, False)

    def _rest(self, listed: tuple[vm_port.Vm, ...]) -> None:
        """Keep new work off the workers that are being emptied."""
        begun = {name for held in self._records.values() for name in held.begun}
        self._book.set_resting({vm.worker for vm in listed if vm.name in begun})
        self._changed()

    # The record.

    async def _load(self, wave: int) -> upkeep.WaveRecord:
        found = await self._store.read(keys.build_wave_key(wave))
        self._revisions[wave] = found.revision if found is not None else 0
        record = (
            upkeep.parse_record(found.value)
            if found is not None
            else upkeep.WaveRecord()
        )
        self._records[wave] = record
        return record

    async def _write(
        self, wave: int, record: upkeep.WaveRecord, is_over: bool
    ) -> bool:
        """Write a record and what operators are told.

        Returns:
            Whether both are stored. If not, the record is read anew before
            anything follows from it: another owner may have changed it, or
            this write may still be carried out.
        """
        key = keys.build_wave_key(wave)
        assert self._waves.meeting is not None
        status, body = self._waves.meeting.build_status(wave, is_over)
        outcome = await self._store.write(
            (self._tenure.guard, key_value.Guard(key, self._revisions[wave])),
            (
                key_value.Write(key, upkeep.dump_record(record)),
                key_value.Write(status, body),
            ),
        )
        if isinstance(outcome, key_value.Written):
            self._revisions[wave] = outcome.revision
            return True
        log("wave:not-written", wave=wave, outcome=type(outcome).__name__)
        del self._records[wave]
        return False
