import cbor2
import pytest

from crocusrouter import codec
from crocusrouter import jobs
from crocusrouter.fleet import messages as worker_messages
from crocusrouter.mesh import messages as mesh_messages
from crocusrouter.templates import Level

_TASK = worker_messages.TaskReport(
    "a.1", 1, worker_messages.TaskPhase.RUNNING, 3
)
_VIEW = mesh_messages.JobView(b"\x00\xff", "running", "", ((1.0, "x"),))


# Regression: messages with other messages inside could not be encoded, so a
# worker with tasks could not answer a new owner, and its jobs never ended.
@pytest.mark.parametrize(
    ("registry", "message"),
    [
        (worker_messages.REGISTRY, worker_messages.Inventory((_TASK,))),
        (worker_messages.REGISTRY, worker_messages.Hello("e1", 3, 6.0)),
        (worker_messages.REGISTRY, worker_messages.Renew()),
        (mesh_messages.REGISTRY, mesh_messages.JobViews((_VIEW, _VIEW))),
        (mesh_messages.REGISTRY, mesh_messages.RefusalReply("x", "", None)),
        (mesh_messages.REGISTRY, mesh_messages.AnswerReply("done", 200, b"x")),
    ],
)
def test_messages_survive_the_wire(registry, message):
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
def test_bad_bytes_are_told_apart(data):
    with pytest.raises(codec.BadMessageError):
        worker_messages.REGISTRY.decode(data)


def test_job_survives_the_journal():
    spec = jobs.Spec("tag", 2, Level.RACK, 1.0, 2.0, 3, payload='{"a": "é"}')
    job = jobs.Job("a.1", "c", spec, 5.0, members=(jobs.Member("w", 3),))
    assert codec.unpack(jobs.Job, codec.pack(job)) == job
