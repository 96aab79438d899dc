"""Commands that wait until their job's last change is durable."""

from collections.abc import Callable
from collections.abc import Iterable

from crocusrouter.jobs import gang


class Outbox:
    """Holds a job's commands back while a change of it is being journaled.

    A command sent earlier could reach a worker just before its owner dies.
    The successor, which knows only the journal, would then start a second
    attempt beside the first. Commands of other jobs aren't delayed, so an
    attempt can be stopped even while the key-value service is away.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[gang.Command]] = {}

    def admit(
        self,
        commands: Iterable[gang.Command],
        is_pending: Callable[[str], bool],
    ) -> list[gang.Command]:
        """Return the commands that may be sent now; keep the others.

        Args:
            commands: New commands, in order.
            is_pending: Tells whether a job's last change is not yet durable.
        """
        ready = []
        for command in commands:
            job_id = command.message.job_id
            if is_pending(job_id):
                self._held.setdefault(job_id, []).append(command)
            else:
                ready.append(command)
        return ready

    def release(self, job_id: str) -> list[gang.Command]:
        """Return what waited for a job that is now durable."""
        return self._held.pop(job_id, [])
