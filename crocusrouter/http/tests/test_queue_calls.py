"""What callers of queues hear, and that every refusal is counted."""

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
_ID = "0123456789abcdef"
_STEP = {"count": 1, "cpu": 1000, "mem_mb": 100, "est_duration_ms": 500}
_JOB = {"spec": "text", "steps": [_STEP]}

# Reasons that only these calls can cause.
REASONS = frozenset({RefusalReason.UNKNOWN_QUEUE})


class _Entry:
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
        parts = [
            {
                "type": "http.request",
                "body": content,
                "more_body": number < chunks - 1,
            }
            for number in range(chunks)
        ]
        sent = []

        async def receive():
            return parts.pop(0)

        async def send(message):
            sent.append(message)

        await self.app(scope, receive, send)
        data = b"".join(part.get("body", b"") for part in sent[1:])
        headers = dict(sent[0]["headers"])
        return sent[0]["status"], headers, data


@contextlib.asynccontextmanager
async def _serve():
    held = clusters.Cluster(1)
    async with trio.open_nursery() as nursery:
        await nursery.start(held.run)
        await trio.sleep(3.0)
        yield _Entry(held)
        nursery.cancel_scope.cancel()


_REFUSED = [
    # (change of the call, status, reason)
    ({"path": f"/x/{_ID}"}, 404, RefusalReason.UNKNOWN_QUEUE),
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
        {"body": _JOB | {"spec": "x" * 4001}},
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
    call = {"method": "POST", "path": f"/q/{_ID}", "body": _JOB} | change
    async with _serve() as served:
        answered, _, data = await served.ask(**call)
        counted = served.entry.metrics.counts[f"refused:{reason}"]
    assert answered == status
    assert orjson.loads(data)["reason"] == reason
    assert counted == 1


def test_all_reasons_of_these_calls_are_in_the_table():
    assert {reason for _, _, reason in _REFUSED} >= REASONS


async def test_job_from_hand_in_to_end(autojump_clock):
    async with _serve() as served:
        cluster = served.cluster
        load = emulator.Load(poison=0.0).draw(1)
        cluster.oracle.jobs[_ID] = load[0][1]
        status, _, _ = await served.ask("POST", f"/q/{_ID}", _JOB)
        assert status == 200
        again, _, _ = await served.ask("POST", f"/q/{_ID}", _JOB)
        assert again == 200
        await trio.sleep(0.1)
        _, _, state = await served.ask("GET", f"/q/{_ID}")
        assert orjson.loads(state) in (
            {"state": "queued"},
            {"state": "running"},
        )
        status, _, _ = await served.ask("DELETE", f"/q/{_ID}")
        assert status == 200
        await trio.sleep(0.5)
        _, _, state = await served.ask("GET", f"/q/{_ID}")
        assert orjson.loads(state) == {"state": "cancelled"}
        _, _, count = await served.ask("GET", "/q/")
        assert orjson.loads(count) == {"pending": 0}


async def test_stale_configuration_refuses_with_a_time_to_come_back(
    autojump_clock,
):
    """A key is taken away while an entry reaches neither store nor peers.

    It must not go on answering by what it knew: after five seconds callers
    hear 503 and when to come back, and the balancer hears "not ready".
    """
    async with _serve() as served:
        cluster = served.cluster
        cluster.store.entry_faults["e0"] = emulator.StoreFault.SILENT
        cluster.partitioned_entries.add("e0")
        await trio.sleep(6.5)
        status, headers, _ = await served.ask("GET", f"/q/{_ID}")
        ready, _, _ = await served.ask("GET", "/ready", port=_READY_PORT)
    assert status == 503
    assert headers[b"retry-after"] == b"1"
    assert ready == 503


async def test_cancel_during_an_outage_is_told_to_come_back(autojump_clock):
    """The store is away for seconds. A cancel that is told 504 is asked
    again every half second, by every caller, at every entry.

    Nothing was tried, so 503 is true, and says when to come back.
    """
    async with _serve() as served:
        served.cluster.store.fault = emulator.StoreFault.BUSY
        await trio.sleep(1.0)
        status, headers, _ = await served.ask("DELETE", f"/q/{_ID}")
    assert status == 503
    assert headers[b"retry-after"] == b"1"


async def test_configuration_comes_from_a_peer(autojump_clock):
    """The store turns an entry away while a key is taken away.

    Its heartbeats with peers bring the new version within their interval.
    """
    async with _serve() as served:
        cluster = served.cluster
        cluster.store.entry_faults["e0"] = emulator.StoreFault.BUSY
        await trio.sleep(1.0)
        cluster.put_config({"b": 8})
        await trio.sleep(2.0)
        status, _, _ = await served.ask("GET", f"/q/{_ID}", key="a")
    assert status == 401


@pytest.mark.parametrize(
    ("port", "expected"),
    [(_READY_PORT, b""), (_METRICS_PORT, b"crocusrouter_")],
)
async def test_ports_of_the_platform(port, expected, autojump_clock):
    async with _serve() as served:
        status, _, data = await served.ask("GET", "/any", port=port)
    assert status == 200
    assert expected in data


# A caller gives a job up although the store comes back: it asks four times
# more, a second apart as it was told, and the outage lasts 4.2 s. It is told
# to come back after as long as the outage has lasted already.
@pytest.mark.parametrize(
    ("after_s", "told"), [(0.6, b"1"), (2.7, b"3"), (9.0, b"4")]
)
async def test_longer_outage_is_told_by_a_later_return(
    after_s, told, autojump_clock
):
    async with _serve() as served:
        served.cluster.store.fault = emulator.StoreFault.BUSY
        # Something fails at once: a renewal, a watch, or this call.
        await served.ask("POST", "/q/00000000000000ff", _JOB)
        await trio.sleep(after_s)
        status, headers, _ = await served.ask("POST", f"/q/{_ID}", _JOB)
    assert status == 503
    assert headers[b"retry-after"] == told


async def test_caller_that_heeds_is_served_after_an_outage(autojump_clock):
    """Callers as the users describe them: four tries after the first, each
    after the time that the one before was told.
    """
    async with _serve() as served:
        served.cluster.store.fault = emulator.StoreFault.BUSY
        statuses = []
        with trio.move_on_after(4.2) as outage:
            for _ in range(5):
                status, headers, _ = await served.ask("POST", f"/q/{_ID}", _JOB)
                statuses.append(status)
                await trio.sleep(float(headers[b"retry-after"]))
        assert outage.cancelled_caught
        assert len(statuses) < 5
        served.cluster.store.fault = emulator.StoreFault.NONE
        await trio.sleep(1.0)
        status, _, _ = await served.ask("POST", f"/q/{_ID}", _JOB)
    assert status == 200
