"""Speeds of workers, estimated from the relative progress of their runs."""

from collections.abc import Iterable
import dataclasses

from crocusrouter.work import tracking


@dataclasses.dataclass(frozen=True)
class SpeedEstimate:
    """The persistent speed of one incarnation of a worker.

    Attributes:
        worker_id: Id of the incarnation.
        speed: Multiple of the speed for which run times are declared.
        runs: Number of different runs that the estimate is based on.
        since: Steady time in seconds of the first of them.
    """

    worker_id: str
    speed: float
    runs: int
    since: float


@dataclasses.dataclass(frozen=True)
class SpeedChange:
    """A change of an estimate that operators should see.

    Attributes:
        worker_id: Id of the incarnation.
        before: The speed that was last reported; None for the first estimate.
        after: The speed now.
        runs: Number of different runs that the estimate is based on.
        since: Steady time in seconds of the first of them.
    """

    worker_id: str
    before: float | None
    after: float
    runs: int
    since: float


@dataclasses.dataclass(frozen=True)
class SpeedGroups:
    """A split of the workers with an estimate into two groups.

    Attributes:
        fast: Ids of the fast incarnations; empty if there are no groups.
        slow: Ids of the slow incarnations; empty if there are no groups.
        fast_speed: Median speed of the fast group.
        slow_speed: Median speed of the slow group.
    """

    fast: frozenset[str] = frozenset()
    slow: frozenset[str] = frozenset()
    fast_speed: float = 1.0
    slow_speed: float = 1.0

    @property
    def is_split(self) -> bool:
        """Whether the workers form two groups."""
        return bool(self.fast)


class WorkerSpeeds:
    """Estimates of the speeds of a pool's workers."""

    def observe(
        self,
        run: tracking.Run,
        tracked_step: tracking.TrackedStep,
        members: Iterable[tracking.Run],
        now: float,
    ) -> None:
        """Update the estimates after a report of a run.

        Args:
            run: The run, already updated from the report.
            tracked_step: Its step.
            members: All runs of the step.
            now: Steady time in seconds.
        """

    def forget(self, worker_id: str) -> None:
        """Remove the estimate of an incarnation that is gone."""

    def find_speed(self, worker_id: str) -> float | None:
        """Return the estimated speed of a worker; None if it has none."""
        return None

    def is_slowed(self, worker_id: str, now: float) -> bool:
        """Tell whether a worker runs below its own speed for a while."""
        return False

    def find_groups(self) -> SpeedGroups:
        """Return the groups of workers of like speed."""
        return SpeedGroups()

    def list_estimates(self) -> list[SpeedEstimate]:
        """Return all estimates."""
        return []

    def restore(self, estimates: Iterable[SpeedEstimate]) -> None:
        """Add estimates of an earlier owner as weak ones."""

    def take_changes(self) -> list[SpeedChange]:
        """Return and clear the changes that have not been returned yet."""
        return []
