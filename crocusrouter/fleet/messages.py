"""Messages between a data centre's owner and a worker.

They are CBOR arrays over one websocket a worker, opened by the owner. Every
command names the owner's epoch once, in `Hello`; a worker that has seen a
higher epoch answers `Fenced` and takes no command from this connection.
"""

import dataclasses
import enum

from crocusrouter import codec


class TaskPhase(enum.StrEnum):
    """Where a task stands on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class Hello:
    """Opens a link for an owner's epoch.

    Attributes:
        owner: Name of the entry.
        epoch: Its epoch for the data centre.
        lease_s: How long tasks live after the last renewal.
    """

    owner: str
    epoch: int
    lease_s: float


@dataclasses.dataclass(frozen=True)
class Fenced:
    """The worker has seen a higher epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True)
class TaskReport:
    """One task as the worker holds it.

    Attributes:
        job_id: The job.
        attempt: The attempt's number.
        phase: Where it stands.
        mask: Accelerators that it holds, as a bit mask.
        result: JSON text, once it ended.
    """

    job_id: str
    attempt: int
    phase: TaskPhase
    mask: int
    result: str | None = None


@dataclasses.dataclass(frozen=True)
class Inventory:
    """All tasks that the worker holds; answers `Hello`."""

    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True)
class Reserve:
    """Hold accelerators for a task, under the lease."""

    job_id: str
    attempt: int
    mask: int


@dataclasses.dataclass(frozen=True)
class Reserved:
    """The accelerators are held."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Declined:
    """The accelerators can't be held, or the task can't start."""

    job_id: str
    attempt: int
    why: str


@dataclasses.dataclass(frozen=True)
class Start:
    """Run a reserved task."""

    job_id: str
    attempt: int
    kind: str
    payload: str
    run_time_s: float


@dataclasses.dataclass(frozen=True)
class Started:
    """The task runs."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Renew:
    """Renew the lease of all tasks that the worker holds."""


@dataclasses.dataclass(frozen=True)
class Renewed:
    """The leases are renewed."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a task, or release its reservation.

    Attributes:
        checkpoint: Whether to checkpoint first.
    """

    job_id: str
    attempt: int
    checkpoint: bool


@dataclasses.dataclass(frozen=True)
class Stopped:
    """The worker no longer holds the task."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Finished:
    """The task ended by itself; sent again until acknowledged."""

    job_id: str
    attempt: int
    ok: bool
    result: str


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """The result is durable; the worker may forget the task."""

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
