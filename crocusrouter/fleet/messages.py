"""Messages between a data centre's owner and a worker.

The owner opens one websocket to each worker and sends messages as CBOR arrays.
`Hello`, the first message, gives the owner's epoch for all commands on the
connection. A worker that has seen a higher epoch answers `Fenced` and ignores
all commands on the connection.
"""

import dataclasses
import enum

from crocusrouter import codec


class TaskPhase(enum.StrEnum):
    """The phase of a task on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class Hello:
    """Opens a connection under an owner's epoch.

    Attributes:
        owner: Name of the entry that owns the data centre.
        epoch: The owner's epoch for the data centre.
        lease_s: How long tasks run on after the last renewal.
    """

    owner: str
    epoch: int
    lease_s: float


@dataclasses.dataclass(frozen=True)
class Fenced:
    """Refuses a connection: the worker has seen a higher epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class TaskReport:
    """The state of one task on the worker.

    Attributes:
        job_id: The job.
        attempt: The attempt's number.
        phase: The task's phase.
        mask: Accelerators that the task holds, as a bit mask.
        result: JSON text; None until the task has ended.
    """

    job_id: str
    attempt: int
    phase: TaskPhase
    mask: int
    result: str | None = None


@dataclasses.dataclass(frozen=True)
class Inventory:
    """Answers `Hello` with all tasks on the worker."""

    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True)
class Reserve:
    """Asks the worker to reserve accelerators for a task, under the lease."""

    job_id: str
    attempt: int
    mask: int


@dataclasses.dataclass(frozen=True)
class Reserved:
    """Answers `Reserve`: the accelerators are reserved."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Declined:
    """Says that accelerators can't be reserved or that a task can't start."""

    job_id: str
    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Start:
    """Asks the worker to run a reserved task."""

    job_id: str
    attempt: int
    kind: str
    payload: str
    run_time_s: float


@dataclasses.dataclass(frozen=True)
class Started:
    """Answers `Start`: the task runs."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Renew:
    """Renews the lease of all tasks on the worker."""


@dataclasses.dataclass(frozen=True)
class Renewed:
    """Answers `Renew`: the lease is renewed."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Asks the worker to stop a task or to release its reservation.

    Attributes:
        checkpoint: Whether the task writes a checkpoint before it stops.
    """

    job_id: str
    attempt: int
    checkpoint: bool


@dataclasses.dataclass(frozen=True)
class Stopped:
    """Says that the worker no longer runs or reserves for the task."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Finished:
    """Says that the task ended by itself; sent again until acknowledged."""

    job_id: str
    attempt: int
    ok: bool
    result: str


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """Says that the result is durable and the worker may forget the task."""

    job_id: str
    attempt: int


REGISTRY = codec.Registry(
    Hello,
    Fenced,
    TaskReport,
    Inventory,
    Reserve,
    Reserved,
    Declined,
    Start,
    Started,
    Renew,
    Renewed,
    Stop,
    Stopped,
    Finished,
    Acknowledge,
)
