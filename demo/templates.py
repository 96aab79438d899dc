"""Templates of four customers, whose guarantees fit the demo's workers."""

import hashlib
from typing import Any

from demo import cluster

CUSTOMERS = ("fbusw-tagging", "fbusw-matching", "kilima-maps", "kilima-logs")


def find_key(customer: str) -> str:
    """Return a customer's bearer key."""
    return f"demo-key-of-{customer}"


def build_templates() -> dict[str, dict[str, Any]]:
    """Return the templates of all customers, by customer."""
    cells = {
        "fbusw-tagging": [_build_cell("rack", 16)],
        "fbusw-matching": [_build_cell("worker", 4)],
        "kilima-maps": [_build_cell("rack", 16)],
        "kilima-logs": [_build_cell("worker", 1, 4)],
    }
    return {name: _build_template(name, cells[name]) for name in CUSTOMERS}


def _build_cell(
    level: str, accelerators: int, count: int = 1
) -> dict[str, Any]:
    return {
        "data_centre": cluster.DATA_CENTRE,
        "level": level,
        "accelerators": accelerators,
        "count": count,
    }


def _build_template(
    customer: str, cells: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "customer": customer,
        "key_sha256": hashlib.sha256(find_key(customer).encode()).hexdigest(),
        "guarantee": cells,
        "job_kinds": {
            "tag": {"accelerators": 1, "level": "worker", "run_time_s": 3.0},
            "render": {"accelerators": 16, "level": "rack", "run_time_s": 5.0},
        },
        "request_kinds": {
            "match": {"service": "matching", "idempotent": True},
            "reserve": {"service": "matching", "idempotent": False},
        },
    }
