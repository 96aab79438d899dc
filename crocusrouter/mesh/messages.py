"""Messages between entries."""

import dataclasses

from crocusrouter import codec


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Tells a peer that the sender lives, and what it knows.

    Attributes:
        name: The sender.
        revision: Catalog revision in force at the sender.
        ready: Whether the sender takes work.
        owned: Data centres that it owns, each with its epoch.
    """

    name: str
    revision: int
    ready: bool
    owned: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True)
class AskCatalog:
    """Asks for the catalog in force at the peer."""


@dataclasses.dataclass(frozen=True)
class CatalogReply:
    """The catalog as JSON; empty if the peer has none."""

    document: bytes


@dataclasses.dataclass(frozen=True)
class SubmitJob:
    """Hands a job to the owner of its data centre."""

    job: bytes


@dataclasses.dataclass(frozen=True)
class CancelJob:
    """Asks the owner to cancel a customer's job."""

    customer: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class FindJob:
    """Asks the owner what it knows of a customer's job."""

    customer: str
    job_id: str


@dataclasses.dataclass(frozen=True)
class ListJobs:
    """Asks the owner for a customer's jobs in a data centre."""

    customer: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class JobView:
    """A job as shown to its customer."""

    job: bytes
    phase: str
    waiting_for: str
    events: tuple[tuple[float, str], ...]


@dataclasses.dataclass(frozen=True)
class JobViews:
    """Several jobs."""

    jobs: tuple[JobView, ...]


@dataclasses.dataclass(frozen=True)
class RefusalReply:
    """The peer refuses."""

    reason: str
    detail: str
    retry_after_s: float | None


@dataclasses.dataclass(frozen=True)
class AskAnswer:
    """Asks for the answer that the peer gave under a claim."""

    claim: str


@dataclasses.dataclass(frozen=True)
class AnswerReply:
    """What the peer remembers of a claim.

    Attributes:
        state: "done", "running", "not-run" or "unknown".
        status: HTTP status of the endpoint's answer if done.
        body: Its body.
        content_type: Its media type.
    """

    state: str
    status: int = 0
    body: bytes = b""
    content_type: str = ""


@dataclasses.dataclass(frozen=True)
class Beat:
    """Tells a peer what the sender knows of the pools' configuration.

    Attributes:
        name: The sender.
        version: Version of the configuration in force at the sender.
        vouched_age_s: Seconds since the key-value service or a peer said
            that this is the newest one; None if never.
        owners: Pool, epoch and owner's name, as the sender knows them.
        is_served: Whether the key-value service serves the sender.
        last_event: Revision of the latest change of members or owners that
            the sender has heard of.
    """

    name: str
    version: int
    vouched_age_s: float | None
    owners: tuple[tuple[str, int, str], ...]
    is_served: bool
    last_event: int = 0


@dataclasses.dataclass(frozen=True)
class AskConfig:
    """Asks for the configuration in force at the peer."""


@dataclasses.dataclass(frozen=True)
class ConfigReply:
    """The configuration as the operators wrote it; empty if none."""

    document: bytes


@dataclasses.dataclass(frozen=True)
class FindState:
    """Asks a pool's owner for a job's state."""

    pool: str
    job: str


@dataclasses.dataclass(frozen=True)
class StateReply:
    """A job's state; None if the sender does not know the job."""

    state: str | None


@dataclasses.dataclass(frozen=True)
class CountPending:
    """Asks a pool's owner how many jobs of a queue have not begun."""

    pool: str
    queue: str


@dataclasses.dataclass(frozen=True)
class PendingReply:
    """The number; None if the sender is not the owner."""

    count: int | None


@dataclasses.dataclass(frozen=True)
class RelayRead:
    """Asks a peer to read a key for an entry that the store turns away."""

    key: str


@dataclasses.dataclass(frozen=True)
class RelayRecord:
    """What the peer read.

    Attributes:
        known: Whether the store answered the peer.
        value: The record's body.
        revision: Its revision; 0 if there is no such key.
    """

    known: bool
    value: bytes = b""
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class RelayWrite:
    """Asks a peer to write a key whose revision is as given.

    Attributes:
        key: The key.
        revision: Its present revision; 0 if it must not exist.
        value: The new body.
    """

    key: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class RelayOutcome:
    """How the peer's write went.

    Attributes:
        outcome: "written", "mismatched", "not-written" or "unknown".
        revision: The new revision, or the present one after a mismatch.
        value: The present body after a mismatch.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""


REGISTRY = codec.Registry(
    Heartbeat,
    AskCatalog,
    CatalogReply,
    SubmitJob,
    CancelJob,
    FindJob,
    ListJobs,
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
)
