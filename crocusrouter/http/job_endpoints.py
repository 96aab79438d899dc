"""HTTP endpoints that submit, show, list and cancel jobs."""

import hashlib
import time
from typing import Any
import uuid

import pydantic
from starlette import requests as starlette_requests

from crocusrouter import codec
from crocusrouter import controllers
from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import requests
from crocusrouter.http import job_documents
from crocusrouter.http import rendering
from crocusrouter.http import request_parsing
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import refuse
from crocusrouter.templates import Template
from crocusrouter.templates import describe_errors

_HTTP_CREATED = 201
_HTTP_OK = 200
_MAX_BODY_BYTES = 16 << 10
_NOT_READY_RETRY_S = 1.0


class JobEndpoints:
    """Serves `/v1/jobs` to customers."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def submit(self, request: starlette_requests.Request) -> Rendered:
        """Accept a job and answer once it is stored durably."""
        template = self._authenticate(request)
        key = requests.check_idempotency_key(
            request.headers.get("Idempotency-Key")
        )
        body = await request_parsing.read_body(request, _MAX_BODY_BYTES)
        job_request = _parse_job_request(body)
        job_kind = template.job_kinds.get(job_request.kind)
        if job_kind is None:
            raise refuse(
                RefusalReason.UNKNOWN_KIND,
                f"kind {job_request.kind!r} of customer {template.customer}",
            )
        key = key if key is not None else uuid.uuid4().hex
        job = jobs.Job(
            id=self._build_job_id(template, job_request, key),
            customer=template.customer,
            spec=job_documents.build_spec(job_request, job_kind),
            submitted_at=time.time(),
            digest=hashlib.blake2b(body, digest_size=8).hexdigest(),
        )
        view = await self._ask_owner(
            job.data_centre, messages.SubmitJob(codec.pack(job))
        )
        return rendering.render_json(
            job_documents.describe_job(view), _HTTP_CREATED
        )

    async def show(self, request: starlette_requests.Request) -> Rendered:
        """Show one job."""
        return rendering.render_json(
            job_documents.describe_job(await self._find_job(request))
        )

    async def explain(self, request: starlette_requests.Request) -> Rendered:
        """Show one job and its events."""
        return rendering.render_json(
            job_documents.describe_job_with_events(
                await self._find_job(request)
            )
        )

    async def cancel(self, request: starlette_requests.Request) -> Rendered:
        """Cancel a job."""
        template = self._authenticate(request)
        job_id = request.path_params["id"]
        view = await self._ask_owner(
            jobs.parse_data_centre(job_id),
            messages.CancelJob(template.customer, job_id),
        )
        return rendering.render_json(job_documents.describe_job(view))

    async def list(self, request: starlette_requests.Request) -> Rendered:
        """List the customer's jobs in all data centres."""
        template = self._authenticate(request)
        shown_jobs: list[dict[str, Any]] = []
        for data_centre in fleet.list_data_centres(self._entry.vm_list.fleet):
            views = await self._ask_owner(
                data_centre, messages.ListJobs(template.customer, data_centre)
            )
            shown_jobs += map(job_documents.describe_job, views.jobs)
        return rendering.render_json({"jobs": shown_jobs})

    async def _find_job(
        self, request: starlette_requests.Request
    ) -> messages.JobView:
        template = self._authenticate(request)
        job_id = request.path_params["id"]
        view: messages.JobView = await self._ask_owner(
            jobs.parse_data_centre(job_id),
            messages.FindJob(template.customer, job_id),
        )
        return view

    def _authenticate(self, request: starlette_requests.Request) -> Template:
        if not self._entry.is_ready:
            raise refuse(RefusalReason.NOT_READY, "", _NOT_READY_RETRY_S)
        return requests.authenticate_customer(
            self._entry.configuration.catalog,
            request.headers.get("Authorization"),
        )

    def _build_job_id(
        self,
        template: Template,
        job_request: job_documents.JobRequest,
        key: str,
    ) -> str:
        data_centres = fleet.list_data_centres(self._entry.vm_list.fleet)
        if job_request.data_centre is not None:
            if job_request.data_centre not in data_centres:
                raise refuse(
                    RefusalReason.NEVER_FITS,
                    f"no workers in data centre {job_request.data_centre!r}",
                )
            data_centre = job_request.data_centre
        else:
            owner_choice = self._entry.job_router.choose_data_centre(
                template.customer, key
            )
            if owner_choice is None:
                raise refuse(
                    RefusalReason.NEVER_FITS, "no data centre has workers"
                )
            data_centre = owner_choice
        return jobs.build_job_id(data_centre, template.customer, key)

    async def _ask_owner(self, data_centre: str, message: object) -> Any:
        data_centres = fleet.list_data_centres(self._entry.vm_list.fleet)
        if data_centre not in data_centres:
            raise refuse(
                RefusalReason.UNKNOWN_JOB, f"data centre {data_centre}"
            )
        answer = await self._entry.job_router.call_owner(data_centre, message)
        if isinstance(answer, Refusal):
            raise RefusedError(answer)
        return answer


def _parse_job_request(body: bytes) -> job_documents.JobRequest:
    requests.check_json(body)
    try:
        return job_documents.JobRequest.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise refuse(
            RefusalReason.INVALID_DOCUMENT, describe_errors(error)
        ) from error
