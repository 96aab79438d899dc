"""Commands for jobs."""

import time
from typing import Annotated
from typing import Any

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exits
from crocusrouter.cli import options
from crocusrouter.cli import output
from crocusrouter.templates import Level

app = typer.Typer(no_args_is_help=True, help="Submit and follow jobs.")

_POLL_S = 0.2
_FINAL = ("done", "failed", "cancelled")
_COLUMNS = ("id", "kind", "state", "accelerators", "attempt", "waiting_for")


@app.command("submit")
def submit_job(
    kind: Annotated[str, typer.Argument(help="Kind in the template.")],
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    accelerators: Annotated[int | None, typer.Option(min=1)] = None,
    level: Annotated[Level | None, typer.Option()] = None,
    run_time: Annotated[
        float | None, typer.Option(help="Declared run time in seconds.")
    ] = None,
    urgent: Annotated[bool | None, typer.Option()] = None,
    data_centre: Annotated[str | None, typer.Option()] = None,
    payload: Annotated[str, typer.Option(help="JSON for the tasks.")] = "null",
    idempotency_key: Annotated[
        str | None, typer.Option(help="The same key is the same job.")
    ] = None,
    as_json: options.AsJson = False,
) -> None:
    """Submit a job; what is left out comes from the template.

    Example: crocusrouter job submit render --accelerators 16 --level rack
    """
    asked = {
        "kind": kind,
        "accelerators": accelerators,
        "level": level,
        "run_time_s": run_time,
        "urgent": urgent,
        "data_centre": data_centre,
        "payload": _parse_payload(payload),
    }
    body = {name: value for name, value in asked.items() if value is not None}
    headers = {}
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    reply = client.Client(entry, key).ask(
        "POST", "/v1/jobs", orjson.dumps(body), headers
    )
    _show(reply, as_json)


@app.command("status")
def show_job(
    job_id: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    wait: Annotated[bool, typer.Option(help="Wait for the end.")] = False,
    timeout: options.Timeout = 3600.0,
    as_json: options.AsJson = False,
) -> None:
    """Show a job.

    Example: crocusrouter job status liege.0a1b2c3d4e5f6071 --wait
    """
    asked = client.Client(entry, key)
    limit = time.monotonic() + timeout
    reply = asked.ask("GET", f"/v1/jobs/{job_id}")
    while wait and time.monotonic() < limit and not _is_final(reply):
        time.sleep(_POLL_S)
        reply = asked.ask("GET", f"/v1/jobs/{job_id}")
    _show(reply, as_json)


@app.command("list")
def list_jobs(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """List the customer's jobs.

    Example: crocusrouter job list --json
    """
    asked = client.Client(entry, key)
    reply = output.fetch(asked, "GET", "/v1/jobs", as_json)
    if as_json:
        output.show_json(reply.document)
        return
    rows = [[job[c] for c in _COLUMNS] for job in reply.document["jobs"]]
    output.show_table(_COLUMNS, rows)


@app.command("cancel")
def cancel_job(
    job_id: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Cancel a job.

    Example: crocusrouter job cancel liege.0a1b2c3d4e5f6071
    """
    reply = client.Client(entry, key).ask("DELETE", f"/v1/jobs/{job_id}")
    _show(reply, as_json)


@app.command("explain")
def explain_job(
    job_id: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Tell why a job waits and what happened to it.

    Example: crocusrouter job explain liege.0a1b2c3d4e5f6071
    """
    asked = client.Client(entry, key)
    path = f"/v1/jobs/{job_id}/explain"
    reply = output.fetch(asked, "GET", path, as_json)
    if as_json:
        output.show_json(reply.document)
        return
    job = dict(reply.document)
    events = job.pop("events")
    output.show_fields(job)
    print()
    output.show_table(
        ["at", "what"],
        [(output.show_time(event["at"]), event["what"]) for event in events],
    )


def _parse_payload(text: str) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        output.fail(f"--payload is no JSON: {error}", exits.Exit.WRONG_USAGE)


def _is_final(reply: client.Reply) -> bool:
    """Tell whether asking again can change nothing."""
    if reply.is_refusal:
        return exits.choose_exit(reply.status) is exits.Exit.NOT_FOUND
    return reply.document["state"] in _FINAL


def _show(reply: client.Reply, as_json: bool) -> None:
    output.check_reply(reply, as_json)
    if as_json:
        output.show_json(reply.document)
    else:
        output.show_fields(reply.document)
