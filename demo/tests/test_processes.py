"""Tests of paused, killed and stopped entries with real processes."""

import functools
import signal
import time

import httpcore
import pytest
import trio

from demo import cluster
from demo import templates
from standins import history

_SETTINGS = (
    ("OWNER_TTL_S", "0.6"),
    ("TASK_LEASE_S", "3.0"),
    ("VMS_POLL_S", "0.2"),
    ("HEARTBEAT_S", "0.2"),
)
_CUSTOMER = "fbusw-matching"
_KEY = {"Authorization": f"Bearer {templates.find_key(_CUSTOMER)}"}
_LIMIT_S = 30.0


@pytest.fixture
def start(tmp_path):
    """Start clusters and stop them after the test, also if it fails."""
    clusters = []

    def start_cluster(**shape):
        demo_cluster = cluster.Cluster(
            tmp_path,
            cluster.Shape(settings=_SETTINGS, **({"lag_s": 0.1} | shape)),
        )
        clusters.append(demo_cluster)
        demo_cluster.start()
        document = templates.build_templates()[_CUSTOMER]
        demo_cluster.put_template(document | {"guarantee": []}, "e1")
        return demo_cluster

    yield start_cluster
    for demo_cluster in clusters:
        demo_cluster.processes.stop_all()


def _wait_until(condition):
    deadline = time.monotonic() + _LIMIT_S
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise TimeoutError("the condition did not become true")


def _find_owner(demo_cluster, entry):
    owners = demo_cluster.fetch_status(entry)["owners"]
    return owners.get(cluster.DATA_CENTRE, {}).get("owner")


def _submit(demo_cluster, entry, key, run_time_s):
    """Submit until the job is accepted, as a caller that retries would."""

    def try_submit():
        try:
            return cluster.fetch(
                "POST",
                f"{demo_cluster.url(entry)}/v1/jobs",
                {"kind": "tag", "run_time_s": run_time_s},
                _KEY | {"Idempotency-Key": key},
            )["id"]
        except OSError:
            return None

    return _wait_until(try_submit)


def _fetch_state(demo_cluster, entry, job_id):
    url = f"{demo_cluster.url(entry)}/v1/jobs/{job_id}"
    try:
        return cluster.fetch("GET", url, headers=_KEY)["state"]
    except OSError:
        return None


# Guards against a cluster that refuses guarantees right after its start, since
# its entries are ready before the VM list shows them the workers.
def test_started_cluster_accepts_guarantees(start):
    demo_cluster = start(
        entries=2, racks=1, workers_per_rack=2, runners=0, lag_s=5.0
    )
    document = templates.build_templates()["fbusw-tagging"]
    assert demo_cluster.put_template(document, "e1") == 2


# A paused owner must not run a job twice. The owner is paused for longer than
# its lease and another entry takes over. When the old owner resumes in the
# middle of its work, its epoch is fenced, so it changes nothing.
def test_paused_owner_changes_nothing(start):
    demo_cluster = start(entries=2, racks=1, workers_per_rack=2, runners=0)
    names = ["e1", "e2"]
    owner = _wait_until(lambda: _find_owner(demo_cluster, "e1"))
    [successor] = [name for name in names if name != owner]
    job_id = _submit(demo_cluster, successor, "k1", 2.0)
    _wait_until(
        lambda: _fetch_state(demo_cluster, successor, job_id) == "assigned"
    )
    demo_cluster.processes.signal(owner, signal.SIGSTOP)
    _wait_until(lambda: _find_owner(demo_cluster, successor) == successor)
    _wait_until(lambda: _fetch_state(demo_cluster, successor, job_id) == "done")
    demo_cluster.processes.signal(owner, signal.SIGCONT)
    _wait_until(lambda: _find_owner(demo_cluster, owner) == successor)
    _wait_until(lambda: demo_cluster.fetch_status(owner)["owned"] == [])
    late_job_id = _submit(demo_cluster, owner, "k2", 0.1)
    _wait_until(
        lambda: _fetch_state(demo_cluster, owner, late_job_id) == "done"
    )
    texts = map(demo_cluster.processes.read_output, demo_cluster.workers)
    records = history.read_records(texts)
    started_ids = [r["job_id"] for r in records if r["what"] == "started"]
    assert sorted(started_ids) == sorted([job_id, late_job_id])
    epochs = [
        line["epoch"]
        for name in names
        for line in demo_cluster.processes.read_log(name)
        if line.get("message_type") == "owner:took-over"
    ]
    assert len(epochs) == len(set(epochs))


async def _send_until(pool, url, outcomes, stop_at):
    """Send requests on keep-alive connections until `stop_at`."""
    while time.monotonic() < stop_at:
        try:
            response = await pool.request(
                "POST",
                f"{url}/v1/requests/match",
                headers=list(_KEY.items()),
                content=b'{"item": 1, "work_s": 0.3}',
            )
        except httpcore.ConnectError:
            return  # the entry has stopped listening; nothing was sent
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            outcomes.append(type(error).__name__)
        else:
            outcomes.append(response.status)


async def _send_requests(url, outcomes, seconds):
    async with (
        httpcore.AsyncConnectionPool() as pool,
        trio.open_nursery() as nursery,
    ):
        for _ in range(16):
            nursery.start_soon(
                _send_until, pool, url, outcomes, time.monotonic() + seconds
            )


# A planned stop must not cut off requests. An entry gets SIGTERM twice, as some
# supervisors send it, while requests are in flight; all get complete answers.
def test_planned_stop_cuts_no_request(start):
    demo_cluster = start(entries=1, racks=0, runners=4)
    outcomes = []

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    _send_requests, demo_cluster.url("e1"), outcomes, 6.0
                )
            )
            await trio.sleep(1.0)
            demo_cluster.processes.signal("e1", signal.SIGTERM)
            await trio.sleep(0.5)
            demo_cluster.processes.signal("e1", signal.SIGTERM)

    trio.run(run)
    assert demo_cluster.processes.wait("e1") == 0
    assert len(outcomes) > 50
    assert set(outcomes) == {200}


# A crash of the owner must not lose jobs. The owner is killed repeatedly, each
# time right after a job was accepted, and every accepted job still ends.
def test_killed_owners_lose_no_accepted_job(start):
    demo_cluster = start(entries=3, racks=1, workers_per_rack=2, runners=0)
    accepted = []
    for number in range(3):
        accepted.append(_submit(demo_cluster, "e1", f"k{number}", 0.5))
        owner = _find_owner(demo_cluster, "e1")
        demo_cluster.processes.kill(owner)
        demo_cluster.start_entry(owner)
        for name in demo_cluster.entries:
            demo_cluster.wait_ready(name)
    for job_id in accepted:
        _wait_until(
            lambda j=job_id: _fetch_state(demo_cluster, "e2", j) == "done"
        )
