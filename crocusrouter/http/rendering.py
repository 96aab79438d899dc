"""Rendering of JSON answers."""

from typing import Any

import orjson

from crocusrouter.outcomes import Rendered

_HTTP_OK = 200


def render_json(document: dict[str, Any], status: int = _HTTP_OK) -> Rendered:
    """Return an answer with a JSON body."""
    return Rendered(
        status, {"Content-Type": "application/json"}, orjson.dumps(document)
    )
