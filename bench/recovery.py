"""Times edits, takeovers, recovery and urgent jobs with real processes."""

import signal
import time
from typing import Any

from bench import clusters
from bench import figures
from demo import cluster
from demo import templates
from standins import history

_EDITS = 100
_EDIT_PAUSE_S = 0.05
_REPLACE_EVERY = 25
_TAKEOVERS = 8
_CLAIMS = 30
_SETTLE_S = 1.0
_TIMEOUT_S = 20.0
_CLUSTER_SIZE = "9 entries, 1 data centre, TTL 2 s"
_DEFAULT_SETTINGS: tuple[tuple[str, str], ...] = ()


def _read_all(demo_cluster: cluster.Cluster, kind: str) -> list[dict[str, Any]]:
    """Return the log lines of one kind from all entries."""
    return [
        line
        for name in demo_cluster.entries
        for line in demo_cluster.processes.read_log(name)
        if line.get("message_type") == kind
    ]


def measure_edits() -> list[figures.Figure]:
    """Time from the acknowledgement of an edit until all 9 entries apply it.

    An entry is killed and restarted every 25 edits. Entries log when a revision
    is in force; all use the clock of this machine.
    """
    shape = cluster.Shape(
        entries=9, racks=0, runners=0, settings=_DEFAULT_SETTINGS
    )
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    acknowledged = {}
    replaced_at: dict[str, float] = {}
    names = [f"e{number + 1}" for number in range(9)]
    with clusters.run_cluster(shape) as demo_cluster:
        for number in range(_EDITS):
            if number and number % _REPLACE_EVERY == 0:
                name = names[number // _REPLACE_EVERY]
                demo_cluster.processes.kill(name)
                demo_cluster.start_entry(name)
                demo_cluster.wait_ready(name)
                replaced_at[name] = time.time()
            document["max_jobs"] = 1000 + number
            revision = demo_cluster.put_template(document, "e1")
            acknowledged[revision] = time.time()
            time.sleep(_EDIT_PAUSE_S)
        time.sleep(_SETTLE_S)
        logs = {name: demo_cluster.processes.read_log(name) for name in names}
    durations_s = _list_apply_delays(acknowledged, logs, replaced_at)
    reverts = sum(_count_reverts(lines) for lines in logs.values())
    return [
        figures.Figure(
            "config_in_force_p99_s",
            round(figures.find_percentile(durations_s, 0.99), 4),
            "s",
            f"{_EDITS} edits, 9 entries, one replaced every {_REPLACE_EVERY}",
            round(max(durations_s) - min(durations_s), 4),
        ),
        figures.Figure("config_reverts", reverts, "count", f"{_EDITS} edits"),
    ]


def _list_apply_delays(
    acknowledged: dict[int, float],
    logs: dict[str, list[dict[str, Any]]],
    replaced_at: dict[str, float],
) -> list[float]:
    delays_s = []
    for revision, at in acknowledged.items():
        last = at
        for name, lines in logs.items():
            if replaced_at.get(name, 0.0) > at:
                continue  # its log begins at its restart, after the edit
            seen = [
                line["timestamp"]
                for line in lines
                if line.get("message_type") == "configuration:in-force"
                and line["revision"] >= revision
            ]
            last = max(last, min(seen, default=at + _TIMEOUT_S))
        delays_s.append(last - at)
    return delays_s


def _count_reverts(lines: list[dict[str, Any]]) -> int:
    revisions = [
        line["revision"]
        for line in lines
        if line.get("message_type") == "configuration:in-force"
    ]
    return sum(a > b for a, b in zip(revisions, revisions[1:], strict=False))


def measure_takeovers() -> list[figures.Figure]:
    """Time the takeover by another entry after a kill and a planned stop."""
    return [
        _measure_takeover("takeover_after_kill_p99_s", planned=False),
        _measure_takeover("takeover_planned_p99_s", planned=True),
    ]


def _measure_takeover(name: str, *, planned: bool) -> figures.Figure:
    shape = cluster.Shape(
        entries=9,
        racks=1,
        workers_per_rack=1,
        runners=0,
        settings=_DEFAULT_SETTINGS,
    )
    durations_s = []
    with clusters.run_cluster(shape) as demo_cluster:
        for _ in range(_TAKEOVERS):
            owner = clusters.wait_for_workers(demo_cluster, 1)
            time.sleep(_SETTLE_S)
            known = _read_all(demo_cluster, "owner:took-over")
            epoch = max(line["epoch"] for line in known)
            started_at = time.time()
            if planned:
                demo_cluster.processes.signal(owner, signal.SIGTERM)
            else:
                demo_cluster.processes.kill(owner)
            line = _wait_for_epoch(demo_cluster, owner, epoch + 1)
            if planned:
                started_at = _find_release(demo_cluster, owner, started_at)
                demo_cluster.processes.wait(owner)
            durations_s.append(line["timestamp"] - started_at)
            demo_cluster.start_entry(owner)
            demo_cluster.wait_ready(owner)
    return figures.Figure(
        name,
        round(figures.find_percentile(durations_s, 0.99), 3),
        "s",
        f"{_TAKEOVERS} takeovers, {_CLUSTER_SIZE}",
        round(max(durations_s) - min(durations_s), 3),
    )


def _find_release(
    demo_cluster: cluster.Cluster, owner: str, started_at: float
) -> float:
    """Return when the owner logged its stop, or `started_at` if it did not."""
    stops = [
        line["timestamp"]
        for line in demo_cluster.processes.read_log(owner)
        if line.get("message_type") == "entry:stopping"
    ]
    return float(max([started_at, *stops]))


def _wait_for_epoch(
    demo_cluster: cluster.Cluster, owner: str, epoch: int
) -> dict[str, Any]:
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        for name in demo_cluster.entries:
            if name == owner:
                continue
            for line in demo_cluster.processes.read_log(name):
                if line.get("message_type") == "owner:took-over" and (
                    line["epoch"] >= epoch
                ):
                    return line
        time.sleep(0.05)
    raise TimeoutError(f"no entry took over with epoch {epoch}")


def measure_recovery() -> list[figures.Figure]:
    """Restart all entries at once; time until an owner tracks all jobs."""
    shape = cluster.Shape(
        entries=9,
        racks=2,
        workers_per_rack=3,
        runners=0,
        settings=_DEFAULT_SETTINGS,
    )
    durations_s = []
    with clusters.run_cluster(shape) as demo_cluster:
        demo_cluster.put_template(_build_lender_template(), "e1")
        clusters.wait_for_workers(demo_cluster, 6)
        for number in range(20):
            _submit(
                demo_cluster, "e2", "fbusw-matching", 1, f"long-{number}", 300.0
            )
        for _ in range(3):
            started_at = time.time()
            for name in demo_cluster.entries:
                demo_cluster.processes.kill(name)
            for name in demo_cluster.entries:
                demo_cluster.start_entry(name)
            _wait_for_tracking(demo_cluster, 20)
            durations_s.append(time.time() - started_at)
    return [
        figures.summarize(
            "recovery_all_replaced_s",
            durations_s,
            "s",
            f"20 jobs, {_CLUSTER_SIZE}",
        )
    ]


def _wait_for_tracking(demo_cluster: cluster.Cluster, jobs: int) -> None:
    """Wait until an owner tracks all jobs and knows all workers."""
    deadline = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < deadline:
        for name in demo_cluster.entries:
            try:
                owned = demo_cluster.fetch_status(name)["owned"]
            except OSError:
                continue
            for data_centre in owned:
                if (
                    data_centre["unfinished"] >= jobs
                    and data_centre["workers"] == 6
                ):
                    return
        time.sleep(0.05)
    raise TimeoutError("no owner tracks all jobs and workers")


def _build_lender_template() -> dict[str, Any]:
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    return document


def measure_urgent() -> list[figures.Figure]:
    """Time the start of urgent jobs on accelerators that are lent out.

    Jobs of one customer fill all accelerators as loans. Another customer then
    repeatedly submits a job for its guaranteed cell of 16. Workers record the
    starts by the same clock.
    """
    shape = cluster.Shape(
        entries=3,
        racks=2,
        workers_per_rack=3,
        runners=0,
        settings=_DEFAULT_SETTINGS,
    )
    with clusters.run_cluster(shape) as demo_cluster:
        demo_cluster.put_template(_build_lender_template(), "e1")
        demo_cluster.put_template(
            templates.build_templates()["kilima-maps"], "e1"
        )
        clusters.wait_for_workers(demo_cluster, 6)
        for number in range(60):
            _submit(
                demo_cluster, "e1", "fbusw-matching", 1, f"loan-{number}", 600.0
            )
        time.sleep(_SETTLE_S)
        submitted_at = {}
        for number in range(_CLAIMS):
            at = time.monotonic()
            job_id = _submit(
                demo_cluster, "e2", "kilima-maps", 16, f"claim-{number}", 0.3
            )
            submitted_at[job_id] = at
            time.sleep(1.0)
        texts = map(demo_cluster.processes.read_output, demo_cluster.workers)
        records = history.read_records(texts)
    durations_s = [
        max(
            (
                record["at"]
                for record in records
                if record["job_id"] == job_id and record["what"] == "started"
            ),
            default=at + _TIMEOUT_S,
        )
        - at
        for job_id, at in submitted_at.items()
    ]
    return [
        figures.Figure(
            "urgent_start_p99_s",
            round(figures.find_percentile(durations_s, 0.99), 3),
            "s",
            f"{_CLAIMS} claims of 16, checkpoint 0.1 s, 48 accelerators lent",
            round(max(durations_s) - min(durations_s), 3),
        )
    ]


def _submit(
    demo_cluster: cluster.Cluster,
    entry: str,
    customer: str,
    size: int,
    key: str,
    run_time_s: float,
) -> str:
    kind = "render" if size > 1 else "tag"
    reply: dict[str, Any] = cluster.fetch(
        "POST",
        f"{demo_cluster.url(entry)}/v1/jobs",
        {"kind": kind, "accelerators": size, "run_time_s": run_time_s},
        {
            "Authorization": f"Bearer {templates.find_key(customer)}",
            "Idempotency-Key": key,
            "Content-Type": "application/json",
        },
    )
    return str(reply["id"])
