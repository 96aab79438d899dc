"""What a pool's owner asks of a worker, and what a worker answers.

The port between the deciding core and whatever wire a worker speaks.
"""

import dataclasses
import enum
from typing import Protocol

from crocusrouter.work import incarnations
from crocusrouter.work import model


class How(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # by its own fault or its worker's
    STOPPED = "stopped"  # on our order
    LAPSED = "lapsed"  # its lease ran out
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang never came


@dataclasses.dataclass(frozen=True)
class Running:
    """One run as its worker holds it.

    Attributes:
        key: The task.
        run: The start's number.
        saved: Latest checkpoint; empty for none.
        percent: How far it says it is.
        load: The tail of its answers in ms for a serving task, else the
            thousandths of a core in use.
    """

    key: model.TaskKey
    run: int
    saved: str = ""
    percent: float = 0.0
    load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Ended:
    """One end; the worker lists it until told that it was noted.

    Attributes:
        number: Rises with each end of this incarnation.
        key: The task.
        run: The start's number.
        how: How it ended.
        saved: Latest checkpoint; empty for none.
    """

    number: int
    key: model.TaskKey
    run: int
    how: How
    saved: str = ""


@dataclasses.dataclass(frozen=True)
class Report:
    """What a worker holds.

    Attributes:
        clock_ms: The worker's own clock.
        running: All runs.
        ended: Ends that nobody has confirmed.
        born_ms: Unix milliseconds at which its process started; None if it
            does not say.
    """

    clock_ms: int
    running: tuple[Running, ...] = ()
    ended: tuple[Ended, ...] = ()
    born_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Taken:
    """The order was carried out."""

    clock_ms: int


class Why(enum.StrEnum):
    """Why a worker refused."""

    FENCED = "fenced"  # it knows a later owner
    OLD = "old"  # this run or a later one has ended there
    LATE = "late"  # the lease that the order carries is past
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    OTHER_INCARNATION = "other-incarnation"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The worker refused and did nothing.

    Attributes:
        why: Its reason.
        clock_ms: Its clock.
        incarnation: Who has answered instead of the one that was meant; None
            if that isn't known.
    """

    why: Why
    clock_ms: int | None = None
    incarnation: str | None = None


@dataclasses.dataclass(frozen=True)
class Silent:
    """No answer; the order may be carried out, even seconds later."""

    cause: str
    maybe_done: bool = True


@dataclasses.dataclass(frozen=True)
class Start:
    """Run a task.

    Attributes:
        key: The task.
        run: The start's number; members of a gang share it.
        payload: Handed to the task.
        saved: Checkpoint to go on from; empty for none.
        ticket: The policy service's leave; empty if none is needed.
    """

    key: model.TaskKey
    run: int
    payload: str
    saved: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a run, or keep one that has not come yet from starting."""

    key: model.TaskKey
    run: int


@dataclasses.dataclass(frozen=True)
class Pace:
    """Let a run work, and disturb others, at a share of its speed.

    Attributes:
        key: The task.
        run: The start's number.
        percent: 0 to 100.
    """

    key: model.TaskKey
    run: int
    percent: int


@dataclasses.dataclass(frozen=True)
class PolicyAnswer:
    """Which workers may run a step.

    Attributes:
        tickets: Ticket by worker; a worker that is missing may not.
        valid_s: Seconds for which a ticket holds from the answer on.
    """

    tickets: dict[str, str]
    valid_s: float


class PolicyPort(Protocol):
    """The service that knows the policy of advised queues."""

    async def advise(
        self, step: model.StepKey, workers: tuple[str, ...], timeout_s: float
    ) -> PolicyAnswer | Silent:
        """Ask which of `workers` may run a step.

        The service knows workers by the ids that their incarnations share.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...


class WorkerPort(Protocol):
    """One incarnation of a worker, over any number of connections."""

    async def hold(
        self, epoch: int, seen: int, until_ms: int | None, wait_s: float
    ) -> Report | Rejected | Silent:
        """Renew the lease, confirm ends up to `seen`, wait for an end."""
        ...

    async def start(
        self, epoch: int, order: Start, until_ms: int, timeout_s: float
    ) -> Taken | Rejected | Silent:
        """Start a run."""
        ...

    async def stop(
        self, epoch: int, order: Stop, timeout_s: float
    ) -> Taken | Rejected | Silent:
        """Stop a run."""
        ...

    async def pace(
        self, epoch: int, order: Pace, timeout_s: float
    ) -> Taken | Rejected | Silent:
        """Set the share of its speed at which a run works."""
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...


class Connection(WorkerPort, Protocol):
    """One connection to the process that answers under a worker's id.

    It is opened by its first call, and ends with that process.
    """

    @property
    def is_open(self) -> bool:
        """Whether another call may be made; no call was left unanswered."""
        ...


@dataclasses.dataclass(frozen=True)
class WorkerEntry:
    """A worker as the platform lists it.

    Attributes:
        id: One incarnation of a worker; see `incarnations`.
        pool: The service that it belongs to.
        address: "IP:port".
        data_centre: Where it is.
        draining: Whether it leaves.
        room: What it has.
        labels: Its kind and its rack among them.
        stays_s: Seconds that it stays at least while it drains, if it says.
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
        """The id that all incarnations of the worker share."""
        return incarnations.find_worker(self.id)
