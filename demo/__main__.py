"""Runs the demo: python -m demo."""

import collections
import functools
import json
import pathlib
import signal
import sys
import time
from typing import Any

import trio

from crocusrouter.cli import output
from demo import callers
from demo import cluster
from demo import commands
from demo import templates
from standins import history

_REQUESTS = 200
_CONCURRENCY = 8
_SINGLES = 8
_GANG_CUSTOMER = "kilima-maps"
_GANG_MEMBERS = 2
_JOBS_LIMIT_S = 40.0
# Longer than the demo, so that the job to cancel can't end by itself.
_CANCELLED_RUN_TIME_S = 3600.0
_FINAL_STATES = ("done", "failed", "cancelled")
_EXIT_REFUSED = 3


class Demo:
    """Runs the demo's steps on a cluster and collects its results."""

    def __init__(self, demo_cluster: cluster.Cluster) -> None:
        self.cluster = demo_cluster
        self.failures: list[str] = []
        self.jobs: dict[str, str] = {}
        self.rows: list[tuple[str, Any]] = []
        self.killed_at: dict[str, float] = {}
        self.interrupted_gang: Any = None

    def check(self, condition: bool, description: str) -> None:
        """Record `description` as a failure if the condition is false."""
        if not condition:
            self.failures.append(description)

    def say(self, text: str) -> None:
        """Print a message about a step."""
        print(f"- {text}", flush=True)

    # Steps.

    def apply_templates(self) -> None:
        """Apply four templates through the command line."""
        folder = pathlib.Path("demo-logs")
        for customer, document in templates.build_templates().items():
            path = folder / f"{customer}.json"
            path.write_text(json.dumps(document))
            result = commands.run_command(
                self.cluster.url("e1"),
                cluster.OPERATOR_KEY,
                "template",
                "apply",
                str(path),
                "--wait",
            )
            self.check(result.code == 0, f"apply {customer}: {result.message}")
        self.say("four templates are in force at every entry")

    def submit_jobs(self) -> None:
        """Submit single jobs, a gang, a job to cancel and an oversized job."""
        for number in range(_SINGLES):
            entry = f"e{number % 3 + 1}"
            self._submit(entry, "kilima-logs", "tag", f"single-{number}")
        self._submit_gang("e2", "gang")
        cancelled_id = self._submit(
            "e3",
            "fbusw-matching",
            "tag",
            "to-cancel",
            "--run-time",
            str(_CANCELLED_RUN_TIME_S),
        )
        result = self._run_command(
            "e1", "fbusw-matching", "job", "cancel", cancelled_id
        )
        self.check(result.code == 0, f"cancel: {result.message}")
        refused = self._run_command(
            "e1",
            _GANG_CUSTOMER,
            "job",
            "submit",
            "render",
            "--accelerators",
            "64",
        )
        self.check(
            refused.code == _EXIT_REFUSED,
            "a job that can never fit was accepted",
        )
        self.rows.append(("job refused: never-fits", 1))
        self.say(
            "jobs are accepted; one is cancelled, one is refused as never-fits"
        )

    def _submit_gang(self, entry: str, key: str) -> None:
        self._submit(entry, _GANG_CUSTOMER, "render", key)

    def _submit(
        self, entry: str, customer: str, kind: str, key: str, *options: str
    ) -> str:
        result = self._run_command(
            entry,
            customer,
            "job",
            "submit",
            kind,
            "--idempotency-key",
            key,
            *options,
        )
        self.check(result.code == 0, f"submit {key}: {result.message}")
        job_id = result.document["id"] if result.code == 0 else ""
        self.jobs[job_id] = customer
        return str(job_id)

    def _run_command(
        self, entry: str, customer: str, *arguments: str
    ) -> commands.Finished:
        key = templates.find_key(customer)
        return commands.run_command(self.cluster.url(entry), key, *arguments)

    def kill_owner(self) -> str:
        """Kill the entry that owns the data centre; return its name."""
        owners = self.cluster.fetch_status("e1")["owners"]
        name: str = owners[cluster.DATA_CENTRE]["owner"]
        self.cluster.processes.kill(name)
        self.cluster.remove_vm(name)
        self.say(f"kill -9 of {name}, which owned {cluster.DATA_CENTRE}")
        return name

    def kill_worker(self, survivor: str) -> None:
        """Kill a worker that runs a member of a gang."""
        deadline = time.monotonic() + _JOBS_LIMIT_S
        while time.monotonic() < deadline:
            gang = self._find_running_gang(survivor)
            if gang is not None:
                name = min(gang["workers"])
                if self._kill_while_running(name, gang):
                    self.interrupted_gang = gang
                    self.say(
                        f"kill -9 of worker {name}, which ran a member of the "
                        "gang"
                    )
                    return
            time.sleep(0.1)
        self.check(False, "no gang ran whose worker could be killed")

    def _find_running_gang(self, entry: str) -> Any:
        """Return a gang that runs, or None if there is none at present.

        Beside other load, a gang may have ended before the demo gets here.
        Then another one is submitted.
        """
        gangs = [
            self._fetch_job(entry, job_id, customer)
            for job_id, customer in self.jobs.items()
            if customer == _GANG_CUSTOMER
        ]
        for gang in gangs:
            if gang and gang["phase"] == "running":
                return gang
        if all(gang and gang["state"] in _FINAL_STATES for gang in gangs):
            self._submit_gang(entry, f"gang-{len(gangs) + 1}")
        return None

    def _kill_while_running(self, name: str, gang: Any) -> bool:
        """Kill a worker if its task of a gang still runs; tell if it did."""
        # A stopped worker can't end the task between the check and the kill.
        self.cluster.processes.signal(name, signal.SIGSTOP)
        kinds = [
            record["what"]
            for record in history.read_records(
                [self.cluster.processes.read_output(name)]
            )
            if record["job_id"] == gang["id"]
            and record["attempt"] == gang["attempt"]
        ]
        if kinds[-1:] != ["started"]:
            self.cluster.processes.signal(name, signal.SIGCONT)
            return False
        self.killed_at[name] = time.monotonic()
        self.cluster.processes.kill(name)
        self.cluster.remove_vm(name)
        return True

    def _fetch_job(self, entry: str, job_id: str, customer: str) -> Any:
        headers = {"Authorization": f"Bearer {templates.find_key(customer)}"}
        url = f"{self.cluster.url(entry)}/v1/jobs/{job_id}"
        try:
            return cluster.fetch("GET", url, headers=headers)
        except OSError:
            return None

    def follow_jobs(self, entry: str) -> None:
        """Wait until all jobs have ended and check their final states."""
        deadline = time.monotonic() + _JOBS_LIMIT_S
        open_jobs = dict(self.jobs)
        states: collections.Counter[str] = collections.Counter()
        while open_jobs and time.monotonic() < deadline:
            for job_id, customer in list(open_jobs.items()):
                job = self._fetch_job(entry, job_id, customer)
                if job and job["state"] in _FINAL_STATES:
                    del open_jobs[job_id]
                    states[job["state"]] += 1
            time.sleep(0.1)
        self.check(
            not open_jobs, f"jobs that have not ended: {sorted(open_jobs)}"
        )
        gangs = list(self.jobs.values()).count(_GANG_CUSTOMER)
        self.check(
            states["done"] == _SINGLES + gangs, f"jobs ended as {states}"
        )
        self.check(states["cancelled"] == 1, f"jobs ended as {states}")
        self._check_interrupted_gang(entry)
        self.rows += [(f"job {s}", n) for s, n in sorted(states.items())]

    def _check_interrupted_gang(self, entry: str) -> None:
        """Check that the gang whose worker was killed was started again."""
        if self.interrupted_gang is None:
            return  # recorded as a failure when no gang was found
        job_id = self.interrupted_gang["id"]
        job = self._fetch_job(entry, job_id, _GANG_CUSTOMER)
        self.check(
            bool(job) and job["attempt"] > self.interrupted_gang["attempt"],
            f"{job_id} was not started again after its worker was killed",
        )

    def check_requests(self, sender: callers.Callers) -> None:
        """Compare the outcomes with the runners' records of executions."""
        executed: collections.Counter[int] = collections.Counter()
        for port in self.cluster.runners.values():
            for execution in cluster.fetch(
                "GET", f"http://127.0.0.1:{port}/executions"
            ):
                executed[execution["item"]] += 1
        counts: collections.Counter[str] = collections.Counter()
        for outcome in sender.outcomes:
            reason = f": {outcome.reason}" if outcome.reason else ""
            counts[f"{outcome.kind} {outcome.outcome}{reason}"] += 1
            self._check_outcome(outcome, executed[outcome.item])
        self.check(
            len(sender.outcomes) == _REQUESTS,
            f"{len(sender.outcomes)} answers to {_REQUESTS} requests",
        )
        self.rows.insert(0, ("requests sent", _REQUESTS))
        self.rows += sorted(counts.items())
        self.rows += [
            (f"retry {r}", n) for r, n in sorted(sender.retried.items())
        ]

    def _check_outcome(self, outcome: callers.Outcome, executions: int) -> None:
        item = f"{outcome.kind} {outcome.item}"
        self.check(outcome.matches, f"{item} got the answer of another item")
        self.check(outcome.outcome != "unanswered", f"{item} has no answer")
        if outcome.kind == "reserve":
            self.check(executions <= 1, f"{item} ran {executions} times")
        if outcome.outcome == "done":
            self.check(executions >= 1, f"{item} is done but never ran")
        if outcome.outcome == "not-run":
            self.check(executions == 0, f"{item} is not-run but ran")

    def check_gangs(self) -> None:
        """Check in the workers' records that no gang ran partially for long."""
        texts = map(self.cluster.processes.read_output, self.cluster.workers)
        records = history.read_records(texts)
        attempts = history.collect_attempts(records, self.killed_at)
        longest_partial_s = 0.0
        for job_id, customer in self.jobs.items():
            if customer != _GANG_CUSTOMER:
                continue
            for (name, _), attempt_runs in attempts.items():
                if name == job_id:
                    partial_s = history.measure_longest_partial_run(
                        attempt_runs, _GANG_MEMBERS, time.monotonic()
                    )
                    longest_partial_s = max(longest_partial_s, partial_s)
        bound = self.cluster.shape.task_lease_s
        self.check(
            longest_partial_s <= bound,
            f"a gang ran partially for {longest_partial_s} s",
        )
        self.check(
            not history.find_overlaps(attempts),
            f"attempts overlap: {history.find_overlaps(attempts)}",
        )
        self.rows.append(
            (f"longest partial gang, s (bound {bound})", longest_partial_s)
        )

    def add_counts(self, entries: list[str]) -> None:
        """Add the refusals and retries that the entries counted."""
        counts: collections.Counter[str] = collections.Counter()
        for name in entries:
            for key, number in self.cluster.fetch_status(name)[
                "counts"
            ].items():
                if key.startswith(("refused:", "retried:")):
                    counts[key] += number
        self.rows += [(f"entries {k}", n) for k, n in sorted(counts.items())]

    def stop_entries(self, entries: list[str]) -> None:
        """Stop the entries with SIGTERM and check that their exit code is 0."""
        for name in entries:
            self.cluster.processes.signal(name, signal.SIGTERM)
        for name in entries:
            code = self.cluster.processes.wait(name)
            self.check(code == 0, f"{name} ended with exit code {code}")


async def _send_and_kill(demo: Demo, sender: callers.Callers) -> str:
    """Send all requests and kill the owner after a third of them."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            functools.partial(sender.run, range(_REQUESTS), _CONCURRENCY)
        )
        while len(sender.outcomes) < _REQUESTS // 3:
            await trio.sleep(0.01)
        return await trio.to_thread.run_sync(demo.kill_owner)


def run(demo: Demo) -> None:
    """Run all steps."""
    demo.cluster.start()
    demo.say("stand-ins and three entries run")
    demo.apply_templates()
    demo.submit_jobs()
    urls = [demo.cluster.url(name) for name in demo.cluster.entries]
    sender = callers.Callers(urls, templates.find_key("fbusw-matching"))
    killed = trio.run(_send_and_kill, demo, sender)
    alive = [name for name in demo.cluster.entries if name != killed]
    demo.kill_worker(alive[0])
    demo.follow_jobs(alive[1])
    demo.check_requests(sender)
    demo.check_gangs()
    demo.add_counts(alive)
    demo.stop_entries(alive)


def main() -> int:
    """Run the demo and return its exit code."""
    started_at = time.monotonic()
    folder = pathlib.Path("demo-logs")
    demo = Demo(cluster.Cluster(folder, cluster.Shape()))
    try:
        run(demo)
    except KeyboardInterrupt:
        print("stopped by Ctrl-C", file=sys.stderr)
        return 130
    finally:
        demo.cluster.processes.stop_all()
    print()
    output.print_table(["what", "count"], demo.rows)
    elapsed_s = time.monotonic() - started_at
    print()
    for failure in demo.failures:
        print(f"FAILED: {failure}")
    verdict = "does not add up" if demo.failures else "adds up"
    print(f"The table {verdict}; {elapsed_s:.1f} s; logs in {folder}/")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
