"""Decoding of the operators' configuration from the platform's store."""

from typing import Any

import pydantic

from crocusrouter import queues

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
_EVACUATIONS_PREFIX = "op/evacuate/"


class _Part(pydantic.BaseModel):
    """A section in which null stands for a field's default."""

    @pydantic.model_validator(mode="before")
    @classmethod
    def _drop_nulls(cls, fields: Any) -> Any:
        if not isinstance(fields, dict):
            return fields
        return {
            name: value for name, value in fields.items() if value is not None
        }


class _Route(_Part):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_duration_ms: float = 0.0
    public: bool = False
    advice: dict[str, Any] = {}


class _Service(_Part):
    name: str
    admission_check: bool = True
    standby: bool = False


class _Tenant(_Part):
    name: str
    api_keys: list[str] = []
    # Guaranteed amounts by kind of resource; accelerators are "gpu".
    guaranteed: dict[str, float] = {}


class _Limits(_Part):
    max_body_bytes: int = 262_144


class _Document(_Part):
    version: pydantic.StrictInt = pydantic.Field(ge=1)
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class WrongConfigError(ValueError):
    """The document isn't a valid configuration; the current one stays."""


def parse_config(value: bytes) -> queues.Config:
    """Decode a configuration.

    Raises:
        WrongConfigError: The document is invalid; the message names the wrong
            fields.
    """
    try:
        document = _Document.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise WrongConfigError(str(error)) from error
    return queues.Config(
        document.version,
        tuple(_build_queue(route) for route in document.routes),
        {
            service.name: queues.Service(
                service.name, service.admission_check, service.standby
            )
            for service in document.services
        },
        {
            tenant.name: queues.Customer(
                tenant.name,
                frozenset(tenant.api_keys),
                int(tenant.guaranteed.get("gpu", 0)),
            )
            for tenant in document.tenants
        },
        queues.Limits(document.limits.max_body_bytes),
    )


def find_closed_data_centre(key: str) -> str | None:
    """Return the data centre that a key closes to new work, or None.

    The platform calls this the evacuation of a zone. The key alone requests
    it, whatever its value.

    Raises:
        ValueError: The key names no zone.

    >>> find_closed_data_centre("op/evacuate/liege")
    'liege'
    >>> find_closed_data_centre("op/config") is None
    True
    """
    if not key.startswith(_EVACUATIONS_PREFIX):
        return None
    zone = key.removeprefix(_EVACUATIONS_PREFIX)
    if not zone.strip() or "/" in zone:
        raise ValueError(
            f"{key!r} names no zone; write {_EVACUATIONS_PREFIX}ZONE"
        )
    return zone


def _build_queue(route: _Route) -> queues.Queue:
    return queues.Queue(
        route.name,
        route.host.lower(),
        route.prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.slack_factor,
        route.target_duration_ms / 1000,
        route.public,
        bool(route.advice),
    )
