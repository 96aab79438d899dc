"""The `crocusrouter` command and its subcommands."""

import sys

import typer

import crocusrouter
from crocusrouter.cli import client
from crocusrouter.cli import data_centre
from crocusrouter.cli import entry
from crocusrouter.cli import exit_codes
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
app.add_typer(data_centre.app, name="data-centre")

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
    api_client = client.Client(entry, key)
    document = output.send_or_exit(
        api_client, "GET", "/v1/status", as_json
    ).document
    if as_json:
        output.print_json(document)
        return
    output.print_fields({name: document[name] for name in _STATUS_FIELDS})
    print()
    output.print_table(
        ["entry", "revision"], sorted(document["revisions"].items())
    )
    print()
    output.print_table(
        ["data centre", "owner", "epoch"],
        [
            (name, owner["owner"], owner["epoch"])
            for name, owner in document["owners"].items()
        ],
    )
    if document["closed"]:
        print()
        output.print_table(
            ["closed data centre", "since", "running jobs"],
            [
                (
                    name,
                    output.format_time(closure["closed_since"]),
                    closure["running_jobs"],
                )
                for name, closure in document["closed"].items()
            ],
        )
    print()
    output.print_table(["count", "value"], document["counts"].items())


@app.command("version")
def show_version() -> None:
    """Print the version.

    Example: crocusrouter version
    """
    print(crocusrouter.__version__)


serve.add_serve(app)
entry.add_entry(app)


def main() -> None:
    """Run the command line; exit with a code of `exit_codes.ExitCode`."""
    try:
        app()
    except client.UnreachableError as error:
        print(f"unreachable: {error}", file=sys.stderr)
        sys.exit(exit_codes.ExitCode.UNREACHABLE)
