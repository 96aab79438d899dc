"""Draws the jobs of a day from a seed, in the mix that the users describe."""

import dataclasses
import random

from crocusrouter import work
from standins.emulator import cluster
from standins.emulator import worker

_WALL_CLOCK_START_S = 1_700_000_000.0
# Labels in a cluster of six workers: of all of them, and of each rack.
_LABELS = ("a", "r0-0", "r0-1")
_LONGEST_CANCEL_DELAYS_S = (0.0, 0.3, 3.0, 8.0)
_RACKS = ("r0-0", "r0-1")


@dataclasses.dataclass(frozen=True)
class Load:
    """The rate and the mix of submitted jobs.

    Attributes:
        per_s: Jobs a second.
        length_s: How long jobs are submitted.
        gangs: Share of jobs whose first step is a gang.
        poison: Share of jobs whose tasks always fail.
        advised: Share of jobs whose workers the policy service chooses.
        crashing: Share of jobs whose tasks crash each worker they start on.
        restricted: Share of jobs that require a label and, unless they have a
            gang, at most one task of a step on a worker.
        cancels: Share of jobs that their callers cancel once accepted, at once
            or within seconds.
        duration_factor: Multiplies the durations of all tasks.
        lasting: Share of the cancelled jobs without gangs whose first tasks run
            until the cancel.
        lasting_s: By how many seconds the cancels of such jobs come later.
        racks: Share of the steps without a gang whose data is on a rack.
        whole_gangs: Share of the gangs that take whole workers, of one rack if
            it is large enough.
        whole_gang_members: How many members these gangs have.
    """

    per_s: float = 1.0
    length_s: float = 20.0
    gangs: float = 0.4
    poison: float = 0.05
    advised: float = 0.0
    crashing: float = 0.0
    restricted: float = 0.0
    cancels: float = 0.0
    duration_factor: float = 1.0
    lasting: float = 0.0
    lasting_s: float = 0.0
    racks: float = 0.0
    whole_gangs: float = 0.0
    whole_gang_members: int = 4

    def draw(self, seed: int) -> list[tuple[float, work.Job]]:
        """Return jobs with the times at which they are submitted."""
        rng = random.Random(seed)
        jobs: list[tuple[float, work.Job]] = []
        at = 0.5
        while at < self.length_s:
            jobs.append((at, self._draw_job(rng, len(jobs), at)))
            at += rng.expovariate(self.per_s)
        return self._make_lasting(seed, self._change_shapes(seed, jobs))

    def draw_cancels(
        self, seed: int, jobs: list[tuple[float, work.Job]]
    ) -> dict[str, float]:
        """Return how many seconds after its acceptance each job is cancelled.

        Args:
            seed: Seed of the draws.
            jobs: The jobs that `draw` has returned.

        Returns:
            The delays by job id; jobs that aren't cancelled are left out.
        """
        # The draws are independent of those of the jobs.
        rng = random.Random(f"cancels {seed}")
        return {
            job.id: rng.uniform(0.0, rng.choice(_LONGEST_CANCEL_DELAYS_S))
            + (self.lasting_s if job.steps[0].lasting else 0.0)
            for _, job in jobs
            if rng.random() < self.cancels
        }

    def _change_shapes(
        self, seed: int, jobs: list[tuple[float, work.Job]]
    ) -> list[tuple[float, work.Job]]:
        """Place data of steps on racks, and let gangs take whole workers."""
        rng = random.Random(f"shapes {seed}")
        return [
            (
                at,
                dataclasses.replace(
                    job,
                    steps=tuple(
                        self._change_shape(step, rng) for step in job.steps
                    ),
                ),
            )
            for at, job in jobs
        ]

    def _change_shape(self, step: work.Step, rng: random.Random) -> work.Step:
        if not step.gang:
            rack = rng.choice(_RACKS)
            has_data = rng.random() < self.racks
            return dataclasses.replace(step, rack=rack) if has_data else step
        if rng.random() >= self.whole_gangs:
            return step
        return dataclasses.replace(
            step,
            count=self.whole_gang_members,
            room=step.room._replace(
                accelerators=cluster.WORKER_ROOM.accelerators
            ),
            one_rack=True,
        )

    def _make_lasting(
        self, seed: int, jobs: list[tuple[float, work.Job]]
    ) -> list[tuple[float, work.Job]]:
        """Let the first tasks of some of the cancelled jobs last."""
        rng = random.Random(f"lasting {seed}")
        cancelled_ids = self.draw_cancels(seed, jobs).keys()
        return [
            (at, _make_first_step_last(job))
            if job.id in cancelled_ids
            and not job.steps[0].gang
            and rng.random() < self.lasting
            else (at, job)
            for at, job in jobs
        ]

    def _draw_job(self, rng: random.Random, number: int, at: float) -> work.Job:
        priority = rng.choice((0, 1, 1, 2))
        is_gang = rng.random() < self.gangs
        steps = [self._draw_step(rng, is_gang, ())]
        if rng.random() < 0.3:
            steps.append(self._draw_step(rng, False, (0,)))
        if self.restricted > 0 and rng.random() < self.restricted:
            # A gang may have more members than a rack has workers.
            label = "a" if is_gang else rng.choice(_LABELS)
            most_per_worker = 0 if is_gang else 1
            steps = [
                dataclasses.replace(
                    step, label=label, per_worker=most_per_worker
                )
                for step in steps
            ]
        payload = f"job {number}"
        if rng.random() < self.poison:
            payload = "poison"
        occurrences = 3 if rng.random() < 0.1 else 0
        # No random number is used if the share is 0, so that days without such
        # jobs stay the same.
        if self.crashing > 0 and rng.random() < self.crashing:
            payload = worker.CRASHING
        return work.Job(
            f"{rng.getrandbits(64):016x}",
            "q",
            cluster.POOL,
            rng.choice(("a", "b")),
            priority,
            3,
            2.0,
            1.0,
            payload,
            tuple(steps),
            _WALL_CLOCK_START_S + at,
            occurrences,
            _WALL_CLOCK_START_S + at + 1.0,
            2.0,
            advised=self.advised > 0 and rng.random() < self.advised,
        )

    def _draw_step(
        self, rng: random.Random, is_gang: bool, after: tuple[int, ...]
    ) -> work.Step:
        room = work.Room(
            rng.choice((1000, 3700, 13000)),
            rng.choice((4096, 15000)),
            rng.choice((1, 1, 2, 4, 8)),
        )
        count = rng.randint(2, 4) if is_gang else rng.randint(1, 6)
        return work.Step(
            count,
            room,
            rng.uniform(0.5, 4.0) * self.duration_factor,
            after,
            is_gang,
            one_rack=is_gang and rng.random() < 0.5,
        )


def _make_first_step_last(job: work.Job) -> work.Job:
    """Return a job whose first tasks last."""
    first_step = dataclasses.replace(job.steps[0], lasting=True)
    return dataclasses.replace(job, steps=(first_step, *job.steps[1:]))
