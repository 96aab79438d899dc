"""Gangs: the state machine of one attempt of a job.

All members of a gang run, or none does. The owner reserves accelerators on
every member's worker and starts the tasks only when all reservations hold. If
a member is lost, the attempt ends and the other members are stopped. The
attempt counts as ended only when each member has reported its end or its lease
has expired. The next attempt begins after that, so attempts never overlap.

The functions take a gang and an event; they return the changed gang and the
commands to send. They use no clock and do no I/O.
"""

import dataclasses
import enum

from crocusrouter.fleet import messages
from crocusrouter.jobs import model


class Phase(enum.StrEnum):
    """Phase of an attempt."""

    WAITING = "waiting"  # for other attempts on its accelerators to end
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    ENDING = "ending"
    ENDED = "ended"


class EndReason(enum.StrEnum):
    """Why an attempt ends."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # a task failed
    LOST = "lost"  # a member's worker is gone or lost the task
    DECLINED = "declined"  # a worker declined the reservation
    RECLAIMED = "reclaimed"  # its loan was reclaimed
    CANCELLED = "cancelled"
    CLOSED = "closed"  # its data centre was closed before all tasks started


@dataclasses.dataclass(frozen=True)
class Gang:
    """One attempt and the known state of its members.

    Attributes:
        job_id: The job.
        attempt: Number of the attempt.
        spec: What the tasks run.
        members: All members.
        phase: Phase of the attempt.
        blocking_job_ids: Jobs whose attempts must end before the reservation.
        reserved_workers: Workers that hold the reservation or went further.
        started_workers: Workers whose task runs or has ended.
        results: Results of tasks that succeeded, as (worker, JSON text).
        holding_workers: Workers that may still hold a reservation or a task.
        end_reason: Why the attempt ends; None before.
        detail: Explanation of the failure or loss.
        failed_worker: Worker whose failure or loss ended the attempt.
    """

    job_id: str
    attempt: int
    spec: model.Spec
    members: tuple[model.Member, ...]
    phase: Phase = Phase.WAITING
    blocking_job_ids: frozenset[str] = frozenset()
    reserved_workers: frozenset[str] = frozenset()
    started_workers: frozenset[str] = frozenset()
    results: tuple[tuple[str, str], ...] = ()
    holding_workers: frozenset[str] = frozenset()
    end_reason: EndReason | None = None
    detail: str = ""
    failed_worker: str = ""

    @property
    def workers(self) -> frozenset[str]:
        """Names of all members' workers."""
        return frozenset(member.worker for member in self.members)


TaskCommand = (
    messages.Reserve | messages.Start | messages.Stop | messages.Acknowledge
)


@dataclasses.dataclass(frozen=True)
class Command:
    """A message about one task, for one worker."""

    worker: str
    message: TaskCommand


# The changed gang and the commands to send.
Transition = tuple[Gang, tuple[Command, ...]]


def create_gang(job: model.Job, blocking_job_ids: frozenset[str]) -> Gang:
    """Create the gang of a new attempt, which waits for the blocking jobs."""
    return Gang(
        job.id,
        job.attempt,
        job.spec,
        job.members,
        blocking_job_ids=blocking_job_ids,
    )


def recover_gang(job: model.Job) -> Gang:
    """Create the gang of an attempt that an earlier owner began.

    The journal does not tell how far the attempt got, so every member may hold
    a task. The workers' inventories tell.
    """
    workers = frozenset(member.worker for member in job.members)
    return Gang(
        job.id,
        job.attempt,
        job.spec,
        job.members,
        phase=Phase.RESERVING,
        holding_workers=workers,
    )


def record_blocker_ended(gang: Gang, job_id: str) -> Transition:
    """Remove a blocking job; reserve all members after the last one."""
    remaining_job_ids = gang.blocking_job_ids - {job_id}
    gang = dataclasses.replace(gang, blocking_job_ids=remaining_job_ids)
    if remaining_job_ids or gang.phase is not Phase.WAITING:
        return gang, ()
    return reserve_members(gang)


def reserve_members(gang: Gang) -> Transition:
    """Ask every member's worker to reserve its accelerators."""
    commands = tuple(
        Command(
            member.worker,
            messages.Reserve(gang.job_id, gang.attempt, member.mask),
        )
        for member in gang.members
    )
    reserving_gang = dataclasses.replace(
        gang, phase=Phase.RESERVING, holding_workers=gang.workers
    )
    return reserving_gang, commands


def record_reserved(gang: Gang, worker: str) -> Transition:
    """Record a worker's reservation; start all members after the last one.

    An earlier start would let a part of the gang run alone whenever the last
    worker declines.
    """
    if gang.phase is Phase.ENDING:
        return gang, (build_stop(gang, worker),)
    reserved = gang.reserved_workers | {worker}
    gang = dataclasses.replace(gang, reserved_workers=reserved)
    if gang.phase is not Phase.RESERVING or reserved != gang.workers:
        return gang, ()
    unstarted_workers = sorted(gang.workers - gang.started_workers)
    commands = tuple(
        Command(name, build_start(gang)) for name in unstarted_workers
    )
    phase = Phase.STARTING if unstarted_workers else Phase.RUNNING
    return dataclasses.replace(gang, phase=phase), commands


def record_started(gang: Gang, worker: str) -> Transition:
    """Record that a worker runs its task."""
    gang = dataclasses.replace(
        gang, started_workers=gang.started_workers | {worker}
    )
    gang, commands = record_reserved(gang, worker)
    if gang.phase is Phase.STARTING and gang.started_workers == gang.workers:
        gang = dataclasses.replace(gang, phase=Phase.RUNNING)
    return gang, commands


def record_finished(
    gang: Gang, worker: str, ok: bool, result: str
) -> Transition:
    """Record the end of a worker's task.

    The attempt ends at the first failure, or when all tasks have succeeded.
    """
    gang = dataclasses.replace(
        gang, holding_workers=gang.holding_workers - {worker}
    )
    if gang.phase is Phase.ENDING:
        return _end_if_released(gang), ()
    if not ok:
        return end_gang(gang, EndReason.FAILED, result, worker)
    others = tuple(pair for pair in gang.results if pair[0] != worker)
    results = tuple(sorted((*others, (worker, result))))
    gang = dataclasses.replace(gang, results=results)
    if len(results) < len(gang.members):
        # Other members still run; this one counts as reserved and started.
        gang, commands = record_started(gang, worker)
        return gang, commands
    return end_gang(gang, EndReason.SUCCEEDED)


def record_released(
    gang: Gang, worker: str, end_reason: EndReason, detail: str
) -> Transition:
    """Record that a worker certainly holds no task of the attempt any more."""
    gang = dataclasses.replace(
        gang, holding_workers=gang.holding_workers - {worker}
    )
    if gang.phase is Phase.ENDED:
        return gang, ()
    if gang.phase is Phase.ENDING:
        return _end_if_released(gang), ()
    if any(name == worker for name, _ in gang.results):
        return gang, ()
    return end_gang(gang, end_reason, detail, worker)


def end_gang(
    gang: Gang,
    end_reason: EndReason,
    detail: str = "",
    failed_worker: str = "",
) -> Transition:
    """End the attempt and stop all members that may still hold a task."""
    if gang.phase in (Phase.ENDING, Phase.ENDED):
        return gang, ()
    gang = dataclasses.replace(
        gang,
        phase=Phase.ENDING,
        end_reason=end_reason,
        detail=detail,
        failed_worker=failed_worker,
    )
    commands = tuple(
        build_stop(gang, name) for name in sorted(gang.holding_workers)
    )
    return _end_if_released(gang), commands


def withhold_starts(transition: Transition) -> Transition:
    """End an attempt that would reserve or start a task, instead of doing so.

    Its tasks that run already are stopped: a part of a gang can't go on alone.
    """
    gang, commands = transition
    sent_types = {type(command.message) for command in commands}
    if messages.Reserve in sent_types:
        # No worker has been asked yet.
        gang = dataclasses.replace(gang, holding_workers=frozenset())
    elif messages.Start not in sent_types:
        return transition
    return end_gang(gang, EndReason.CLOSED, "the data centre is closed")


def build_stop(gang: Gang, worker: str) -> Command:
    """Build the command that stops one worker's task."""
    checkpoint = gang.end_reason is EndReason.RECLAIMED
    return Command(worker, messages.Stop(gang.job_id, gang.attempt, checkpoint))


def _end_if_released(gang: Gang) -> Gang:
    """Set the phase to ended if no worker holds a task any more."""
    if gang.holding_workers:
        return gang
    return dataclasses.replace(gang, phase=Phase.ENDED)


def build_start(gang: Gang) -> messages.Start:
    """Build the message that starts a member's task."""
    return messages.Start(
        gang.job_id,
        gang.attempt,
        gang.spec.kind,
        gang.spec.payload,
        gang.spec.run_time_s,
    )
