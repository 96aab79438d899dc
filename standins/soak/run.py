"""One soak: load, drawn faults, calm, and the oracle's verdict."""

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
from standins.emulator import config_oracle as config_oracles
from standins.emulator import oracle as oracles
from standins.emulator import rules
from standins.emulator import store as stores
from standins.emulator import worker as workers
from standins.soak import changing
from standins.soak import cuts
from standins.soak import proxy as proxies
from standins.soak import world as worlds

# The rules that soaks are judged by.
CHECKED = oracles.RULES | config_oracles.RULES | cuts.RULES | {rules.Rule.DRAIN}

_TRIES = 6
_TIMEOUT_S = 3.0
_RESTART_S = 0.8
# An entry's calls in so short a time are few: its open watches lose their
# answers, and nothing else tells it.
_LOST_S = 0.1
_LONGEST_PAUSE_S = 4.0
_START_S = 20.0
# Workers that could not be reached are waited out for 7.6 s, then gangs start
# anew; twice that is calm enough for everything to end.
_CALM_LIMIT_S = 60.0
_QUEUE = queues.Queue("q", worlds.HOST, worlds.PREFIX, worlds.POOL, 1, 3, 2.0)


class Fault(enum.StrEnum):
    """What is done from outside."""

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
    LOSE_ANSWERS = "lose-answers"  # of one entry, for a moment
    REFUSE_WATCHES = "refuse-watches"  # of the operators' keys
    PAUSE_OTHERS = "pause-others"  # all but one
    LOSE_PEERS = "lose-peers"  # a lost answer, then the others pause
    DRAIN_WORKER = "drain-worker"
    SHRINK_WORKER = "shrink-worker"
    RESTART_WORKER = "restart-worker"  # under its id
    FAIL_ALL = "fail-all"  # a worker fails what it starts
    SLOW_WORKER = "slow-worker"
    STALL_WORKER = "stall-worker"  # its tasks stand still, its answers don't


# How fast the tasks of a worker go on.
_SPEEDS = {Fault.SLOW_WORKER: 0.25, Fault.STALL_WORKER: 0.0}


@dataclasses.dataclass(frozen=True)
class Shape:
    """How large and how long a soak is.

    Attributes:
        entries: Entry processes.
        hosts: Workers.
        per_s: Jobs a second.
        length_s: Seconds in which jobs and faults come.
        faults: How many faults.
        crashing: The tasks of one job in so many crash each worker they
            start on; 0 for none.
        kinds: What faults are drawn from.
    """

    entries: int = 4
    hosts: int = 6
    per_s: float = 2.0
    length_s: float = 15.0
    faults: int = 5
    crashing: int = 20
    kinds: tuple[Fault, ...] = tuple(Fault)


@dataclasses.dataclass
class Result:
    """What a soak found.

    Attributes:
        broken: Broken promises, a line each.
        accepted: Jobs whose hand-in was confirmed.
        crashes: How often a task has crashed its worker.
        faults: What was done, in order.
        changes: What was seen of changes of the configuration.
        cuts: What was seen of requests that were cut.
    """

    broken: list[str]
    accepted: int
    crashes: int
    faults: list[str]
    changes: config_oracles.ConfigOracle
    cuts: cuts.Cuts

    @property
    def verdict(self) -> str:
        """Whether all promises were kept; a run without a case says nothing."""
        if self.broken:
            return "broken"
        return "kept" if self.accepted else "judged nothing"

    def list_idle_checks(self) -> list[str]:
        """Return the checks that had no case to judge."""
        cases = {
            "jobs": self.accepted,
            "crashes": self.crashes,
            "changes": self.changes.judged,
            "cut requests": self.cuts.judged,
        }
        return [check for check, count in cases.items() if not count]


async def soak(seed: int, shape: Shape, folder: pathlib.Path) -> Result:
    """Play one soak; ends the processes that it started.

    Args:
        seed: Draws load and faults; real time makes each run differ.
        shape: Size and length.
        folder: Where the entries' logs go.
    """
    world = worlds.World(seed, shape.entries, shape.hosts, folder)
    played = _Soak(world, shape, random.Random(seed))
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(world.run)
            await played.run()
            nursery.cancel_scope.cancel()
    finally:
        world.processes.stop_all()
    return Result(
        world.oracle.broken + world.changes.broken + world.cuts.broken,
        len(world.oracle.accepted),
        len(world.oracle.task_crashes),
        played.faults,
        world.changes,
        world.cuts,
    )


class _Soak:
    def __init__(
        self, world: worlds.World, shape: Shape, rng: random.Random
    ) -> None:
        self.world = world
        self.shape = shape
        self.rng = rng
        self.faults: list[str] = []
        self._drawn = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)
        self._changing = changing.Changing(world, random.Random(rng.random()))

    async def run(self) -> None:
        """Load and harm the system, then wait for calm and judge."""
        await self._wait_until_served()
        async with trio.open_nursery() as calling:
            calling.start_soon(self._changing.change)
            calling.start_soon(self._changing.ask_all)
            await self._play_faults()
            calling.cancel_scope.cancel()
        # Entries that lost all power beside an unreadable document have none.
        self.world.operators.write(trio.current_time())
        states = await self._wait_for_ends()
        self.world.oracle.check_final_states(states)
        await self._changing.aclose()
        await self._pool.aclose()

    async def _play_faults(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, nursery)
            for _ in range(self.shape.faults):
                at = self.rng.uniform(0.5, self.shape.length_s)
                fault = self.rng.choice(self.shape.kinds)
                for_s = self.rng.uniform(0.5, 4.0)
                nursery.start_soon(self._strike, at, fault, for_s)

    # Callers.

    async def _wait_until_served(self) -> None:
        with trio.fail_after(_START_S):
            while await self._ask("GET", "", None) != 200:
                await trio.sleep(0.2)

    async def _load(self, nursery: trio.Nursery) -> None:
        until = trio.current_time() + self.shape.length_s
        while trio.current_time() < until:
            nursery.start_soon(self._submit)
            await trio.sleep(self.rng.expovariate(self.shape.per_s))

    async def _submit(self) -> None:
        """Hand a job in as a caller with retries does; cancel some."""
        job_id = f"{self.rng.getrandbits(64):016x}"
        body = self._draw_body()
        oracle = self.world.oracle
        oracle.jobs[job_id] = platform.parse_submission(
            body, job_id, _QUEUE, "a", time.time()
        )
        cancels = self.rng.random() < 0.1
        only_refused = True
        sent_at = trio.current_time()
        for _ in range(_TRIES):
            status = await self._ask("POST", job_id, body)
            if status == 200:
                oracle.accepted.add(job_id)
                break
            only_refused &= status in (429, 503)
            await trio.sleep(0.5)
        oracle.submissions.append((sent_at, job_id in oracle.accepted))
        if job_id not in oracle.accepted:
            if only_refused:
                oracle.refused.add(job_id)
            return
        if cancels:
            await trio.sleep(self.rng.uniform(0.1, 2.0))
            oracle.cancels_sent.add(job_id)
            if await self._ask("DELETE", job_id, None) == 200:
                oracle.cancelled[job_id] = trio.current_time()

    def _draw_body(self) -> bytes:
        step: dict[str, object] = {
            "count": self.rng.randint(1, 4),
            "cpu": 2000,
            "mem_mb": 1000,
            "gpu": self.rng.choice((1, 2, 4)),
            "est_duration_ms": self.rng.randint(200, 1500),
            "gang": self.rng.random() < 0.4,
        }
        steps = [step]
        if self.rng.random() < 0.3:
            steps.append(step | {"gang": False, "after": [0]})
        return orjson.dumps({"spec": self._choose_spec(), "steps": steps})

    def _choose_spec(self) -> str:
        self._drawn += 1
        every = self.shape.crashing
        crashes = every > 0 and self._drawn % every == 0
        return workers.CRASHING if crashes else "soak"

    async def _ask(
        self, method: str, job_id: str, body: bytes | None
    ) -> int | None:
        """Call some entry; None if it gave no whole answer."""
        status, _ = await self._call(method, job_id, body)
        return status

    async def _call(
        self, method: str, job_id: str, body: bytes | None
    ) -> tuple[int | None, bytes]:
        name = self.rng.choice(self.world.entries)
        url = self.world.urls[name]
        sent_at = trio.current_time()
        waits = ("connect", "read", "write", "pool")
        timeouts = dict.fromkeys(waits, _TIMEOUT_S)
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
            self.world.cuts.note_cut(cuts.Cut(name, sent_at, now))
            return None, b""
        return response.status, response.content

    async def _wait_for_ends(self) -> dict[str, str | None]:
        """Read the states of all accepted jobs until all have ended."""
        states: dict[str, str | None] = {}
        with trio.move_on_after(_CALM_LIMIT_S):
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

    async def _strike(self, at: float, fault: Fault, for_s: float) -> None:
        """Do one thing, and take it back after its time."""
        await trio.sleep(at)
        name = self.rng.choice(self.world.entries)
        worker = self.rng.choice(sorted(self.world.workers))
        harm = self.rng.choice(
            [harm for harm in proxies.Harm if harm is not proxies.Harm.NONE]
        )
        self.faults.append(f"{at:.1f} {fault} {name} {worker} {harm}")
        match fault:
            case Fault.KILL:
                await self._kill([name])
            case Fault.KILL_ALL:
                await self._kill(self.world.entries)
            case Fault.PAUSE:
                self.world.signal(name, signal.SIGSTOP)
                await trio.sleep(for_s)
                self.world.signal(name, signal.SIGCONT)
            case Fault.STOP:
                await self._stop(name)
            case Fault.HANG_UP:
                self.world.signal(name, signal.SIGHUP)
            case Fault.DRAIN_WORKER:
                await self.world.drain_worker(worker)
            case Fault.SHRINK_WORKER:
                await self.world.shrink_worker(worker, for_s)
            case Fault.RESTART_WORKER:
                ending = self.rng.choice(list(proxies.Ending))
                await self.world.restart_worker(worker, ending, for_s)
            case Fault.FAIL_ALL | Fault.SLOW_WORKER | Fault.STALL_WORKER:
                await self._spoil(self.world.workers[worker], fault, for_s)
            case _:
                await self._strike_around(name, worker, harm, fault, for_s)

    async def _strike_around(
        self,
        name: str,
        worker: str,
        harm: proxies.Harm,
        fault: Fault,
        for_s: float,
    ) -> None:
        """Harm what an entry depends on: links, store and peers."""
        match fault:
            case Fault.HARM_STORE_LINK:
                await self._harm(self.world.store_proxies[name], harm, for_s)
            case Fault.HARM_WORKER_LINK:
                await self._harm(self.world.worker_proxies[worker], harm, for_s)
            case Fault.STORE_AWAY:
                await self._harm_store(stores.StoreFault.BUSY, for_s)
            case Fault.STORE_LOSES:
                await self._harm_store(stores.StoreFault.LOST, for_s)
            case Fault.COMPACT:
                self.world.store.compact()
            case Fault.LOSE_ANSWERS:
                await self._lose_answers(name)
            case Fault.REFUSE_WATCHES:
                self.world.store.rejected_prefixes.add("op/")
                await trio.sleep(for_s)
                self.world.store.rejected_prefixes.clear()
            case Fault.PAUSE_OTHERS:
                await self._pause_others(name, for_s)
            case Fault.LOSE_PEERS:
                await self._lose_answers(name)
                await trio.sleep(for_s)
                await self._pause_others(name, _LONGEST_PAUSE_S)

    async def _spoil(
        self, worker: workers.Worker, fault: Fault, for_s: float
    ) -> None:
        """Let a worker do its work badly for some seconds."""
        worker.fails_all = fault is Fault.FAIL_ALL
        worker.speed = _SPEEDS.get(fault, 1.0)
        await trio.sleep(for_s)
        worker.fails_all = False
        worker.speed = 1.0

    async def _lose_answers(self, name: str) -> None:
        self.world.store.entry_faults[name] = stores.StoreFault.SILENT
        await trio.sleep(_LOST_S)
        self.world.store.entry_faults.pop(name, None)

    async def _pause_others(self, name: str, for_s: float) -> None:
        others = [other for other in self.world.entries if other != name]
        for other in others:
            self.world.signal(other, signal.SIGSTOP)
        await trio.sleep(for_s)
        for other in others:
            self.world.signal(other, signal.SIGCONT)

    async def _kill(self, names: list[str]) -> None:
        for name in names:
            self.world.signal(name, signal.SIGKILL)
        await trio.sleep(_RESTART_S)
        await self._restart(names)
        if len(names) == len(self.world.entries):
            self.world.oracle.entries_back_at = trio.current_time()

    async def _stop(self, name: str) -> None:
        self.world.signal(name, signal.SIGTERM)
        with trio.move_on_after(_START_S):
            while self.world.processes.is_running(name):
                await trio.sleep(0.1)
        await self._restart([name])

    async def _restart(self, names: list[str]) -> None:
        for name in names:
            if not self.world.processes.is_running(name):
                self.world.start_entry(name)

    async def _harm(
        self, proxy: proxies.Proxy, harm: proxies.Harm, for_s: float
    ) -> None:
        proxy.harm = harm
        await trio.sleep(for_s)
        proxy.harm = proxies.Harm.NONE

    async def _harm_store(self, fault: stores.StoreFault, for_s: float) -> None:
        self.world.store.fault = fault
        await trio.sleep(for_s)
        self.world.store.fault = stores.StoreFault.NONE
