"""Settings of `crocusrouter serve`, from flags and environment variables."""

import ipaddress
from typing import Annotated
from typing import Any

import pydantic
import pydantic_settings

PREFIX = "CROCUSROUTER_"

Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


class ServeSettings(pydantic_settings.BaseSettings):
    """Settings of one `crocusrouter serve` process.

    Each field is a flag (`--store-url`) and an environment variable
    (`CROCUSROUTER_STORE_URL`); the flag takes precedence.
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
        6.0,
        description="Seconds that a task runs on after the last lease renewal.",
    )
    vms_poll_s: Seconds = pydantic.Field(
        1.0, description="Seconds between polls of the VM list."
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
        50.0,
        description="Largest number of calls per second to the store.",
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
    def _check_leases(self) -> "ServeSettings":
        if self.task_lease_s < 2 * self.owner_ttl_s:
            raise ValueError(
                "task_lease_s must be at least twice owner_ttl_s, or leases of "
                "running tasks would expire during a takeover"
            )
        return self


class WrongSettingsError(Exception):
    """Some settings fail their checks; the message has a line for each."""


def load_serve_settings(flags: dict[str, Any]) -> ServeSettings:
    """Load and check the settings; flags override the environment.

    Args:
        flags: Values given on the command line, by field name.

    Raises:
        WrongSettingsError: Names each setting, its value and the remedy.
    """
    try:
        return ServeSettings(**flags)
    except pydantic.ValidationError as error:
        raise build_settings_error(error) from error


def build_settings_error(error: pydantic.ValidationError) -> WrongSettingsError:
    """Return an error that names each wrong setting, its value and remedy."""
    lines = [_describe_error(dict(error_item)) for error_item in error.errors()]
    return WrongSettingsError("\n".join(lines))


def parse_address(value: str) -> tuple[str, int]:
    """Split "IP:port" into the IP address and the port number.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> parse_address("[::1]:80")
    ('::1', 80)

    Raises:
        ValueError: The value isn't an IP address and a port.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        raise ValueError("must be an IP address and a port") from None
    if not 0 < port_number < 65536:
        raise ValueError("the port must be from 1 to 65535")
    return host, port_number


def _describe_error(error_item: dict[str, Any]) -> str:
    field = ".".join(map(str, error_item["loc"]))
    if not field:
        return f"settings: {error_item['msg']}."
    flag = "--" + field.replace("_", "-")
    variable = PREFIX + field.upper()
    if error_item["type"] == "missing":
        value = "not set"
    else:
        value = f"value {error_item['input']!r}: {error_item['msg']}"
    return f"{field}: {value}. Set {flag} or {variable}."
