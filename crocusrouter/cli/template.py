"""Commands for templates."""

import pathlib
import time
from typing import Annotated
from typing import Any

import orjson
import typer

from crocusrouter.cli import client
from crocusrouter.cli import exits
from crocusrouter.cli import options
from crocusrouter.cli import output
from crocusrouter.templates import InvalidTemplateError
from crocusrouter.templates import Template
from crocusrouter.templates import compare_templates
from crocusrouter.templates import dump_template
from crocusrouter.templates import parse_template

app = typer.Typer(no_args_is_help=True, help="Edit customers' templates.")

File = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, help="Template as JSON."),
]
_POLL_S = 0.1


@app.command("apply")
def apply_template(
    file: File,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    if_match: Annotated[
        int | None,
        typer.Option(
            help="Revision that you read; 0 for a new customer. Default: "
            "the revision at this moment."
        ),
    ] = None,
    wait: Annotated[
        bool, typer.Option(help="Wait until every live entry has it.")
    ] = False,
    timeout: options.Timeout = 10.0,
    as_json: options.AsJson = False,
) -> None:
    """Put a template in force.

    Example: crocusrouter template apply fbusw.json --if-match 7 --wait
    """
    template = _read(file)
    asked = client.Client(entry, key)
    expected = if_match
    if expected is None:
        expected = _find_revision(asked, template.customer, as_json)
    reply = asked.ask(
        "PUT",
        f"/v1/templates/{template.customer}",
        dump_template(template),
        {"If-Match": f'"{expected}"'},
    )
    output.check_reply(reply, as_json)
    revision = reply.document["revision"]
    if wait:
        _wait_in_force(asked, revision, timeout)
    if as_json:
        output.show_json({"revision": revision, "in_force": wait})
    else:
        print(f"{template.customer} is at revision {revision}")


@app.command("check")
def check_template(
    file: File,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Run all checks of a template and change nothing.

    Example: crocusrouter template check fbusw.json
    """
    template = _read(file)
    reply = client.Client(entry, key).ask(
        "PUT",
        f"/v1/templates/{template.customer}?check",
        dump_template(template),
    )
    output.check_reply(reply, as_json)
    if as_json:
        output.show_json(reply.document)
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
    asked = client.Client(entry, key)
    path = f"/v1/templates/{customer}"
    reply = output.fetch(asked, "GET", path, as_json=False)
    output.show_json(reply.document)


@app.command("list")
def list_templates(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """List customers and the revisions of their templates.

    Example: crocusrouter template list
    """
    asked = client.Client(entry, key)
    reply = output.fetch(asked, "GET", "/v1/templates", as_json)
    if as_json:
        output.show_json(reply.document)
        return
    rows = sorted(reply.document["templates"].items())
    output.show_table(["customer", "revision"], rows)


@app.command("diff")
def diff_template(
    file: File,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Show how a file differs from the template in force.

    Example: crocusrouter template diff fbusw.json
    """
    template = _read(file)
    path = f"/v1/templates/{template.customer}"
    reply = client.Client(entry, key).ask("GET", path)
    held = None
    if exits.choose_exit(reply.status) is not exits.Exit.NOT_FOUND:
        output.check_reply(reply, as_json)
        held = parse_template(orjson.dumps(reply.document))
    found = compare_templates(held, template)
    if as_json:
        output.show_json([vars(difference) for difference in found])
        return
    rows = [(d.path, d.before, d.after) for d in found]
    output.show_table(["field", "in force", "file"], rows)


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
        output.show_json(versions)
        return
    rows = [
        (v["revision"], output.show_time(v["at"]), ", ".join(v["changed"]))
        for v in versions
    ]
    output.show_table(["revision", "at", "changed"], rows)


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
    asked = client.Client(entry, key)
    versions = _fetch_history(asked, customer, as_json)
    wanted = [v for v in versions if v["revision"] == revision]
    if not wanted:
        output.fail(
            f"{customer} has no version {revision} among its last "
            f"{len(versions)}. See: crocusrouter template history {customer}",
            exits.Exit.NOT_FOUND,
        )
    reply = asked.ask(
        "PUT",
        f"/v1/templates/{customer}",
        orjson.dumps(wanted[0]["template"]),
        {"If-Match": f'"{versions[0]["revision"]}"'},
    )
    output.check_reply(reply, as_json)
    if as_json:
        output.show_json(reply.document)
    else:
        print(f"{customer} is at revision {reply.document['revision']}")


def _fetch_history(
    asked: client.Client, customer: str, as_json: bool
) -> list[dict[str, Any]]:
    path = f"/v1/templates/{customer}/history"
    reply = output.fetch(asked, "GET", path, as_json)
    versions: list[dict[str, Any]] = reply.document["versions"]
    return versions


def _read(file: pathlib.Path) -> Template:
    try:
        return parse_template(file.read_bytes())
    except InvalidTemplateError as error:
        output.fail(
            f"{file}: {error}. Correct the fields named.",
            exits.Exit.WRONG_USAGE,
        )


def _find_revision(asked: client.Client, customer: str, as_json: bool) -> int:
    reply = asked.ask("GET", f"/v1/templates/{customer}")
    if exits.choose_exit(reply.status) is exits.Exit.NOT_FOUND:
        return 0
    output.check_reply(reply, as_json)
    return int(reply.headers["etag"].strip('"'))


def _wait_in_force(asked: client.Client, revision: int, timeout: float) -> None:
    """Wait until every live entry reports the revision, or name the others."""
    limit = time.monotonic() + timeout
    behind: list[str] = []
    while time.monotonic() < limit:
        reply = output.fetch(asked, "GET", "/v1/status", as_json=False)
        revisions = reply.document["revisions"]
        behind = sorted(n for n, held in revisions.items() if held < revision)
        if not behind:
            return
        time.sleep(_POLL_S)
    output.fail(
        f"revision {revision} is accepted but not yet in force at: "
        f"{', '.join(behind)}. Look at their logs, or wait longer.",
        exits.Exit.FAILED,
    )
