"""A gang: one attempt of a job, whole or not at all.

The owner reserves on every member, starts only when all hold, and renews all
or none. A member that is lost ends the attempt: the others are stopped, and
the attempt counts as ended only when each member has said so or its lease has
lapsed. Only then may the next attempt begin, so two attempts never overlap.

The functions take a gang and an event and return the gang after it, with the
commands to send. They hold no clock and do no I/O.
"""

import dataclasses
import enum

from crocusrouter.fleet import messages
from crocusrouter.jobs import model


class Phase(enum.StrEnum):
    """Where an attempt stands."""

    WAITING = "waiting"  # for loans on its accelerators to stop
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    ENDING = "ending"
    ENDED = "ended"


class End(enum.StrEnum):
    """Why an attempt ends."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"  # a task failed
    LOST = "lost"  # a member's worker is gone or lost the task
    DECLINED = "declined"  # a worker would not hold it
    RECLAIMED = "reclaimed"  # its loan was taken back
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Gang:
    """One attempt and what is known of its members.

    Attributes:
        job_id: The job.
        attempt: The attempt's number.
        spec: What the tasks run.
        members: All members.
        phase: Where the attempt stands.
        victims: Jobs that must stop before the reservation.
        reserved: Workers that hold their reservation or more.
        started: Workers whose task runs or ended.
        results: Results of the tasks that ended well, by worker.
        held: Workers that may still hold something.
        end: Why it ends, once it does.
        detail: What the failing worker said.
        culprit: The worker that ended it.
    """

    job_id: str
    attempt: int
    spec: model.Spec
    members: tuple[model.Member, ...]
    phase: Phase = Phase.WAITING
    victims: frozenset[str] = frozenset()
    reserved: frozenset[str] = frozenset()
    started: frozenset[str] = frozenset()
    results: tuple[tuple[str, str], ...] = ()
    held: frozenset[str] = frozenset()
    end: End | None = None
    detail: str = ""
    culprit: str = ""

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


Step = tuple[Gang, tuple[Command, ...]]


def open_gang(job: model.Job, victims: frozenset[str]) -> Gang:
    """Return the gang of a job's new attempt, which waits for `victims`."""
    return Gang(job.id, job.attempt, job.spec, job.members, victims=victims)


def recover_gang(job: model.Job) -> Gang:
    """Return the gang of an attempt that an earlier owner began.

    Nobody knows how far it got, so every member may hold something; the
    workers' inventories tell.
    """
    workers = frozenset(member.worker for member in job.members)
    return Gang(
        job.id,
        job.attempt,
        job.spec,
        job.members,
        phase=Phase.RESERVING,
        held=workers,
    )


def release_victim(gang: Gang, job_id: str) -> Step:
    """Note that a loan in the way has stopped; reserve when none is left."""
    rest = gang.victims - {job_id}
    gang = dataclasses.replace(gang, victims=rest)
    if rest or gang.phase is not Phase.WAITING:
        return gang, ()
    return reserve_all(gang)


def reserve_all(gang: Gang) -> Step:
    """Ask every member's worker to hold its accelerators."""
    commands = tuple(
        Command(m.worker, messages.Reserve(gang.job_id, gang.attempt, m.mask))
        for m in gang.members
    )
    changed = dataclasses.replace(
        gang, phase=Phase.RESERVING, held=gang.workers
    )
    return changed, commands


def note_reserved(gang: Gang, worker: str) -> Step:
    """Note a held reservation; start all members when it was the last.

    Starting before all hold would let a part of the gang run alone whenever
    the last worker declines.
    """
    if gang.phase is Phase.ENDING:
        return gang, (stop_member(gang, worker),)
    reserved = gang.reserved | {worker}
    gang = dataclasses.replace(gang, reserved=reserved)
    if gang.phase is not Phase.RESERVING or reserved != gang.workers:
        return gang, ()
    waiting = sorted(gang.workers - gang.started)
    commands = tuple(Command(name, build_start(gang)) for name in waiting)
    phase = Phase.STARTING if waiting else Phase.RUNNING
    return dataclasses.replace(gang, phase=phase), commands


def note_started(gang: Gang, worker: str) -> Step:
    """Note that a member runs."""
    gang = dataclasses.replace(gang, started=gang.started | {worker})
    gang, commands = note_reserved(gang, worker)
    if gang.phase is Phase.STARTING and gang.started == gang.workers:
        gang = dataclasses.replace(gang, phase=Phase.RUNNING)
    return gang, commands


def note_finished(gang: Gang, worker: str, ok: bool, result: str) -> Step:
    """Note a member's end; one failure ends the attempt, all successes too."""
    gang = dataclasses.replace(gang, held=gang.held - {worker})
    if gang.phase is Phase.ENDING:
        return _check_ended(gang), ()
    if not ok:
        return end_gang(gang, End.FAILED, result, worker)
    others = tuple(pair for pair in gang.results if pair[0] != worker)
    results = tuple(sorted((*others, (worker, result))))
    gang = dataclasses.replace(gang, results=results)
    if len(results) < len(gang.members):
        # The others still run; this member counts as reserved and started.
        gang, commands = note_started(gang, worker)
        return gang, commands
    return end_gang(gang, End.SUCCEEDED)


def note_gone(gang: Gang, worker: str, end: End, detail: str) -> Step:
    """Note that a worker certainly holds nothing of this attempt any more."""
    gang = dataclasses.replace(gang, held=gang.held - {worker})
    if gang.phase is Phase.ENDED:
        return gang, ()
    if gang.phase is Phase.ENDING:
        return _check_ended(gang), ()
    if any(name == worker for name, _ in gang.results):
        return gang, ()
    return end_gang(gang, end, detail, worker)


def end_gang(gang: Gang, end: End, detail: str = "", culprit: str = "") -> Step:
    """End the attempt: stop whatever members still hold."""
    if gang.phase in (Phase.ENDING, Phase.ENDED):
        return gang, ()
    gang = dataclasses.replace(
        gang, phase=Phase.ENDING, end=end, detail=detail, culprit=culprit
    )
    commands = tuple(stop_member(gang, name) for name in sorted(gang.held))
    return _check_ended(gang), commands


def stop_member(gang: Gang, worker: str) -> Command:
    """Build the command that stops one member."""
    checkpoint = gang.end is End.RECLAIMED
    return Command(worker, messages.Stop(gang.job_id, gang.attempt, checkpoint))


def _check_ended(gang: Gang) -> Gang:
    if gang.held:
        return gang
    return dataclasses.replace(gang, phase=Phase.ENDED)


def build_start(gang: Gang) -> messages.Start:
    """Build the start of a member's task."""
    return messages.Start(
        gang.job_id,
        gang.attempt,
        gang.spec.kind,
        gang.spec.payload,
        gang.spec.run_time_s,
    )
