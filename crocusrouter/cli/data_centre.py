"""The `data-centre` commands: list, close and open data centres."""

from typing import Annotated

import typer

from crocusrouter.cli import client
from crocusrouter.cli import options
from crocusrouter.cli import output

app = typer.Typer(
    no_args_is_help=True, help="Close data centres to new work, and open them."
)


@app.command("list")
def list_data_centres(
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """List data centres; of closed ones, since when and what runs there.

    Example: crocusrouter data-centre list
    """
    api_client = client.Client(entry, key)
    document = output.send_or_exit(
        api_client, "GET", "/v1/data-centres", as_json
    ).document
    if as_json:
        output.print_json(document)
        return
    rows = []
    for row in document["data_centres"]:
        closure = row["closure"] or {}
        since = closure.get("closed_since")
        rows.append(
            [
                row["name"],
                row["workers"],
                row["owner"],
                output.format_time(since) if since is not None else "",
                closure.get("running_jobs", ""),
            ]
        )
    output.print_table(
        ["name", "workers", "owner", "closed since", "running"], rows
    )


@app.command("close")
def close_data_centre(
    name: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    force: Annotated[
        bool, typer.Option(help="Close it even if no other one is open.")
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Start nothing more in a data centre; what runs there goes on.

    Example: crocusrouter data-centre close liege
    """
    query = "?force" if force else ""
    reply = output.send_or_exit(
        client.Client(entry, key),
        "PUT",
        f"/v1/data-centres/{name}/closure{query}",
        as_json,
    )
    if as_json:
        output.print_json(reply.document)
        return
    since = output.format_time(reply.document["closed_since"])
    print(f"{name} is closed to new work since {since}")
    if reply.document["guarantees_suspended"]:
        customers = ", ".join(reply.document["guarantees_suspended"])
        print(f"guarantees there are suspended: {customers}")


@app.command("open")
def open_data_centre(
    name: str,
    entry: options.Entry = options.DEFAULT_ENTRY,
    key: options.Key = "",
    as_json: options.AsJson = False,
) -> None:
    """Open a data centre to new work again.

    Example: crocusrouter data-centre open liege
    """
    reply = output.send_or_exit(
        client.Client(entry, key),
        "DELETE",
        f"/v1/data-centres/{name}/closure",
        as_json,
    )
    if as_json:
        output.print_json(reply.document)
    else:
        print(f"{name} is open to new work")
