"""Orders that a pool's owner sends to workers, and the workers' answers.

This is the port between the scheduling core and the protocol of the workers.
"""

import dataclasses
import enum
from typing import Protocol

from crocusrouter.work import incarnations
from crocusrouter.work import model


class RunOutcome(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # through a fault of the task or its worker
    STOPPED = "stopped"  # by order of the owner
    LAPSED = "lapsed"  # its lease ran out
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang never started


@dataclasses.dataclass(frozen=True)
class ReportedRun:
    """One run as its worker reports it.

    Attributes:
        key: The task.
        run: Number of the start.
        checkpoint: Latest checkpoint; empty for none.
        percent: Progress as the task reports it.
        load: Tail latency of its answers in ms for a serving task, else the
            thousandths of a core in use.
    """

    key: model.TaskKey
    run: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """One end of a run; the worker lists it until the owner confirms it.

    Attributes:
        number: Rises with each end on this incarnation.
        key: The task.
        run: Number of the start.
        outcome: How the run ended.
        checkpoint: Latest checkpoint; empty for none.
    """

    number: int
    key: model.TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True)
class Report:
    """What a worker reports about its runs.

    Attributes:
        clock_ms: The worker's own clock.
        running: All runs.
        ended: Ends that no owner has confirmed.
        born_ms: Unix milliseconds at which its process started; None if it does
            not say.
    """

    clock_ms: int
    running: tuple[ReportedRun, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    born_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The worker carried out the order."""

    clock_ms: int


class RejectionReason(enum.StrEnum):
    """Why a worker refused an order."""

    FENCED = "fenced"  # the worker knows a later owner
    OLD = "old"  # this run or a later one has ended there
    LATE = "late"  # the lease in the order has expired
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    OTHER_INCARNATION = "other-incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The worker refused an order and did nothing.

    Attributes:
        reason: Reason for the refusal.
        clock_ms: The worker's clock.
        incarnation: The incarnation that answered in place of the addressed
            one; None if unknown.
    """

    reason: RejectionReason
    clock_ms: int | None = None
    incarnation: str | None = None


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """No answer came; the order may still be carried out, even seconds later.

    Attributes:
        cause: What went wrong.
        maybe_done: Whether the order may have reached the worker.
    """

    cause: str
    maybe_done: bool = True


@dataclasses.dataclass(frozen=True)
class Start:
    """Order to run a task.

    Attributes:
        key: The task.
        run: Number of the start; members of a gang share it.
        payload: Passed to the task.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Permission of the policy service; empty if none is needed.
    """

    key: model.TaskKey
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Order to stop a run, or to reject its start if that arrives later."""

    key: model.TaskKey
    run: int


@dataclasses.dataclass(frozen=True)
class Pace:
    """Order to limit the speed of a run, and so its load on others.

    Attributes:
        key: The task.
        run: Number of the start.
        percent: Share of full speed, 0 to 100.
    """

    key: model.TaskKey
    run: int
    percent: int


@dataclasses.dataclass(frozen=True)
class PolicyAnswer:
    """Which workers may run a step.

    Attributes:
        tickets: Ticket by worker; a worker without a ticket may not run the
            step.
        valid_s: Seconds for which the tickets are valid after the answer.
    """

    tickets: dict[str, str]
    valid_s: float


class PolicyPort(Protocol):
    """The service that decides which workers may run a step.

    It is asked about steps of advised queues.
    """

    async def advise(
        self, step: model.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> PolicyAnswer | NoAnswer:
        """Ask which of `workers` may run a step.

        The service knows workers by the id that their incarnations share.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...


class WorkerPort(Protocol):
    """One incarnation of a worker, over any number of connections."""

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> Report | Rejected | NoAnswer:
        """Renew the lease, confirm ends up to `seen`, wait for a new end."""
        ...

    async def start(
        self, epoch: int, order: Start, until_ms: int, timeout_s: float
    ) -> Accepted | Rejected | NoAnswer:
        """Start a run."""
        ...

    async def stop(
        self, epoch: int, order: Stop, timeout_s: float
    ) -> Accepted | Rejected | NoAnswer:
        """Stop a run."""
        ...

    async def pace(
        self, epoch: int, order: Pace, timeout_s: float
    ) -> Accepted | Rejected | NoAnswer:
        """Set the share of its speed at which a run works."""
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...


class Connection(WorkerPort, Protocol):
    """One connection to the process that answers under a worker's id.

    The first call opens it; it ends when that process ends.
    """

    @property
    def is_open(self) -> bool:
        """Whether another call may be made; False after an unanswered call."""
        ...


@dataclasses.dataclass(frozen=True)
class WorkerEntry:
    """A worker as the platform lists it.

    Attributes:
        id: One incarnation of a worker; see `incarnations`.
        pool: The service that the worker belongs to.
        address: "IP:port".
        data_centre: Where the worker is.
        draining: Whether the worker is about to leave.
        room: Room that the worker offers to tasks.
        labels: Labels of the worker, among them its kind and its rack.
        stays_s: Seconds that it stays at least while draining; None if it does
            not say.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    draining: bool
    room: model.Room
    labels: frozenset[str]
    stays_s: float | None = None

    @property
    def worker(self) -> str:
        """Id that all incarnations of the worker share."""
        return incarnations.find_worker(self.id)
