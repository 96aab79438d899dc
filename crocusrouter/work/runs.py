"""Runs of tasks, workers and steps as the owner of a pool knows them."""

import dataclasses
import enum

from crocusrouter.work import model
from crocusrouter.work import orders
from crocusrouter.work import permit
from crocusrouter.work import progress as progresses

# For so long a suspected run has its worker to itself. One that was not seen to
# work for longer may have ended its worker by its start; a worker with runs is
# looked at once a second.
TRIAL_S = 2.0


class Phase(enum.StrEnum):
    """Where a run stands."""

    ORDERED = "ordered"  # a start is under way; it may be carried out late
    RUNNING = "running"
    STOPPING = "stopping"  # a stop is under way; the room is still taken


@dataclasses.dataclass
class Run:
    """One start of one task.

    Attributes:
        key: The task.
        number: Of the start; rises, and is shared by the members of a gang.
        worker: Where.
        since: When it was ordered, on the steady clock.
        phase: Where it stands.
        confirmed_at: When its worker first said that it runs.
        saved: Latest checkpoint.
        percent: How far it says it is.
        moved_at: When `percent` last changed.
        load: See `orders.Running`.
        maybe_begun: Whether an order to start it was sent and not refused.
        why: Why it is being stopped.
        stopped_at: Steady time at which that was decided; 0 if it isn't.
        work: Its step; None if its job is not known.
        pace: Percent of its speed that its worker was last told to give it.
        paced_at: Steady time at which that was answered.
    """

    key: model.TaskKey
    number: int
    worker: str
    since: float
    phase: Phase = Phase.ORDERED
    confirmed_at: float | None = None
    saved: str = ""
    percent: float = 0.0
    moved_at: float = 0.0
    load: float = 0.0
    maybe_begun: bool = False
    why: str = ""
    stopped_at: float = 0.0
    work: "StepWork | None" = None
    pace: int = 100
    paced_at: float = 0.0


@dataclasses.dataclass
class Worker:
    """One incarnation of a worker.

    Attributes:
        entry: As the platform lists it.
        listed: Whether the platform still lists it.
        reached: Whether it has answered under this owner's epoch.
        silent_since: Since when it has not answered; None if it does.
        heard_at: When it last told what it runs; None if it never did.
        lapsed: Whether all that ran there has certainly ended.
        gone: Whether another incarnation answers at its address.
        used: Room that runs take.
        runs: Runs there by task, in the order of their starts. Sets of keys
            would be walked in another order in each process, and equal books
            would lead to different plans.
        strays: Runs there that no book counts, and that are being stopped.
        failures: Jobs whose tasks failed here since a task last ended well.
        suspect_until: Until when nothing new goes there.
        noted: Number of the last end that the book has taken in.
        leaves_at: Steady time until which a draining worker stays at least;
            None if it does not say.
        sealed: Whether it has been draining; it gets nothing new ever after.
        resting: Whether it is being emptied for its VM's upkeep.
        rested: Whether it ever was; its end is then our own doing.
        trial_until: Until when a suspect runs there alone.
        blocks: Jobs that may run there as far as an earlier owner knew, if
            it has not been reached; None for any job.
    """

    entry: orders.WorkerEntry
    listed: bool = True
    reached: bool = False
    silent_since: float | None = None
    heard_at: float | None = None
    lapsed: bool = False
    gone: bool = False
    used: model.Room = model.Room()
    runs: dict[model.TaskKey, Run] = dataclasses.field(default_factory=dict)
    strays: set[tuple[model.TaskKey, int]] = dataclasses.field(
        default_factory=set
    )
    failures: set[str] = dataclasses.field(default_factory=set)
    suspect_until: float = 0.0
    noted: int = 0
    leaves_at: float | None = None
    sealed: bool = False
    resting: bool = False
    rested: bool = False
    trial_until: float = 0.0
    blocks: frozenset[str] | None = None

    @property
    def is_untold(self) -> bool:
        """Whether nobody knows yet what an earlier owner runs there."""
        return not self.reached and not self.lapsed

    @property
    def free(self) -> model.Room:
        """Room that no run takes; less than none if the worker has shrunk."""
        return self.entry.room.minus(self.used)

    def is_over(self, charge: model.Room) -> bool:
        """Tell whether its runs take more than it has of what a run needs."""
        return any(
            needed and left < 0
            for needed, left in zip(charge, self.free, strict=True)
        )

    def may_take(self, now: float) -> bool:
        """Tell whether new work may go there."""
        return (
            self.listed
            and self.reached
            and not self.sealed
            and not self.resting
            and not self.gone
            # The room of a stray is taken until it has ended, and a worker
            # that does not check would start more than it has room for.
            and not self.strays
            and self.silent_since is None
            and now >= self.suspect_until
            and now >= self.trial_until
        )


@dataclasses.dataclass
class StepWork:
    """One step of one occurrence, while its job lives.

    Attributes:
        key: Which.
        step: What its tasks ask for.
        kept: What has ended of it.
        waiting: Tasks that neither run nor have ended well.
        running: Its runs by index of the task.
        avoid: Workers on which one of its tasks failed.
        not_before: Steady time before which nothing of it starts again.
        waiting_since: Steady time since which tasks have waited in turn.
        permits: What the policy service has said of it.
    """

    key: model.StepKey
    step: model.Step
    kept: progresses.StepProgress
    waiting: set[int]
    running: dict[int, Run] = dataclasses.field(default_factory=dict)
    avoid: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0
    waiting_since: float | None = None
    permits: permit.Permits = dataclasses.field(default_factory=permit.Permits)

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended well."""
        return len(self.kept.done) == self.step.count

    def find_saved(self, index: int) -> str:
        """Return the checkpoint from which a task goes on."""
        return self.kept.saved.get(0 if self.step.gang else index, "")


@dataclasses.dataclass
class JobWork:
    """One accepted job.

    Attributes:
        job: What is fixed.
        progress: What has ended.
        created: Revision of its acceptance.
        steps: The steps of occurrences that are not over.
        opened: Occurrences that have come due so far.
        begun: Whether a task of it has started.
        durable: Whether the final state is in the journal.
        over_since: Steady time at which it was first known to be over.
        unsaved_crash: Whether a crash under one of its tasks is not in the
            journal yet. It starts nothing until then: after the loss of this
            owner nobody would know of the crash.
        parked: Whether nothing of it ran when this owner began, as the one
            before has recorded.
    """

    job: model.Job
    progress: progresses.Progress
    created: int = 0
    steps: dict[model.StepKey, StepWork] = dataclasses.field(
        default_factory=dict
    )
    opened: int = 0
    begun: bool = False
    durable: bool = False
    over_since: float | None = None
    unsaved_crash: bool = False
    parked: bool = False

    @property
    def is_final(self) -> bool:
        """Whether nothing of it will start any more."""
        return self.job.cancelled or self.progress.final is not None

    def show_state(self) -> model.State:
        """Return what its caller is told.

        A final state is told only once it is durable: a successor that had
        not read it would say "running" after "done".
        """
        if self.progress.final is not None and self.durable:
            return self.progress.final
        if self.job.cancelled:
            return model.State.CANCELLED
        return model.State.RUNNING if self.begun else model.State.QUEUED
