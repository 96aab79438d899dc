"""Tests of encoding calls to the platform and decoding its answers."""

import base64

import orjson
import pytest

from crocusrouter import platform
from crocusrouter import queues
from crocusrouter import work
from crocusrouter.outcomes import RefusedError
from crocusrouter.platform import calls
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics
from crocusrouter.work import vms
from crocusrouter.work import worker_port

_TASK_KEY = work.TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
_TASK_NAME = "5c0e7a21d94b36f8.0.1.17"


class _FakeTransport:
    """Answers calls from a list and records the requests."""

    def __init__(self, monkeypatch, *answers):
        self.requests = []
        self._answers = list(answers)
        for client_class in (calls.HttpClient, calls.Connection):
            monkeypatch.setattr(client_class, "call", self._call)

    async def _call(self, method, target, document, timeout_s, headers=None):
        self.requests.append((method, target, document))
        return self._answers.pop(0)


def _answer(status, **document):
    return calls.Response(status, document)


_ANSWER_LOST = calls.NoResponse("lost", maybe_done=True)
_NOT_SENT = calls.NoResponse("refused", maybe_done=False)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (_answer(200, clock_ms=5), worker_port.Accepted(5)),
        (
            _answer(409, clock_ms=5, reason="fence"),
            worker_port.Rejected(worker_port.RejectionReason.FENCED, 5),
        ),
        (
            _answer(409, clock_ms=5, reason="room"),
            worker_port.Rejected(worker_port.RejectionReason.NO_ROOM, 5),
        ),
        (
            _answer(409, clock_ms=5, reason="a new one"),
            worker_port.Rejected(worker_port.RejectionReason.INVALID, 5),
        ),
        (
            _answer(421),
            worker_port.Rejected(worker_port.RejectionReason.OTHER_INCARNATION),
        ),
        (
            _answer(503),
            worker_port.Rejected(worker_port.RejectionReason.UNHEALTHY),
        ),
        (
            _answer(429),
            worker_port.Rejected(worker_port.RejectionReason.UNHEALTHY),
        ),
        (_ANSWER_LOST, worker_port.NoAnswer("lost", maybe_done=True)),
        (_NOT_SENT, worker_port.NoAnswer("refused", maybe_done=False)),
    ],
)
async def test_start_maps_answers(monkeypatch, answer, expected):
    transport = _FakeTransport(monkeypatch, answer)
    worker = platform.PlatformWorkerConnection("i-1", "127.0.0.1:1")
    order = worker_port.Start(_TASK_KEY, 2, "text", "cp")
    assert await worker.start(7, order, 486000, 0.3) == expected
    assert transport.requests == [
        (
            "POST",
            "/run-start",
            {
                "task": _TASK_NAME,
                "run_id": 2,
                "spec": "text",
                "until_ms": 486000,
                "fencing_token": 7,
                "checkpoint": "cp",
            },
        )
    ]


async def test_hold_skips_foreign_rows(monkeypatch):
    """A run with a name of another form, or an unknown outcome of a run, must
    not stop the owner of a whole pool.
    """
    rows = [["someone-elses", 1, "", 0], [_TASK_NAME, 2, "", 0]]
    ends = [[1, "odd", 1, "done", ""], [2, _TASK_NAME, 1, "new-word", ""]]
    _FakeTransport(
        monkeypatch, _answer(200, clock_ms=9, running=rows, finished=ends)
    )
    report = await platform.PlatformWorkerConnection("i", "127.0.0.1:1").hold(
        7, 0, None, 0.0
    )
    assert [row.key for row in report.running] == [_TASK_KEY]
    assert report.ended == (
        worker_port.RunEnd(2, _TASK_KEY, 1, worker_port.RunOutcome.BROKEN),
    )


@pytest.mark.parametrize(
    ("born", "expected"),
    [
        (1_769_216_655_123, 1_769_216_655_123),
        (0, None),
        (-1, None),
        (1.5, None),
        ("1769216655123", None),
        (True, None),
        (None, None),
    ],
)
async def test_hold_accepts_only_positive_integer_start_times(
    monkeypatch, born, expected
):
    _FakeTransport(monkeypatch, _answer(200, clock_ms=9, born=born))
    worker = platform.PlatformWorkerConnection("i-1", "127.0.0.1:1")
    assert (await worker.hold(7, 0, None, 0.0)).born_ms == expected


async def test_hold_decodes_runs_and_ends(monkeypatch):
    transport = _FakeTransport(
        monkeypatch,
        _answer(
            200,
            clock_ms=9,
            running=[[_TASK_NAME, 2, "cp", 41], [_TASK_NAME, 3, None, 5, 12]],
            finished=[[58, _TASK_NAME, 1, "done", ""]],
        ),
    )
    worker = platform.PlatformWorkerConnection("i-1", "127.0.0.1:1")
    report = await worker.hold(7, 57, None, 1.0)
    assert report == worker_port.Report(
        9,
        (
            worker_port.ReportedRun(_TASK_KEY, 2, "cp", 41.0),
            worker_port.ReportedRun(_TASK_KEY, 3, "", 5.0, 12.0),
        ),
        (
            worker_port.RunEnd(
                58, _TASK_KEY, 1, worker_port.RunOutcome.DONE, ""
            ),
        ),
    )
    assert transport.requests[0][2] == {
        "fencing_token": 7,
        "last_seen": 57,
        "wait_ms": 1000,
    }


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (_answer(200, revision=412), key_value.Written(412)),
        (
            _answer(
                412,
                items=[
                    {"key": "k", "value": "dg==", "revision": 3},
                    {"key": "l", "revision": 0},
                ],
            ),
            key_value.Mismatched({"k": records.Record("k", b"v", 3)}),
        ),
        (_answer(404), key_value.LeaseEnded()),
        (_answer(503), key_value.NotWritten("status 503")),
        (_answer(429), key_value.NotWritten("status 429")),
        (_answer(500), key_value.MaybeWritten("status 500")),
        (_ANSWER_LOST, key_value.MaybeWritten("lost")),
        (_NOT_SENT, key_value.NotWritten("refused")),
    ],
)
async def test_write_maps_answers(monkeypatch, answer, expected):
    transport = _FakeTransport(monkeypatch, answer)
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    outcome = await store.write(
        (key_value.Guard("k", 0),), (key_value.Write("k", b"v", 7),), ("gone",)
    )
    assert outcome == expected
    assert transport.requests[0][2] == {
        "expected_rev": [{"key": "k", "revision": 0}],
        "writes": [{"key": "k", "value": "dg==", "lease": 7}],
        "remove": ["gone"],
    }


def _item(key, revision=1):
    value = base64.b64encode(b"v").decode()
    return {"key": key, "value": value, "revision": revision}


async def test_read_prefix_returns_revision_of_first_page(monkeypatch):
    """A watch that starts at the last page's revision would miss changes
    between two pages for good.
    """
    transport = _FakeTransport(
        monkeypatch,
        _answer(200, items=[_item("a")], has_more=True, at_rev=5),
        _answer(200, items=[_item("b")], has_more=False, at_rev=9),
    )
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    snapshot = await store.read_prefix("")
    assert [record.key for record in snapshot.records] == ["a", "b"]
    assert snapshot.revision == 5
    assert "after=a" in transport.requests[1][1]


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (_answer(410), key_value.HistoryGoneError),
        (_answer(503), client.StoreUnavailableError),
        (_ANSWER_LOST, client.StoreUnavailableError),
    ],
)
async def test_watch_raises_on_failure(monkeypatch, answer, error):
    _FakeTransport(monkeypatch, answer)
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    with pytest.raises(error):
        await store.watch("p/", 3, 1.0)


async def test_watch_decodes_changes_and_removals(monkeypatch):
    events = [_item("p/a", 7), {"key": "p/b", "revision": 8, "deleted": True}]
    _FakeTransport(monkeypatch, _answer(200, events=events, at_rev=9))
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    assert await store.watch("p/", 3, 1.0) == key_value.Changes(
        (
            records.Changed(records.Record("p/a", b"v", 7)),
            records.Removed("p/b", 8),
        ),
        9,
    )


_QUEUE = queues.Queue("r1", "h", "/x/", "s", 1, 3, 3.0, 1.0)


def test_submission_is_decoded():
    body = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "affinity": "r1-3"},
            {
                "count": 20,
                "gpu": 2,
                "after": [0],
                "gang": True,
                "same_rack": True,
                "checkpointing": True,
                "est_duration_ms": 7000,
            },
        ],
        "repeat_count": 3,
        "first_run_ms": 9000,
        "interval_ms": 2000,
    }
    job = platform.parse_submission(orjson.dumps(body), "0a", _QUEUE, "t", 5.0)
    assert job.steps[0].rack == "r1-3"
    assert job.steps[1].room == work.Room(0, 0, 2)
    assert job.steps[1].gang and job.steps[1].one_rack
    assert job.steps[1].expected_s == 7.0
    assert job.find_due(2) == 13.0
    assert (job.pool, job.priority, job.max_attempts) == ("s", 1, 3)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"{}",
        b'{"steps": []}',
        b'{"steps": [{"count": -1}]}',
        b'{"steps": [{"count": 1, "after": [0]}]}',
        b'{"steps": [{"count": 1, "cpu": -5}]}',
        b'{"steps": [{"count": 1, "est_duration_ms": "Infinity"}]}',
        b'{"steps": [{"count": 1, "est_duration_ms": "NaN"}]}',
        b'{"steps": 7}',
        orjson.dumps({"spec": "x" * 4001, "steps": [{"count": 1}]}),
    ],
)
def test_invalid_submission_is_refused_with_detail(body):
    with pytest.raises(RefusedError) as caught:
        platform.parse_submission(body, "0a", _QUEUE, "t", 5.0)
    assert caught.value.refusal.detail


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (
            _answer(200, good=[["i-1", "t1"]], valid_ms=3000),
            worker_port.PolicyAnswer({"i-1": "t1"}, 3.0),
        ),
        (_answer(200, good=[], valid_ms=0), worker_port.PolicyAnswer({}, 0.0)),
        (_answer(429), worker_port.NoAnswer("status 429", maybe_done=False)),
        (_ANSWER_LOST, worker_port.NoAnswer("lost", maybe_done=True)),
    ],
)
async def test_advise_maps_answers(monkeypatch, answer, expected):
    transport = _FakeTransport(monkeypatch, answer)
    policy = platform.PlatformPolicy("127.0.0.1:1")
    step = work.StepKey(_TASK_KEY.job, 0, 1)
    assert await policy.advise(step, ("i-1", "i-2"), 1.0) == expected
    [(method, target, document)] = transport.requests
    assert (method, target) == ("POST", "/advise")
    assert document == {
        "step": "5c0e7a21d94b36f8.0.1",
        "workers": ["i-1", "i-2"],
    }


_VM_ROW = {"machine": "m-1", "pool": "p", "state": "up", "id": "i-1"}


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        (
            [_answer(200, machines=[_VM_ROW], next_token=None)],
            (vms.Vm("m-1", "p", vms.VmState.UP, "i-1"),),
        ),
        (
            [
                _answer(200, machines=[_VM_ROW], next_token="t"),
                _answer(200, machines=[{"machine": "m-2", "state": "down"}]),
            ],
            (
                vms.Vm("m-1", "p", vms.VmState.UP, "i-1"),
                vms.Vm("m-2", "", vms.VmState.DOWN, ""),
            ),
        ),
        ([_answer(429)], worker_port.NoAnswer("status 429")),
        ([_ANSWER_LOST], worker_port.NoAnswer("lost", maybe_done=True)),
    ],
)
async def test_list_vms_maps_answers(monkeypatch, answers, expected):
    _FakeTransport(monkeypatch, *answers)
    assert await platform.PlatformVms("127.0.0.1:1").list_vms() == expected


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (_answer(200), vms.Upkeep.DONE),
        (_answer(409, reason="fence"), vms.Upkeep.FENCED),
        (_answer(409, reason="busy"), vms.Upkeep.BUSY),
        (_answer(409, reason="wave"), vms.Upkeep.FOREIGN),
        (_answer(400), vms.Upkeep.FOREIGN),
        (_answer(429), worker_port.NoAnswer("status 429", maybe_done=False)),
        (_ANSWER_LOST, worker_port.NoAnswer("lost", maybe_done=True)),
    ],
)
async def test_begin_upkeep_maps_answers(monkeypatch, answer, expected):
    transport = _FakeTransport(monkeypatch, answer)
    platform_vms = platform.PlatformVms("127.0.0.1:1")
    assert await platform_vms.begin_upkeep("e1", 7, "m-1", 3) == expected
    assert transport.requests == [
        ("POST", "/machine-upkeep", {"machine": "m-1", "wave": 3})
    ]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (
            b'{"wave":1,"machines":["m-1"],"within_s":20,"max_count":1}',
            vms.Wave(1, frozenset({"m-1"}), 20.0, 1),
        ),
        (b'{"wave":1,"machines":["m-1"],"max_count":0}', None),
        (b"no wave", None),
    ],
)
def test_wave_is_decoded_or_none(value, expected):
    assert platform.parse_wave("op/wave/1", value) == expected


def test_wave_status_of_completed_wave():
    key, body = platform.build_wave_status(1, True)
    assert key == "status/wave/1"
    assert orjson.loads(body)["state"] == "completed"


async def test_pace_sends_percentage(monkeypatch):
    transport = _FakeTransport(monkeypatch, _answer(200, clock_ms=5))
    worker = platform.PlatformWorkerConnection("i-1", "127.0.0.1:1")
    assert await worker.pace(
        7, worker_port.Pace(_TASK_KEY, 2, 40), 0.3
    ) == worker_port.Accepted(5)
    assert transport.requests == [
        (
            "POST",
            "/pace",
            {
                "task": _TASK_NAME,
                "run_id": 2,
                "percent": 40,
                "fencing_token": 7,
            },
        )
    ]


# Guards against an entry that ends with an error because the store, or a proxy
# before it, answers once with status 200 and another document.
@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.read("k"),
        lambda store: store.read_prefix("k/"),
        lambda store: store.watch("k/", 5, 1.0),
        lambda store: store.grant_lease(1.8),
    ],
    ids=["read", "read-prefix", "watch", "lease"],
)
@pytest.mark.parametrize("document", [{}, {"": "starting"}])
async def test_unreadable_answer_of_the_store_is_no_answer(
    call, document, monkeypatch
):
    _FakeTransport(monkeypatch, calls.Response(200, document))
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    with pytest.raises(client.StoreUnavailableError):
        await call(store)


# Guards against an owner that ends with an error where the answer to its write
# can't be read; the write may have been carried out.
async def test_unreadable_answer_to_a_write_tells_nothing(monkeypatch):
    _FakeTransport(monkeypatch, calls.Response(200, {"": "starting"}))
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    outcome = await store.write(
        (key_value.Guard("k", 0),), (key_value.Write("k", b"v"),)
    )
    assert isinstance(outcome, key_value.MaybeWritten)


# Guards against the same errors where the fields are there with other types.
@pytest.mark.parametrize(
    ("call", "document"),
    [
        (lambda store: store.read("k"), {"key": 5, "revision": 1}),
        (lambda store: store.read("k"), {"key": "k", "value": "x"}),
        (lambda store: store.read("k"), {"key": "k", "revision": "new"}),
        (lambda store: store.read_prefix("k/"), {"at_rev": 1, "items": None}),
        (lambda store: store.read_prefix("k/"), {"at_rev": 1, "items": [5]}),
        (
            lambda store: store.watch("k/", 5, 1.0),
            {"at_rev": 6, "events": [{"deleted": True, "key": "k/1"}]},
        ),
        (lambda store: store.grant_lease(1.8), {"lease": None}),
    ],
)
async def test_answer_with_other_types_is_no_answer(
    call, document, monkeypatch
):
    _FakeTransport(monkeypatch, calls.Response(200, document))
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    with pytest.raises(client.StoreUnavailableError):
        await call(store)


# Guards against an owner that ends with an error, or believes that a key is
# missing, where the records of a mismatch can't be read.
@pytest.mark.parametrize("items", [None, [5], [{"revision": 3}]])
async def test_unreadable_mismatch_tells_nothing(items, monkeypatch):
    _FakeTransport(monkeypatch, calls.Response(412, {"items": items}))
    store = platform.PlatformStore("127.0.0.1:1", Metrics())
    outcome = await store.write(
        (key_value.Guard("k", 0),), (key_value.Write("k", b"v"),)
    )
    assert isinstance(outcome, key_value.MaybeWritten)
