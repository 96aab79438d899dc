"""Settings of one entry, from flags and environment variables."""

import ipaddress
from typing import Annotated
from typing import Any

import pydantic
import pydantic_settings

PREFIX = "CROCUSROUTER_"

Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


class Settings(pydantic_settings.BaseSettings):
    """What one `crocusrouter serve` process needs to know.

    Each field is a flag (`--store-url`) and an environment variable
    (`CROCUSROUTER_STORE_URL`); the flag goes first.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=PREFIX, extra="forbid", frozen=True
    )

    name: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="Name of this entry in the VM list.",
    )
    data_centre: str = pydantic.Field(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="Data centre of this entry.",
    )
    listen: str = pydantic.Field(
        description="IP:port for callers and operators."
    )
    mesh_listen: str = pydantic.Field(description="IP:port for other entries.")
    store_url: str = pydantic.Field(
        pattern=r"^http://\S+$",
        description="URL of the key-value service.",
    )
    vms_url: str = pydantic.Field(
        pattern=r"^http://\S+$", description="URL of the VM list."
    )
    mesh_secret: str = pydantic.Field(
        min_length=8, description="Secret shared by all entries."
    )
    operator_key: str = pydantic.Field(
        min_length=8, description="Bearer key of the operators."
    )
    store_prefix: str = pydantic.Field(
        "crocusrouter/",
        pattern=r"^[a-z0-9/-]+/$",
        description="Prefix of all keys in the key-value service.",
    )
    owner_ttl_s: Seconds = pydantic.Field(
        2.0, description="Seconds without renewal until a takeover."
    )
    task_lease_s: Seconds = pydantic.Field(
        6.0, description="Seconds a task lives after the last renewal."
    )
    vms_poll_s: Seconds = pydantic.Field(
        1.0, description="Seconds between readings of the VM list."
    )
    heartbeat_s: Seconds = pydantic.Field(
        1.0, description="Seconds between heartbeats to other entries."
    )
    stop_timeout_s: Seconds = pydantic.Field(
        10.0, description="Seconds that a planned stop waits for requests."
    )
    keep_jobs_s: Annotated[float, pydantic.Field(gt=0)] = pydantic.Field(
        86400.0, description="Seconds that finished jobs are kept."
    )
    store_calls_per_s: Annotated[float, pydantic.Field(gt=0)] = pydantic.Field(
        50.0, description="Calls a second to the key-value service."
    )
    max_body: Annotated[int, pydantic.Field(ge=1024)] = pydantic.Field(
        1 << 20, description="Largest body of a request in bytes."
    )

    @pydantic.field_validator("listen", "mesh_listen")
    @classmethod
    def _check_address(cls, value: str) -> str:
        parse_address(value)
        return value

    @pydantic.model_validator(mode="after")
    def _check_leases(self) -> "Settings":
        if self.task_lease_s < 2 * self.owner_ttl_s:
            raise ValueError(
                "task_lease_s must be at least twice owner_ttl_s, or running "
                "tasks would lapse during a takeover"
            )
        return self


class WrongSettingsError(Exception):
    """Settings that fail their checks; one line for each."""


def load_settings(flags: dict[str, Any]) -> Settings:
    """Check the settings; flags go before the environment.

    Args:
        flags: Values given on the command line, by field name.

    Raises:
        WrongSettingsError: Names each setting, its value and the remedy.
    """
    try:
        return Settings(**flags)
    except pydantic.ValidationError as error:
        raise describe_settings(error) from error


def describe_settings(error: pydantic.ValidationError) -> WrongSettingsError:
    """Name each wrong setting, its value and the remedy."""
    lines = [_describe(dict(item)) for item in error.errors()]
    return WrongSettingsError("\n".join(lines))


def parse_address(value: str) -> tuple[str, int]:
    """Split "IP:port".

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("[::1]:80")
    ('::1', 80)

    Raises:
        ValueError: Not an IP number and a port.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError("must be an IP number and a port") from None
    if not 0 < number < 65536:
        raise ValueError("the port must be from 1 to 65535")
    return host, number


def _describe(item: dict[str, Any]) -> str:
    field = ".".join(map(str, item["loc"]))
    if not field:
        return f"settings: {item['msg']}."
    flag = "--" + field.replace("_", "-")
    variable = PREFIX + field.upper()
    if item["type"] == "missing":
        value = "not set"
    else:
        value = f"value {item['input']!r}: {item['msg']}"
    return f"{field}: {value}. Set {flag} or {variable}."
