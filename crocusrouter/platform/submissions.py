"""Jobs as callers of the platform hand them in, and as they are told of."""

import re
from typing import Annotated

import orjson
import pydantic

from crocusrouter import queues
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import refuse
from crocusrouter.work import model

_ID = re.compile(r"[0-9a-f]{16}")
_MAX_SPEC_BYTES = 4000
_MAX_STEPS = 1000
_STATES = {
    model.State.QUEUED: "queued",
    model.State.RUNNING: "running",
    model.State.DONE: "completed",
    model.State.FAILED: "failed",
    model.State.CANCELLED: "cancelled",
}
_Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
_Amount = Annotated[int, pydantic.Field(ge=0)]


class _Step(pydantic.BaseModel):
    count: _Count
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    est_duration_ms: Annotated[float, pydantic.Field(ge=0)] = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    requires: str = ""
    affinity: str = ""
    max_per_server: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: _Amount = 0


class _Submission(pydantic.BaseModel):
    spec: str = ""
    steps: Annotated[
        list[_Step], pydantic.Field(min_length=1, max_length=_MAX_STEPS)
    ]
    repeat_count: _Amount = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0

    @pydantic.field_validator("spec")
    @classmethod
    def _check_spec(cls, value: str) -> str:
        if len(value.encode()) > _MAX_SPEC_BYTES:
            raise ValueError(f"at most {_MAX_SPEC_BYTES} bytes")
        return value

    @pydantic.model_validator(mode="after")
    def _check_order(self) -> "_Submission":
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(
                    f"steps.{number}.after: name earlier steps only"
                )
        return self


def is_job_id(text: str) -> bool:
    """Tell whether a text is a job's id.

    >>> is_job_id("5c0e7a21d94b36f8")
    True
    """
    return _ID.fullmatch(text) is not None


def parse_submission(
    body: bytes,
    job_id: str,
    queue: queues.Queue,
    customer: str,
    now: float,
) -> model.Job:
    """Decode a job.

    Args:
        body: The caller's JSON.
        job_id: The id that the caller chose.
        queue: Where it is handed in; its policy is kept with the job.
        customer: Whose it is.
        now: Unix time in seconds.

    Raises:
        RefusedError: Names each wrong field.
    """
    try:
        given = _Submission.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        raise refuse(RefusalReason.MALFORMED_JSON, str(error)) from error
    except pydantic.ValidationError as error:
        detail = "; ".join(
            f"{'.'.join(map(str, item['loc'])) or 'job'}: {item['msg']}"
            for item in error.errors()[:5]
        )
        raise refuse(RefusalReason.INVALID_DOCUMENT, detail) from error
    return model.Job(
        job_id,
        queue.name,
        queue.pool,
        customer,
        queue.priority,
        queue.max_attempts,
        queue.slack,
        queue.target_s,
        given.spec,
        tuple(_build_step(step) for step in given.steps),
        now,
        given.repeat_count,
        given.first_run_ms / 1000,
        given.interval_ms / 1000,
        advised=queue.advised,
    )


def _build_step(step: _Step) -> model.Step:
    return model.Step(
        step.count,
        model.Room(step.cpu, step.mem_mb, step.gpu),
        step.est_duration_ms / 1000,
        tuple(step.after),
        step.gang,
        step.same_rack,
        step.checkpointing,
        step.requires,
        step.affinity,
        step.max_per_server,
        step.speculative,
        step.long_running,
        step.image,
        int(step.target_ms),
        step.fills,
        step.may_miss,
    )


def render_state(state: model.State) -> bytes:
    """Return a job's state as its caller reads it."""
    return orjson.dumps({"state": _STATES[state]})


def render_pending(count: int) -> bytes:
    """Return a queue's number of jobs that have not begun."""
    return orjson.dumps({"pending": count})
