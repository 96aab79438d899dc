"""Data model of jobs, as the journal stores them."""

import dataclasses
import enum
import functools
import hashlib

from crocusrouter.templates import Level


class JobState(enum.StrEnum):
    """State of a job; the journal knows only these states."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True)
class Spec:
    """What a customer asks of a job.

    Attributes:
        kind: Kind of job in the customer's template.
        accelerators: Number of accelerators of the gang.
        level: Kind of unit (worker, rack or data centre) that must hold the
            whole gang.
        run_time_s: Declared run time in seconds.
        deadline_s: Seconds from submission to the wanted end.
        max_attempts: Number of failed attempts after which the job fails.
        urgent: Whether the job comes before other jobs in the queue.
        payload: JSON text that each task receives.
    """

    kind: str
    accelerators: int
    level: Level
    run_time_s: float
    deadline_s: float
    max_attempts: int
    urgent: bool = False
    payload: str = "null"


@dataclasses.dataclass(frozen=True)
class Member:
    """One task of a gang: accelerators of one worker.

    Attributes:
        worker: Name of the worker.
        mask: The accelerators, as a bit mask.
    """

    worker: str
    mask: int

    @property
    def size(self) -> int:
        """The number of accelerators."""
        return self.mask.bit_count()


@dataclasses.dataclass(frozen=True)
class CellClaim:
    """Accelerators that a job uses as part of a guaranteed cell.

    Attributes:
        cell: Index of the cell among the customer's cells in the data centre.
        spot: The allocated accelerators.
    """

    cell: int
    spot: tuple[Member, ...]

    @functools.cached_property
    def size(self) -> int:
        """The number of accelerators; cached because each decision reads it."""
        return sum(member.size for member in self.spot)


@dataclasses.dataclass(frozen=True)
class Job:
    """One accepted job.

    Attributes:
        id: "<data centre>.<hash>"; the data centre's owner decides on the job.
        customer: Customer that submitted the job.
        spec: What the customer asked for.
        submitted_at: Unix time of acceptance in seconds.
        digest: Hash of the submission; tells a repeated submission from a
            reused key.
        state: State of the job.
        attempt: Number of the latest attempt; 0 before the first.
        members: The latest attempt's gang; empty unless assigned.
        claims: The cells that the gang uses; empty for a loan.
        failures: Number of failed attempts that count against the job.
        losses: Number of attempts that ended without a task failure: lost with
            a worker, declined or reclaimed.
        early_losses: Number of consecutive attempts that were lost with a
            worker soon after all members had been told to start.
        failed_on: Workers on which an attempt failed.
        result: JSON text of the result.
        detail: Why the job failed.
        finished_at: Unix time of the end.
    """

    id: str
    customer: str
    spec: Spec
    submitted_at: float
    digest: str = ""
    state: JobState = JobState.QUEUED
    attempt: int = 0
    members: tuple[Member, ...] = ()
    claims: tuple[CellClaim, ...] = ()
    failures: int = 0
    losses: int = 0
    early_losses: int = 0
    failed_on: tuple[str, ...] = ()
    result: str | None = None
    detail: str = ""
    finished_at: float | None = None

    @property
    def data_centre(self) -> str:
        """The data centre whose owner decides on the job."""
        return parse_data_centre(self.id)

    @property
    def is_final(self) -> bool:
        """Whether the job is in a state that never changes again."""
        return self.state in FINAL_STATES


def parse_data_centre(job_id: str) -> str:
    """Return the data centre in a job's id.

    >>> parse_data_centre("liege.0a1b")
    'liege'
    """
    return job_id.partition(".")[0]


def build_job_id(data_centre: str, customer: str, key: str) -> str:
    """Return the id of the job that `customer` submits under `key`.

    A submission that reaches two entries gets the same id at both, so the
    owner recognises it as one job.

    >>> build_job_id("liege", "a", "k") == build_job_id("liege", "a", "k")
    True
    """
    data = f"{customer}\0{key}".encode()
    return f"{data_centre}.{hashlib.blake2b(data, digest_size=8).hexdigest()}"


def choose_data_centre(
    data_centres: tuple[str, ...], customer: str, key: str
) -> str:
    """Choose a job's data centre by rendezvous hashing.

    All entries choose the same data centre for a key, so a submission that is
    repeated at another entry reaches the same owner.

    >>> choose_data_centre(("a", "b"), "c", "key-1")
    'a'
    """

    def compute_weight(data_centre: str) -> bytes:
        data = f"{data_centre}\0{customer}\0{key}".encode()
        return hashlib.blake2b(data, digest_size=8).digest()

    return max(data_centres, key=compute_weight)
