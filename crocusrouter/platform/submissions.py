"""Decoding of submitted jobs and encoding of their states for callers."""

import math
import re
from typing import Annotated

import orjson
import pydantic

from crocusrouter import queues
from crocusrouter.outcomes import RefusalReason
from crocusrouter.outcomes import refuse
from crocusrouter.work import model

DEADLINE_HEADER = "X-Deadline-Ms"
_JOB_ID = re.compile(r"[0-9a-f]{16}")
_MAX_SPEC_BYTES = 4000
_MAX_STEPS = 1000
_STATE_NAMES = {
    model.State.QUEUED: "queued",
    model.State.RUNNING: "running",
    model.State.DONE: "completed",
    model.State.FAILED: "failed",
    model.State.CANCELLED: "cancelled",
}
_TaskCount = Annotated[int, pydantic.Field(ge=1, le=100_000)]
_NonNegative = Annotated[int, pydantic.Field(ge=0)]


class _Step(pydantic.BaseModel):
    count: _TaskCount
    cpu: _NonNegative = 0
    mem_mb: _NonNegative = 0
    gpu: _NonNegative = 0
    est_duration_ms: Annotated[
        float, pydantic.Field(ge=0, allow_inf_nan=False)
    ] = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    requires: str = ""
    affinity: str = ""
    max_per_server: _NonNegative = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: _NonNegative = 0


class _Submission(pydantic.BaseModel):
    spec: str = ""
    steps: Annotated[
        list[_Step], pydantic.Field(min_length=1, max_length=_MAX_STEPS)
    ]
    repeat_count: _NonNegative = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0

    @pydantic.field_validator("spec")
    @classmethod
    def _check_spec(cls, value: str) -> str:
        if len(value.encode()) > _MAX_SPEC_BYTES:
            raise ValueError(f"at most {_MAX_SPEC_BYTES} bytes")
        return value

    @pydantic.model_validator(mode="after")
    def _check_dependencies(self) -> "_Submission":
        for number, step in enumerate(self.steps):
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(
                    f"steps.{number}.after: name earlier steps only"
                )
        return self


def is_job_id(text: str) -> bool:
    """Return whether `text` has the form of a job's id.

    >>> is_job_id("5c0e7a21d94b36f8")
    True
    """
    return _JOB_ID.fullmatch(text) is not None


def parse_submission(
    body: bytes,
    job_id: str,
    queue: queues.Queue,
    customer: str,
    now: float,
    config_version: int = 0,
) -> model.Job:
    """Decode a submitted job.

    Args:
        body: The caller's JSON.
        job_id: The id chosen by the caller.
        queue: The queue of the submission; the job keeps a copy of its policy.
        customer: Name of the customer that submits the job.
        now: Time of the submission as Unix time in seconds.
        config_version: Version of the configuration that names the queue.

    Raises:
        RefusedError: The body is invalid; the detail names up to five wrong
            fields.
    """
    try:
        submission = _Submission.model_validate(orjson.loads(body))
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
        submission.spec,
        tuple(_build_step(step) for step in submission.steps),
        now,
        submission.repeat_count,
        submission.first_run_ms / 1000,
        submission.interval_ms / 1000,
        advised=queue.advised,
        config_version=config_version,
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


def parse_patience(text: str) -> float:
    """Return for how many seconds a caller waits for an answer.

    Args:
        text: Value of the deadline header.

    Returns:
        The seconds; 0 if the header is absent or no positive number.

    >>> parse_patience("3000"), parse_patience(""), parse_patience("nan")
    (3.0, 0.0, 0.0)
    """
    try:
        patience_s = float(text) / 1000
    except ValueError:
        return 0.0
    return patience_s if 0.0 < patience_s < math.inf else 0.0


def render_job_state(state: model.State) -> bytes:
    """Encode a job's state for its caller."""
    return orjson.dumps({"state": _STATE_NAMES[state]})


def render_pending_count(count: int) -> bytes:
    """Encode how many of a queue's jobs have not started."""
    return orjson.dumps({"pending": count})
