"""The template of a customer: a JSON document with checked fields."""

import enum
from typing import Annotated
from typing import TypeVar

import pydantic
from pydantic import dataclasses

_Document = TypeVar("_Document")
_FORBID_UNKNOWN_FIELDS = pydantic.ConfigDict(extra="forbid")

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Sha256 = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=30 * 86400)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Weight = Annotated[float, pydantic.Field(ge=0, le=100)]


class Level(enum.StrEnum):
    """The unit within which all accelerators of a job or cell must lie."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data-centre"


class Loss(enum.StrEnum):
    """The failure that a guarantee must survive."""

    NONE = "none"
    WORKER = "worker"
    RACK = "rack"


@dataclasses.dataclass(frozen=True, config=_FORBID_UNKNOWN_FIELDS)
class Cell:
    """A guaranteed number of accelerators, adjacent within one unit.

    Attributes:
        data_centre: Data centre of the cell.
        level: Unit within which the whole cell must lie.
        accelerators: Number of accelerators in the cell.
        count: Number of such cells that are guaranteed.
    """

    data_centre: Name
    level: Level
    accelerators: Count
    count: Count = 1


@dataclasses.dataclass(frozen=True, config=_FORBID_UNKNOWN_FIELDS)
class JobKind:
    """Defaults and limits of one kind of job.

    Attributes:
        accelerators: Default number of accelerators.
        level: Default unit within which they must lie.
        run_time_s: Declared run time in seconds.
        deadline_s: Seconds from submission to the deadline.
        max_attempts: Failed attempts after which the job fails.
        urgent: Whether it precedes all other jobs of its customer.
    """

    accelerators: Count = 1
    level: Level = Level.DATA_CENTRE
    run_time_s: Seconds = 600.0
    deadline_s: Seconds = 86400.0
    max_attempts: Annotated[int, pydantic.Field(ge=1, le=20)] = 3
    urgent: bool = False


@dataclasses.dataclass(frozen=True, config=_FORBID_UNKNOWN_FIELDS)
class RequestKind:
    """One kind of small request.

    Attributes:
        service: The service whose endpoints serve it.
        idempotent: Whether a request may run more than once.
        timeout_s: Deadline in seconds if the caller gives none.
        max_body: Largest body in bytes.
    """

    service: Name
    idempotent: bool
    timeout_s: Seconds = 10.0
    max_body: Annotated[int, pydantic.Field(ge=1, le=8 << 20)] = 1 << 20


@dataclasses.dataclass(frozen=True, config=_FORBID_UNKNOWN_FIELDS)
class PlacementWeights:
    """Placement weights; FBUSW stresses completion, Kilima fragmentation."""

    completion: Weight = 1.0
    fragmentation: Weight = 1.0


@dataclasses.dataclass(frozen=True, config=_FORBID_UNKNOWN_FIELDS)
class Template:
    """Guarantees, limits and kinds of work of one customer.

    Attributes:
        customer: The customer's name.
        key_sha256: SHA-256 of the customer's bearer key, in hex.
        guarantee: The guaranteed cells.
        survive: The failure after which the guarantee must still fit.
        job_kinds: Kinds of jobs by name.
        request_kinds: Kinds of small requests by name.
        max_in_flight: Limit of small requests in flight per entry.
        max_jobs: Limit of unfinished jobs.
        retry_share: Allowed retries as a share of requests.
        fair_share: Weight in the fair share of capacity that isn't guaranteed.
        weights: Weights of the placement criteria.
    """

    customer: Name
    key_sha256: Sha256
    guarantee: tuple[Cell, ...] = ()
    survive: Loss = Loss.NONE
    job_kinds: dict[Name, JobKind] = pydantic.Field(default_factory=dict)
    request_kinds: dict[Name, RequestKind] = pydantic.Field(
        default_factory=dict
    )
    max_in_flight: Count = 256
    max_jobs: Count = 1000
    retry_share: Share = 0.2
    fair_share: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    weights: PlacementWeights = pydantic.Field(default_factory=PlacementWeights)


_TEMPLATE_ADAPTER = pydantic.TypeAdapter(Template)


class InvalidTemplateError(Exception):
    """The document isn't valid; the message names each wrong field."""


def parse_template(data: bytes) -> Template:
    """Check a JSON document and return the template.

    >>> parse_template(b'{"customer": "Upper"}')
    Traceback (most recent call last):
    ...
    crocusrouter.templates.model.InvalidTemplateError: customer: String \
should match pattern '^[a-z0-9][a-z0-9-]{0,62}$'; key_sha256: Field required

    Raises:
        InvalidTemplateError: A field is missing, unknown or wrong.
    """
    return parse_json(_TEMPLATE_ADAPTER, data)


def parse_json(
    adapter: pydantic.TypeAdapter[_Document], data: bytes
) -> _Document:
    """Check a JSON document against a model and return the value.

    Raises:
        InvalidTemplateError: The document doesn't fit the model.
    """
    try:
        return adapter.validate_json(data)
    except pydantic.ValidationError as error:
        raise InvalidTemplateError(describe_errors(error)) from error


def dump_template(template: Template) -> bytes:
    """Return the template as JSON."""
    return _TEMPLATE_ADAPTER.dump_json(template)


def describe_errors(error: pydantic.ValidationError) -> str:
    """Return a validation error as one line with each field and its error."""
    return "; ".join(
        f"{'.'.join(map(str, item['loc'])) or 'document'}: {item['msg']}"
        for item in error.errors()
    )
