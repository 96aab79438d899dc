"""What the journal keeps of a job that has begun.

Only ends are kept. What runs is known to the workers themselves: a successor
asks them. So a start costs no write.
"""

import dataclasses

import cbor2

from crocusrouter.work import model


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
    """

    done: set[int] = dataclasses.field(default_factory=set)
    failed: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    saved: dict[int, str] = dataclasses.field(default_factory=dict)


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
            [k, s, sorted(kept.done), kept.failed, kept.saved]
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
                (k, s): StepProgress(set(done), dict(failed), dict(saved))
                for k, s, done, failed, saved in steps
            },
            model.State(final) if final is not None else None,
            finished_at,
        )
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f"not a progress record: {error}") from error
