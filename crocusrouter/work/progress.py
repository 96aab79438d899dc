"""What the journal keeps of a job that has begun.

Only ends are kept. What runs is known to the workers themselves: a successor
asks them. So a start costs no write.
"""

import dataclasses
from typing import NamedTuple

import cbor2

from crocusrouter.work import model

# Crashes of workers at any time after which a task starts alone.
_CRASHES_TO_SUSPECT = 3
# Crashes that give a task up: right after its start, and at any time. One may
# come beside a task that crashes its worker, be a cut, or be the worker's own;
# the next two are trials, in which an innocent task would have to meet two more
# within seconds of its start.
_MOST_EARLY_CRASHES = 3
_MOST_CRASHES = 4


class Crash(NamedTuple):
    """A worker that has crashed under a run.

    Attributes:
        run: Number of the run.
        early: Whether that was right after its start, and no task of its step
            has been seen to work since.
    """

    run: int
    early: bool


@dataclasses.dataclass
class StepProgress:
    """What has ended of one step of one occurrence.

    Attributes:
        done: Indices of tasks that ended well.
        failed: Numbers of the runs that failed, by index; a gang's under
            index 0. Numbers rather than a count: a worker lists an end until
            it is confirmed, and a successor may read one that is journaled
            already; counted twice, a job would fail before its attempts are
            spent.
        saved: Latest checkpoint by index; a gang's under index 0.
        crashes: Crashes of workers by index of the task that ran there, in a
            gang too: the others only broke with it. A successor that did not
            know them would start the task as often again.
    """

    done: set[int] = dataclasses.field(default_factory=set)
    failed: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    saved: dict[int, str] = dataclasses.field(default_factory=dict)
    crashes: dict[int, list[Crash]] = dataclasses.field(default_factory=dict)

    @property
    def is_suspect(self) -> bool:
        """Whether its tasks must start one by one, each alone on a worker."""
        return any(
            len(found) >= _CRASHES_TO_SUSPECT
            or any(crash.early for crash in found)
            for found in self.crashes.values()
        )

    def is_given_up(self, index: int) -> bool:
        """Tell whether a task must not start again after so many crashes."""
        found = self.crashes.get(index, [])
        early = sum(crash.early for crash in found)
        return early >= _MOST_EARLY_CRASHES or len(found) >= _MOST_CRASHES


@dataclasses.dataclass
class Progress:
    """What has ended of one job.

    Attributes:
        steps: By occurrence and step.
        final: The job's final state, once it has one.
        finished_at: Unix time in seconds of that.
    """

    steps: dict[tuple[int, int], StepProgress] = dataclasses.field(
        default_factory=dict
    )
    final: model.State | None = None
    finished_at: float = 0.0

    @property
    def is_given_up(self) -> bool:
        """Whether workers have crashed under one of its tasks too often."""
        return any(
            kept.is_given_up(index)
            for kept in self.steps.values()
            for index in kept.crashes
        )

    def get(self, occurrence: int, step: int) -> StepProgress:
        """Return one step's progress, opening it if need be."""
        return self.steps.setdefault((occurrence, step), StepProgress())


def dump_progress(progress: Progress) -> bytes:
    """Encode for the store.

    >>> parse_progress(dump_progress(Progress(final=model.State.DONE))).final
    <State.DONE: 'done'>
    """
    steps = (
        []
        if progress.final is not None
        else [
            [
                k,
                s,
                sorted(kept.done),
                kept.failed,
                kept.saved,
                {
                    index: list(map(list, kept.crashes[index]))
                    for index in kept.crashes
                },
            ]
            for (k, s), kept in progress.steps.items()
        ]
    )
    final = str(progress.final) if progress.final is not None else None
    return cbor2.dumps([final, progress.finished_at, steps])


def parse_progress(data: bytes) -> Progress:
    """Decode what `dump_progress` encoded.

    Raises:
        ValueError: The bytes are no progress record.
    """
    try:
        final, finished_at, steps = cbor2.loads(data)
        return Progress(
            {
                (k, s): StepProgress(
                    set(done),
                    dict(failed),
                    dict(saved),
                    _parse_crashes(crashes),
                )
                for k, s, done, failed, saved, *crashes in steps
            },
            model.State(final) if final is not None else None,
            finished_at,
        )
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not a progress record: {error}") from error


def _parse_crashes(
    rows: list[dict[int, list[tuple[int, bool]]]],
) -> dict[int, list[Crash]]:
    """Decode crashes by index; records of an earlier version have none."""
    if not rows:
        return {}
    return {
        index: [Crash(*crash) for crash in found]
        for index, found in rows[0].items()
    }
