"""Runners of each service, with the slots that this entry uses."""

import collections
from collections.abc import Iterable
import dataclasses
import random

import httpcore
import trio

from crocusrouter.fleet import Vm
from crocusrouter.fleet import VmState
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import refuse
from crocusrouter.requests import choice

_SHUN_S = 1.0
_NO_RUNNER_RETRY_S = 1.0
_CONNECTIONS_PER_RUNNER = 8
_LEAST_RETRY_S = 0.1
_JITTER = 0.5
# Retire idle connections before endpoints do: one that the endpoint closes
# just as a request is sent leaves a non-idempotent request unknown.
_IDLE_S = 2.0


@dataclasses.dataclass
class Runner:
    """One runner: its load and its connections.

    Attributes:
        vm: What the VM list says of it.
        load: What this entry knows of its load.
        connections: Its connections.
        sent_at: When our requests in flight there were sent.
    """

    vm: Vm
    load: choice.Load
    connections: httpcore.AsyncConnectionPool
    sent_at: list[float] = dataclasses.field(default_factory=list)

    @property
    def url(self) -> str:
        """Where it listens."""
        return f"http://{self.vm.address}"


class RunnerPool:
    """Chooses runners and makes requests wait for slots, first come first.

    A request whose deadline can't be met by the estimated wait is refused at
    once: waiting would only make the ones behind it late too.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._runners: dict[str, dict[str, Runner]] = {}
        self._queues: dict[str, collections.deque[_Ticket]] = (
            collections.defaultdict(collections.deque)
        )

    def set_runners(self, vms: Iterable[Vm]) -> None:
        """Bring the runners in line with the VM list."""
        listed: dict[str, dict[str, Runner]] = {}
        for vm in vms:
            held = self._runners.get(vm.service, {}).get(vm.name)
            if held is None or held.vm.address != vm.address:
                held = _open_runner(vm)
            held.vm = vm
            held.load = dataclasses.replace(
                held.load,
                leaving=vm.state is VmState.LEAVING,
                slots=vm.slots,
            )
            listed.setdefault(vm.service, {})[vm.name] = held
        self._runners = listed

    def list_loads(self, service: str) -> list[choice.Load]:
        """Return the loads of a service's runners."""
        return [r.load for r in self._runners.get(service, {}).values()]

    async def acquire(
        self, service: str, avoided: frozenset[str], deadline: float
    ) -> "Slot":
        """Take a slot of a runner, waiting for one if need be.

        Args:
            service: The service wanted.
            avoided: Runners to use only if there is no other.
            deadline: When the caller stops waiting, on our own clock.

        Raises:
            RefusedError: No runner, or no slot before the deadline.
        """
        queue = self._queues[service]
        now = trio.current_time()
        if not queue:
            slot = self._take(service, avoided, now)
            if slot is not None:
                return slot
        self._check_wait(service, len(queue), deadline - now)
        ticket = _Ticket()
        queue.append(ticket)
        try:
            return await self._wait_turn(ticket, service, avoided, deadline)
        finally:
            queue.remove(ticket)
            _wake_head(queue)

    def release(self, slot: "Slot") -> None:
        """Give a slot back and wake the first that waits."""
        runner = slot.runner
        runner.sent_at.remove(slot.sent_at)
        _count(runner)
        _wake_head(self._queues[runner.vm.service])

    def shun(self, runner: Runner, now: float) -> None:
        """Avoid a runner for a moment after a failure to reach it."""
        runner.load = dataclasses.replace(
            runner.load, shunned_until=now + _SHUN_S
        )

    def _take(
        self, service: str, avoided: frozenset[str], now: float
    ) -> "Slot | None":
        runners = self._runners.get(service, {})
        loads = [runner.load for runner in runners.values()]
        chosen = choice.choose_runner(loads, avoided, self._rng, now)
        if chosen is None:
            return None
        runner = runners[chosen.name]
        runner.sent_at.append(now)
        _count(runner)
        return Slot(runner, now)

    def _check_live(self, service: str) -> None:
        if all(load.leaving for load in self.list_loads(service)):
            raise refuse(
                RefusalReason.NO_ENDPOINT,
                f"service {service} has no live runner",
                self._spread(_NO_RUNNER_RETRY_S),
            )

    def _check_wait(self, service: str, waiting: int, left_s: float) -> None:
        """Refuse a request at once that would wait too long.

        The answer takes its time too: a request that got its slot just before
        the deadline would use it for an answer that nobody awaits.
        """
        self._check_live(service)
        wait_s = choice.estimate_wait(self.list_loads(service), waiting)
        if wait_s + self._find_service_s(service) > left_s:
            raise self._refuse_late(wait_s, waiting)

    def _refuse_late(self, wait_s: float, waiting: int) -> RefusedError:
        return refuse(
            RefusalReason.DEADLINE_UNMEETABLE,
            f"{waiting} requests wait; a slot is {wait_s:.3f} s away",
            self._spread(max(wait_s, _LEAST_RETRY_S)),
        )

    def _find_service_s(self, service: str) -> float:
        """Return the seconds in which the quickest runner answers."""
        loads = self.list_loads(service)
        return min((load.service_s for load in loads), default=0.0)

    def _spread(self, seconds: float) -> float:
        """Spread returns, so that refused callers don't come back at once."""
        return seconds * (1.0 + _JITTER * self._rng.random())

    async def _wait_turn(
        self,
        ticket: "_Ticket",
        service: str,
        avoided: frozenset[str],
        deadline: float,
    ) -> "Slot":
        queue = self._queues[service]
        while True:
            # The estimate was made once, at the door. Made again here, it
            # would refuse a request whose slot is about to come free.
            latest = deadline - self._find_service_s(service)
            # A shunned runner opens again without a release, so look again
            # after a while even if nobody wakes us.
            with trio.move_on_at(min(latest, trio.current_time() + _SHUN_S)):
                await ticket.turn.wait()
            now = trio.current_time()
            if now >= latest:
                raise self._refuse_late(0.0, queue.index(ticket))
            self._check_live(service)
            if queue[0] is ticket:
                slot = self._take(service, avoided, now)
                if slot is not None:
                    return slot
            ticket.turn = trio.Event()


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot of a runner, taken for one request."""

    runner: Runner
    sent_at: float


@dataclasses.dataclass(eq=False)
class _Ticket:
    """A request's place in the queue for a slot."""

    turn: trio.Event = dataclasses.field(default_factory=trio.Event)


def _wake_head(queue: "collections.deque[_Ticket]") -> None:
    if queue:
        queue[0].turn.set()


def _count(runner: Runner) -> None:
    runner.load = dataclasses.replace(
        runner.load,
        in_flight=len(runner.sent_at),
        oldest_at=runner.sent_at[0] if runner.sent_at else None,
    )


def _open_runner(vm: Vm) -> Runner:
    load = choice.Load(vm.name, vm.slots, limit=float(vm.slots))
    connections = httpcore.AsyncConnectionPool(
        max_connections=_CONNECTIONS_PER_RUNNER,
        max_keepalive_connections=_CONNECTIONS_PER_RUNNER,
        keepalive_expiry=_IDLE_S,
    )
    return Runner(vm, load, connections)
