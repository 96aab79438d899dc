"""Earlier versions of a template.

Each version is a record of its own, named by revision and digest, that points
to the one before it. The catalog names the latest. A version is written
before the catalog that names it, so what is in force always has its record;
records of edits that lost a race are never pointed to.
"""

import dataclasses
import hashlib

import pydantic

from crocusrouter.templates import model


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a customer's template.

    Attributes:
        revision: Catalog revision that put it in force.
        at: Unix time of the edit.
        previous: Name of the version before; empty for the first.
        template: The template.
    """

    revision: int
    at: float
    previous: str
    template: model.Template


_ADAPTER = pydantic.TypeAdapter(Version)


def name_version(version: Version) -> str:
    """Return the name under which a version is kept.

    >>> version = Version(7, 0.0, "", model.Template("a", "0" * 64))
    >>> name_version(version).partition("-")[0]
    'a/000000000007'
    """
    digest = hashlib.blake2b(dump_version(version), digest_size=4).hexdigest()
    return f"{version.template.customer}/{version.revision:012d}-{digest}"


def dump_version(version: Version) -> bytes:
    """Return a version as JSON."""
    return _ADAPTER.dump_json(version)


def parse_version(data: bytes) -> Version:
    """Check and return a version.

    Raises:
        InvalidTemplateError: The document is no version.
    """
    return model.parse_json(_ADAPTER, data)
