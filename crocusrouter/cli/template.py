"""The `template` commands: show, check, change and restore templates."""

import pathlib
import time
from typing import Annotated
from typing import Any

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exit_codes
from crocusrouter.cli import options
from crocusrouter.cli import output
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import Template
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_template
from crocusrouter.templates import parse_template

app = typer.Typer(no_args_is_help=True, help="Edit customers' templates.")

TemplateFile = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, help="Template as JSON."),
]
_POLL_INTERVAL_S = 0.1


@app.command("apply")
def apply_template(
    file: TemplateFile,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    if_match: Annotated[
        int | None,
        typer.Option(
            help="Revision that the edit is based on; 0 for a new customer. "
            "Default: the current revision."
        ),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option(help="Wait until every live entry applies the template."),
    ] = False,
    timeout: options.Timeout = 10.0,
    as_json: options.AsJson = False,
) -> None:
    """Put a template in force.

    Example: crocusrouter template apply fbusw.json --if-match 7 --wait
    """
    template = _read_template(file)
    api_client = client.Client(entry, key)
    expected_revision = if_match
    if expected_revision is None:
        expected_revision = _find_revision(
            api_client, template.customer, as_json
        )
    reply = api_client.send(
        "PUT",
        f"/v1/templates/{template.customer}",
        dump_template(template),
        {"If-Match": f'"{expected_revision}"'},
    )
    output.exit_if_refused(reply, as_json)
    revision = reply.document["revision"]
    if wait:
        _wait_until_applied(api_client, revision, timeout)
    if as_json:
        output.print_json({"revision": revision, "in_force": wait})
    else:
        print(f"{template.customer} is at revision {revision}")


@app.command("check")
def check_template(
    file: TemplateFile,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Run all checks of a template and change nothing.

    Example: crocusrouter template check fbusw.json
    """
    template = _read_template(file)
    reply = client.Client(entry, key).send(
        "PUT",
        f"/v1/templates/{template.customer}?check",
        dump_template(template),
    )
    output.exit_if_refused(reply, as_json)
    if as_json:
        output.print_json(reply.document)
    else:
        print(f"{template.customer}: the template passes all checks")


@app.command("get")
def get_template(
    customer: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
) -> None:
    """Print a template as JSON.

    Example: crocusrouter template get fbusw > fbusw.json
    """
    api_client = client.Client(entry, key)
    path = f"/v1/templates/{customer}"
    reply = output.send_or_exit(api_client, "GET", path, as_json=False)
    output.print_json(reply.document)


@app.command("list")
def list_templates(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """List customers and the revisions of their templates.

    Example: crocusrouter template list
    """
    api_client = client.Client(entry, key)
    reply = output.send_or_exit(api_client, "GET", "/v1/templates", as_json)
    if as_json:
        output.print_json(reply.document)
        return
    rows = sorted(reply.document["templates"].items())
    output.print_table(["customer", "revision"], rows)


@app.command("diff")
def diff_template(
    file: TemplateFile,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Show how a file differs from the template in force.

    Example: crocusrouter template diff fbusw.json
    """
    template = _read_template(file)
    path = f"/v1/templates/{template.customer}"
    reply = client.Client(entry, key).send("GET", path)
    current = None
    if (
        exit_codes.choose_exit_code(reply.status)
        is not exit_codes.ExitCode.NOT_FOUND
    ):
        output.exit_if_refused(reply, as_json)
        current = parse_template(orjson.dumps(reply.document))
    differences = compare_templates(current, template)
    if as_json:
        output.print_json([vars(difference) for difference in differences])
        return
    rows = [
        (difference.path, difference.before, difference.after)
        for difference in differences
    ]
    output.print_table(["field", "in force", "file"], rows)


@app.command("history")
def show_history(
    customer: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Show a template's last 20 versions, the one in force first.

    Example: crocusrouter template history fbusw
    """
    versions = _fetch_history(client.Client(entry, key), customer, as_json)
    if as_json:
        output.print_json(versions)
        return
    rows = [
        (
            version["revision"],
            output.format_time(version["at"]),
            ", ".join(version["changed"]),
        )
        for version in versions
    ]
    output.print_table(["revision", "at", "changed"], rows)


@app.command("restore")
def restore_template(
    customer: str,
    revision: int,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Put an earlier version in force again, as a new revision.

    Example: crocusrouter template restore fbusw 7
    """
    api_client = client.Client(entry, key)
    versions = _fetch_history(api_client, customer, as_json)
    matching_versions = [
        version for version in versions if version["revision"] == revision
    ]
    if not matching_versions:
        output.exit_with_error(
            f"{customer} has no version {revision} among its last "
            f"{len(versions)}. See: crocusrouter template history {customer}",
            exit_codes.ExitCode.NOT_FOUND,
        )
    reply = api_client.send(
        "PUT",
        f"/v1/templates/{customer}",
        orjson.dumps(matching_versions[0]["template"]),
        {"If-Match": f'"{versions[0]["revision"]}"'},
    )
    output.exit_if_refused(reply, as_json)
    if as_json:
        output.print_json(reply.document)
    else:
        print(f"{customer} is at revision {reply.document['revision']}")


def _fetch_history(
    api_client: client.Client, customer: str, as_json: bool
) -> list[dict[str, Any]]:
    path = f"/v1/templates/{customer}/history"
    reply = output.send_or_exit(api_client, "GET", path, as_json)
    versions: list[dict[str, Any]] = reply.document["versions"]
    return versions


def _read_template(file: pathlib.Path) -> Template:
    try:
        return parse_template(file.read_bytes())
    except InvalidTemplateError as error:
        output.exit_with_error(
            f"{file}: {error}. Correct the named fields.",
            exit_codes.ExitCode.WRONG_USAGE,
        )


def _find_revision(
    api_client: client.Client, customer: str, as_json: bool
) -> int:
    reply = api_client.send("GET", f"/v1/templates/{customer}")
    if (
        exit_codes.choose_exit_code(reply.status)
        is exit_codes.ExitCode.NOT_FOUND
    ):
        return 0
    output.exit_if_refused(reply, as_json)
    return int(reply.headers["etag"].strip('"'))


def _wait_until_applied(
    api_client: client.Client, revision: int, timeout: float
) -> None:
    """Wait until every live entry reports the revision; at a timeout, fail."""
    deadline = time.monotonic() + timeout
    lagging_entries: list[str] = []
    while time.monotonic() < deadline:
        reply = output.send_or_exit(
            api_client, "GET", "/v1/status", as_json=False
        )
        revisions = reply.document["revisions"]
        lagging_entries = sorted(
            name
            for name, entry_revision in revisions.items()
            if entry_revision < revision
        )
        if not lagging_entries:
            return
        time.sleep(_POLL_INTERVAL_S)
    output.exit_with_error(
        f"revision {revision} is accepted, but these entries don't apply it "
        f"yet: {', '.join(lagging_entries)}. Check their logs, or use a "
        "longer --timeout.",
        exit_codes.ExitCode.FAILED,
    )
