"""Jobs as callers ask for them, at any entry.

The owner of a job's data centre answers. Another entry hands the question on
over the mesh, once; it never decides itself.
"""

from collections.abc import Callable
from typing import Any

from crocusrouter import codec
from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import mesh
from crocusrouter.controllers import configuration as configurations
from crocusrouter.controllers import owner as owners
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason

_CALL_TIMEOUT_S = 4.0
_OWNER_RETRY_S = 1.0


class JobDesk:
    """Finds the owner of a job and asks it."""

    def __init__(
        self,
        configuration: configurations.Configuration,
        owned: dict[str, owners.Owner],
        find_link: Callable[[str], mesh.PeerLink | None],
        find_fleet: Callable[[], fleet.Fleet],
    ) -> None:
        """Connect the desk.

        Args:
            configuration: Tells who owns which data centre.
            owned: Owners in this process, by data centre.
            find_link: Returns the link to a peer by name.
            find_fleet: Returns the fleet as known.
        """
        self._configuration = configuration
        self._owned = owned
        self._find_link = find_link
        self._find_fleet = find_fleet

    def choose_data_centre(self, customer: str, key: str) -> str | None:
        """Choose where a job without a wanted data centre goes."""
        known = fleet.list_data_centres(self._find_fleet())
        if not known:
            return None
        return jobs.choose_data_centre(known, customer, key)

    async def ask(self, data_centre: str, message: object) -> Any | Refusal:
        """Ask the owner of a data centre, here or at a peer."""
        held = self._owned.get(data_centre)
        if held is not None and held.is_ready:
            return await self.answer_here(held, message)
        name = self._configuration.find_owner(data_centre)
        link = self._find_link(name)
        if link is None:
            detail = f"data centre {data_centre}"
            return Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_S
            )
        try:
            reply = await link.call(message, _CALL_TIMEOUT_S)
        except mesh.PeerUnreachableError as error:
            detail = f"entry {name}: {error}"
            return Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_S
            )
        if isinstance(reply, messages.RefusalReply):
            reason = RefusalReason(reply.reason)
            return Refusal(reason, reply.detail, reply.retry_after_s)
        return reply

    async def answer_peer(self, data_centre: str, message: object) -> object:
        """Answer a peer that believes that this entry is the owner."""
        held = self._owned.get(data_centre)
        if held is None or not held.is_ready:
            detail = f"this entry doesn't own {data_centre}"
            answer: object = Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_S
            )
        else:
            answer = await self.answer_here(held, message)
        if isinstance(answer, Refusal):
            return messages.RefusalReply(
                str(answer.reason), answer.detail, answer.retry_after_s
            )
        return answer

    async def answer_here(
        self, held: owners.Owner, message: object
    ) -> Any | Refusal:
        """Answer as the owner."""
        match message:
            case messages.SubmitJob(data):
                job: jobs.Job = codec.unpack(jobs.Job, data)
                outcome = await held.submit(job)
                return self._show(held, outcome)
            case messages.CancelJob(customer, job_id):
                outcome = await held.cancel(customer, job_id)
                return self._show(held, outcome)
            case messages.FindJob(customer, job_id):
                return held.show(customer, job_id)
            case messages.ListJobs(customer, _):
                return messages.JobViews(held.list_views(customer))
            case _:
                raise TypeError(f"no answer to {type(message).__name__}")

    def _show(
        self, held: owners.Owner, outcome: jobs.Job | Refusal
    ) -> Any | Refusal:
        if isinstance(outcome, Refusal):
            return outcome
        return held.show(outcome.customer, outcome.id)
