"""Runners of each service, and the queues of requests for their slots."""

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
from crocusrouter.requests import load_balancing

_UNREACHABLE_BACKOFF_S = 1.0
_NO_RUNNER_RETRY_AFTER_S = 1.0
_CONNECTIONS_PER_RUNNER = 8
_MIN_RETRY_AFTER_S = 0.1
_JITTER = 0.5
# Idle connections are closed here before endpoints close them: if an endpoint
# closes a connection just as a request is sent on it, the outcome of a
# non-idempotent request is unknown.
_KEEPALIVE_EXPIRY_S = 2.0


@dataclasses.dataclass
class Runner:
    """One runner with its load and its connections.

    Attributes:
        vm: The runner's entry in the VM list.
        load: The runner's load, as far as this entry knows it.
        connections: Connections to the runner.
        sent_times: When each of this entry's requests in flight was sent,
            oldest first.
    """

    vm: Vm
    load: load_balancing.Load
    connections: httpcore.AsyncConnectionPool
    sent_times: list[float] = dataclasses.field(default_factory=list)

    @property
    def url(self) -> str:
        """Base URL of the runner."""
        return f"http://{self.vm.address}"


class RunnerPool:
    """Chooses runners for requests, which wait for slots in FIFO order.

    A request is refused at once if its estimated wait exceeds its deadline:
    if it waited, it would only delay the requests behind it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._runners_by_service: dict[str, dict[str, Runner]] = {}
        self._queues: dict[str, collections.deque[_Ticket]] = (
            collections.defaultdict(collections.deque)
        )

    def set_runners(self, vms: Iterable[Vm]) -> None:
        """Replace the runners by those in the VM list.

        A runner whose address hasn't changed keeps its connections and load.
        """
        runners_by_service: dict[str, dict[str, Runner]] = {}
        for vm in vms:
            runner = self._runners_by_service.get(vm.service, {}).get(vm.name)
            if runner is None or runner.vm.address != vm.address:
                runner = _create_runner(vm)
            runner.vm = vm
            runner.load = dataclasses.replace(
                runner.load,
                leaving=vm.state is VmState.LEAVING,
                slots=vm.slots,
            )
            runners_by_service.setdefault(vm.service, {})[vm.name] = runner
        self._runners_by_service = runners_by_service

    def list_loads(self, service: str) -> list[load_balancing.Load]:
        """Return the loads of a service's runners."""
        return [
            r.load for r in self._runners_by_service.get(service, {}).values()
        ]

    async def acquire_slot(
        self, service: str, tried_runners: frozenset[str], deadline: float
    ) -> "Slot":
        """Acquire a slot of a runner, waiting for a free slot if necessary.

        Args:
            service: Name of the service.
            tried_runners: Runners that this request has already tried; used
                only if there is no other.
            deadline: When the caller stops waiting, on this process's clock.

        Raises:
            RefusedError: No runner, or no slot before the deadline.
        """
        queue = self._queues[service]
        now = trio.current_time()
        if not queue:
            slot = self._try_acquire(service, tried_runners, now)
            if slot is not None:
                return slot
        self._check_deadline(service, len(queue), deadline - now)
        ticket = _Ticket()
        queue.append(ticket)
        try:
            return await self._wait_for_slot(
                ticket, service, tried_runners, deadline
            )
        finally:
            queue.remove(ticket)
            _wake_first(queue)

    def release_slot(self, slot: "Slot") -> None:
        """Release a slot and wake the first waiting request."""
        runner = slot.runner
        runner.sent_times.remove(slot.sent_at)
        _update_load(runner)
        _wake_first(self._queues[runner.vm.service])

    def mark_unreachable(self, runner: Runner, now: float) -> None:
        """Avoid a runner for a while after a failure to connect to it."""
        runner.load = dataclasses.replace(
            runner.load, backoff_until=now + _UNREACHABLE_BACKOFF_S
        )

    def _try_acquire(
        self, service: str, tried_runners: frozenset[str], now: float
    ) -> "Slot | None":
        """Acquire a slot now; return None if no runner is available."""
        runners = self._runners_by_service.get(service, {})
        loads = [runner.load for runner in runners.values()]
        chosen_load = load_balancing.choose_runner(
            loads, tried_runners, self._rng, now
        )
        if chosen_load is None:
            return None
        runner = runners[chosen_load.name]
        runner.sent_times.append(now)
        _update_load(runner)
        return Slot(runner, now)

    def _check_live_runner(self, service: str) -> None:
        if all(load.leaving for load in self.list_loads(service)):
            raise refuse(
                RefusalReason.NO_ENDPOINT,
                f"service {service} has no live runner",
                self._add_jitter(_NO_RUNNER_RETRY_AFTER_S),
            )

    def _check_deadline(
        self, service: str, waiting_count: int, remaining_s: float
    ) -> None:
        """Refuse a request that can't be answered before its deadline.

        The service time counts as well as the wait: a request that got its
        slot just before the deadline would occupy the slot for an answer that
        nobody waits for any more.
        """
        self._check_live_runner(service)
        wait_s = load_balancing.estimate_wait(
            self.list_loads(service), waiting_count
        )
        if wait_s + self._get_min_service_time(service) > remaining_s:
            raise self._build_unmeetable_error(wait_s, waiting_count)

    def _build_unmeetable_error(
        self, wait_s: float, waiting_count: int
    ) -> RefusedError:
        return refuse(
            RefusalReason.DEADLINE_UNMEETABLE,
            f"{waiting_count} requests wait; estimated wait {wait_s:.3f} s",
            self._add_jitter(max(wait_s, _MIN_RETRY_AFTER_S)),
        )

    def _get_min_service_time(self, service: str) -> float:
        """Return the service time of the fastest runner in seconds."""
        loads = self.list_loads(service)
        return min((load.service_time_s for load in loads), default=0.0)

    def _add_jitter(self, seconds: float) -> float:
        """Add jitter, so that refused callers don't all retry together."""
        return seconds * (1.0 + _JITTER * self._rng.random())

    async def _wait_for_slot(
        self,
        ticket: "_Ticket",
        service: str,
        tried_runners: frozenset[str],
        deadline: float,
    ) -> "Slot":
        """Wait until the ticket is first in the queue and a slot is free."""
        queue = self._queues[service]
        while True:
            # The wait is estimated only once, in `acquire_slot`. A second
            # estimate here would refuse a request whose slot is about to
            # become free.
            latest_start = deadline - self._get_min_service_time(service)
            # A runner whose back-off ends becomes available without a release,
            # so check again after a while even if nothing wakes this task.
            with trio.move_on_at(
                min(latest_start, trio.current_time() + _UNREACHABLE_BACKOFF_S)
            ):
                await ticket.wake_event.wait()
            now = trio.current_time()
            if now >= latest_start:
                raise self._build_unmeetable_error(0.0, queue.index(ticket))
            self._check_live_runner(service)
            if queue[0] is ticket:
                slot = self._try_acquire(service, tried_runners, now)
                if slot is not None:
                    return slot
            ticket.wake_event = trio.Event()


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot of a runner, acquired by one request."""

    runner: Runner
    sent_at: float


@dataclasses.dataclass(eq=False)
class _Ticket:
    """The place of a waiting request in the queue for a slot."""

    wake_event: trio.Event = dataclasses.field(default_factory=trio.Event)


def _wake_first(queue: "collections.deque[_Ticket]") -> None:
    if queue:
        queue[0].wake_event.set()


def _update_load(runner: Runner) -> None:
    """Update the load from the send times of the requests in flight."""
    runner.load = dataclasses.replace(
        runner.load,
        in_flight=len(runner.sent_times),
        oldest_sent_at=runner.sent_times[0] if runner.sent_times else None,
    )


def _create_runner(vm: Vm) -> Runner:
    load = load_balancing.Load(
        vm.name, vm.slots, concurrency_limit=float(vm.slots)
    )
    connections = httpcore.AsyncConnectionPool(
        max_connections=_CONNECTIONS_PER_RUNNER,
        max_keepalive_connections=_CONNECTIONS_PER_RUNNER,
        keepalive_expiry=_KEEPALIVE_EXPIRY_S,
    )
    return Runner(vm, load, connections)
