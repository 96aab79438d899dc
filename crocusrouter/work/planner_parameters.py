"""The figures by which steps are ordered, placed and stopped for others."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Policy:
    """All weights and limits of the planner.

    Attributes:
        rack_patience: Expected times that a step waits for its rack while
            more than half of the pool is taken. Away from it a task takes
            three times as long and holds its room as long, at the cost of all
            that waits. Against 2, in 80 replayed days a site, the mark changed
            by -0.001, 0.003 and 0.033 (standard errors 0.003, 0.002, 0.008),
            and by 0.028 with 270 workers and a third more work than usual.
        idle_rack_patience: Likewise while nobody else needs the room, or
            where no rack is large enough: after twice the expected time
            waiting on ends no earlier for the step itself.
        guaranteed_rack_patience_s: Bound on that in seconds for guaranteed
            work, which must have begun 2.7 s after its acceptance, stops
            included.
        most_holding: Steps that find no place and hold workers, at most.
        late_factor: Benefit ends at this many times the objective; later
            work goes last.
        loss_factor: The first priority beyond its guarantee may lose others
            this many times its own core-seconds. It is worth four times as
            much as what it stops and has no slack.
        second_loss_factor: Likewise for the second priority: next to
            nothing, so that only work that goes on from a checkpoint makes
            room. In replayed days its gangs earned 2 to 3 points of 100
            more, the third priority 1 to 9 less; the whole is within the noise.
        hold_back_s: After the first priority had to stop others, nothing of
            lower priority starts for this long unless it is late. In 120
            replayed days with stops of 0.9 s, 94 runs a day were stopped
            instead of 117 and the first priority earned 0.766 instead of
            0.756 of what it was owed, the second 0.626 instead of 0.647, the
            third 0.647 instead of 0.652.
    """

    rack_patience: float = 5.0
    idle_rack_patience: float = 2.0
    guaranteed_rack_patience_s: float = 1.6
    most_holding: int = 3
    late_factor: float = 3.0
    loss_factor: float = 2.0
    second_loss_factor: float = 0.05
    hold_back_s: float = 2.0

    def find_loss_factor(self, priority: int) -> float:
        """Return what a priority may lose others; 0 if it stops nobody.

        >>> Policy().find_loss_factor(2)
        0.0
        """
        if priority == 0:
            return self.loss_factor
        return self.second_loss_factor if priority == 1 else 0.0
