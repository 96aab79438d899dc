"""Workers as the owner of their data centre sees them."""

import dataclasses

from crocusrouter.jobs import quarantine


@dataclasses.dataclass
class Worker:
    """State of a worker as its owner knows it.

    Attributes:
        name: Name of the worker.
        rack: Rack of the worker.
        accelerators: Number of its accelerators.
        inventory_known: Whether it has sent this owner its inventory of
            tasks. Until then nothing is placed on it, because tasks of an
            earlier owner may still run there.
        live: Whether the VM list shows it as live, so it isn't leaving.
        stray_masks: Accelerators of tasks that it holds but that belong to no
            gang, by job id and attempt.
        failure_history: Failures that count against it.
    """

    name: str
    rack: str
    accelerators: int
    inventory_known: bool = False
    live: bool = True
    stray_masks: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    failure_history: quarantine.FailureHistory = dataclasses.field(
        default_factory=quarantine.FailureHistory
    )
