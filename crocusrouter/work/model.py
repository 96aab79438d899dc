"""Jobs as steps of tasks, and what a task asks of a worker."""

import dataclasses
import enum
import functools
from typing import NamedTuple


class State(enum.StrEnum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL = frozenset({State.DONE, State.FAILED, State.CANCELLED})


# How many tasks fit that ask for nothing.
_NO_BOUND = 1_000_000


class Room(NamedTuple):
    """What a task needs, or what a worker has.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Megabytes.
        accelerators: A count.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Room") -> "Room":
        """Return the sum."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Return the difference."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "Room") -> bool:
        """Tell whether `other` fits.

        >>> Room(2000, 512, 1).holds(Room(2000, 256))
        True
        """
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def count(self, other: "Room") -> int:
        """Return how many times `other` fits.

        >>> Room(4000, 512, 8).count(Room(1000, 256, 1))
        2
        """
        fits = _NO_BOUND
        if other.cpu > 0:
            fits = self.cpu // other.cpu
        if other.memory_mb > 0:
            fits = min(fits, self.memory_mb // other.memory_mb)
        if other.accelerators > 0:
            fits = min(fits, self.accelerators // other.accelerators)
        return fits

    @property
    def cores(self) -> float:
        """Weight in cores; an accelerator counts as eight of them."""
        return self.cpu / 1000 + 8 * self.accelerators


@dataclasses.dataclass(frozen=True)
class Step:
    """Tasks that ask for the same.

    Attributes:
        count: How many tasks.
        room: What each needs.
        expected_s: Declared seconds of work of one task; a rough estimate.
        after: Earlier steps whose tasks must all have ended well before.
        gang: Whether the tasks work only together, all or none.
        one_rack: Whether tasks on several racks take several times as long.
        checkpoints: Whether a task can go on from a checkpoint.
        label: Label that the worker must have; empty for any.
        rack: Rack that holds the data; empty for none.
        per_worker: Most tasks on one worker; 0 for no bound.
        copies: Whether several runs of a task may overlap.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Bound on the tail of a lasting task's own answers.
        fills: Whether it uses only processor time that others leave.
        may_miss: Lasting tasks that may be away through our own doing.
    """

    count: int
    room: Room
    expected_s: float = 1.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    checkpoints: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @functools.cached_property
    def charge(self) -> Room:
        """What a task takes from a worker's room."""
        return self.room._replace(cpu=0) if self.fills else self.room


@dataclasses.dataclass(frozen=True)
class Job:
    """One accepted job; what is fixed at its acceptance.

    Attributes:
        id: Chosen by the caller.
        queue: Name of the queue.
        pool: The service whose workers run it.
        customer: Whose it is; empty on a public queue.
        priority: 0 goes first.
        max_attempts: Failed attempts after which it fails.
        slack: See `queues.Queue`.
        target_s: See `queues.Queue`.
        payload: Handed to each task.
        steps: What runs.
        accepted_at: Unix time in seconds.
        repeats: How many times the steps run on a schedule; 0 for at once.
        first_due: Unix time in seconds of occurrence 0.
        interval_s: Seconds from one occurrence to the next.
        cancelled: Whether a caller has cancelled it.
        advised: Whether its queue's policy chooses workers.
    """

    id: str
    queue: str
    pool: str
    customer: str
    priority: int
    max_attempts: int
    slack: float
    target_s: float
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    repeats: int = 0
    first_due: float = 0.0
    interval_s: float = 0.0
    cancelled: bool = False
    advised: bool = False

    @functools.cached_property
    def tails(self) -> tuple[float, ...]:
        """See `measure_tails`; asked at each decision."""
        return measure_tails(self.steps)

    @property
    def objective_s(self) -> float:
        """Seconds from the due time to the wanted end."""
        return self.slack * max(self.tails, default=0.0) + self.target_s

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeats)

    def find_due(self, number: int) -> float:
        """Return the Unix time from which an occurrence may start."""
        if not self.repeats:
            return self.accepted_at
        return self.first_due + number * self.interval_s


class TaskKey(NamedTuple):
    """Names one task of one occurrence."""

    job: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Return the name by which logs show it; an id finds all of a job.

        >>> str(TaskKey("0a", 0, 1, 17))
        '0a.0.1.17'
        """
        return ".".join(map(str, self))


class StepKey(NamedTuple):
    """Names one step of one occurrence."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the name by which logs show it.

        >>> str(StepKey("0a", 0, 1))
        '0a.0.1'
        """
        return ".".join(map(str, self))


def find_step(key: TaskKey) -> StepKey:
    """Return the step that a task belongs to."""
    return StepKey(key.job, key.occurrence, key.step)


def measure_tails(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return for each step the longest chain of work from its start on.

    >>> one = Step(1, Room(), 2.0)
    >>> measure_tails((one, Step(1, Room(), 3.0, after=(0,))))
    (5.0, 3.0)

    Returns:
        Seconds of declared work, the step's own included.
    """
    tails = [step.expected_s for step in steps]
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            reached = steps[earlier].expected_s + tails[number]
            tails[earlier] = max(tails[earlier], reached)
    return tuple(tails)
