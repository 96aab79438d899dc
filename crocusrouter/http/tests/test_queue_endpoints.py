"""Checks the answers to calls on queues and the counters of refusals."""

import contextlib

import orjson
import pytest
import trio

from crocusrouter.http import entry_app
from crocusrouter.outcomes import RefusalReason
from standins import emulator
from standins.emulator import cluster as clusters

_READY_PORT = 8001
_METRICS_PORT = 8002
_JOB_ID = "0123456789abcdef"
_STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "est_duration_ms": 500}
_JOB_BODY = {"spec": "text", "steps": [_STEP]}

# Reasons that only calls on queues can cause.
REASONS = frozenset({RefusalReason.UNKNOWN_QUEUE})


class _ServedEntry:
    """One emulated entry behind its ASGI application."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entry = cluster.entries["e0"]
        self.app = entry_app.build_entry_app(
            self.entry, _READY_PORT, _METRICS_PORT
        )

    async def ask(
        self, method, path, body=b"", key="a", port=80, host="h", chunks=1
    ):
        headers = [(b"host", host.encode())]
        if key:
            headers.append((b"x-api-key", key.encode()))
        content = body if isinstance(body, bytes) else orjson.dumps(body)
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
            "server": ("127.0.0.1", port),
            "scheme": "http",
            "http_version": "1.1",
        }
        request_messages = [
            {
                "type": "http.request",
                "body": content,
                "more_body": number < chunks - 1,
            }
            for number in range(chunks)
        ]
        response_messages = []

        async def receive():
            return request_messages.pop(0)

        async def send(message):
            response_messages.append(message)

        await self.app(scope, receive, send)
        data = b"".join(
            message.get("body", b"") for message in response_messages[1:]
        )
        headers = dict(response_messages[0]["headers"])
        return response_messages[0]["status"], headers, data


@contextlib.asynccontextmanager
async def _serve():
    cluster = clusters.Cluster(1)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        await trio.sleep(3.0)
        yield _ServedEntry(cluster)
        nursery.cancel_scope.cancel()


_REFUSED = [
    # (changes to a valid call, status, reason)
    ({"path": f"/x/{_JOB_ID}"}, 404, RefusalReason.UNKNOWN_QUEUE),
    ({"host": "other"}, 404, RefusalReason.UNKNOWN_QUEUE),
    ({"key": ""}, 401, RefusalReason.UNAUTHENTICATED),
    ({"key": "zz"}, 401, RefusalReason.UNAUTHENTICATED),
    ({"path": "/q/short"}, 410, RefusalReason.UNKNOWN_JOB),
    ({"method": "GET"}, 410, RefusalReason.UNKNOWN_JOB),
    ({"method": "DELETE"}, 410, RefusalReason.UNKNOWN_JOB),
    ({"method": "PUT"}, 400, RefusalReason.MALFORMED_HTTP),
    ({"body": b"{"}, 400, RefusalReason.MALFORMED_JSON),
    ({"body": {"steps": []}}, 400, RefusalReason.INVALID_DOCUMENT),
    (
        {"body": _JOB_BODY | {"spec": "x" * 4001}},
        400,
        RefusalReason.INVALID_DOCUMENT,
    ),
    (
        {"body": {"steps": [_STEP | {"count": 0}]}},
        400,
        RefusalReason.INVALID_DOCUMENT,
    ),
    (
        {"body": {"steps": [_STEP | {"after": [0]}]}},
        400,
        RefusalReason.INVALID_DOCUMENT,
    ),
    ({"body": b" " * 300_000}, 413, RefusalReason.BODY_TOO_LARGE),
]


@pytest.mark.parametrize(("change", "status", "reason"), _REFUSED)
async def test_refused_call_is_typed_and_counted(
    change, status, reason, autojump_clock
):
    call = {
        "method": "POST",
        "path": f"/q/{_JOB_ID}",
        "body": _JOB_BODY,
    } | change
    async with _serve() as served_entry:
        answered_status, _, data = await served_entry.ask(**call)
        refusal_count = served_entry.entry.metrics.counts[f"refused:{reason}"]
    assert answered_status == status
    assert orjson.loads(data)["reason"] == reason
    assert refusal_count == 1


def test_all_reasons_of_these_calls_are_in_the_table():
    assert {reason for _, _, reason in _REFUSED} >= REASONS


async def test_job_from_submission_to_cancellation(autojump_clock):
    async with _serve() as served_entry:
        cluster = served_entry.cluster
        load = emulator.Load(poison=0.0).draw(1)
        cluster.oracle.jobs[_JOB_ID] = load[0][1]
        status, _, _ = await served_entry.ask(
            "POST", f"/q/{_JOB_ID}", _JOB_BODY
        )
        assert status == 200
        second_status, _, _ = await served_entry.ask(
            "POST", f"/q/{_JOB_ID}", _JOB_BODY
        )
        assert second_status == 200
        await trio.sleep(0.1)
        _, _, state = await served_entry.ask("GET", f"/q/{_JOB_ID}")
        assert orjson.loads(state) in (
            {"state": "queued"},
            {"state": "running"},
        )
        status, _, _ = await served_entry.ask("DELETE", f"/q/{_JOB_ID}")
        assert status == 200
        await trio.sleep(0.5)
        _, _, state = await served_entry.ask("GET", f"/q/{_JOB_ID}")
        assert orjson.loads(state) == {"state": "cancelled"}
        _, _, count = await served_entry.ask("GET", "/q/")
        assert orjson.loads(count) == {"pending": 0}


async def test_stale_configuration_refuses_with_retry_after(
    autojump_clock,
):
    """A key may be revoked while an entry reaches neither store nor peers.

    The entry must not keep using its stale configuration: after five seconds
    it answers 503 with a Retry-After, and reports that it isn't ready.
    """
    async with _serve() as served_entry:
        cluster = served_entry.cluster
        cluster.store.entry_faults["e0"] = emulator.StoreFault.SILENT
        cluster.partitioned_entries.add("e0")
        await trio.sleep(6.5)
        status, headers, _ = await served_entry.ask("GET", f"/q/{_JOB_ID}")
        ready, _, _ = await served_entry.ask("GET", "/ready", port=_READY_PORT)
    assert status == 503
    assert headers[b"retry-after"] == b"1"
    assert ready == 503


async def test_cancel_during_an_outage_gets_retry_after(autojump_clock):
    """Callers repeat a cancel that got 504 every half second at every entry.

    During an outage of the store no write was tried, so the entry can answer
    503, whose Retry-After limits the rate of repetitions.
    """
    async with _serve() as served_entry:
        served_entry.cluster.store.fault = emulator.StoreFault.BUSY
        await trio.sleep(1.0)
        status, headers, _ = await served_entry.ask("DELETE", f"/q/{_JOB_ID}")
    assert status == 503
    assert headers[b"retry-after"] == b"1"


async def test_configuration_comes_from_a_peer(autojump_clock):
    """A key is revoked while the store rejects one entry's calls.

    That entry gets the new configuration from its peers' heartbeats.
    """
    async with _serve() as served_entry:
        cluster = served_entry.cluster
        cluster.store.entry_faults["e0"] = emulator.StoreFault.BUSY
        await trio.sleep(1.0)
        cluster.put_config({"b": 8})
        await trio.sleep(2.0)
        status, _, _ = await served_entry.ask("GET", f"/q/{_JOB_ID}", key="a")
    assert status == 401


@pytest.mark.parametrize(
    ("port", "expected"),
    [(_READY_PORT, b""), (_METRICS_PORT, b"crocusrouter_")],
)
async def test_ready_and_metrics_ports(port, expected, autojump_clock):
    async with _serve() as served_entry:
        status, _, data = await served_entry.ask("GET", "/any", port=port)
    assert status == 200
    assert expected in data


# A caller retries four times. With a fixed Retry-After of one second it would
# give up a job in an outage of 4.2 s. So the Retry-After grows with the time
# that the outage has lasted.
@pytest.mark.parametrize(
    ("outage_s", "retry_after"), [(0.6, b"1"), (2.7, b"3"), (9.0, b"4")]
)
async def test_retry_after_grows_with_the_outage(
    outage_s, retry_after, autojump_clock
):
    async with _serve() as served_entry:
        served_entry.cluster.store.fault = emulator.StoreFault.BUSY
        # This call detects the outage, unless a renewal or a watch already did.
        await served_entry.ask("POST", "/q/00000000000000ff", _JOB_BODY)
        await trio.sleep(outage_s)
        status, headers, _ = await served_entry.ask(
            "POST", f"/q/{_JOB_ID}", _JOB_BODY
        )
    assert status == 503
    assert headers[b"retry-after"] == retry_after


async def test_caller_that_obeys_retry_after_is_served_after_an_outage(
    autojump_clock,
):
    """The users' callers make four more tries, each after the Retry-After."""
    async with _serve() as served_entry:
        served_entry.cluster.store.fault = emulator.StoreFault.BUSY
        statuses = []
        with trio.move_on_after(4.2) as outage:
            for _ in range(5):
                status, headers, _ = await served_entry.ask(
                    "POST", f"/q/{_JOB_ID}", _JOB_BODY
                )
                statuses.append(status)
                await trio.sleep(float(headers[b"retry-after"]))
        assert outage.cancelled_caught
        assert len(statuses) < 5
        served_entry.cluster.store.fault = emulator.StoreFault.NONE
        await trio.sleep(1.0)
        status, _, _ = await served_entry.ask(
            "POST", f"/q/{_JOB_ID}", _JOB_BODY
        )
    assert status == 200
