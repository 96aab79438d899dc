"""Settings of `crocusrouter entry`, from the platform's file and environment.

The platform writes the file. It holds one environment variable a line, so that
a setting has the same name in the file and in the environment.
"""

import os
import pathlib
from typing import Any

import pydantic
import pydantic_settings

from crocusrouter.settings import serve_settings

SETTINGS_FILE_VARIABLE = "CROCUSROUTER_CONFIG"


class EntrySettings(pydantic_settings.BaseSettings):
    """Settings of one `crocusrouter entry` process.

    Environment variables override the file.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=serve_settings.PREFIX, extra="ignore", frozen=True
    )

    name: str = pydantic.Field(
        min_length=1, description="Unique name of this entry."
    )
    data_centre: str = pydantic.Field(
        "", description="Data centre of this entry."
    )
    ip: str = pydantic.Field(description="IP address of this VM.")
    listen: str = pydantic.Field(description="IP:port for callers.")
    ready_listen: str = pydantic.Field(
        description="IP:port on which the balancer checks readiness."
    )
    mesh_port: int = pydantic.Field(
        7000, ge=1, le=65535, description="Port for other entries."
    )
    metrics_port: int = pydantic.Field(
        7001, ge=1, le=65535, description="Port for metrics."
    )
    store_address: str = pydantic.Field(
        description="IP:port of the key-value service."
    )
    policy_address: str = pydantic.Field(
        "", description="IP:port of the policy service; empty for none."
    )
    vms_address: str = pydantic.Field(
        "",
        description="IP:port of the platform's VM service; empty for none.",
    )
    cpu_share: float = pydantic.Field(
        1.0, gt=0, description="Share of each core that this VM may use."
    )
    cores: float = pydantic.Field(
        1.0, gt=0, description="Speed of this VM as a multiple of a plain core."
    )
    keep_jobs_s: float = pydantic.Field(
        600.0,
        gt=0,
        description="Seconds for which a finished job can still be queried.",
    )
    grace_s: float = pydantic.Field(
        6.0,
        gt=0,
        description="Seconds from SIGTERM until the platform's kill.",
    )

    config_apply_ms: float = pydantic.Field(
        2000.0,
        gt=0,
        description="Milliseconds within which a confirmed change of the "
        "configuration must take effect.",
    )
    closure_apply_ms: float = pydantic.Field(
        5000.0,
        gt=0,
        description="Milliseconds after which no task may start in a data "
        "centre whose closure is confirmed.",
    )

    @pydantic.field_validator("name")
    @classmethod
    def _check_name(cls, value: str) -> str:
        """Reject white space: a name must be readable from an owner's key."""
        if any(character.isspace() for character in value):
            raise ValueError(
                "must have no white space; a valid name is front-liege-1"
            )
        return value

    @pydantic.field_validator("listen", "ready_listen", "store_address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        serve_settings.parse_address(value)
        return value


def load_entry_settings(flags: dict[str, Any]) -> EntrySettings:
    """Load and check the settings; flags override environment and file.

    Args:
        flags: Values given on the command line, by field name.

    Raises:
        WrongSettingsError: Names each setting, its value and the remedy.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    settings_path = pathlib.Path(path) if path else None
    try:
        return EntrySettings(
            _env_file=settings_path,
            **flags,
        )
    except pydantic.ValidationError as error:
        raise serve_settings.build_settings_error(error) from error
