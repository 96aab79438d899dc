"""History of a template: a linked list of version records.

Each version is a separate record, named by revision and digest, that names the
previous version. The catalog names the latest version. A version is written
before the catalog that names it, so the current template always has a record.
The record of an edit that lost a compare-and-swap is never referenced.
"""

import dataclasses
import hashlib

import pydantic

from crocusrouter.templates import model


@dataclasses.dataclass(frozen=True)
class TemplateVersion:
    """One version of a customer's template.

    Attributes:
        revision: Catalog revision at which it took effect.
        at: Unix time of the edit.
        previous: Name of the previous version; empty for the first.
        template: The template.
    """

    revision: int
    at: float
    previous: str
    template: model.Template


_VERSION_ADAPTER = pydantic.TypeAdapter(TemplateVersion)


def build_version_name(version: TemplateVersion) -> str:
    """Return the name under which a version is stored.

    >>> version = TemplateVersion(7, 0.0, "", model.Template("a", "0" * 64))
    >>> build_version_name(version).partition("-")[0]
    'a/000000000007'
    """
    digest = hashlib.blake2b(dump_version(version), digest_size=4).hexdigest()
    return f"{version.template.customer}/{version.revision:012d}-{digest}"


def dump_version(version: TemplateVersion) -> bytes:
    """Return a version as JSON."""
    return _VERSION_ADAPTER.dump_json(version)


def parse_version(data: bytes) -> TemplateVersion:
    """Check a JSON document and return the version.

    Raises:
        InvalidTemplateError: The document isn't a version.
    """
    return model.parse_json(_VERSION_ADAPTER, data)
