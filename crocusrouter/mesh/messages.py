"""Messages between entries.

`Heartbeat` up to `AnswerReply` are exchanged by entries of `controllers`, the
others by entries of `pools`.
"""

import dataclasses

from crocusrouter import codec


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Tells a peer that the sender is alive, and the sender's state.

    The state is the revision of the catalog in force at the sender, whether
    the sender accepts jobs and requests, and the data centres that it owns,
    each with its epoch.
    """

    name: str
    catalog_revision: int
    is_ready: bool
    owned_epochs: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True)
class AskCatalog:
    """Asks for the catalog in force at the peer."""


@dataclasses.dataclass(frozen=True)
class CatalogReply:
    """The catalog as JSON; empty if the peer has none."""

    document: bytes


@dataclasses.dataclass(frozen=True)
class SubmitJob:
    """Submits a packed job to the owner of its data centre."""

    packed_job: bytes


@dataclasses.dataclass(frozen=True)
class CancelJob:
    """Asks the owner to cancel a customer's job."""

    customer: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class FindJob:
    """Asks the owner for the state of a customer's job."""

    customer: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class ListJobs:
    """Asks the owner for a customer's jobs in a data centre."""

    customer: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class CountRuns:
    """Asks the owner of a data centre what runs there."""

    data_centre: str


@dataclasses.dataclass(frozen=True)
class RunCounts:
    """Answers `CountRuns`.

    Attributes:
        jobs: Jobs with an attempt that has not ended.
        accelerators: Accelerators that these attempts hold.
    """

    jobs: int
    accelerators: int


@dataclasses.dataclass(frozen=True)
class JobView:
    """A job as shown to its customer.

    Attributes:
        job: The packed job.
        phase: Phase of the job's gang; empty if there is none.
        waiting_for: Why the job waits; empty if it doesn't.
        events: What happened to the job, each with its Unix time.
    """

    job: bytes
    phase: str
    waiting_for: str
    events: tuple[tuple[float, str], ...]


@dataclasses.dataclass(frozen=True)
class JobViews:
    """Answers `ListJobs`."""

    jobs: tuple[JobView, ...]


@dataclasses.dataclass(frozen=True)
class RefusalReply:
    """Answers a call that the peer refuses."""

    reason: str
    detail: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True)
class AskAnswer:
    """Asks for the answer to the request whose claim the peer holds."""

    claim_name: str


@dataclasses.dataclass(frozen=True)
class AnswerReply:
    """What the peer remembers of a claimed request.

    Attributes:
        state: "done", "running", "not-run" or "unknown".
        status: HTTP status of the endpoint's answer; 0 unless done.
        body: The answer's body.
        content_type: The answer's media type.
    """

    state: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""


@dataclasses.dataclass(frozen=True)
class Beat:
    """The heartbeat of the pools: configuration, owners and store access.

    Attributes:
        name: The sender's name.
        config_version: Version of the configuration in force at the sender.
        confirmed_age_s: Seconds since the key-value service or a peer
            confirmed that this is the newest one; None if never.
        owners: Pool, epoch and owner's name, as the sender knows them.
        has_store_access: Whether the key-value service answers the sender.
        last_change_revision: Revision of the latest change of members or
            owners that the sender has seen.
        closed_data_centres: The data centres that operators have closed.
        closures_revision: Revision up to which the sender knows all closures.
        closures_age_s: Seconds since that list was certainly complete; None if
            it never was.
    """

    name: str
    config_version: int
    confirmed_age_s: float | None
    owners: tuple[tuple[str, int, str], ...]
    has_store_access: bool
    last_change_revision: int = 0
    closed_data_centres: tuple[str, ...] = ()
    closures_revision: int = 0
    closures_age_s: float | None = None


@dataclasses.dataclass(frozen=True)
class AskConfig:
    """Asks for the configuration in force at the peer."""


@dataclasses.dataclass(frozen=True)
class ConfigReply:
    """The configuration document of the operators; empty if there is none."""

    document: bytes


@dataclasses.dataclass(frozen=True)
class FindState:
    """Asks a pool's owner for a job's state."""

    pool: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class StateReply:
    """A job's state; None if the answering entry does not know the job."""

    state: str | None


@dataclasses.dataclass(frozen=True)
class CountPending:
    """Asks a pool's owner how many jobs of a queue have not started."""

    pool: str
    queue: str


@dataclasses.dataclass(frozen=True)
class PendingReply:
    """The number of jobs; None if the answering entry is not the owner.

    Attributes:
        count: How many jobs of the queue wait in the pool.
        other_pools: Other pools that schedule jobs of the queue.
    """

    count: int | None
    other_pools: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class RelayRead:
    """Asks a peer to read a key that the sender can't read itself.

    The key-value service may refuse calls of one entry and answer others.
    """

    key: str


@dataclasses.dataclass(frozen=True)
class RelayRecord:
    """The record that a peer read for the sender of `RelayRead`.

    Attributes:
        store_answered: Whether the key-value service answered the peer.
        value: The record's body.
        revision: The record's revision; 0 if the key doesn't exist.
    """

    store_answered: bool
    value: bytes = b""
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class RelayWrite:
    """Asks a peer to write a key by compare-and-swap.

    The key must have the given revision; 0 means that it must not exist.
    """

    key: str
    expected_revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class RelayOutcome:
    """The outcome of a peer's write for the sender of a relayed write.

    Attributes:
        outcome: "written", "mismatched", "not-written" or "unknown".
        revision: The new revision, or the current one after a mismatch.
        value: The current body after a mismatch.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""


@dataclasses.dataclass(frozen=True)
class RelayShortLivedWrite:
    """Like `RelayWrite`, for a key that the store removes after a while.

    Entries of earlier versions do not know this message and do not answer it.
    """

    key: str
    expected_revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class ConfirmOwner:
    """Asks a peer to attest to no earlier owner of a pool any more.

    Entries of earlier versions do not know this message and do not answer it.
    """

    pool: str
    epoch: int
    owner: str


@dataclasses.dataclass(frozen=True)
class OwnerConfirmed:
    """Confirms `ConfirmOwner`, for as long as the answering process runs.

    Attributes:
        epoch: The latest epoch of the pool that the peer knows.
        process: Random id of the answering process.
    """

    epoch: int
    process: str


REGISTRY = codec.Registry(
    Heartbeat,
    AskCatalog,
    CatalogReply,
    SubmitJob,
    CancelJob,
    FindJob,
    ListJobs,
    CountRuns,
    RunCounts,
    JobView,
    JobViews,
    RefusalReply,
    AskAnswer,
    AnswerReply,
    Beat,
    AskConfig,
    ConfigReply,
    FindState,
    StateReply,
    CountPending,
    PendingReply,
    RelayRead,
    RelayRecord,
    RelayWrite,
    RelayOutcome,
    RelayShortLivedWrite,
    ConfirmOwner,
    OwnerConfirmed,
)
