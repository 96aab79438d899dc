"""Jobs, their steps and tasks, and the room that tasks need."""

import dataclasses
import enum
import functools
from typing import NamedTuple


class State(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL = frozenset({State.DONE, State.FAILED, State.CANCELLED})


# Number of tasks that fit if a task needs no room at all.
_UNLIMITED_COUNT = 1_000_000


class Room(NamedTuple):
    """Resources that a task needs or that a worker has.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Megabytes.
        accelerators: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Room") -> "Room":
        """Return the sum of two rooms."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Return the difference of two rooms."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "Room") -> bool:
        """Tell whether `other` fits into this room.

        >>> Room(2000, 512, 1).holds(Room(2000, 256))
        True
        """
        return (
            self.cpu >= other.cpu
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def count(self, other: "Room") -> int:
        """Return how many times `other` fits into this room.

        >>> Room(4000, 512, 8).count(Room(1000, 256, 1))
        2
        """
        count = _UNLIMITED_COUNT
        if other.cpu > 0:
            count = self.cpu // other.cpu
        if other.memory_mb > 0:
            count = min(count, self.memory_mb // other.memory_mb)
        if other.accelerators > 0:
            count = min(count, self.accelerators // other.accelerators)
        return count

    @property
    def cores(self) -> float:
        """Weight in cores; an accelerator weighs as much as eight cores."""
        return self.cpu / 1000 + 8 * self.accelerators


@dataclasses.dataclass(frozen=True)
class Step:
    """A group of tasks with the same requirements.

    Attributes:
        count: Number of tasks.
        room: Room that each task needs.
        expected_s: Declared run time of one task in seconds; a rough estimate.
        after: Earlier steps whose tasks must all have succeeded before.
        gang: Whether the tasks must run together, all or none.
        one_rack: Whether tasks on several racks take several times as long.
        checkpoints: Whether a task can resume from a checkpoint.
        label: Label that the worker must have; empty for any.
        rack: Rack that holds the data; empty for none.
        per_worker: Maximum number of tasks on one worker; 0 for no limit.
        copies: Whether several runs of a task may overlap.
        lasting: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of one image behave alike.
        target_ms: Limit of the tail latency of a lasting task's answers.
        fills: Whether the tasks use only processor time that others leave.
        may_miss: How many lasting tasks may be down through our own actions.
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
        """Room that a task takes from its worker."""
        return self.room._replace(cpu=0) if self.fills else self.room


@dataclasses.dataclass(frozen=True)
class Job:
    """One accepted job, fixed when it was accepted except for its pool.

    Attributes:
        id: Chosen by the caller.
        queue: Name of the queue.
        pool: The service whose workers run the job.
        customer: Owner of the job; empty on a public queue.
        priority: 0 is the most urgent.
        max_attempts: Number of failed attempts after which the job fails.
        slack: See `queues.Queue`.
        target_s: See `queues.Queue`.
        payload: Passed to each task.
        steps: The steps in order.
        accepted_at: Unix time in seconds.
        repeats: How many times the steps run on a schedule; 0 for one run at
            once.
        first_due: Unix time in seconds of occurrence 0.
        interval_s: Seconds from one occurrence to the next.
        cancelled: Whether a caller has cancelled the job.
        advised: Whether its queue's policy chooses the workers.
        config_version: Version of the configuration that assigned the pool.
        moves: How many times the job has moved to another pool.
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
    config_version: int = 0
    moves: int = 0

    @functools.cached_property
    def critical_paths_s(self) -> tuple[float, ...]:
        """Result of `measure_critical_paths`.

        It is cached, since each decision needs it.
        """
        return measure_critical_paths(self.steps)

    @property
    def objective_s(self) -> float:
        """Seconds from the due time to the desired end."""
        return (
            self.slack * max(self.critical_paths_s, default=0.0) + self.target_s
        )

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
    """Identifies one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        """Return the name in logs; searching for a job id finds its tasks.

        >>> str(TaskKey("0a", 0, 1, 17))
        '0a.0.1.17'
        """
        return ".".join(map(str, self))


class StepKey(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the name in logs.

        >>> str(StepKey("0a", 0, 1))
        '0a.0.1'
        """
        return ".".join(map(str, self))


def get_step_key(key: TaskKey) -> StepKey:
    """Return the key of the step that a task belongs to."""
    return StepKey(key.job, key.occurrence, key.step)


def measure_critical_paths(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return the length of the critical path from each step's start.

    >>> one = Step(1, Room(), 2.0)
    >>> measure_critical_paths((one, Step(1, Room(), 3.0, after=(0,))))
    (5.0, 3.0)

    Returns:
        Declared seconds of work for each step, the step itself included.
    """
    tails = [step.expected_s for step in steps]
    for index in reversed(range(len(steps))):
        for earlier_index in steps[index].after:
            path_s = steps[earlier_index].expected_s + tails[index]
            tails[earlier_index] = max(tails[earlier_index], path_s)
    return tuple(tails)
