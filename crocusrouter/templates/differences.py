"""Differences between two templates, field by field."""

import dataclasses
from typing import Any

import orjson

from crocusrouter.templates import model


@dataclasses.dataclass(frozen=True)
class Difference:
    """One field that differs; None if the field is absent."""

    path: str
    before: Any
    after: Any


def compare_templates(
    before: model.Template | None, after: model.Template | None
) -> tuple[Difference, ...]:
    """List the fields in which two templates differ.

    >>> key = "0" * 64
    >>> old = model.Template("a", key)
    >>> new = model.Template("a", key, max_jobs=5)
    >>> compare_templates(old, new)
    (Difference(path='max_jobs', before=1000, after=5),)
    """
    return tuple(_compare("", _to_json_value(before), _to_json_value(after)))


def _to_json_value(template: model.Template | None) -> Any:
    if template is None:
        return None
    return orjson.loads(model.dump_template(template))


def _compare(path: str, before: Any, after: Any) -> list[Difference]:
    if before == after:
        return []
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [Difference(path or "template", before, after)]
    differences = []
    for name in sorted(before.keys() | after.keys()):
        inner_path = f"{path}.{name}" if path else name
        differences += _compare(inner_path, before.get(name), after.get(name))
    return differences
