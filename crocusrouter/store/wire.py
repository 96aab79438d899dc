"""JSON messages of the key-value service.

The client uses the JSON gateway of the etcd v3 API
(https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/), and of this API only
what the platform is required to offer: compare-and-swap of one key, range
reads, leases and watches.
"""

import base64
from typing import Any

import orjson

from crocusrouter.store import records

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
WATCH_PATH = "/v3/watch"


def encode(data: str | bytes) -> str:
    """Encode `data` as base64, as the gateway expects it."""
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def decode(text: str) -> bytes:
    """Decode base64 text of the gateway."""
    return base64.b64decode(text)


def compute_range_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with `prefix`.

    >>> compute_range_end("a/")
    b'a0'
    """
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def build_range_request(prefix: str) -> bytes:
    """Build a request to read all keys under `prefix`."""
    return orjson.dumps(
        {"key": encode(prefix), "range_end": encode(compute_range_end(prefix))}
    )


def build_read_request(key: str) -> bytes:
    """Build a request to read one key."""
    return orjson.dumps({"key": encode(key)})


def build_swap_request(
    key: str, expected_revision: int, value: bytes, lease: int
) -> bytes:
    """Build a compare-and-swap of one key.

    Revision 0 means that the key must not exist.
    """
    put: dict[str, Any] = {"key": encode(key), "value": encode(value)}
    if lease:
        put["lease"] = str(lease)
    return orjson.dumps(
        {
            "compare": [
                {
                    "key": encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": encode(key)}}],
        }
    )


def build_grant_request(ttl_s: int) -> bytes:
    """Build a request to create a lease."""
    return orjson.dumps({"TTL": str(ttl_s)})


def build_watch_request(prefix: str, start_revision: int) -> bytes:
    """Build a watch of all keys under `prefix` from `start_revision` on."""
    return orjson.dumps(
        {
            "create_request": {
                "key": encode(prefix),
                "range_end": encode(compute_range_end(prefix)),
                "start_revision": str(start_revision),
            }
        }
    )


def parse_snapshot(body: bytes) -> records.Snapshot:
    """Parse the answer to a range or read request."""
    answer = orjson.loads(body)
    found_records = tuple(_parse_pair(pair) for pair in answer.get("kvs", ()))
    return records.Snapshot(found_records, int(answer["header"]["revision"]))


def parse_swap(body: bytes) -> int | records.Conflict:
    """Parse the answer to a swap; return the new revision or the conflict."""
    answer = orjson.loads(body)
    if answer.get("succeeded"):
        return int(answer["header"]["revision"])
    pairs = answer["responses"][0]["response_range"].get("kvs", ())
    return records.Conflict(_parse_pair(pairs[0]) if pairs else None)


def parse_grant(body: bytes) -> int:
    """Parse the answer to a grant; return the id of the lease."""
    return int(orjson.loads(body)["ID"])


def parse_events(line: bytes) -> tuple[records.Event, ...]:
    """Parse one line of a watch's answer; return its events."""
    result = orjson.loads(line)["result"]
    return tuple(_parse_event(event) for event in result.get("events", ()))


def _parse_pair(pair: dict[str, str]) -> records.Record:
    key = decode(pair["key"]).decode()
    return records.unwrap(key, decode(pair["value"]), int(pair["mod_revision"]))


def _parse_event(event: dict[str, Any]) -> records.Event:
    pair = event["kv"]
    if event.get("type") == "DELETE":
        key = decode(pair["key"]).decode()
        return records.Removed(key, int(pair["mod_revision"]))
    return records.Changed(_parse_pair(pair))
