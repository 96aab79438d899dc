"""Random histories of owners, successors and leases of one worker's run.

Two data centres hold two entries and two workers each. They are partitioned,
the key-value service serves nobody or refuses single entries, entries restart,
leave and are added, workers are cut off, and their clocks run at 0.98 to 1.02
of full speed. One task is to run. However its owners change, it is never
started while an earlier run can be alive.
"""

import dataclasses
import itertools

from hypothesis import stateful
from hypothesis import strategies

from crocusrouter.mesh import messages
from crocusrouter.pools import attestations
from crocusrouter.pools import owner_leases
from crocusrouter.pools import predecessors as earlier_owners
from crocusrouter.pools import worker_leases
from standins import fuzzing

_POOL = "p"
_TICK_S = 0.1
_RENEWAL_TICKS = 5
_ASK_TICKS = 10
_POLL_TICKS = 10
_MAX_LEASE_MS = 10_000
_ENTRIES = ("e0", "e1", "e2", "e3")
_WORKERS = ("w0", "w1", "w2", "w3")
_RATES = (0.98, 0.99, 1.0, 1.02)
_DISRUPTIONS = (
    "partition",
    "stop store",
    "refuse entry",
    "cut running",
    "kill entry",
    "remove entry",
    "forget entry",
    "add entry",
    "heal store",
    "heal network",
)


def _make_attester(name):
    return earlier_owners.Attester(name, f"{name}:7000")


def _find_side(name):
    return int(name[1:]) % 2


@dataclasses.dataclass
class _Worker:
    rate: float
    offset_ms: float
    highest_epoch: int = 0
    lease_end_ms: float = 0.0
    is_running: bool = False

    def read_clock(self, now):
        return self.offset_ms + now * 1000 * self.rate

    def check_lease(self, now):
        """End the run if its lease has ended."""
        if self.read_clock(now) > self.lease_end_ms:
            self.is_running = False

    def renew(self, until_ms, now):
        longest_ms = self.read_clock(now) + _MAX_LEASE_MS
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, longest_ms))


@dataclasses.dataclass
class _Owner:
    """An entry's ownership, with its view of the workers."""

    epoch: int
    valid_until: float
    attested: attestations.Attestations = dataclasses.field(init=False)
    predecessors: earlier_owners.Predecessors = dataclasses.field(init=False)
    # The members that the stored record names as asked by this owner.
    asked: frozenset[str] = frozenset()
    leases: dict[str, worker_leases.WorkerLease] = dataclasses.field(
        default_factory=dict
    )
    # Whether each worker may run the task: True, False or None for unknown.
    may_run: dict[str, bool | None] = dataclasses.field(default_factory=dict)
    silent: set[str] = dataclasses.field(default_factory=set)
    pool: str = _POOL


@dataclasses.dataclass
class _Entry:
    process: int
    owner: _Owner | None = None
    latest_epoch: int = 0


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Plays histories in steps of a tenth of a second."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.tick_number = 0
        self.processes = itertools.count()
        self.entries = {name: _Entry(next(self.processes)) for name in _ENTRIES}
        # The members that owners know of, and what owners have recorded.
        self.members = set(_ENTRIES)
        self.recorded = []
        self.workers = {}
        self.store_side = 0
        self.partitioned = False
        self.store_is_down = False
        self.refused = set()
        self.cut_workers = set()
        self.stopped = set()
        self.revision = 1
        self.key_epoch = 0
        self.key_ends_at = 0.0
        self.is_wanted = False

    @stateful.initialize(
        rates=strategies.tuples(*[strategies.sampled_from(_RATES)] * 4),
        offsets=strategies.tuples(*[strategies.integers(10**4, 10**6)] * 4),
        store_side=strategies.sampled_from([0, 1]),
    )
    def start(self, rates, offsets, store_side):
        self.store_side = store_side
        self.workers = {
            name: _Worker(rate, offset)
            for name, rate, offset in zip(_WORKERS, rates, offsets, strict=True)
        }
        self._advance(1.0)

    # Who reaches whom. The store is in one of the data centres.

    def _is_served(self, name):
        is_cut = self.partitioned and _find_side(name) != self.store_side
        return not (self.store_is_down or is_cut or name in self.refused)

    def _reaches(self, name, other):
        return not (self.partitioned and _find_side(name) != _find_side(other))

    def _reaches_worker(self, entry, worker):
        return worker not in self.cut_workers and self._reaches(entry, worker)

    # What entries and workers do in each tick.

    def _advance(self, duration_s):
        for _ in range(round(duration_s / _TICK_S)):
            self.now += _TICK_S
            self.tick_number += 1
            for worker in self.workers.values():
                worker.check_lease(self.now)
            if self.now >= self.key_ends_at:
                self.key_epoch = 0
            for name in _ENTRIES:
                if name not in self.stopped:
                    self._act(name, self.entries[name])

    def _act(self, name, entry):
        owner = entry.owner
        if self._is_served(name):
            self.members.add(name)
        if owner is None:
            if self._is_served(name) and not self.key_epoch:
                self._take_over(name, entry)
            return
        if self.tick_number % _RENEWAL_TICKS == 0:
            self._renew_owner_lease(name, entry)
            self._record_attesters(name, entry)
            self._ask_for_confirmations(name, entry)
        if self.tick_number % _ASK_TICKS == 0:
            self._ask_members(name, entry)
        for worker in _WORKERS:
            self._visit_worker(name, entry, worker)
        self._start_task(name, entry)

    def _take_over(self, name, entry):
        self.revision += 1
        self.key_epoch = self.revision
        self.key_ends_at = self.now + owner_leases.TTL_S
        owner = _Owner(self.revision, self.key_ends_at)
        owner.attested = attestations.Attestations(owner, lambda: owner.asked)
        owner.predecessors = earlier_owners.Predecessors(
            _make_attester(name), owner.epoch, self.now
        )
        owner.predecessors.set_recorded(self.recorded)
        owner.leases = {
            worker: worker_leases.WorkerLease(
                self.now, owner.predecessors.have_ended
            )
            for worker in _WORKERS
        }
        owner.may_run = dict.fromkeys(_WORKERS)
        entry.owner = owner
        entry.latest_epoch = owner.epoch

    def _renew_owner_lease(self, name, entry):
        if not self._is_served(name):
            return
        if self.key_epoch != entry.owner.epoch:
            entry.owner = None
            return
        self.key_ends_at = self.now + owner_leases.TTL_S
        entry.owner.valid_until = self.key_ends_at

    def _record_attesters(self, name, entry):
        """Record the members that the owner asks from now on."""
        owner = entry.owner
        if owner is None or not self._is_served(name):
            return
        owner.asked = frozenset(self.members - {name})
        self.recorded = list(owner.predecessors.list_unsettled(self.now))
        if owner.asked:
            attesters = frozenset(
                _make_attester(member) for member in owner.asked | {name}
            )
            self.recorded.append(
                earlier_owners.Predecessor(owner.epoch, attesters)
            )

    def _ask_for_confirmations(self, name, entry):
        """Ask those that attest to earlier owners not to do so any more."""
        owner = entry.owner
        if owner is None:
            return
        askable = owner.predecessors.list_askable(self.now)
        for other in askable & self._list_reachable(name):
            other_entry = self.entries[other]
            other_entry.latest_epoch = max(
                other_entry.latest_epoch, owner.epoch
            )
            reply = messages.OwnerConfirmed(
                other_entry.latest_epoch, str(other_entry.process)
            )
            owner.predecessors.note_confirmed(other, reply, self.now, self.now)

    def _list_reachable(self, name):
        """Return the other members that answer an entry."""
        return {
            other
            for other in self.members - self.stopped - {name}
            if self._reaches(name, other)
        }

    def _ask_members(self, name, entry):
        """Ask all other members while the owner lease is not valid."""
        if entry.owner is None or self.now < entry.owner.valid_until:
            return
        for other in sorted(self._list_reachable(name) & entry.owner.asked):
            other_entry = self.entries[other]
            beat = messages.Beat(
                other,
                1,
                None,
                ((_POOL, other_entry.latest_epoch, other),),
                self._is_served(other),
            )
            entry.owner.attested.note_answer(beat, self.now)
            if other_entry.latest_epoch > entry.owner.epoch:
                entry.owner = None
                return

    def _visit_worker(self, name, entry, worker):
        """Poll a worker that may run the task; an idle one is left alone."""
        owner = entry.owner
        if owner is None:
            return
        is_due = self.tick_number % _POLL_TICKS == 0
        if owner.may_run[worker] is None or (owner.may_run[worker] and is_due):
            self._poll(name, entry, worker)

    def _poll(self, name, entry, worker):
        owner = entry.owner
        lease = owner.leases[worker]
        until_ms = None
        if worker not in owner.silent and owner.attested.may_renew(self.now):
            until_ms = lease.extend(self.now)
        if not self._reaches_worker(name, worker):
            owner.silent.add(worker)
            if lease.has_lapsed(self.now):
                owner.may_run[worker] = False
            return
        target = self.workers[worker]
        if target.highest_epoch > owner.epoch:
            entry.owner = None
            return
        target.highest_epoch = owner.epoch
        if until_ms is not None:
            target.renew(until_ms, self.now)
        lease.note(int(target.read_clock(self.now)), self.now)
        owner.silent.discard(worker)
        owner.may_run[worker] = target.is_running

    def _start_task(self, name, entry):
        owner = entry.owner
        if owner is None or not self.is_wanted or self.now >= owner.valid_until:
            return
        if any(may_run is not False for may_run in owner.may_run.values()):
            return
        worker = next(
            (
                worker
                for worker in _WORKERS
                if worker not in owner.silent
                and self._reaches_worker(name, worker)
            ),
            None,
        )
        if worker is None:
            return
        lease = owner.leases[worker]
        if lease.clock_ms is None or lease.has_old_reading(self.now):
            self._poll(name, entry, worker)
            if entry.owner is not owner:
                return
        target = self.workers[worker]
        if target.highest_epoch > owner.epoch:
            entry.owner = None
            return
        until_ms = lease.extend(self.now)
        if until_ms <= target.read_clock(self.now):
            return
        alive = [w for w, state in self.workers.items() if state.is_running]
        assert not alive, f"{name} starts on {worker} beside a run on {alive}"
        target.highest_epoch = owner.epoch
        target.renew(until_ms, self.now)
        target.is_running = True
        lease.note(int(target.read_clock(self.now)), self.now)
        owner.may_run[worker] = True

    # What happens to them.

    @stateful.rule(
        kind=strategies.sampled_from(_DISRUPTIONS),
        name=strategies.sampled_from(_ENTRIES),
        wait_s=strategies.sampled_from([0.2, 1.0, 4.0, 12.0]),
    )
    def disrupt(self, kind, name, wait_s):
        """Disrupt something, or end all disruptions of a kind, and wait."""
        match kind:
            case "partition":
                self._partition_owner()
            case "stop store":
                self.store_is_down = True
            case "refuse entry":
                self.refused.add(name)
            case "cut running":
                self._cut_running_workers()
            case "kill entry":
                self._kill(name)
            case "remove entry":
                self._kill(name)
                self.members.discard(name)
            case "forget entry" if not self._is_served(name):
                # The store has ended the lease of its key.
                self.members.discard(name)
            case "add entry":
                self._restart(name)
            case "heal store":
                for stopped_name in list(self.stopped):
                    self._restart(stopped_name)
                self.store_is_down = False
                self.refused.clear()
            case "heal network":
                self.partitioned = False
                self.cut_workers.clear()
        self._advance(wait_s)

    @stateful.rule(
        idle_s=strategies.sampled_from([1.0, 47.0, 300.0]),
        owned_s=strategies.sampled_from([None, 0.2, 0.3, 1.0]),
        cut_s=strategies.sampled_from([0.0, 12.0]),
    )
    def start_task_after_idle_time(self, idle_s, owned_s, cut_s):
        """End the run and all disruptions, let nothing run, then start anew.

        Args:
            idle_s: For how many seconds nothing runs.
            owned_s: For how long the owner's successor then owns the pool
                undisturbed; None if the owner isn't stopped.
            cut_s: For how long the task's worker is then cut off.
        """
        for worker in self.workers.values():
            worker.is_running = False
        self.is_wanted = False
        self.partitioned = self.store_is_down = False
        self.refused.clear()
        self.cut_workers.clear()
        for name in list(self.stopped):
            self._restart(name)
        self._advance(12.0)
        self.now += idle_s
        self.key_ends_at += idle_s
        for entry in self.entries.values():
            if entry.owner is not None:
                entry.owner.valid_until += idle_s
        self.is_wanted = True
        self._advance(_TICK_S)
        if owned_s is not None:
            self._hand_over()
            self._advance(owned_s)
        if cut_s:
            self._cut_running_workers()
            self._advance(cut_s)

    @stateful.rule(
        calm_s=strategies.sampled_from([0.2, 1.0]),
        added=strategies.lists(
            strategies.sampled_from([0.2, 1.0, 4.0]), min_size=1, max_size=2
        ),
        wait_s=strategies.sampled_from([1.0, 8.0, 12.0, 26.0]),
    )
    def cut_owner_beside_added_entries(self, calm_s, added, wait_s):
        """Remove the entries of the other data centre, and add some again.

        Args:
            calm_s: Seconds until the owner's data centre is cut off.
            added: Seconds from the addition of each entry to the next step.
            wait_s: Seconds to wait in the end.
        """
        owner = next((n for n in _ENTRIES if self.entries[n].owner), None)
        if owner is None or self.partitioned:
            return
        far_names = [n for n in _ENTRIES if _find_side(n) != _find_side(owner)]
        for name in far_names:
            self._kill(name)
            self.members.discard(name)
        self._advance(calm_s)
        self._partition_owner()
        for name, delay_s in zip(far_names, added, strict=False):
            self._restart(name)
            self._advance(delay_s)
        self._advance(wait_s)

    def _partition_owner(self):
        """Cut the owner's data centre, or the last one cut, from the store."""
        for owner_name, entry in self.entries.items():
            if entry.owner is not None and not self.partitioned:
                self.store_side = 1 - _find_side(owner_name)
        self.partitioned = True

    def _cut_running_workers(self):
        self.cut_workers.update(
            name for name, worker in self.workers.items() if worker.is_running
        )

    def _hand_over(self):
        """Stop the owner as planned; another entry takes over at once."""
        for name, entry in self.entries.items():
            if entry.owner is not None:
                self._kill(name)
                self.key_epoch = 0
                self._advance(_TICK_S)
                self._restart(name)
                return

    def _kill(self, name):
        self.entries[name].owner = None
        self.stopped.add(name)

    def _restart(self, name):
        self.stopped.discard(name)
        self.entries[name] = _Entry(next(self.processes))


TestLeases = LeaseMachine.TestCase
TestLeases.settings = fuzzing.build_settings(300, 20)
