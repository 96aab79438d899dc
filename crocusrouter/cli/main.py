"""The `crocusrouter` command."""

import sys

import typer

import crocusrouter
from crocusrouter.cli import client
from crocusrouter.cli import entry
from crocusrouter.cli import exits
from crocusrouter.cli import job
from crocusrouter.cli import options
from crocusrouter.cli import output
from crocusrouter.cli import serve
from crocusrouter.cli import template

app = typer.Typer(
    name="crocusrouter",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="Schedule multi-accelerator jobs and route small requests.",
)
app.add_typer(template.app, name="template")
app.add_typer(job.app, name="job")

_STATUS_FIELDS = (
    "entry",
    "data_centre",
    "ready",
    "revision",
    "alarm",
    "store_failing",
    "suspected",
)


@app.command("status")
def show_status(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Show an entry, its peers, and who owns which data centre.

    Example: crocusrouter status --entry http://10.0.0.1:8080
    """
    asked = client.Client(entry, key)
    document = output.fetch(asked, "GET", "/v1/status", as_json).document
    if as_json:
        output.show_json(document)
        return
    output.show_fields({name: document[name] for name in _STATUS_FIELDS})
    print()
    output.show_table(
        ["entry", "revision"], sorted(document["revisions"].items())
    )
    print()
    output.show_table(
        ["data centre", "owner", "epoch"],
        [(n, o["owner"], o["epoch"]) for n, o in document["owners"].items()],
    )
    print()
    output.show_table(["count", "value"], document["counts"].items())


@app.command("version")
def show_version() -> None:
    """Print the version.

    Example: crocusrouter version
    """
    print(crocusrouter.__version__)


serve.add_serve(app)
entry.add_entry(app)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except client.UnreachableError as error:
        print(f"unreachable: {error}", file=sys.stderr)
        sys.exit(exits.Exit.UNREACHABLE)
