"""The `job` commands: submit, show, list, cancel and explain jobs."""

import time
from typing import Annotated
from typing import Any

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exit_codes
from crocusrouter.cli import options
from crocusrouter.cli import output
from crocusrouter.templates import Level

app = typer.Typer(no_args_is_help=True, help="Submit and follow jobs.")

_POLL_INTERVAL_S = 0.2
_FINAL_STATES = ("done", "failed", "cancelled")
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
        str | None, typer.Option(help="Repeating a key returns the same job.")
    ] = None,
    as_json: options.AsJson = False,
) -> None:
    """Submit a job; omitted options take the template's defaults.

    Example: crocusrouter job submit render --accelerators 16 --level rack
    """
    fields = {
        "kind": kind,
        "accelerators": accelerators,
        "level": level,
        "run_time_s": run_time,
        "urgent": urgent,
        "data_centre": data_centre,
        "payload": _parse_payload(payload),
    }
    body = {name: value for name, value in fields.items() if value is not None}
    headers = {}
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    reply = client.Client(entry, key).send(
        "POST", "/v1/jobs", orjson.dumps(body), headers
    )
    _print_reply(reply, as_json)


@app.command("status")
def show_job(
    job_id: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    wait: Annotated[
        bool, typer.Option(help="Wait until the job ends.")
    ] = False,
    timeout: options.Timeout = 3600.0,
    as_json: options.AsJson = False,
) -> None:
    """Show a job.

    Example: crocusrouter job status liege.0a1b2c3d4e5f6071 --wait
    """
    api_client = client.Client(entry, key)
    deadline = time.monotonic() + timeout
    reply = api_client.send("GET", f"/v1/jobs/{job_id}")
    while wait and time.monotonic() < deadline and not _is_final(reply):
        time.sleep(_POLL_INTERVAL_S)
        reply = api_client.send("GET", f"/v1/jobs/{job_id}")
    _print_reply(reply, as_json)


@app.command("list")
def list_jobs(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """List the customer's jobs.

    Example: crocusrouter job list --json
    """
    api_client = client.Client(entry, key)
    reply = output.send_or_exit(api_client, "GET", "/v1/jobs", as_json)
    if as_json:
        output.print_json(reply.document)
        return
    rows = [
        [job[column] for column in _COLUMNS] for job in reply.document["jobs"]
    ]
    output.print_table(_COLUMNS, rows)


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
    reply = client.Client(entry, key).send("DELETE", f"/v1/jobs/{job_id}")
    _print_reply(reply, as_json)


@app.command("explain")
def explain_job(
    job_id: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Explain why a job waits and list its events.

    Example: crocusrouter job explain liege.0a1b2c3d4e5f6071
    """
    api_client = client.Client(entry, key)
    path = f"/v1/jobs/{job_id}/explain"
    reply = output.send_or_exit(api_client, "GET", path, as_json)
    if as_json:
        output.print_json(reply.document)
        return
    job = dict(reply.document)
    events = job.pop("events")
    output.print_fields(job)
    print()
    output.print_table(
        ["at", "what"],
        [(output.format_time(event["at"]), event["what"]) for event in events],
    )


def _parse_payload(text: str) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        output.exit_with_error(
            f"--payload is not JSON: {error}", exit_codes.ExitCode.WRONG_USAGE
        )


def _is_final(reply: client.Reply) -> bool:
    """Tell whether polling again can't change the reply."""
    if reply.is_refusal:
        return (
            exit_codes.choose_exit_code(reply.status)
            is exit_codes.ExitCode.NOT_FOUND
        )
    return reply.document["state"] in _FINAL_STATES


def _print_reply(reply: client.Reply, as_json: bool) -> None:
    output.exit_if_refused(reply, as_json)
    if as_json:
        output.print_json(reply.document)
    else:
        output.print_fields(reply.document)
