"""Failures that need real processes: pauses, kills and planned stops."""

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
    """Start clusters and end them, whatever happens."""
    started = []

    def begin(**shape):
        held = cluster.Cluster(
            tmp_path, cluster.Shape(settings=_SETTINGS, lag_s=0.1, **shape)
        )
        started.append(held)
        held.start()
        document = templates.build_templates()[_CUSTOMER]
        held.put_template(document | {"guarantee": []}, "e1")
        return held

    yield begin
    for held in started:
        held.processes.stop_all()


def _wait(holds):
    limit = time.monotonic() + _LIMIT_S
    while time.monotonic() < limit:
        found = holds()
        if found:
            return found
        time.sleep(0.05)
    raise TimeoutError("the condition never held")


def _find_owner(held, entry):
    owners = held.fetch_status(entry)["owners"]
    return owners.get(cluster.DATA_CENTRE, {}).get("owner")


def _submit(held, entry, key, run_time_s):
    """Submit until accepted, as a caller does that heeds Retry-After."""

    def ask():
        try:
            return cluster.fetch(
                "POST",
                f"{held.url(entry)}/v1/jobs",
                {"kind": "tag", "run_time_s": run_time_s},
                _KEY | {"Idempotency-Key": key},
            )["id"]
        except OSError:
            return None

    return _wait(ask)


def _find_state(held, entry, job_id):
    url = f"{held.url(entry)}/v1/jobs/{job_id}"
    try:
        return cluster.fetch("GET", url, headers=_KEY)["state"]
    except OSError:
        return None


# The caller sees its job done once. The owner is paused for longer than its
# lease; another takes over and goes on. The first one wakes in the middle of
# what it was doing: its epoch is fenced and it changes nothing.
def test_paused_owner_changes_nothing(start):
    held = start(entries=2, racks=1, workers_per_rack=2, runners=0)
    names = ["e1", "e2"]
    owner = _wait(lambda: _find_owner(held, "e1"))
    [other] = [name for name in names if name != owner]
    job_id = _submit(held, other, "k1", 2.0)
    _wait(lambda: _find_state(held, other, job_id) == "assigned")
    held.processes.signal(owner, signal.SIGSTOP)
    _wait(lambda: _find_owner(held, other) == other)
    _wait(lambda: _find_state(held, other, job_id) == "done")
    held.processes.signal(owner, signal.SIGCONT)
    _wait(lambda: _find_owner(held, owner) == other)
    _wait(lambda: held.fetch_status(owner)["owned"] == [])
    late = _submit(held, owner, "k2", 0.1)
    _wait(lambda: _find_state(held, owner, late) == "done")
    texts = map(held.processes.read_output, held.workers)
    records = history.read_records(texts)
    started = [r["job_id"] for r in records if r["what"] == "started"]
    assert sorted(started) == sorted([job_id, late])
    epochs = [
        line["epoch"]
        for name in names
        for line in held.processes.read_log(name)
        if line.get("message_type") == "owner:took-over"
    ]
    assert len(epochs) == len(set(epochs))


async def _call(pool, url, outcomes, stop_at):
    """Call in turn on kept-alive connections until told to stop."""
    while time.monotonic() < stop_at:
        try:
            response = await pool.request(
                "POST",
                f"{url}/v1/requests/match",
                headers=list(_KEY.items()),
                content=b'{"item": 1, "work_s": 0.3}',
            )
        except httpcore.ConnectError:
            return  # closed for good, nothing was sent
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            outcomes.append(type(error).__name__)
        else:
            outcomes.append(response.status)


async def _load(url, outcomes, seconds):
    async with (
        httpcore.AsyncConnectionPool() as pool,
        trio.open_nursery() as nursery,
    ):
        for _ in range(16):
            nursery.start_soon(
                _call, pool, url, outcomes, time.monotonic() + seconds
            )


# Callers see whole answers to all that they sent. An entry is told to stop
# while requests are in flight, twice, as supervisors do.
def test_planned_stop_cuts_no_request(start):
    held = start(entries=1, racks=0, runners=4)
    outcomes = []

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(_load, held.url("e1"), outcomes, 6.0)
            )
            await trio.sleep(1.0)
            held.processes.signal("e1", signal.SIGTERM)
            await trio.sleep(0.5)
            held.processes.signal("e1", signal.SIGTERM)

    trio.run(run)
    assert held.processes.wait("e1") == 0
    assert len(outcomes) > 50
    assert set(outcomes) == {200}


# The caller sees no job lost: the owner is killed right after it accepted,
# again and again, and every accepted job still ends.
def test_killed_owners_lose_no_accepted_job(start):
    held = start(entries=3, racks=1, workers_per_rack=2, runners=0)
    accepted = []
    for number in range(3):
        accepted.append(_submit(held, "e1", f"k{number}", 0.5))
        owner = _find_owner(held, "e1")
        held.processes.kill(owner)
        held.start_entry(owner)
        for name in held.entries:
            held.wait_ready(name)
    for job_id in accepted:
        _wait(lambda j=job_id: _find_state(held, "e2", j) == "done")
