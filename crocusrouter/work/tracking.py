"""Mutable records of runs, workers, steps and jobs in the state of a pool."""

import dataclasses
import enum

from crocusrouter.work import model
from crocusrouter.work import permit
from crocusrouter.work import progress as progresses
from crocusrouter.work import worker_port

# A task suspected of crashing its worker runs there alone for this long. Its
# worker is polled once a second while it has runs, so a run that was seen to
# work for less time may have crashed its worker by its start.
TRIAL_S = 2.0
# Why a start was not sent: its worker's data centre is closed to new work.
DATA_CENTRE_CLOSED = "data-centre-closed"


class Phase(enum.StrEnum):
    """Phase of a run."""

    ORDERED = "ordered"  # a start was ordered; it may be carried out late
    RUNNING = "running"
    STOPPING = "stopping"  # a stop was ordered; the room is still taken


@dataclasses.dataclass
class Run:
    """One start of one task.

    Attributes:
        key: The task.
        number: Number of the start; it rises, and the members of a gang share
            it.
        worker_id: Id of the worker.
        ordered_at: When the start was ordered, on the steady clock.
        phase: Present phase.
        confirmed_at: When the worker first reported the run as running.
        checkpoint: Latest checkpoint.
        percent: Progress as the task reports it, 0 to 100.
        progressed_at: When `percent` last changed.
        measured_since: Steady time from which its rate of progress is measured;
            0 for the begin of its work.
        measured_from: Progress at that time.
        load: Tail latency of its answers in ms for a serving task, else the
            thousandths of a core in use.
        maybe_started: Whether a start order was sent and not refused.
        stop_reason: Reason for the stop, for the log.
        stop_ordered_at: Steady time at which the stop was decided; 0 if no stop
            was decided.
        stop_queued_at: Steady time at which the stop was last queued for
            delivery.
        tracked_step: Step of the task; None if its job is unknown.
        pace: Percent of its speed that the worker was last told to give it.
        paced_at: Steady time at which the worker confirmed `pace`.
        is_trial: Whether its start was a trial of a suspected task.
        speed: Speed of its worker when it started; see `run_times.find_speed`.
        kept: Whether `run:kept` has been logged for it.
    """

    key: model.TaskKey
    number: int
    worker_id: str
    ordered_at: float
    phase: Phase = Phase.ORDERED
    confirmed_at: float | None = None
    checkpoint: str = ""
    percent: float = 0.0
    progressed_at: float = 0.0
    measured_since: float = 0.0
    measured_from: float = 0.0
    load: float = 0.0
    maybe_started: bool = False
    stop_reason: str = ""
    stop_ordered_at: float = 0.0
    stop_queued_at: float = 0.0
    tracked_step: "TrackedStep | None" = None
    pace: int = 100
    paced_at: float = 0.0
    is_trial: bool = False
    speed: float = 1.0
    kept: bool = False


@dataclasses.dataclass
class Worker:
    """One incarnation of a worker.

    Attributes:
        entry: The worker as the platform lists it.
        known_address: "IP:port" at which it has answered this owner or is
            recorded by an earlier one; empty if only `entry` gives one.
        listed: Whether the platform still lists the worker.
        is_recorded: Whether a durable record names this worker to a successor
            of this owner.
        is_foreseen: Whether this owner knew of it when it took over, and so
            waited for its report.
        reached: Whether the worker has answered under this owner's epoch.
        silent_since: Since when the worker has not answered; None if it does.
        last_report_at: When the worker last reported its runs; None if never.
        all_runs_ended: Whether everything that ran there has certainly ended.
        replaced: Whether another incarnation answers at the worker's address.
        successor: That incarnation; None if it is unknown.
        used: Room that runs take.
        runs: Runs there by task, in the order of their starts. Iterating over a
            set of keys would differ between processes, and equal states would
            lead to different plans.
        stray_runs: Runs there that belong to no task of this pool's state, and
            that are being stopped.
        failures: Jobs whose tasks failed here since a task last succeeded.
        suspect_until: Steady time until which nothing new starts there.
        last_end_number: Number of the last end that was recorded.
        leaves_at: Steady time until which a draining worker stays at least;
            None if it does not say.
        was_draining: Whether the worker has ever been draining; it never gets
            new tasks again.
        closed: Whether its data centre is closed to new work.
        evacuating: Whether it is being emptied for the upkeep of its VM.
        was_evacuated: Whether it was ever emptied for upkeep, in which case its
            end is expected and no crash.
        trial_until: Steady time until which a suspected task runs there alone.
        possible_jobs: Jobs that previous owners may have left running there,
            while the worker has not been reached; None for any job.
        late_jobs: Jobs of which a start of this owner may be carried out there
            late, while the worker has not been reached.
    """

    entry: worker_port.WorkerEntry
    known_address: str = ""
    listed: bool = True
    is_recorded: bool = False
    is_foreseen: bool = False
    reached: bool = False
    silent_since: float | None = None
    last_report_at: float | None = None
    all_runs_ended: bool = False
    replaced: bool = False
    successor: str | None = None
    used: model.Room = model.Room()
    runs: dict[model.TaskKey, Run] = dataclasses.field(default_factory=dict)
    stray_runs: set[tuple[model.TaskKey, int]] = dataclasses.field(
        default_factory=set
    )
    failures: set[str] = dataclasses.field(default_factory=set)
    suspect_until: float = 0.0
    last_end_number: int = 0
    leaves_at: float | None = None
    was_draining: bool = False
    closed: bool = False
    evacuating: bool = False
    was_evacuated: bool = False
    trial_until: float = 0.0
    possible_jobs: frozenset[str] | None = None
    late_jobs: frozenset[str] = frozenset()

    @property
    def address(self) -> str:
        """The "IP:port" at which it is called.

        An incarnation keeps its address. Another writer may have overwritten
        its entry with another one.
        """
        return self.known_address or self.entry.address

    @property
    def has_unknown_runs(self) -> bool:
        """Whether a previous owner's runs there are still unknown."""
        return not self.reached and not self.all_runs_ended

    @property
    def free(self) -> model.Room:
        """Room that no run takes; negative if the worker has shrunk."""
        return self.entry.room.minus(self.used)

    def is_overcommitted(self, charge: model.Room) -> bool:
        """Tell whether its runs take more than it has of what a run needs.

        Args:
            charge: Room of the run; what it does not need is ignored.
        """
        return any(
            needed and left < 0
            for needed, left in zip(charge, self.free, strict=True)
        )

    @property
    def may_take_tasks_later(self) -> bool:
        """Whether new tasks may start there now or in some seconds."""
        return (
            self.listed
            and not self.was_draining
            and not self.closed
            and not self.replaced
        )

    def may_start_tasks(self, now: float) -> bool:
        """Tell whether new tasks may start there."""
        return (
            self.listed
            # A successor that does not know of the worker would start the tasks
            # that run there again.
            and self.is_recorded
            and self.reached
            and not self.was_draining
            and not self.closed
            and not self.evacuating
            and not self.replaced
            # A stray run takes room until it has ended. A worker that does not
            # check its room would start more tasks than it has room for.
            and not self.stray_runs
            and self.silent_since is None
            and now >= self.suspect_until
            and now >= self.trial_until
        )


@dataclasses.dataclass
class TrackedStep:
    """One step of one occurrence of a job that is not over.

    Attributes:
        key: Identifies the step.
        step: Requirements of the step's tasks.
        progress: Progress that the journal keeps.
        waiting_indices: Indices of tasks that are neither running nor done.
        runs_by_index: Runs by index of the task.
        avoided_workers: Workers on which a task of the step failed or was
            rejected.
        not_before: Steady time before which no task of the step starts again.
        waiting_since: Steady time since which tasks have been waiting; None
            until all earlier steps are done that it depends on.
        lost_since: Since when the worker of a lost run had not answered; None
            if a task has started since.
        permits: Answers of the policy service about the step.
    """

    key: model.StepKey
    step: model.Step
    progress: progresses.StepProgress
    waiting_indices: set[int]
    runs_by_index: dict[int, Run] = dataclasses.field(default_factory=dict)
    avoided_workers: set[str] = dataclasses.field(default_factory=set)
    not_before: float = 0.0
    waiting_since: float | None = None
    lost_since: float | None = None
    permits: permit.Permits = dataclasses.field(default_factory=permit.Permits)

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return len(self.progress.done) == self.step.count

    def find_checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task resumes; empty for none."""
        return self.progress.checkpoints.get(0 if self.step.gang else index, "")


@dataclasses.dataclass
class TrackedJob:
    """One accepted job.

    Attributes:
        job: The job as it was accepted.
        progress: Progress that the journal keeps.
        accepted_revision: Store revision at which the job was accepted.
        steps: Steps of the occurrences that have been opened.
        opened_count: How many occurrences have become due so far.
        has_started: Whether a task of the job has started.
        durable: Whether the final state is in the journal.
        given_up: Whether it failed since too many workers crashed under one of
            its tasks.
        over_since: Steady time at which the job was first known to be over.
        has_unsaved_crash: Whether a worker crash under one of its tasks is not
            in the journal yet. The job starts nothing until it is: if this
            owner were lost, nobody would know of the crash.
        parked: Whether none of its tasks ran when this owner took over,
            according to the previous owner's records.
        is_home: Whether this pool schedules the job. Otherwise the job has
            moved, and only runs that it left here are looked after.
        move_to: The pool to which the configuration moves the job; empty if it
            stays. Nothing of the job starts here meanwhile.
        is_being_moved: Whether a write that moves the job may still be carried
            out.
        record_revision: Latest known revision of the job's record.
        is_older: Whether an earlier owner of the pool may have started its
            tasks, although its record is newer: a record is written anew when
            the job moves, and while other pools hold tasks of it.
    """

    job: model.Job
    progress: progresses.Progress
    accepted_revision: int = 0
    steps: dict[model.StepKey, TrackedStep] = dataclasses.field(
        default_factory=dict
    )
    opened_count: int = 0
    has_started: bool = False
    durable: bool = False
    given_up: bool = False
    over_since: float | None = None
    has_unsaved_crash: bool = False
    parked: bool = False
    is_home: bool = True
    move_to: str = ""
    is_being_moved: bool = False
    record_revision: int = 0
    is_older: bool = False

    @property
    def is_final(self) -> bool:
        """Whether no task of the job will start any more."""
        return self.job.cancelled or self.progress.final_state is not None

    @property
    def has_runs(self) -> bool:
        """Whether any of its tasks may be running."""
        return any(step.runs_by_index for step in self.steps.values())

    def list_steps(
        self, occurrence: int
    ) -> list[tuple[model.StepKey, TrackedStep]]:
        """Return the steps of an occurrence; none if it isn't open."""
        keys = (
            model.StepKey(self.job.id, occurrence, position)
            for position in range(len(self.job.steps))
        )
        return [(key, self.steps[key]) for key in keys if key in self.steps]

    def has_crashing_task(self, pool: str) -> bool:
        """Tell whether a task has met too many worker crashes to start again.

        Args:
            pool: This pool; tasks that run in other pools are left to them.
        """
        return any(
            step_progress.has_crashed_too_often(
                index,
                is_gang=self.job.steps[step].gang,
                is_lasting=self.job.steps[step].lasting,
            )
            for (_, step), step_progress in self.progress.steps.items()
            for index in step_progress.crashes
            if self.is_task_of(step_progress, index, pool)
        )

    def is_task_of(
        self, step_progress: progresses.StepProgress, index: int, pool: str
    ) -> bool:
        """Tell whether a pool decides about a task of this job.

        Args:
            step_progress: Progress of the task's step.
            index: Index of the task.
            pool: This pool.
        """
        holder = step_progress.held.get(index)
        return holder == pool or (holder is None and self.is_home)

    def show_state(self) -> model.State:
        """Return the state that callers see.

        A final state is shown only once it is durable: otherwise a new owner
        that has not read the last end would say "running" after "done".
        """
        if self.progress.final_state is not None and self.durable:
            return self.progress.final_state
        if self.job.cancelled:
            return model.State.CANCELLED
        return model.State.RUNNING if self.has_started else model.State.QUEUED
