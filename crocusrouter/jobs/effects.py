"""What follows from one event, and what a job's story tells."""

import dataclasses

from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.outcomes import RetryReason


@dataclasses.dataclass
class Effects:
    """What follows from one event."""

    changed: list[model.Job] = dataclasses.field(default_factory=list)
    commands: list[gangs.Command] = dataclasses.field(default_factory=list)
    retries: list[RetryReason] = dataclasses.field(default_factory=list)

    def add(self, other: "Effects") -> None:
        """Append another event's effects."""
        self.changed += other.changed
        self.commands += other.commands
        self.retries += other.retries


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Why a job stands where it stands.

    Attributes:
        job: The job.
        phase: Where its attempt stands, if it has one.
        waiting_for: Why it waits, if it does.
        events: What happened, as (Unix time, text).
    """

    job: model.Job
    phase: str
    waiting_for: str
    events: tuple[tuple[float, str], ...]
