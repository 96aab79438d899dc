"""Jobs as the journal keeps them."""

import dataclasses
import enum
import functools
import hashlib

from crocusrouter.templates import Level


class JobState(enum.StrEnum):
    """Where a job stands; only these states are journaled."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True)
class Spec:
    """What was asked for.

    Attributes:
        kind: Kind of job in the customer's template.
        accelerators: Size of the gang.
        level: The unit that must hold all of them.
        run_time_s: Declared run time in seconds.
        deadline_s: Seconds from submission to the wanted end.
        max_attempts: Attempts that may fail before the job does.
        urgent: Whether it goes before the customer's other jobs.
        payload: JSON text handed to each task.
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
    """One task of a gang: accelerators of one worker, as a bit mask."""

    worker: str
    mask: int

    @property
    def size(self) -> int:
        """The number of accelerators."""
        return self.mask.bit_count()


@dataclasses.dataclass(frozen=True)
class Claim:
    """Accelerators that use one cell of the customer's guarantee.

    Attributes:
        cell: Index of the cell among the customer's in the data centre.
        spot: The accelerators.
    """

    cell: int
    spot: tuple[Member, ...]

    @functools.cached_property
    def size(self) -> int:
        """The number of accelerators; asked at every decision."""
        return sum(member.size for member in self.spot)


@dataclasses.dataclass(frozen=True)
class Job:
    """One accepted job.

    Attributes:
        id: "<data centre>.<hash>"; names the owner that decides on it.
        customer: Whose it is.
        spec: What was asked for.
        submitted_at: Unix time of acceptance in seconds.
        digest: Hash of the submission, to tell a repeat from a reused key.
        state: Where it stands.
        attempt: Number of the latest attempt; 0 before the first.
        members: The latest attempt's gang; empty unless assigned.
        claims: The cells that the gang uses; empty for a loan.
        failures: Attempts that failed by the job's own fault.
        losses: Attempts lost with a worker or reclaimed.
        early_losses: Attempts in a row lost with a worker soon after all
            members had been told to start.
        failed_on: Workers on which an attempt failed.
        result: JSON text of the result.
        detail: Why it failed.
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
    claims: tuple[Claim, ...] = ()
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
        """Whether nothing more will happen to the job."""
        return self.state in FINAL_STATES


def parse_data_centre(job_id: str) -> str:
    """Return the data centre that a job's id names.

    >>> parse_data_centre("liege.0a1b")
    'liege'
    """
    return job_id.partition(".")[0]


def build_job_id(data_centre: str, customer: str, key: str) -> str:
    """Return the id of the job that `customer` submits under `key`.

    The same submission to two entries yields the same id, so its owner sees
    that it is one job.

    >>> build_job_id("liege", "a", "k") == build_job_id("liege", "a", "k")
    True
    """
    text = f"{customer}\0{key}".encode()
    return f"{data_centre}.{hashlib.blake2b(text, digest_size=8).hexdigest()}"


def choose_data_centre(
    data_centres: tuple[str, ...], customer: str, key: str
) -> str:
    """Choose a job's data centre by rendezvous hashing.

    Every entry chooses alike for the same key, so a submission repeated at
    another entry reaches the same owner.

    >>> choose_data_centre(("a", "b"), "c", "key-1")
    'a'
    """

    def weigh(data_centre: str) -> bytes:
        text = f"{data_centre}\0{customer}\0{key}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return max(data_centres, key=weigh)
