"""Effects of an event on jobs and workers; explanation of a job's state."""

import dataclasses

from crocusrouter.jobs import gang as gangs
from crocusrouter.jobs import model
from crocusrouter.outcomes import RetryReason


@dataclasses.dataclass
class Effects:
    """What an event changes and which commands it causes.

    Attributes:
        changed_jobs: Jobs whose new state must be journaled.
        commands: Commands for workers, to be sent once that is done.
        retry_reasons: Why attempts ended whose jobs run again.
    """

    changed_jobs: list[model.Job] = dataclasses.field(default_factory=list)
    commands: list[gangs.Command] = dataclasses.field(default_factory=list)
    retry_reasons: list[RetryReason] = dataclasses.field(default_factory=list)

    def add(self, other: "Effects") -> None:
        """Append the effects of another event."""
        self.changed_jobs += other.changed_jobs
        self.commands += other.commands
        self.retry_reasons += other.retry_reasons


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Why a job is in its state.

    Attributes:
        job: The job.
        phase: Phase of its attempt; empty without an attempt.
        waiting_for: Why it waits; empty if it does not wait.
        events: Latest events as (Unix time, text), oldest first.
    """

    job: model.Job
    phase: str
    waiting_for: str
    events: tuple[tuple[float, str], ...]
