"""Weights and limits by which the planner orders and preempts steps."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlannerPolicy:
    """All weights and limits of the planner.

    docs/design/steps.md compares other values.

    Attributes:
        rack_patience: Multiple of the expected run time that a step waits for
            its rack while more than half of the pool is in use. Outside its
            rack a task takes three times as long and holds its room as long, at
            the expense of all waiting work.
        idle_rack_patience: The same while no other work needs the room, or
            where no rack is large enough: after waiting for twice the expected
            run time, the step itself can no longer end earlier by waiting.
        guaranteed_rack_patience_s: Limit of that wait in seconds for guaranteed
            work, which must have started 2.7 s after its acceptance, including
            the time for stops.
        max_holding_steps: Maximum number of unplaced steps that hold workers.
        late_factor: A result has no value after this multiple of the objective;
            later work goes last.
        loss_factor: Work of the first priority beyond its guarantee may destroy
            this multiple of its own core-seconds of other work. It is worth
            four times as much as what it stops and has no slack.
        second_loss_factor: The same for the second priority: almost nothing, so
            that only work that resumes from a checkpoint makes room.
        hold_back_s: After the first priority had to stop other work, nothing of
            lower priority starts for this long unless it is late. More urgent
            work is likely to follow, and would stop it again.
        max_stops: Number of stops of a task for other jobs after which only a
            guaranteed claim may stop it again.
        max_delay_s: A step of a job none of whose tasks run waits for a better
            place, or for the sake of other steps, no longer than this while
            there is room for it twice over. Callers are promised 3 s, which
            includes the decision, and a start that is rejected and repeated.
            Trials of suspected tasks are not limited.
    """

    rack_patience: float = 5.0
    idle_rack_patience: float = 2.0
    guaranteed_rack_patience_s: float = 1.6
    max_holding_steps: int = 3
    late_factor: float = 3.0
    loss_factor: float = 2.0
    second_loss_factor: float = 0.05
    hold_back_s: float = 2.0
    max_stops: int = 3
    max_delay_s: float = 2.0

    def find_loss_factor(self, priority: int) -> float:
        """Return the loss factor of a priority; 0 if it may stop nothing.

        >>> PlannerPolicy().find_loss_factor(2)
        0.0
        """
        if priority == 0:
            return self.loss_factor
        return self.second_loss_factor if priority == 1 else 0.0
