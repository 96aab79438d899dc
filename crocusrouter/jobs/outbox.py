"""Outbox: holds commands until the last change of their job is durable."""

from collections.abc import Callable
from collections.abc import Iterable

from crocusrouter.jobs import gang


class Outbox:
    """Holds a job's commands while a change of the job is being journaled.

    A command that is sent earlier could reach a worker just before its owner
    dies. The successor knows only the journal and would start a second attempt
    beside the first. Commands of other jobs aren't delayed, so an attempt can
    be stopped even while the key-value service is unavailable.
    """

    def __init__(self) -> None:
        self._held_commands: dict[str, list[gang.Command]] = {}

    def admit(
        self,
        commands: Iterable[gang.Command],
        is_pending: Callable[[str], bool],
    ) -> list[gang.Command]:
        """Return the commands that may be sent now and hold the others.

        Args:
            commands: New commands, in order.
            is_pending: Tells whether a job's last change is not yet durable.
        """
        ready = []
        for command in commands:
            job_id = command.message.job_id
            if is_pending(job_id):
                self._held_commands.setdefault(job_id, []).append(command)
            else:
                ready.append(command)
        return ready

    def release(self, job_id: str) -> list[gang.Command]:
        """Return the held commands of a job whose change is now durable."""
        return self._held_commands.pop(job_id, [])
