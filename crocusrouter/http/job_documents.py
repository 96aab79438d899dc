"""JSON documents of the job endpoints: job requests and job views."""

from typing import Annotated
from typing import Any

import pydantic

from crocusrouter import codec
from crocusrouter import jobs
from crocusrouter.mesh import messages
from crocusrouter.templates import JobKind
from crocusrouter.templates import Level

_MAX_PAYLOAD_BYTES = 4096


class JobRequest(pydantic.BaseModel):
    """Body of `POST /v1/jobs`; absent fields default to the template's."""

    model_config = pydantic.ConfigDict(extra="forbid")

    kind: str
    accelerators: Annotated[int, pydantic.Field(ge=1, le=100_000)] | None = None
    level: Level | None = None
    run_time_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    deadline_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    urgent: bool | None = None
    data_centre: str | None = None
    payload: Any = None

    @pydantic.field_validator("payload")
    @classmethod
    def _check_payload(cls, value: Any) -> Any:
        if len(dump_json(value)) > _MAX_PAYLOAD_BYTES:
            raise ValueError(f"at most {_MAX_PAYLOAD_BYTES} bytes as JSON")
        return value


def dump_json(value: Any) -> str:
    """Return a value as compact JSON text."""
    return pydantic.TypeAdapter(Any).dump_json(value).decode()


def build_spec(request: JobRequest, kind: JobKind) -> jobs.Spec:
    """Return a job's spec, with the kind's defaults for absent fields."""

    def value_or_default(value: Any, default: Any) -> Any:
        return default if value is None else value

    return jobs.Spec(
        kind=request.kind,
        accelerators=value_or_default(request.accelerators, kind.accelerators),
        level=value_or_default(request.level, kind.level),
        run_time_s=value_or_default(request.run_time_s, kind.run_time_s),
        deadline_s=value_or_default(request.deadline_s, kind.deadline_s),
        max_attempts=kind.max_attempts,
        urgent=value_or_default(request.urgent, kind.urgent),
        payload=dump_json(request.payload),
    )


def describe_job(view: messages.JobView) -> dict[str, Any]:
    """Return a job as its customer sees it."""
    job: jobs.Job = codec.unpack(jobs.Job, view.job)
    return {
        "id": job.id,
        "customer": job.customer,
        "kind": job.spec.kind,
        "state": str(job.state),
        "phase": view.phase,
        "accelerators": job.spec.accelerators,
        "level": str(job.spec.level),
        "attempt": job.attempt,
        "failures": job.failures,
        "losses": job.losses,
        "workers": {member.worker: member.size for member in job.members},
        "waiting_for": view.waiting_for,
        "result": job.result,
        "detail": job.detail,
        "submitted_at": job.submitted_at,
        "finished_at": job.finished_at,
    }


def describe_job_with_events(view: messages.JobView) -> dict[str, Any]:
    """Return a job with its events, as its customer sees them."""
    events = [{"at": at, "what": what} for at, what in view.events]
    return describe_job(view) | {"events": events}
