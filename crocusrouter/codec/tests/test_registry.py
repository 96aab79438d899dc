import cbor2
import pytest

from crocusrouter import codec
from crocusrouter import jobs
from crocusrouter.fleet import messages as worker_messages
from crocusrouter.mesh import messages as mesh_messages
from crocusrouter.templates import Level

_TASK_REPORT = worker_messages.TaskReport(
    "a.1", 1, worker_messages.TaskPhase.RUNNING, 3
)
_JOB_VIEW = mesh_messages.JobView(b"\x00\xff", "running", "", ((1.0, "x"),))


# Regression: nested messages could not be encoded, so a worker with tasks could
# not report them to a new owner, and its jobs never ended.
@pytest.mark.parametrize(
    ("registry", "message"),
    [
        (worker_messages.REGISTRY, worker_messages.Inventory((_TASK_REPORT,))),
        (worker_messages.REGISTRY, worker_messages.Hello("e1", 3, 6.0)),
        (worker_messages.REGISTRY, worker_messages.Renew()),
        (
            mesh_messages.REGISTRY,
            mesh_messages.JobViews((_JOB_VIEW, _JOB_VIEW)),
        ),
        (mesh_messages.REGISTRY, mesh_messages.RefusalReply("x", "", None)),
        (mesh_messages.REGISTRY, mesh_messages.AnswerReply("done", 200, b"x")),
    ],
)
def test_messages_decode_to_equal_messages(registry, message):
    assert registry.decode(registry.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        "text",
        cbor2.dumps([99]),
        cbor2.dumps({"a": 1}),
        cbor2.dumps([0, "e1", "not a number", 1.0]),
        cbor2.dumps([0]),
        cbor2.dumps(7),
    ],
)
def test_invalid_data_raises_bad_message_error(data):
    with pytest.raises(codec.BadMessageError):
        worker_messages.REGISTRY.decode(data)


def test_stored_job_decodes_to_equal_job():
    spec = jobs.Spec("tag", 2, Level.RACK, 1.0, 2.0, 3, payload='{"a": "é"}')
    job = jobs.Job("a.1", "c", spec, 5.0, members=(jobs.Member("w", 3),))
    assert codec.unpack(jobs.Job, codec.pack(job)) == job
