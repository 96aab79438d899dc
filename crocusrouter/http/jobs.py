"""Endpoints of the jobs."""

import hashlib
import time
from typing import Any
import uuid

import orjson
import pydantic
from starlette import requests as starlette_requests

from crocusrouter import codec
from crocusrouter import controllers
from crocusrouter import fleet
from crocusrouter import jobs
from crocusrouter import requests
from crocusrouter.http import models
from crocusrouter.http import reading
from crocusrouter.mesh import messages
from crocusrouter.outcomes import Refusal
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import RefusedError
from crocusrouter.outcomes import Rendered
from crocusrouter.outcomes import refuse
from crocusrouter.templates import Template
from crocusrouter.templates import describe_errors

_CREATED = 201
_OK = 200
_MAX_BODY = 16 << 10
_NOT_READY_RETRY_S = 1.0


class Jobs:
    """Serves `/v1/jobs` for a customer."""

    def __init__(self, entry: controllers.Entry) -> None:
        self._entry = entry

    async def submit(self, request: starlette_requests.Request) -> Rendered:
        """Accept a job: durable before it is answered."""
        template = self._find_customer(request)
        key = requests.check_idempotency_key(
            request.headers.get("Idempotency-Key")
        )
        body = await reading.read_body(request, _MAX_BODY)
        asked = _parse(body)
        kind = template.job_kinds.get(asked.kind)
        if kind is None:
            raise refuse(
                RefusalReason.UNKNOWN_KIND,
                f"kind {asked.kind!r} of customer {template.customer}",
            )
        key = key if key is not None else uuid.uuid4().hex
        job = jobs.Job(
            id=self._name_job(template, asked, key),
            customer=template.customer,
            spec=models.build_spec(asked, kind),
            submitted_at=time.time(),
            digest=hashlib.blake2b(body, digest_size=8).hexdigest(),
        )
        view = await self._ask(
            job.data_centre, messages.SubmitJob(codec.pack(job))
        )
        return _render(models.show_job(view), _CREATED)

    async def show(self, request: starlette_requests.Request) -> Rendered:
        """Show one job."""
        return _render(models.show_job(await self._find(request)))

    async def explain(self, request: starlette_requests.Request) -> Rendered:
        """Show one job and what happened to it."""
        return _render(models.explain_job(await self._find(request)))

    async def cancel(self, request: starlette_requests.Request) -> Rendered:
        """Cancel a job."""
        template = self._find_customer(request)
        job_id = request.path_params["id"]
        view = await self._ask(
            jobs.parse_data_centre(job_id),
            messages.CancelJob(template.customer, job_id),
        )
        return _render(models.show_job(view))

    async def list(self, request: starlette_requests.Request) -> Rendered:
        """List the customer's jobs in all data centres."""
        template = self._find_customer(request)
        shown: list[dict[str, Any]] = []
        for data_centre in fleet.list_data_centres(self._entry.vm_list.fleet):
            views = await self._ask(
                data_centre, messages.ListJobs(template.customer, data_centre)
            )
            shown += map(models.show_job, views.jobs)
        return _render({"jobs": shown})

    async def _find(
        self, request: starlette_requests.Request
    ) -> messages.JobView:
        template = self._find_customer(request)
        job_id = request.path_params["id"]
        view: messages.JobView = await self._ask(
            jobs.parse_data_centre(job_id),
            messages.FindJob(template.customer, job_id),
        )
        return view

    def _find_customer(self, request: starlette_requests.Request) -> Template:
        if not self._entry.is_ready:
            raise refuse(RefusalReason.NOT_READY, "", _NOT_READY_RETRY_S)
        return requests.authenticate_customer(
            self._entry.configuration.catalog,
            request.headers.get("Authorization"),
        )

    def _name_job(
        self, template: Template, asked: models.JobRequest, key: str
    ) -> str:
        known = fleet.list_data_centres(self._entry.vm_list.fleet)
        if asked.data_centre is not None:
            if asked.data_centre not in known:
                raise refuse(
                    RefusalReason.NEVER_FITS,
                    f"no workers in data centre {asked.data_centre!r}",
                )
            chosen = asked.data_centre
        else:
            found = self._entry.job_router.choose_data_centre(
                template.customer, key
            )
            if found is None:
                raise refuse(RefusalReason.NEVER_FITS, "no workers at all")
            chosen = found
        return jobs.build_job_id(chosen, template.customer, key)

    async def _ask(self, data_centre: str, message: object) -> Any:
        known = fleet.list_data_centres(self._entry.vm_list.fleet)
        if data_centre not in known:
            raise refuse(
                RefusalReason.UNKNOWN_JOB, f"data centre {data_centre}"
            )
        answer = await self._entry.job_router.call_owner(data_centre, message)
        if isinstance(answer, Refusal):
            raise RefusedError(answer)
        return answer


def _parse(body: bytes) -> models.JobRequest:
    requests.check_json(body)
    try:
        return models.JobRequest.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise refuse(
            RefusalReason.INVALID_DOCUMENT, describe_errors(error)
        ) from error


def _render(document: dict[str, Any], status: int = _OK) -> Rendered:
    return Rendered(
        status, {"Content-Type": "application/json"}, orjson.dumps(document)
    )
