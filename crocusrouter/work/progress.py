"""Progress of a job that has started, as the journal keeps it.

Only ends of runs are kept. The workers themselves know what is running, and a
new owner asks them, so a start needs no write to the journal.
"""

import dataclasses
from typing import Any
from typing import NamedTuple

import cbor2

from crocusrouter.work import model

# Number of worker crashes, early or late, after which a task starts alone.
_CRASHES_TO_SUSPECT = 3
# Numbers of worker crashes after which a task does not start again: crashes
# right after its start, and crashes at any time. The first crash may have been
# caused by another task, by the worker itself or by a lost connection. The next
# two happen during trials, so an innocent task would have to meet two more
# crashes within seconds of its starts. Crashes that have another likely cause
# are not among these numbers.
_MAX_EARLY_CRASHES = 3
_MAX_CRASHES = 4
# The same numbers if crashes that have another likely cause are counted too.
# The users allow two more starts after the third crash that a task has caused,
# and one crash may go unnoticed.
_MAX_EARLY_CRASHES_OF_ANY_CAUSE = 4
_MAX_CRASHES_OF_ANY_CAUSE = 5
# Number of starts of a gang that ended with a crash, under any of its members,
# after which a gang with a suspected member does not start again.
_MAX_CRASHED_GANG_STARTS = 5


class Crash(NamedTuple):
    """A crash of a worker during a run.

    Attributes:
        run: Number of the run.
        early: Whether the crash came right after the start, and no task of the
            step has been seen to work since.
    """

    run: int
    early: bool


@dataclasses.dataclass
class StepProgress:
    """Progress of one step of one occurrence.

    Attributes:
        done: Indices of tasks that succeeded.
        failed_runs: Numbers of the runs that failed, by index of the task; a
            gang's under index 0. Numbers instead of a count, because a worker
            lists an end until it is confirmed, and a new owner may read an end
            that is journaled already. If it counted twice, a job would fail
            before it has used up its attempts.
        checkpoints: Latest checkpoint by index of the task; a gang's under
            index 0.
        crashes: Worker crashes by index of the task that ran there, also for
            gangs, whose other members only ended as a consequence. A new owner
            that did not know of them would start the task as many times again.
        explained_runs: Numbers of the runs in `crashes` whose worker's crash
            has another likely cause than the task, by index of the task.
        stopped_runs: Numbers of the runs that were ordered to stop for another
            job, by index of the task; a gang's under index 0. With numbers
            instead of a count, the members of a gang count once, and a new
            owner does not count a stop that was not carried out.
        held: Pools that may still run tasks which they started before the job
            moved, by index of the task. Only such a pool may remove its tasks.
    """

    done: set[int] = dataclasses.field(default_factory=set)
    failed_runs: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    checkpoints: dict[int, str] = dataclasses.field(default_factory=dict)
    crashes: dict[int, list[Crash]] = dataclasses.field(default_factory=dict)
    explained_runs: dict[int, set[int]] = dataclasses.field(
        default_factory=dict
    )
    stopped_runs: dict[int, set[int]] = dataclasses.field(default_factory=dict)
    held: dict[int, str] = dataclasses.field(default_factory=dict)

    @property
    def is_suspect(self) -> bool:
        """Whether its tasks must start one by one, each alone on a worker."""
        return any(
            len(crashes) >= _CRASHES_TO_SUSPECT
            or any(crash.early for crash in crashes)
            for crashes in self.crashes.values()
        )

    def has_crashed_too_often(
        self,
        index: int,
        *,
        is_gang: bool = False,
        is_lasting: bool = False,
        counts_explained: bool = False,
    ) -> bool:
        """Tell whether a task has met too many crashes to start again.

        Args:
            index: Index of the task.
            is_gang: Whether the tasks start together. A crash under any of them
                then costs the others a start as well.
            is_lasting: Whether the tasks run until the job is cancelled. Only
                crashes right after a start count against those: any worker
                crashes at last under a task that runs for ever.
            counts_explained: Whether crashes with another likely cause count
                like the others.
        """
        crashes = self.crashes.get(index, [])
        explained_runs = (
            set() if counts_explained else self.explained_runs.get(index, set())
        )
        unexplained_crashes = [
            crash for crash in crashes if crash.run not in explained_runs
        ]
        if (
            _count_early(unexplained_crashes) >= _MAX_EARLY_CRASHES
            or _count_early(crashes) >= _MAX_EARLY_CRASHES_OF_ANY_CAUSE
        ):
            return True
        if not is_lasting and (
            len(unexplained_crashes) >= _MAX_CRASHES
            or len(crashes) >= _MAX_CRASHES_OF_ANY_CAUSE
        ):
            return True
        return (
            is_gang
            and self.is_on_last_starts
            and self._count_crashed_runs() >= _MAX_CRASHED_GANG_STARTS
        )

    def drop_holder(self, pool: str) -> None:
        """Forget which tasks a pool holds, once it is the job's home again."""
        self.held = {
            index: holder
            for index, holder in self.held.items()
            if holder != pool
        }

    def _count_crashed_runs(self) -> int:
        return len(
            {
                crash.run
                for crashes in self.crashes.values()
                for crash in crashes
            }
        )

    @property
    def is_on_last_starts(self) -> bool:
        """Whether a task has met as many crashes as usually give it up."""
        return any(
            len(crashes) >= _MAX_EARLY_CRASHES
            and any(crash.early for crash in crashes)
            for crashes in self.crashes.values()
        )


def _count_early(crashes: list[Crash]) -> int:
    return sum(crash.early for crash in crashes)


@dataclasses.dataclass
class Progress:
    """Progress of one job.

    Attributes:
        steps: Progress by occurrence and index of the step.
        final_state: Final state of the job; None while it has none.
        finished_at: Unix time in seconds at which the job ended.
        home: The pool that schedules the job; empty if it has never moved.
        moves: How many times the job has moved to another pool.
        was_started: Whether a task had started when a moved job was journaled.
    """

    steps: dict[tuple[int, int], StepProgress] = dataclasses.field(
        default_factory=dict
    )
    final_state: model.State | None = None
    finished_at: float = 0.0
    home: str = ""
    moves: int = 0
    was_started: bool = False

    @property
    def has_started(self) -> bool:
        """Whether a task has started, as far as the journal tells."""
        if self.final_state is not None:
            return True
        return self.was_started if self.home else bool(self.steps)

    def get(self, occurrence: int, step: int) -> StepProgress:
        """Return the progress of a step, adding an empty one if necessary."""
        return self.steps.setdefault((occurrence, step), StepProgress())


def dump_progress(progress: Progress) -> bytes:
    """Encode progress for the store.

    >>> done = Progress(final_state=model.State.DONE)
    >>> parse_progress(dump_progress(done)).final_state
    <State.DONE: 'done'>
    """
    steps = (
        []
        if progress.final_state is not None
        else [
            [
                occurrence,
                step,
                sorted(step_progress.done),
                step_progress.failed_runs,
                step_progress.checkpoints,
                {
                    index: list(map(list, step_progress.crashes[index]))
                    for index in step_progress.crashes
                },
                _dump_runs(step_progress.explained_runs),
                _dump_runs(step_progress.stopped_runs),
                *([step_progress.held] if step_progress.held else []),
            ]
            for (occurrence, step), step_progress in progress.steps.items()
        ]
    )
    final = (
        str(progress.final_state) if progress.final_state is not None else None
    )
    moved_columns = (
        [progress.home, progress.moves, progress.was_started]
        if progress.home
        else []
    )
    return cbor2.dumps([final, progress.finished_at, steps, *moved_columns])


def _dump_runs(runs_by_index: dict[int, set[int]]) -> dict[int, list[int]]:
    return {index: sorted(runs) for index, runs in runs_by_index.items()}


def parse_progress(data: bytes) -> Progress:
    """Decode what `dump_progress` encoded.

    Raises:
        ValueError: The bytes are not a progress record.
    """
    try:
        final, finished_at, steps, *moved_columns = cbor2.loads(data)
        return Progress(
            {
                (occurrence, step): StepProgress(
                    set(done),
                    dict(failed),
                    dict(saved),
                    _parse_crashes(later_columns),
                    _parse_runs(later_columns, 1),
                    _parse_runs(later_columns, 2),
                    _parse_held(later_columns),
                )
                for (
                    occurrence,
                    step,
                    done,
                    failed,
                    saved,
                    *later_columns,
                ) in steps
            },
            model.State(final) if final is not None else None,
            finished_at,
            *moved_columns,
        )
    except (cbor2.CBORDecodeError, AttributeError, TypeError) as error:
        raise ValueError(f"not a progress record: {error}") from error


def _parse_crashes(columns: list[Any]) -> dict[int, list[Crash]]:
    """Decode crashes by index; records of an earlier version have none."""
    if not columns:
        return {}
    return {
        index: [Crash(*crash) for crash in crashes]
        for index, crashes in columns[0].items()
    }


def _parse_runs(columns: list[Any], position: int) -> dict[int, set[int]]:
    """Decode runs by index; records of an earlier version have none."""
    if len(columns) <= position:
        return {}
    return {index: set(runs) for index, runs in columns[position].items()}


def _parse_held(columns: list[Any]) -> dict[int, str]:
    """Decode the pools that hold tasks; most records have none."""
    return dict(columns[3]) if len(columns) > 3 else {}
