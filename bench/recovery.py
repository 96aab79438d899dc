"""Edits, takeovers and urgent claims over real processes."""

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
_LIMIT_S = 20.0
_SIZE = "9 entries, 1 data centre, TTL 2 s"
_DEFAULTS: tuple[tuple[str, str], ...] = ()


def _read_all(held: cluster.Cluster, kind: str) -> list[dict[str, Any]]:
    """Return the log lines of one kind from all entries."""
    return [
        line
        for name in held.entries
        for line in held.processes.read_log(name)
        if line.get("message_type") == kind
    ]


def measure_edits() -> list[figures.Figure]:
    """Time from an acknowledged edit to in force at the last of 9 entries.

    An entry is killed and started again every 25 edits. Entries log when a
    revision is in force; all clocks are this machine's.
    """
    shape = cluster.Shape(entries=9, racks=0, runners=0, settings=_DEFAULTS)
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    acknowledged = {}
    replaced_at: dict[str, float] = {}
    names = [f"e{number + 1}" for number in range(9)]
    with clusters.run_cluster(shape) as held:
        for number in range(_EDITS):
            if number and number % _REPLACE_EVERY == 0:
                name = names[number // _REPLACE_EVERY]
                held.processes.kill(name)
                held.start_entry(name)
                held.wait_ready(name)
                replaced_at[name] = time.time()
            document["max_jobs"] = 1000 + number
            revision = held.put_template(document, "e1")
            acknowledged[revision] = time.time()
            time.sleep(_EDIT_PAUSE_S)
        time.sleep(_SETTLE_S)
        logs = {name: held.processes.read_log(name) for name in names}
    took_s = _find_lags(acknowledged, logs, replaced_at)
    reverts = sum(_count_reverts(lines) for lines in logs.values())
    return [
        figures.Figure(
            "config_in_force_p99_s",
            round(figures.find_percentile(took_s, 0.99), 4),
            "s",
            f"{_EDITS} edits, 9 entries, one replaced every {_REPLACE_EVERY}",
            round(max(took_s) - min(took_s), 4),
        ),
        figures.Figure("config_reverts", reverts, "count", f"{_EDITS} edits"),
    ]


def _find_lags(
    acknowledged: dict[int, float],
    logs: dict[str, list[dict[str, Any]]],
    replaced_at: dict[str, float],
) -> list[float]:
    lags = []
    for revision, at in acknowledged.items():
        last = at
        for name, lines in logs.items():
            if replaced_at.get(name, 0.0) > at:
                continue  # its log begins after the edit
            seen = [
                line["timestamp"]
                for line in lines
                if line.get("message_type") == "configuration:in-force"
                and line["revision"] >= revision
            ]
            last = max(last, min(seen, default=at + _LIMIT_S))
        lags.append(last - at)
    return lags


def _count_reverts(lines: list[dict[str, Any]]) -> int:
    revisions = [
        line["revision"]
        for line in lines
        if line.get("message_type") == "configuration:in-force"
    ]
    return sum(a > b for a, b in zip(revisions, revisions[1:], strict=False))


def measure_takeovers() -> list[figures.Figure]:
    """Time until another entry decides, after a kill and a planned stop."""
    return [
        _measure_takeover("takeover_after_kill_p99_s", planned=False),
        _measure_takeover("takeover_planned_p99_s", planned=True),
    ]


def _measure_takeover(name: str, *, planned: bool) -> figures.Figure:
    shape = cluster.Shape(
        entries=9, racks=1, workers_per_rack=1, runners=0, settings=_DEFAULTS
    )
    took_s = []
    with clusters.run_cluster(shape) as held:
        for _ in range(_TAKEOVERS):
            owner = clusters.wait_for_workers(held, 1)
            time.sleep(_SETTLE_S)
            known = _read_all(held, "owner:took-over")
            epoch = max(line["epoch"] for line in known)
            started_at = time.time()
            if planned:
                held.processes.signal(owner, signal.SIGTERM)
            else:
                held.processes.kill(owner)
            line = _wait_for_epoch(held, owner, epoch + 1)
            if planned:
                started_at = _find_release(held, owner, started_at)
                held.processes.wait(owner)
            took_s.append(line["timestamp"] - started_at)
            held.start_entry(owner)
            held.wait_ready(owner)
    return figures.Figure(
        name,
        round(figures.find_percentile(took_s, 0.99), 3),
        "s",
        f"{_TAKEOVERS} takeovers, {_SIZE}",
        round(max(took_s) - min(took_s), 3),
    )


def _find_release(
    held: cluster.Cluster, owner: str, started_at: float
) -> float:
    """Return when a stopping owner gave up, or when it was told to stop."""
    stops = [
        line["timestamp"]
        for line in held.processes.read_log(owner)
        if line.get("message_type") == "entry:stopping"
    ]
    return float(max([started_at, *stops]))


def _wait_for_epoch(
    held: cluster.Cluster, owner: str, epoch: int
) -> dict[str, Any]:
    limit = time.monotonic() + _LIMIT_S
    while time.monotonic() < limit:
        for name in held.entries:
            if name == owner:
                continue
            for line in held.processes.read_log(name):
                if line.get("message_type") == "owner:took-over" and (
                    line["epoch"] >= epoch
                ):
                    return line
        time.sleep(0.05)
    raise TimeoutError(f"nobody took epoch {epoch}")


def measure_recovery() -> list[figures.Figure]:
    """Replace all entries at once; time until all work is followed again."""
    shape = cluster.Shape(
        entries=9, racks=2, workers_per_rack=3, runners=0, settings=_DEFAULTS
    )
    took_s = []
    with clusters.run_cluster(shape) as held:
        held.put_template(_build_lender(), "e1")
        clusters.wait_for_workers(held, 6)
        for number in range(20):
            _submit(held, "e2", "fbusw-matching", 1, f"long-{number}", 300.0)
        for _ in range(3):
            started_at = time.time()
            for name in held.entries:
                held.processes.kill(name)
            for name in held.entries:
                held.start_entry(name)
            _wait_followed(held, 20)
            took_s.append(time.time() - started_at)
    return [
        figures.summarize(
            "recovery_all_replaced_s", took_s, "s", f"20 jobs, {_SIZE}"
        )
    ]


def _wait_followed(held: cluster.Cluster, jobs: int) -> None:
    """Wait until an owner follows all jobs and knows all workers."""
    limit = time.monotonic() + _LIMIT_S
    while time.monotonic() < limit:
        for name in held.entries:
            try:
                owned = held.fetch_status(name)["owned"]
            except OSError:
                continue
            for one in owned:
                if one["unfinished"] >= jobs and one["workers"] == 6:
                    return
        time.sleep(0.05)
    raise TimeoutError("the work is not followed again")


def _build_lender() -> dict[str, Any]:
    document = templates.build_templates()["fbusw-matching"]
    document["guarantee"] = []
    return document


def measure_urgent() -> list[figures.Figure]:
    """Time from an urgent claim to its start on accelerators that are lent.

    One customer's jobs fill the fleet as loans; another claims its cell of
    16 again and again. Start is what the workers recorded, on the same clock.
    """
    shape = cluster.Shape(
        entries=3, racks=2, workers_per_rack=3, runners=0, settings=_DEFAULTS
    )
    with clusters.run_cluster(shape) as held:
        held.put_template(_build_lender(), "e1")
        held.put_template(templates.build_templates()["kilima-maps"], "e1")
        clusters.wait_for_workers(held, 6)
        for number in range(60):
            _submit(held, "e1", "fbusw-matching", 1, f"loan-{number}", 600.0)
        time.sleep(_SETTLE_S)
        claimed = {}
        for number in range(_CLAIMS):
            at = time.monotonic()
            job_id = _submit(
                held, "e2", "kilima-maps", 16, f"claim-{number}", 0.3
            )
            claimed[job_id] = at
            time.sleep(1.0)
        texts = map(held.processes.read_output, held.workers)
        records = history.read_records(texts)
    took_s = [
        max(
            (
                record["at"]
                for record in records
                if record["job_id"] == job_id and record["what"] == "started"
            ),
            default=at + _LIMIT_S,
        )
        - at
        for job_id, at in claimed.items()
    ]
    return [
        figures.Figure(
            "urgent_start_p99_s",
            round(figures.find_percentile(took_s, 0.99), 3),
            "s",
            f"{_CLAIMS} claims of 16, checkpoint 0.1 s, 48 accelerators lent",
            round(max(took_s) - min(took_s), 3),
        )
    ]


def _submit(
    held: cluster.Cluster,
    entry: str,
    customer: str,
    size: int,
    key: str,
    run_time_s: float,
) -> str:
    kind = "render" if size > 1 else "tag"
    reply: dict[str, Any] = cluster.fetch(
        "POST",
        f"{held.url(entry)}/v1/jobs",
        {"kind": kind, "accelerators": size, "run_time_s": run_time_s},
        {
            "Authorization": f"Bearer {templates.find_key(customer)}",
            "Idempotency-Key": key,
            "Content-Type": "application/json",
        },
    )
    return str(reply["id"])
