"""Routing of job calls: each one is answered by its data centre's owner.

Callers may send a call to any entry. An entry that doesn't own the data centre
forwards the call to the owner over the mesh. The receiving entry doesn't
forward it again.
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
_OWNER_RETRY_AFTER_S = 1.0


class JobRouter:
    """Passes job calls to the owner of their data centre."""

    def __init__(
        self,
        configuration: configurations.Configuration,
        local_owners: dict[str, owners.DataCentreOwner],
        find_link: Callable[[str], mesh.PeerLink | None],
        get_fleet: Callable[[], fleet.Fleet],
    ) -> None:
        """Create a router without state of its own.

        Args:
            configuration: Tells which entry owns which data centre.
            local_owners: Owners in this process, by data centre.
            find_link: Returns the link to a peer by the peer's name.
            get_fleet: Returns the latest VM list.
        """
        self._configuration = configuration
        self._local_owners = local_owners
        self._find_link = find_link
        self._get_fleet = get_fleet

    def choose_data_centre(self, customer: str, key: str) -> str | None:
        """Return the data centre for a job whose caller doesn't name one.

        Returns:
            None if no data centre has workers.
        """
        data_centres = fleet.list_data_centres(self._get_fleet())
        if not data_centres:
            return None
        return jobs.choose_data_centre(data_centres, customer, key)

    async def call_owner(
        self, data_centre: str, message: object
    ) -> Any | Refusal:
        """Return the answer of a data centre's owner, local or at a peer."""
        owner = self._local_owners.get(data_centre)
        if owner is not None and owner.is_ready:
            return await self.answer_as_owner(owner, message)
        owner_name = self._configuration.find_owner_name(data_centre)
        link = self._find_link(owner_name)
        if link is None:
            detail = f"data centre {data_centre}"
            return Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_AFTER_S
            )
        try:
            reply = await link.call(message, _CALL_TIMEOUT_S)
        except mesh.PeerUnreachableError as error:
            detail = f"entry {owner_name}: {error}"
            return Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_AFTER_S
            )
        if isinstance(reply, messages.RefusalReply):
            reason = RefusalReason(reply.reason)
            return Refusal(reason, reply.detail, reply.retry_after_s)
        return reply

    async def answer_peer(self, data_centre: str, message: object) -> object:
        """Answer a call that a peer has forwarded to this entry."""
        owner = self._local_owners.get(data_centre)
        if owner is None or not owner.is_ready:
            detail = f"this entry doesn't own {data_centre}"
            answer: object = Refusal(
                RefusalReason.OWNER_UNAVAILABLE, detail, _OWNER_RETRY_AFTER_S
            )
        else:
            answer = await self.answer_as_owner(owner, message)
        if isinstance(answer, Refusal):
            return messages.RefusalReply(
                str(answer.reason), answer.detail, answer.retry_after_s
            )
        return answer

    async def answer_as_owner(
        self, owner: owners.DataCentreOwner, message: object
    ) -> Any | Refusal:
        """Return the answer of an owner in this process."""
        match message:
            case messages.SubmitJob(packed_job):
                job: jobs.Job = codec.unpack(jobs.Job, packed_job)
                outcome = await owner.submit(job)
                return self._build_job_view(owner, outcome)
            case messages.CancelJob(customer, job_id):
                outcome = await owner.cancel(customer, job_id)
                return self._build_job_view(owner, outcome)
            case messages.FindJob(customer, job_id):
                return owner.find_view(customer, job_id)
            case messages.ListJobs(customer, _):
                return messages.JobViews(owner.list_views(customer))
            case messages.CountRuns():
                return owner.count_runs()
            case _:
                raise TypeError(
                    f"no handler for message {type(message).__name__}"
                )

    def _build_job_view(
        self, owner: owners.DataCentreOwner, outcome: jobs.Job | Refusal
    ) -> Any | Refusal:
        if isinstance(outcome, Refusal):
            return outcome
        return owner.find_view(outcome.customer, outcome.id)
