"""Validated models of what callers send and get."""

from typing import Annotated
from typing import Any

import pydantic

from crocusrouter import codec
from crocusrouter import jobs
from crocusrouter.mesh import messages
from crocusrouter.templates import JobKind
from crocusrouter.templates import Level

_MAX_PAYLOAD = 4096


class JobRequest(pydantic.BaseModel):
    """Body of `POST /v1/jobs`; what is left out comes from the template."""

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
        if len(dump_json(value)) > _MAX_PAYLOAD:
            raise ValueError(f"at most {_MAX_PAYLOAD} bytes as JSON")
        return value


def dump_json(value: Any) -> str:
    """Return a value as compact JSON text."""
    return pydantic.TypeAdapter(Any).dump_json(value).decode()


def build_spec(request: JobRequest, kind: JobKind) -> jobs.Spec:
    """Fill in what the caller left out from the kind's defaults."""

    def pick(given: Any, default: Any) -> Any:
        return default if given is None else given

    return jobs.Spec(
        kind=request.kind,
        accelerators=pick(request.accelerators, kind.accelerators),
        level=pick(request.level, kind.level),
        run_time_s=pick(request.run_time_s, kind.run_time_s),
        deadline_s=pick(request.deadline_s, kind.deadline_s),
        max_attempts=kind.max_attempts,
        urgent=pick(request.urgent, kind.urgent),
        payload=dump_json(request.payload),
    )


def show_job(view: messages.JobView) -> dict[str, Any]:
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
        "workers": {m.worker: m.size for m in job.members},
        "waiting_for": view.waiting_for,
        "result": job.result,
        "detail": job.detail,
        "submitted_at": job.submitted_at,
        "finished_at": job.finished_at,
    }


def explain_job(view: messages.JobView) -> dict[str, Any]:
    """Return a job with what happened to it."""
    events = [{"at": at, "what": what} for at, what in view.events]
    return show_job(view) | {"events": events}
