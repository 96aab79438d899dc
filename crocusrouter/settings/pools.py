"""Settings of an entry on the users' platform, from a file it fills in.

The file has the form of environment variables, a line a setting, so that the
same names serve as flags, as variables and in the file.
"""

import os
import pathlib
from typing import Any

import pydantic
import pydantic_settings

from crocusrouter.settings import model

FILE_VARIABLE = "CROCUSROUTER_CONFIG"


class EntrySettings(pydantic_settings.BaseSettings):
    """What one `crocusrouter entry` process needs to know.

    A variable of the environment goes before the file.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=model.PREFIX, extra="ignore", frozen=True
    )

    name: str = pydantic.Field(
        min_length=1, description="Unique name of this entry."
    )
    data_centre: str = pydantic.Field(
        "", description="Data centre of this entry."
    )
    ip: str = pydantic.Field(description="IP number of this VM.")
    listen: str = pydantic.Field(description="IP:port for callers.")
    ready_listen: str = pydantic.Field(
        description="IP:port on which the balancer asks for readiness."
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
        description="IP:port of the platform's control of VMs; empty for none.",
    )
    cpu_share: float = pydantic.Field(
        1.0, gt=0, description="Share of each core that this VM may use."
    )
    cores: float = pydantic.Field(
        1.0, gt=0, description="How many times a plain core is as fast."
    )
    keep_jobs_s: float = pydantic.Field(
        600.0,
        gt=0,
        description="Seconds for which a job that is over can be asked for.",
    )
    grace_s: float = pydantic.Field(
        6.0, gt=0, description="Seconds from SIGTERM to the kill."
    )

    config_apply_ms: float = pydantic.Field(
        2000.0,
        gt=0,
        description="Milliseconds in which a confirmed change of the "
        "configuration has to be in force.",
    )

    @pydantic.field_validator("name")
    @classmethod
    def _check_name(cls, value: str) -> str:
        """Refuse a name that an owner's key could not be read back from."""
        if any(character.isspace() for character in value):
            raise ValueError("must have no spaces, such as front-liege-1")
        return value

    @pydantic.field_validator("listen", "ready_listen", "store_address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        model.parse_address(value)
        return value


def load_entry_settings(flags: dict[str, Any]) -> EntrySettings:
    """Read and check the settings.

    Args:
        flags: Values given on the command line, by field name.

    Raises:
        WrongSettingsError: Names each setting, its value and the remedy.
    """
    path = os.environ.get(FILE_VARIABLE)
    source = pathlib.Path(path) if path else None
    try:
        return EntrySettings(
            _env_file=source,
            **flags,
        )
    except pydantic.ValidationError as error:
        raise model.describe_settings(error) from error
