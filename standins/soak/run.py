"""One soak: load, random faults, recovery, and the oracles' verdict."""

import dataclasses
import enum
import pathlib
import random
import signal
import time

import httpcore
import orjson
import trio

from crocusrouter import platform
from crocusrouter import queues
from standins.emulator import closure_oracle as closure_oracles
from standins.emulator import config_oracle as config_oracles
from standins.emulator import oracle as oracles
from standins.emulator import rules
from standins.emulator import standing_oracle as standing_oracles
from standins.emulator import store as stores
from standins.emulator import worker as workers
from standins.soak import cancels
from standins.soak import config_calls
from standins.soak import cut_requests
from standins.soak import proxy as proxies
from standins.soak import world as worlds

# The rules that soaks check.
CHECKED = (
    oracles.RULES
    | config_oracles.RULES
    | cut_requests.RULES
    | closure_oracles.RULES
    | standing_oracles.RULES
    | {rules.Rule.DRAIN}
)

_SUBMIT_TRIES = 6
_CALL_TIMEOUT_S = 3.0
_RESTART_DELAY_S = 0.8
# An entry makes few calls to the store in so short a time: its open watches
# lose their answers, and no other failed call makes the entry notice.
_LOST_ANSWERS_S = 0.1
_LONGEST_PAUSE_S = 4.0
_START_STOP_TIMEOUT_S = 20.0
# Entries wait 7.6 s for unreachable workers before they start gangs again.
# Twice that time without faults is enough for all jobs to end.
_JOB_END_TIMEOUT_S = 60.0
_QUEUE = queues.Queue("q", worlds.HOST, worlds.PREFIX, worlds.POOL, 1, 3, 2.0)


class Fault(enum.StrEnum):
    """Faults that a soak injects from outside the entries."""

    KILL = "kill"
    KILL_ALL = "kill-all"
    PAUSE = "pause"
    STOP = "stop"
    HANG_UP = "hang-up"
    HARM_STORE_LINK = "harm-store-link"
    HARM_WORKER_LINK = "harm-worker-link"
    STORE_AWAY = "store-away"
    STORE_LOSES = "store-loses"
    COMPACT = "compact"
    LOSE_ANSWERS = "lose-answers"  # of the store to one entry, for 0.1 s
    REFUSE_WATCHES = "refuse-watches"  # of the keys that operators write
    PAUSE_OTHERS = "pause-others"  # all entries but one
    LOSE_PEERS = "lose-peers"  # lost answers to one entry, others pause
    DRAIN_WORKER = "drain-worker"
    SHRINK_WORKER = "shrink-worker"
    RESTART_WORKER = "restart-worker"  # under the same id
    FAIL_ALL = "fail-all"  # a worker fails each task that it starts
    SLOW_WORKER = "slow-worker"
    STALL_WORKER = "stall-worker"  # no progress of tasks, but answers
    CLOSE_DATA_CENTRE = "close-data-centre"  # to new work
    CANCEL_ALL = "cancel-all"  # all jobs at one moment
    STOP_AMID_CANCELS = "stop-amid-cancels"  # an entry, as all are cancelled
    LATE_STOPS = "late-stops"  # all are cancelled as orders come late
    LATE_ORDERS = "late-orders"  # a worker carries out orders seconds late
    STRAND_STORE = "strand-store"  # open connections go silent, new ones work
    STRAND_WORKERS = "strand-workers"
    STRAND_PEERS = "strand-peers"
    SLOW_STORE = "slow-store"
    LATE_WRITES = "late-writes"  # of the store, without answers
    SLOW_ANSWERS = "slow-answers"  # of a worker to some calls
    CLOSE_IDLE = "close-idle"  # a worker closes idle connections
    CLOSE_USED = "close-used"  # a worker closes connections after each answer
    REPLACE_WORKERS = "replace-workers"  # drained, new ones under other ids
    RENEW_WORKERS = "renew-workers"  # drained, new ones under the same ids
    PARTITION = "partition"  # the owner's data centre, cut off from all else


# The kinds that seeds draw from by place, so that kept seeds stay as they are.
_DEFAULT_FAULTS = tuple(Fault)[: tuple(Fault).index(Fault.CLOSE_DATA_CENTRE)]
# Answers of the store take up to 0.3 s, or writes are carried out late.
_STORE_FAULTS = {
    Fault.STORE_AWAY: stores.StoreFault.BUSY,
    Fault.STORE_LOSES: stores.StoreFault.LOST,
    Fault.SLOW_STORE: stores.StoreFault.SLOW,
    Fault.LATE_WRITES: stores.StoreFault.LATE,
}
_WORKER_FAULTS = frozenset(
    {
        Fault.DRAIN_WORKER,
        Fault.SHRINK_WORKER,
        Fault.RESTART_WORKER,
        Fault.CLOSE_DATA_CENTRE,
        Fault.FAIL_ALL,
        Fault.SLOW_WORKER,
        Fault.STALL_WORKER,
        Fault.REPLACE_WORKERS,
        Fault.RENEW_WORKERS,
        Fault.LATE_ORDERS,
        Fault.SLOW_ANSWERS,
        Fault.CLOSE_IDLE,
        Fault.CLOSE_USED,
    }
)
_MOST_WORKERS_AT_ONCE = 3
_SERIES_GAP_S = (0.2, 2.0)
_LATE_ORDER_SHARE = 0.5
_LATE_STOP_SHARE = 0.9
_LATE_STOPS_S = 1.0
# Long enough to see starts that come too late.
_MIN_CLOSURE_S = 7.0
# Long enough for a successor to count the leases there as ended.
_MIN_PARTITION_S = 11.0
_PARTITION_FAULTS = (proxies.LinkFault.SILENCE, proxies.LinkFault.RESET)
# Relative speed of the tasks on a worker.
_TASK_SPEEDS = {Fault.SLOW_WORKER: 0.25, Fault.STALL_WORKER: 0.0}


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size, load and length of a soak.

    Attributes:
        entry_count: Number of entry processes.
        worker_count: Number of workers.
        jobs_per_s: Jobs submitted per second.
        length_s: Seconds during which jobs are submitted and faults injected.
        fault_count: Number of faults.
        jobs_per_crashing_job: One in this many jobs has tasks that crash each
            worker they start on; 0 for none.
        fault_kinds: The kinds that faults are drawn from.
        series_length: How often each fault is injected, at short intervals
            and for other entries and workers each time.
        most_tasks: Most tasks of a step.
        processor_share: Share of a processor that each entry may use.
        cancel_load: Cancels and long tasks; without it, one job in ten is
            cancelled once, within two seconds.
    """

    entry_count: int = 4
    worker_count: int = 6
    jobs_per_s: float = 2.0
    length_s: float = 15.0
    fault_count: int = 5
    jobs_per_crashing_job: int = 20
    fault_kinds: tuple[Fault, ...] = _DEFAULT_FAULTS
    series_length: int = 1
    most_tasks: int = 4
    processor_share: float = 1.0
    cancel_load: cancels.CancelLoad | None = None


@dataclasses.dataclass
class Result:
    """Findings of a soak.

    Attributes:
        broken: Violations, one line each.
        accepted: Number of jobs whose submission was confirmed.
        crashes: How often a task crashed its worker.
        faults: The injected faults, in order.
        config_oracle: Findings about changes of the configuration.
        starts_while_closed: Starts that were judged by a closure.
        cut_checker: Findings about requests that were cut.
        judged_cancels: How many cancels were followed to the end of the time
            in which all runs of the job must end.
        longest_after_cancel_s: The longest time from a cancel, or from the
            last impairment after it, to the end of a run of the job.
        stood: Jobs that stood still beside room, one line each. Some kinds of
            faults are known to cause them.
        judged_standings: How many times of standing of jobs were judged.
        excused_standings: How many long ones were excused.
        longest_standing_s: For how many seconds a job stood at most while it
            was judged.
        stalled_s: How long this process did nothing at worst; much of it
            shows that the machine is overloaded.
    """

    broken: list[str]
    accepted: int
    crashes: int
    faults: list[str]
    config_oracle: config_oracles.ConfigOracle
    cut_checker: cut_requests.CutRequestChecker
    starts_while_closed: int = 0
    judged_cancels: int = 0
    longest_after_cancel_s: float = 0.0
    stood: list[str] = dataclasses.field(default_factory=list)
    judged_standings: int = 0
    excused_standings: int = 0
    longest_standing_s: float = 0.0
    stalled_s: float = 0.0

    @property
    def verdict(self) -> str:
        """Whether all rules held; without accepted jobs nothing was judged."""
        if self.broken or self.stood:
            return "broken"
        return "kept" if self.accepted else "judged nothing"

    def list_idle_checks(self) -> list[str]:
        """Return the checks that had no case to judge."""
        cases = {
            "jobs": self.accepted,
            "crashes": self.crashes,
            "changes": self.config_oracle.judged,
            "cut requests": self.cut_checker.judged,
            "closures": self.starts_while_closed,
            "cancels": self.judged_cancels,
            "standing jobs": self.judged_standings,
        }
        return [check for check, count in cases.items() if not count]


async def soak(seed: int, shape: Shape, log_folder: pathlib.Path) -> Result:
    """Run one soak, and stop the processes that it started.

    Args:
        seed: Seeds load and faults. Runs of one seed still differ, since the
            processes run in real time.
        shape: Size, load and length.
        log_folder: Folder for the entries' logs.
    """
    world = worlds.World(
        seed,
        shape.entry_count,
        shape.worker_count,
        log_folder,
        shape.processor_share,
        has_partitions=Fault.PARTITION in shape.fault_kinds,
    )
    soak_run = _SoakRun(
        world, shape, random.Random(seed), random.Random(f"cancels {seed}")
    )
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(world.run)
            await soak_run.run()
            nursery.cancel_scope.cancel()
    finally:
        world.processes.stop_all()
    return Result(
        world.oracle.broken
        + world.config_oracle.broken
        + world.closure_oracle.broken
        + world.cut_checker.broken
        + world.list_internal_errors(),
        len(world.oracle.accepted),
        len(world.oracle.task_crashes),
        soak_run.faults,
        world.config_oracle,
        world.cut_checker,
        world.closure_oracle.judged,
        world.oracle.judged_cancels,
        world.oracle.longest_after_cancel,
        world.standing_oracle.broken,
        world.standing_oracle.judged,
        world.standing_oracle.excused,
        world.standing_oracle.longest_s,
        world.longest_stall_s,
    )


class _SoakRun:
    """Callers and faults of one soak."""

    def __init__(
        self,
        world: worlds.World,
        shape: Shape,
        rng: random.Random,
        cancel_rng: random.Random,
    ) -> None:
        self.world = world
        self.shape = shape
        self.rng = rng
        self.faults: list[str] = []
        self._job_count = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)
        self._config_tester = config_calls.ConfigTester(
            world, random.Random(rng.random())
        )
        self._canceller = cancels.Canceller(
            world.oracle,
            world.entry_names,
            self._cancel_at,
            cancel_rng,
        )

    async def run(self) -> None:
        """Apply load and faults, wait for the jobs to end, and check them."""
        await self._wait_until_serving()
        async with trio.open_nursery() as config_nursery:
            config_nursery.start_soon(self._config_tester.write_changes)
            config_nursery.start_soon(self._config_tester.call_all_entries)
            await self._apply_load_and_faults()
            config_nursery.cancel_scope.cancel()
        # Entries that restarted while the document was unreadable have no
        # configuration yet.
        self.world.operators.write(trio.current_time())
        self.world.standing_oracle.note_traffic_ended(trio.current_time())
        states = await self._wait_for_jobs()
        await self._canceller.wait_until_judged()
        self.world.oracle.check_final_states(states)
        await self._config_tester.aclose()
        await self._pool.aclose()

    async def _apply_load_and_faults(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_jobs, nursery)
            for _ in range(self.shape.fault_count):
                delay_s = self.rng.uniform(0.5, self.shape.length_s)
                fault = self.rng.choice(self.shape.fault_kinds)
                duration_s = self.rng.uniform(0.5, 4.0)
                nursery.start_soon(
                    self._inject_series, delay_s, fault, duration_s
                )

    # Callers.

    async def _wait_until_serving(self) -> None:
        with trio.fail_after(_START_STOP_TIMEOUT_S):
            while await self._call_for_status("GET", "", None) != 200:
                await trio.sleep(0.2)

    async def _submit_jobs(self, nursery: trio.Nursery) -> None:
        load_ends_at = trio.current_time() + self.shape.length_s
        while trio.current_time() < load_ends_at:
            nursery.start_soon(self._submit_job)
            await trio.sleep(self.rng.expovariate(self.shape.jobs_per_s))

    async def _submit_job(self) -> None:
        """Submit a job with retries, as callers do; cancel some of the jobs."""
        job_id = f"{self.rng.getrandbits(64):016x}"
        body = self._draw_body()
        oracle = self.world.oracle
        oracle.jobs[job_id] = platform.parse_submission(
            body, job_id, _QUEUE, "a", time.time()
        )
        cancel_load = self.shape.cancel_load
        is_lasting = oracle.jobs[job_id].steps[0].lasting
        should_cancel = self.rng.random() < (
            cancel_load.share if cancel_load is not None else 0.1
        )
        all_refused = True
        sent_at = trio.current_time()
        for _ in range(_SUBMIT_TRIES):
            status = await self._call_for_status("POST", job_id, body)
            if status == 200:
                oracle.accepted.add(job_id)
                break
            all_refused &= status in (429, 503)
            await trio.sleep(0.5)
        oracle.submissions.append((sent_at, job_id in oracle.accepted))
        if job_id not in oracle.accepted:
            if all_refused:
                oracle.refused.add(job_id)
            return
        if cancel_load is not None:
            if should_cancel or is_lasting:
                await trio.sleep(cancel_load.draw_delay(self.rng))
                await self._canceller.cancel(job_id)
        elif should_cancel:
            await trio.sleep(self.rng.uniform(0.1, 2.0))
            oracle.cancels_sent.add(job_id)
            if await self._call_for_status("DELETE", job_id, None) == 200:
                oracle.cancelled[job_id] = trio.current_time()

    def _draw_body(self) -> bytes:
        step: dict[str, object] = {
            "count": self.rng.randint(1, self.shape.most_tasks),
            "cpu": 2000,
            "mem_mb": 1000,
            "gpu": self.rng.choice((1, 2, 4)),
            "est_duration_ms": self.rng.randint(200, 1500),
            "gang": self.rng.random() < 0.4,
        }
        if self.shape.cancel_load is not None:
            step = self.shape.cancel_load.change_step(step, self.rng)
        steps = [step]
        if not step.get("long_running") and self.rng.random() < 0.3:
            steps.append(step | {"gang": False, "after": [0]})
        return orjson.dumps({"spec": self._choose_task_spec(), "steps": steps})

    def _choose_task_spec(self) -> str:
        self._job_count += 1
        interval = self.shape.jobs_per_crashing_job
        is_crashing = interval > 0 and self._job_count % interval == 0
        return workers.CRASHING if is_crashing else "soak"

    async def _call_for_status(
        self, method: str, job_id: str, body: bytes | None
    ) -> int | None:
        """Call a random entry; return None without a complete answer."""
        status, _ = await self._call(method, job_id, body)
        return status

    async def _call(
        self, method: str, job_id: str, body: bytes | None
    ) -> tuple[int | None, bytes]:
        name = self.rng.choice(self.world.entry_names)
        return await self._call_entry(name, method, job_id, body)

    async def _cancel_at(self, name: str, job_id: str) -> int | None:
        status, _ = await self._call_entry(name, "DELETE", job_id, None)
        return status

    async def _call_entry(
        self, name: str, method: str, job_id: str, body: bytes | None
    ) -> tuple[int | None, bytes]:
        url = self.world.urls[name]
        sent_at = trio.current_time()
        phases = ("connect", "read", "write", "pool")
        timeouts = dict.fromkeys(phases, _CALL_TIMEOUT_S)
        try:
            response = await self._pool.request(
                method,
                f"{url}{worlds.PREFIX}{job_id}",
                headers={"Host": worlds.HOST, "X-Api-Key": worlds.KEY},
                content=body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.TimeoutException):
            return None, b""
        except (httpcore.NetworkError, httpcore.ProtocolError):
            now = trio.current_time()
            self.world.cut_checker.check_cut_request(
                cut_requests.CutRequest(name, sent_at, now)
            )
            return None, b""
        return response.status, response.content

    async def _wait_for_jobs(self) -> dict[str, str | None]:
        """Poll the states of all accepted jobs until all have ended."""
        states: dict[str, str | None] = {}
        with trio.move_on_after(_JOB_END_TIMEOUT_S):
            for job_id in sorted(self.world.oracle.accepted):
                while states.get(job_id) not in ("done", "failed", "cancelled"):
                    states[job_id] = await self._read_state(job_id)
                    await trio.sleep(0.05)
        return states

    async def _read_state(self, job_id: str) -> str | None:
        status, content = await self._call("GET", job_id, None)
        if status != 200:
            return None if status != 410 else "unknown"
        state = str(orjson.loads(content)["state"])
        return "done" if state == "completed" else state

    # Faults.

    async def _inject_series(
        self, delay_s: float, fault: Fault, duration_s: float
    ) -> None:
        """Inject a fault after a delay, again at intervals if so shaped."""
        await trio.sleep(delay_s)
        await self._inject_fault(delay_s, fault, duration_s)
        for _ in range(self.shape.series_length - 1):
            await trio.sleep(self.rng.uniform(*_SERIES_GAP_S))
            await self._inject_fault(delay_s, fault, duration_s)

    async def _inject_fault(
        self, delay_s: float, fault: Fault, duration_s: float
    ) -> None:
        """Inject one fault, and remove it after its duration."""
        entry = self.rng.choice(self.world.entry_names)
        worker = self.rng.choice(sorted(self.world.workers))
        link_fault = self.rng.choice(
            [
                link_fault
                for link_fault in proxies.LinkFault
                if link_fault is not proxies.LinkFault.NONE
            ]
        )
        self.faults.append(
            f"{delay_s:.1f} {fault} {entry} {worker} {link_fault}"
        )
        match fault:
            case Fault.KILL:
                await self._kill_entries([entry])
            case Fault.KILL_ALL:
                await self._kill_entries(self.world.entry_names)
            case Fault.PAUSE:
                self.world.send_signal(entry, signal.SIGSTOP)
                await trio.sleep(duration_s)
                self.world.send_signal(entry, signal.SIGCONT)
            case Fault.STOP:
                await self._stop_entry(entry)
            case Fault.HANG_UP:
                self.world.send_signal(entry, signal.SIGHUP)
            case Fault.CANCEL_ALL:
                await self._canceller.cancel_all()
            case Fault.STOP_AMID_CANCELS:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._canceller.cancel_all)
                    nursery.start_soon(self._stop_entry, entry)
            case Fault.LATE_STOPS:
                await self._cancel_amid_late_orders()
            case Fault.PARTITION:
                await self.world.partition_owner(
                    self.rng.choice(_PARTITION_FAULTS),
                    _MIN_PARTITION_S + duration_s,
                )
            case _ if fault in _WORKER_FAULTS:
                await self._inject_worker_fault(worker, fault, duration_s)
            case _:
                await self._inject_dependency_fault(
                    entry, worker, link_fault, fault, duration_s
                )

    async def _inject_worker_fault(
        self, worker: str, fault: Fault, duration_s: float
    ) -> None:
        """Inject a fault of a worker, or plan its end."""
        match fault:
            case Fault.DRAIN_WORKER:
                await self.world.drain_worker(worker)
            case Fault.SHRINK_WORKER:
                await self.world.shrink_worker(worker, duration_s)
            case Fault.RESTART_WORKER:
                process_end = self.rng.choice(list(proxies.ProcessEnd))
                await self.world.restart_worker(worker, process_end, duration_s)
            case Fault.CLOSE_DATA_CENTRE:
                await self.world.close_data_centre(
                    self.world.workers[worker].entry.data_centre,
                    _MIN_CLOSURE_S + duration_s,
                )
            case Fault.FAIL_ALL | Fault.SLOW_WORKER | Fault.STALL_WORKER:
                await self._impair_tasks(
                    self.world.workers[worker], fault, duration_s
                )
            case Fault.REPLACE_WORKERS | Fault.RENEW_WORKERS:
                await self._replace_workers(fault)
            case (
                Fault.LATE_ORDERS
                | Fault.SLOW_ANSWERS
                | Fault.CLOSE_IDLE
                | Fault.CLOSE_USED
            ):
                await self._impair_answers(worker, fault, duration_s)

    async def _inject_dependency_fault(
        self,
        entry: str,
        worker: str,
        link_fault: proxies.LinkFault,
        fault: Fault,
        duration_s: float,
    ) -> None:
        """Inject a fault into what an entry depends on: links, store, peers."""
        match fault:
            case Fault.HARM_STORE_LINK:
                await self._apply_link_fault(
                    self.world.store_proxies[entry], link_fault, duration_s
                )
            case Fault.HARM_WORKER_LINK:
                await self._apply_link_fault(
                    self.world.worker_proxies[worker], link_fault, duration_s
                )
            case (
                Fault.STORE_AWAY
                | Fault.STORE_LOSES
                | Fault.SLOW_STORE
                | Fault.LATE_WRITES
            ):
                await self._apply_store_fault(_STORE_FAULTS[fault], duration_s)
            case Fault.STRAND_STORE:
                self.world.strand_connections(self.world.store_proxies)
            case Fault.STRAND_WORKERS:
                self.world.strand_connections(self.world.worker_proxies)
            case Fault.STRAND_PEERS:
                self.world.strand_connections(self.world.peer_proxies)
            case Fault.COMPACT:
                self.world.store.compact()
            case Fault.LOSE_ANSWERS:
                await self._lose_store_answers(entry)
            case Fault.REFUSE_WATCHES:
                self.world.store.rejected_prefixes.add("op/")
                await trio.sleep(duration_s)
                self.world.store.rejected_prefixes.clear()
            case Fault.PAUSE_OTHERS:
                await self._pause_other_entries(entry, duration_s)
            case Fault.LOSE_PEERS:
                await self._lose_store_answers(entry)
                await trio.sleep(duration_s)
                await self._pause_other_entries(entry, _LONGEST_PAUSE_S)

    async def _impair_tasks(
        self, worker: workers.Worker, fault: Fault, duration_s: float
    ) -> None:
        """Make a worker fail, slow down or stall its tasks for some seconds."""
        worker.fails_all = fault is Fault.FAIL_ALL
        worker.speed = _TASK_SPEEDS.get(fault, 1.0)
        await trio.sleep(duration_s)
        worker.fails_all = False
        worker.speed = 1.0

    async def _impair_answers(
        self, name: str, fault: Fault, duration_s: float
    ) -> None:
        """Change for some seconds how a worker answers calls."""
        worker = self.world.workers[name]
        manners = self.world.find_answer_manners(name)
        proxy = self.world.worker_proxies[name]
        match fault:
            case Fault.LATE_ORDERS:
                worker.late_order_share = _LATE_ORDER_SHARE
            case Fault.SLOW_ANSWERS:
                manners.is_slow = True
            case Fault.CLOSE_USED:
                manners.closes_used = True
            case Fault.CLOSE_IDLE:
                proxy.closes_idle = True
        await trio.sleep(duration_s)
        worker.late_order_share = 0.0
        manners.is_slow = False
        manners.closes_used = False
        proxy.closes_idle = False

    async def _cancel_amid_late_orders(self) -> None:
        """Cancel all jobs while all workers leave many orders unanswered."""
        late_workers = list(self.world.workers.values())
        for worker in late_workers:
            worker.late_order_share = _LATE_STOP_SHARE
        await self._canceller.cancel_all()
        await trio.sleep(_LATE_STOPS_S)
        for worker in late_workers:
            worker.late_order_share = 0.0

    async def _replace_workers(self, fault: Fault) -> None:
        """Replace some workers one after the other, without waiting long."""
        count = self.rng.randint(1, _MOST_WORKERS_AT_ONCE)
        names = sorted(self.world.workers)
        chosen = self.rng.sample(names, min(count, len(names) - 1))
        replace = (
            self.world.replace_worker
            if fault is Fault.REPLACE_WORKERS
            else self.world.renew_worker
        )
        async with trio.open_nursery() as nursery:
            for name in chosen:
                nursery.start_soon(replace, name)
                await trio.sleep(self.rng.uniform(0.0, 1.0))

    async def _lose_store_answers(self, entry: str) -> None:
        self.world.store.entry_faults[entry] = stores.StoreFault.SILENT
        await trio.sleep(_LOST_ANSWERS_S)
        self.world.store.entry_faults.pop(entry, None)

    async def _pause_other_entries(self, entry: str, duration_s: float) -> None:
        others = [other for other in self.world.entry_names if other != entry]
        for other in others:
            self.world.send_signal(other, signal.SIGSTOP)
        await trio.sleep(duration_s)
        for other in others:
            self.world.send_signal(other, signal.SIGCONT)

    async def _kill_entries(self, names: list[str]) -> None:
        for name in names:
            self.world.send_signal(name, signal.SIGKILL)
        await trio.sleep(_RESTART_DELAY_S)
        await self._restart_entries(names)
        if len(names) == len(self.world.entry_names):
            self.world.oracle.entries_back_at = trio.current_time()

    async def _stop_entry(self, name: str) -> None:
        self.world.send_signal(name, signal.SIGTERM)
        with trio.move_on_after(_START_STOP_TIMEOUT_S):
            while self.world.processes.is_running(name):
                await trio.sleep(0.1)
        await self._restart_entries([name])

    async def _restart_entries(self, names: list[str]) -> None:
        for name in names:
            if not self.world.processes.is_running(name):
                self.world.start_entry(name)

    async def _apply_link_fault(
        self,
        proxy: proxies.Proxy,
        link_fault: proxies.LinkFault,
        duration_s: float,
    ) -> None:
        proxy.fault = link_fault
        await trio.sleep(duration_s)
        proxy.fault = proxies.LinkFault.NONE

    async def _apply_store_fault(
        self, fault: stores.StoreFault, duration_s: float
    ) -> None:
        self.world.store.fault = fault
        await trio.sleep(duration_s)
        self.world.store.fault = stores.StoreFault.NONE
